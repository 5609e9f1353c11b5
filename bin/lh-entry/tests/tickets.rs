//! The product's own interface: bookings run at most once, and callers are told their true outcome.

mod own;
mod world;

use std::time::Duration;

use own::{OwnWorld, SERVICE_TIME, book, book_as, entries, send, ticket, wait_for_entries};
use standin::{REQUEST_ID_HEADER, ServerMode};
use world::{EntryProcess, until};

const LONG_SERVICE_TIME: Duration = Duration::from_secs(300);

/// Returns the ticket with one digit of its signature changed.
fn forge(ticket: &str) -> String {
    let mut parts: Vec<String> = ticket.split('~').map(str::to_owned).collect();
    let changed = if parts[3].starts_with('0') { "1" } else { "0" };
    parts[3].replace_range(0..1, changed);
    parts.join("~")
}

/// Name, path, headers and body.
type InvalidCase<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, &'a [u8]);

/// Invalid requests get a 4xx and do not run, and the entry continues to serve.
#[tokio::test]
async fn invalid_requests_get_4xx_and_do_not_run() {
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    world.apply(2, "100KB");
    let entry = world.entry("a", &[]).await;
    let ticket = ticket(&entry, "desk").await;
    let foreign = ticket.replacen("a~", "ghost~", 1);
    let forged = forge(&ticket);
    let big = vec![0; 200 << 10];
    let cases: [InvalidCase<'_>; 11] = [
        ("unknown service", "/nothing/x", vec![], b""),
        ("no service", "/", vec![], b""),
        ("body too large", "/board/x", vec![], &big),
        (
            "deadline passed",
            "/board/x",
            vec![("laurelhill-deadline-ms", "0")],
            b"",
        ),
        (
            "deadline unreadable",
            "/board/x",
            vec![("laurelhill-deadline-ms", "soon")],
            b"",
        ),
        ("no ticket", "/desk/x", vec![], b"order"),
        (
            "empty ticket",
            "/desk/x",
            vec![("laurelhill-ticket", "")],
            b"order",
        ),
        (
            "ticket without number",
            "/desk/x",
            vec![("laurelhill-ticket", &ticket)],
            b"order",
        ),
        (
            "unreadable ticket",
            "/desk/x",
            vec![("laurelhill-ticket", "~~~"), ("laurelhill-number", "1")],
            b"order",
        ),
        (
            "forged ticket",
            "/desk/x",
            vec![("laurelhill-ticket", &forged), ("laurelhill-number", "1")],
            b"order",
        ),
        (
            "ticket of a stranger",
            "/desk/x",
            vec![
                ("laurelhill-ticket", &foreign),
                ("laurelhill-number", "1"),
                ("laurelhill-attempt", "1"),
            ],
            b"order",
        ),
    ];
    for (name, path, headers, body) in cases {
        let mut headers = headers;
        headers.push((REQUEST_ID_HEADER, "bad"));
        let answer = send(entry.callers(), path, &headers, body).await;
        let answer = answer.unwrap_or_else(|| panic!("{name}: no answer"));
        assert!((400..500).contains(&answer.status), "{name}: {answer:?}");
        assert_eq!(answer.outcome, "not-run", "{name}: {answer:?}");
    }
    assert_eq!(world.runs("bad"), 0);
    let good = book(entry.callers(), "good", &ticket, 9, 1).await.unwrap();
    assert_eq!(good.outcome, "done");
}

/// A number that is used again with a different body is refused.
#[tokio::test]
async fn a_number_with_another_body_is_refused() {
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    let ticket = ticket(&entry, "desk").await;
    let headers = [
        (REQUEST_ID_HEADER, "k1"),
        ("laurelhill-ticket", ticket.as_str()),
        ("laurelhill-number", "1"),
    ];
    let first = send(entry.callers(), "/desk/x", &headers, b"ten").await;
    assert_eq!(first.unwrap().outcome, "done");
    let other = send(entry.callers(), "/desk/x", &headers, b"one")
        .await
        .unwrap();
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(world.runs("k1"), 1);
}

/// A repeat gets the complete response of the first run and does not run.
#[tokio::test]
async fn a_repeat_gets_the_stored_response() {
    let world = OwnWorld::new(2, 3, SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    let ticket = ticket(&entry, "desk").await;
    let first = book(entry.callers(), "b1", &ticket, 1, 1).await.unwrap();
    assert_eq!((first.status, first.outcome.as_str()), (200, "done"));
    for _ in 0..3 {
        let again = book(entry.callers(), "b1", &ticket, 1, 2).await.unwrap();
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    assert_eq!(world.runs("b1"), 1);
    let other = book(entry.callers(), "b2", &ticket, 2, 1).await.unwrap();
    assert_eq!(other.outcome, "done");
    assert_eq!(world.runs("b2"), 1);
}

/// A run continues if its caller disconnects, and a repeat gets its response.
#[tokio::test]
async fn a_request_continues_after_its_caller_disconnects() {
    let world = OwnWorld::new(1, 3, Duration::from_millis(300)).await;
    let entry = world.entry("a", &[]).await;
    let ticket = ticket(&entry, "desk").await;
    let caller = tokio::spawn({
        let (address, ticket) = (entry.callers(), ticket.clone());
        async move { book(address, "b1", &ticket, 1, 1).await }
    });
    until("the booking runs", async || world.runs("b1") == 1).await;
    caller.abort();
    until("a repeat gets the response", async || {
        let repeat = book(entry.callers(), "b1", &ticket, 1, 2).await.unwrap();
        repeat.outcome == "done" && repeat.status == 200
    })
    .await;
    assert_eq!(world.runs("b1"), 1);
}

/// If the entry crashes during a request, a repeat at another entry is "unknown" and does not run.
#[tokio::test]
async fn a_booking_is_not_repeated_after_its_entry_crashed() {
    let world = OwnWorld::new(2, 3, LONG_SERVICE_TIME).await;
    let mut first = world.entry("a", &[]).await;
    let second = world.entry("b", &[&first]).await;
    wait_for_entries(&second, 2).await;
    let ticket = ticket(&first, "desk").await;
    let sent = tokio::spawn({
        let (address, ticket) = (first.callers(), ticket.clone());
        async move { book(address, "b1", &ticket, 1, 1).await }
    });
    until("the booking runs", async || world.runs("b1") == 1).await;
    first.child.kill().unwrap();
    assert_eq!(
        sent.await.unwrap(),
        None,
        "the connection to the caller must fail"
    );
    let repeat = |address| book(address, "b1", &ticket, 1, 2);
    // The entry is still listed; then no longer listed; then replaced by another run.
    assert_eq!(repeat(second.callers()).await.unwrap().outcome, "unknown");
    wait_for_entries(&second, 1).await;
    assert_eq!(repeat(second.callers()).await.unwrap().outcome, "unknown");
    let replaced = world.entry("a", &[&second]).await;
    assert_eq!(repeat(replaced.callers()).await.unwrap().outcome, "unknown");
    assert_eq!(world.runs("b1"), 1);
}

/// A caller with a stale ticket that states that it never sent its number before is told that the
/// request did not run.
#[tokio::test]
async fn a_first_attempt_with_a_stale_ticket_is_not_run() {
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    let first = world.entry("a", &[]).await;
    let ticket = ticket(&first, "desk").await;
    drop(first);
    let second = world.entry("a", &[]).await;
    let answer = book(second.callers(), "b1", &ticket, 1, 1).await.unwrap();
    assert_eq!((answer.status, answer.outcome.as_str()), (410, "not-run"));
    assert_eq!(world.runs("b1"), 0);
}

/// A repeat at another instance is forwarded to the run that its ticket names.
#[tokio::test]
async fn a_repeat_is_forwarded_to_the_ticket_holder() {
    let world = OwnWorld::new(2, 3, SERVICE_TIME).await;
    let first = world.entry("a", &[]).await;
    let second = world.entry("b", &[&first]).await;
    wait_for_entries(&second, 2).await;
    let ticket = ticket(&first, "desk").await;
    let answer = book(first.callers(), "b1", &ticket, 1, 1).await.unwrap();
    let repeat = book(second.callers(), "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!((repeat.status, &repeat.body), (200, &answer.body));
    assert_eq!(world.runs("b1"), 1);
}

/// The tickets from a look-up are valid at the entries that it names, whichever entry answered it.
#[tokio::test]
async fn tickets_are_valid_whichever_entry_answered_the_look_up() {
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    let first = world.entry("a", &[]).await;
    let second = world.entry("b", &[&first]).await;
    wait_for_entries(&second, 2).await;
    for (number, found) in (1..).zip(entries(&second, "desk").await) {
        let ticket = found["ticket"].as_str().unwrap();
        let address = found["address"].as_str().unwrap().parse().unwrap();
        let id = format!("b{number}");
        let answer = book(address, &id, ticket, number, 1).await.unwrap();
        assert_eq!(answer.outcome, "done", "{found}");
        assert_eq!(world.runs(&id), 1);
    }
}

/// If the backend server crashes during a booking, its outcome is unknown and it is never sent
/// again.
#[tokio::test]
async fn a_booking_is_not_sent_again_after_its_server_crashed() {
    let world = OwnWorld::new(2, 3, LONG_SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    let ticket = ticket(&entry, "desk").await;
    let sent = tokio::spawn({
        let (address, ticket) = (entry.callers(), ticket.clone());
        async move { book(address, "b1", &ticket, 1, 1).await }
    });
    until("the booking runs", async || world.runs("b1") == 1).await;
    // The other server would accept the booking.
    let server = world
        .backends
        .iter()
        .find(|backend| backend.runs().contains_key("b1"))
        .unwrap();
    server.set_mode(ServerMode::Down);
    assert_eq!(sent.await.unwrap().unwrap().outcome, "unknown");
    server.set_mode(ServerMode::Ready);
    let repeat = book(entry.callers(), "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!(repeat.outcome, "unknown");
    assert_eq!(world.runs("b1"), 1);
}

/// "Not run" is final: a refused number never runs, however late a copy of it arrives.
#[tokio::test]
async fn a_refused_booking_stays_refused() {
    let world = OwnWorld::new(1, 2, SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    let ticket = ticket(&entry, "desk").await;
    world
        .store
        .put("op", "evacuate/zone-a", &serde_json::json!({}));
    until("no server may take it", async || {
        let headers = [(REQUEST_ID_HEADER, "probe")];
        let answer = send(entry.callers(), "/board/x", &headers, b"").await;
        answer.unwrap().outcome == "not-run"
    })
    .await;
    let refused = book(entry.callers(), "b1", &ticket, 1, 1).await.unwrap();
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(
        refused.retry_after.is_some(),
        "the refusal must contain a retry time"
    );
    world.store.delete_row("op", "evacuate/zone-a");
    until("servers take requests again", async || {
        let headers = [(REQUEST_ID_HEADER, "probe")];
        let answer = send(entry.callers(), "/board/x", &headers, b"").await;
        answer.unwrap().outcome == "done"
    })
    .await;
    let late = book(entry.callers(), "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!(
        (late.outcome.as_str(), late.kind.as_str()),
        ("not-run", "refused-before")
    );
    assert_eq!(world.runs("b1"), 0);
}

/// Tickets work during a store outage, because they are not recorded in the store.
#[tokio::test]
async fn bookings_work_during_a_store_outage() {
    let world = OwnWorld::new(2, 3, SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    world
        .store
        .set_faults(platform_standin::FaultPlan::outage());
    until("the outage is detected", async || {
        !entry.logged("dependency lost").is_empty()
    })
    .await;
    let ticket = ticket(&entry, "desk").await;
    let answer = book(entry.callers(), "b1", &ticket, 1, 1).await.unwrap();
    assert_eq!(answer.outcome, "done");
    let repeat = book(entry.callers(), "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!((repeat.outcome, repeat.body), (answer.outcome, answer.body));
    assert_eq!(world.runs("b1"), 1);
}

/// Look-ups list the entries of the caller's region first. The region is taken from the query, or
/// else derived from the caller's address.
#[tokio::test]
async fn look_ups_list_the_callers_region_first() {
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    world
        .store
        .put_bytes("laurelhill-entries", "blocks/south", b"127.0.0.0/8");
    let north = world.entry("a", &[]).await;
    let store = world.store.address();
    let south = EntryProcess::start_in_domain("zone-b", "south", store, "b", &[north.ip]);
    south.wait_ready().await;
    wait_for_entries(&north, 2).await;
    let first = entries(&north, "board&region=north").await;
    assert_eq!(first[0]["region"], "north");
    until("the client blocks are in force", async || {
        !north.logged("client blocks in force").is_empty()
    })
    .await;
    // Without a home region, the order would be random for each look-up.
    for _ in 0..20 {
        assert_eq!(entries(&north, "board").await[0]["region"], "south");
    }
}

/// A team's bookings under a ticket are neither visible to other teams nor do they block them. The
/// ticket's entry authenticates forwarded requests itself.
#[tokio::test]
async fn bookings_are_private_to_their_team() {
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    world.apply_teams(2, ["red-key-1", "blue-key-1"]);
    let first = world.entry("a", &[]).await;
    let second = world.entry("b", &[&first]).await;
    wait_for_entries(&second, 2).await;
    let ticket = ticket(&first, "desk").await;
    let (red, blue) = (Some("red-key-1"), Some("blue-key-1"));
    let here = first.callers();
    let booked = book_as(red, here, "r1", &ticket, 1, 1).await.unwrap();
    assert_eq!(booked.outcome, "done");
    let repeated = book_as(red, here, "r2", &ticket, 1, 2).await.unwrap();
    assert_eq!(repeated.body, booked.body);
    assert_eq!(world.runs("r2"), 0);
    let other = book_as(blue, here, "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!(other.outcome, "done");
    assert_eq!(
        world.runs("b1"),
        1,
        "the other team got the first team's response"
    );
    let nobody = book(here, "n1", &ticket, 1, 2).await.unwrap();
    assert_eq!((nobody.status, world.runs("n1")), (401, 0));
    let passed_on = book_as(red, second.callers(), "r3", &ticket, 1, 2).await;
    assert_eq!(passed_on.unwrap().body, booked.body);
    assert_eq!(world.runs("r3"), 0);
}

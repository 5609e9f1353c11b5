//! Bookings run at most once, and every answer about them is true.

mod bench;

use std::time::Duration;

use bench::{EntryProcess, SERVICE_TIME, World, book, send, until};
use standin::{FaultPlan, REQUEST_ID_HEADER, ServerMode};

const LONG: Duration = Duration::from_secs(300);

/// Promise: a repeat gets the first run's answer, whole, and runs nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_first_answer() {
    let world = World::new(2, 3, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let ticket = entry.ticket("desk").await;
    let first = book(entry.relay, "b1", &ticket, 1, 1).await.unwrap();
    assert_eq!((first.status, first.outcome.as_str()), (200, "done"));
    for _ in 0..3 {
        let again = book(entry.relay, "b1", &ticket, 1, 2).await.unwrap();
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    assert_eq!(world.runs("b1"), 1);
    let other = book(entry.relay, "b2", &ticket, 2, 1).await.unwrap();
    assert_eq!(other.outcome, "done");
    assert_eq!(world.runs("b2"), 1);
}

/// Promise: when the entry dies in mid-request, a repeat elsewhere is "unknown" and not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_not_repeated_when_its_entry_dies() {
    let world = World::new(2, 3, LONG).await;
    let mut first = EntryProcess::start(&world, "a", 0).await;
    let second = EntryProcess::start(&world, "b", 1).await;
    second.knows(2).await;
    let ticket = first.ticket("desk").await;
    let sent = tokio::spawn({
        let (address, ticket) = (first.relay, ticket.clone());
        async move { book(address, "b1", &ticket, 1, 1).await }
    });
    until("the booking never started", || world.runs("b1") == 1).await;
    first.child.kill().unwrap();
    assert_eq!(
        sent.await.unwrap(),
        None,
        "the caller's connection must break"
    );
    // Known, but gone; then forgotten; then replaced by another run.
    for step in 0..3 {
        let repeat = book(second.relay, "b1", &ticket, 1, 2).await.unwrap();
        assert_eq!(repeat.outcome, "unknown", "step {step}");
        world
            .members
            .lock()
            .unwrap()
            .retain(|m| step != 0 || m.node.instance.as_str() != "a");
    }
    let replaced = EntryProcess::start(&world, "a", 0).await;
    let repeat = book(replaced.relay, "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!(repeat.outcome, "unknown");
    assert_eq!(world.runs("b1"), 1);
}

/// Promise: a caller that sent its key nowhere before is told the truth about a stale
/// ticket: not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_first_attempt_with_a_stale_ticket_is_not_run() {
    let world = World::new(1, 3, SERVICE_TIME).await;
    let first = EntryProcess::start(&world, "a", 0).await;
    let ticket = first.ticket("desk").await;
    drop(first);
    let second = EntryProcess::start(&world, "a", 0).await;
    let answer = book(second.relay, "b1", &ticket, 1, 1).await.unwrap();
    assert_eq!((answer.status, answer.outcome.as_str()), (410, "not-run"));
    assert_eq!(world.runs("b1"), 0);
}

/// Promise: a repeat at another instance is passed to the run that its ticket names.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_elsewhere_reaches_the_ticket_holder() {
    let world = World::new(2, 3, SERVICE_TIME).await;
    let first = EntryProcess::start(&world, "a", 0).await;
    let second = EntryProcess::start(&world, "b", 1).await;
    second.knows(2).await;
    let ticket = first.ticket("desk").await;
    let answer = book(first.relay, "b1", &ticket, 1, 1).await.unwrap();
    let repeat = book(second.relay, "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!((repeat.status, &repeat.body), (200, &answer.body));
    assert_eq!(world.runs("b1"), 1);
}

/// Promise: when the backend server dies in mid-run, the booking is unknown and never sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_not_sent_again_when_its_server_dies() {
    let world = World::new(2, 3, LONG).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let ticket = entry.ticket("desk").await;
    // First tries fill the retry budget, so that it isn't the budget that prevents a retry.
    let impatient = [(REQUEST_ID_HEADER, "r"), ("laurelhill-deadline-ms", "30")];
    for _ in 0..40 {
        send(entry.relay, "/board/x", &impatient, b"").await;
    }
    let sent = tokio::spawn({
        let (address, ticket) = (entry.relay, ticket.clone());
        async move { book(address, "b1", &ticket, 1, 1).await }
    });
    until("the booking never started", || world.runs("b1") == 1).await;
    // The other servers would take it.
    let server = world
        .backends
        .iter()
        .find(|b| b.runs().contains_key("b1"))
        .unwrap();
    server.set_mode(ServerMode::Down);
    assert_eq!(sent.await.unwrap().unwrap().outcome, "unknown");
    server.set_mode(ServerMode::Ready);
    let repeat = book(entry.relay, "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!(repeat.outcome, "unknown");
    assert_eq!(world.runs("b1"), 1);
}

/// Promise: "not run" is true for good: a refused key never runs, however late its copy comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_booking_stays_refused() {
    let world = World::new(1, 2, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let ticket = entry.ticket("desk").await;
    world.set_mode(ServerMode::Down);
    // Down servers close every connection at once, which is no answer, or refuse it.
    let headers = [
        (REQUEST_ID_HEADER, "b1"),
        ("laurelhill-ticket", ticket.as_str()),
        ("laurelhill-number", "1"),
        ("laurelhill-deadline-ms", "1"),
    ];
    let refused = send(entry.relay, "/desk/bookings", &headers, b"one booking")
        .await
        .unwrap();
    assert_eq!(refused.outcome, "not-run");
    world.set_mode(ServerMode::Ready);
    let late = book(entry.relay, "b1", &ticket, 1, 2).await.unwrap();
    assert_eq!(
        (late.outcome.as_str(), late.kind.as_str()),
        ("not-run", "refused-before")
    );
    assert_eq!(world.runs("b1"), 0);
}

/// Promise: a caller's own key is claimed before anything runs, wherever the copies arrive.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_runs_once_across_instances() {
    let world = World::new(2, 3, SERVICE_TIME).await;
    let first = EntryProcess::start(&world, "a", 0).await;
    let second = EntryProcess::start(&world, "b", 1).await;
    let headers = [(REQUEST_ID_HEADER, "k1"), ("idempotency-key", "order 4711")];
    let (one, two) = tokio::join!(
        send(first.relay, "/desk/orders", &headers, b"order"),
        send(second.relay, "/desk/orders", &headers, b"order"),
    );
    let mut outcomes = [one.unwrap().outcome, two.unwrap().outcome];
    outcomes.sort();
    assert!(outcomes.contains(&"done".to_owned()));
    assert_eq!(world.runs("k1"), 1);
    let repeat = send(second.relay, "/desk/orders", &headers, b"order")
        .await
        .unwrap();
    assert_eq!(repeat.outcome, "done");
    assert_eq!(world.runs("k1"), 1);
}

/// Promise: with the platform down a key can't be claimed, so nothing runs; tickets go on.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_refuses_keys_and_serves_tickets() {
    let world = World::new(2, 3, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    world.platform.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    let headers = [(REQUEST_ID_HEADER, "k1"), ("idempotency-key", "order 1")];
    let refused = send(entry.relay, "/desk/orders", &headers, b"order")
        .await
        .unwrap();
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(
        refused.retry_after.is_some(),
        "a refusal says when to come back"
    );
    let ticket = entry.ticket("desk").await;
    assert_eq!(
        book(entry.relay, "b1", &ticket, 1, 1)
            .await
            .unwrap()
            .outcome,
        "done"
    );
    world.platform.set_faults(FaultPlan::default());
    let late = send(entry.relay, "/desk/orders", &headers, b"order")
        .await
        .unwrap();
    assert_eq!(late.outcome, "not-run");
    assert_eq!(world.runs("k1"), 0);
}

/// Promise: a claim whose answer was lost either stands for its request or for nobody.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_with_a_lost_answer_runs_at_most_once() {
    let world = World::new(2, 3, SERVICE_TIME).await;
    let first = EntryProcess::start(&world, "a", 0).await;
    let second = EntryProcess::start(&world, "b", 1).await;
    world.platform.set_faults(FaultPlan {
        lose_answers: true,
        ..FaultPlan::default()
    });
    let headers = [(REQUEST_ID_HEADER, "k1"), ("idempotency-key", "order 1")];
    let one = send(first.relay, "/desk/orders", &headers, b"order")
        .await
        .unwrap();
    assert_eq!(
        one.outcome, "done",
        "the claim is read back and found to be ours"
    );
    let two = send(second.relay, "/desk/orders", &headers, b"order")
        .await
        .unwrap();
    assert_ne!(two.kind, "", "the second copy must be refused or unknown");
    assert_eq!(world.runs("k1"), 1);
}

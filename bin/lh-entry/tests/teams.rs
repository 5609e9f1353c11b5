//! Teams: whose request it is, what servers are told of it, and where it may run.

mod world;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use platform_standin::{
    FakeBackend, FaultPlan, RouteText, SeenRequest, TeamText, desired_state, server_entry_in,
    with_teams,
};
use serde_json::Value;
use world::{Answer, BOARD, DESK, EntryProcess, World, exchange, request, until};

const RED_KEY: &str = "red-key-4f1d9c";
const BLUE_KEY: &str = "blue-key-77ab02";
const RED: TeamText<'static> = TeamText {
    name: "red",
    keys: &[RED_KEY],
    priority: 1,
    rate: 0.0,
    burst: 0.0,
    regions: &[],
};
const BLUE: TeamText<'static> = TeamText {
    name: "blue",
    keys: &[BLUE_KEY],
    ..RED
};
const OPEN: RouteText<'static> = RouteText {
    name: "open",
    prefix: "/open/",
    ..BOARD
};

fn state(version: u64, teams: &[TeamText<'_>]) -> Value {
    with_teams(
        desired_state(version, &[BOARD, DESK, OPEN]),
        teams,
        &["open"],
    )
}

async fn world(count: usize, teams: &[TeamText<'_>]) -> World {
    let world = World::new(count).await;
    world.store.put("op", "config", &state(6, teams));
    world
}

fn keyed(path: &str, id: &str, key: &str) -> Request<Full<Bytes>> {
    let mut request = request("GET", path, id);
    let value = HeaderValue::from_str(&format!("Token {key}")).unwrap();
    request.headers_mut().insert(AUTHORIZATION, value);
    request
}

async fn send(entry: &EntryProcess, request: Request<Full<Bytes>>) -> Answer {
    let mut sender = entry.connect().await;
    exchange(&mut sender, request).await.expect("an answer")
}

fn ran(backends: &[FakeBackend], id: &str) -> Option<SeenRequest> {
    let seen = backends.iter().flat_map(FakeBackend::seen);
    seen.filter(|request| {
        request
            .headers
            .get("request-id")
            .is_some_and(|seen| seen == id)
    })
    .find(|request| request.ran)
}

/// Promise: servers are told whose request it is, whatever the caller says itself, and never
/// see its key; neither do logs, metrics or operators.
#[tokio::test]
async fn a_key_ends_at_the_door() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut forged = keyed("/board/x", "a", RED_KEY);
    let stated = HeaderValue::from_static("blue");
    forged
        .headers_mut()
        .insert(HeaderName::from_static("tenant"), stated);
    assert_eq!(send(&entry, forged).await.status, 200);
    let seen = ran(&world.backends, "a").unwrap();
    assert_eq!(seen.headers.get("tenant").map(String::as_str), Some("red"));
    assert_eq!(seen.headers.get("authorization"), None);
    assert_eq!(
        send(&entry, keyed("/board/x", "b", "wrong-key-5512"))
            .await
            .status,
        401
    );
    until("both are logged", async || {
        entry.logged("\"request\"").len() >= 2
    })
    .await;
    let mut shown = entry.lines.lock().unwrap().join("\n");
    shown.push_str(&entry.metrics().await);
    shown.push_str(&entry.document("/v1/status").await.to_string());
    for key in [RED_KEY, BLUE_KEY, "wrong-key-5512"] {
        assert!(!shown.contains(key), "{key} is shown");
    }
}

/// Promise: without a key of a team's nothing runs, but on public routes.
#[tokio::test]
async fn nobody_enters_without_a_key() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let two = {
        let mut two = keyed("/board/x", "two", RED_KEY);
        let other = HeaderValue::from_static("Token other");
        two.headers_mut().append(AUTHORIZATION, other);
        two
    };
    let raw = {
        let mut raw = request("GET", "/board/x", "raw");
        let value = HeaderValue::from_bytes(b"Token \xff\xfe").unwrap();
        raw.headers_mut().insert(AUTHORIZATION, value);
        raw
    };
    let refused = [
        ("none", request("GET", "/board/x", "none")),
        ("unknown", keyed("/board/x", "unknown", "nobodys")),
        ("empty", keyed("/board/x", "empty", "")),
        ("long", keyed("/board/x", "long", &"k".repeat(9000))),
        ("two", two),
        ("raw", raw),
    ];
    for (id, request) in refused {
        let answer = send(&entry, request).await;
        assert_eq!(answer.status, 401, "{id}");
        assert_eq!(answer.header("www-authenticate"), "Token", "{id}");
        assert!(ran(&world.backends, id).is_none(), "{id} ran");
    }
    assert_eq!(
        send(&entry, request("GET", "/open/x", "open")).await.status,
        200
    );
    let seen = ran(&world.backends, "open").unwrap();
    assert_eq!(seen.headers.get("tenant"), None);
    assert_eq!(
        send(&entry, keyed("/open/x", "both", BLUE_KEY))
            .await
            .status,
        200
    );
    let seen = ran(&world.backends, "both").unwrap();
    assert_eq!(seen.headers.get("tenant").map(String::as_str), Some("blue"));
    assert_eq!(seen.headers.get("authorization"), None);
}

/// Promise: a key that is taken away stops to count, also on connections that are open.
#[tokio::test]
async fn a_key_taken_away_stops() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut kept = entry.connect().await;
    let answer = exchange(&mut kept, keyed("/board/x", "a", RED_KEY)).await;
    assert_eq!(answer.unwrap().status, 200);
    let keyless = TeamText { keys: &[], ..RED };
    world.store.put("op", "config", &state(9, &[keyless, BLUE]));
    until("the key is refused", async || {
        let answer = exchange(&mut kept, keyed("/board/x", "b", RED_KEY)).await;
        answer.is_some_and(|answer| answer.status == 401)
    })
    .await;
    assert_eq!(
        send(&entry, keyed("/board/x", "c", BLUE_KEY)).await.status,
        200
    );
}

/// Promise: a team's home regions bind, with those of nobody else.
#[tokio::test]
async fn a_teams_homes_bind() {
    let at_home = TeamText {
        regions: &["south"],
        ..RED
    };
    let world = world(2, &[at_home, BLUE]).await;
    let south = &world.backends[1];
    let row = server_entry_in("zone-b", "board", south.address(), "ready", 1);
    world.store.put("servers", south.id(), &row);
    let entry = EntryProcess::ready(&world, "n1").await;
    for turn in 0..8 {
        let id = format!("r{turn}");
        assert_eq!(
            send(&entry, keyed("/board/x", &id, RED_KEY)).await.status,
            200
        );
        assert_eq!(south.runs(&id), 1, "{id} ran elsewhere");
    }
    world.store.drop_row("servers", south.id());
    until("no server of its home is left", async || {
        send(&entry, keyed("/board/x", "gone", RED_KEY))
            .await
            .status
            == 503
    })
    .await;
    assert_eq!(
        send(&entry, keyed("/board/x", "b", BLUE_KEY)).await.status,
        200
    );
}

/// Promise: an entry that the store no longer answers serves nobody's key for longer than the
/// bound, says so at once and truly, is told to no caller, and goes on with public routes; it
/// serves again once it has heard.
#[tokio::test]
async fn in_the_dark_no_key_counts() {
    let world = world(1, &[RED, BLUE]).await;
    let bounds = "revoke = 2s\nrevoke_cut_off = true\nconfig_apply = 1500ms\n";
    let entry = EntryProcess::start_with_bounds(world.store.address(), "n1", bounds);
    entry.wait_ready().await;
    assert_eq!(
        send(&entry, keyed("/board/x", "a", RED_KEY)).await.status,
        200
    );
    world.store.set_faults(FaultPlan::silence());
    until("keys are refused", async || {
        send(&entry, keyed("/board/x", "wait", RED_KEY))
            .await
            .status
            == 503
    })
    .await;
    let dark = send(&entry, keyed("/board/x", "dark", RED_KEY)).await;
    assert_eq!(
        (dark.status, dark.header("laurelhill-outcome")),
        (503, "not-run")
    );
    assert!(dark.header("retry-after").parse::<f64>().unwrap() > 0.0);
    assert!(ran(&world.backends, "dark").is_none());
    // It can't know whether the key was added meanwhile.
    assert_eq!(
        send(&entry, keyed("/board/x", "new", "new-key-1"))
            .await
            .status,
        503
    );
    assert_eq!(entry.status("/ready").await, Some(503));
    assert_eq!(
        send(&entry, request("GET", "/open/x", "open")).await.status,
        200
    );
    world.store.set_faults(FaultPlan::default());
    until("keys are served again", async || {
        send(&entry, keyed("/board/x", "back", RED_KEY))
            .await
            .status
            == 200
    })
    .await;
    entry.wait_ready().await;
}

/// Promise: where the operators' bound doesn't hold for entries that hear nothing, these go
/// on with the keys that they know.
#[tokio::test]
async fn without_the_bound_known_keys_go_on() {
    let world = world(1, &[RED, BLUE]).await;
    let bounds = "revoke = 1s\nrevoke_cut_off = false\nconfig_apply = 1s\n";
    let entry = EntryProcess::start_with_bounds(world.store.address(), "n1", bounds);
    entry.wait_ready().await;
    world.store.set_faults(FaultPlan::outage());
    until("it doesn't know of new keys", async || {
        send(&entry, keyed("/board/x", "new", "new-key-1"))
            .await
            .status
            == 503
    })
    .await;
    assert_eq!(
        send(&entry, keyed("/board/x", "a", RED_KEY)).await.status,
        200
    );
    assert_eq!(entry.status("/ready").await, Some(200));
}

/// Promise: a team's quota holds over all entries together, and who is over it is told truly
/// when to come back; another team isn't harmed.
#[tokio::test]
async fn a_quota_holds_over_entries() {
    let slow = TeamText {
        rate: 0.2,
        burst: 12.0,
        ..RED
    };
    let world = world(2, &[slow, BLUE]).await;
    let bounds = "quota_slack = 4\nquota_excess = 0\n";
    let first = EntryProcess::start_with_bounds(world.store.address(), "n1", bounds);
    first.wait_ready().await;
    let second = EntryProcess::start_with_peer(&first, world.store.address(), "n2", bounds);
    second.wait_ready().await;
    until("both are named", async || {
        first.lookup().await.matches(':').count() >= 4
    })
    .await;
    let mut statuses = Vec::new();
    for turn in 0..40 {
        let entry = if turn % 2 == 0 { &first } else { &second };
        let id = format!("r{turn}");
        let answer = send(entry, keyed("/board/x", &id, RED_KEY)).await;
        if answer.status == 429 {
            assert!(answer.header("retry-after").parse::<f64>().unwrap() > 0.0);
            assert!(ran(&world.backends, &id).is_none());
        }
        statuses.push(answer.status);
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(served + refused, 40, "{statuses:?}");
    assert!(served <= 12 + 4, "{served} of 12 were served");
    assert!(refused >= 20, "{statuses:?}");
    assert_eq!(
        send(&first, keyed("/board/x", "b", BLUE_KEY)).await.status,
        200
    );
}

/// Promise: a flood of wrong keys leaves nothing behind: memory stays, and the lines of others
/// are still written. `WRONG_KEYS` sets how many more; a million by hand.
#[tokio::test]
async fn a_flood_of_wrong_keys_leaves_nothing() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut sender = entry.connect().await;
    let mut flood = async |count: u32, turn: &str| {
        for number in 0..count {
            let key = format!("{turn}-{number}-{}", "x".repeat(200));
            let answer = exchange(&mut sender, keyed("/board/x", "flood", &key)).await;
            assert_eq!(answer.unwrap().status, 401);
        }
    };
    flood(1000, "first").await;
    let before = entry.peak_memory();
    let wanted = std::env::var("WRONG_KEYS").ok();
    let more = wanted.and_then(|text| text.parse().ok()).unwrap_or(8_000);
    flood(more, "second").await;
    let grown = entry.peak_memory() - before;
    assert!(grown < 4 << 10, "{grown} KiB more");
    assert_eq!(
        send(&entry, keyed("/board/x", "good", RED_KEY))
            .await
            .status,
        200
    );
    until("the good request's line is written", async || {
        !entry.logged("\"good\"").is_empty()
    })
    .await;
    let denied = entry.logged("key-unknown").len();
    assert!(denied < 4_000.max(more as usize / 10), "{denied} lines");
    let metrics = entry.metrics().await;
    assert!(
        metrics.contains(&format!(
            "laurelhill_refusals_total{{reason=\"key-unknown\"}} {}",
            1000 + more
        )),
        "{metrics}"
    );
}

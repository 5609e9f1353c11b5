//! Teams: authentication by key, the team passed to servers, home regions, and quotas.

mod world;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use platform_standin::{
    FakeBackend, FaultPlan, RouteFixture, SeenRequest, TeamFixture, desired_state, server_entry_in,
    with_teams,
};
use serde_json::Value;
use world::{Answer, BOARD, DESK, EntryProcess, World, exchange, request, until};

/// Requests sent after the store's clock has jumped, and the interval between them.
const REQUESTS_AFTER_JUMP: u32 = 40;
const JUMP_INTERVAL: Duration = Duration::from_millis(100);
/// Requests sent while the store is slow, and the interval between them.
const REQUESTS_WHILE_SLOW: u32 = 60;
const SLOW_INTERVAL: Duration = Duration::from_millis(150);
/// How far the store's clock is off after it changed.
const CLOCK_CHANGE: Duration = Duration::from_secs(600);
const RED_KEY: &str = "red-key-4f1d9c";
const BLUE_KEY: &str = "blue-key-77ab02";
const RED: TeamFixture<'static> = TeamFixture {
    name: "red",
    keys: &[RED_KEY],
    priority: 1,
    rate: 0.0,
    burst: 0.0,
    regions: &[],
};
const BLUE: TeamFixture<'static> = TeamFixture {
    name: "blue",
    keys: &[BLUE_KEY],
    ..RED
};
const OPEN: RouteFixture<'static> = RouteFixture {
    name: "open",
    prefix: "/open/",
    ..BOARD
};

fn state(version: u64, teams: &[TeamFixture<'_>]) -> Value {
    with_teams(
        desired_state(version, &[BOARD, DESK, OPEN]),
        teams,
        &["open"],
    )
}

async fn world(count: usize, teams: &[TeamFixture<'_>]) -> World {
    let world = World::new(count).await;
    world.store.put("op", "config", &state(6, teams));
    world
}

fn request_with_key(path: &str, id: &str, key: &str) -> Request<Full<Bytes>> {
    let mut request = request("GET", path, id);
    let value = HeaderValue::from_str(&format!("Token {key}")).unwrap();
    request.headers_mut().insert(AUTHORIZATION, value);
    request
}

async fn send(entry: &EntryProcess, request: Request<Full<Bytes>>) -> Answer {
    let mut sender = entry.connect().await;
    exchange(&mut sender, request).await.expect("an answer")
}

fn find_run(backends: &[FakeBackend], id: &str) -> Option<SeenRequest> {
    let seen = backends.iter().flat_map(FakeBackend::seen);
    seen.filter(|request| {
        request
            .headers
            .get("request-id")
            .is_some_and(|seen| seen == id)
    })
    .find(|request| request.ran)
}

/// Servers receive the team of a request, whatever the caller claims, but never its key. Keys do
/// not appear in logs, metrics or the status either.
#[tokio::test]
async fn keys_are_not_forwarded_or_shown() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut forged = request_with_key("/board/x", "a", RED_KEY);
    let stated = HeaderValue::from_static("blue");
    forged
        .headers_mut()
        .insert(HeaderName::from_static("tenant"), stated);
    assert_eq!(send(&entry, forged).await.status, 200);
    let seen = find_run(&world.backends, "a").unwrap();
    assert_eq!(seen.headers.get("tenant").map(String::as_str), Some("red"));
    assert_eq!(seen.headers.get("authorization"), None);
    assert_eq!(
        send(&entry, request_with_key("/board/x", "b", "wrong-key-5512"))
            .await
            .status,
        401
    );
    until("both requests are logged", async || {
        entry.logged("\"request\"").len() >= 2
    })
    .await;
    let mut shown = entry.lines.lock().unwrap().join("\n");
    shown.push_str(&entry.metrics().await);
    shown.push_str(&entry.document("/v1/status").await.to_string());
    for key in [RED_KEY, BLUE_KEY, "wrong-key-5512"] {
        assert!(!shown.contains(key), "{key} is visible");
    }
}

/// Without the key of a team, requests run only on public routes.
#[tokio::test]
async fn requests_without_a_valid_key_get_401() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let two = {
        let mut two = request_with_key("/board/x", "two", RED_KEY);
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
        (
            "unknown",
            request_with_key("/board/x", "unknown", "nobodys"),
        ),
        ("empty", request_with_key("/board/x", "empty", "")),
        (
            "long",
            request_with_key("/board/x", "long", &"k".repeat(9000)),
        ),
        ("two", two),
        ("raw", raw),
    ];
    for (id, request) in refused {
        let answer = send(&entry, request).await;
        assert_eq!(answer.status, 401, "{id}");
        assert_eq!(answer.header("www-authenticate"), "Token", "{id}");
        assert!(find_run(&world.backends, id).is_none(), "{id} ran");
    }
    assert_eq!(
        send(&entry, request("GET", "/open/x", "open")).await.status,
        200
    );
    let seen = find_run(&world.backends, "open").unwrap();
    assert_eq!(seen.headers.get("tenant"), None);
    assert_eq!(
        send(&entry, request_with_key("/open/x", "both", BLUE_KEY))
            .await
            .status,
        200
    );
    let seen = find_run(&world.backends, "both").unwrap();
    assert_eq!(seen.headers.get("tenant").map(String::as_str), Some("blue"));
    assert_eq!(seen.headers.get("authorization"), None);
}

/// A revoked key is refused, also on connections that are already open.
#[tokio::test]
async fn a_revoked_key_is_refused_on_open_connections() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut kept_connection = entry.connect().await;
    let answer = exchange(
        &mut kept_connection,
        request_with_key("/board/x", "a", RED_KEY),
    )
    .await;
    assert_eq!(answer.unwrap().status, 200);
    let keyless = TeamFixture { keys: &[], ..RED };
    world.store.put("op", "config", &state(9, &[keyless, BLUE]));
    until("the key is refused", async || {
        let answer = exchange(
            &mut kept_connection,
            request_with_key("/board/x", "b", RED_KEY),
        )
        .await;
        answer.is_some_and(|answer| answer.status == 401)
    })
    .await;
    assert_eq!(
        send(&entry, request_with_key("/board/x", "c", BLUE_KEY))
            .await
            .status,
        200
    );
}

/// A team's requests run only in its home regions, which don't affect other teams.
#[tokio::test]
async fn a_teams_home_regions_are_enforced() {
    let southern = TeamFixture {
        regions: &["south"],
        ..RED
    };
    let world = world(2, &[southern, BLUE]).await;
    let south = &world.backends[1];
    let row = server_entry_in("zone-b", "board", south.address(), "ready", 1);
    world.store.put("servers", south.id(), &row);
    let entry = EntryProcess::ready(&world, "n1").await;
    for turn in 0..8 {
        let id = format!("r{turn}");
        assert_eq!(
            send(&entry, request_with_key("/board/x", &id, RED_KEY))
                .await
                .status,
            200
        );
        assert_eq!(south.runs(&id), 1, "{id} ran outside the home region");
    }
    world.store.delete_row("servers", south.id());
    until("the home region has no server left", async || {
        send(&entry, request_with_key("/board/x", "gone", RED_KEY))
            .await
            .status
            == 503
    })
    .await;
    assert_eq!(
        send(&entry, request_with_key("/board/x", "b", BLUE_KEY))
            .await
            .status,
        200
    );
}

/// An entry that can't reach the store stops accepting keys after the configured time. It then
/// responds immediately that requests did not run, is no longer ready, and continues to serve
/// public routes. It accepts keys again once the store responds.
#[tokio::test]
async fn a_cut_off_entry_stops_accepting_keys() {
    let world = world(1, &[RED, BLUE]).await;
    let settings = "revoke = 2s\nrevoke_cut_off = true\nconfig_apply = 1500ms\n";
    let entry = EntryProcess::start_with_bounds(world.store.address(), "n1", settings);
    entry.wait_ready().await;
    assert_eq!(
        send(&entry, request_with_key("/board/x", "a", RED_KEY))
            .await
            .status,
        200
    );
    world.store.set_faults(FaultPlan::silence());
    until("keys are refused", async || {
        send(&entry, request_with_key("/board/x", "wait", RED_KEY))
            .await
            .status
            == 503
    })
    .await;
    let cut_off = send(&entry, request_with_key("/board/x", "dark", RED_KEY)).await;
    assert_eq!(
        (cut_off.status, cut_off.header("laurelhill-outcome")),
        (503, "not-run")
    );
    assert!(cut_off.header("retry-after").parse::<f64>().unwrap() > 0.0);
    assert!(find_run(&world.backends, "dark").is_none());
    // The entry can't know whether this key has been added meanwhile.
    assert_eq!(
        send(&entry, request_with_key("/board/x", "new", "new-key-1"))
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
    until("keys are accepted again", async || {
        send(&entry, request_with_key("/board/x", "back", RED_KEY))
            .await
            .status
            == 200
    })
    .await;
    entry.wait_ready().await;
}

/// Without `revoke_cut_off`, entries that can't reach the store continue to accept the keys that
/// they know.
#[tokio::test]
async fn without_a_cut_off_known_keys_remain_valid() {
    let world = world(1, &[RED, BLUE]).await;
    let settings = "revoke = 1s\nrevoke_cut_off = false\nconfig_apply = 1s\n";
    let entry = EntryProcess::start_with_bounds(world.store.address(), "n1", settings);
    entry.wait_ready().await;
    world.store.set_faults(FaultPlan::outage());
    until("unknown keys are no longer denied", async || {
        send(&entry, request_with_key("/board/x", "new", "new-key-1"))
            .await
            .status
            == 503
    })
    .await;
    assert_eq!(
        send(&entry, request_with_key("/board/x", "a", RED_KEY))
            .await
            .status,
        200
    );
    assert_eq!(entry.status("/ready").await, Some(200));
}

/// All entries together enforce a team's quota. Requests over the quota get a retry time, and other
/// teams are not affected.
#[tokio::test]
async fn a_quota_is_shared_by_all_entries() {
    let slow = TeamFixture {
        rate: 0.2,
        burst: 12.0,
        ..RED
    };
    let world = world(2, &[slow, BLUE]).await;
    let settings = "quota_slack = 4\nquota_excess = 0\n";
    let first = EntryProcess::start_with_bounds(world.store.address(), "n1", settings);
    first.wait_ready().await;
    let second = EntryProcess::start_with_peer(&first, world.store.address(), "n2", settings);
    second.wait_ready().await;
    until("look-ups name both entries", async || {
        first.lookup().await.matches(':').count() >= 4
    })
    .await;
    let mut statuses = Vec::new();
    for turn in 0..40 {
        let entry = if turn % 2 == 0 { &first } else { &second };
        let id = format!("r{turn}");
        let answer = send(entry, request_with_key("/board/x", &id, RED_KEY)).await;
        if answer.status == 429 {
            assert!(answer.header("retry-after").parse::<f64>().unwrap() > 0.0);
            assert!(find_run(&world.backends, &id).is_none());
        }
        statuses.push(answer.status);
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(served + refused, 40, "{statuses:?}");
    assert!(
        served <= 12 + 4,
        "{served} requests served with a burst of 12"
    );
    assert!(refused >= 20, "{statuses:?}");
    assert_eq!(
        send(&first, request_with_key("/board/x", "b", BLUE_KEY))
            .await
            .status,
        200
    );
}

/// A flood of unknown keys neither increases memory usage nor suppresses the log lines of other
/// requests. `WRONG_KEYS` sets the size of the second flood; use a million for a manual run.
#[tokio::test]
async fn a_flood_of_unknown_keys_is_bounded_in_memory_and_log() {
    let world = world(1, &[RED, BLUE]).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut sender = entry.connect().await;
    let mut flood = async |count: u32, turn: &str| {
        for number in 0..count {
            let key = format!("{turn}-{number}-{}", "x".repeat(200));
            let answer = exchange(&mut sender, request_with_key("/board/x", "flood", &key)).await;
            assert_eq!(answer.unwrap().status, 401);
        }
    };
    flood(1000, "first").await;
    let before = entry.peak_memory();
    let flood_size = std::env::var("WRONG_KEYS").ok();
    let more = flood_size
        .and_then(|text| text.parse().ok())
        .unwrap_or(8_000);
    flood(more, "second").await;
    let grown = entry.peak_memory() - before;
    assert!(grown < 4 << 10, "memory usage increased by {grown} KiB");
    assert_eq!(
        send(&entry, request_with_key("/board/x", "good", RED_KEY))
            .await
            .status,
        200
    );
    until("the valid request is logged", async || {
        !entry.logged("\"good\"").is_empty()
    })
    .await;
    let denied = entry.logged("key-unknown").len();
    assert!(
        denied < 4_000.max(more as usize / 10),
        "{denied} denials logged"
    );
    let metrics = entry.metrics().await;
    assert!(
        metrics.contains(&format!(
            "laurelhill_refusals_total{{reason=\"key-unknown\"}} {}",
            1000 + more
        )),
        "{metrics}"
    );
}

/// An entry whose clock falls behind the store's, as after its machine stood still unnoticed,
/// accepts keys again once the store has answered it, and asks the store no more than before.
#[tokio::test]
async fn a_store_clock_that_runs_ahead_leaves_no_key_refused() {
    let world = world(1, &[RED]).await;
    let bounds = "revoke = 2s\nrevoke_cut_off = true\nconfig_apply = 1500ms\n";
    let entry = EntryProcess::start_with_bounds(world.store.address(), "n1", bounds);
    entry.wait_ready().await;
    world.store.advance_clock(Duration::from_secs(40));
    let calls_before = world.store.calls("/rows-feed");
    let mut served = 0;
    for number in 0..REQUESTS_AFTER_JUMP {
        tokio::time::sleep(JUMP_INTERVAL).await;
        let id = format!("red-{number}");
        let answer = send(&entry, request_with_key("/board/x", &id, RED_KEY)).await;
        served += u32::from(answer.status == 200);
    }
    let calls = world.store.calls("/rows-feed") - calls_before;
    assert!(served > REQUESTS_AFTER_JUMP / 2, "{served} served");
    assert!(calls < 200, "{calls} calls");
}

/// Starts five entries with additional settings in `[bounds]`, and waits until they are ready.
async fn start_fleet(world: &World, bounds: &str) -> Vec<EntryProcess> {
    let store = world.store.address();
    let mut entries = vec![EntryProcess::start_with_bounds(store, "n0", bounds)];
    for number in 1..5 {
        let name = format!("n{number}");
        entries.push(EntryProcess::start_with_peer(
            &entries[0],
            store,
            &name,
            bounds,
        ));
    }
    for entry in &entries {
        entry.wait_ready().await;
    }
    entries
}

/// Lets the store be away until no entry accepts keys, and then answer after `change`. All entries
/// must accept them again.
async fn assert_keys_accepted_after_outage(change: impl FnOnce(&World)) {
    let world = world(1, &[RED]).await;
    world.store.advance_clock(CLOCK_CHANGE);
    let bounds = "revoke = 2s\nrevoke_cut_off = true\nconfig_apply = 1500ms\n";
    let entries = start_fleet(&world, bounds).await;
    world.store.set_faults(FaultPlan::outage());
    for entry in &entries {
        until("the entry refuses keys", async || {
            entry.status("/ready").await != Some(200)
        })
        .await;
    }
    change(&world);
    world.store.set_faults(FaultPlan::default());
    for (number, entry) in entries.iter().enumerate() {
        until(&format!("entry {number} accepts keys"), async || {
            entry.status("/ready").await == Some(200)
        })
        .await;
    }
}

/// Entries that aren't listed, because they refuse keys, don't wait for others that can't prove
/// anything to them by a clock that started anew.
#[tokio::test]
async fn a_store_clock_that_starts_anew_leaves_no_entry_without_keys() {
    assert_keys_accepted_after_outage(|world| world.store.restart_clock()).await;
}

/// The same for a clock that ran ahead meanwhile.
#[tokio::test]
async fn a_store_clock_that_ran_ahead_leaves_no_entry_without_keys() {
    assert_keys_accepted_after_outage(|world| world.store.advance_clock(CLOCK_CHANGE)).await;
}

/// The same for a clock that goes on.
#[tokio::test]
async fn an_outage_of_the_store_leaves_no_entry_without_keys() {
    assert_keys_accepted_after_outage(|_| ()).await;
}

/// Entries whose store takes 2 s for each answer can still prove that keys are valid that may be
/// accepted for 5 s: by the answers to calls that they had given up.
#[tokio::test]
async fn a_slow_store_leaves_no_key_refused() {
    let world = world(1, &[RED]).await;
    world.store.set_faults(FaultPlan {
        delay_ms: 2000,
        ..FaultPlan::default()
    });
    let bounds = "revoke = 5s\nrevoke_cut_off = true\nconfig_apply = 3s\n";
    let entries = start_fleet(&world, bounds).await;
    let mut served = 0;
    for number in 0..REQUESTS_WHILE_SLOW {
        tokio::time::sleep(SLOW_INTERVAL).await;
        let entry = &entries[number as usize % entries.len()];
        let id = format!("red-{number}");
        let answer = send(entry, request_with_key("/board/x", &id, RED_KEY)).await;
        served += u32::from(answer.status == 200);
    }
    assert!(served > REQUESTS_WHILE_SLOW / 2, "{served} served");
}

//! What machines that lost power bring back must not keep callers from being served.
//!
//! All instances of a fleet once came back from a loss of power and served less than a quarter of
//! their requests. Whatever an entry decides by the time of day may then be wrong, since machines
//! come back with other clocks.

mod world;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use platform_standin::{FakeBackend, FaultPlan, server_entry};
use serde_json::{Value, json};
use world::{EntryProcess, World, until};

/// Difference between two clocks, in milliseconds.
const CLOCK_DIFFERENCE_MS: u64 = 600_000;
/// Time that a slow store takes for each answer, in milliseconds.
const STORE_DELAY_MS: u64 = 2500;
/// Rows that the store lists in two answers.
const ROWS_OF_TWO_PAGES: usize = 600;
/// Interval between the heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

fn registration(backend: &FakeBackend, started: u64, seq: u64) -> Value {
    let mut row = server_entry("board", backend.address(), "ready", seq);
    row["born"] = json!(started);
    row
}

/// To an entry whose clock is behind, the starts of all servers lie in the future.
#[tokio::test]
async fn an_entry_with_a_late_clock_serves() {
    let world = World::new(3).await;
    for backend in &world.backends {
        let row = registration(backend, now_ms() + CLOCK_DIFFERENCE_MS, 1);
        world.store.put("servers", backend.id(), &row);
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let answer = entry.send("GET", "/board/x", "a").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    until("the entry logs that its clock is behind", async || {
        !entry.logged("clock is behind").is_empty()
    })
    .await;
}

/// A server that comes back under its id at another address, with a clock that is behind, states
/// an earlier start than the run that it replaces.
#[tokio::test]
async fn a_server_that_restarts_with_a_late_clock_gets_requests() {
    let world = World::new(1).await;
    let former = &world.backends[0];
    let id = former.id().to_owned();
    let started = now_ms();
    world
        .store
        .put("servers", &id, &registration(former, started, 7));
    let entry = EntryProcess::ready(&world, "n1").await;
    assert_eq!(entry.send("GET", "/board/x", "a").await.status, 200);
    let restarted = FakeBackend::start(&id).await;
    let mut seq = 0;
    until("the restarted server runs a request", async || {
        seq += 1;
        let row = registration(&restarted, started - CLOCK_DIFFERENCE_MS, seq);
        world.store.put("servers", &id, &row);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        let request = format!("b-{seq}");
        entry.send("GET", "/board/x", &request).await;
        restarted.runs(&request) == 1
    })
    .await;
}

/// An entry that starts while the store is away says what it waits for, and how long it took.
#[tokio::test]
async fn an_entry_that_is_not_ready_says_why() {
    let world = World::new(1).await;
    world.store.set_faults(FaultPlan::outage());
    let entry = EntryProcess::start(world.store.address(), "n1", &[]);
    until("the entry answers", async || {
        entry.status("/ready").await == Some(503)
    })
    .await;
    let status = entry.document("/v1/status").await;
    let waits_for = json!(["desired-state", "servers", "keys"]);
    assert_eq!(status["waits_for"], waits_for, "{status}");
    world.store.set_faults(FaultPlan::default());
    entry.wait_ready().await;
    assert_eq!(entry.document("/v1/status").await["waits_for"], json!([]));
    until("the entry logs that it is ready", async || {
        !entry.logged("ready for the first time").is_empty()
    })
    .await;
    let metrics = entry.metrics().await;
    let line = |name: &str| format!("laurelhill_readiness_seconds{{requirement=\"{name}\"}} 0\n");
    for requirement in ["desired-state", "servers", "keys"] {
        assert!(!metrics.contains(&line(requirement)), "{metrics}");
    }
}

/// A store that serves machines which all return at once may take longer for each answer than an
/// entry waits for one call. Calls that were made again and again got no answer at all.
#[tokio::test]
async fn a_slow_store_keeps_no_entry_from_starting() {
    let world = World::new(1).await;
    world.store.set_faults(slow_store());
    let entry = EntryProcess::ready(&world, "n1").await;
    assert_eq!(entry.send("GET", "/board/x", "a").await.status, 200);
}

/// More servers than the store lists in one answer.
#[tokio::test]
async fn a_slow_store_keeps_no_entry_of_a_large_deployment_from_starting() {
    let world = World::new(1).await;
    let row = server_entry("other", "127.0.0.1:1".parse().unwrap(), "ready", 1);
    for number in 0..ROWS_OF_TWO_PAGES {
        world.store.put("servers", &format!("a-{number:04}"), &row);
    }
    world.store.set_faults(slow_store());
    let entry = EntryProcess::ready(&world, "n1").await;
    assert_eq!(entry.send("GET", "/board/x", "a").await.status, 200);
}

fn slow_store() -> FaultPlan {
    FaultPlan {
        delay_ms: STORE_DELAY_MS,
        ..FaultPlan::default()
    }
}

//! Tests of desired states, the server registry, store failures and shutdown.

mod world;

use std::time::Duration;

use platform_standin::{
    Behavior, FakeBackend, FaultPlan, RouteFixture, desired_state, server_entry,
};
use world::{BOARD, DESK, EntryProcess, World, connect, exchange, request, request_for, until};

/// A new desired state must come into force, and an older one must be ignored afterwards.
#[tokio::test]
async fn an_older_desired_state_is_ignored() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let added = RouteFixture {
        name: "added",
        prefix: "/added/",
        ..BOARD
    };
    world
        .store
        .put("op", "config", &desired_state(9, &[BOARD, added]));
    until("the added route is in force", async || {
        entry.send("GET", "/added/x", "a").await.status == 200
    })
    .await;
    world
        .store
        .put("op", "config", &desired_state(7, &[BOARD, DESK]));
    until("the older state has been seen", async || {
        !entry.logged("older desired state").is_empty()
    })
    .await;
    assert_eq!(entry.send("GET", "/added/x", "b").await.status, 200);
    assert_eq!(entry.send("POST", "/desk/x", "c").await.status, 404);
}

/// A desired state or server entry that can't be decoded must be logged and change nothing.
#[tokio::test]
async fn a_broken_desired_state_changes_nothing() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world
        .store
        .put_bytes("op", "config", b"{\"version\": 9, \"resources\": [{}]}");
    until("it is logged", async || {
        !entry.logged("desired state refused").is_empty()
    })
    .await;
    world.store.put_bytes("servers", "i-9", b"nonsense");
    until("it is logged", async || {
        !entry.logged("server entry left out").is_empty()
    })
    .await;
    assert_eq!(entry.send("GET", "/board/x", "a").await.status, 200);
}

/// When the store has lost its change history, the entry must read all rows again.
#[tokio::test]
async fn all_rows_are_read_again_after_history_is_lost() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world.store.discard_history();
    world.store.put("op", "config", &desired_state(9, &[DESK]));
    until("the new state is in force", async || {
        entry.send("GET", "/board/x", "a").await.status == 404
    })
    .await;
}

/// A draining server must get no new requests.
#[tokio::test]
async fn a_draining_server_gets_no_new_requests() {
    let world = World::new(2).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let leaving = &world.backends[0];
    let row = server_entry("board", leaving.address(), "draining", 2);
    world.store.put("servers", leaving.id(), &row);
    until("it is logged", async || {
        !entry.logged("server is leaving").is_empty()
    })
    .await;
    let before = leaving.seen().len();
    for turn in 0..20 {
        let id = format!("r{turn}");
        assert_eq!(entry.send("GET", "/board/x", &id).await.status, 200);
    }
    assert_eq!(leaving.seen().len(), before);
}

/// A request for a server whose address now belongs to another one must not run there.
#[tokio::test]
async fn a_reused_address_runs_nothing_for_the_former_server() {
    let world = World::new(2).await;
    let former = server_entry("board", world.backends[1].address(), "ready", 1);
    world.store.put("servers", "i-former", &former);
    world.store.delete_row("servers", "i-1");
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut sender = entry.connect().await;
    for turn in 0..20 {
        let id = format!("r{turn}");
        let sent = request_for(&id, "POST", "/desk/x", &id, b"");
        let answer = exchange(&mut sender, sent).await.unwrap();
        assert_eq!(answer.body, "ran by i-0");
        assert_eq!(world.backends[1].runs(&id), 0);
    }
    let asked = world.backends[1].seen();
    assert!(!asked.is_empty(), "the address was never tried");
}

/// Nothing may be sent to an evacuated failure domain, and an entry without a remaining server
/// must refuse immediately.
#[tokio::test]
async fn an_evacuated_domain_gets_no_requests() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world
        .store
        .put("op", "evacuate/zone-a", &serde_json::json!({}));
    until("the evacuation is in force", async || {
        entry.send("GET", "/board/x", "a").await.status == 503
    })
    .await;
    let before = world.backends[0].seen().len();
    assert_eq!(entry.send("GET", "/board/x", "b").await.status, 503);
    assert_eq!(world.backends[0].seen().len(), before);
    world.store.delete_row("op", "evacuate/zone-a");
    until("the evacuation is cancelled", async || {
        entry.send("GET", "/board/x", "c").await.status == 200
    })
    .await;
}

/// An entry without a desired state must not be ready, must refuse immediately with a
/// retry-after header, and must serve once the store responds.
#[tokio::test]
async fn an_entry_without_a_desired_state_refuses() {
    let world = World::new(1).await;
    world.store.set_faults(FaultPlan::silence());
    let entry = EntryProcess::start(world.store.address(), "n1", &[]);
    until("it answers at all", async || {
        entry.status("/ready").await.is_some()
    })
    .await;
    assert_eq!(entry.status("/ready").await, Some(503));
    let answer = entry.send("GET", "/board/x", "a").await;
    assert_eq!(answer.status, 503);
    assert!(!answer.header("retry-after").is_empty());
    world.store.set_faults(FaultPlan::default());
    entry.wait_ready().await;
    assert_eq!(entry.send("GET", "/board/x", "b").await.status, 200);
}

/// The last known state must stay in force during a store outage, and the loss and recovery of
/// the store must be logged.
#[tokio::test]
async fn the_last_known_state_stays_in_force_during_a_store_outage() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world.store.set_faults(FaultPlan::outage());
    until("the loss is logged", async || {
        !entry.logged("dependency lost").is_empty()
    })
    .await;
    assert_eq!(entry.send("GET", "/board/x", "a").await.status, 200);
    world.store.set_faults(FaultPlan::default());
    until("the return is logged", async || {
        !entry.logged("dependency regained").is_empty()
    })
    .await;
}

/// During shutdown all accepted requests must be answered, including later ones on open
/// connections; connections must be closed cleanly, and the process must exit by itself.
#[tokio::test]
async fn shutdown_answers_all_accepted_requests() {
    let world = World::new(1).await;
    let mut entry = EntryProcess::ready(&world, "n1").await;
    world.backends[0].set_behavior(Behavior::Run(Duration::from_millis(1500)));
    let mut kept = entry.connect().await;
    let mut other = entry.connect().await;
    let waiting =
        tokio::spawn(async move { exchange(&mut kept, request("POST", "/desk/x", "long")).await });
    until("the server runs it", async || world.runs("long") == 1).await;
    entry.signal("TERM");
    until("it is not ready", async || {
        entry.status("/ready").await != Some(200)
    })
    .await;
    world.backends[0].set_behavior(Behavior::Run(Duration::ZERO));
    let late = exchange(&mut other, request("POST", "/desk/x", "late"))
        .await
        .unwrap();
    assert_eq!(late.status, 200);
    assert_eq!(late.header("connection"), "close");
    let answer = waiting
        .await
        .unwrap()
        .expect("the request in flight is answered");
    assert_eq!(answer.status, 200);
    let ended = tokio::task::spawn_blocking(move || entry.child.wait().unwrap());
    assert!(ended.await.unwrap().success());
}

/// Entries must find each other through a seed; look-ups must name both, and no longer name one
/// that has died.
#[tokio::test]
async fn look_ups_name_live_entries_only() {
    let world = World::new(1).await;
    let first = EntryProcess::ready(&world, "n1").await;
    let mut second = EntryProcess::start(world.store.address(), "n2", &[first.ip]);
    second.wait_ready().await;
    let both = [first.callers().to_string(), second.callers().to_string()];
    until("both are named", async || {
        let answer = first.lookup().await;
        both.iter().all(|address| answer.contains(address))
    })
    .await;
    second.child.kill().unwrap();
    until("the dead one is not named", async || {
        let answer = first.lookup().await;
        answer.contains(&both[0]) && !answer.contains(&both[1])
    })
    .await;
}

/// SIGHUP must have the settings checked again and must not interrupt service.
#[tokio::test]
async fn sighup_does_not_interrupt_service() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    entry.signal("HUP");
    until("it is logged", async || {
        !entry.logged("settings read again").is_empty()
    })
    .await;
    assert_eq!(entry.send("GET", "/board/x", "a").await.status, 200);
    assert!(connect(entry.callers()).await.is_some());
}

/// A server that left and restarts under the same id must be used again, at its new address,
/// although its sequence number starts over.
#[tokio::test]
async fn a_server_that_restarts_under_the_same_id_is_used() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let former = &world.backends[0];
    let row = |address, state, seq, born: u64| {
        let mut row = server_entry("board", address, state, seq);
        row["born"] = born.into();
        row
    };
    let leaving = row(former.address(), "draining", 60, 1_700_000_000_000);
    world.store.put("servers", former.id(), &leaving);
    until("the former process gets no more requests", async || {
        entry.send("GET", "/board/x", "a").await.status == 503
    })
    .await;
    let runs = former.seen().len();
    let fresh = FakeBackend::start(former.id()).await;
    let ready = row(fresh.address(), "ready", 1, 1_700_000_100_000);
    world.store.put("servers", fresh.id(), &ready);
    until("the new run is used", async || {
        entry.send("GET", "/board/x", "b").await.status == 200
    })
    .await;
    assert!(fresh.runs("b") > 0);
    assert_eq!(former.seen().len(), runs);
    assert!(!entry.logged("started again under its id").is_empty());
}

/// A foreign row must take its server out of use while it exists, must be logged once no matter
/// how often it is read, and must be counted.
#[tokio::test]
async fn a_foreign_row_is_logged_once() {
    let world = World::new(2).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let odd = serde_json::json!({"service": "board", "state": "ready"});
    world.store.put("servers", "i-0", &odd);
    until("it is counted", async || {
        let metrics = entry.metrics().await;
        metrics.contains("laurelhill_foreign_rows 1")
    })
    .await;
    for turn in 0..20 {
        let object = turn.to_string();
        let mut sender = entry.connect().await;
        let request = request_for(&object, "GET", "/board/x", &format!("r{turn}"), b"");
        assert_eq!(exchange(&mut sender, request).await.unwrap().status, 200);
    }
    assert!(world.backends[0].seen().is_empty());
    let registry_reads = async || -> usize {
        let metrics = entry.metrics().await;
        let line = metrics.lines().find(|line| {
            line.starts_with("laurelhill_store_calls_total{call=\"servers\",result=\"ok\"}")
        });
        line.and_then(|line| line.split(' ').next_back()?.parse().ok())
            .unwrap_or(0)
    };
    let before = registry_reads().await;
    until("it was read again", async || {
        registry_reads().await > before + 2
    })
    .await;
    assert_eq!(entry.logged("server entry left out").len(), 1);
    let own = server_entry("board", world.backends[0].address(), "ready", 2);
    world.store.put("servers", "i-0", &own);
    until("the server is used again", async || {
        entry.send("GET", "/board/x", "late").await;
        entry.metrics().await.contains("laurelhill_foreign_rows 0")
    })
    .await;
}

//! Tests of which entries read the store, and of how the others get its content.

mod world;

use std::time::Duration;

use place::rank::stable_hash;
use platform_standin::{FakeStore, desired_state, server_entry};
use world::{BOARD, DESK, EntryProcess, SilentProxy, World, until};

/// An entry without access to the store must get servers, desired states and evacuations from
/// another entry, including later changes.
#[tokio::test]
async fn an_entry_cut_off_from_the_store_follows_another() {
    let world = World::new(1).await;
    let first = EntryProcess::ready(&world, "n1").await;
    let unreachable_address = "127.0.0.1:1".parse().unwrap();
    let second = EntryProcess::start(unreachable_address, "n2", &[first.ip]);
    second.wait_ready().await;
    assert_eq!(second.send("GET", "/board/x", "a").await.status, 200);
    world.store.put("op", "config", &desired_state(9, &[DESK]));
    until("the new state is in force there", async || {
        second.send("GET", "/board/x", "b").await.status == 404
    })
    .await;
    world
        .store
        .put("op", "evacuate/zone-a", &serde_json::json!({}));
    until("the evacuation is in force there", async || {
        second.send("POST", "/desk/x", "c").await.status == 503
    })
    .await;
}

/// If no entry of a region has access to the store, they must follow an entry of another region,
/// including later changes.
#[tokio::test]
async fn a_region_cut_off_from_the_store_follows_another() {
    let world = World::new(1).await;
    let reader = EntryProcess::ready(&world, "n1").await;
    let unreachable_address = "127.0.0.1:1".parse().unwrap();
    let start = |name| {
        EntryProcess::start_in_domain("zone-b", "south", unreachable_address, name, &[reader.ip])
    };
    let entries = [start("n2"), start("n3")];
    for entry in &entries {
        entry.wait_ready().await;
    }
    world.store.put("op", "config", &desired_state(9, &[DESK]));
    world
        .store
        .put("op", "evacuate/zone-a", &serde_json::json!({}));
    for entry in &entries {
        until("the new state is in force there", async || {
            entry.send("GET", "/board/x", "a").await.status == 404
        })
        .await;
        until("the evacuation is in force there", async || {
            entry.send("POST", "/desk/x", "b").await.status == 503
        })
        .await;
    }
}

/// An entry that followed others must read the store itself once it has access.
#[tokio::test]
async fn a_region_that_regains_the_store_reads_it() {
    let world = World::new(1).await;
    let reader = EntryProcess::ready(&world, "n1").await;
    let address = standin::free_address();
    let south = EntryProcess::start_in_domain("zone-b", "south", address, "n2", &[reader.ip]);
    south.wait_ready().await;
    let _proxy = SilentProxy::start_at(address, world.store.address()).await;
    until(
        "it reads the registry, though it could follow",
        async || {
            let read = "laurelhill_store_calls_total{call=\"servers\",result=\"ok\"}";
            south.metrics().await.contains(read)
        },
    )
    .await;
    drop(reader);
    world.store.put("op", "config", &desired_state(9, &[DESK]));
    until("the new state is in force there", async || {
        south.send("GET", "/board/x", "a").await.status == 404
    })
    .await;
}

/// A reader whose connections to the store went silent must not delay its follower, which must
/// get a new desired state before the reader detects the failure.
#[tokio::test]
async fn a_silent_reader_does_not_delay_its_follower() {
    let world = World::new(1).await;
    let mut names = ["n1", "n2"];
    names.sort_by_key(|name| stable_hash(name.as_bytes()));
    let proxy = SilentProxy::start(world.store.address()).await;
    let reader = EntryProcess::start(proxy.address, names[0], &[]);
    reader.wait_ready().await;
    let follower = EntryProcess::start(world.store.address(), names[1], &[reader.ip]);
    follower.wait_ready().await;
    until("it follows: its registry reads have stopped", async || {
        let before = world.store.calls("/rows-get");
        tokio::time::sleep(Duration::from_secs(3)).await;
        world.store.calls("/rows-get") - before <= 5
    })
    .await;
    proxy.silence();
    world.store.put("op", "config", &desired_state(9, &[DESK]));
    until("the follower has the new state", async || {
        follower.send("GET", "/board/x", "a").await.status == 404
    })
    .await;
    assert!(reader.logged("dependency lost").is_empty());
}

/// An entry that gets the operator's changes from two leads must not call the store, must stay
/// up to date if one of the two loses the store, and must call the store when both are gone.
#[tokio::test]
async fn a_third_entry_is_updated_by_two_leads() {
    let world = World::new(1).await;
    let mut names = ["n1", "n2", "n3"];
    names.sort_by_key(|name| stable_hash(name.as_bytes()));
    let proxy = SilentProxy::start(world.store.address()).await;
    let reader = EntryProcess::start(proxy.address, names[0], &[]);
    reader.wait_ready().await;
    let deputy = EntryProcess::start(world.store.address(), names[1], &[reader.ip]);
    until("the second is the deputy", async || {
        !deputy.logged("leads its region").is_empty()
    })
    .await;
    let third = EntryProcess::start(world.store.address(), names[2], &[reader.ip]);
    third.wait_ready().await;
    let operator_calls = async || {
        let metrics = third.metrics().await;
        let calls = "laurelhill_store_calls_total{call=\"operator\"";
        metrics
            .lines()
            .filter(|line| line.starts_with(calls))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    until("it makes no more calls to the store", async || {
        let before = operator_calls().await;
        // Longer than a feed stays open.
        tokio::time::sleep(Duration::from_secs(8)).await;
        operator_calls().await == before
    })
    .await;
    proxy.silence();
    world.store.put("op", "config", &desired_state(9, &[DESK]));
    until("it has the new state", async || {
        third.send("GET", "/board/x", "a").await.status == 404
    })
    .await;
    drop((reader, deputy));
    world
        .store
        .put("op", "config", &desired_state(10, &[BOARD]));
    until("it has the state after that", async || {
        third.send("GET", "/board/x", "b").await.status == 200
    })
    .await;
}

/// An empty store must be watched rather than polled in a tight loop.
#[tokio::test]
async fn an_empty_store_is_not_polled_in_a_loop() {
    let store = FakeStore::start().await;
    let entry = EntryProcess::start(store.address(), "n1", &[]);
    until("it leads its region", async || {
        !entry.logged("leads its region").is_empty()
    })
    .await;
    let calls = || store.calls("/rows-get") + store.calls("/rows-feed");
    let before = calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Watches with a wait make about six calls in this time; without a wait, hundreds.
    assert!(calls() - before <= 30, "{} calls", calls() - before);
    store.put("op", "config", &desired_state(5, &[BOARD]));
    store.put(
        "servers",
        "i-0",
        &server_entry("board", unreachable_address(), "ready", 1),
    );
    entry.wait_ready().await;
}

fn unreachable_address() -> std::net::SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// Of three entries in a region, exactly one must read the registry, two must watch the
/// operator's rows, and the third must make no calls to the store.
#[tokio::test]
async fn one_entry_of_a_region_reads() {
    let world = World::new(1).await;
    let first = EntryProcess::ready(&world, "n1").await;
    let second = EntryProcess::start(world.store.address(), "n2", &[first.ip]);
    second.wait_ready().await;
    let third = EntryProcess::start(world.store.address(), "n3", &[first.ip]);
    third.wait_ready().await;
    let entries = [&first, &second, &third];
    until("one reads and two watch", async || {
        let before = store_calls(&entries).await;
        // Longer than a feed without changes stays open.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let after = store_calls(&entries).await;
        let pairs = || before.iter().zip(&after);
        let reading = pairs().filter(|(before, after)| after.0 > before.0);
        let watching = pairs().filter(|(before, after)| after.1 > before.1);
        reading.count() == 1 && watching.count() == 2
    })
    .await;
}

/// Returns the number of registry reads and of operator watches of each entry.
async fn store_calls(entries: &[&EntryProcess]) -> Vec<(u64, u64)> {
    let mut calls = Vec::new();
    for entry in entries {
        let metrics = entry.metrics().await;
        let sum = |call: &str| -> u64 {
            let name = format!("laurelhill_store_calls_total{{call=\"{call}\"");
            let lines = metrics.lines().filter(|line| line.starts_with(&name));
            let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
            counts.sum()
        };
        calls.push((sum("servers"), sum("operator")));
    }
    calls
}

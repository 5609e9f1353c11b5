//! A store that comes back from an older copy must not hide that a server leaves.
//!
//! Its versions go back and are given out again. A feed that continued at a version of the
//! former history once passed over what was written again below it, and followers took their
//! copies of that history for newer than those of their leads.

mod world;

use std::time::{Duration, Instant};

use platform_standin::{FakeBackend, StoreCopy, server_entry};
use serde_json::json;
use world::{EntryProcess, World, exchange, request_for, until};

/// Time after the store acknowledged that a server leaves from which on it must get no request.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// Time for which requests are sent after that.
const COUNT_TIME: Duration = Duration::from_millis(1500);

/// Rows that nobody reads, to raise the store's version.
fn write_others(world: &World, count: usize) {
    for number in 0..count {
        world
            .store
            .put("others", "row", &json!({ "number": number }));
    }
}

/// Starts entries of one region that know each other.
async fn start_entries(world: &World, count: usize) -> Vec<EntryProcess> {
    let mut entries = vec![EntryProcess::ready(world, "n0").await];
    for index in 1..count {
        let name = format!("n{index}");
        let entry = EntryProcess::start(world.store.address(), &name, &[entries[0].ip]);
        entry.wait_ready().await;
        entries.push(entry);
    }
    for entry in &entries {
        until("the look-ups name all entries", async || {
            let answer = entry.lookup().await;
            let mut others = entries.iter();
            others.all(|other| answer.contains(&other.callers().to_string()))
        })
        .await;
    }
    entries
}

/// Waits until all entries have read the store's latest version.
async fn wait_read(world: &World, entries: &[EntryProcess], marker: &str) {
    let address = world.backends[0].address();
    world.store.put(
        "servers",
        marker,
        &server_entry("board", address, "ready", 1),
    );
    for entry in entries {
        until("the entry knows the marker", async || {
            !entry.logged(&format!("\"server\":\"{marker}\"")).is_empty()
        })
        .await;
    }
}

fn write_leaving(world: &World, leaving: &FakeBackend) {
    let row = server_entry("board", leaving.address(), "draining", 2);
    world.store.put("servers", leaving.id(), &row);
}

/// Sends requests to all entries and returns the number of those that reach the server `leaving`,
/// whose leaving has just been acknowledged, later than [`DRAIN_TIME`] afterwards.
async fn late_requests(entries: &[EntryProcess], leaving: &FakeBackend) -> usize {
    let left_at = Instant::now();
    let mut number = 0;
    while left_at.elapsed() < DRAIN_TIME + COUNT_TIME {
        for entry in entries {
            number += 1;
            let id = format!("after-{number}");
            let mut sender = entry.connect().await;
            exchange(&mut sender, request_for(&id, "GET", "/board/x", &id, b"")).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let seen = leaving.seen();
    let late = seen
        .iter()
        .filter(|request| request.at > left_at + DRAIN_TIME);
    late.count()
}

/// A world whose entries know more of the store's history than the copy that is returned.
async fn world_with_copy(entries: usize) -> (World, Vec<EntryProcess>, StoreCopy) {
    let world = World::new(4).await;
    let started = start_entries(&world, entries).await;
    wait_read(&world, &started, "i-before").await;
    let copy = world.store.copy();
    write_others(&world, 300);
    wait_read(&world, &started, "i-known").await;
    (world, started, copy)
}

/// Versions stay below those of the former history.
#[tokio::test]
async fn a_server_that_leaves_after_a_restoration_gets_no_late_requests() {
    let (world, entries, copy) = world_with_copy(3).await;
    world.store.restore(&copy);
    write_leaving(&world, &world.backends[1]);
    assert_eq!(late_requests(&entries, &world.backends[1]).await, 0);
}

/// Versions pass those of the former history before entries read again.
#[tokio::test]
async fn a_leaving_that_the_feed_passed_over_is_known_in_time() {
    let (world, entries, copy) = world_with_copy(3).await;
    world.store.restore(&copy);
    write_leaving(&world, &world.backends[1]);
    write_others(&world, 600);
    assert_eq!(late_requests(&entries, &world.backends[1]).await, 0);
}

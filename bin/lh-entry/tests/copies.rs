//! Tests of full registry copies for entries while their lead's link is saturated.

mod world;

use platform_standin::{FaultPlan, server_entry};
use world::{EntryProcess, World, until};

/// Number of servers at which a copy occupies the test's slow link for most of a second.
const SERVERS: usize = 3000;
const SLOW_LINK: &str = "link_megabits = 1\n";

async fn full_copies_sent(entry: &EntryProcess) -> f64 {
    let metrics = entry.metrics().await;
    let name = "laurelhill_registry_copies_total{copy=\"whole\"}";
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.map_or(0.0, |line| {
        line.rsplit(' ').next().unwrap().parse().unwrap()
    })
}

/// Entries that start together while the leads' links are slow must all get a copy, some of them
/// relayed by an entry that got it before, and must know the same servers.
#[tokio::test(flavor = "multi_thread")]
async fn entries_relay_copies_to_others() {
    let world = World::new(1).await;
    for number in 0..SERVERS {
        let address = format!("127.0.1.{}:{}", number % 250 + 1, 10_000 + number)
            .parse()
            .unwrap();
        let entry = server_entry("board", address, "ready", 1);
        world
            .store
            .put("servers", &format!("i-many-{number}"), &entry);
    }
    let store = world.store.address();
    let first = EntryProcess::start_with_bounds(store, "n1", SLOW_LINK);
    first.wait_ready().await;
    // Otherwise eligible entries would read the store themselves.
    world.store.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    let others: Vec<EntryProcess> = (2..=8)
        .map(|number| {
            EntryProcess::start_with_peer(&first, store, &format!("n{number}"), SLOW_LINK)
        })
        .collect();
    for entry in &others {
        entry.wait_ready().await;
        until("it knows all servers", async || {
            let status = entry.document("/v1/status").await;
            status["services"][0]["servers"] == SERVERS + 1
        })
        .await;
    }
    let mut senders = 0;
    for entry in [&first].into_iter().chain(&others) {
        senders += usize::from(full_copies_sent(entry).await > 0.0);
    }
    assert!(senders >= 2, "only {senders} sent a copy");
}

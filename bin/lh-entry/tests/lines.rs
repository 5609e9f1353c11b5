//! Tests of the log line limits under bursts of events.

mod world;

use platform_standin::{FaultPlan, server_entry};
use world::{EntryProcess, World, until};

/// Hundreds of servers that join at once must not displace the log line that another server is
/// leaving.
#[tokio::test]
async fn a_burst_of_one_kind_displaces_no_other_line() {
    const JOINING: u16 = 600;
    let world = World::new(0).await;
    let entry = |state, port| server_entry("board", ([127, 0, 0, 1], port).into(), state, 1);
    world.store.put("servers", "z", &entry("ready", 9));
    let process = EntryProcess::ready(&world, "n1").await;
    until("the server is known", async || {
        process.logged("server joined").len() == 1
    })
    .await;
    world.store.set_faults(FaultPlan::outage());
    for number in 0..JOINING {
        let id = format!("a-{number:04}");
        let word = entry("ready", 1000 + number);
        world.store.put("servers", &id, &word);
    }
    world.store.put("servers", "z", &entry("draining", 9));
    world.store.set_faults(FaultPlan::default());
    until("the line about the leaving server is written", async || {
        process.logged("\"event\":\"server is leaving\"").len() == 1
    })
    .await;
}

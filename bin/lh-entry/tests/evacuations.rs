//! Evacuations reach every entry, whatever happens to its connections to the store.

mod world;

use serde_json::json;
use store::ENTRY_TABLE;
use world::{BOARD, EntryProcess, SilentProxy, World, until};

const DOMAIN: &str = "zone-b";
/// Number of evacuations: the order in which an entry reads rows isn't the same in each.
const ROUNDS: usize = 6;
const ROLLOUT_KEY: &str = "rollout/board";

/// Guards against an evacuation that an entry misses for good: while its feed of the operator's
/// rows was silent it read the row of a rollout, took its version for the position up to which it
/// knew all of the operator's rows, and continued the feed after the evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_row_hides_no_evacuation() {
    let world = World::new(2).await;
    let proxy = SilentProxy::start(world.store.address()).await;
    let other =
        EntryProcess::start_in_domain("zone-b", "south", world.store.address(), "other", &[]);
    other.wait_ready().await;
    let entry =
        EntryProcess::start_in_domain("zone-a", "north", proxy.address, "entry", &[other.ip]);
    entry.wait_ready().await;
    until("both lead their regions and know each other", async || {
        let (own, others) = (status(&entry).await, status(&other).await);
        let is_settled = |status: &serde_json::Value| {
            status["leads"] == json!(true) && status["instances"] == json!(2)
        };
        is_settled(&own) && is_settled(&others)
    })
    .await;
    let order = json!({"service": BOARD.service, "to": "v2", "duration": "300s"});
    world.store.put("op", ROLLOUT_KEY, &order);
    let row = || world.store.row(ENTRY_TABLE, ROLLOUT_KEY);
    until("the rollout runs at both", async || {
        let is_running = |status: &serde_json::Value| status["rollouts"][0]["phase"] == "running";
        row().is_some() && is_running(&status(&entry).await) && is_running(&status(&other).await)
    })
    .await;
    for round in 0..ROUNDS {
        evacuate_in_silence(&world, &proxy, [&other, &entry], round).await;
    }
}

/// Evacuates [`DOMAIN`] and takes it back while the open connections of the second of `entries`
/// are silent and the row of a rollout changes.
async fn evacuate_in_silence(
    world: &World,
    proxy: &SilentProxy,
    entries: [&EntryProcess; 2],
    round: usize,
) {
    // After an answer to its feed, the entry doesn't ask others for some time.
    let position = async || status(entries[1]).await["positions"]["operator_read"].clone();
    let read = position().await;
    world.store.put("op", "note", &json!({ "round": round }));
    until("the feed is answered", async || position().await != read).await;

    proxy.silence_open();
    let evacuation = format!("evacuate/{DOMAIN}");
    world.store.put("op", &evacuation, &json!({}));
    let record = world.store.row(ENTRY_TABLE, ROLLOUT_KEY).unwrap();
    world.store.put(ENTRY_TABLE, ROLLOUT_KEY, &record);
    for entry in entries {
        until("the evacuation is in force", async || {
            status(entry).await["evacuated"] == json!([DOMAIN])
        })
        .await;
    }
    world.store.delete_row("op", &evacuation);
    for entry in entries {
        until("the evacuation is taken back", async || {
            status(entry).await["evacuated"] == json!([])
        })
        .await;
    }
}

async fn status(entry: &EntryProcess) -> serde_json::Value {
    entry.document("/v1/status").await
}

//! Callers of an entry that can reach no server must be served as well as those of the others.
//!
//! Such an entry once refused everything while the store, the other entries and its callers
//! reached it: it tried servers until its attempts ran out. Its log showed:
//!
//! ```text
//! i-4c5b37c921(..) -> Connection refused at 83ms; i-fa9c5c659c(..) -> Connection refused at 175ms;
//! ..., reason full
//! ```

mod world;

use world::{EntryProcess, World, until};

/// Requests sent to an entry after it has lost its path.
const REQUESTS: usize = 40;
/// Share of them that must be served at the first attempt.
const MIN_SERVED: f64 = 0.98;

/// Entries of one region that know each other, the first of which will be separated.
async fn start_entries(world: &World, count: usize) -> Vec<EntryProcess> {
    let mut entries = vec![EntryProcess::ready(world, "n0").await];
    for index in 1..count {
        let name = format!("n{index}");
        let seeds = [entries[0].ip];
        let entry = EntryProcess::start(world.store.address(), &name, &seeds);
        entry.wait_ready().await;
        entries.push(entry);
    }
    for entry in &entries {
        until("the look-ups name all entries", async || {
            let answer = entry.lookup().await;
            entries
                .iter()
                .all(|named| answer.contains(&named.callers().to_string()))
        })
        .await;
    }
    entries
}

fn separate(world: &World, entries: &[&EntryProcess]) {
    let pids: Vec<u32> = entries.iter().map(|entry| entry.child.id()).collect();
    world.partition.separate(&pids);
}

/// Sends requests until the entry has noticed that it can reach no server.
async fn lose_path(entry: &EntryProcess) {
    until("the entry has lost its path", async || {
        let id = format!("lost-{}", entry.lines.lock().unwrap().len());
        entry.send("GET", "/board/x", &id).await;
        !entry.logged("no path to the servers").is_empty()
    })
    .await;
}

async fn count_served(entry: &EntryProcess, method: &str, path: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{method}-{number}-{}", entry.ip);
        let answer = entry.send(method, path, &id).await;
        served += usize::from(answer.status == 200);
    }
    served
}

fn is_enough(served: usize) -> bool {
    served as f64 >= REQUESTS as f64 * MIN_SERVED
}

#[tokio::test]
async fn callers_of_an_entry_without_a_path_to_servers_are_served() {
    let world = World::new(6).await;
    let entries = start_entries(&world, 3).await;
    separate(&world, &[&entries[0]]);
    lose_path(&entries[0]).await;
    let reads = count_served(&entries[0], "GET", "/board/x").await;
    assert!(
        is_enough(reads),
        "{reads} of {REQUESTS} idempotent requests served"
    );
    let writes = count_served(&entries[0], "POST", "/desk/x").await;
    assert!(
        is_enough(writes),
        "{writes} of {REQUESTS} other requests served"
    );
    for number in 0..REQUESTS {
        let id = format!("POST-{number}-{}", entries[0].ip);
        assert_eq!(world.runs(&id), 1, "{id} must run once");
    }
}

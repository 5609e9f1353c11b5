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

use std::net::IpAddr;

use platform_standin::{Behavior, FakeBackend, desired_state, with_body_limit};
use world::{
    BOARD, DESK, EntryProcess, WAIT_TIMEOUT, World, exchange, request, request_for, request_with,
    until,
};

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
    let addresses: Vec<IpAddr> = entries.iter().map(|entry| entry.ip).collect();
    world.partition.separate(&addresses);
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

/// What this entry sees must not be taken for the end of servers, which would quarantine its
/// callers' requests at all entries.
#[tokio::test]
async fn an_entry_without_a_path_reports_no_ended_servers() {
    let world = World::new(4).await;
    let entries = start_entries(&world, 2).await;
    for backend in &world.backends {
        backend.set_fatal("/last");
    }
    // All servers end at once, which looks the same to this entry as the loss of its path.
    let senders = world.backends.iter().enumerate().map(|(number, _)| {
        let entry = &entries[0];
        async move {
            let mut sender = entry.connect().await;
            let request = request_for(
                &format!("object-{number}"),
                "POST",
                "/desk/last",
                "end",
                b"",
            );
            exchange(&mut sender, request).await
        }
    });
    futures_util::future::join_all(senders).await;
    until("the entry has lost its path", async || {
        let id = format!("lost-{}", entries[0].lines.lock().unwrap().len());
        entries[0].send("POST", "/desk/last", &id).await;
        !entries[0].logged("no path to the servers").is_empty()
    })
    .await;
    let others = world
        .backends
        .iter()
        .filter(|backend| !backend.has_crashed());
    assert_eq!(
        others.count(),
        0,
        "a server that runs on shows that the others ended"
    );
    until("lost connections are examined", async || {
        !entries[0].logged("not reported as ended").is_empty()
    })
    .await;
}

#[tokio::test]
async fn a_relayed_request_ends_with_its_caller() {
    let world = World::new(6).await;
    let entries = start_entries(&world, 3).await;
    separate(&world, &[&entries[0]]);
    lose_path(&entries[0]).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(WAIT_TIMEOUT));
    }
    let mut sender = entries[0].connect().await;
    let sent =
        tokio::spawn(
            async move { exchange(&mut sender, request("GET", "/board/x", "left")).await },
        );
    until("a server runs the request", async || {
        world.runs("left") == 1
    })
    .await;
    sent.abort();
    until("the server's run is cancelled", async || {
        let seen = world.backends.iter().flat_map(FakeBackend::seen);
        seen.into_iter().any(|request| request.cancelled)
    })
    .await;
}

#[tokio::test]
async fn long_bodies_are_relayed_whole() {
    let world = World::new(6).await;
    let entries = start_entries(&world, 3).await;
    separate(&world, &[&entries[0]]);
    lose_path(&entries[0]).await;
    let state = with_body_limit(desired_state(6, &[BOARD, DESK]), 8 << 20);
    world.store.put("op", "config", &state);
    for entry in &entries {
        until("the limit is in force", async || {
            entry.document("/v1/status").await["version"] == 6
        })
        .await;
    }
    let bytes = 3 << 20;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Large(bytes));
    }
    let body = vec![7; 2 << 20];
    let mut sender = entries[0].connect().await;
    let upload = request_with("POST", "/desk/x", "upload", &body);
    let answer = exchange(&mut sender, upload).await.expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (200, bytes));
    let seen = world.backends.iter().flat_map(FakeBackend::seen);
    let uploads: Vec<_> = seen
        .into_iter()
        .filter(|request| request.body == body)
        .collect();
    assert_eq!(uploads.len(), 1, "the upload arrives whole and once");
    let names = ["laurelhill-relay", "laurelhill-declined"];
    for name in names {
        assert!(
            !uploads[0].headers.contains_key(name),
            "{name} reached a server"
        );
    }
}

#[tokio::test]
async fn look_ups_name_entries_with_a_path_and_all_if_none_has() {
    let world = World::new(6).await;
    let entries = start_entries(&world, 3).await;
    separate(&world, &[&entries[0]]);
    lose_path(&entries[0]).await;
    let own = entries[0].callers().to_string();
    until("look-ups leave out the entry without a path", async || {
        let answer = entries[1].lookup().await;
        !answer.contains(&own) && answer.contains(&entries[2].callers().to_string())
    })
    .await;
    assert_eq!(entries[0].status("/ready").await, Some(200));
    separate(&world, &entries.iter().collect::<Vec<_>>());
    for entry in &entries {
        lose_path(entry).await;
    }
    until(
        "look-ups name entries although none has a path",
        async || entries[1].lookup().await.contains("addresses"),
    )
    .await;
    world.partition.heal();
    until("look-ups name all entries again", async || {
        let answer = entries[0].lookup().await;
        entries
            .iter()
            .all(|entry| answer.contains(&entry.callers().to_string()))
    })
    .await;
}

#[tokio::test]
async fn requests_that_no_entry_can_serve_are_refused_at_once_and_served_afterwards() {
    let world = World::new(6).await;
    let entries = start_entries(&world, 3).await;
    separate(&world, &entries.iter().collect::<Vec<_>>());
    for entry in &entries {
        lose_path(entry).await;
    }
    until("no entry is asked any more", async || {
        let answer = entries[0].send("POST", "/desk/x", "nowhere").await;
        answer.status == 503
            && answer.header("laurelhill-outcome") == "not-run"
            && !answer.header("retry-after").is_empty()
            && entries[0].logged("\"reason\":\"no-path\"").len() > 2
    })
    .await;
    assert_eq!(world.runs("nowhere"), 0);
    world.partition.heal();
    for entry in &entries {
        until("the path is found again", async || {
            entry.metrics().await.contains("laurelhill_lost_paths 0")
        })
        .await;
        let served = count_served(entry, "GET", "/board/x").await;
        assert_eq!(served, REQUESTS);
    }
}

/// A request that is relayed to an entry without a path must not be relayed on.
#[tokio::test]
async fn a_request_is_relayed_once() {
    let world = World::new(6).await;
    let entries = start_entries(&world, 3).await;
    separate(&world, &[&entries[0], &entries[1]]);
    lose_path(&entries[0]).await;
    lose_path(&entries[1]).await;
    for number in 0..REQUESTS {
        let id = format!("once-{number}");
        let answer = entries[0].send("POST", "/desk/x", &id).await;
        assert_eq!((answer.status, world.runs(&id)), (200, 1), "{id}");
    }
    for line in entries[1].logged("\"request\":\"once-") {
        assert!(!line.contains("through entry"), "{line}");
    }
}

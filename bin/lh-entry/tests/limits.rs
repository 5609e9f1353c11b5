//! Rate limits that servers name in their responses.

mod world;

use std::time::{Duration, Instant};

use platform_standin::FakeBackend;
use world::{EntryProcess, World, until};

/// Limit that the server names, in requests per second.
const LIMIT: f64 = 2.0;
/// Window in which the server's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time that the entries have to come within a limit that is new to them.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time for which requests are counted after that.
const COUNT_TIME: Duration = Duration::from_secs(8);
/// Interval of the requests to each entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Most requests that the server may get in [`WINDOW`].
fn max_requests() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Sends requests for different objects to `entry` at a fixed rate for `time`. Returns how many
/// got a response of a server.
async fn send_steadily(entry: &EntryProcess, time: Duration) -> usize {
    let ends = Instant::now() + time;
    let mut requests = Vec::new();
    let mut index = 0;
    while Instant::now() < ends {
        let sender = world::connect(entry.callers()).await;
        let id = format!("{}-{index}", entry.ip);
        let request = world::request_for(&id, "GET", "/board/x", &id, b"");
        requests.push(tokio::spawn(async move {
            let answer = world::exchange(&mut sender?, request).await?;
            (answer.status == 200).then_some(())
        }));
        index += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut served = 0;
    for request in requests {
        served += usize::from(request.await.unwrap().is_some());
    }
    served
}

/// Most requests at `backend` in a window that begins at `from` or later.
fn most_in_window(backend: &FakeBackend, from: Instant) -> usize {
    let seen = backend.seen();
    let times: Vec<Instant> = seen.iter().map(|request| request.at).collect();
    let begins = times.iter().filter(|at| **at >= from);
    let counts = begins.map(|begin| {
        let in_window = |at: &&Instant| **at >= *begin && **at < *begin + WINDOW;
        times.iter().filter(in_window).count()
    });
    counts.max().unwrap_or_default()
}

fn count_since(backend: &FakeBackend, from: Instant) -> usize {
    let seen = backend.seen();
    seen.iter().filter(|request| request.at >= from).count()
}

async fn start_entries(world: &World) -> Vec<EntryProcess> {
    let first = EntryProcess::ready(world, "n0").await;
    let mut entries = vec![first];
    for name in ["n1", "n2"] {
        let entry = EntryProcess::start(world.store.address(), name, &[entries[0].ip]);
        entry.wait_ready().await;
        entries.push(entry);
    }
    let addresses: Vec<String> = entries.iter().map(|entry| entry.ip.to_string()).collect();
    until("all entries are listed", async || {
        let answer = entries[2].lookup().await;
        addresses.iter().all(|address| answer.contains(address))
    })
    .await;
    entries
}

async fn send_to_all(entries: &[EntryProcess], time: Duration) -> usize {
    let [first, second, third] = entries else {
        panic!("three entries");
    };
    let (first, second, third) = tokio::join!(
        send_steadily(first, time),
        send_steadily(second, time),
        send_steadily(third, time)
    );
    first + second + third
}

/// All entries together stay within a limit that a server names, use it, and use the server
/// freely again when it no longer names the limit.
#[tokio::test]
async fn entries_together_exceed_the_limit_of_the_only_server() {
    let world = World::new(1).await;
    let server = &world.backends[0];
    server.set_extra_headers(&[("Server-Limit", "2.0")]);
    let entries = start_entries(&world).await;
    let settled = Instant::now() + SETTLE_TIME;
    send_to_all(&entries, SETTLE_TIME + COUNT_TIME).await;
    let most = most_in_window(server, settled);
    assert!(most <= max_requests(), "{most} requests in a window");
    let used = count_since(server, settled) as f64;
    let room = LIMIT * COUNT_TIME.as_secs_f64();
    assert!(used >= room / 2.0, "{used} requests of {room}");
    server.set_extra_headers(&[]);
    until("the limit is lifted at all entries", async || {
        send_to_all(&entries, Duration::from_millis(500)).await >= 20
    })
    .await;
}

/// A limited server beside one without a limit: the other one serves what it may not.
#[tokio::test]
async fn entries_together_exceed_the_limit_of_one_of_two_servers() {
    let world = World::new(2).await;
    let server = &world.backends[0];
    server.set_extra_headers(&[("Server-Limit", "2.0")]);
    let entries = start_entries(&world).await;
    let settled = Instant::now() + SETTLE_TIME;
    send_to_all(&entries, SETTLE_TIME).await;
    let sent_from = Instant::now();
    let served = send_to_all(&entries, COUNT_TIME).await;
    let most = most_in_window(server, settled);
    assert!(most <= max_requests(), "{most} requests in a window");
    let of_all = count_since(server, sent_from) + count_since(&world.backends[1], sent_from);
    assert!(served + 3 >= of_all, "{served} served of {of_all}");
}

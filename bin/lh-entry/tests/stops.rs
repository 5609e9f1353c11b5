//! Requests whose servers work on them for longer than a planned stop may take.

mod world;

use std::time::Duration;

use platform_standin::{Behavior, FakeBackend};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use world::{Answer, EntryProcess, World, connect, exchange, request, until};

/// Time after which a stopped process is killed.
const GRACE: &str = "grace = 6s\n";
/// Work of a request that is done in time if it comes early in the grace period.
const LONG_WORK: Duration = Duration::from_millis(3400);
/// Work that outlasts the grace period.
const ENDLESS_WORK: Duration = Duration::from_secs(50);
/// Size of a response that is forwarded while it arrives, in bytes.
const STREAMED_BYTES: usize = 2_000_000;
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(150);
/// Requests sent to an entry that stops, fewer than its servers have slots.
const REQUESTS: usize = 22;

async fn start(work: Duration) -> (World, EntryProcess) {
    let world = World::new(3).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(work));
    }
    let entry = EntryProcess::start_with_bounds(world.store.address(), "n1", GRACE);
    entry.wait_ready().await;
    (world, entry)
}

/// Sends a request on a connection of its own. `None` from the task if it was cut off.
async fn send(entry: &EntryProcess, path: &str, id: &str) -> Option<JoinHandle<Option<Answer>>> {
    let mut sender = connect(entry.callers()).await?;
    let method = if path == "/desk/x" { "POST" } else { "GET" };
    let request = request(method, path, id);
    Some(tokio::spawn(
        async move { exchange(&mut sender, request).await },
    ))
}

/// Requests that came late in the grace period were passed on, and cut off without a response when
/// the process ended, among them requests that may not be repeated.
#[tokio::test]
async fn a_stopping_entry_passes_no_request_on_that_outlasts_it() {
    let (world, entry) = start(LONG_WORK).await;
    for (path, id) in [("/desk/x", "first-post"), ("/board/x", "first-get")] {
        let answer = send(&entry, path, id).await.unwrap().await.unwrap();
        assert_eq!(answer.unwrap().status, 200);
    }
    entry.signal("TERM");
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let path = ["/desk/x", "/board/x"][number % 2];
        let id = format!("late-{number}");
        if let Some(answer) = send(&entry, path, &id).await {
            sent.push((id, answer));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    let mut served = 0;
    for (id, answer) in sent {
        let Some(answer) = answer.await.unwrap() else {
            assert_eq!(world.runs(&id), 0, "{id} was cut off");
            continue;
        };
        match answer.status {
            200 => served += 1,
            503 => {
                assert_eq!(world.runs(&id), 0, "{id}: {answer:?}");
                assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
            }
            _ => panic!("{id}: {answer:?}"),
        }
    }
    assert!(served > 0, "requests that come early are served");
}

/// A request that its server doesn't finish in time gets a final response before the process ends,
/// and its server is told that nobody waits any more.
#[tokio::test]
async fn requests_that_outlast_a_stop_get_a_final_response() {
    let (world, mut entry) = start(ENDLESS_WORK).await;
    let posted = send(&entry, "/desk/x", "post").await.unwrap();
    let got = send(&entry, "/board/x", "get").await.unwrap();
    until("the servers run both", async || {
        world.runs("post") + world.runs("get") == 2
    })
    .await;
    entry.signal("TERM");
    for answer in [posted, got] {
        let answer = answer.await.unwrap().expect("a final response");
        assert_eq!(answer.status, 504, "{answer:?}");
        assert!(answer.header("retry-after").is_empty(), "{answer:?}");
    }
    until("the servers stop their work", async || {
        let seen = world.backends.iter().flat_map(FakeBackend::seen);
        seen.filter(|request| request.cancelled).count() == 2
    })
    .await;
    until("the process ends", async || !entry.is_running()).await;
}

/// A caller of an older version of HTTP takes an orderly close for the end of a body without a
/// length. The end of a process closes all its connections.
#[tokio::test]
async fn a_response_that_a_stop_cuts_off_never_looks_complete() {
    let (world, entry) = start(Duration::ZERO).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::LargeStalled(STREAMED_BYTES));
    }
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    let head = b"GET /board/x HTTP/1.0\r\nhost: board.example\r\nrequest-id: old\r\n\r\n";
    caller.write_all(head).await.unwrap();
    let mut chunk = vec![0; 64 << 10];
    assert!(caller.read(&mut chunk).await.unwrap() > 0);
    entry.signal("TERM");
    let end = loop {
        match caller.read(&mut chunk).await {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            Err(error) => break Err(error.kind()),
        }
    };
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
}

/// A second signal doesn't end the grace period, however short it is.
#[tokio::test]
async fn a_short_stop_that_is_requested_twice_answers_all_requests() {
    let world = World::new(2).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(ENDLESS_WORK));
    }
    let bounds = "grace = 1s\n";
    let mut entry = EntryProcess::start_with_bounds(world.store.address(), "n1", bounds);
    entry.wait_ready().await;
    let posted = send(&entry, "/desk/x", "post").await.unwrap();
    until("the server runs it", async || world.runs("post") == 1).await;
    entry.signal("TERM");
    entry.signal("TERM");
    let answer = posted.await.unwrap().expect("a final response");
    assert_eq!(answer.status, 504, "{answer:?}");
    until("the process ends", async || !entry.is_running()).await;
}

/// An upload that its caller hasn't sent completely when the entry must exit.
#[tokio::test]
async fn an_upload_that_outlasts_a_stop_gets_a_final_response() {
    let (world, entry) = start(Duration::ZERO).await;
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    let head = "POST /desk/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: up\r\n\
                Content-Length: 1000\r\n\r\nthe start";
    caller.write_all(head.as_bytes()).await.unwrap();
    until("the entry has the request", async || {
        let status = entry.document("/v1/status").await;
        status["in_flight"] == 1
    })
    .await;
    entry.signal("TERM");
    let mut response = vec![0; 4096];
    let length = caller.read(&mut response).await.unwrap();
    let text = String::from_utf8_lossy(&response[..length]);
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    assert_eq!(world.runs("up"), 0);
}

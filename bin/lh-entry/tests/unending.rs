//! Responses of servers that don't come to an end, and what an entry does about them.

mod world;

use std::net::{IpAddr, SocketAddr};

use http_body_util::BodyExt as _;
use platform_standin::{
    Behavior, EndlessPart, FakeBackend, RouteFixture, desired_state, server_entry,
    with_idle_timeout,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use world::{BOARD, EntryProcess, WAIT_TIMEOUT, World, connect, exchange, request, until};

/// Size of a response that is forwarded while it arrives, in bytes.
const LARGE_BYTES: usize = 2_000_000;
/// Requests whose responses have no end at the same time.
const CONCURRENT: usize = 40;
/// Memory that an entry may use, in KiB, by its settings.
const MEMORY_KIB: u64 = 260 << 10;

const SHORT: RouteFixture<'static> = RouteFixture {
    timeout: "700ms",
    ..BOARD
};

/// A store with one short route to `count` servers.
async fn short_world(count: usize) -> World {
    let world = World::new(count).await;
    world.store.put("op", "config", &desired_state(6, &[SHORT]));
    world
}

fn ended(metrics: &str, end: &str) -> usize {
    let name = format!("laurelhill_streamed_responses_total{{end=\"{end}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |count| count.parse().unwrap())
}

fn is_cancelled(backend: &FakeBackend, id: &str) -> bool {
    let seen = backend.seen();
    let mut requests = seen.iter();
    requests.any(|seen| seen.cancelled && seen.headers["request-id"] == id)
}

/// Guards against responses without an end: only the first 256 KiB had a time limit, so a caller
/// whose server fell silent after that waited until it gave up itself.
#[tokio::test]
async fn a_large_response_of_a_silent_server_ends_at_the_timeout() {
    let world = short_world(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let backend = &world.backends[0];
    backend.set_behavior(Behavior::LargeStalled(LARGE_BYTES));
    let answer = ask(entry.callers(), "silent").await;
    assert_eq!(answer, Some((200, false)));
    until("the server is left, too", async || {
        is_cancelled(backend, "silent")
    })
    .await;
    let metrics = entry.metrics().await;
    assert_eq!(
        (ended(&metrics, "timeout"), ended(&metrics, "complete")),
        (1, 0)
    );
    backend.set_behavior(Behavior::Large(LARGE_BYTES));
    let answer = entry.send("GET", "/board/x", "whole").await;
    assert_eq!(answer.body.len(), LARGE_BYTES);
    assert_eq!(ended(&entry.metrics().await, "complete"), 1);
}

/// The same where another entry relays the request: both end the response.
#[tokio::test]
async fn a_relayed_response_of_a_silent_server_ends_at_the_timeout() {
    let world = short_world(3).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let peer = EntryProcess::start(world.store.address(), "n2", &[entry.ip]);
    peer.wait_ready().await;
    until("the entry knows its peer", async || {
        entry.lookup().await.contains(&peer.callers().to_string())
    })
    .await;
    let separated: [IpAddr; 1] = [entry.ip];
    world.partition.separate(&separated);
    until("requests are relayed", async || {
        entry.send("GET", "/board/x", "lost").await;
        !entry.logged("no path to the servers").is_empty()
            && entry.send("GET", "/board/x", "relayed").await.status == 200
    })
    .await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::LargeStalled(LARGE_BYTES));
    }
    let answer = ask(entry.callers(), "silent").await;
    assert_eq!(answer, Some((200, false)));
    until("the server is left, too", async || {
        let mut backends = world.backends.iter();
        backends.any(|backend| is_cancelled(backend, "silent"))
    })
    .await;
}

/// Guards against responses that look complete but aren't: a caller of an older version of HTTP
/// takes an orderly close for the end of a body without a length.
#[tokio::test]
async fn a_broken_response_without_a_length_ends_in_a_reset() {
    let world = short_world(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let backend = &world.backends[0];
    backend.set_behavior(Behavior::Endless(EndlessPart::ChunkedBody));
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    let head = b"GET /board/x HTTP/1.0\r\nhost: board.example\r\nrequest-id: old\r\n\r\n";
    caller.write_all(head).await.unwrap();
    let mut chunk = vec![0; 64 << 10];
    let mut read = 0;
    let end = loop {
        match caller.read(&mut chunk).await {
            Ok(0) => break Ok(()),
            Ok(length) => read += length,
            Err(error) => break Err(error.kind()),
        }
    };
    assert!(read > 0);
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against callers that hold a server for good: one that reads nothing of its response is
/// left after the idle timeout.
#[tokio::test]
async fn a_caller_that_reads_nothing_frees_its_server() {
    let world = World::new(1).await;
    let desired = with_idle_timeout(desired_state(6, &[BOARD]), "1s");
    world.store.put("op", "config", &desired);
    let entry = EntryProcess::ready(&world, "n1").await;
    let backend = &world.backends[0];
    backend.set_behavior(Behavior::Endless(EndlessPart::PlainBody));
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    let head = b"GET /board/x HTTP/1.1\r\nhost: board.example\r\nrequest-id: unread\r\n\r\n";
    caller.write_all(head).await.unwrap();
    until("the server is free again", async || {
        is_cancelled(backend, "unread")
    })
    .await;
}

/// Interim responses without end occupied the entry until the request's deadline. A server gets rid
/// of few of them before its connection ends.
#[tokio::test]
async fn interim_responses_without_end_are_broken_off_early() {
    const MAX_TAKEN_BYTES: usize = 16 << 20;
    let world = World::new(0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let row = server_entry("board", listener.local_addr().unwrap(), "ready", 1);
    world.store.put("servers", "i-endless", &row);
    let entry = EntryProcess::ready(&world, "n1").await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4096];
        assert!(stream.read(&mut head).await.unwrap() > 0);
        let interim = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(500);
        let mut taken = 0;
        while taken <= MAX_TAKEN_BYTES && stream.write_all(&interim).await.is_ok() {
            taken += interim.len();
        }
        taken
    });
    let mut sender = connect(entry.callers()).await.unwrap();
    let asked =
        tokio::spawn(async move { exchange(&mut sender, request("GET", "/board/x", "a")).await });
    let taken = server.await.unwrap();
    assert!(taken <= MAX_TAKEN_BYTES, "{taken} bytes taken");
    let answer = asked.await.unwrap().expect("an answer");
    assert_eq!(answer.status, 502, "{answer:?}");
}

/// A server may send bytes without end wherever a reader waits for something else: each request
/// ends, none looks complete that isn't, and the entry stays within its memory.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_broken_off() {
    let world = short_world(2).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    for part in EndlessPart::ALL {
        for backend in &world.backends {
            backend.set_behavior(Behavior::Endless(part));
        }
        let asked = (0..CONCURRENT).map(|number| {
            let id = format!("{part:?}-{number}");
            let address = entry.callers();
            tokio::spawn(async move { ask(address, &id).await })
        });
        for answer in asked.collect::<Vec<_>>() {
            let answer = answer.await.unwrap();
            let is_allowed = match answer {
                Some((200, is_complete)) => is_complete == (part == EndlessPart::AfterResponse),
                Some((502..=504, is_complete)) => is_complete,
                Some(_) => false,
                None => true,
            };
            assert!(is_allowed, "{part:?}: {answer:?}");
        }
    }
    let peak = entry.peak_memory();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(std::time::Duration::ZERO));
    }
    until("requests are served again", async || {
        entry.send("GET", "/board/x", "after").await.status == 200
    })
    .await;
}

/// Sends a request and reads what comes of it, without keeping it. Returns the status, and whether
/// the response was complete; `None` if there was none.
async fn ask(address: SocketAddr, id: &str) -> Option<(u16, bool)> {
    let mut sender = connect(address).await.expect("the entry accepts callers");
    let asked = async {
        let sent = sender.send_request(request("GET", "/board/x", id)).await;
        let (parts, mut body) = sent.ok()?.into_parts();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            is_complete = frame.is_ok();
        }
        Some((parts.status.as_u16(), is_complete))
    };
    let ended = tokio::time::timeout(WAIT_TIMEOUT, asked).await;
    ended.expect("an end of the response")
}

/// A caller learnt only seconds later that a response had been broken off: its connection stayed
/// open for as long as the entry waited for the caller to close it.
#[tokio::test]
async fn a_response_that_is_broken_off_ends_at_once() {
    for part in [EndlessPart::ChunkedBody, EndlessPart::PlainBody] {
        let world = short_world(1).await;
        let entry = EntryProcess::ready(&world, "n1").await;
        world.backends[0].set_behavior(Behavior::Endless(part));
        let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
        let head = b"GET /board/x HTTP/1.1\r\nhost: board.example\r\nrequest-id: a\r\n\r\n";
        caller.write_all(head).await.unwrap();
        let mut chunk = vec![0; 64 << 10];
        while caller.read(&mut chunk).await.expect("an orderly end") > 0 {}
        // The caller knows the end before it has closed its own side.
        let metrics = entry.metrics().await;
        assert!(
            metrics.contains("laurelhill_caller_connections 1\n"),
            "{part:?}: {metrics}"
        );
    }
}

/// Chunks of a few bytes cost an entry so much processor time that the requests of others waited.
#[tokio::test]
async fn chunks_of_a_few_bytes_are_read_at_a_limited_rate() {
    /// What arrives in the time of the route and a second more, in bytes.
    const MAX_BYTES: usize = 8 * 20_000 * 2;
    let world = short_world(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world.backends[0].set_behavior(Behavior::Endless(EndlessPart::TinyChunks));
    let mut sender = connect(entry.callers()).await.unwrap();
    let sent = sender.send_request(request("GET", "/board/x", "tiny"));
    let mut received = 0;
    if let Ok(response) = sent.await {
        let mut body = response.into_body();
        while let Some(Ok(frame)) = body.frame().await {
            received += frame.data_ref().map_or(0, |data| data.len());
        }
    }
    assert!(received < MAX_BYTES, "{received} bytes");
}

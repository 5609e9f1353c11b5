//! HTTP/1.1 pipelining: callers that send further requests before the first response.

mod world;

use std::time::Duration;

use platform_standin::{Behavior, RouteFixture, desired_state, server_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use world::{BOARD, EntryProcess, WAIT_TIMEOUT, World, until};

/// Maximum memory used for ten thousand pipelined requests, in KiB. Their bytes must stay in the
/// buffers of the caller and the kernel.
const MAX_MEMORY_KIB: u64 = 24 << 10;

/// Time for which servers work on requests that no test waits for.
const UNFINISHED: Duration = Duration::from_secs(600);

fn text(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: board.example\r\nRequest-Id: {id}\r\n\
         Affinity-Key: 7\r\nDeadline-Ms: 40000\r\n\r\n"
    )
}

/// Reads status and request id of up to `count` responses, fewer if `stream` ends.
async fn read_responses(stream: &mut TcpStream, count: usize) -> Vec<(u16, String)> {
    let mut responses = Vec::new();
    let mut buffer = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    while responses.len() < count {
        if let Some((answer, length)) = parse_first_response(&buffer) {
            buffer.drain(..length);
            responses.push(answer);
            continue;
        }
        let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut chunk));
        match read.await.expect("a response before the timeout") {
            Ok(0) | Err(_) => break,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
    responses
}

/// Parses the first complete response in `buffer`, and returns its length too.
fn parse_first_response(buffer: &[u8]) -> Option<((u16, String), usize)> {
    let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
    let field = |name: &str| {
        let line = head.lines().find(|line| line.starts_with(name))?;
        Some(line[name.len()..].trim().to_owned())
    };
    let length: usize = field("content-length:").map_or(0, |text| text.parse().unwrap());
    if buffer.len() < end + length {
        return None;
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let id = field("request-id:").unwrap_or_default();
    Some(((status, id), end + length))
}

async fn open_connection(entry: &EntryProcess) -> TcpStream {
    TcpStream::connect(entry.callers()).await.unwrap()
}

/// Responses are sent in the order of the requests, even if the first request takes longest and one
/// in the middle is rejected.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_responses_come_in_order() {
    let world = World::new(3).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(Duration::from_millis(300)));
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = open_connection(&entry).await;
    let mut bytes = String::new();
    for number in 0..12 {
        let path = if number == 5 {
            "/nowhere/x"
        } else {
            "/board/x"
        };
        bytes.push_str(&text(path, &format!("p{number}")));
    }
    stream.write_all(bytes.as_bytes()).await.unwrap();
    until("the first request runs", async || world.runs("p0") == 1).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(Duration::ZERO));
    }
    let responses = read_responses(&mut stream, 12).await;
    let expected: Vec<(u16, String)> = (0..12)
        .map(|number| (if number == 5 { 404 } else { 200 }, format!("p{number}")))
        .collect();
    assert_eq!(responses, expected);
    for number in (0..12).filter(|number| *number != 5) {
        assert_eq!(world.runs(&format!("p{number}")), 1);
    }
}

/// Pipelined requests after a response that closes the connection are not read: no server runs
/// them, and the caller sees that the connection was closed.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_after_a_close_do_not_run() {
    let world = World::new(2).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(Duration::from_millis(400)));
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = open_connection(&entry).await;
    let bytes: String = (0..6)
        .map(|number| text("/board/x", &format!("s{number}")))
        .collect();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    until("the first request runs", async || world.runs("s0") == 1).await;
    entry.signal("TERM");
    let responses = read_responses(&mut stream, 6).await;
    assert!(
        !responses.is_empty(),
        "the running request must get a response"
    );
    for (number, (status, id)) in responses.iter().enumerate() {
        assert_eq!((*status, id.as_str()), (200, format!("s{number}").as_str()));
    }
    for number in responses.len()..6 {
        assert_eq!(
            world.runs(&format!("s{number}")),
            0,
            "s{number} ran without a response"
        );
    }
}

/// Ten thousand pipelined requests take no more memory than a few, and each gets one response.
#[tokio::test(flavor = "multi_thread")]
async fn many_pipelined_requests_use_constant_memory() {
    const COUNT: usize = 10_000;
    let world = World::new(1).await;
    world.backends[0].set_behavior(Behavior::Run(Duration::from_millis(500)));
    let entry = EntryProcess::ready(&world, "n1").await;
    let before = entry.peak_memory();
    let stream = open_connection(&entry).await;
    let (mut reader, mut writer) = stream.into_split();
    let sending = tokio::spawn(async move {
        for number in 0..COUNT {
            let text = text("/board/x", &format!("m{number}"));
            if writer.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    });
    until("the first request runs", async || world.runs("m0") == 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let used_kib = entry.peak_memory() - before;
    assert!(
        used_kib <= MAX_MEMORY_KIB,
        "{used_kib} KiB while the first request runs"
    );
    world.backends[0].set_behavior(Behavior::Run(Duration::ZERO));
    let mut ids = 0;
    let mut buffer: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    while ids < COUNT {
        let length = reader.read(&mut chunk).await.unwrap();
        assert!(length > 0, "connection closed after {ids} responses");
        buffer.extend_from_slice(&chunk[..length]);
        while let Some(((status, id), length)) = parse_first_response(&buffer) {
            assert_eq!((status, id), (200, format!("m{ids}")));
            buffer.drain(..length);
            ids += 1;
        }
    }
    sending.abort();
    let used_kib = entry.peak_memory() - before;
    assert!(used_kib <= MAX_MEMORY_KIB, "{used_kib} KiB");
}

/// Sends `paths` in one piece, as requests named by `prefix` and their position.
async fn send_pipelined(stream: &mut TcpStream, prefix: &str, paths: &[&str]) {
    let requests = paths.iter().enumerate();
    let bytes: String = requests
        .map(|(number, path)| text(path, &format!("{prefix}{number}")))
        .collect();
    stream.write_all(bytes.as_bytes()).await.unwrap();
}

/// Pipelined requests don't wait for the response to the first one. Those beyond the setting's
/// number do, and so do those that must not be repeated: the caller sends them again if the
/// connection is closed before their turn.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_served_at_the_same_time() {
    let world = World::new(3).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(UNFINISHED));
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = open_connection(&entry).await;
    let paths = [
        "/board/x", "/board/x", "/desk/x", "/board/x", "/board/x", "/board/x",
    ];
    send_pipelined(&mut stream, "t", &paths).await;
    until("four requests run", async || {
        ["t0", "t1", "t3", "t4"]
            .iter()
            .all(|id| world.runs(id) == 1)
    })
    .await;
    assert_eq!((world.runs("t2"), world.runs("t5")), (0, 0));
    drop(stream);
    until("all are cancelled at the servers", async || {
        let seen = world.backends.iter().flat_map(|backend| backend.seen());
        seen.filter(|request| request.cancelled).count() == 4
    })
    .await;
}

/// A pipelined request is served before the first response is complete, also if it arrives after
/// the first request has begun.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_pipelined_request_is_served_at_once() {
    let world = World::new(3).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(UNFINISHED));
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = open_connection(&entry).await;
    for (count, id) in ["l0", "l1", "l2"].into_iter().enumerate() {
        stream
            .write_all(text("/board/x", id).as_bytes())
            .await
            .unwrap();
        let what = format!("{} requests run", count + 1);
        until(&what, async || world.runs(id) == 1).await;
    }
    let seen = world.backends.iter().flat_map(|backend| backend.seen());
    assert_eq!(seen.filter(|request| !request.cancelled).count(), 3);
}

/// The responses of requests that were served at the same time come in their order, each to its
/// request, behind and before requests with bodies.
#[tokio::test(flavor = "multi_thread")]
async fn responses_keep_their_order_among_bodies() {
    let world = World::new(3).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(Duration::from_millis(30)));
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = open_connection(&entry).await;
    let mut expected = Vec::new();
    for number in 0..40 {
        let id = format!("o{number}");
        let mut request = text("/board/x", &id);
        if number % 7 == 3 {
            request = format!(
                "POST /desk/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 40000\r\nContent-Length: 11\r\n\r\nGET / HTTP/"
            );
        }
        // Heads arrive in pieces.
        let (first, rest) = request.split_at(request.len() / 2);
        stream.write_all(first.as_bytes()).await.unwrap();
        if number % 5 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        stream.write_all(rest.as_bytes()).await.unwrap();
        expected.push((200, id));
    }
    assert_eq!(read_responses(&mut stream, 40).await, expected);
    for (_, id) in &expected {
        assert_eq!(world.runs(id), 1, "{id}");
    }
}

/// Requests that were passed on behind a streamed response were lost with it when its server ended.
#[tokio::test]
async fn a_broken_large_response_costs_no_response_behind_it() {
    const LARGE_BYTES: usize = 900_000;
    let world = World::new(2).await;
    let other = RouteFixture {
        name: "other",
        prefix: "/other/",
        service: "other",
        ..BOARD
    };
    world
        .store
        .put("op", "config", &desired_state(6, &[BOARD, other]));
    let (broken, sound) = (&world.backends[0], &world.backends[1]);
    let row = server_entry("other", sound.address(), "ready", 2);
    world.store.put("servers", sound.id(), &row);
    broken.set_behavior(Behavior::LargeTruncated(LARGE_BYTES));
    let entry = EntryProcess::ready(&world, "n1").await;
    until("both routes are known", async || {
        entry.send("GET", "/other/x", "known").await.status == 200
    })
    .await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let both = text("/board/x", "large") + &text("/other/x", "behind");
    stream.write_all(both.as_bytes()).await.unwrap();
    let responses = read_responses(&mut stream, 2).await;
    let expected = [(502, "large".to_owned()), (200, "behind".to_owned())];
    assert_eq!(responses, expected);
}

/// A large response is whole, whether requests behind it were started or not.
#[tokio::test]
async fn a_large_response_ahead_of_others_is_whole() {
    let world = World::new(2).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    for bytes in [300_000, 900_000, 3_000_000] {
        for backend in &world.backends {
            backend.set_behavior(Behavior::Large(bytes));
        }
        let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
        let ids: Vec<String> = (0..4).map(|number| format!("{bytes}-{number}")).collect();
        let all: String = ids.iter().map(|id| text("/board/x", id)).collect();
        stream.write_all(all.as_bytes()).await.unwrap();
        let responses = read_responses(&mut stream, ids.len()).await;
        let expected: Vec<_> = ids.into_iter().map(|id| (200, id)).collect();
        assert_eq!(responses, expected);
    }
}

//! Callers that send further requests before the first was answered.

mod world;

use std::time::Duration;

use platform_standin::Behavior;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use world::{EntryProcess, WAIT_TIMEOUT, World, until};

/// Memory that ten thousand waiting requests may take, in KiB: their bytes wait in the caller's
/// and the system's buffers, not here.
const MEMORY_MOST: u64 = 24 << 10;

fn text(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: board.example\r\nRequest-Id: {id}\r\n\
         Affinity-Key: 7\r\nDeadline-Ms: 40000\r\n\r\n"
    )
}

/// The answers on `stream` until it ends or there are `count`: status and id.
async fn answers(stream: &mut TcpStream, count: usize) -> Vec<(u16, String)> {
    let mut found = Vec::new();
    let mut buffer = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    while found.len() < count {
        if let Some((answer, length)) = first_answer(&buffer) {
            buffer.drain(..length);
            found.push(answer);
            continue;
        }
        let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut chunk));
        match read.await.expect("bytes in time") {
            Ok(0) | Err(_) => break,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
    found
}

/// The first whole answer in `buffer` and its length.
fn first_answer(buffer: &[u8]) -> Option<((u16, String), usize)> {
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

async fn open(entry: &EntryProcess) -> TcpStream {
    TcpStream::connect(entry.callers()).await.unwrap()
}

/// Promise: answers come in the order of the requests, though the first takes longest and one
/// in the middle is turned away.
#[tokio::test(flavor = "multi_thread")]
async fn answers_come_in_order() {
    let world = World::new(3).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(Duration::from_millis(300)));
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = open(&entry).await;
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
    until("the first is at work", async || world.runs("p0") == 1).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(Duration::ZERO));
    }
    let found = answers(&mut stream, 12).await;
    let expected: Vec<(u16, String)> = (0..12)
        .map(|number| (if number == 5 { 404 } else { 200 }, format!("p{number}")))
        .collect();
    assert_eq!(found, expected);
    for number in (0..12).filter(|number| *number != 5) {
        assert_eq!(world.runs(&format!("p{number}")), 1);
    }
}

/// Promise: requests behind an answer that closes the connection weren't read: no server ran
/// them, and the caller can tell from the closed connection.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_a_close_are_not_run() {
    let world = World::new(2).await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Run(Duration::from_millis(400)));
    }
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = open(&entry).await;
    let bytes: String = (0..6)
        .map(|number| text("/board/x", &format!("s{number}")))
        .collect();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    until("the first is at work", async || world.runs("s0") == 1).await;
    entry.signal("TERM");
    let found = answers(&mut stream, 6).await;
    assert!(!found.is_empty(), "the one at work is answered");
    for (number, (status, id)) in found.iter().enumerate() {
        assert_eq!((*status, id.as_str()), (200, format!("s{number}").as_str()));
    }
    for number in found.len()..6 {
        assert_eq!(
            world.runs(&format!("s{number}")),
            0,
            "s{number} was not answered"
        );
    }
}

/// Promise: ten thousand requests on one connection take no more memory than a few, and each
/// is answered once.
#[tokio::test(flavor = "multi_thread")]
async fn many_waiting_requests_take_no_memory() {
    const COUNT: usize = 10_000;
    let world = World::new(1).await;
    world.backends[0].set_behavior(Behavior::Run(Duration::from_millis(500)));
    let entry = EntryProcess::ready(&world, "n1").await;
    let before = entry.peak_memory();
    let stream = open(&entry).await;
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
    until("the first is at work", async || world.runs("m0") == 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let held = entry.peak_memory() - before;
    assert!(held <= MEMORY_MOST, "{held} KiB while the first is at work");
    world.backends[0].set_behavior(Behavior::Run(Duration::ZERO));
    let mut ids = 0;
    let mut buffer: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    while ids < COUNT {
        let length = reader.read(&mut chunk).await.unwrap();
        assert!(length > 0, "closed after {ids} answers");
        buffer.extend_from_slice(&chunk[..length]);
        while let Some(((status, id), length)) = first_answer(&buffer) {
            assert_eq!((status, id), (200, format!("m{ids}")));
            buffer.drain(..length);
            ids += 1;
        }
    }
    sending.abort();
    let held = entry.peak_memory() - before;
    assert!(held <= MEMORY_MOST, "{held} KiB");
}

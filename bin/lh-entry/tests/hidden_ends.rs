//! Callers that leave while bytes that the entry hasn't read hide the end of their connection.
//!
//! A caller sent a request in chunks and then several more at once, and left. The entry read on
//! only after the response to the first of them, so its server worked to the end, and the next
//! request was passed on for a caller that was gone.

mod world;

use std::time::Duration;

use platform_standin::{Behavior, RouteFixture, desired_state, with_body_limit};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use world::{BOARD, EntryProcess, World, until};

/// Longer than all waits of a test.
const UNFINISHED: Duration = Duration::from_secs(600);
const PATIENT: RouteFixture<'static> = RouteFixture {
    timeout: "600s",
    ..BOARD
};
/// Requests behind the first one; more than an entry reads ahead of the current one.
const MANY: usize = 200;
/// A body that is passed on without a look at what follows it, in bytes.
const LARGE_BODY_BYTES: usize = 80 << 10;

fn head(method: &str, id: &str, lines: &str) -> String {
    format!(
        "{method} /board/{id} HTTP/1.1\r\nHost: board.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 600000\r\n{lines}\r\n"
    )
}

fn chunked(id: &str) -> String {
    let head = head("POST", id, "Transfer-Encoding: chunked\r\n");
    format!("{head}5\r\nnames\r\n0\r\n\r\n")
}

fn behind(id: &str, count: usize) -> String {
    let requests = (0..count).map(|number| head("POST", &format!("{id}-{number}"), ""));
    requests.collect()
}

/// Reads until the response to the request `id` has begun.
async fn read_response(stream: &mut TcpStream, id: &str) {
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    while !String::from_utf8_lossy(&text).contains(&format!("{id}\r\n")) {
        let length = stream.read(&mut chunk).await.unwrap();
        assert!(length > 0, "the connection ended before the response");
        text.extend_from_slice(&chunk[..length]);
    }
}

/// Sends `first`, then requests behind it, and leaves while the one named `id` runs.
async fn leave(
    world: &World,
    entry: &EntryProcess,
    id: &str,
    first: Option<String>,
    last: &str,
    resets: bool,
) {
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let backend = &world.backends[0];
    if let Some(first) = first {
        backend.set_behavior(Behavior::Run(Duration::ZERO));
        stream.write_all(first.as_bytes()).await.unwrap();
        read_response(&mut stream, &format!("first-{id}")).await;
    }
    backend.set_behavior(Behavior::Run(UNFINISHED));
    stream.write_all(last.as_bytes()).await.unwrap();
    until(&format!("the server runs {id}"), async || {
        backend.runs(id) == 1
    })
    .await;
    if resets {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(stream);
    until(
        &format!("the server is freed from {id} (resets: {resets})"),
        async || {
            let seen = backend.seen();
            let path = format!("/board/{id} ");
            seen.iter()
                .any(|seen| seen.line.contains(&path) && seen.cancelled)
        },
    )
    .await;
    // A few requests behind those of stated length start before their turn.
    let number = if id.starts_with("many") { MANY - 1 } else { 0 };
    let behind = format!("{id}-{number}");
    assert_eq!(world.runs(&behind), 0, "{behind} ran");
}

/// Whatever the entry hasn't read of a connection, it notices that the caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_left_unread_bytes_is_noticed() {
    let world = World::new(1).await;
    let desired = with_body_limit(desired_state(6, &[PATIENT]), 2 * LARGE_BODY_BYTES);
    world.store.put("op", "config", &desired);
    let entry = EntryProcess::ready(&world, "n1").await;
    for resets in [false, true] {
        let name = |what: &str| format!("{what}-{resets}");
        let id = name("chunks");
        let last = head("GET", &id, "") + &behind(&id, 2);
        let first = Some(chunked(&format!("first-{id}")));
        leave(&world, &entry, &id, first, &last, resets).await;

        let id = name("header");
        let last = head("GET", &id, "Connection: keep-alive\r\n") + &behind(&id, 2);
        leave(&world, &entry, &id, None, &last, resets).await;

        let id = name("large");
        let length = format!("Content-Length: {LARGE_BODY_BYTES}\r\n");
        let body = "x".repeat(LARGE_BODY_BYTES);
        let last = head("POST", &id, &length) + &body + &behind(&id, 2);
        leave(&world, &entry, &id, None, &last, resets).await;

        let id = name("many");
        let last = head("GET", &id, "") + &behind(&id, MANY);
        leave(&world, &entry, &id, None, &last, resets).await;
    }
}

//! Uploads to servers that take their time to read them.

mod world;

use std::time::Duration;

use platform_standin::{RouteFixture, desired_state, server_entry, with_body_limit};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use world::{BOARD, EntryProcess, World, connect, exchange, request_with};

const UPLOAD: RouteFixture<'static> = RouteFixture {
    kind: "upload",
    timeout: "20s",
    ..BOARD
};
/// Size of the upload, in bytes: more than the buffers between the entry and the server hold.
const UPLOAD_BYTES: usize = 4 << 20;
/// Receive buffer of the server, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// How long the server works before it reads on; longer than the time after which a server that
/// acknowledges nothing counts as gone.
const WORK_TIME: Duration = Duration::from_millis(3000);

/// Reads a head, waits, reads the body and responds.
async fn serve_slowly(mut stream: TcpStream) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 4096];
    let body_start = loop {
        let length = stream.read(&mut buffer).await.unwrap();
        received.extend_from_slice(&buffer[..length]);
        let mut windows = received.windows(4);
        if let Some(end) = windows.position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
    };
    tokio::time::sleep(WORK_TIME).await;
    let mut read = received.len() - body_start;
    while read < UPLOAD_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => read += length,
        }
    }
    let response =
        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s1\r\nContent-Length: 2\r\n\r\nok";
    stream.write_all(response.as_bytes()).await.unwrap();
}

/// A live server that closed its window while it worked lost its uploads after 1.2 s.
#[tokio::test]
async fn an_upload_that_its_server_reads_late_is_not_broken_off() {
    let world = World::new(0).await;
    let state = with_body_limit(desired_state(6, &[UPLOAD]), 2 * UPLOAD_BYTES);
    world.store.put("op", "config", &state);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .unwrap();
    let row = server_entry("board", listener.local_addr().unwrap(), "ready", 1);
    world.store.put("servers", "i-slow", &row);
    let entry = EntryProcess::ready(&world, "n1").await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_slowly(stream));
        }
    });
    let mut sender = connect(entry.callers()).await.unwrap();
    let body = vec![b'x'; UPLOAD_BYTES];
    let answer = exchange(&mut sender, request_with("POST", "/board/x", "a", &body)).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
}

//! What callers on slow links get of a response after which their connection is closed.

mod world;

use std::time::Duration;

use platform_standin::{Behavior, server_entry};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use world::{EntryProcess, World, until};

/// Size of a response that is buffered as a whole, in bytes.
const RESPONSE_BYTES: usize = 255_000;
/// Receive buffer and largest segment of a caller, in bytes, so that buffers stay small.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const SEGMENT_BYTES: u32 = 536;
/// Time after which a caller reads, longer than a stopping entry serves new requests.
const READ_DELAY: Duration = Duration::from_millis(4500);
const GET: &str = "GET /board/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: ";

async fn slow_caller(entry: &EntryProcess) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(entry.callers()).await.unwrap()
}

/// Reads until the connection ends, and returns the bytes of the body of the first response.
async fn read_body(caller: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    let mut buffer = vec![0; 4096];
    while let Ok(length) = caller.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..length]);
    }
    let mut windows = received.windows(4);
    let head = windows.position(|window| window == b"\r\n\r\n");
    head.map_or(0, |head| received.len() - head - 4)
}

/// A stopping entry exited while a part of a response waited for a caller on a slow link.
#[tokio::test]
async fn a_stopping_entry_waits_for_callers_on_slow_links() {
    let world = World::new(1).await;
    world.backends[0].set_behavior(Behavior::Large(RESPONSE_BYTES));
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut caller = slow_caller(&entry).await;
    let request = format!("{GET}a\r\n\r\n");
    caller.write_all(request.as_bytes()).await.unwrap();
    until("the server runs the request", async || world.runs("a") == 1).await;
    entry.signal("TERM");
    tokio::time::sleep(READ_DELAY).await;
    assert_eq!(read_body(&mut caller).await, RESPONSE_BYTES);
}

/// A stopping entry reset a connection because further requests waited unread behind the one that
/// it had answered, and the rest of the response was lost.
#[tokio::test]
async fn unread_requests_cost_no_response_in_a_stop() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut caller = slow_caller(&entry).await;
    let head = "POST /desk/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: first\r\n";
    let body = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    caller
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .unwrap();
    let mut answer = vec![0; 4096];
    assert!(caller.read(&mut answer).await.unwrap() > 0);
    world.backends[0].set_behavior(Behavior::Large(RESPONSE_BYTES));
    entry.signal("TERM");
    until("the entry stops", async || {
        !entry.logged("stop requested").is_empty()
    })
    .await;
    let request = |id: &str| format!("{GET}{id}\r\n\r\n");
    caller.write_all(request("a").as_bytes()).await.unwrap();
    until("the server runs the request", async || world.runs("a") == 1).await;
    for number in 0..200 {
        let behind = request(&format!("behind-{number}"));
        if caller.write_all(behind.as_bytes()).await.is_err() {
            break;
        }
    }
    tokio::time::sleep(READ_DELAY).await;
    assert_eq!(read_body(&mut caller).await, RESPONSE_BYTES);
}

/// Responds in two parts, with a pause that is longer than a caller may take for a head.
async fn respond_slowly(mut stream: TcpStream, bytes: usize) {
    let mut request = vec![0; 4096];
    let length = stream.read(&mut request).await.unwrap();
    let text = String::from_utf8_lossy(&request[..length]).to_ascii_lowercase();
    let id = text.split("request-id: ").nth(1).unwrap();
    let id = id.split("\r\n").next().unwrap();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\nContent-Length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let half = vec![b'x'; bytes / 2];
    stream.write_all(&half).await.unwrap();
    tokio::time::sleep(READ_DELAY).await;
    let _ = stream.write_all(&half).await;
}

/// A request that waits behind a response isn't a head that doesn't come: its header timeout cut
/// the response off.
#[tokio::test]
async fn a_request_behind_a_slow_response_does_not_cut_it_off() {
    const STREAMED_BYTES: usize = 1_200_000;
    let world = World::new(0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let row = server_entry("board", listener.local_addr().unwrap(), "ready", 1);
    world.store.put("servers", "i-slow", &row);
    let entry = EntryProcess::ready(&world, "n1").await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_slowly(stream, STREAMED_BYTES));
        }
    });
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    let request = |id: &str| format!("{GET}{id}\r\n\r\n");
    caller.write_all(request("a").as_bytes()).await.unwrap();
    let mut received = 0;
    let mut buffer = vec![0; 64 << 10];
    while received < STREAMED_BYTES / 2 {
        received += caller.read(&mut buffer).await.unwrap();
    }
    caller.write_all(request("b").as_bytes()).await.unwrap();
    while received < STREAMED_BYTES {
        let length = caller.read(&mut buffer).await.unwrap_or(0);
        assert!(length > 0, "cut off after {received} bytes");
        received += length;
    }
}

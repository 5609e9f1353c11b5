//! What callers get of responses that servers in trouble send: statuses that don't exist, and
//! responses that are reset while the upload that they answer goes on.

mod world;

use std::time::Duration;

use platform_standin::{RouteFixture, desired_state, server_entry, with_body_limit};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use world::{BOARD, EntryProcess, World};

const UPLOAD: RouteFixture<'static> = RouteFixture {
    name: "upload",
    prefix: "/upload/",
    kind: "upload",
    ..BOARD
};

/// Texts in the place of a status, none of which ends a request.
const STATUSES: [&str; 11] = [
    "000", "007", "099", "101", "20", "600", "999", "1000", "-20", "abc", "",
];
/// Size of an upload, and the pieces in which its caller sends it, in bytes.
const UPLOAD_BYTES: usize = 600_000;
const PIECE_BYTES: usize = 50_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(30);
/// Heads of responses whose end their connection may show.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nConnection: close\r\n",
    "HTTP/1.0 200 OK\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
];

/// What a server does with each request.
#[derive(Debug, Clone, Copy)]
enum OddServer {
    /// Sends a complete response with this text in the place of its status.
    Status(&'static str),
    /// Starts a response with this head while the upload arrives, and resets the connection.
    Reset(&'static str),
}

impl OddServer {
    async fn serve(self, mut stream: TcpStream) {
        let mut head = Vec::new();
        let mut buffer = [0; 4096];
        while !head.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read(&mut buffer).await {
                Ok(length @ 1..) => head.extend_from_slice(&buffer[..length]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let id = head.split("request-id: ").nth(1).unwrap_or_default();
        let id = id.split("\r\n").next().unwrap_or_default();
        let fields = format!("Request-Id: {id}\r\nServer-Stamp: s1\r\n");
        let response = match self {
            Self::Status(status) => {
                format!("HTTP/1.1 {status} Odd\r\n{fields}Content-Length: 2\r\n\r\nok")
            }
            Self::Reset(start) if start.contains("chunked") => {
                format!("{start}{fields}\r\n4\r\npart\r\n")
            }
            Self::Reset(start) => format!("{start}{fields}\r\npart"),
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        if matches!(self, Self::Reset(_)) {
            tokio::time::sleep(PIECE_INTERVAL).await;
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            return;
        }
        while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
    }
}

/// Starts an entry with one server that behaves as `odd` says.
async fn start(odd: OddServer) -> (World, EntryProcess) {
    let world = World::new(0).await;
    let state = with_body_limit(desired_state(6, &[BOARD, UPLOAD]), 2 * UPLOAD_BYTES);
    world.store.put("op", "config", &state);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let row = server_entry("board", listener.local_addr().unwrap(), "ready", 1);
    world.store.put("servers", "i-odd", &row);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(odd.serve(stream));
        }
    });
    let entry = EntryProcess::ready(&world, "n1").await;
    (world, entry)
}

/// Sends an upload in pieces and reads until the connection ends. Returns what was received.
async fn upload(entry: &EntryProcess) -> String {
    let stream = TcpStream::connect(entry.callers()).await.unwrap();
    let (mut read_half, mut write_half) = stream.into_split();
    let sending = tokio::spawn(async move {
        let head = format!(
            "POST /upload/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: up\r\n\
             Connection: close\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        );
        let mut result = write_half.write_all(head.as_bytes()).await;
        for _ in 0..UPLOAD_BYTES / PIECE_BYTES {
            if result.is_err() {
                break;
            }
            tokio::time::sleep(PIECE_INTERVAL).await;
            result = write_half.write_all(&[b'x'; PIECE_BYTES]).await;
        }
        write_half
    });
    let mut received = Vec::new();
    // A reset is an end as well.
    let _ = read_half.read_to_end(&mut received).await;
    drop(sending.await.unwrap());
    String::from_utf8_lossy(&received).into_owned()
}

/// The first line of a response.
fn first_line(response: &str) -> &str {
    response.lines().next().unwrap_or_default()
}

/// A caller took a status that doesn't exist, or a switch of protocols that it hadn't asked for,
/// for the response of its request.
#[tokio::test]
async fn statuses_that_end_no_request_reach_no_caller() {
    for status in STATUSES {
        let (_world, entry) = start(OddServer::Status(status)).await;
        let answer = entry.send("GET", "/board/x", "get").await;
        assert_eq!(answer.status, 502, "status {status:?}: {answer:?}");
        let response = upload(&entry).await;
        let line = first_line(&response);
        assert_eq!(line, "HTTP/1.1 502 Bad Gateway", "status {status:?}");
    }
}

/// A response that is reset while its upload is still being sent is never complete to the caller.
#[tokio::test]
async fn responses_reset_during_an_upload_never_look_complete() {
    for head in HEADS {
        let (_world, entry) = start(OddServer::Reset(head)).await;
        let response = upload(&entry).await;
        let line = first_line(&response);
        assert_eq!(line, "HTTP/1.1 502 Bad Gateway", "{head:?}: {response}");
    }
}

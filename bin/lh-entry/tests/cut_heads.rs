//! Servers that stop in the middle of their answer and close.
//!
//! Other systems took the part of a head that had arrived for a whole one, and framed what
//! followed it as a complete response.

mod world;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform_standin::server_entry;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use world::{EntryProcess, World, until};

/// Where an answer is cut, and how its connection ends.
#[derive(Debug, Clone, Default)]
struct Cut {
    answer: String,
    bytes: usize,
    resets: bool,
    /// Number of answers that were cut so.
    count: usize,
}

/// A server that cuts its answers.
#[derive(Clone)]
struct CuttingServer {
    address: SocketAddr,
    cut: Arc<Mutex<Cut>>,
}

impl CuttingServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            cut: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move { server.answer(stream).await });
            }
        });
        server
    }

    async fn answer(&self, mut stream: TcpStream) {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk).await {
                Ok(length) if length > 0 => text.extend_from_slice(&chunk[..length]),
                _ => return,
            }
        }
        let text = String::from_utf8_lossy(&text).to_lowercase();
        let mut lines = text.lines();
        let id = lines.find_map(|line| line.strip_prefix("request-id: "));
        let cut = self.cut.lock().unwrap().clone();
        let answer = cut.answer.replace("ID", id.unwrap_or_default());
        // A write to an entry that has left changes nothing.
        let _ = stream.write_all(&answer.as_bytes()[..cut.bytes]).await;
        self.cut.lock().unwrap().count += 1;
        if cut.resets {
            // What was sent has to arrive before the reset does.
            tokio::time::sleep(Duration::from_millis(5)).await;
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    }
}

/// No caller takes an answer for a success that broke off anywhere before its end, in an interim
/// response, in its head or in a body of stated length.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_never_a_success() {
    let stamp = "Request-Id: ID\r\nServer-Stamp: 1.2\r\n";
    let answers = [
        format!("HTTP/1.1 200 OK\r\n{stamp}Content-Length: 12\r\n\r\nwhole answer"),
        format!(
            "HTTP/1.1 200 OK\r\n{stamp}Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n"
        ),
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n{stamp}\r\n"),
        format!("HTTP/1.1 200 OK\r\n{stamp}Connection: close\r\n\r\n"),
        format!(
            "HTTP/1.0 200 OK\n{}Content-Length: 1\n\nx",
            stamp.replace('\r', "")
        ),
    ];
    let world = World::new(0).await;
    let server = CuttingServer::start().await;
    let row = server_entry("board", server.address, "ready", 1);
    world.store.put("servers", "i-cut", &row);
    let entry = EntryProcess::ready(&world, "n1").await;
    for answer in &answers {
        for bytes in 0..answer.len() {
            let resets = bytes % 2 == 1;
            let cut = Cut {
                answer: answer.clone(),
                bytes,
                resets,
                count: 0,
            };
            *server.cut.lock().unwrap() = cut;
            // The id is two bytes long, as its place in the answers.
            until("the server cuts an answer", async || {
                let reply = entry.send("GET", "/desk/x", "ab").await;
                assert!(
                    !(200..300).contains(&reply.status),
                    "cut after {bytes} bytes of {answer:?} (resets: {resets}): {reply:?}"
                );
                server.cut.lock().unwrap().count > 0
            })
            .await;
        }
        let whole = Cut {
            answer: answer.clone(),
            bytes: answer.len(),
            ..Cut::default()
        };
        *server.cut.lock().unwrap() = whole;
        until("a whole answer is passed on", async || {
            entry.send("GET", "/desk/x", "ab").await.status == 200
        })
        .await;
    }
}

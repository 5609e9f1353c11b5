//! Large bodies and planned stops on the product's own interface, and what metrics and status
//! report.

mod own;
mod world;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Request;
use hyper::body::Frame;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use own::{OwnWorld, SERVICE_TIME, book, send, ticket};
use standin::{REQUEST_ID_HEADER, response_body};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use world::{connect, until};

/// Oversized headers and truncated bodies don't affect other requests.
#[tokio::test]
async fn oversized_heads_and_truncated_bodies_are_tolerated() {
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let head = format!(
        "GET /board/x HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n",
        "x".repeat(1 << 20)
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 431"));
    let ticket = ticket(&entry, "desk").await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let head = format!(
        "POST /desk/x HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\nlaurelhill-ticket: {ticket}\r\n\
         laurelhill-number: 1\r\nx-request-id: cut\r\n\r\nonly a part"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    drop(stream);
    let good = book(entry.callers(), "good", &ticket, 2, 1).await.unwrap();
    assert_eq!(good.outcome, "done");
    assert_eq!(world.runs("cut"), 0);
}

/// Sends an upload of `chunks` chunks of 64 KiB. Each chunk waits for a message on `chunk_permits`,
/// until that channel is closed.
async fn upload(
    address: std::net::SocketAddr,
    id: &str,
    chunks: usize,
    mut chunk_permits: mpsc::Receiver<()>,
) -> Option<Bytes> {
    let (sender, receiver) = mpsc::channel::<Bytes>(1);
    let body = StreamBody::new(frames(receiver));
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    let request = Request::post("/locker/plan")
        .header("host", "test")
        .header("content-length", (chunks << 16).to_string())
        .header(REQUEST_ID_HEADER, id)
        .body(body)
        .unwrap();
    let feeding = async move {
        for _ in 0..chunks {
            chunk_permits.recv().await;
            let _ = sender.send(Bytes::from_static(&[b'x'; 1 << 16])).await;
        }
    };
    let (response, ()) = tokio::join!(connection.send_request(request), feeding);
    let body = response.ok()?.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

fn frames(
    mut receiver: mpsc::Receiver<Bytes>,
) -> impl futures_core::Stream<Item = Result<Frame<Bytes>, std::convert::Infallible>> {
    futures_util::stream::poll_fn(move |context| {
        receiver
            .poll_recv(context)
            .map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    })
}

fn expected(id: &str, chunks: usize) -> String {
    let body = vec![b'x'; chunks << 16];
    response_body(id, body.len() as u64, standin::checksum(0, &body))
}

/// Large bodies are streamed: an upload doesn't increase the entry's memory usage.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_upload_uses_constant_memory() {
    const CHUNKS: usize = 4096;
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    let before = entry.peak_memory();
    let (sender, chunk_permits) = mpsc::channel(1);
    drop(sender);
    let answer = upload(entry.callers(), "up", CHUNKS, chunk_permits)
        .await
        .unwrap();
    assert_eq!(answer, expected("up", CHUNKS));
    let grown = entry.peak_memory() - before;
    assert!(
        grown < 16 << 10,
        "an upload of 256 MiB increased memory usage by {grown} KiB"
    );
}

/// A planned stop waits for all requests, including large uploads, before the process exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_an_upload() {
    const CHUNKS: usize = 64;
    let world = OwnWorld::new(1, 3, SERVICE_TIME).await;
    let mut entry = world.entry("a", &[]).await;
    let (sender, chunk_permits) = mpsc::channel(1);
    let running = tokio::spawn(upload(entry.callers(), "up", CHUNKS, chunk_permits));
    // Enough chunks for the entry to start streaming the body to the server.
    for _ in 0..40 {
        sender.send(()).await.unwrap();
    }
    until("the upload reaches the server", async || {
        world.runs("up") == 1
    })
    .await;
    entry.signal("TERM");
    until("new requests are refused", async || {
        let headers = [(REQUEST_ID_HEADER, "late")];
        let answer = send(entry.callers(), "/board/x", &headers, b"").await;
        answer.is_none_or(|answer| answer.kind == "stopping" || answer.status == 503)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let gone = entry.child.try_wait().unwrap();
    assert!(gone.is_none(), "the process must wait for the upload");
    drop(sender);
    assert_eq!(running.await.unwrap().unwrap(), expected("up", CHUNKS));
    let ended = tokio::task::spawn_blocking(move || entry.child.wait().unwrap());
    assert!(ended.await.unwrap().success());
}

/// Metrics and status report the requests that were served.
#[tokio::test]
async fn metrics_and_status_report_served_requests() {
    let world = OwnWorld::new(2, 3, SERVICE_TIME).await;
    let entry = world.entry("a", &[]).await;
    let headers = [(REQUEST_ID_HEADER, "r1")];
    let answer = send(entry.callers(), "/board/x", &headers, b"").await;
    assert_eq!(answer.unwrap().outcome, "done");
    let status = entry.document("/v1/status?service=board").await;
    assert_eq!(status["instance"], "a");
    assert_eq!(
        (&status["version"], &status["ready"]),
        (&1.into(), &true.into())
    );
    let servers = status["servers"].as_array().unwrap();
    assert_eq!(servers.len(), 2);
    assert!(servers.iter().all(|server| server["state"] == "open"));
    let metrics = entry.metrics().await;
    assert!(
        metrics.contains("laurelhill_good_total{route=\"board\"} 1"),
        "{metrics}"
    );
    assert!(
        metrics.contains("laurelhill_slots{service=\"board\",state=\"all\"} 6"),
        "{metrics}"
    );
    assert!(connect(entry.callers()).await.is_some());
}

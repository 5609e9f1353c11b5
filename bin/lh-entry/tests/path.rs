//! The way of a request: bad input, streams, and planned stops.

mod bench;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bench::{EntryProcess, SERVICE_TIME, World, book, connect, get, send, until};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Request;
use hyper::body::Frame;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use standin::{REQUEST_ID_HEADER, payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The ticket with one digit of its signature changed.
fn forge(ticket: &str) -> String {
    let mut parts: Vec<String> = ticket.split('~').map(str::to_owned).collect();
    let changed = if parts[3].starts_with('0') { "1" } else { "0" };
    parts[3].replace_range(0..1, changed);
    parts.join("~")
}

/// Name, path, headers and body.
type BadCase<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, &'a [u8]);

/// Promise: bad input gets a clear 4xx, was not run, and the process goes on.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_not_run() {
    let world = World::new(1, 3, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let ticket = entry.ticket("desk").await;
    let stranger = ticket.replacen("a~", "ghost~", 1);
    let forged = forge(&ticket);
    let big = vec![0; 200 << 10];
    let cases: [BadCase<'_>; 11] = [
        ("unknown service", "/nothing/x", vec![], b""),
        ("no service", "/", vec![], b""),
        ("body too large", "/board/x", vec![], &big),
        (
            "deadline passed",
            "/board/x",
            vec![("laurelhill-deadline-ms", "0")],
            b"",
        ),
        (
            "deadline unreadable",
            "/board/x",
            vec![("laurelhill-deadline-ms", "soon")],
            b"",
        ),
        ("no key", "/desk/x", vec![], b"order"),
        (
            "empty key",
            "/desk/x",
            vec![("idempotency-key", "")],
            b"order",
        ),
        (
            "ticket without number",
            "/desk/x",
            vec![("laurelhill-ticket", &ticket)],
            b"order",
        ),
        (
            "unreadable ticket",
            "/desk/x",
            vec![("laurelhill-ticket", "~~~"), ("laurelhill-number", "1")],
            b"order",
        ),
        (
            "forged ticket",
            "/desk/x",
            vec![("laurelhill-ticket", &forged), ("laurelhill-number", "1")],
            b"order",
        ),
        (
            "ticket of a stranger",
            "/desk/x",
            vec![
                ("laurelhill-ticket", &stranger),
                ("laurelhill-number", "1"),
                ("laurelhill-attempt", "1"),
            ],
            b"order",
        ),
    ];
    for (name, path, headers, body) in cases {
        let mut headers = headers;
        headers.push((REQUEST_ID_HEADER, "bad"));
        let answer = send(entry.relay, path, &headers, body).await;
        let answer = answer.unwrap_or_else(|| panic!("{name}: no answer"));
        assert!((400..500).contains(&answer.status), "{name}: {answer:?}");
        assert_eq!(answer.outcome, "not-run", "{name}: {answer:?}");
    }
    assert_eq!(world.runs("bad"), 0);
    let good = book(entry.relay, "good", &ticket, 9, 1).await.unwrap();
    assert_eq!(good.outcome, "done");
}

/// Promise: a key that comes with another body is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let world = World::new(1, 3, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let headers = [(REQUEST_ID_HEADER, "k1"), ("idempotency-key", "order 1")];
    assert_eq!(
        send(entry.relay, "/desk/x", &headers, b"ten")
            .await
            .unwrap()
            .outcome,
        "done"
    );
    let other = send(entry.relay, "/desk/x", &headers, b"eleven")
        .await
        .unwrap();
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(world.runs("k1"), 1);
}

/// Promise: oversized heads and cut bodies don't hurt the process.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_heads_and_cut_bodies_are_survived() {
    let world = World::new(1, 3, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let mut stream = TcpStream::connect(entry.relay).await.unwrap();
    let head = format!(
        "GET /board/x HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n",
        "x".repeat(1 << 20)
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 431"));
    let ticket = entry.ticket("desk").await;
    let mut stream = TcpStream::connect(entry.relay).await.unwrap();
    let head = format!(
        "POST /desk/x HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\nlaurelhill-ticket: {ticket}\r\n\
         laurelhill-number: 1\r\nx-request-id: cut\r\n\r\nonly a part"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    drop(stream);
    let good = book(entry.relay, "good", &ticket, 2, 1).await.unwrap();
    assert_eq!(good.outcome, "done");
    assert_eq!(world.runs("cut"), 0);
}

/// Sends an upload of `chunks` times 64 KiB; each chunk waits for `pace`.
async fn upload(
    address: std::net::SocketAddr,
    id: &str,
    chunks: usize,
    mut pace: mpsc::Receiver<()>,
) -> Option<Bytes> {
    let (sender, receiver) = mpsc::channel::<Bytes>(1);
    let body = StreamBody::new(tokio_stream(receiver));
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
            pace.recv().await;
            let _ = sender.send(Bytes::from_static(&[b'x'; 1 << 16])).await;
        }
    };
    let (response, ()) = tokio::join!(connection.send_request(request), feeding);
    response
        .ok()?
        .into_body()
        .collect()
        .await
        .ok()
        .map(|body| body.to_bytes())
}

fn tokio_stream(
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
    payload(id, body.len() as u64, standin::checksum(0, &body))
}

/// Promise: bodies are streamed; a large upload leaves the entry's memory flat.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_upload_leaves_memory_flat() {
    const CHUNKS: usize = 4096;
    let world = World::new(1, 3, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let before = entry.peak_memory();
    let (sender, pace) = mpsc::channel(1);
    drop(sender);
    let answer = upload(entry.relay, "up", CHUNKS, pace).await.unwrap();
    assert_eq!(answer, expected("up", CHUNKS));
    let grown = entry.peak_memory() - before;
    assert!(grown < 16 << 10, "256 MiB grew the entry by {grown} KiB");
}

/// Promise: a planned stop cuts nothing, large uploads included, and then ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_an_upload() {
    const CHUNKS: usize = 64;
    let world = World::new(1, 3, SERVICE_TIME).await;
    let mut entry = EntryProcess::start(&world, "a", 0).await;
    let (sender, pace) = mpsc::channel(1);
    let running = tokio::spawn(upload(entry.relay, "up", CHUNKS, pace));
    sender.send(()).await.unwrap();
    until("the upload never started", || world.runs("up") == 1).await;
    entry.signal("TERM");
    // The listener closes once callers' caches have ended; the upload goes on meanwhile.
    let (address, mut open) = (entry.relay, true);
    while open {
        tokio::time::sleep(Duration::from_millis(20)).await;
        open = connect(address).await.is_some();
    }
    // Long enough for an entry that doesn't wait to be gone.
    for _ in 0..150 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let gone = entry.child.try_wait().unwrap();
        assert!(gone.is_none(), "it must wait for the upload");
    }
    drop(sender);
    assert_eq!(running.await.unwrap().unwrap(), expected("up", CHUNKS));
    let ended = tokio::task::spawn_blocking(move || entry.child.wait().unwrap());
    assert!(ended.await.unwrap().success());
}

/// Promise: a frozen lh-steer or one that is gone stops nothing while the permission lasts,
/// and metrics, health and status answer.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_health_and_status_answer() {
    let world = World::new(1, 3, SERVICE_TIME).await;
    let entry = EntryProcess::start(&world, "a", 0).await;
    let answer = send(entry.relay, "/board/x", &[(REQUEST_ID_HEADER, "r1")], b"")
        .await
        .unwrap();
    assert_eq!(answer.outcome, "done");
    for path in ["/metrics", "/healthz", "/readyz", "/v1/status"] {
        let (status, body) = get(entry.lookup, path).await.unwrap();
        assert_eq!(status.as_u16(), 200, "{path}");
        assert!(!body.is_empty(), "{path}");
    }
    let (_, text) = get(entry.lookup, "/metrics").await.unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    assert!(text.contains("laurelhill_good_total{service=\"board\"} 1"));
}

/// Promise: slots of a former holder are used as soon as their servers were found idle, and
/// not only after the service's whole deadline.
#[tokio::test(flavor = "multi_thread")]
async fn idle_servers_end_the_wait_for_a_former_holder() {
    let world = World::new(1, 3, SERVICE_TIME).await;
    world.contested.store(true, Ordering::Relaxed);
    let entry = EntryProcess::start(&world, "a", 0).await;
    let began = std::time::Instant::now();
    let mut outcome = String::new();
    while outcome != "done" && began.elapsed() < Duration::from_secs(30) {
        let answer = send(entry.relay, "/locker/x", &[(REQUEST_ID_HEADER, "r")], b"").await;
        outcome = answer.unwrap().outcome;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(
        outcome, "done",
        "the slots stayed unused for 30 s of a 60 s deadline"
    );
}

/// Promise: an entry that was frozen past its lease admits nothing on waking, though it
/// believes that it holds its seat.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_admits_nothing_when_it_wakes() {
    const LEASE_MS: u64 = 2000;
    let world = World::new(1, 3, SERVICE_TIME).await;
    world.lease_ms.store(LEASE_MS, Ordering::Relaxed);
    let entry = EntryProcess::start(&world, "a", 0).await;
    let mut sender = connect(entry.relay).await.unwrap();
    entry.freeze();
    world.lease_ms.store(0, Ordering::Relaxed);
    let request = Request::post("/board/x")
        .header("host", "test")
        .header(REQUEST_ID_HEADER, "frozen")
        .body(Full::new(Bytes::new()))
        .unwrap();
    let waiting = tokio::spawn(async move { sender.send_request(request).await.unwrap() });
    tokio::time::sleep(Duration::from_millis(LEASE_MS + 500)).await;
    entry.signal("CONT");
    let answer = bench::seen(waiting.await.unwrap()).await.unwrap();
    assert_eq!(
        (answer.outcome.as_str(), answer.kind.as_str()),
        ("not-run", "no-seat")
    );
    assert_eq!(world.runs("frozen"), 0);
}

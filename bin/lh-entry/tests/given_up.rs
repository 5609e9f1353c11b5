//! Requests that were given up don't reach their server later, when what was held back on the way
//! is delivered.

mod world;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::body::Frame;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use platform_standin::{
    FakeBackend, FakeStore, RouteFixture, desired_state, server_entry, with_body_limit,
};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use world::holding::{EndCounts, HoldingProxy};
use world::{BOARD, EntryProcess, until};

/// Time in which a server has begun what was delivered to it.
const DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Longer than a body that an entry buffers, in bytes.
const STREAMED_BYTES: usize = 3 << 20;

const SHORT: RouteFixture<'static> = RouteFixture {
    timeout: "700ms",
    ..BOARD
};
const LONG: RouteFixture<'static> = RouteFixture {
    name: "long",
    prefix: "/long/",
    ..BOARD
};
const UPLOAD: RouteFixture<'static> = RouteFixture {
    name: "upload",
    prefix: "/upload/",
    kind: "upload",
    service: BOARD.service,
    timeout: "700ms",
};

/// An entry whose only server is behind a proxy.
struct HeldWorld {
    backend: FakeBackend,
    proxy: HoldingProxy,
    entry: EntryProcess,
}

impl HeldWorld {
    async fn new() -> Self {
        let store = FakeStore::start().await;
        let desired = desired_state(5, &[SHORT, LONG, UPLOAD]);
        let desired = with_body_limit(desired, 2 * STREAMED_BYTES);
        store.put("op", "config", &desired);
        let backend = FakeBackend::start("i-0").await;
        let proxy = HoldingProxy::start(backend.address()).await;
        let row = server_entry(BOARD.service, proxy.address, "ready", 1);
        store.put("servers", backend.id(), &row);
        let entry = EntryProcess::start(store.address(), "n1", &[]);
        entry.wait_ready().await;
        Self {
            backend,
            proxy,
            entry,
        }
    }

    /// Waits until the entry has left the connection, then lets the proxy deliver what it holds.
    async fn deliver_after_end(&self) {
        until("the entry has left the connection", async || {
            self.proxy.ended() != EndCounts::default()
        })
        .await;
        self.proxy.deliver();
        tokio::time::sleep(DELIVERY_TIME).await;
    }

    /// The lines of all requests that reached the server, whole or not.
    fn arrived(&self) -> Vec<String> {
        let seen = self.backend.seen().into_iter();
        seen.map(|request| request.line).collect()
    }
}

/// Guards against requests that run after their caller got 504: the connection was closed, and the
/// bytes that the server hadn't acknowledged were delivered when a partition healed.
#[tokio::test(flavor = "multi_thread")]
async fn a_timed_out_request_is_not_delivered_later() {
    let world = HeldWorld::new().await;
    world.proxy.hold();
    let answer = world.entry.send("GET", "/board/x", "late").await;
    assert_eq!(answer.status, 504);
    world.deliver_after_end().await;
    assert_eq!(world.arrived(), [""; 0], "{:?}", world.proxy.ended());
}

/// The same for a request whose caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_a_caller_that_left_is_not_delivered_later() {
    let world = HeldWorld::new().await;
    world.proxy.hold();
    let mut caller = TcpStream::connect(world.entry.callers()).await.unwrap();
    let head = b"GET /long/x HTTP/1.1\r\nhost: board.example\r\nrequest-id: left\r\n\r\n";
    caller.write_all(head).await.unwrap();
    until("the request is on its way", async || {
        !world.entry.document("/v1/status").await["in_flight"].eq(&0)
    })
    .await;
    drop(caller);
    world.deliver_after_end().await;
    assert_eq!(world.arrived(), [""; 0], "{:?}", world.proxy.ended());
}

/// The same for an upload that is still on its way when it is given up.
#[tokio::test(flavor = "multi_thread")]
async fn a_timed_out_upload_is_not_delivered_later() {
    let world = HeldWorld::new().await;
    world.proxy.hold();
    send_upload(world.entry.callers()).await;
    world.deliver_after_end().await;
    assert_eq!(world.proxy.ended().closed, 0, "{:?}", world.proxy.ended());
    assert_eq!(world.arrived(), [""; 0]);
}

/// Connections whose requests have their answers are closed in good order.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_not_reset() {
    let world = HeldWorld::new().await;
    assert_eq!(world.entry.send("GET", "/board/x", "a").await.status, 200);
    until("the idle connection ends", async || {
        world.proxy.ended() != EndCounts::default()
    })
    .await;
    let expected = EndCounts {
        closed: 1,
        reset: 0,
    };
    assert_eq!(world.proxy.ended(), expected);
}

/// Sends the first bytes of an upload, as many as an entry doesn't buffer, and waits for the end
/// of its connection or an answer.
async fn send_upload(address: SocketAddr) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(driver);
    let chunks = (0..STREAMED_BYTES >> 16).map(|_| {
        Ok::<_, std::convert::Infallible>(Frame::data(Bytes::from_static(&[b'x'; 1 << 16])))
    });
    let unending = futures_util::stream::iter(chunks);
    let body = StreamBody::new(futures_util::StreamExt::chain(
        unending,
        futures_util::stream::pending(),
    ));
    let request = Request::post("/upload/x")
        .header("host", "board.example")
        .header("content-length", (STREAMED_BYTES * 2).to_string())
        .header("request-id", "upload")
        .body(body)
        .unwrap();
    let _ = sender.send_request(request).await;
}

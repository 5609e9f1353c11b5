//! The entry against a bare relay of the same libraries that decides nothing, in turns
//! in one run: throughput and p99 as ratios.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base::prelude::*;
use bytes::Bytes;
use conf::ConfigBundle;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use relay::{
    AnswerBody, ConnectionPool, GateHandle, OnceTable, RelayController, RelayMetrics, RelayParts,
    RelaySnapshot, RequestBody, ServerBounds, SnapshotCell, StampKey, serve,
};
use standin::FakePlatform;
use steer::{Plan, RegionGate, SeatGrant, ServerPlan};
use store::ClaimStore;
use tokio::net::{TcpListener, TcpStream};

const CONNECTIONS: usize = 16;
const TURN: Duration = Duration::from_millis(800);
const TURNS: usize = 9;

const BOUNDS: ServerBounds = ServerBounds {
    connections: 1024,
    head: 16 << 10,
    head_time: Duration::from_secs(10),
};

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A backend server that answers 1 KiB at once.
async fn backend() -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let service = service_fn(|_: Request<Incoming>| async {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(&[b'x'; 1024]))))
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// The bare relay: same server, same connections, no decision.
async fn bare(backend: SocketAddr) -> SocketAddr {
    let (listener, address) = listener().await;
    let pool = Arc::new(ConnectionPool::new());
    let (trigger, signal) = kernel::stop_channel();
    std::mem::forget(trigger);
    tokio::spawn(serve(listener, BOUNDS, signal, move |request, _| {
        let pool = Arc::clone(&pool);
        async move {
            let (parts, body) = request.into_parts();
            let outgoing = Request::from_parts(parts, RequestBody::stream(body, u64::MAX));
            let mut connection = pool.checkout(backend, false).await.unwrap();
            let (parts, body) = connection.send(outgoing).await.unwrap().into_parts();
            let bytes = body.collect().await.unwrap().to_bytes();
            pool.keep(connection);
            Response::from_parts(parts, AnswerBody::full(bytes))
        }
    }));
    address
}

/// The entry's request path with a gate that has room.
async fn entry(backend: SocketAddr) -> SocketAddr {
    let (listener, address) = listener().await;
    let base = format!(
        "[deployment]\nname = bench\n[region north]\ndomains = n1\nseats = 1\n\
         [service board]\nrepeat = idempotent\n[pool board n1]\nservers = {backend}\nslots = 1000\nwarm_up = 0s\n"
    );
    let deployment = ConfigBundle::new()
        .with_file("base.ini", &base)
        .deployment()
        .unwrap();
    let plan = Plan {
        version: 1,
        hash: String::new(),
        servers: vec![ServerPlan {
            id: BackendServerId::new(backend.to_string()),
            open: true,
            active_slots: 1000,
        }],
        deployment: Arc::new(deployment),
        members: Vec::new(),
    };
    let node = NodeId::new(&InstanceId::new("a"), Incarnation(1));
    let region = RegionId::new("north");
    let (sink, messages) = tokio::sync::mpsc::unbounded_channel();
    std::mem::forget(messages);
    let now = Instant::now();
    let mut gate = RegionGate::new(&node, &region, 1);
    gate.apply_plan(now, &plan);
    let seat = SeatGrant {
        index: 0,
        epoch: 1,
        remaining: Duration::from_secs(3600),
        contested: false,
        vacate: false,
    };
    gate.apply_seats(now, now, &[seat]);
    let snapshots = Arc::new(SnapshotCell::new());
    snapshots.set(RelaySnapshot::new(plan));
    let controller = RelayController::new(RelayParts {
        gate: GateHandle::new(gate, sink),
        snapshots,
        once: Mutex::new(OnceTable::new(1000)),
        stamps: StampKey::new(&node, [1; 32], now),
        claims: ClaimStore::new(FakePlatform::new()),
        metrics: RelayMetrics::new().unwrap(),
        node,
        region,
    });
    let (trigger, signal) = kernel::stop_channel();
    std::mem::forget(trigger);
    tokio::spawn(serve(listener, BOUNDS, signal, move |request, peer| {
        Arc::clone(&controller).handle(request, peer)
    }));
    address
}

/// Closed load on keep-alive connections; gives requests a second and the 99th percentile.
async fn load(address: SocketAddr) -> (f64, Duration) {
    let end = Instant::now() + TURN;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        tasks.spawn(async move {
            let stream = TcpStream::connect(address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            let (mut sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
            tokio::spawn(connection);
            let mut times = Vec::new();
            while Instant::now() < end {
                let began = Instant::now();
                let request = Request::get("/board/x")
                    .header("host", "b")
                    .body(Full::<Bytes>::default());
                let response = sender.send_request(request.unwrap()).await.unwrap();
                assert_eq!(response.status().as_u16(), 200);
                response.into_body().collect().await.unwrap();
                times.push(began.elapsed());
            }
            times
        });
    }
    let mut histogram = Histogram::<u64>::new_with_max(60_000_000, 3).unwrap();
    for time in tasks.join_all().await.into_iter().flatten() {
        histogram.record(time.as_micros() as u64).unwrap();
    }
    let rate = histogram.len() as f64 / TURN.as_secs_f64();
    (
        rate,
        Duration::from_micros(histogram.value_at_quantile(0.99)),
    )
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

#[tokio::main]
async fn main() {
    if cfg!(debug_assertions) {
        return;
    }
    let backend = backend().await;
    let (bare, entry) = (bare(backend).await, entry(backend).await);
    let (mut rates, mut tails) = (Vec::new(), Vec::new());
    for turn in 0..TURNS {
        let (bare_rate, bare_tail) = load(bare).await;
        let (rate, tail) = load(entry).await;
        if turn == 0 {
            continue;
        }
        println!(
            "bare {bare_rate:>8.0}/s p99 {bare_tail:>8.2?}   entry {rate:>8.0}/s p99 {tail:>8.2?}"
        );
        rates.push(rate / bare_rate);
        tails.push(tail.as_secs_f64() / bare_tail.as_secs_f64());
    }
    println!(
        "throughput ratio {:.3} (goal 0.9), p99 ratio {:.3} (goal 1.2)",
        median(rates),
        median(tails)
    );
}

//! Requests whose server starts to drain or is deleted while they are being forwarded.

mod world;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_standin::{FakeBackend, server_entry};
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use world::{EntryProcess, World, exchange, request, until};

/// A server with a full accept backlog: it accepts no connection until it is told to.
struct FullBacklogServer {
    listener: TcpListener,
    _backlog_filler: TcpStream,
}

impl FullBacklogServer {
    async fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&address.into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let address = listener.local_addr().unwrap();
        let waiting = TcpStream::connect(address).await.unwrap();
        Self {
            listener,
            _backlog_filler: waiting,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the connection that fills the backlog, then the next one. Returns the number of
    /// bytes that arrive first on that one; 0 if it is closed.
    async fn accept_next(self) -> usize {
        drop(self.listener.accept().await.unwrap());
        let (mut stream, _) = self.listener.accept().await.unwrap();
        let mut bytes = [0; 64];
        stream.read(&mut bytes).await.unwrap_or(0)
    }
}

/// A request whose server starts to drain while the entry connects to it goes to another server.
#[tokio::test]
async fn a_server_that_drains_during_connect_gets_no_request() {
    let world = World::new(0).await;
    let busy = FullBacklogServer::start().await;
    let entry = |state| server_entry("board", busy.address(), state, 1);
    world.store.put("servers", "i-busy", &entry("ready"));
    let process = EntryProcess::start_with_bounds(world.store.address(), "n1", "connect = 30s\n");
    process.wait_ready().await;
    let mut sender = process.connect().await;
    let sent = tokio::spawn(async move {
        let request = request("POST", "/desk/x", "held-up");
        exchange(&mut sender, request).await
    });
    until("the request waits for a connection", async || {
        let status = process.document("/v1/status?service=board").await;
        status["servers"][0]["in_flight"] == 1
    })
    .await;
    let backend = FakeBackend::start("i-other").await;
    let other = server_entry("board", backend.address(), "ready", 1);
    world.store.put("servers", "i-other", &other);
    world.store.put("servers", "i-busy", &entry("draining"));
    until("the entry knows both", async || {
        let leaving = process.logged("server is leaving");
        let joined = process.logged("server joined");
        leaving.len() == 1 && joined.len() == 2
    })
    .await;
    assert_eq!(
        busy.accept_next().await,
        0,
        "the draining server must receive nothing"
    );
    let answer = sent.await.unwrap().expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(backend.runs("held-up"), 1);
}

/// A server whose row was deleted stays gone, even if the store applies an older heartbeat of it
/// before the entry reads the registry again.
#[tokio::test]
async fn an_older_heartbeat_after_deletion_does_not_restore_a_server() {
    let world = World::new(1).await;
    let address = "127.0.0.1:9".parse().unwrap();
    let word = server_entry("board", address, "ready", 3);
    world.store.put("servers", "i-left", &word);
    let process = EntryProcess::ready(&world, "n1").await;
    until("the server is known", async || {
        process.logged("server joined").len() == 2
    })
    .await;
    world.store.delete_row("servers", "i-left");
    world.store.put("servers", "i-left", &word);
    until("the server is gone", async || {
        process.logged("\"event\":\"server is gone\"").len() == 1
    })
    .await;
}

/// Time after the first answer of a leaving server from which on it must get no requests.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// Time for which requests are sent after that.
const COUNT_TIME: Duration = Duration::from_millis(1500);
/// Interval of the requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Requests that reached `server` later than [`DRAIN_TIME`] after the first.
fn late_requests(server: &FakeBackend) -> usize {
    let seen = server.seen();
    let Some(first) = seen.first() else {
        return 0;
    };
    let late = seen
        .iter()
        .filter(|request| request.at > first.at + DRAIN_TIME);
    late.count()
}

/// Sends requests for different objects until [`COUNT_TIME`] after `server` must get no more.
/// Returns the statuses of the last answers.
async fn send_beyond_drain(entry: &EntryProcess, server: &FakeBackend) -> Vec<u16> {
    let mut statuses = Vec::new();
    let ends = |first: Instant| first + DRAIN_TIME + COUNT_TIME;
    for index in 0.. {
        let first = server.seen().first().map(|request| request.at);
        if first.is_some_and(|first| Instant::now() >= ends(first)) {
            break;
        }
        let id = format!("d-{index}");
        let request = world::request_for(&id, "GET", "/board/x", &id, b"");
        let answer = exchange(&mut entry.connect().await, request).await;
        statuses.push(answer.expect("an answer").status);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    statuses.split_off(statuses.len().saturating_sub(10))
}

/// A server that says in its answers that it leaves gets no more requests, although its row says
/// that it is ready, and is written again.
#[tokio::test]
async fn server_that_leaves_by_its_answers_gets_requests() {
    let world = World::new(2).await;
    let (leaving, other) = (&world.backends[0], &world.backends[1]);
    leaving.set_extra_headers(&[("Server-Leaving", "1")]);
    let entry = EntryProcess::ready(&world, "n1").await;
    let sending = send_beyond_drain(&entry, leaving);
    let heartbeats = async {
        for seq in 2..5 {
            tokio::time::sleep(DRAIN_TIME / 4).await;
            let row = server_entry("board", leaving.address(), "ready", seq);
            world.store.put("servers", leaving.id(), &row);
        }
    };
    let (statuses, ()) = tokio::join!(sending, heartbeats);
    assert_eq!(late_requests(leaving), 0);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(!other.seen().is_empty());
}

/// Where all servers leave, callers are refused at once until another server is listed.
#[tokio::test]
async fn the_only_server_that_leaves_by_its_answers_gets_requests() {
    let world = World::new(1).await;
    let leaving = &world.backends[0];
    leaving.set_extra_headers(&[("Server-Leaving", "1")]);
    let entry = EntryProcess::ready(&world, "n1").await;
    let statuses = send_beyond_drain(&entry, leaving).await;
    assert_eq!(late_requests(leaving), 0);
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    let backend = FakeBackend::start("i-other").await;
    let other = server_entry("board", backend.address(), "ready", 1);
    world.store.put("servers", "i-other", &other);
    until("the new server is used", async || {
        entry.send("GET", "/board/x", "new").await.status == 200
    })
    .await;
}

//! Requests whose server starts to drain or is deleted while they are being forwarded.

mod world;

use std::net::SocketAddr;

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

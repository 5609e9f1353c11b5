//! Test fixture: real lh-entry processes with a fake platform store, fake backend servers and
//! simulated callers.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod holding;

use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use platform_standin::{
    FakeBackend, FakeStore, Partition, RouteFixture, desired_state, server_entry,
};
use tokio::net::TcpStream;

/// Timeout of all waits; generous, since these tests don't measure time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub const BOARD: RouteFixture<'static> = RouteFixture {
    name: "board",
    prefix: "/board/",
    kind: "idempotent",
    service: "board",
    timeout: "30s",
};
pub const DESK: RouteFixture<'static> = RouteFixture {
    name: "desk",
    prefix: "/desk/",
    kind: "non_idempotent",
    service: "board",
    timeout: "30s",
};

/// The fake store and backend servers.
pub struct World {
    pub store: FakeStore,
    pub backends: Vec<FakeBackend>,
    /// Separates entries from the servers.
    pub partition: Partition,
}

impl World {
    /// Creates a store with two routes to `count` servers.
    pub async fn new(count: usize) -> Self {
        let store = FakeStore::start().await;
        store.put("op", "config", &desired_state(5, &[BOARD, DESK]));
        let partition = Partition::default();
        let mut backends = Vec::new();
        for index in 0..count {
            let backend = FakeBackend::start_behind(&format!("i-{index}"), &partition).await;
            let entry = server_entry("board", backend.address(), "ready", 1);
            store.put("servers", backend.id(), &entry);
            backends.push(backend);
        }
        Self {
            store,
            backends,
            partition,
        }
    }

    /// Returns how often the request `id` ran, over all servers.
    pub fn runs(&self, id: &str) -> usize {
        self.backends.iter().map(|backend| backend.runs(id)).sum()
    }
}

/// An lh-entry process.
pub struct EntryProcess {
    pub child: Child,
    pub ip: IpAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
    _folder: tempfile::TempDir,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const CALLER_PORT: u16 = 20_001;
const READY_PORT: u16 = 20_002;
const LOOKUP_PORT: u16 = 20_003;
const METRICS_PORT: u16 = 20_004;
const PEER_PORT: u16 = 20_005;

impl EntryProcess {
    /// Starts an entry in the region north that uses `store` and has the given seeds.
    pub fn start(store: SocketAddr, name: &str, seeds: &[IpAddr]) -> Self {
        Self::start_in_domain("zone-a", "north", store, name, seeds)
    }

    /// Starts an entry in the region north with additional settings in `[bounds]`.
    pub fn start_with_bounds(store: SocketAddr, name: &str, bounds: &str) -> Self {
        Self::start_at(("zone-a", "north"), store, name, &[], bounds)
    }

    /// Starts an entry in the region north that has `other` as its seed, with additional
    /// settings in `[bounds]`.
    pub fn start_with_peer(other: &Self, store: SocketAddr, name: &str, bounds: &str) -> Self {
        Self::start_at(("zone-a", "north"), store, name, &[other.ip], bounds)
    }

    /// Starts an entry in the failure domain `zone` of `region`.
    pub fn start_in_domain(
        zone: &str,
        region: &str,
        store: SocketAddr,
        name: &str,
        seeds: &[IpAddr],
    ) -> Self {
        Self::start_at((zone, region), store, name, seeds, "")
    }

    /// Starts an entry in the region south with additional settings in `[entry]`.
    pub fn start_with_settings(store: SocketAddr, name: &str, settings: &str) -> Self {
        Self::start_with(("zone-b", "south"), store, name, &[], (settings, ""))
    }

    fn start_at(
        location: (&str, &str),
        store: SocketAddr,
        name: &str,
        seeds: &[IpAddr],
        bounds: &str,
    ) -> Self {
        Self::start_with(location, store, name, seeds, ("", bounds))
    }

    fn start_with(
        (zone, region): (&str, &str),
        store: SocketAddr,
        name: &str,
        seeds: &[IpAddr],
        (settings, bounds): (&str, &str),
    ) -> Self {
        let ip = standin::free_address().ip();
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("entry.ini");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:1")).collect();
        let limits = if bounds.contains("memory_mb") {
            ""
        } else {
            "memory_mb = 260\ndescriptors = 4100\n"
        };
        let grace = if bounds.contains("grace") {
            ""
        } else {
            "grace = 60s\n"
        };
        let settings = format!(
            "[instance]\nname = {name}\nregion = {region}\ndomain = {zone}\naddress = {ip}\n\
             [entry]\ncallers = {ip}:{CALLER_PORT}\nready = {ip}:{READY_PORT}\n\
             lookup = {ip}:{LOOKUP_PORT}\nmetrics_port = {METRICS_PORT}\n\
             peer_ports = {PEER_PORT}-{}\npeer_seeds = {}\npipelined_requests = 4\n\
             connect_from_address = yes\n\
             {settings}[store]\naddress = {store}\n\
             [bounds]\n{grace}retry_ratio = 0.2\nretry_slack = 56\n\
             retry_window = 10s\nshift_cap = 0.15\nlookup_ttl_most = 5s\n\
             {limits}{bounds}\
             [place zone-a]\nregion = north\n[place zone-b]\nregion = south\n",
            PEER_PORT + 1,
            seeds.join(",")
        );
        std::fs::write(&path, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lh-entry"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let sink = Arc::clone(&lines);
        let output = child.stdout.take().unwrap();
        std::thread::spawn(move || {
            use std::io::BufRead as _;
            for line in std::io::BufReader::new(output)
                .lines()
                .map_while(Result::ok)
            {
                sink.lock().unwrap().push(line);
            }
        });
        Self {
            child,
            ip,
            lines,
            _folder: folder,
        }
    }

    /// Starts an entry and waits until it is ready.
    pub async fn ready(world: &World, name: &str) -> Self {
        let entry = Self::start(world.store.address(), name, &[]);
        entry.wait_ready().await;
        entry
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub async fn wait_ready(&self) {
        until("the entry is ready", async || {
            self.status("/ready").await == Some(200)
        })
        .await;
    }

    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn callers(&self) -> SocketAddr {
        self.at(CALLER_PORT)
    }

    /// The addresses for readiness checks, look-ups, metrics and other entries.
    pub fn internal_addresses(&self) -> [SocketAddr; 4] {
        let ports = [READY_PORT, LOOKUP_PORT, METRICS_PORT, PEER_PORT + 1];
        ports.map(|port| self.at(port))
    }

    pub async fn status(&self, path: &str) -> Option<u16> {
        let answer = get(self.at(READY_PORT), path).await?;
        Some(answer.status)
    }

    pub async fn lookup(&self) -> String {
        let path = "/resolve?name=x&region=north&zone=zone-a";
        let answer = get(self.at(LOOKUP_PORT), path).await;
        answer.map_or(String::new(), |answer| answer.body)
    }

    /// Fetches a JSON document from the look-up address.
    pub async fn document(&self, path: &str) -> serde_json::Value {
        let answer = get(self.at(LOOKUP_PORT), path).await.unwrap();
        serde_json::from_str(&answer.body).unwrap_or_default()
    }

    /// Returns the peak memory of the process, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM"));
        let number = line.unwrap().split_whitespace().nth(1).unwrap();
        number.parse().unwrap()
    }

    pub async fn metrics(&self) -> String {
        let answer = get(self.at(METRICS_PORT), "/metrics").await;
        answer.map_or(String::new(), |answer| answer.body)
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), pid])
            .status();
        assert!(status.unwrap().success());
    }

    /// Returns the log lines so far that contain `text`.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    pub async fn connect(&self) -> SendRequest<Full<Bytes>> {
        connect(self.callers())
            .await
            .expect("the entry accepts callers")
    }

    /// Sends a request on a new connection.
    pub async fn send(&self, method: &str, path: &str, id: &str) -> Answer {
        let mut sender = self.connect().await;
        exchange(&mut sender, request(method, path, id))
            .await
            .expect("an answer")
    }
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    }
}

/// Waits until `condition` is true.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !condition().await {
        assert!(
            begun.elapsed() < WAIT_TIMEOUT,
            "gave up waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

pub fn request(method: &str, path: &str, id: &str) -> Request<Full<Bytes>> {
    request_with(method, path, id, b"")
}

pub fn request_with(method: &str, path: &str, id: &str, body: &[u8]) -> Request<Full<Bytes>> {
    request_for("7", method, path, id, body)
}

/// A request that concerns `object`.
pub fn request_for(
    object: &str,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "board.example")
        .header("request-id", id)
        .header("affinity-key", object)
        .header("deadline-ms", "40000")
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap()
}

/// Sends a request; `None` if the connection ended without a complete response.
pub async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<Answer> {
    let sent = tokio::time::timeout(WAIT_TIMEOUT, sender.send_request(request)).await;
    let answer = sent.expect("an answer in time").ok()?;
    let status: StatusCode = answer.status();
    let headers = answer.headers().clone();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some(Answer {
        status: status.as_u16(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

async fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    let mut sender = connect(address).await?;
    exchange(&mut sender, request("GET", path, "check")).await
}

/// Proxy in front of a store. Connections that it silences stay open and carry no more data.
pub struct SilentProxy {
    pub address: SocketAddr,
    silence: tokio::sync::watch::Sender<ProxySilence>,
}

/// Which connections of a proxy are silent.
#[derive(Clone, Copy, Default)]
struct ProxySilence {
    /// All of them, including new ones.
    all: bool,
    /// Those opened in an earlier generation than this.
    generation: usize,
}

impl ProxySilence {
    fn covers(self, generation: usize) -> bool {
        self.all || generation < self.generation
    }
}

impl SilentProxy {
    pub async fn start(target: SocketAddr) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), target).await
    }

    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (silence, listening) = tokio::sync::watch::channel(ProxySilence::default());
        tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                let Ok(outer) = TcpStream::connect(target).await else {
                    continue;
                };
                let generation = listening.borrow().generation;
                let (inner_read, inner_write) = inner.into_split();
                let (outer_read, outer_write) = outer.into_split();
                for (from, to) in [(inner_read, outer_write), (outer_read, inner_write)] {
                    tokio::spawn(forward(from, to, generation, listening.clone()));
                }
            }
        });
        Self { address, silence }
    }

    /// Silences all connections, including new ones.
    pub fn silence(&self) {
        self.silence.send_modify(|silence| silence.all = true);
    }

    /// Silences the open connections for good; new ones work.
    pub fn silence_open(&self) {
        self.silence.send_modify(|silence| silence.generation += 1);
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    generation: usize,
    silence: tokio::sync::watch::Receiver<ProxySilence>,
) {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut chunk = vec![0; 16 << 10];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        if silence.borrow().covers(generation) {
            std::future::pending::<()>().await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

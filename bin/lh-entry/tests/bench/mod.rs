//! A real lh-entry with everything around it played by the test: lh-steer, the
//! platform and the backend servers.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base::prelude::*;
use bytes::Bytes;
use conf::{ConfigBundle, Deployment};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mesh::AskServer;
use standin::{
    BackendSim, BackendSpec, FakePlatform, REQUEST_ID_HEADER, free_address, serve_backend,
    spawn_platform,
};
use steer::{MemberPlan, Plan, PollAnswer, PollAsk, SeatGrant, ServerPlan};
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for anything; generous, since nothing here measures time.
const PATIENCE: Duration = Duration::from_secs(60);

/// What the test sets up.
pub struct World {
    pub platform: FakePlatform,
    pub platform_address: SocketAddr,
    pub backends: Vec<BackendSim>,
    pub deployment: Arc<Deployment>,
    pub members: Arc<Mutex<Vec<MemberPlan>>>,
    /// Whether seats are granted as contested, with every server found idle just now.
    pub contested: Arc<AtomicBool>,
    /// What is left of every lease when it is asked for, in milliseconds; 0 takes the seats away.
    pub lease_ms: Arc<AtomicU64>,
}

pub const SERVICE_TIME: Duration = Duration::from_millis(20);

impl World {
    /// `count` servers for the services `board` (idempotent), `desk` (at most once) and
    /// `locker` (large bodies), each with `slots` slots and the given mean time.
    pub async fn new(count: usize, slots: u16, service_time: Duration) -> Self {
        let (platform, platform_address) = spawn_platform().await.unwrap();
        let mut text = "[deployment]\nname = test\nlookup_ttl = 500ms\n[region north]\ndomains = n1\nseats = 2\n\
             [service board]\nrepeat = idempotent\ndeadline = 5s\nmax_body = 100KB\n\
             [service desk]\nrepeat = at-most-once\ndeadline = 5s\nmax_body = 100KB\n\
             [service locker]\nrepeat = idempotent\ndeadline = 60s\nmax_body = 2GB\n"
            .to_owned();
        let mut backends = Vec::new();
        for service in ["board", "desk", "locker"] {
            let mut addresses = Vec::new();
            for _ in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = listener.local_addr().unwrap().to_string();
                let backend = BackendSim::new(BackendSpec {
                    address: address.clone(),
                    slots,
                    service_time,
                    cold_time: Duration::ZERO,
                    seed: backends.len() as u64,
                });
                tokio::spawn(serve_backend(listener, backend.clone()));
                backends.push(backend);
                addresses.push(address);
            }
            text.push_str(&format!(
                "[pool {service} n1]\nservers = {}\nslots = {slots}\nwarm_up = 0s\n",
                addresses.join(", ")
            ));
        }
        let bundle = ConfigBundle::new().with_file("base.ini", &text);
        Self {
            platform,
            platform_address,
            backends,
            deployment: Arc::new(bundle.deployment().unwrap()),
            members: Arc::new(Mutex::new(Vec::new())),
            contested: Arc::new(AtomicBool::new(false)),
            lease_ms: Arc::new(AtomicU64::new(10_000)),
        }
    }

    pub fn runs(&self, id: &str) -> u32 {
        let runs = self
            .backends
            .iter()
            .map(|b| b.runs().get(id).copied().unwrap_or(0));
        runs.sum()
    }

    pub fn set_mode(&self, mode: standin::ServerMode) {
        for backend in &self.backends {
            backend.set_mode(mode);
        }
    }
}

/// One lh-entry process with its lh-steer played by the test.
pub struct EntryProcess {
    pub child: Child,
    pub lookup: SocketAddr,
    pub relay: SocketAddr,
    _steer: AskServer,
    _folder: tempfile::TempDir,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryProcess {
    /// Starts the entry of instance `name`, which holds `seat`, and waits until it is ready.
    pub async fn start(world: &World, name: &str, seat: u16) -> Self {
        let [lookup, relay, mesh, steer] = std::array::from_fn(|_| free_address());
        let members = Arc::clone(&world.members);
        let deployment = Arc::clone(&world.deployment);
        let contested = Arc::clone(&world.contested);
        let lease_ms = Arc::clone(&world.lease_ms);
        let serial = Arc::new(Mutex::new((1_u64, Vec::new())));
        let server = AskServer::listen(steer, move |ask: PollAsk| {
            let lease = Duration::from_millis(lease_ms.load(Ordering::Relaxed));
            let contested = contested.load(Ordering::Relaxed);
            answer(
                &ask,
                &deployment,
                &members,
                &serial,
                grant(seat, lease, contested),
            )
        })
        .unwrap();
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("entry.ini");
        let settings = format!(
            "[instance]\nname = {name}\nregion = north\ndomain = n1\n[entry]\nlookup = {lookup}\n\
             relay = {relay}\nmesh = {mesh}\nsteer = {steer}\nplatform = {}\n[log]\nlevel = error\n",
            world.platform_address
        );
        std::fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lh-entry"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let entry = Self {
            child,
            lookup,
            relay,
            _steer: server,
            _folder: folder,
        };
        let until = Instant::now() + PATIENCE;
        while get(lookup, "/readyz").await.map(|(status, _)| status) != Some(StatusCode::OK) {
            assert!(Instant::now() < until, "the entry did not get ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        entry
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(status.unwrap().success());
    }

    /// Sends SIGSTOP and waits until every thread has stopped: the signal returns
    /// before, and what is sent in between would be served as usual.
    pub fn freeze(&self) {
        self.signal("STOP");
        let begun = Instant::now();
        while !self.threads_stopped() {
            assert!(begun.elapsed() < PATIENCE, "the process did not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn threads_stopped(&self) -> bool {
        let folder = format!("/proc/{}/task", self.child.id());
        std::fs::read_dir(folder).unwrap().all(|task| {
            let stat = std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap();
            let (_, fields) = stat.rsplit_once(") ").unwrap();
            fields.starts_with('T')
        })
    }

    /// The ticket for this entry from a look-up at it.
    pub async fn ticket(&self, service: &str) -> String {
        let (_, body) = get(self.lookup, &format!("/v1/entries?service={service}"))
            .await
            .unwrap();
        let found: serde_json::Value = serde_json::from_slice(&body).unwrap();
        let entries = found["entries"].as_array().unwrap();
        let own = entries
            .iter()
            .find(|entry| entry["address"] == self.relay.to_string());
        own.unwrap()["ticket"].as_str().unwrap().to_owned()
    }

    /// Waits until the look-ups here name `count` instances.
    pub async fn knows(&self, count: usize) {
        let until = Instant::now() + PATIENCE;
        loop {
            let (_, body) = get(self.lookup, "/v1/entries?service=board").await.unwrap();
            let found: serde_json::Value = serde_json::from_slice(&body).unwrap();
            if found["entries"]
                .as_array()
                .is_some_and(|entries| entries.len() == count)
            {
                return;
            }
            assert!(
                Instant::now() < until,
                "the look-up never named {count} instances"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Largest memory that the process ever had, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmHWM"))
            .unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

fn grant(index: u16, remaining: Duration, contested: bool) -> SeatGrant {
    SeatGrant {
        index,
        epoch: 1,
        remaining,
        contested,
        vacate: false,
    }
}

fn answer(
    ask: &PollAsk,
    deployment: &Arc<Deployment>,
    members: &Mutex<Vec<MemberPlan>>,
    serial: &Mutex<(u64, Vec<MemberPlan>)>,
    grant: SeatGrant,
) -> PollAnswer {
    let mut members = members.lock().unwrap();
    members.retain(|member| member.node.instance != ask.node.instance);
    members.push(MemberPlan {
        node: ask.node.clone(),
        region: RegionId::new("north"),
        domain: FailureDomainId::new("n1"),
        relay: ask.relay,
        lookup: ask.lookup,
        mesh: ask.mesh,
        stamp: ask.stamp.clone(),
        open: !ask.leaving,
    });
    members.sort_by(|a, b| a.node.cmp(&b.node));
    let mut serial = serial.lock().unwrap();
    if serial.1 != *members {
        *serial = (serial.0 + 1, members.clone());
    }
    let servers = deployment.pools.iter().flat_map(|pool| {
        pool.servers.iter().map(|id| ServerPlan {
            id: id.clone(),
            open: true,
            active_slots: pool.slots,
        })
    });
    let plan = Plan {
        version: 1,
        hash: String::new(),
        deployment: Arc::clone(deployment),
        servers: servers.collect(),
        members: members.clone(),
    };
    let contested = grant.contested;
    let lost = ask.releasing || grant.remaining.is_zero();
    let found = deployment.pools.iter().flat_map(|pool| &pool.servers);
    let idle = found.map(|id| (id.clone(), Duration::ZERO));
    PollAnswer {
        serial: serial.0,
        plan: (ask.serial != serial.0).then_some(plan),
        seats: Some(if lost { Vec::new() } else { vec![grant] }),
        idle: if contested {
            idle.collect()
        } else {
            Vec::new()
        },
    }
}

pub async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

pub async fn get(address: SocketAddr, path: &str) -> Option<(StatusCode, Bytes)> {
    let request = Request::get(path)
        .header("host", "test")
        .body(Full::default())
        .unwrap();
    let response = connect(address).await?.send_request(request).await.ok()?;
    let status = response.status();
    Some((
        status,
        response.into_body().collect().await.ok()?.to_bytes(),
    ))
}

/// An answer as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    pub status: u16,
    pub outcome: String,
    pub kind: String,
    pub retry_after: Option<String>,
    pub body: Bytes,
}

/// Sends a request with the given headers; `None` where the connection broke.
pub async fn send(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Seen> {
    let mut request = Request::post(path).header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap();
    let response = connect(address).await?.send_request(request).await.ok()?;
    seen(response).await
}

pub async fn seen(response: Response<hyper::body::Incoming>) -> Option<Seen> {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (status, outcome) = (response.status().as_u16(), header("laurelhill-outcome"));
    let retry_after = header("retry-after");
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let document: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let kind = document["type"]
        .as_str()
        .unwrap_or("")
        .trim_start_matches("urn:laurelhill:");
    Some(Seen {
        status,
        outcome: outcome.unwrap_or_default(),
        kind: kind.to_owned(),
        retry_after,
        body,
    })
}

/// Sends a booking under a ticket.
pub async fn book(
    address: SocketAddr,
    id: &str,
    ticket: &str,
    number: u64,
    attempt: u32,
) -> Option<Seen> {
    let (number, attempt) = (number.to_string(), attempt.to_string());
    let headers = [
        (REQUEST_ID_HEADER, id),
        ("laurelhill-ticket", ticket),
        ("laurelhill-number", &number),
        ("laurelhill-attempt", &attempt),
    ];
    send(address, "/desk/bookings", &headers, b"one booking").await
}

/// Waits until `check` holds.
pub async fn until(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !check() {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

//! A small deployment: the store, servers that register in it, and lh-entry processes.

use std::fs;
use std::io::Write as _;
use std::net::{IpAddr, SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::http::{Head, Reader};
use crate::store::Store;

pub type Outcome<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Host of all routes.
pub const HOST: &str = "case.example";
/// Interval at which a server writes its row.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Longest time until the entries are ready.
const READY_TIME: Duration = Duration::from_secs(30);

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &PathBuf) -> Outcome<Self> {
        Ok(Self {
            began: Instant::now(),
            lines: Arc::new(Mutex::new(fs::File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        if let Ok(mut lines) = self.lines.lock() {
            let _ = writeln!(lines, "{at:8.3} s  {text}");
        }
    }
}

/// The registration of a server.
pub struct Registration {
    row: Value,
    seq: Arc<AtomicU64>,
    beats: AbortHandle,
}

impl Registration {
    /// The row of the heartbeat that the server sends now.
    pub fn heartbeat(&self) -> Value {
        let mut row = self.row.clone();
        row["seq"] = json!(self.seq.fetch_add(1, Ordering::Relaxed) + 1);
        row
    }

    /// Ends the heartbeats.
    pub fn end(&self) {
        self.beats.abort();
    }
}

/// The bounds that a site states in the settings.
pub struct SiteBounds {
    pub grace: &'static str,
    pub drain: &'static str,
    pub retry_slack: u32,
    pub config_apply: &'static str,
}

/// An lh-entry process.
pub struct Entry {
    pub child: Child,
    pub ip: IpAddr,
    settings: PathBuf,
}

impl Entry {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8641)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8640)
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8644)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> Outcome<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), pid])
            .status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| "kill failed".into())
    }
}

impl Entry {
    /// Starts the process again after it was killed.
    pub fn restart(&mut self) -> Outcome<()> {
        self.child.wait()?;
        self.child = spawn(&self.settings)?;
        Ok(())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The deployment; its processes end with it.
pub struct Rig {
    pub store: Store,
    pub entries: Vec<Entry>,
    folder: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Rig {
    pub async fn new() -> Outcome<Self> {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            store: Store::start().await?,
            entries: Vec::new(),
            folder,
        })
    }

    /// Registers a server, and keeps its row alive.
    pub fn register(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        slots: u32,
    ) -> Registration {
        let (store, id) = (self.store.clone(), id.to_owned());
        let mut row = json!({
            "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
            "slots": slots, "state": "ready", "coldRemaining": "0ms", "seq": 1,
        });
        store.put("servers", &id, &row);
        let (first, seq) = (row.clone(), Arc::new(AtomicU64::new(1)));
        let next = Arc::clone(&seq);
        let beats = tokio::spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                row["seq"] = json!(next.fetch_add(1, Ordering::Relaxed) + 1);
                store.put("servers", &id, &row);
            }
        });
        Registration {
            row: first,
            seq,
            beats: beats.abort_handle(),
        }
    }

    /// Starts an entry with each of `places` (failure domain and region), as the deploy file does.
    pub fn start_entries(&mut self, places: &[(&str, &str)], bounds: &SiteBounds) -> Outcome<()> {
        let mut ips = Vec::new();
        while ips.len() < places.len() {
            ips.push(free_ip(ips.len())?);
        }
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:8649")).collect();
        for (number, ((zone, region), ip)) in places.iter().zip(&ips).enumerate() {
            let mut zones = String::new();
            for (zone, region) in places {
                let section = format!("[place {zone}]\nregion = {region}\n");
                if !zones.contains(&section) {
                    zones.push_str(&section);
                }
            }
            let text = format!(
                "[instance]\nname = edge-{zone}-{number}\nregion = {region}\ndomain = {zone}\n\
                 address = {ip}\n[entry]\ncallers = {ip}:8641\nready = {ip}:8640\n\
                 lookup = {ip}:8644\npeer_ports = 7620-7635\npeer_seeds = {}\n\
                 pipelined_requests = 4\nconnections_ahead = yes\nplan_returns = yes\n\
                 region_shares = yes\n[store]\naddress = {}\n[bounds]\ngrace = {}\ndrain = {}\n\
                 retry_ratio = 0.2\nretry_slack = {}\nretry_window = 10s\nshift_cap = 0.15\n\
                 config_apply = {}\nlookup_ttl_most = 5s\nmemory_mb = 260\ndescriptors = 4100\n\
                 processor_share = 0.2\nprocessor_speed = 1\nlink_megabits = 1000.0\n{zones}",
                seeds.join(","),
                self.store.address,
                bounds.grace,
                bounds.drain,
                bounds.retry_slack,
                bounds.config_apply,
            );
            let path = self.folder.join(format!("entry{number}.ini"));
            fs::write(&path, text)?;
            let child = spawn(&path)?;
            self.entries.push(Entry {
                child,
                ip: *ip,
                settings: path,
            });
        }
        Ok(())
    }

    /// Waits until all entries are ready and the directory names all of them.
    pub async fn wait_ready(&self) -> Outcome<()> {
        let began = Instant::now();
        let addresses: Vec<SocketAddr> = self.entries.iter().map(Entry::callers).collect();
        loop {
            let mut is_ready = true;
            for entry in &self.entries {
                let answer = get(entry.ready(), "/ready").await;
                is_ready &= answer.is_ok_and(|(status, _)| status == 200);
                let named = resolve(entry.directory()).await.unwrap_or_default();
                is_ready &= addresses.iter().all(|address| named.contains(address));
            }
            if is_ready {
                return Ok(());
            }
            if began.elapsed() > READY_TIME {
                return Err("the entries didn't become ready".into());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Starts an entry as the deploy file does.
fn spawn(settings: &Path) -> Outcome<Child> {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    let child = Command::new("target/release/lh-entry")
        .env("LAURELHILL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(child)
}

/// A route of the desired state.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout: &'static str,
}

/// A desired state with these routes, with the limits of the pages' example.
pub fn desired_state(version: u64, routes: &[Route]) -> Value {
    let mut resources = Vec::new();
    for route in routes {
        resources.push(json!({
            "resourceKind": "routes", "metadata": {"name": route.name},
            "spec": {
                "host": HOST, "prefix": route.prefix, "kind": route.kind,
                "timeout": route.timeout, "targetLatency": "400ms", "priority": 1,
                "service": route.service, "maxAttempts": 2, "sticky": false,
                "allowedRegions": [],
            },
        }));
    }
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        resources.push(json!({
            "resourceKind": "services", "metadata": {"name": service},
            "spec": {
                "healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": false,
                "warmup": "3s", "coldPerS": 7.1,
            },
        }));
    }
    resources.push(json!({
        "resourceKind": "limits", "metadata": {},
        "spec": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }));
    json!({"version": version, "baseVersion": 0, "resources": resources})
}

/// Asks the directory at `address`.
pub async fn resolve(address: SocketAddr) -> Outcome<Vec<SocketAddr>> {
    let (status, body) = get(
        address,
        "/resolve?name=case.example&region=tbilisi&zone=tbilisi-a",
    )
    .await?;
    let body: Value = serde_json::from_slice(&body)?;
    if status != 200 {
        return Err("no directory answer".into());
    }
    let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
    Ok(addresses
        .iter()
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect())
}

/// Sends a GET request on a new connection, and returns the status and the body.
pub async fn get(address: SocketAddr, target: &str) -> Outcome<(u16, Vec<u8>)> {
    let exchange = async {
        let mut reader = Reader::new(TcpStream::connect(address).await?);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
        reader.stream.write_all(request.as_bytes()).await?;
        let head: Head = reader.head().await?.ok_or("no answer")?;
        let body = reader.body(&head).await?.ok_or("no whole answer")?;
        Ok((head.status(), body))
    };
    tokio::time::timeout(Duration::from_secs(1), exchange).await?
}

fn free_ip(number: usize) -> Outcome<IpAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    for attempt in 0..100_u8 {
        let second = 64 + (high.wrapping_add(attempt)) % 60;
        let ip = IpAddr::from([127, second, low, number as u8 + 1]);
        let ports = [8640, 8641, 8644, 7620, 7621, 9464];
        if ports
            .iter()
            .all(|port| StdListener::bind((ip, *port)).is_ok())
        {
            return Ok(ip);
        }
    }
    Err("no free loopback address".into())
}

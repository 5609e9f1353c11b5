//! Runs an entry as a separate process, with the command of the deploy file and settings like
//! those of a small deployment.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::message::{MessageReader, ReadPace};

pub struct Entry {
    child: Child,
    pub ip: String,
    ports: [u16; 6],
    folder: PathBuf,
}

impl Entry {
    /// Starts an entry at `ip` with `seeds`, the addresses of other entries.
    pub fn start(name: &str, ip: &str, store: SocketAddr, seeds: &[String]) -> Result<Self, String> {
        let ports = free_ports(ip)?;
        let [callers, ready, lookup, metrics, peer, view] = ports;
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let path = folder.join("entry.ini");
        let (low, high) = (peer.min(view), peer.max(view));
        let settings = format!(
            "[instance]\nname = {name}\nregion = lahore\ndomain = lhr-a\naddress = {ip}\n\n\
             [entry]\ncallers = {ip}:{callers}\nready = {ip}:{ready}\nlookup = {ip}:{lookup}\n\
             metrics_port = {metrics}\npeer_ports = {low}-{high}\npeer_seeds = {}\n\
             pipelined_requests = 4\nconnections_ahead = yes\nplan_returns = yes\n\
             region_shares = yes\n\n[store]\naddress = {store}\n\n\
             [bounds]\ngrace = 6s\ndrain = 2500ms\nretry_ratio = 0.2\nretry_slack = 56\n\
             retry_window = 10s\nshift_cap = 0.15\nconfig_apply = 2500ms\n\
             lookup_ttl_most = 5s\nmemory_mb = 260\ndescriptors = 4100\nprocessor_share = 0.2\n\
             processor_speed = 1\nlink_megabits = 1000.0\n\n[place lhr-a]\nregion = lahore\n",
            seeds.join(", "),
        );
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(folder.join("log")).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("target/release/lh-entry")
            .env("LAURELHILL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/lh-entry: {error}"))?;
        Ok(Self { child, ip: ip.to_owned(), ports, folder })
    }

    pub fn callers(&self) -> SocketAddr {
        self.at(0)
    }

    fn at(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[index]).parse().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        let get = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect(self.at(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n")?;
            Ok(MessageReader::new(stream, ReadPace::default()).head()?.status())
        };
        get().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > Duration::from_secs(20) {
                return Err(format!("the entry at {} is not ready", self.ip));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_ok() {
            println!("{}", self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Six free ports of `ip`; the last two follow each other.
fn free_ports(ip: &str) -> Result<[u16; 6], String> {
    let mut held = Vec::new();
    let mut bind = |port: u16| -> std::io::Result<u16> {
        let listener = std::net::TcpListener::bind(format!("{ip}:{port}"))?;
        let port = listener.local_addr()?.port();
        held.push(listener);
        Ok(port)
    };
    for _ in 0..50 {
        let mut ports = [0; 6];
        for port in &mut ports[..5] {
            *port = bind(0).map_err(|error| error.to_string())?;
        }
        if ports[4] < u16::MAX
            && let Ok(next) = bind(ports[4] + 1)
        {
            ports[5] = next;
            return Ok(ports);
        }
    }
    Err("no free ports".to_owned())
}

//! Processes of lh-entry, started as the deploy file says.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;

/// An entry of the deployment.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub lookup: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What the settings of an entry say of its machine.
pub struct Machine {
    pub zone: &'static str,
    pub region: &'static str,
    pub link_mbps: f64,
}

/// Peer ports of the entry at `ip`: the same on all machines, as the platform sets them.
const PEER_PORT: u16 = 7620;

impl Entry {
    /// Writes the settings of an entry at the loopback address `ip`.
    pub fn new(
        folder: &Path,
        program: &Path,
        (name, ip): (&str, &str),
        machine: &Machine,
        (store, seeds): (SocketAddr, &[String]),
        zones: &[(&str, &str)],
    ) -> Self {
        let at = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("an address") };
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:8649")).collect();
        let mut places = String::new();
        for (zone, region) in zones {
            places.push_str(&format!("[place {zone}]\nregion = {region}\n"));
        }
        // The lines of platform/entry.ini, with the figures of a small site.
        let text = format!(
            "[instance]\nname = {name}\nregion = {}\ndomain = {}\naddress = {ip}\n\
             [entry]\ncallers = {ip}:8641\nready = {ip}:8640\nlookup = {ip}:8644\n\
             peer_ports = {PEER_PORT}-{}\npeer_seeds = {}\npipelined_requests = 4\n\
             connections_ahead = yes\nplan_returns = yes\nregion_shares = yes\n\
             [store]\naddress = {store}\n\
             [bounds]\ngrace = 6s\ndrain = 2500ms\nretry_ratio = 0.2\nretry_slack = 58\n\
             retry_window = 10s\nshift_cap = 0.15\nconfig_apply = 2500ms\n\
             exposure_share = 0.1\nexposure_slack = 50\nlookup_ttl_most = 5s\nmemory_mb = 260\ndescriptors = 4100\n\
             processor_share = 0.2\nprocessor_speed = 1\nlink_megabits = {}\n{places}",
            machine.region,
            machine.zone,
            PEER_PORT + 15,
            seeds.join(","),
            machine.link_mbps,
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the settings can be written");
        Self {
            name: name.to_owned(),
            callers: at(8641),
            lookup: at(8644),
            ready: at(8640),
            settings,
            program: program.to_owned(),
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        let child = Command::new(&self.program)
            .env("LAURELHILL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("lh-entry starts");
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::get(
            &self.ready.to_string(),
            "/ready",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// The lines of the log that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let found = text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)));
        found.map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A network of loopback addresses on which the ports of an entry are free: `127.x.y.`.
pub fn free_network(count: u8) -> String {
    let seed = std::process::id();
    for attempt in 0..200u32 {
        let number = seed.wrapping_mul(7).wrapping_add(attempt * 131);
        let prefix = format!("127.{}.{}.", 20 + number % 200, number / 200 % 250);
        let is_free = (1..=count).all(|last| {
            let tcp = [8640, 8641, 8644, 9464, PEER_PORT, PEER_PORT + 1];
            tcp.iter()
                .all(|port| TcpListener::bind(format!("{prefix}{last}:{port}")).is_ok())
                && UdpSocket::bind(format!("{prefix}{last}:{PEER_PORT}")).is_ok()
        });
        if is_free {
            return prefix;
        }
    }
    panic!("no free loopback addresses");
}

//! Processes of the entries. Signals go to each process by its own id.

use std::fs::File;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::config::{
    CONFIG_APPLY, DRAIN_TIMEOUT, QUOTA_WINDOW, REGIONS, REVOKE, region_and_domain,
};
use crate::error::{Error, Result};
use crate::history::{RunEvent, RunRecorder, ServerChange};
use crate::proxy::StoreProxy;

const CALLER_PORT: u16 = 20_001;
const READY_PORT: u16 = 20_002;
const LOOKUP_PORT: u16 = 20_003;
const METRICS_PORT: u16 = 20_004;
const PEER_PORT: u16 = 20_005;
/// Number of entries that are configured as peer seeds.
const SEED_COUNT: usize = 3;

/// An `lh-entry` process with its proxy to the store.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    index: usize,
    program: PathBuf,
    folder: PathBuf,
    ip: IpAddr,
    proxy: StoreProxy,
    run: u32,
    child: Option<Child>,
    /// Whether the current run leads its region, according to its log.
    is_lead: Arc<AtomicBool>,
    recorder: RunRecorder,
}

impl EntryProcess {
    /// Creates entry number `index` without starting it. Its settings and log go to `folder`.
    pub(crate) fn new(
        index: usize,
        (program, folder): (&Path, &Path),
        proxy: StoreProxy,
        seed_addresses: &[IpAddr],
        recorder: RunRecorder,
    ) -> Result<Self> {
        let entry = Self {
            index,
            program: program.to_owned(),
            folder: folder.to_owned(),
            ip: loopback_ip(index),
            proxy,
            run: 0,
            child: None,
            is_lead: Arc::default(),
            recorder,
        };
        std::fs::write(entry.settings_path(), entry.settings(seed_addresses))?;
        Ok(entry)
    }

    /// Address for callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Address for look-ups.
    pub(crate) fn lookup_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, LOOKUP_PORT)
    }

    /// Address of the readiness endpoint.
    pub(crate) fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Proxy through which it reaches the store.
    pub(crate) fn proxy(&self) -> &StoreProxy {
        &self.proxy
    }

    /// Whether it leads its region.
    pub(crate) fn is_lead(&self) -> bool {
        self.is_lead.load(Ordering::Relaxed)
    }

    /// Starts the process if it is not running.
    pub(crate) fn start(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        self.run += 1;
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(self.settings_path());
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take();
        let output = output
            .ok_or_else(|| Error::Start("the output of an entry is not captured".to_owned()))?;
        let file = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("entry-{:03}.log", self.index)))?;
        self.is_lead = Arc::default();
        let reader = LogReader {
            entry: self.index,
            run: self.run,
            is_lead: Arc::clone(&self.is_lead),
            recorder: self.recorder.clone(),
        };
        std::thread::spawn(move || reader.read(BufReader::new(output), file));
        self.child = Some(child);
        let (entry, run) = (self.index, self.run);
        self.recorder.record(RunEvent::Started { entry, run });
        Ok(())
    }

    /// Address from which it connects to servers.
    pub(crate) fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&mut self, signal: Signal) -> Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        let child = self.child.as_ref();
        let raw = child.and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = raw.and_then(Pid::from_raw) {
            kill_process(pid, signal).map_err(std::io::Error::from)?;
        }
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
            let entry = self.index;
            self.recorder.record(RunEvent::Ended { entry });
        }
        Ok(())
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("entry-{:03}.ini", self.index))
    }

    fn settings(&self, seed_addresses: &[IpAddr]) -> String {
        let (ip, (region, domain)) = (self.ip, region_and_domain(self.index));
        let seed_addresses: Vec<String> = seed_addresses
            .iter()
            .map(|seed| format!("{seed}:1"))
            .collect();
        let mut text = format!(
            "[instance]\nname = entry-{:03}\nregion = {region}\ndomain = {domain}\n\
             address = {ip}\n[entry]\ncallers = {ip}:{CALLER_PORT}\nready = {ip}:{READY_PORT}\n\
             lookup = {ip}:{LOOKUP_PORT}\nmetrics_port = {METRICS_PORT}\n\
             peer_ports = {PEER_PORT}-{}\npeer_seeds = {}\n\
             pipelined_requests = 4\nconnections_ahead = yes\nplan_returns = yes\n\
             region_shares = yes\nconnect_from_address = yes\n[store]\naddress = {}\n\
             [bounds]\ngrace = 6s\ndrain = {}ms\nretry_ratio = 0.2\nretry_slack = 56\n\
             retry_window = 10s\nshift_cap = 0.15\nlookup_ttl_most = 5s\n\
             config_apply = {}ms\nrevoke = {}ms\nrevoke_cut_off = true\nquota_window = {}ms\n\
             memory_mb = 260\ndescriptors = 4100\n",
            self.index,
            PEER_PORT + 1,
            seed_addresses.join(","),
            self.proxy.address(),
            DRAIN_TIMEOUT.as_millis(),
            CONFIG_APPLY.as_millis(),
            REVOKE.as_millis(),
            QUOTA_WINDOW.as_millis(),
        );
        for region in REGIONS {
            for side in ["a", "b"] {
                text += &format!("[place {region}-{side}]\nregion = {region}\n");
            }
        }
        text
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!(
                "failed to kill entry {}, which may still be running: {error}",
                self.index
            );
        }
    }
}

/// Loopback address of an entry. It depends on the process id, so that concurrent runs don't
/// conflict.
fn loopback_ip(index: usize) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = u8::try_from(index % 250 + 1).unwrap_or(u8::MAX);
    IpAddr::from([127, 32 + high % 64, low, last])
}

/// Number of the entry whose connections come from `address`.
pub(crate) fn entry_at(address: IpAddr) -> Option<usize> {
    let IpAddr::V4(address) = address else {
        return None;
    };
    let [.., last] = address.octets();
    usize::from(last).checked_sub(1)
}

/// Addresses of the entries that are configured as peer seeds.
pub(crate) fn seed_addresses(entries: usize) -> Vec<IpAddr> {
    (0..entries.min(SEED_COUNT)).map(loopback_ip).collect()
}

/// Reads the log of one run of an entry.
struct LogReader {
    entry: usize,
    run: u32,
    is_lead: Arc<AtomicBool>,
    recorder: RunRecorder,
}

impl LogReader {
    fn read(&self, lines: BufReader<std::process::ChildStdout>, mut file: File) {
        for log_line in lines.lines().map_while(std::result::Result::ok) {
            // The log files are for debugging only; the judge does not read them.
            let _ = writeln!(file, "{log_line}");
            let Ok(log_line) = serde_json::from_str::<Value>(&log_line) else {
                continue;
            };
            match log_line["event"].as_str() {
                Some("leads its region") => self.is_lead.store(true, Ordering::Relaxed),
                Some("leads no longer") => self.is_lead.store(false, Ordering::Relaxed),
                _ => {}
            }
            let Some((server, change)) = server_change(&log_line) else {
                continue;
            };
            let line_at = log_line["time_ms"].as_u64().unwrap_or_default();
            let event = RunEvent::Line {
                entry: self.entry,
                run: self.run,
                server,
                change,
            };
            self.recorder.record_at(line_at, event);
        }
    }
}

/// Extracts a change of a server from a log line.
fn server_change(log_line: &Value) -> Option<(String, ServerChange)> {
    let change = match log_line["event"].as_str()? {
        // A server that was unknown before may be listed as draining from the start.
        "server joined" if log_line["state"] == "draining" => ServerChange::Left,
        "server joined" => ServerChange::Joined,
        "server is leaving" | "server is gone" => ServerChange::Left,
        _ => return None,
    };
    Some((log_line["server"].as_str()?.to_owned(), change))
}

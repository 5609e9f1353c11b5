//! Test fixture: many callers at once that don't complete what they send, and the memory and
//! descriptors that an entry uses meanwhile.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use platform_standin::{
    FakeBackend, RouteFixture, desired_state, with_body_limit, with_idle_timeout,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

use crate::world::{BOARD, EntryProcess, WAIT_TIMEOUT, World, connect, exchange, request_with};

/// Memory that the entry may use, in MiB.
const MEMORY_MB: u64 = 64;
/// Descriptors that the entry may use.
const DESCRIPTORS: usize = 1100;
/// Limit on request bodies, in bytes.
pub const BODY_LIMIT: usize = 4 << 20;
/// Time for which callers may stay idle: longer than an ordinary caller tries.
const IDLE_TIMEOUT: &str = "300s";
/// Interval at which memory and descriptors are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Receive buffer of callers that read nothing, in bytes.
const SMALL_WINDOW_BYTES: u32 = 4 << 10;
/// A crowd that has sent nothing for this long has sent what it can.
const QUIET_TIME: Duration = Duration::from_secs(2);

const IDEMPOTENT: RouteFixture<'static> = RouteFixture {
    timeout: "300s",
    ..BOARD
};
const UPLOAD: RouteFixture<'static> = RouteFixture {
    name: "upload",
    prefix: "/upload/",
    kind: "upload",
    ..IDEMPOTENT
};

/// Crowds of several tests at once would disturb each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// An entry with little memory before two servers, and a crowd of callers.
pub struct CrowdWorld {
    pub world: World,
    pub entry: EntryProcess,
    memory_mb: u64,
    usage: UsageMonitor,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdWorld {
    pub async fn new() -> Self {
        Self::with_memory(MEMORY_MB).await
    }

    /// Creates a world whose entry may use `memory_mb`, in MiB.
    pub async fn with_memory(memory_mb: u64) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let world = World::new(2).await;
        let state = with_body_limit(desired_state(6, &[IDEMPOTENT, UPLOAD]), BODY_LIMIT);
        let state = with_idle_timeout(state, IDLE_TIMEOUT);
        world.store.put("op", "config", &state);
        let bounds = format!("memory_mb = {memory_mb}\ndescriptors = {DESCRIPTORS}\n");
        let entry = EntryProcess::start_with_bounds(world.store.address(), "n1", &bounds);
        entry.wait_ready().await;
        let answer = send_ordinary(&entry).await;
        assert_eq!(answer, Some(200), "an ordinary request before the crowd");
        let usage = UsageMonitor::start(&entry);
        Self {
            world,
            entry,
            memory_mb,
            usage,
            _turn: turn,
        }
    }

    pub fn backends(&self) -> &[FakeBackend] {
        &self.world.backends
    }

    /// Checks that the entry lives within its limits and answers an ordinary request while
    /// `crowd` stays.
    pub async fn check(&mut self, crowd: &Crowd) {
        let mut answer = None;
        let begun = std::time::Instant::now();
        while answer != Some(200) && begun.elapsed() < WAIT_TIMEOUT {
            answer = send_ordinary(&self.entry).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let usage = self.usage.peak();
        println!("{usage:?}, the crowd was told {:?}", crowd.statuses());
        assert!(self.entry.is_running(), "the entry lives");
        let memory = usage.memory_bytes.max(self.entry.peak_memory() << 10) >> 20;
        assert!(memory <= self.memory_mb, "{memory} MB, {usage:?}");
        assert!(usage.descriptors <= DESCRIPTORS, "{usage:?}");
        assert_eq!(answer, Some(200), "an ordinary request beside the crowd");
    }
}

/// Sends a small request on a new connection; `None` if that connection ends without a response.
async fn send_ordinary(entry: &EntryProcess) -> Option<u16> {
    let mut sender = connect(entry.callers()).await?;
    let request = request_with("POST", "/board/ordinary", "ordinary", &[b'x'; 2000]);
    let answer = exchange(&mut sender, request).await?;
    Some(answer.status)
}

/// Highest use of memory and descriptors.
#[derive(Debug, Clone, Copy)]
pub struct PeakUsage {
    /// Resident memory and what waits unread in sockets, together, in bytes.
    pub memory_bytes: u64,
    /// What waited unread then, in bytes.
    pub unread_bytes: u64,
    pub descriptors: usize,
}

/// Reads the memory and descriptors of an entry until it is dropped.
struct UsageMonitor {
    peaks: Arc<(AtomicU64, AtomicU64, AtomicUsize)>,
    is_ended: Arc<AtomicBool>,
}

impl UsageMonitor {
    fn start(entry: &EntryProcess) -> Self {
        let peaks = Arc::new((AtomicU64::new(0), AtomicU64::new(0), AtomicUsize::new(0)));
        let is_ended = Arc::new(AtomicBool::new(false));
        let (shared, ended) = (Arc::clone(&peaks), Arc::clone(&is_ended));
        let (pid, address) = (entry.child.id(), entry.ip.to_string());
        std::thread::spawn(move || {
            let local = socket_prefix(&address);
            while !ended.load(Ordering::Relaxed) {
                let unread = unread_bytes(&local);
                let memory = resident_bytes(pid) + unread;
                if memory > shared.0.load(Ordering::Relaxed) {
                    shared.0.store(memory, Ordering::Relaxed);
                    shared.1.store(unread, Ordering::Relaxed);
                }
                let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"));
                let count = descriptors.map_or(0, Iterator::count);
                shared.2.fetch_max(count, Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { peaks, is_ended }
    }

    fn peak(&self) -> PeakUsage {
        PeakUsage {
            memory_bytes: self.peaks.0.load(Ordering::Relaxed),
            unread_bytes: self.peaks.1.load(Ordering::Relaxed),
            descriptors: self.peaks.2.load(Ordering::Relaxed),
        }
    }
}

impl Drop for UsageMonitor {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}

fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}

/// How `/proc/net/tcp` writes local addresses of `ip`.
fn socket_prefix(ip: &str) -> String {
    let octets: Vec<u8> = ip.split('.').map(|octet| octet.parse().unwrap()).collect();
    let digits = octets.iter().rev().map(|octet| format!("{octet:02X}"));
    digits.collect::<String>() + ":"
}

/// Bytes that wait unread in the open sockets with the local address.
fn unread_bytes(local: &str) -> u64 {
    const LISTENING: &str = "0A";
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut unread = 0;
    for line in sockets.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().take(5).collect();
        let [_, address, _, state, queues] = fields[..] else {
            continue;
        };
        if !address.starts_with(local) || state == LISTENING {
            continue;
        }
        let received = queues.split(':').nth(1);
        unread += received.map_or(0, |digits| u64::from_str_radix(digits, 16).unwrap_or(0));
    }
    unread
}

/// Callers that send their bytes, keep their connections open and read what they are told.
pub struct Crowd {
    members: JoinSet<()>,
    progress: Arc<CrowdProgress>,
}

#[derive(Default)]
struct CrowdProgress {
    sent_bytes: AtomicU64,
    connected: AtomicUsize,
    statuses: std::sync::Mutex<Vec<u16>>,
}

impl Crowd {
    /// Lets `count` callers connect to `address` and send `head` and then `piece`, `repeats`
    /// times. Returns once no caller sends anything more.
    pub async fn send(
        address: SocketAddr,
        count: usize,
        head: &str,
        (piece, repeats): (Bytes, usize),
    ) -> Self {
        let progress = Arc::new(CrowdProgress::default());
        let mut members = JoinSet::new();
        for _ in 0..count {
            let (head, piece) = (Bytes::copy_from_slice(head.as_bytes()), piece.clone());
            let member = misbehave(address, head, (piece, repeats), Arc::clone(&progress));
            members.spawn(member);
        }
        let crowd = Self { members, progress };
        crowd.wait_until_quiet().await;
        crowd
    }

    /// Lets `count` callers with small windows connect to `address`, send `requests` and read
    /// nothing.
    pub async fn ignore(address: SocketAddr, count: usize, requests: &str) -> Self {
        let progress = Arc::new(CrowdProgress::default());
        let mut members = JoinSet::new();
        for _ in 0..count {
            let (requests, progress) = (requests.to_owned(), Arc::clone(&progress));
            members.spawn(async move {
                let socket = TcpSocket::new_v4().unwrap();
                socket.set_recv_buffer_size(SMALL_WINDOW_BYTES).unwrap();
                let Ok(mut stream) = socket.connect(address).await else {
                    return;
                };
                progress.connected.fetch_add(1, Ordering::Relaxed);
                let _ = stream.write_all(requests.as_bytes()).await;
                std::future::pending::<()>().await;
            });
        }
        let crowd = Self { members, progress };
        crowd.wait_until_quiet().await;
        crowd
    }

    async fn wait_until_quiet(&self) {
        let mut last = (0, 0);
        loop {
            tokio::time::sleep(QUIET_TIME).await;
            let now = (
                self.progress.sent_bytes.load(Ordering::Relaxed),
                self.progress.connected.load(Ordering::Relaxed),
            );
            if now == last {
                return;
            }
            last = now;
        }
    }

    /// Statuses of the responses so far.
    pub fn statuses(&self) -> std::collections::BTreeMap<u16, usize> {
        let mut counts = std::collections::BTreeMap::new();
        for status in self.progress.statuses.lock().unwrap().iter() {
            *counts.entry(*status).or_default() += 1;
        }
        counts
    }

    /// Number of callers.
    pub fn len(&self) -> usize {
        self.members.len()
    }
}

/// Sends `head` and `piece`, `repeats` times, as far as the entry takes it, and reads responses
/// until the connection ends. It stays open as long as the entry keeps it.
async fn misbehave(
    address: SocketAddr,
    head: Bytes,
    (piece, repeats): (Bytes, usize),
    progress: Arc<CrowdProgress>,
) {
    let Ok(stream) = TcpStream::connect(address).await else {
        return;
    };
    progress.connected.fetch_add(1, Ordering::Relaxed);
    let (mut reading, mut writing) = stream.into_split();
    let sender = Arc::clone(&progress);
    let sending = async move {
        let pieces = std::iter::repeat_n(piece, repeats);
        for mut bytes in std::iter::once(head).chain(pieces) {
            while !bytes.is_empty() {
                let Ok(written) = writing.write(&bytes).await else {
                    return;
                };
                let _ = bytes.split_to(written);
                sender
                    .sent_bytes
                    .fetch_add(written as u64, Ordering::Relaxed);
            }
        }
        std::future::pending::<()>().await;
    };
    let receiving = async move {
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(length @ 1..) = reading.read(&mut buffer).await {
            if received.len() < 12 {
                received.extend_from_slice(&buffer[..length]);
                let status = received.get(9..12).map(String::from_utf8_lossy);
                let status = status.and_then(|digits| digits.parse::<u16>().ok());
                progress.statuses.lock().unwrap().extend(status);
            }
        }
    };
    tokio::join!(sending, receiving);
}

//! A small deployment: the store, the servers of a download service, and the entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client;
use crate::entry::{free_network, Entry, Machine};
use crate::http::{wait_until, Connection};
use crate::server::{Server, Work};
use crate::store::Store;
use crate::Setup;

pub const HOST: &str = "service.example";
pub const SERVICE: &str = "bundle-depot";
pub const ZONES: [(&str, &str); 2] = [("tbilisi-a", "tbilisi"), ("tbilisi-b", "tbilisi")];
/// Interval at which servers write their rows.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time until the entries of the deployment must be ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The processes and stand-ins of a case.
pub struct Deployment {
    pub servers: Vec<Server>,
    pub entries: Vec<Entry>,
    pub is_over: Arc<AtomicBool>,
    heartbeats: Option<JoinHandle<()>>,
}

fn config(timeout: Option<&str>) -> String {
    let timeout = timeout.map_or(String::new(), |text| format!("\"timeout\":\"{text}\","));
    format!(
        "{{\"version\":5,\"baseVersion\":0,\"resources\":[\
         {{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"r-bundles\"}},\"spec\":{{\
         \"host\":\"{HOST}\",\"prefix\":\"/bundles/\",\"kind\":\"download\",{timeout}\
         \"targetLatency\":\"400ms\",\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\
         \"sticky\":true,\"allowedRegions\":[]}}}},\
         {{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{SERVICE}\"}},\"spec\":{{\
         \"healthPath\":\"/health\",\"maxConns\":330,\"protocol\":\"h1\",\"tls\":false,\
         \"warmup\":\"3s\",\"coldPerS\":7.6}}}},\
         {{\"resourceKind\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}]}}"
    )
}

impl Deployment {
    /// Starts `count` servers and an entry in each zone, and waits until these are ready.
    pub fn start(
        setup: &Setup,
        (count, work): (usize, Work),
        timeout: Option<&str>,
    ) -> Result<Self, String> {
        let store = Store::start();
        store.put("op", "config", &config(timeout));
        let servers: Vec<Server> = (0..count)
            .map(|number| Server::start(&format!("i-{number:02}"), work, &setup.record))
            .collect();
        for (number, server) in servers.iter().enumerate() {
            store.put(
                "servers",
                &server.id,
                &server.row(SERVICE, zone_of(number), "v1", 1),
            );
        }
        let network = free_network(ZONES.len() as u8);
        let seeds: Vec<String> = (1..=ZONES.len())
            .map(|last| format!("{network}{last}"))
            .collect();
        let mut entries = Vec::new();
        for (number, (zone, region)) in ZONES.into_iter().enumerate() {
            let machine = Machine {
                zone,
                region,
                link_mbps: 1000.0,
            };
            let name = format!("edge-{zone}-1");
            let mut entry = Entry::new(
                &setup.work,
                &setup.program,
                (&name, &seeds[number]),
                &machine,
                (store.address, &seeds),
                &ZONES,
            );
            entry.start();
            entries.push(entry);
        }
        if !wait_until(START_LIMIT, || entries.iter().all(Entry::is_ready)) {
            return Err("the entries aren't ready".to_owned());
        }
        let is_over = Arc::new(AtomicBool::new(false));
        let (beating, over) = (servers.clone(), Arc::clone(&is_over));
        let heartbeats = std::thread::spawn(move || {
            let mut seq = 1;
            while !over.load(Ordering::SeqCst) {
                std::thread::sleep(HEARTBEAT);
                seq += 1;
                for (number, server) in beating.iter().enumerate() {
                    // A machine without power sends nothing.
                    if !server.is_dark() {
                        let row = server.row(SERVICE, zone_of(number), "v1", seq);
                        store.put("servers", &server.id, &row);
                    }
                }
            }
        });
        // Servers that have just started are slow for some seconds.
        std::thread::sleep(Duration::from_secs(4));
        Ok(Self {
            servers,
            entries,
            is_over,
            heartbeats: Some(heartbeats),
        })
    }

    pub fn directories(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.lookup).collect()
    }

    /// Ends the heartbeats, and the clients that look at `is_over`.
    pub fn finish(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(heartbeats) = self.heartbeats.take() {
            let _ = heartbeats.join();
        }
    }
}

fn zone_of(number: usize) -> &'static str {
    ZONES[number % ZONES.len()].0
}

/// Where a client connects, as it learnt from the directory.
pub struct Route {
    number: usize,
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    place: (&'static str, &'static str),
    resolved_at: Option<Instant>,
    connection: Option<(SocketAddr, Connection)>,
    picks: usize,
}

/// Time for which clients keep an answer of the directory; its `ttl` is as long.
const TTL: Duration = Duration::from_secs(1);

impl Route {
    pub fn new(
        number: usize,
        place: (&'static str, &'static str),
        directories: Vec<SocketAddr>,
    ) -> Self {
        Self {
            number,
            place,
            directories,
            addresses: Vec::new(),
            resolved_at: None,
            connection: None,
            picks: number,
        }
    }

    /// A kept connection or a new one, with the address of its entry.
    pub fn connect(&mut self) -> Option<(SocketAddr, Connection)> {
        if self.resolved_at.is_none_or(|at| at.elapsed() >= TTL) {
            for turn in 0..self.directories.len() {
                let index = (self.number + turn) % self.directories.len();
                let (zone, region) = self.place;
                let found = client::resolve(self.directories[index], HOST, region, zone);
                if !found.is_empty() {
                    self.addresses = found;
                    self.resolved_at = Some(Instant::now());
                    break;
                }
            }
        }
        let kept = self.connection.take();
        if let Some((address, connection)) = kept.filter(|(at, _)| self.addresses.contains(at)) {
            return Some((address, connection));
        }
        self.picks += 1;
        let address = *self
            .addresses
            .get(self.picks % self.addresses.len().max(1))?;
        Some((address, client::open(address)?))
    }

    /// Keeps a connection for the next request.
    pub fn keep(&mut self, address: SocketAddr, connection: Connection) {
        self.connection = Some((address, connection));
    }
}

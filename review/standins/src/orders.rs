//! Case: an entry's connections to the store go silent while the operator evacuates a zone.
//!
//! The rule is EVAC: no request reaches a server of the zone later than `evacuate` after the
//! evacuation was acknowledged.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::{Route, HOST};
use crate::entry::{free_network, Entry, Machine};
use crate::http::wait_until;
use crate::path::StorePath;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::{Setup, Verdict};

const SERVICE: &str = "ledger-svc";
const ZONES: [(&str, &str); 6] = [
    ("recife-a", "recife"),
    ("recife-b", "recife"),
    ("fortaleza-a", "fortaleza"),
    ("fortaleza-b", "fortaleza"),
    ("salvador-a", "salvador"),
    ("salvador-b", "salvador"),
];
/// Zones of the entries, one in each region. The first one's connections go silent.
const ENTRY_ZONES: [usize; 3] = [0, 2, 4];
/// The zone that is evacuated.
const EVACUATED: usize = 1;
/// Servers of each version in each zone.
const SERVERS_PER_ZONE: usize = 2;
const WORK: Work = Work {
    slots: 3,
    queue: 9,
    before: Duration::from_millis(60),
    body: 400,
    sending: Duration::ZERO,
};
const CLIENTS: usize = 24;
const INTERVAL: Duration = Duration::from_millis(350);
/// Objects that the requests concern.
const OBJECTS: usize = 48;
const DEADLINE: Duration = Duration::from_millis(3000);
/// Duration of the roll-out.
const ROLLOUT: Duration = Duration::from_secs(20);
/// Time before its deadline by which the connections have gone silent.
const BEFORE_DEADLINE: Duration = Duration::from_millis(1580);
/// Interval at which the store answers feeds without news, and how long an answer is fresh.
const ANSWER_INTERVAL: Duration = Duration::from_millis(2050);
const FRESH: Duration = Duration::from_millis(50);
/// Time from then until the operator evacuates the zone.
const EVACUATE_AFTER: Duration = Duration::from_millis(100);
/// The bounds `evacuate` and `outer`; the second is granted although the store is stable.
const EVACUATE: Duration = Duration::from_secs(5);
const OUTER: Duration = Duration::from_secs(6);
/// How long the zone stays evacuated.
const EVACUATED_FOR: Duration = Duration::from_secs(25);
const HEARTBEAT: Duration = Duration::from_millis(1500);

fn config() -> String {
    format!(
        "{{\"version\":5,\"baseVersion\":0,\"resources\":[\
         {{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"r-run-lookup\"}},\"spec\":{{\
         \"host\":\"{HOST}\",\"prefix\":\"/runs/\",\"kind\":\"idempotent\",\"timeout\":\"1400ms\",\
         \"targetLatency\":\"400ms\",\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\
         \"sticky\":true,\"allowedRegions\":[]}}}},\
         {{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{SERVICE}\"}},\"spec\":{{\
         \"healthPath\":\"/health\",\"maxConns\":330,\"protocol\":\"h1\",\"tls\":false,\
         \"warmup\":\"3s\",\"coldPerS\":7.6}}}},\
         {{\"resourceKind\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}]}}"
    )
}

/// A server with the index of its zone and its version.
type Placed = (Server, usize, &'static str);

fn start_servers(setup: &Setup, store: &Store, version: &'static str) -> Vec<Placed> {
    let mut servers = Vec::new();
    for (zone, (name, _)) in ZONES.iter().enumerate() {
        for number in 0..SERVERS_PER_ZONE {
            let id = format!("i-{version}-{name}-{number}");
            let server = Server::start(&id, WORK, &setup.record);
            store.put("servers", &id, &server.row(SERVICE, name, version, 1));
            servers.push((server, zone, version));
        }
    }
    servers
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start();
    store.put("op", "config", &config());
    let servers = Arc::new(Mutex::new(start_servers(setup, &store, "v1")));
    let network = free_network(3);
    let addresses: Vec<String> = (1..=3).map(|last| format!("{network}{last}")).collect();
    let path = StorePath::start(store.address);
    let mut entries = Vec::new();
    for (number, zone) in ENTRY_ZONES.into_iter().enumerate() {
        let (zone, region) = ZONES[zone];
        let machine = Machine {
            zone,
            region,
            link_mbps: 1000.0,
        };
        let name = format!("edge-{zone}-1");
        let way = if number == 0 {
            path.address
        } else {
            store.address
        };
        let mut entry = Entry::new(
            &setup.work,
            &setup.program,
            (&name, &addresses[number]),
            &machine,
            (way, &addresses),
            &ZONES,
        );
        entry.start();
        entries.push(entry);
    }
    if !wait_until(Duration::from_secs(20), || {
        entries.iter().all(Entry::is_ready)
    }) {
        return Verdict::NotRun("the entries aren't ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let (beating, over, beat_store) = (Arc::clone(&servers), Arc::clone(&is_over), store.clone());
    let heartbeats = std::thread::spawn(move || {
        let mut seq = 1;
        while !over.load(Ordering::SeqCst) {
            std::thread::sleep(HEARTBEAT);
            seq += 1;
            for (server, zone, version) in beating.lock().expect("the servers").iter() {
                if !server.is_dark() {
                    let row = server.row(SERVICE, ZONES[*zone].0, version, seq);
                    beat_store.put("servers", &server.id, &row);
                }
            }
        }
    });
    std::thread::sleep(Duration::from_secs(4));

    // Which entry each request was sent to, and when.
    let sent = Arc::new(Mutex::new(HashMap::<String, (SocketAddr, Instant)>::new()));
    let served = Arc::new(Mutex::new(0usize));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (sent, served, record) = (Arc::clone(&sent), Arc::clone(&served), record.clone());
        let directories: Vec<SocketAddr> = entries.iter().map(|entry| entry.lookup).collect();
        let is_over = Arc::clone(&is_over);
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(INTERVAL * number as u32 / CLIENTS as u32);
            let mut route = Route::new(number, ZONES[number % ZONES.len()], directories);
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                let begun = Instant::now();
                count += 1;
                let id = format!("{number:02}{count:04}");
                if let Some((address, mut connection)) = route.connect() {
                    record.note(&format!("client {number} sends {id} to {address}"));
                    let to = (address, Instant::now());
                    sent.lock().expect("the requests").insert(id.clone(), to);
                    let object = (number * 7 + count) % OBJECTS;
                    let path = format!("/runs/{object}");
                    let answer = client::ask(&mut connection, (HOST, &path, &id, object), DEADLINE);
                    record.note(&format!("client {number} gets {id}: {}", answer.describe()));
                    *served.lock().expect("the count") +=
                        usize::from(answer.is_whole && answer.status == 200);
                    if !answer.closes {
                        route.keep(address, connection);
                    }
                }
                std::thread::sleep(INTERVAL.saturating_sub(begun.elapsed()));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));

    // Planned work: a roll-out to servers that are started alongside the old ones.
    let new = start_servers(setup, &store, "v2");
    servers.lock().expect("the servers").extend(new);
    std::thread::sleep(Duration::from_secs(5));
    let order = format!("{{\"service\":\"{SERVICE}\",\"to\":\"v2\",\"duration\":\"20s\"}}");
    store.put("op", &format!("rollout/{SERVICE}"), &order);
    let ordered_at = Instant::now();
    record.say("the operator orders a roll-out to v2 within 20 s");
    let status = |store: &Store| store.value("status", &format!("rollout/{SERVICE}"));

    // The connections go silent shortly after an answer of the store. Feeds without news are
    // answered every 2 s.
    let latest = ordered_at + ROLLOUT - BEFORE_DEADLINE;
    while Instant::now() < latest {
        std::thread::sleep(Duration::from_millis(5));
        let is_near = Instant::now() + ANSWER_INTERVAL >= latest;
        let answered_at = path.answered_at();
        if is_near && answered_at.is_some_and(|at| at.elapsed() < FRESH) {
            break;
        }
    }
    if setup.has_trouble {
        path.silence();
        record.say(&format!(
            "the open connections of {} to the store go silent",
            entries[0].name
        ));
    }
    std::thread::sleep(EVACUATE_AFTER);
    let zone = ZONES[EVACUATED].0;
    store.put("op", &format!("evacuate/{zone}"), "{}");
    let evacuated_at = Instant::now();
    record.say(&format!("{zone} is evacuated: acknowledged by the store"));

    // On `completed` the old servers stop.
    let end = evacuated_at + EVACUATED_FOR;
    let mut is_finished = false;
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
        let state = status(&store).unwrap_or_default();
        let is_completed = state.contains("completed");
        if !is_finished && (is_completed || state.contains("rolled_back")) {
            is_finished = true;
            let after = ordered_at.elapsed().as_millis();
            record.say(&format!("status of the roll-out after {after} ms: {state}"));
            let ended = if is_completed { "v1" } else { "v2" };
            for (server, _, version) in servers.lock().expect("the servers").iter() {
                if *version == ended {
                    server.set_dark(true);
                    store.delete("servers", &server.id);
                }
            }
        }
    }
    store.delete("op", &format!("evacuate/{zone}"));
    record.say(&format!("the evacuation of {zone} is taken back"));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let _ = heartbeats.join();

    for entry in &entries {
        for line in entry.log_lines(&["evacuation", "dependency", "rollout"]) {
            record.note(&format!("{}: {line}", entry.name));
        }
    }
    let sent = sent.lock().expect("the requests");
    let mut late = HashMap::<SocketAddr, usize>::new();
    let (mut first, mut last) = (None, None);
    for (server, zone, _) in servers.lock().expect("the servers").iter() {
        if *zone != EVACUATED {
            continue;
        }
        for (id, at) in server.runs() {
            let after = at.saturating_duration_since(evacuated_at);
            if at < evacuated_at || after < EVACUATE + OUTER || at > end {
                continue;
            }
            if let Some((address, _)) = sent.get(&id) {
                *late.entry(*address).or_default() += 1;
                first = Some(first.map_or(after, |known: Duration| known.min(after)));
                last = Some(last.map_or(after, |known: Duration| known.max(after)));
            }
        }
    }
    let served = *served.lock().expect("the count");
    record.say(&format!(
        "{} requests sent, {served} answered with 200",
        sent.len()
    ));
    for entry in &entries {
        let count = late.get(&entry.callers).copied().unwrap_or(0);
        record.say(&format!(
            "{count} requests sent to {} reached servers of {zone} later than evacuate + outer",
            entry.name
        ));
    }
    if let (Some(first), Some(last)) = (first, last) {
        record.say(&format!(
            "the first {} ms after the evacuation, the last {} ms",
            first.as_millis(),
            last.as_millis()
        ));
    }
    if served < 500 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

//! Measures for the capacity page how the cost of each decision grows with the fleet.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use conf::ConfigBundle;
use place::blocks::BlockTableBuilder;
use place::desired::{DesiredState, RequestKind, RouteSpec, ServiceSpec, SplitPart};
use place::directory::ordered_entries;
use place::fleet::candidate::LeadCandidate;
use place::fleet::log::{ReadScope, RegistryDelta, RegistryLog};
use place::fleet::member::MemberConfig;
use place::fleet::message::{EntryHeartbeat, PeerMessage};
use place::fleet::store_progress::StoreProgress;
use place::limits::budget::BudgetBounds;
use place::placing::choice::ByteCosts;
use place::placing::load::{LoadReport, short_id};
use place::prelude::*;
use place::rank::stable_hash;
use place::request::ServerOutcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of regions at the design size.
const REGIONS: usize = 16;

/// Median time per call of `work` over `runs` measurements of `times` calls each.
fn median(runs: usize, times: u32, mut work: impl FnMut()) -> Duration {
    let mut samples: Vec<Duration> = (0..runs)
        .map(|_| {
            let began = Instant::now();
            for _ in 0..times {
                work();
            }
            began.elapsed() / times
        })
        .collect();
    samples.sort();
    samples[runs / 2]
}

/// A deployment of `sites` sites over 16 regions, each site with one pool of four servers.
fn sites(sites: usize) -> ConfigBundle {
    let mut base = "[deployment]\nname = large\n[service board]\nrepeat = idempotent\n".to_owned();
    for region in 0..REGIONS {
        let here = (0..sites).filter(|site| site % REGIONS == region);
        let mut domains: Vec<String> = here.map(|site| format!("d{site}")).collect();
        if domains.is_empty() {
            domains.push(format!("none{region}"));
        }
        let domains = domains.join(", ");
        base.push_str(&format!("[region r{region}]\ndomains = {domains}\n"));
    }
    let mut bundle = ConfigBundle::new().with_file("base.ini", &base);
    for site in 0..sites {
        let addresses = (0..4).map(|n| format!("10.{}.{}.{n}:80", site / 250, site % 250));
        let servers = addresses.collect::<Vec<_>>().join(", ");
        let text = format!("[pool board d{site}]\nservers = {servers}\nslots = 4\n");
        bundle = bundle.with_file(&format!("site{site}.ini"), &text);
    }
    bundle
}

fn config_bundles() {
    println!("sites   check bundle   desired state   bundle bytes   largest file");
    for count in [14, 140, 1400] {
        let bundle = sites(count);
        let bytes: usize = bundle.files.values().map(String::len).sum();
        let largest = bundle.files.values().map(String::len).max().unwrap_or(0);
        let deployment = bundle.deployment().unwrap();
        let check = median(5, 1, || drop(black_box(bundle.deployment())));
        let state = median(5, 1, || drop(black_box(deployment.desired_state(1))));
        println!("{count:>5} {check:>14.1?} {state:>15.1?} {bytes:>14} {largest:>14}");
    }
}

fn server(number: usize, region: usize) -> ServerEntry {
    ServerEntry {
        id: format!("i-{number:06}"),
        started: None,
        service: "board".to_owned(),
        address: SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 80)),
        domain: format!("z{region}"),
        version: "v1".to_owned(),
        slots: 4,
        state: EntryState::Ready,
        cold_remaining: Duration::ZERO,
        seq: 1,
    }
}

fn route() -> RouteSpec {
    RouteSpec {
        name: "board".to_owned(),
        host: "*".to_owned(),
        prefix: "/board/".to_owned(),
        kind: RequestKind::Idempotent,
        timeout: None,
        objective: Duration::from_millis(500),
        priority: 1,
        parts: vec![SplitPart {
            service: "board".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        sticky: true,
        home_regions: Vec::new(),
        is_public: false,
    }
}

fn placer(servers: &[ServerEntry], now: Instant) -> RequestPlacer {
    let domains: HashMap<String, String> = (0..REGIONS)
        .map(|region| (format!("z{region}"), format!("r{region}")))
        .collect();
    let mut placer = RequestPlacer::new(PlacerConfig {
        domain: "z0".to_owned(),
        region: "r0".to_owned(),
        domains,
        budget: BudgetBounds {
            ratio: 0.2,
            slack: 56.0,
            window: Duration::from_secs(10),
        },
        shift_cap: 0.15,
        costs: ByteCosts {
            domain: 3.0,
            region: 6.0,
        },
        drain: Duration::from_millis(2500),
        own: 1,
    });
    placer.set_desired(&DesiredState {
        version: 1,
        routes: vec![route()],
        services: vec![ServiceSpec {
            name: "board".to_owned(),
            health_path: String::new(),
            max_connections: 330,
            warmup: Duration::from_secs(3),
            cold_rate: 5.0,
        }],
        teams: Vec::new(),
        limits: RequestLimits::default(),
    });
    let snapshot = CatalogSnapshot {
        entries: servers.to_vec(),
        foreign: Vec::new(),
        started_at: now,
        position: StorePosition::new(0, 1),
    };
    placer.catalog.apply_snapshot(now, &snapshot);
    placer
}

fn place_requests() {
    println!("\nservers of a service   choose and send    handle the answer    apply a snapshot");
    for count in [50, 250, 1400, 5600] {
        let servers: Vec<ServerEntry> = (0..count)
            .map(|number| server(number, number % REGIONS))
            .collect();
        let mut now = Instant::now();
        let mut placer = placer(&servers, now);
        let route = route();
        let mut object = 0_u64;
        let (mut choose, mut answer) = (Vec::new(), Vec::new());
        for _ in 0..2000 {
            object = object
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            now += Duration::from_millis(5);
            let request = PlacementRequest::new(&route, 0)
                .with_object(Some(object >> 52))
                .with_remaining(Duration::from_secs(2));
            let began = Instant::now();
            placer.on_request(now, &route, request.object, Some(request.remaining));
            let placement = placer.place(now, &request).unwrap();
            choose.push(began.elapsed());
            let began = Instant::now();
            let good = ServerOutcome::Answered { good: true };
            placer.on_outcome(now, &placement, &request, good, None);
            answer.push(began.elapsed());
        }
        choose.sort();
        answer.sort();
        let read_time = median(5, 1, || {
            now += Duration::from_millis(5);
            let snapshot = CatalogSnapshot {
                entries: servers.clone(),
                foreign: Vec::new(),
                started_at: now,
                position: StorePosition::new(0, 1),
            };
            drop(black_box(placer.catalog.apply_snapshot(now, &snapshot)));
        });
        println!(
            "{count:>20} {:>17.1?} {:>20.1?} {read_time:>19.1?}",
            choose[choose.len() / 2],
            answer[answer.len() / 2]
        );
    }
}

/// What the servers of a whole fleet cost an entry: the full copy at its start, a registry
/// snapshot of a lead in which a tenth of the rows changed, a changed round-trip time, its own
/// load update, and a placement after the load update of another entry.
fn registry_costs() {
    println!(
        "\nservers    full copy    lead's snapshot   its log     follower's delta      RTT   own load   place after update"
    );
    for count in [1000, 3000, 10_000, 20_000] {
        let servers: Vec<ServerEntry> = (0..count)
            .map(|number| server(number, number % REGIONS))
            .collect();
        let now = Instant::now();
        let copy = median(3, 1, || drop(black_box(placer(&servers, now))));
        let mut placer = placer(&servers, now);
        let mut log = RegistryLog::default();
        let mut snapshot = CatalogSnapshot {
            entries: servers.clone(),
            foreign: Vec::new(),
            started_at: now,
            position: StorePosition::new(0, 1),
        };
        log.apply_snapshot(&snapshot, ReadScope::default());
        let next = |snapshot: &mut CatalogSnapshot| {
            snapshot.position = snapshot.position.next();
            snapshot.started_at += Duration::from_millis(600);
            for entry in snapshot.entries.iter_mut().step_by(10) {
                entry.seq += 1;
            }
        };
        let read_time = median(5, 1, || {
            next(&mut snapshot);
            drop(black_box(
                placer
                    .catalog
                    .apply_snapshot(snapshot.started_at, &snapshot),
            ));
        });
        let logged = median(5, 1, || {
            next(&mut snapshot);
            log.apply_snapshot(&snapshot, ReadScope::default());
        });
        let mut follower = RegistryLog::default();
        follower.apply_delta(&log.since(0));
        let mut delta = RegistryDelta {
            version: log.version(),
            ..RegistryDelta::default()
        };
        let delta_time = median(5, 10, || {
            delta.version += 1;
            delta.entries = vec![servers[3].clone()];
            follower.apply_delta(&delta);
        });
        let board = route();
        let request = PlacementRequest::new(&board, 0)
            .with_object(Some(7))
            .with_remaining(Duration::from_secs(2));
        let placement = placer.place(now, &request).unwrap();
        let mut took = 1.0;
        let rtt_time = median(5, 10, || {
            took = 3.0 - took;
            placer.catalog.on_connected(placement.handle, took);
        });
        let own = median(5, 10, || drop(black_box(placer.own_load(now))));
        let names: Vec<u32> = (0..4)
            .map(|number| short_id(stable_hash(servers[number].id.as_bytes())))
            .collect();
        let mut at = now;
        let place = median(7, 20, || {
            at += Duration::from_millis(1);
            let update = LoadReport {
                load: names.iter().map(|name| (*name, 1)).collect(),
                sent: vec![0; REGIONS],
                handled: Vec::new(),
            };
            placer.on_peer_load(at, 1, update);
            drop(black_box(placer.place(at, &request)));
        });
        println!(
            "{count:>7} {copy:>12.1?} {read_time:>18.1?} {logged:>9.1?} {delta_time:>20.1?} {rtt_time:>8.1?} {own:>10.1?} {place:>20.1?}"
        );
    }
}

/// What the load updates of `count` other entries, each with 4 servers, cost an entry.
fn load_updates() {
    println!("\nother entries      load update   place after update");
    for count in [12, 90, 5900] {
        let servers: Vec<ServerEntry> = (0..count)
            .map(|number| server(number, number % REGIONS))
            .collect();
        let now = Instant::now();
        let mut placer = placer(&servers, now);
        let names: Vec<u32> = servers
            .iter()
            .map(|server| short_id(stable_hash(server.id.as_bytes())))
            .collect();
        let load_update = |entry: usize| -> LoadReport {
            let load = (0..4).map(|turn| (names[(entry * 4 + turn) % count], 1));
            LoadReport {
                load: load.collect(),
                sent: vec![0; REGIONS],
                handled: Vec::new(),
            }
        };
        for entry in 0..count {
            placer.on_peer_load(now, entry as u64, load_update(entry));
        }
        let route = route();
        let request = PlacementRequest::new(&route, 0)
            .with_object(Some(7))
            .with_remaining(Duration::from_secs(2));
        let update = median(7, 20, || placer.on_peer_load(now, 0, load_update(0)));
        let place = median(7, 20, || {
            placer.on_peer_load(now, 0, load_update(0));
            drop(black_box(placer.place(now, &request)));
        });
        println!("{count:>13} {update:>16.1?} {place:>20.1?}");
    }
}

/// What a heartbeat and a round of digest and list cost the lead of a region with `entries`
/// entries.
fn lead_costs() {
    println!("\nentries of a region     lead's heartbeat       digest and list");
    for entries in [33, 98, 370, 1000] {
        let candidate = |number: usize| LeadCandidate {
            node: format!("edge-lhr-a-{number}"),
            domain: format!("d{}", number % 3),
            peer_address: SocketAddr::from((
                [10, 0, (number / 250) as u8, (number % 250) as u8],
                7,
            )),
            view_address: SocketAddr::from((
                [10, 0, (number / 250) as u8, (number % 250) as u8],
                8,
            )),
            capacity: if number.is_multiple_of(11) { 1000 } else { 100 },
            has_store_access: true,
            leads: false,
        };
        let heartbeat = |number: usize| {
            PeerMessage::Heartbeat(Box::new(EntryHeartbeat {
                incarnation: 1,
                candidate: candidate(number),
                region: "r0".to_owned(),
                caller_address: candidate(number).peer_address,
                rate: (number % 9) as u32,
                ready: true,
                leaving: false,
                is_searching: false,
                stamp: String::new(),
            }))
        };
        let start = Instant::now();
        let config = MemberConfig {
            incarnation: 1,
            candidate: candidate(0),
            region: "r0".to_owned(),
            caller_address: candidate(0).peer_address,
            regions: (0..REGIONS).map(|region| format!("r{region}")).collect(),
            seeds: Vec::new(),
            drain: Duration::from_millis(2500),
        };
        let mut lead = FleetMember::new(start, config);
        let mut actions = Vec::new();
        let known = StoreProgress {
            registry_at: Some(start),
            ..StoreProgress::default()
        };
        lead.on_event(start, FleetEvent::StoreProgress(known), &mut actions);
        let mut now = start + Duration::from_secs(2);
        lead.on_event(now, FleetEvent::Tick, &mut actions);
        for number in 1..entries {
            lead.on_event(now, FleetEvent::Message(heartbeat(number)), &mut actions);
        }
        let mut number = 0;
        let heartbeat_time = median(7, 200, || {
            number = number % (entries - 1) + 1;
            lead.on_event(now, FleetEvent::Message(heartbeat(number)), &mut actions);
            actions.clear();
        });
        let round_time = median(7, 20, || {
            now += Duration::from_millis(601);
            for number in 1..entries {
                lead.on_event(now, FleetEvent::Message(heartbeat(number)), &mut actions);
            }
            actions.clear();
        });
        let round_time = round_time.saturating_sub(heartbeat_time * entries as u32);
        println!("{entries:>19} {heartbeat_time:>20.1?} {round_time:>21.1?}");
    }
}

fn lookup_costs() {
    println!("\nentries known     ordered lookup      follower's update");
    for count in [12, 90, 5900] {
        let entries: Vec<(String, usize)> = (0..count)
            .map(|number| (format!("r{}", number % REGIONS), number))
            .collect();
        let mut rotation = 0;
        let answer = median(7, 200, || {
            rotation += 1;
            drop(black_box(ordered_entries(
                &entries,
                Some("r3"),
                rotation,
                |e| &e.0,
            )));
        });
        let mut log = RegistryLog::default();
        let servers: Vec<ServerEntry> = (0..count * 4).map(|number| server(number, 0)).collect();
        let snapshot = CatalogSnapshot {
            entries: servers,
            foreign: Vec::new(),
            started_at: Instant::now(),
            position: StorePosition::new(0, 1),
        };
        log.apply_snapshot(&snapshot, ReadScope::default());
        let follow = median(7, 20, || drop(black_box(log.since(1))));
        println!("{count:>13} {answer:>18.1?} {follow:>22.1?}");
    }
}

fn client_blocks() {
    println!("\nclient blocks   build table   find an address   bytes / block");
    for count in [9_500, 95_000, 950_000] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let build = |rng: &mut ChaCha8Rng| {
            let mut builder = BlockTableBuilder::new();
            for number in 0..count {
                let ip = std::net::Ipv4Addr::from(rng.random::<u32>());
                let site = (number % 1400) as u16;
                builder = builder.with_block(ip.into(), rng.random_range(16..=24), site);
            }
            builder
        };
        let builder = build(&mut rng);
        let began = Instant::now();
        let table = builder.build();
        let took = began.elapsed();
        let find = median(7, 10_000, || {
            let ip = std::net::Ipv4Addr::from(rng.random::<u32>());
            black_box(table.find(ip.into()));
        });
        let bytes = table.bytes() as f64 / f64::from(count);
        println!("{count:>13} {took:>13.1?} {find:>17.1?} {bytes:>15.1}");
    }
}

fn main() {
    config_bundles();
    place_requests();
    registry_costs();
    load_updates();
    lead_costs();
    lookup_costs();
    client_blocks();
}

//! Slopes for the capacity page: what each decision costs as the fleet grows.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::prelude::*;
use conf::{ConfigBundle, Deployment};
use fleet::{SERVICE, grant, member, node, plan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use steer::{
    Arrival, BlockTableBuilder, ConfigVersion, GateEvent, GossipDigest, LookupBook, MemberRecord,
    MemberTable, Origin, RegionGate, RequestId, RunResult,
};

const REGIONS: usize = 16;

/// Median of `runs` timings of `work`, each over `times` calls, per call.
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

/// A deployment of `sites` sites over 16 regions, each one pool of four servers.
fn sites(sites: usize) -> ConfigBundle {
    let mut base = "[deployment]\nname = large\n[service board]\nrepeat = idempotent\n".to_owned();
    for region in 0..REGIONS {
        let domains: Vec<String> = (0..sites)
            .filter(|s| s % REGIONS == region)
            .map(|s| format!("d{s}"))
            .collect();
        let domains = if domains.is_empty() {
            format!("none{region}")
        } else {
            domains.join(", ")
        };
        base.push_str(&format!(
            "[region r{region}]\ndomains = {domains}\nseats = 400\n"
        ));
    }
    let mut bundle = ConfigBundle::new().with_file("base.ini", &base);
    for site in 0..sites {
        let addresses: Vec<String> = (0..4)
            .map(|n| format!("10.{}.{}.{n}:80", site / 250, site % 250))
            .collect();
        let text = format!(
            "[pool board d{site}]\nservers = {}\nslots = 4\nwarm_up = 0s\n",
            addresses.join(", ")
        );
        bundle = bundle.with_file(&format!("site{site}.ini"), &text);
    }
    bundle
}

fn plans() {
    println!("sites   check bundle   lookup book   apply plan   bundle bytes");
    for count in [14, 140, 1400] {
        let bundle = sites(count);
        let bytes: usize = bundle.files.values().map(String::len).sum();
        let deployment: Arc<Deployment> = Arc::new(bundle.deployment().unwrap());
        let members: Vec<_> = (0..370).map(|n| member(&node(n, 1), "r0")).collect();
        let plan = plan_of(&deployment, members);
        let check = median(5, 1, || drop(black_box(bundle.deployment())));
        let book = median(5, 1, || drop(black_box(LookupBook::new(&plan))));
        let mut gate = RegionGate::new(&node(0, 1), &RegionId::new("r0"), 1);
        let now = Instant::now();
        gate.apply_seats(now, now, &[grant(0, Duration::from_secs(100))]);
        let apply = median(5, 1, || gate.apply_plan(now, &plan));
        println!("{count:>5} {check:>14.1?} {book:>13.1?} {apply:>12.1?} {bytes:>14}");
    }
}

/// The plan of region r0: its own servers only, as lh-steer sends it.
fn plan_of(deployment: &Arc<Deployment>, members: Vec<steer::MemberPlan>) -> steer::Plan {
    let mut whole = plan(deployment, members);
    let region = &deployment.regions["r0"];
    let own: Vec<&BackendServerId> = deployment
        .pools_in(region)
        .flat_map(|pool| &pool.servers)
        .collect();
    whole.servers.retain(|server| own.contains(&&server.id));
    whole
}

fn choosing() {
    println!("\nsites   servers in region   choose and admit     finish   look-up answer");
    for count in [16, 160, 1400] {
        let deployment: Arc<Deployment> = Arc::new(sites(count).deployment().unwrap());
        let members: Vec<_> = (0..370).map(|n| member(&node(n, 1), "r0")).collect();
        let plan = plan_of(&deployment, members);
        let now = Instant::now();
        let mut gate = RegionGate::new(&node(0, 1), &RegionId::new("r0"), 1);
        gate.apply_plan(now, &plan);
        let seats: Vec<_> = (0..40)
            .map(|n| grant(n, Duration::from_secs(1000)))
            .collect();
        gate.apply_seats(now, now, &seats);
        let mut request = 0;
        let mut actions = Vec::new();
        let service = ServiceId::new(SERVICE);
        let (mut choose, mut finish) = (Vec::new(), Vec::new());
        for _ in 0..20_000 {
            let mut spent = (Duration::ZERO, Duration::ZERO);
            for _ in 0..8 {
                request += 1;
                let arrival = GateEvent::Arrive(Arrival {
                    request: RequestId(request),
                    service: service.clone(),
                    deadline: now + Duration::from_secs(1),
                    origin: Origin::Caller { home: None },
                    may_spill: true,
                });
                actions.clear();
                let began = Instant::now();
                gate.on_event(now, &arrival, &mut actions);
                spent.0 += began.elapsed();
                assert!(matches!(actions[0], steer::GateAction::Dispatch { .. }));
            }
            for back in 0..8 {
                let request = RequestId(request - back);
                let finished = GateEvent::Finished {
                    request,
                    result: RunResult::Answered,
                };
                let began = Instant::now();
                gate.on_event(now, &finished, &mut actions);
                spent.1 += began.elapsed();
            }
            choose.push(spent.0 / 8);
            finish.push(spent.1 / 8);
        }
        choose.sort();
        finish.sort();
        let (choose, finish) = (choose[choose.len() / 2], finish[finish.len() / 2]);
        let book = LookupBook::new(&plan);
        let home = RegionId::new("r0");
        let mut spread = 0_u64;
        let lookup = median(9, 20_000, || {
            spread = spread.wrapping_add(0x9e37_79b9_7f4a_7c15);
            black_box(book.entries(SERVICE, Some(&home), spread));
        });
        println!(
            "{count:>5} {:>19} {choose:>18.0?} {finish:>10.0?} {lookup:>16.0?}",
            plan.servers.len()
        );
    }
}

fn blocks() {
    println!("\nblocks   build      bytes a block   look-up");
    for count in [9_500, 95_000, 950_000] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut builder = BlockTableBuilder::new();
        for _ in 0..count {
            let address = std::net::Ipv4Addr::from(rng.random::<u32>());
            builder = builder.with_block(
                address.into(),
                rng.random_range(16..=24),
                rng.random_range(0..1400),
            );
        }
        let began = Instant::now();
        let table = builder.build();
        let built = began.elapsed();
        let addresses: Vec<std::net::IpAddr> = (0..4096)
            .map(|_| std::net::Ipv4Addr::from(rng.random::<u32>()).into())
            .collect();
        let mut next = 0;
        let lookup = median(9, 100_000, || {
            next = (next + 1) % addresses.len();
            black_box(table.find(addresses[next]));
        });
        println!(
            "{count:>6} {built:>8.1?} {:>15.1} {lookup:>12.0?}",
            table.bytes() as f64 / count as f64
        );
    }
}

fn record(number: usize, region: usize, beat: u64, version: u64) -> MemberRecord {
    let mut member = member(&node(number, 1), &format!("r{region}"));
    member.stamp = "i0000~0123456789abcdef~123456789~0123456789abcdef0123456789abcdef".to_owned();
    MemberRecord {
        member,
        gossip: format!("10.{}.{}.1:7004", number / 250, number % 250)
            .parse()
            .unwrap(),
        started_ms: 1,
        beat,
        version: ConfigVersion {
            number: version,
            hash: "0".repeat(64),
        },
        heard: Vec::new(),
    }
}

/// All nodes gossip in virtual time; node 0 gets a new version, and the rounds until
/// everybody has heard of it are counted, with what a node sends and spends.
fn gossip() {
    println!(
        "\nnodes   regions   rounds until in force   sent a node and round   a node's round   members kept"
    );
    for (nodes, regions) in [(12, 3), (92, 4), (370, 1), (1480, 4), (5900, 16)] {
        let mut now = Instant::now();
        let seeds: Vec<_> = (0..nodes)
            .map(|n| record(n, n % regions, 0, 1).gossip)
            .collect();
        let index: HashMap<_, _> = seeds.iter().enumerate().map(|(n, a)| (*a, n)).collect();
        let mut tables: Vec<MemberTable> = (0..nodes)
            .map(|n| MemberTable::new(&RegionId::new(format!("r{}", n % regions)), n as u64))
            .collect();
        let mut versions = vec![1_u64; nodes];
        for table in &mut tables {
            table.set_seeds(now, seeds.iter().copied());
        }
        let warm = 12;
        let (mut rounds, mut bytes, mut messages) = (0, 0_usize, 0_usize);
        let mut spent = Duration::ZERO;
        while rounds < warm + 40 {
            rounds += 1;
            now += Duration::from_millis(300);
            if rounds == warm {
                versions[0] = 2;
            }
            for n in 0..nodes {
                tables[n].set_own(record(n, n % regions, rounds, versions[n]));
                let began = Instant::now();
                let round = tables[n].round(now);
                spent += began.elapsed();
                for (address, digest) in round {
                    if n % 50 == 0 {
                        bytes += postcard::to_stdvec(&digest).unwrap().len();
                        messages += 1;
                    }
                    let to = index[&address];
                    spent += deliver(&mut tables[to], now, &digest, &mut versions[to]);
                }
            }
            if versions.iter().all(|version| *version == 2) {
                break;
            }
        }
        let per_round = messages as f64 / (nodes.div_ceil(50) as f64 * rounds as f64);
        let sent = bytes as f64 / messages.max(1) as f64 * per_round;
        let kept: usize = tables.iter().map(MemberTable::len).sum::<usize>() / nodes;
        let cost = spent / (nodes as u32 * rounds as u32);
        println!(
            "{nodes:>5} {regions:>9} {:>23} {sent:>17.0} bytes {cost:>16.1?} {kept:>14}",
            rounds - warm
        );
    }
}

fn deliver(
    table: &mut MemberTable,
    now: Instant,
    digest: &GossipDigest,
    version: &mut u64,
) -> Duration {
    let began = Instant::now();
    let news = table.on_digest(now, digest);
    let spent = began.elapsed();
    for record in news {
        *version = (*version).max(record.version.number);
    }
    spent
}

/// `cargo bench --bench slopes -- gossip` prints one table only.
fn main() {
    if cfg!(debug_assertions) {
        return;
    }
    let tables: [(&str, fn()); 4] = [
        ("plans", plans),
        ("choosing", choosing),
        ("blocks", blocks),
        ("gossip", gossip),
    ];
    let words: Vec<String> = std::env::args().skip(1).collect();
    for (name, table) in tables {
        let named = words.iter().any(|word| word == name);
        if named
            || !tables
                .iter()
                .any(|(name, _)| words.iter().any(|word| word == name))
        {
            table();
        }
    }
}

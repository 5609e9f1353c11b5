//! A region's entries all start together and need a copy of all servers, in virtual time: links
//! carry one copy after the other.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::copies::{CopyDesk, CopySource};

/// Bytes of a server's row in a copy.
const ROW: usize = 75;
/// Servers for each entry.
const SERVERS: usize = 10;
const LEADS_PER_REGION: usize = 2;
/// Links of leads and of others, in megabits a second.
const LEAD_LINK: f64 = 1000.0;
const LINK: f64 = 20.0;
const WAY: Duration = Duration::from_millis(1);
/// An entry that was sent away, or whose question failed, asks the other lead after this.
const AGAIN: Duration = Duration::from_millis(800);
/// Longest wait for a copy; whoever gave up asks again.
const PATIENCE: Duration = Duration::from_millis(1500);
const TAKE_IN: Duration = Duration::from_millis(200);
/// The world ends here.
const LAST: Duration = Duration::from_secs(60);

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 7))
}

/// Time that one copy takes on a slow link.
fn one_copy(entries: usize) -> Duration {
    Duration::from_secs_f64((entries * SERVERS * ROW * 8) as f64 / (LINK * 1e6))
}

/// Time until the last of `entries` has its copy; `None` where it never has. Without `spreads`
/// whoever is asked serves. `lost` entries end right after they were served.
fn spread_time(entries: usize, spreads: bool, lost: usize) -> Option<Duration> {
    let start = Instant::now();
    let bytes = entries * SERVERS * ROW;
    let mut desks: Vec<CopyDesk> = (0..entries)
        .map(|entry| {
            CopyDesk::new(if entry < LEADS_PER_REGION {
                LEAD_LINK
            } else {
                LINK
            })
        })
        .collect();
    let mut free: Vec<Duration> = vec![Duration::ZERO; entries];
    let mut has: HashMap<usize, Duration> = (0..LEADS_PER_REGION)
        .map(|lead| (lead, Duration::ZERO))
        .collect();
    // Who asks whom at a time, and whether no relay will do.
    let mut asks: BTreeMap<(Duration, usize), (usize, bool)> = BTreeMap::new();
    for entry in LEADS_PER_REGION..entries {
        let at = Duration::from_millis((entry % 300) as u64);
        asks.insert((at, entry), (entry % LEADS_PER_REGION, false));
    }
    let mut last = Duration::ZERO;
    while let Some(((at, entry), (asked, insists))) = asks.pop_first() {
        if at > LAST {
            return None;
        }
        let other = LEADS_PER_REGION - 1 - asked % LEADS_PER_REGION;
        let has_copy = has.get(&asked).is_some_and(|since| at >= *since);
        let is_lost = asked >= LEADS_PER_REGION && asked < LEADS_PER_REGION + lost;
        if !has_copy || is_lost {
            asks.insert((at + WAY, entry), (other, true));
            continue;
        }
        let mut source = CopySource::Here;
        if spreads {
            source = desks[asked].on_asked(start + at, address(entry), bytes, insists);
        }
        match source {
            CopySource::Elsewhere(relay) => {
                let mut others = LEADS_PER_REGION..entries;
                let relay = others.find(|other| address(*other) == relay).unwrap();
                asks.insert((at + WAY, entry), (relay, false));
                continue;
            }
            CopySource::Later => {
                asks.insert((at + AGAIN, entry), (other, false));
                continue;
            }
            CopySource::Here => {}
        }
        let link = if asked < LEADS_PER_REGION {
            LEAD_LINK
        } else {
            LINK
        };
        let begins = free[asked].max(at);
        let carries = Duration::from_secs_f64(bytes as f64 * 8.0 / (link * 1e6));
        free[asked] = begins + carries;
        let received = (begins + carries).max(begins + one_copy(entries));
        if received > at + PATIENCE.max(one_copy(entries) * 2) {
            asks.insert((at + PATIENCE, entry), (other, false));
            continue;
        }
        has.insert(entry, received + TAKE_IN);
        last = last.max(received + TAKE_IN);
    }
    assert_eq!(has.len(), entries);
    Some(last)
}

/// Time besides that of the copies themselves: asking, waiting to ask again, taking in.
const OVERHEAD: Duration = Duration::from_millis(2500);
/// Copies one after the other that may pass until the last has one.
const COPIES_MOST: u32 = 8;

/// Promise: the time until a region's entries know all servers grows like one copy of these,
/// not with the number of entries besides; without that it ends nowhere, since copies come
/// after whoever asked has given up.
#[test]
fn copies_spread_over_those_that_have_one() {
    for entries in [100, 300, 1000, 2000] {
        let took = spread_time(entries, true, 0).expect("everybody has one");
        let most = one_copy(entries) * COPIES_MOST + OVERHEAD;
        println!(
            "{entries}: {took:?}, by the leads alone {:?}",
            spread_time(entries, false, 0)
        );
        assert!(
            took <= most,
            "{took:?} at {entries} entries, at most {most:?}"
        );
    }
    assert!(spread_time(2000, false, 0).is_none());
}

/// Promise: entries that end after they were served keep nobody from a copy.
#[test]
fn a_relay_that_ends_costs_one_more_question() {
    let took = spread_time(1000, true, 60).expect("everybody has one");
    assert!(
        took <= one_copy(1000) * COPIES_MOST + OVERHEAD * 2,
        "{took:?}"
    );
}

/// Promise: small answers are always given, and nobody is kept waiting for longer than it
/// waits.
#[test]
fn small_answers_are_given_at_once() {
    let now = Instant::now();
    let mut desk = CopyDesk::new(10.0);
    assert_eq!(
        desk.on_asked(now, address(1), 1 << 20, false),
        CopySource::Here
    );
    assert_eq!(
        desk.on_asked(now, address(2), 1 << 20, false),
        CopySource::Later
    );
    assert_eq!(
        desk.on_asked(now, address(3), 1000, false),
        CopySource::Here
    );
    let later = now + Duration::from_secs(3);
    assert_eq!(
        desk.on_asked(later, address(2), 1 << 20, false),
        CopySource::Here
    );
    let relay = desk.on_asked(later, address(3), 1 << 20, false);
    assert_eq!(relay, CopySource::Elsewhere(address(1)));
    assert_eq!(
        desk.on_asked(later, address(4), 1 << 20, false),
        CopySource::Later
    );
}

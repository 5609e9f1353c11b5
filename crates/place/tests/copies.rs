//! Simulates in virtual time that all entries of a region start together and each need a copy
//! of the registry. A link transmits one copy after the other.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::copies::{CopyScheduler, CopySource};

/// Size of a server's row in a copy, in bytes.
const ROW_BYTES: usize = 75;
/// Servers per entry.
const SERVERS_PER_ENTRY: usize = 10;
const LEADS_PER_REGION: usize = 2;
/// Bandwidth of the links of leads and of other entries, in megabits per second.
const LEAD_LINK_MEGABITS: f64 = 1000.0;
const LINK_MEGABITS: f64 = 20.0;
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Delay after which an entry that was refused or got no answer asks the other lead.
const RETRY_DELAY: Duration = Duration::from_millis(800);
/// Maximum time that an entry waits for a copy before it asks again.
const COPY_TIMEOUT: Duration = Duration::from_millis(1500);
const APPLY_TIME: Duration = Duration::from_millis(200);
/// End of the simulation.
const END_TIME: Duration = Duration::from_secs(60);

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 7))
}

/// Transmission time of a copy on a slow link.
fn one_copy(entries: usize) -> Duration {
    Duration::from_secs_f64(
        (entries * SERVERS_PER_ENTRY * ROW_BYTES * 8) as f64 / (LINK_MEGABITS * 1e6),
    )
}

/// Returns the time until the last of `entries` has a copy, or `None` if the simulation ends
/// first. Without `uses_relays` the asked entry always serves the copy itself. `lost` entries stop
/// right after they received a copy.
fn spread_time(entries: usize, uses_relays: bool, lost: usize) -> Option<Duration> {
    let start = Instant::now();
    let bytes = entries * SERVERS_PER_ENTRY * ROW_BYTES;
    let mut schedulers: Vec<CopyScheduler> = (0..entries)
        .map(|entry| {
            CopyScheduler::new(if entry < LEADS_PER_REGION {
                LEAD_LINK_MEGABITS
            } else {
                LINK_MEGABITS
            })
        })
        .collect();
    let mut free: Vec<Duration> = vec![Duration::ZERO; entries];
    let mut has: HashMap<usize, Duration> = (0..LEADS_PER_REGION)
        .map(|lead| (lead, Duration::ZERO))
        .collect();
    // Pending requests by time and requester: the entry asked, and whether a direct copy is
    // required.
    let mut asks: BTreeMap<(Duration, usize), (usize, bool)> = BTreeMap::new();
    for entry in LEADS_PER_REGION..entries {
        let at = Duration::from_millis((entry % 300) as u64);
        asks.insert((at, entry), (entry % LEADS_PER_REGION, false));
    }
    let mut last = Duration::ZERO;
    while let Some(((at, entry), (asked, requires_direct))) = asks.pop_first() {
        if at > END_TIME {
            return None;
        }
        let other = LEADS_PER_REGION - 1 - asked % LEADS_PER_REGION;
        let has_copy = has.get(&asked).is_some_and(|since| at >= *since);
        let is_lost = asked >= LEADS_PER_REGION && asked < LEADS_PER_REGION + lost;
        if !has_copy || is_lost {
            asks.insert((at + NETWORK_DELAY, entry), (other, true));
            continue;
        }
        let mut source = CopySource::Direct;
        if uses_relays {
            source = schedulers[asked].on_copy_request(
                start + at,
                address(entry),
                bytes,
                requires_direct,
            );
        }
        match source {
            CopySource::Relay(relay) => {
                let mut others = LEADS_PER_REGION..entries;
                let relay = others.find(|other| address(*other) == relay).unwrap();
                asks.insert((at + NETWORK_DELAY, entry), (relay, false));
                continue;
            }
            CopySource::Busy => {
                asks.insert((at + RETRY_DELAY, entry), (other, false));
                continue;
            }
            CopySource::Direct => {}
        }
        let link = if asked < LEADS_PER_REGION {
            LEAD_LINK_MEGABITS
        } else {
            LINK_MEGABITS
        };
        let begins = free[asked].max(at);
        let carries = Duration::from_secs_f64(bytes as f64 * 8.0 / (link * 1e6));
        free[asked] = begins + carries;
        let received = (begins + carries).max(begins + one_copy(entries));
        if received > at + COPY_TIMEOUT.max(one_copy(entries) * 2) {
            asks.insert((at + COPY_TIMEOUT, entry), (other, false));
            continue;
        }
        has.insert(entry, received + APPLY_TIME);
        last = last.max(received + APPLY_TIME);
    }
    assert_eq!(has.len(), entries);
    Some(last)
}

/// Time allowed for everything but transmission: requests, retries, and applying the copy.
const OVERHEAD: Duration = Duration::from_millis(2500);
/// Number of successive copies allowed until the last entry has one.
const MAX_SUCCESSIVE_COPIES: u32 = 8;

/// The time until all entries of a region have a copy must grow with the size of a copy, but
/// not with the number of entries as well. With the leads alone it never completes for a large
/// region, because copies arrive after the requesters have given up.
#[test]
fn relays_bound_the_time_until_all_have_copies() {
    for entries in [100, 300, 1000, 2000] {
        let took = spread_time(entries, true, 0).expect("every entry has a copy");
        let max_time = one_copy(entries) * MAX_SUCCESSIVE_COPIES + OVERHEAD;
        println!(
            "{entries}: {took:?}, from the leads only {:?}",
            spread_time(entries, false, 0)
        );
        assert!(
            took <= max_time,
            "{took:?} at {entries} entries, at most {max_time:?}"
        );
    }
    assert!(spread_time(2000, false, 0).is_none());
}

/// Entries that stop after they received a copy must not keep others from getting one.
#[test]
fn lost_relays_do_not_prevent_copies() {
    let took = spread_time(1000, true, 60).expect("every entry has a copy");
    assert!(
        took <= one_copy(1000) * MAX_SUCCESSIVE_COPIES + OVERHEAD * 2,
        "{took:?}"
    );
}

/// Small copies must be served immediately, and large ones refused rather than queued for
/// longer than a requester waits.
#[test]
fn small_copies_are_served_immediately() {
    let now = Instant::now();
    let mut scheduler = CopyScheduler::new(10.0);
    assert_eq!(
        scheduler.on_copy_request(now, address(1), 1 << 20, false),
        CopySource::Direct
    );
    assert_eq!(
        scheduler.on_copy_request(now, address(2), 1 << 20, false),
        CopySource::Busy
    );
    assert_eq!(
        scheduler.on_copy_request(now, address(3), 1000, false),
        CopySource::Direct
    );
    let later = now + Duration::from_secs(3);
    assert_eq!(
        scheduler.on_copy_request(later, address(2), 1 << 20, false),
        CopySource::Direct
    );
    let relay = scheduler.on_copy_request(later, address(3), 1 << 20, false);
    assert_eq!(relay, CopySource::Relay(address(1)));
    assert_eq!(
        scheduler.on_copy_request(later, address(4), 1 << 20, false),
        CopySource::Busy
    );
}

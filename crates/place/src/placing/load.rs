//! What the entries tell each other of their requests at servers.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::catalog::ServerCatalog;
use crate::placing::warmth::HandledPair;

/// An entry's word counts for this long: it is given several times a second.
const LOAD_TTL: Duration = Duration::from_millis(1500);

/// Time between words on load for each other entry of the region: what an entry sends
/// and hears there stays within 80 datagrams a second however many there are.
const LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(12);
/// Shortest time between words on load; requests take longer.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(80);
/// Time between words to other regions, for each other entry there: at most 160 datagrams
/// a second. In small fleets they go with every word: worth 0.533 -> 0.541 where servers
/// are spread unevenly, against one word in three (mean of 15 days of trouble).
const FAR_LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(6);
/// One entry's requests: short names of servers, with counts.
pub type LoadList = Vec<(u32, u16)>;

base::common! {
    /// What an entry tells the others of its requests.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct LoadUpdate {
        /// Short names of servers, with the number of requests there.
        pub load: LoadList,
        /// Requests sent to each region since the entry's start, in the order of the
        /// regions' names. Only entries of the same region are told.
        pub sent: Vec<u32>,
        /// Servers that handled an object since the last word. Only entries of the same
        /// region are told.
        pub handled: Vec<HandledPair>,
    }
}

impl LoadUpdate {
    /// The word for entries of other regions.
    #[must_use]
    pub fn for_other_regions(mut self) -> Self {
        self.sent.clear();
        self.handled.clear();
        self
    }
}

/// The newest word of each other entry, and their sums by server.
#[derive(Debug, Default)]
pub struct PeerLoads {
    lists: HashMap<u64, (Instant, LoadList)>,
    sums: HashMap<u32, u32>,
    /// Servers of which the sum changed since it was last set in the catalog.
    changed: HashSet<u32>,
    /// When the oldest word stops to count.
    next_expiry: Option<Instant>,
    /// Servers that had joined when the sums were last set.
    join_count: u64,
}

/// Short name of a server, from the hash of its id. Two servers with one name
/// are merely thought to be busier than they are.
pub fn short_id(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}

/// Time until an entry with `near` others in its region tells its load again.
pub fn load_interval(near: u32) -> Duration {
    (LOAD_INTERVAL_PER_ENTRY * near).max(MIN_LOAD_INTERVAL)
}

/// Whether the word number `round` of an entry with `near` others in its region goes to
/// the `far` ones of other regions as well.
pub fn is_sent_far(round: u32, near: u32, far: u32) -> bool {
    let interval = FAR_LOAD_INTERVAL_PER_ENTRY * far;
    let updates = interval
        .as_millis()
        .div_ceil(load_interval(near).as_millis());
    u128::from(round).is_multiple_of(updates.max(1))
}

impl PeerLoads {
    /// Takes in the word of `entry`.
    pub fn apply_list(&mut self, now: Instant, entry: u64, list: LoadList) {
        self.add(&list);
        let next_expiry = now + LOAD_TTL;
        self.next_expiry = Some(
            self.next_expiry
                .map_or(next_expiry, |known| known.min(next_expiry)),
        );
        if let Some((_, before)) = self.lists.insert(entry, (now, list)) {
            self.subtract(&before);
        }
    }

    /// Sets in `catalog` what the other entries have at each server. Call it before the
    /// figures are used. Only servers of which words spoke since are looked at: at ten thousand
    /// servers a request took 5 ms otherwise, most of it for those that nobody uses.
    pub fn apply(&mut self, now: Instant, catalog: &mut ServerCatalog) {
        if self
            .next_expiry
            .is_some_and(|next_expiry| now >= next_expiry)
        {
            self.expire(now);
        }
        if self.join_count != catalog.join_count() {
            self.join_count = catalog.join_count();
            self.changed.extend(self.sums.keys());
        }
        for name in self.changed.drain() {
            let sum = self.sums.get(&name).copied().unwrap_or(0);
            let record_indexes: Vec<usize> = catalog.indexes_by_short_id(name).collect();
            for record_index in record_indexes {
                if let Some(record) = catalog.by_index_mut(record_index) {
                    record.peer_load = f64::from(sum);
                }
            }
        }
    }

    /// Forgets words that are too old.
    fn expire(&mut self, now: Instant) {
        let lists = std::mem::take(&mut self.lists);
        for (entry, (at, list)) in lists {
            if now.saturating_duration_since(at) < LOAD_TTL {
                self.lists.insert(entry, (at, list));
            } else {
                self.subtract(&list);
            }
        }
        let oldest = self.lists.values().map(|(at, _)| *at).min();
        self.next_expiry = oldest.map(|at| at + LOAD_TTL);
    }

    fn add(&mut self, list: &LoadList) {
        for (name, count) in list {
            *self.sums.entry(*name).or_default() += u32::from(*count);
            self.changed.insert(*name);
        }
    }

    fn subtract(&mut self, list: &LoadList) {
        for (name, count) in list {
            self.changed.insert(*name);
            let Some(sum) = self.sums.get_mut(name) else {
                continue;
            };
            *sum = sum.saturating_sub(u32::from(*count));
            if *sum == 0 {
                self.sums.remove(name);
            }
        }
    }
}

/// Own requests at the servers of `catalog`.
pub fn own_load(catalog: &ServerCatalog) -> LoadList {
    let busy = catalog.iter().filter(|record| record.in_flight > 0);
    busy.map(|record| {
        let count = u16::try_from(record.in_flight).unwrap_or(u16::MAX);
        (short_id(record.hash), count)
    })
    .collect()
}

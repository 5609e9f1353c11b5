//! What the entries tell each other of their requests at servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::catalog::ServerCatalog;
use crate::placing::warmth::Sighting;

/// An entry's word counts for this long: it is given several times a second.
const LOAD_LIFE: Duration = Duration::from_millis(1500);

/// Time between words on load for each other entry of the region: what an entry sends
/// and hears there stays within 80 datagrams a second however many there are.
const PAUSE_PER_ENTRY: Duration = Duration::from_millis(12);
/// Shortest time between words on load; requests take longer.
const LEAST_PAUSE: Duration = Duration::from_millis(80);
/// Time between words to other regions, for each other entry there: at most 160 datagrams
/// a second. In small fleets they go with every word: worth 0.533 -> 0.541 where servers
/// are spread unevenly, against one word in three (mean of 15 days of trouble).
const FAR_PAUSE_PER_ENTRY: Duration = Duration::from_millis(6);
/// Time between two sums over all words, for each entry heard: a sum takes 0.13 us an
/// entry, so that they stay within 1.3 % of a core however often words come.
const SUM_PAUSE_PER_ENTRY: Duration = Duration::from_micros(10);

/// One entry's requests: short names of servers, with counts.
pub type LoadList = Vec<(u32, u16)>;

base::common! {
    /// What an entry tells the others of its requests.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct LoadWord {
        /// Short names of servers, with the number of requests there.
        pub load: LoadList,
        /// Requests sent to each region since the entry's start, in the order of the
        /// regions' names. Only entries of the same region are told.
        pub sent: Vec<u32>,
        /// Servers that handled an object since the last word. Only entries of the same
        /// region are told.
        pub handled: Vec<Sighting>,
    }
}

impl LoadWord {
    /// The word for entries of other regions.
    #[must_use]
    pub fn for_others(mut self) -> Self {
        self.sent.clear();
        self.handled.clear();
        self
    }
}

/// The newest word of each other entry.
#[derive(Debug, Default)]
pub struct PeerLoads {
    lists: HashMap<u64, (Instant, LoadList)>,
    /// Whether a word came since the last sum.
    is_changed: bool,
    /// When a sum with a newer word is due.
    due: Option<Instant>,
    /// When the oldest word of the last sum stops to count.
    ends: Option<Instant>,
}

/// Short name of a server, from the hash of its id. Two servers with one name
/// are merely thought to be busier than they are.
pub fn short_name(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}

/// Time until an entry with `near` others in its region tells its load again.
pub fn load_pause(near: u32) -> Duration {
    (PAUSE_PER_ENTRY * near).max(LEAST_PAUSE)
}

/// Whether the word number `round` of an entry with `near` others in its region goes to
/// the `far` ones of other regions as well.
pub fn is_told_far(round: u32, near: u32, far: u32) -> bool {
    let pause = FAR_PAUSE_PER_ENTRY * far;
    let words = pause.as_millis().div_ceil(load_pause(near).as_millis());
    u128::from(round).is_multiple_of(words.max(1))
}

impl PeerLoads {
    /// Takes in the word of `entry`.
    pub fn on_list(&mut self, now: Instant, entry: u64, list: LoadList) {
        self.lists.insert(entry, (now, list));
        self.is_changed = true;
    }

    /// Sets in `catalog` what the other entries have at each server. Call it before the
    /// figures are used: words that nobody needs cost nothing.
    pub fn apply(&mut self, now: Instant, catalog: &mut ServerCatalog) {
        let is_over = self.ends.is_some_and(|ends| now >= ends);
        let is_due = self.is_changed && self.due.is_none_or(|due| now >= due);
        if !is_due && !is_over {
            return;
        }
        self.is_changed = false;
        self.lists
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < LOAD_LIFE);
        let oldest = self.lists.values().map(|(at, _)| *at).min();
        self.ends = oldest.map(|at| at + LOAD_LIFE);
        self.due = Some(now + SUM_PAUSE_PER_ENTRY * self.lists.len() as u32);
        let mut sums: HashMap<u32, f64> = HashMap::new();
        for (_, list) in self.lists.values() {
            for (name, count) in list {
                *sums.entry(*name).or_default() += f64::from(*count);
            }
        }
        for record in catalog.iter_mut() {
            let sum = sums.get(&short_name(record.hash));
            record.peer_load = sum.copied().unwrap_or(0.0);
        }
    }
}

/// Own requests at the servers of `catalog`.
pub fn own_load(catalog: &ServerCatalog) -> LoadList {
    let busy = catalog.iter().filter(|record| record.in_flight > 0);
    busy.map(|record| {
        let count = u16::try_from(record.in_flight).unwrap_or(u16::MAX);
        (short_name(record.hash), count)
    })
    .collect()
}

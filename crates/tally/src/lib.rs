//! Approximate fleet-wide counters without a coordinator.
//!
//! Each entry counts its own events since its start and reports the totals to its peers. The
//! increments of a peer are the difference between its last two reports that arrived, so a lost
//! report delays counts but loses none. What a peer counted since its last report is unknown;
//! an entry estimates it by its own count over the same time.
//!
//! This crate uses no sockets, clocks or threads.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Counts in the first report of a run that is younger than this are all increments for entries
/// that started before the run. An older run may have been tracked earlier and dropped since,
/// so its first count of each key is only a baseline.
const NEW_RUN_AGE: Duration = Duration::from_secs(10);
/// Runs that began up to this long before an entry's own count in full: entries that start at the
/// same time would otherwise ignore the first counts of those that were a moment earlier.
const CONCURRENT_START: Duration = Duration::from_secs(1);

/// Silence of a run after which a run with a lower number isn't an earlier one: the clock by which
/// runs are numbered may have been set back.
const SUCCESSION_TIME: Duration = Duration::from_secs(3);

/// The totals of one entry since its start, as sent to its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct CountReport<K> {
    /// Identifies one run of the entry's process; a later run has a higher number and counts
    /// from 0.
    pub run: u64,
    /// Time since the run began to count.
    pub age: Duration,
    /// The totals that changed recently; all others are as in earlier reports.
    pub counts: Vec<(K, u32)>,
}

/// The counts of this entry and the reported counts of its peers.
#[derive(Debug)]
pub struct PeerTally<K> {
    start: Option<Instant>,
    /// Time for which a peer is considered live after its last report.
    report_ttl: Duration,
    own: HashMap<K, OwnCounter>,
    peers: HashMap<u64, PeerCounter<K>>,
}

/// One counter of this entry.
#[derive(Debug, Default)]
struct OwnCounter {
    total: u32,
    /// Times of the most recent events, oldest first.
    recent: VecDeque<Instant>,
}

#[derive(Debug)]
struct PeerCounter<K> {
    run: u64,
    last_report_at: Instant,
    /// Whether the run may have counted before it was tracked here. The first count of each key
    /// is then a baseline and no increment.
    needs_baseline: bool,
    counts: HashMap<K, u32>,
}

impl<K: Copy + Eq + Hash> PeerTally<K> {
    /// Creates a tally in which a peer is considered live for `report_ttl` after a report.
    pub fn new(report_ttl: Duration) -> Self {
        Self {
            start: None,
            report_ttl,
            own: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Sets the start of this entry's run: all counts of runs that started later are
    /// increments.
    #[must_use]
    pub fn with_start(mut self, start: Instant) -> Self {
        self.start = Some(start);
        self
    }

    /// Sets the time for which a peer is considered live after a report.
    pub fn set_report_ttl(&mut self, report_ttl: Duration) {
        self.report_ttl = report_ttl;
    }

    /// Counts one event of `key`.
    pub fn add(&mut self, now: Instant, key: K) {
        let own = self.own.entry(key).or_default();
        own.total = own.total.wrapping_add(1);
        own.recent.push_back(now);
        while let Some(first) = own.recent.front() {
            if now.saturating_duration_since(*first) <= self.report_ttl {
                break;
            }
            own.recent.pop_front();
        }
    }

    /// Undoes the most recent event of `key`.
    pub fn undo_add(&mut self, key: K) {
        if let Some(own) = self.own.get_mut(&key) {
            own.total = own.total.wrapping_sub(1);
            own.recent.pop_back();
        }
    }

    /// Returns this entry's total for `key`.
    pub fn own_total(&self, key: K) -> u32 {
        self.own.get(&key).map_or(0, |own| own.total)
    }

    /// Returns all totals of this entry.
    pub fn own_totals(&self) -> impl Iterator<Item = (&K, u32)> {
        self.own.iter().map(|(key, own)| (key, own.total))
    }

    /// Returns the time since this entry began to count.
    pub fn age(&self, now: Instant) -> Duration {
        let start = self.start.unwrap_or(now);
        now.saturating_duration_since(start)
    }

    /// Records a report of the entry `peer` and returns the increments since its last one. For
    /// a run that began before it was tracked, the first count of a key is only a baseline.
    /// Reports of earlier runs are ignored while later ones report.
    pub fn on_report(&mut self, now: Instant, peer: u64, report: &CountReport<K>) -> Vec<(K, i64)> {
        let tracked = self.peers.get(&peer);
        let is_later = |known: &PeerCounter<K>| {
            let silent_for = now.saturating_duration_since(known.last_report_at);
            known.run > report.run && silent_for < SUCCESSION_TIME
        };
        if tracked.is_some_and(is_later) {
            return Vec::new();
        }
        let known = tracked.map(|known| known.run);
        if known != Some(report.run) {
            let tracked = PeerCounter {
                run: report.run,
                last_report_at: now,
                needs_baseline: report.age > self.age(now).min(NEW_RUN_AGE) + CONCURRENT_START,
                counts: HashMap::new(),
            };
            self.peers.insert(peer, tracked);
        }
        let Some(tracked) = self.peers.get_mut(&peer) else {
            return Vec::new();
        };
        tracked.last_report_at = now;
        let mut deltas = Vec::new();
        for (key, count) in &report.counts {
            let before = tracked.counts.insert(*key, *count);
            if before.is_none() && tracked.needs_baseline {
                continue;
            }
            // Totals decrease where events were undone.
            let added = i64::from(count.wrapping_sub(before.unwrap_or(0)) as i32);
            if added != 0 {
                deltas.push((*key, added));
            }
        }
        deltas
    }

    /// Returns when the last report of the entry `peer` arrived.
    pub fn last_report_at(&self, peer: u64) -> Option<Instant> {
        self.peers.get(&peer).map(|known| known.last_report_at)
    }

    /// Estimates how many events of `key` the live peers have not reported yet: the sum over
    /// these peers of this entry's own events since the peer's last report.
    pub fn estimate_unreported(&self, now: Instant, key: K) -> u32 {
        let Some(own) = self.own.get(&key).filter(|own| !own.recent.is_empty()) else {
            return 0;
        };
        let mut sum = 0;
        for peer in self.peers.values() {
            if now.saturating_duration_since(peer.last_report_at) < self.report_ttl {
                sum += own.own_since(peer.last_report_at);
            }
        }
        sum
    }

    /// Returns this entry's own events of each key since the last report of the entry `peer`.
    pub fn own_since(&self, peer: u64) -> Vec<(K, u32)> {
        let Some(known) = self.peers.get(&peer) else {
            return Vec::new();
        };
        let counts = self.own.iter();
        let counts = counts.map(|(key, own)| (*key, own.own_since(known.last_report_at)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Stops tracking the peers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(u64, Instant) -> bool) {
        self.peers
            .retain(|peer, known| keep(*peer, known.last_report_at));
    }

    /// Returns the tracked peers with the time of their last report.
    pub fn peers(&self) -> impl Iterator<Item = (u64, Instant)> {
        self.peers
            .iter()
            .map(|(peer, known)| (*peer, known.last_report_at))
    }
}

impl OwnCounter {
    fn own_since(&self, at: Instant) -> u32 {
        let earlier = self.recent.partition_point(|counted| *counted <= at);
        (self.recent.len() - earlier) as u32
    }
}

//! Sums over all entries of a fleet, without anybody who adds them up.
//!
//! Each entry counts what it does itself since its start and tells the others these counts.
//! What another did since its last word but one is the difference, so that a lost word costs
//! time and no count. What others did since their last word isn't known; an entry reckons
//! with it by what it did itself meanwhile.
//!
//! No sockets, clocks or threads here.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// What a run counted that is younger than this is all news to those that were there
/// before; of an older one they may have heard and forgotten.
const NEW_RUN_AGE: Duration = Duration::from_secs(10);

/// One entry's counts since its start, and how old that is.
#[derive(Debug, Clone, PartialEq)]
pub struct CountReport<K> {
    /// One run of the entry's process; a later run counts from 0 again.
    pub run: u64,
    /// Time since the run began to count.
    pub age: Duration,
    /// The counts that changed lately; others are as they were told before.
    pub counts: Vec<(K, u32)>,
}

/// What this entry counted, and what it heard of the others.
#[derive(Debug)]
pub struct PeerTally<K> {
    start: Option<Instant>,
    /// An entry's word counts as its present for this long.
    report_ttl: Duration,
    own: HashMap<K, OwnCounter>,
    peers: HashMap<u64, PeerCounter<K>>,
}

/// One count of this entry.
#[derive(Debug, Default)]
struct OwnCounter {
    total: u32,
    /// When the latest were counted, oldest first.
    recent: VecDeque<Instant>,
}

#[derive(Debug)]
struct PeerCounter<K> {
    run: u64,
    last_heard: Instant,
    /// Whether it may have counted before this entry heard of it: what it counted of a key by the first word
    /// on that is not news.
    needs_baseline: bool,
    counts: HashMap<K, u32>,
}

impl<K: Copy + Eq + Hash> PeerTally<K> {
    /// A tally in which an entry's word counts as its present for `report_ttl`.
    pub fn new(report_ttl: Duration) -> Self {
        Self {
            start: None,
            report_ttl,
            own: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// The tally begins at `start`: what entries count that began later is all news to it.
    #[must_use]
    pub fn with_start(mut self, start: Instant) -> Self {
        self.start = Some(start);
        self
    }

    /// An entry's word counts as its present for `report_ttl` from now on.
    pub fn set_report_ttl(&mut self, report_ttl: Duration) {
        self.report_ttl = report_ttl;
    }

    /// Counts one more of `key`.
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

    /// Takes one of `key` back that was counted lately.
    pub fn undo_add(&mut self, key: K) {
        if let Some(own) = self.own.get_mut(&key) {
            own.total = own.total.wrapping_sub(1);
            own.recent.pop_back();
        }
    }

    /// The own count of `key`.
    pub fn own_total(&self, key: K) -> u32 {
        self.own.get(&key).map_or(0, |own| own.total)
    }

    /// All own counts.
    pub fn own_totals(&self) -> impl Iterator<Item = (&K, u32)> {
        self.own.iter().map(|(key, own)| (key, own.total))
    }

    /// Time since this entry began to count.
    pub fn age(&self, now: Instant) -> Duration {
        let start = self.start.unwrap_or(now);
        now.saturating_duration_since(start)
    }

    /// Takes in the word of the entry `peer`; what it did that wasn't known before. Of one
    /// that has counted for long the first word on a key tells only where it
    /// begins.
    pub fn on_report(&mut self, now: Instant, peer: u64, report: &CountReport<K>) -> Vec<(K, i64)> {
        let known = self.peers.get(&peer).map(|known| known.run);
        if known.is_some_and(|run| run > report.run) {
            return Vec::new();
        }
        if known != Some(report.run) {
            let tracked = PeerCounter {
                run: report.run,
                last_heard: now,
                needs_baseline: report.age > self.age(now).min(NEW_RUN_AGE),
                counts: HashMap::new(),
            };
            self.peers.insert(peer, tracked);
        }
        let Some(tracked) = self.peers.get_mut(&peer) else {
            return Vec::new();
        };
        tracked.last_heard = now;
        let mut deltas = Vec::new();
        for (key, count) in &report.counts {
            let before = tracked.counts.insert(*key, *count);
            if before.is_none() && tracked.needs_baseline {
                continue;
            }
            // Counts fall where some were taken back.
            let added = i64::from(count.wrapping_sub(before.unwrap_or(0)) as i32);
            if added != 0 {
                deltas.push((*key, added));
            }
        }
        deltas
    }

    /// When the entry `peer` was heard last.
    pub fn last_heard(&self, peer: u64) -> Option<Instant> {
        self.peers.get(&peer).map(|known| known.last_heard)
    }

    /// What this entry did of `key` since each of the others was heard, as far as these are
    /// heard at all: what all of them did meanwhile if each did as much as this one.
    pub fn estimate_unreported(&self, now: Instant, key: K) -> u32 {
        let Some(own) = self.own.get(&key).filter(|own| !own.recent.is_empty()) else {
            return 0;
        };
        let mut sum = 0;
        for peer in self.peers.values() {
            if now.saturating_duration_since(peer.last_heard) < self.report_ttl {
                sum += own.own_since(peer.last_heard);
            }
        }
        sum
    }

    /// What this entry did of each key since the entry `peer` was heard.
    pub fn own_since(&self, peer: u64) -> Vec<(K, u32)> {
        let Some(known) = self.peers.get(&peer) else {
            return Vec::new();
        };
        let counts = self.own.iter();
        let counts = counts.map(|(key, own)| (*key, own.own_since(known.last_heard)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Forgets the entries that `keep` doesn't name.
    pub fn retain(&mut self, keep: impl Fn(u64, Instant) -> bool) {
        self.peers
            .retain(|peer, known| keep(*peer, known.last_heard));
    }

    /// The other entries that were heard, and when last.
    pub fn peers(&self) -> impl Iterator<Item = (u64, Instant)> {
        self.peers
            .iter()
            .map(|(peer, known)| (*peer, known.last_heard))
    }
}

impl OwnCounter {
    fn own_since(&self, at: Instant) -> u32 {
        let earlier = self.recent.partition_point(|counted| *counted <= at);
        (self.recent.len() - earlier) as u32
    }
}

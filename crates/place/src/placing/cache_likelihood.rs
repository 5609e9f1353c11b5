//! Estimates which servers have which objects cached.
//!
//! Objects that were recently handled are remembered. For the others the rank indicates where
//! other entries send the object. How reliable either is depends on the servers' cache size
//! and the number of objects, so it is learned from response times.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::placing::load::short_id;
use crate::placing::timing::MovingAverage;

/// Age classes of a handled pair.
const AGE_LIMITS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(20),
];
/// Number of ranks that are distinguished without a handled pair; the last one includes all
/// beyond.
pub const DISTINCT_RANKS: usize = 4;
/// Maximum number of remembered pairs, at 64 bytes each.
const MAX_PAIRS: usize = 16_384;
/// Maximum number of pairs in one load report. Pairs beyond it are rare, and without them other
/// entries only fall back to the rank.
const MAX_UNSENT_PAIRS: usize = 128;
/// Initial likelihoods by age class, then by rank. Those by rank are low, since caches are
/// empty at a start.
const INITIAL_LIKELIHOODS: [f64; EVIDENCE_KINDS] = [0.95, 0.9, 0.8, 0.3, 0.2, 0.1, 0.05];
/// Number of kinds of evidence that are distinguished.
const EVIDENCE_KINDS: usize = AGE_LIMITS.len() + DISTINCT_RANKS;
/// Weight of the newest answer in a likelihood.
const NEWEST_WEIGHT: f64 = 0.03;

/// Evidence for a cached object: an index into the learned likelihoods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvidence(usize);

/// Short ids of a server and of an object that it handled.
pub type HandledPair = (u32, u32);

/// Objects that servers recently handled, as seen by this entry and reported by the others
/// of its region.
#[derive(Debug, Default)]
pub struct HandledObjects {
    handled_at: HashMap<HandledPair, Instant>,
    /// Servers that handled each object, according to `handled_at`.
    holders: HashMap<u32, Vec<u32>>,
    /// Own pairs that have not been sent to the others.
    unsent: Vec<HandledPair>,
}

/// How likely each kind of evidence is right, for one route.
#[derive(Debug)]
pub struct CacheLikelihoods {
    rates: [MovingAverage; EVIDENCE_KINDS],
}

impl HandledObjects {
    /// Records that `server` handled `object`.
    pub fn on_handled(&mut self, now: Instant, server: u64, object: u64) {
        let pair = (short_id(server), short_id(object));
        self.remember(now, pair);
        if self.unsent.len() < MAX_UNSENT_PAIRS {
            self.unsent.push(pair);
        }
    }

    /// Records pairs that another entry reported.
    pub fn on_peer_pairs(&mut self, now: Instant, pairs: &[HandledPair]) {
        for pair in pairs {
            self.remember(now, *pair);
        }
    }

    /// Takes the own pairs since the last call.
    pub fn take_unsent(&mut self) -> Vec<HandledPair> {
        std::mem::take(&mut self.unsent)
    }

    /// Forgets the cached objects of `server`, which restarted or lost them.
    pub fn forget(&mut self, server: u64) {
        let server = short_id(server);
        self.handled_at.retain(|(known, _), _| *known != server);
        self.prune_holders();
    }

    /// Short ids of the servers that handled `object`.
    pub fn holders(&self, object: u64) -> &[u32] {
        let servers = self.holders.get(&short_id(object));
        servers.map_or(&[][..], Vec::as_slice)
    }

    /// The evidence that `server`, at `rank` for `object`, has it cached.
    pub fn evidence(&self, now: Instant, server: u64, object: u64, rank: usize) -> CacheEvidence {
        if let Some(at) = self.handled_at.get(&(short_id(server), short_id(object))) {
            let age = now.saturating_duration_since(*at);
            if let Some(index) = AGE_LIMITS.iter().position(|limit| age < *limit) {
                return CacheEvidence(index);
            }
        }
        CacheEvidence(AGE_LIMITS.len() + rank.min(DISTINCT_RANKS - 1))
    }

    fn remember(&mut self, now: Instant, pair: HandledPair) {
        if self.handled_at.len() >= MAX_PAIRS {
            let oldest = AGE_LIMITS[AGE_LIMITS.len() - 1];
            self.handled_at
                .retain(|_, at| now.saturating_duration_since(*at) < oldest);
            self.prune_holders();
        }
        if self.handled_at.len() < MAX_PAIRS && self.handled_at.insert(pair, now).is_none() {
            let (server, object) = pair;
            self.holders.entry(object).or_default().push(server);
        }
    }

    /// Removes holders whose pair was forgotten.
    fn prune_holders(&mut self) {
        let handled_at = &self.handled_at;
        self.holders.retain(|object, servers| {
            servers.retain(|server| handled_at.contains_key(&(*server, *object)));
            !servers.is_empty()
        });
    }
}

impl CacheLikelihoods {
    /// The likelihood that a server of the lowest rank class has an object cached that it
    /// wasn't seen to handle.
    pub fn unseen_likelihood(&self) -> f64 {
        self.rates[EVIDENCE_KINDS - 1].value()
    }

    /// The likelihood for `evidence`, 0 to 1.
    pub fn likelihood(&self, evidence: CacheEvidence) -> f64 {
        self.rates[evidence.0].value()
    }

    /// Records whether the object was cached.
    pub fn on_answer(&mut self, evidence: CacheEvidence, is_cached: bool) {
        self.rates[evidence.0].add(if is_cached { 1.0 } else { 0.0 });
    }
}

impl Default for CacheLikelihoods {
    fn default() -> Self {
        Self {
            rates: INITIAL_LIKELIHOODS.map(|initial| MovingAverage::new(initial, NEWEST_WEIGHT)),
        }
    }
}

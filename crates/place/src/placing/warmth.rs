//! Which servers likely hold which objects.
//!
//! What an entry saw itself is remembered; for the rest the common rank tells
//! where other entries send an object. How far either may be relied on depends
//! on how much a server keeps and how many objects there are, so it is learned
//! from the answers' times.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::placing::load::short_id;
use crate::placing::timing::MovingAverage;

/// Ages of a sighting that are told apart.
const AGE_LIMITS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(20),
];
/// Ranks that are told apart where there was no sighting; the last stands for all beyond.
pub const DISTINCT_RANKS: usize = 4;
/// Pairs kept at most; 64 bytes each.
const MAX_PAIRS: usize = 16_384;
/// Sightings told in one word; those beyond are few and only make others guess.
const MAX_UNSENT_PAIRS: usize = 128;
/// Likelihood at the beginning: after sightings, then by rank. Low for ranks:
/// nothing is held when everything has just begun.
const INITIAL_LIKELIHOODS: [f64; BELIEFS] = [0.95, 0.9, 0.8, 0.3, 0.2, 0.1, 0.05];
/// Kinds of belief that are told apart.
const BELIEFS: usize = AGE_LIMITS.len() + DISTINCT_RANKS;
/// Weight of the newest answer in a likelihood.
const NEWEST_WEIGHT: f64 = 0.03;

/// Why a server may hold an object: an index into the learned likelihoods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Belief(usize);

/// A server that handled an object, by short names of both.
pub type HandledPair = (u32, u32);

/// What is known of objects at servers: what this entry saw, and what the other
/// entries of its region told.
#[derive(Debug, Default)]
pub struct WarmthMap {
    handled_at: HashMap<HandledPair, Instant>,
    /// Servers that handled each object, as far as `handled_at` has them.
    holders: HashMap<u32, Vec<u32>>,
    /// Own sightings that the others haven't been told yet.
    unsent: Vec<HandledPair>,
}

/// How likely each kind of belief has proved to be right, for one route.
#[derive(Debug)]
pub struct WarmthRates {
    rates: [MovingAverage; BELIEFS],
}

impl WarmthMap {
    /// The server `server` handled `object`.
    pub fn on_handled(&mut self, now: Instant, server: u64, object: u64) {
        let pair = (short_id(server), short_id(object));
        self.remember(now, pair);
        if self.unsent.len() < MAX_UNSENT_PAIRS {
            self.unsent.push(pair);
        }
    }

    /// Takes in sightings of another entry.
    pub fn on_peer_pairs(&mut self, now: Instant, pairs: &[HandledPair]) {
        for pair in pairs {
            self.remember(now, *pair);
        }
    }

    /// Own sightings since the last call.
    pub fn take_unsent(&mut self) -> Vec<HandledPair> {
        std::mem::take(&mut self.unsent)
    }

    /// The server started anew or lost what it held.
    pub fn forget(&mut self, server: u64) {
        let server = short_id(server);
        self.handled_at.retain(|(known, _), _| *known != server);
        self.prune_holders();
    }

    /// Short names of the servers that were seen to handle `object`.
    pub fn holders(&self, object: u64) -> &[u32] {
        let servers = self.holders.get(&short_id(object));
        servers.map_or(&[][..], Vec::as_slice)
    }

    /// What speaks for `server`, at `rank` for `object`, holding it.
    pub fn belief(&self, now: Instant, server: u64, object: u64, rank: usize) -> Belief {
        if let Some(at) = self.handled_at.get(&(short_id(server), short_id(object))) {
            let age = now.saturating_duration_since(*at);
            if let Some(index) = AGE_LIMITS.iter().position(|limit| age < *limit) {
                return Belief(index);
            }
        }
        Belief(AGE_LIMITS.len() + rank.min(DISTINCT_RANKS - 1))
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

    /// Keeps those holders only that were seen.
    fn prune_holders(&mut self) {
        let handled_at = &self.handled_at;
        self.holders.retain(|object, servers| {
            servers.retain(|server| handled_at.contains_key(&(*server, *object)));
            !servers.is_empty()
        });
    }
}

impl WarmthRates {
    /// The likelihood that a server holds an object of which nothing speaks but that it isn't
    /// among the first for it.
    pub fn unseen_likelihood(&self) -> f64 {
        self.rates[BELIEFS - 1].value()
    }

    /// The likelihood of `belief`, 0 to 1.
    pub fn likelihood(&self, belief: Belief) -> f64 {
        self.rates[belief.0].value()
    }

    /// Takes in whether the server held the object.
    pub fn on_answer(&mut self, belief: Belief, held: bool) {
        self.rates[belief.0].add(if held { 1.0 } else { 0.0 });
    }
}

impl Default for WarmthRates {
    fn default() -> Self {
        Self {
            rates: INITIAL_LIKELIHOODS.map(|initial| MovingAverage::new(initial, NEWEST_WEIGHT)),
        }
    }
}

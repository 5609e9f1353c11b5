//! Which servers likely hold which objects.
//!
//! What an entry saw itself is remembered; for the rest the common rank tells
//! where other entries send an object. How far either may be relied on depends
//! on how much a server keeps and how many objects there are, so it is learned
//! from the answers' times.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::placing::load::short_id;
use crate::placing::timing::Average;

/// Ages of a sighting that are told apart.
const AGES: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(20),
];
/// Ranks that are told apart where there was no sighting; the last stands for all beyond.
pub const RANKS: usize = 4;
/// Pairs kept at most; 64 bytes each.
const PAIRS: usize = 16_384;
/// Sightings told in one word; those beyond are few and only make others guess.
const NEWS: usize = 128;
/// Likelihood at the beginning: after sightings, then by rank. Low for ranks:
/// nothing is held when everything has just begun.
const FIRST: [f64; BELIEFS] = [0.95, 0.9, 0.8, 0.3, 0.2, 0.1, 0.05];
/// Kinds of belief that are told apart.
const BELIEFS: usize = AGES.len() + RANKS;
/// Weight of the newest answer in a likelihood.
const WEIGHT: f64 = 0.03;

/// Why a server may hold an object: an index into the learned likelihoods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Belief(usize);

/// A server that handled an object, by short names of both.
pub type Sighting = (u32, u32);

/// What is known of objects at servers: what this entry saw, and what the other
/// entries of its region told.
#[derive(Debug, Default)]
pub struct WarmthMap {
    seen: HashMap<Sighting, Instant>,
    /// Servers that handled each object, as far as `seen` has them.
    holders: HashMap<u32, Vec<u32>>,
    /// Own sightings that the others haven't been told yet.
    news: Vec<Sighting>,
}

/// How likely each kind of belief has proved to be right, for one route.
#[derive(Debug)]
pub struct WarmthRates {
    rates: [Average; BELIEFS],
}

impl WarmthMap {
    /// The server `server` handled `object`.
    pub fn on_handled(&mut self, now: Instant, server: u64, object: u64) {
        let sighting = (short_id(server), short_id(object));
        self.remember(now, sighting);
        if self.news.len() < NEWS {
            self.news.push(sighting);
        }
    }

    /// Takes in sightings of another entry.
    pub fn on_told(&mut self, now: Instant, sightings: &[Sighting]) {
        for sighting in sightings {
            self.remember(now, *sighting);
        }
    }

    /// Own sightings since the last call.
    pub fn take_news(&mut self) -> Vec<Sighting> {
        std::mem::take(&mut self.news)
    }

    /// The server started anew or lost what it held.
    pub fn forget(&mut self, server: u64) {
        let server = short_id(server);
        self.seen.retain(|(known, _), _| *known != server);
        self.sort_out();
    }

    /// Short names of the servers that were seen to handle `object`.
    pub fn holders(&self, object: u64) -> &[u32] {
        let servers = self.holders.get(&short_id(object));
        servers.map_or(&[][..], Vec::as_slice)
    }

    /// What speaks for `server`, at `rank` for `object`, holding it.
    pub fn belief(&self, now: Instant, server: u64, object: u64, rank: usize) -> Belief {
        if let Some(at) = self.seen.get(&(short_id(server), short_id(object))) {
            let age = now.saturating_duration_since(*at);
            if let Some(index) = AGES.iter().position(|limit| age < *limit) {
                return Belief(index);
            }
        }
        Belief(AGES.len() + rank.min(RANKS - 1))
    }

    fn remember(&mut self, now: Instant, sighting: Sighting) {
        if self.seen.len() >= PAIRS {
            let oldest = AGES[AGES.len() - 1];
            self.seen
                .retain(|_, at| now.saturating_duration_since(*at) < oldest);
            self.sort_out();
        }
        if self.seen.len() < PAIRS && self.seen.insert(sighting, now).is_none() {
            let (server, object) = sighting;
            self.holders.entry(object).or_default().push(server);
        }
    }

    /// Keeps those holders only that were seen.
    fn sort_out(&mut self) {
        let seen = &self.seen;
        self.holders.retain(|object, servers| {
            servers.retain(|server| seen.contains_key(&(*server, *object)));
            !servers.is_empty()
        });
    }
}

impl WarmthRates {
    /// The likelihood that a server holds an object of which nothing speaks but that it isn't
    /// among the first for it.
    pub fn least(&self) -> f64 {
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
            rates: FIRST.map(|rate| Average::new(rate, WEIGHT)),
        }
    }
}

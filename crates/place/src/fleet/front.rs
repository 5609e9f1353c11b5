//! Which entries of a region callers are told to use.
//!
//! Callers pick one of those that a look-up names at random, so all that are named
//! get the same share, and the least able one decides how much they carry together.
//! Few able entries, which know most of what is sent, place requests better than
//! many: the others stand by, and take over when load grows or entries are lost.

use std::cmp::Reverse;

use crate::rank::stable_hash;

/// Fewest entries that are named where there are as many: the loss of one costs a
/// third of the callers a second try.
const MIN_NAMED: usize = 3;
/// Failure domains that the named entries stand in where there are as many.
const MIN_DOMAINS: usize = 2;
/// What the named entries can carry, as a multiple of the present rate: a burst of
/// twice the rate finds them half busy.
const HEADROOM: f64 = 4.0;
/// Processor time that a request takes, in seconds: three times the mean that was
/// measured, for the requests of callers with long heads and bodies.
const CPU_SECONDS_PER_REQUEST: f64 = 0.000_25;
/// Bits of a request and its answer on an entry's link, on the way in and out: an
/// answer of 12 kB, the mean of a mix with one large answer in ten.
const BITS_PER_REQUEST: f64 = 200_000.0;
/// Requests a second below which an entry that isn't named counts as idle: checks and
/// callers with old answers.
const IDLE_RATE_LIMIT: f64 = 3.0;
/// Weight of the newest rate.
const RATE_SMOOTHING: f64 = 0.3;

/// An entry that takes callers.
#[derive(Debug, Clone, Copy)]
pub struct FrontEntry<'a> {
    /// The instance's name.
    pub node: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Requests a second that it can carry.
    pub capacity: u32,
    /// Requests a second that it gets.
    pub rate: f64,
}

impl FrontEntry<'_> {
    /// Whether it gets requests, named or not.
    pub fn is_used(&self) -> bool {
        self.rate >= IDLE_RATE_LIMIT
    }
}

/// Requests a second that an instance with `cores` of a processor and a link of
/// `megabits` a second can carry.
pub fn capacity(cores: f64, megabits: f64) -> u32 {
    let processor = cores / CPU_SECONDS_PER_REQUEST;
    let link = megabits * 1e6 / BITS_PER_REQUEST;
    processor.min(link).max(1.0) as u32
}

/// The entries among `entries` that callers should be told of, region by region; the
/// same at all entries that know the same.
pub fn named<'a>(entries: &[FrontEntry<'a>]) -> Vec<FrontEntry<'a>> {
    let mut order = entries.to_vec();
    order.sort_by_key(|entry| {
        let hash = stable_hash(entry.node.as_bytes());
        (entry.region, Reverse(entry.capacity), hash)
    });
    let mut named = Vec::new();
    for region in order.chunk_by(|one, next| one.region == next.region) {
        named.extend(select_in_region(region));
    }
    named
}

/// The first of a region's entries, ordered by capacity, that together carry enough.
fn select_in_region<'a>(region: &[FrontEntry<'a>]) -> Vec<FrontEntry<'a>> {
    let rate: f64 = region.iter().map(|entry| entry.rate).sum();
    let total_capacity = |count: usize| f64::from(region[count - 1].capacity) * count as f64;
    let preferred_min = MIN_NAMED.min(region.len());
    let counts = preferred_min..=region.len();
    let sufficient = counts
        .clone()
        .find(|count| total_capacity(*count) >= HEADROOM * rate);
    // Where none suffices, two that carry more than many less able ones do.
    let min_count = MIN_DOMAINS.min(region.len());
    let largest_capacity = || {
        (min_count..=region.len())
            .max_by(|one, other| total_capacity(*one).total_cmp(&total_capacity(*other)))
    };
    let count = sufficient
        .or_else(largest_capacity)
        .unwrap_or(preferred_min);
    let mut chosen = region[..count].to_vec();
    let first = chosen[0].domain;
    if chosen.iter().all(|entry| entry.domain == first) {
        // The loss of their failure domain must not leave the region without one.
        let other = region.iter().find(|entry| entry.domain != first);
        chosen.extend(other);
    }
    chosen
}

/// Counts requests, and tells their rate.
#[derive(Debug, Default)]
pub struct RateMeter {
    requests: u32,
    rate: f64,
}

impl RateMeter {
    /// A caller's request arrived.
    pub fn on_request(&mut self) {
        self.requests += 1;
    }

    /// The smoothed rate, in requests a second, where the last call was `seconds` ago.
    pub fn measure(&mut self, seconds: f64) -> f64 {
        let newest = f64::from(std::mem::take(&mut self.requests)) / seconds.max(0.001);
        self.rate += RATE_SMOOTHING * (newest - self.rate);
        self.rate
    }
}

//! Selection of the entries that are advertised to callers.
//!
//! A caller picks one of the advertised entries at random, so all of them get the same
//! share of requests and the one with the lowest capacity limits the total. A few entries
//! with a high capacity, which see most of the requests, place them better than many
//! would. The other entries are spares that take over when the load grows or entries are
//! lost.

use std::cmp::Reverse;

use crate::rank::stable_hash;

/// Minimum number of advertised entries, if there are enough. With three, the loss of one
/// makes a third of the callers retry.
const MIN_ADVERTISED: usize = 3;
/// Minimum number of failure domains of the advertised entries, if there are enough.
const MIN_DOMAINS: usize = 2;
/// Required capacity of the advertised entries, as a multiple of the current rate: at
/// twice the rate they are half utilized.
const HEADROOM: f64 = 4.0;
/// CPU time per request in seconds: three times the measured mean, to allow for callers
/// with large headers and bodies.
const CPU_SECONDS_PER_REQUEST: f64 = 0.000_25;
/// Bits per request on an entry's link, counted on the way in and on the way out: a response
/// of 12 kB, the mean of a mix with one large response in ten.
const BITS_PER_REQUEST: f64 = 200_000.0;
/// Requests per second below which an entry that is not advertised counts as idle. Health
/// checks and callers with an outdated lookup cause a few.
const IDLE_RATE_LIMIT: f64 = 3.0;
/// Weight of the newest sample in the exponential moving average.
const RATE_SMOOTHING: f64 = 0.3;

/// An entry that accepts callers.
#[derive(Debug, Clone, Copy)]
pub struct ServingEntry<'a> {
    /// The instance's name.
    pub node: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Requests per second it can handle.
    pub capacity: u32,
    /// Requests per second it receives.
    pub rate: f64,
}

impl ServingEntry<'_> {
    /// Whether it receives requests, advertised or not.
    pub fn is_used(&self) -> bool {
        self.rate >= IDLE_RATE_LIMIT
    }
}

/// Returns the requests per second that an instance with `cores` CPU cores and a link of
/// `megabits` per second can handle.
pub fn capacity(cores: f64, megabits: f64) -> u32 {
    let processor = cores / CPU_SECONDS_PER_REQUEST;
    let link = megabits * 1e6 / BITS_PER_REQUEST;
    processor.min(link).max(1.0) as u32
}

/// Returns the entries to advertise to callers, region by region. The result is the same
/// at all entries that know the same `entries`.
pub fn select_advertised<'a>(entries: &[ServingEntry<'a>]) -> Vec<ServingEntry<'a>> {
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

/// Returns as many of a region's entries, ordered by capacity, as are sufficient for its
/// rate.
fn select_in_region<'a>(region: &[ServingEntry<'a>]) -> Vec<ServingEntry<'a>> {
    let rate: f64 = region.iter().map(|entry| entry.rate).sum();
    let total_capacity = |count: usize| f64::from(region[count - 1].capacity) * count as f64;
    let preferred_min = MIN_ADVERTISED.min(region.len());
    let counts = preferred_min..=region.len();
    let sufficient = counts
        .clone()
        .find(|count| total_capacity(*count) >= HEADROOM * rate);
    // If no number is sufficient, take the one with the largest total capacity, which may
    // be two large entries rather than many small ones.
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
        // The loss of one failure domain must not leave the region without an advertised
        // entry.
        let other = region.iter().find(|entry| entry.domain != first);
        chosen.extend(other);
    }
    chosen
}

/// Measures the rate of requests.
#[derive(Debug, Default)]
pub struct RateMeter {
    requests: u32,
    rate: f64,
}

impl RateMeter {
    /// Counts a request from a caller.
    pub fn on_request(&mut self) {
        self.requests += 1;
    }

    /// Returns the smoothed rate in requests per second; `seconds` is the time since the
    /// last call.
    pub fn measure(&mut self, seconds: f64) -> f64 {
        let newest = f64::from(std::mem::take(&mut self.requests)) / seconds.max(0.001);
        self.rate += RATE_SMOOTHING * (newest - self.rate);
        self.rate
    }
}

//! How long the way to the servers of a failure domain and back takes.
//!
//! Learned from opening connections, which takes one round trip and what a busy network
//! or server adds: the estimate falls fast and rises slowly.

use std::collections::HashMap;

/// Round trip to another failure domain of the region before any was seen, in
/// milliseconds: domains of a region are a few kilometres apart.
const INITIAL_SAME_REGION_MS: f64 = 3.0;
/// The same to another region: regions of a country or two.
const INITIAL_OTHER_REGION_MS: f64 = 72.0;
/// Weight of a connection that took less than expected.
const FALL_WEIGHT: f64 = 0.3;
/// Weight of one that took longer: most of these met a queue.
const RISE_WEIGHT: f64 = 0.02;
/// A connection counts at most as this many times the estimate: one whose first packet
/// was lost takes a second and says nothing of the way.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Milliseconds that a connection takes at least, so that an estimate can rise from
/// nothing.
const MIN_SAMPLE_MS: f64 = 0.05;
/// Change of an estimate from which on it is used, as a share of it.
const MIN_CHANGE: f64 = 0.1;

/// The estimates of one entry, by failure domain.
#[derive(Debug, Default)]
pub struct RoundTripEstimator {
    domain: String,
    region: String,
    estimates: HashMap<String, DomainEstimate>,
}

#[derive(Debug)]
struct DomainEstimate {
    estimate: f64,
    /// The estimate that is in use.
    used: f64,
}

impl RoundTripEstimator {
    /// The book of an entry in `domain` of `region`.
    pub fn new(domain: &str, region: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            region: region.to_owned(),
            estimates: HashMap::new(),
        }
    }

    /// Round trip to `domain` of `region`, in milliseconds.
    pub fn trip(&self, domain: &str, region: &str) -> f64 {
        let estimates = self.estimates.get(domain);
        estimates.map_or_else(|| self.initial(domain, region), |trip| trip.used)
    }

    /// Opening a connection to `domain` of `region` took `millis`; the round trip in use
    /// from now on, where it changes.
    pub fn on_connected(&mut self, domain: &str, region: &str, millis: f64) -> Option<f64> {
        let initial = self.initial(domain, region);
        let trip = self
            .estimates
            .entry(domain.to_owned())
            .or_insert(DomainEstimate {
                estimate: initial,
                used: initial,
            });
        let most = trip.estimate.max(MIN_SAMPLE_MS) * MAX_SAMPLE_FACTOR;
        let sample = millis.clamp(MIN_SAMPLE_MS, most);
        let weight = if sample < trip.estimate {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        trip.estimate += weight * (sample - trip.estimate);
        if (trip.estimate - trip.used).abs() <= MIN_CHANGE * trip.used {
            return None;
        }
        trip.used = trip.estimate;
        Some(trip.used)
    }

    fn initial(&self, domain: &str, region: &str) -> f64 {
        if domain == self.domain {
            0.0
        } else if region == self.region {
            INITIAL_SAME_REGION_MS
        } else {
            INITIAL_OTHER_REGION_MS
        }
    }
}

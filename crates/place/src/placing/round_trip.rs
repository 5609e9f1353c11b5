//! Estimates of the round trip time to the servers of each failure domain.
//!
//! Learned from the time that opening a connection takes: one round trip, plus delays of a busy
//! network or server. The estimate therefore falls fast and rises slowly.

use std::collections::HashMap;

/// Initial round trip to another failure domain of the same region, in milliseconds: the
/// domains of a region are a few kilometres apart.
const INITIAL_SAME_REGION_MS: f64 = 3.0;
/// Initial round trip to another region, in milliseconds: the regions lie in one or two
/// countries.
const INITIAL_OTHER_REGION_MS: f64 = 72.0;
/// Weight of a sample below the estimate.
const FALL_WEIGHT: f64 = 0.3;
/// Weight of a sample above the estimate: most of these were delayed in a queue.
const RISE_WEIGHT: f64 = 0.02;
/// Samples are limited to this multiple of the estimate: a connection whose first packet was
/// lost takes a second, which says nothing about the round trip.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Minimum sample, in milliseconds, so that an estimate can rise from zero.
const MIN_SAMPLE_MS: f64 = 0.05;
/// Relative change from which on a new estimate is used.
const MIN_CHANGE: f64 = 0.1;

/// Round trip estimates of one entry, by failure domain.
#[derive(Debug, Default)]
pub struct RoundTripEstimator {
    domain: String,
    region: String,
    estimates: HashMap<String, DomainEstimate>,
}

#[derive(Debug)]
struct DomainEstimate {
    estimate: f64,
    /// The estimate in use.
    used: f64,
}

impl RoundTripEstimator {
    /// Creates the estimator of an entry in `domain` of `region`.
    pub fn new(domain: &str, region: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            region: region.to_owned(),
            estimates: HashMap::new(),
        }
    }

    /// Round trip to `domain` of `region`, in milliseconds.
    pub fn round_trip(&self, domain: &str, region: &str) -> f64 {
        let estimates = self.estimates.get(domain);
        estimates.map_or_else(|| self.initial(domain, region), |known| known.used)
    }

    /// Records that opening a connection to `domain` of `region` took `millis`. Returns the new
    /// round trip if the one in use changes.
    pub fn on_connected(&mut self, domain: &str, region: &str, millis: f64) -> Option<f64> {
        let initial = self.initial(domain, region);
        let domain_estimate = self
            .estimates
            .entry(domain.to_owned())
            .or_insert(DomainEstimate {
                estimate: initial,
                used: initial,
            });
        let max_sample = domain_estimate.estimate.max(MIN_SAMPLE_MS) * MAX_SAMPLE_FACTOR;
        let sample = millis.clamp(MIN_SAMPLE_MS, max_sample);
        let weight = if sample < domain_estimate.estimate {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        domain_estimate.estimate += weight * (sample - domain_estimate.estimate);
        if (domain_estimate.estimate - domain_estimate.used).abs()
            <= MIN_CHANGE * domain_estimate.used
        {
            return None;
        }
        domain_estimate.used = domain_estimate.estimate;
        Some(domain_estimate.used)
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

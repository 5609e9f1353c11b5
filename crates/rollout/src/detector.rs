//! Finds out from a stream of outcomes that bad ones have become more frequent.
//!
//! A cumulative sum of log-likelihood ratios, never below zero: what was good before doesn't
//! hide that a version turned bad later.

/// Sum at which a rate counts as risen, beside the logarithm of the number of outcomes: each
/// further one is another occasion for a false alarm, while few of them must do where few
/// requests come.
const ALARM_THRESHOLD: f64 = 4.5;

/// Which rates a detector tells apart.
#[derive(Debug, Clone, Copy)]
pub struct RateBounds {
    /// Rate of bad outcomes that is always accepted.
    pub acceptable: f64,
    /// Least rate that has to be found.
    pub unacceptable: f64,
    /// The accepted rate as a multiple of the usual one.
    pub acceptable_factor: f64,
    /// The sought rate as a multiple of the accepted one.
    pub unacceptable_factor: f64,
}

/// Failures: any server fails now and then, a bad version on a noticeable part of requests.
pub const FAILURE_BOUNDS: RateBounds = RateBounds {
    acceptable: 0.01,
    unacceptable: 0.12,
    acceptable_factor: 1.5,
    unacceptable_factor: 4.0,
};
/// Slow answers: queues and cold caches make some of any version's slow.
pub const DELAY_BOUNDS: RateBounds = RateBounds {
    acceptable: 0.05,
    unacceptable: 0.3,
    acceptable_factor: 1.5,
    unacceptable_factor: 3.5,
};
/// Rates beyond these can't be told from certainty.
const MAX_ACCEPTABLE: f64 = 0.6;
const MAX_UNACCEPTABLE: f64 = 0.95;

/// Whether the rate of bad outcomes is above the usual one.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateDetector {
    sum: f64,
    outcomes: f64,
}

impl RateDetector {
    /// Takes in `good` and `bad` outcomes where `baseline` is the rate of bad ones on the old
    /// version.
    pub fn on_outcomes(&mut self, bounds: &RateBounds, baseline: f64, good: u32, bad: u32) {
        let acceptable =
            (baseline * bounds.acceptable_factor).clamp(bounds.acceptable, MAX_ACCEPTABLE);
        let unacceptable =
            (acceptable * bounds.unacceptable_factor).clamp(bounds.unacceptable, MAX_UNACCEPTABLE);
        let good_weight = ((1.0 - unacceptable) / (1.0 - acceptable)).ln();
        let bad_weight = (unacceptable / acceptable).ln();
        self.outcomes += f64::from(good) + f64::from(bad);
        self.sum = (self.sum + f64::from(good) * good_weight).max(0.0);
        self.sum += f64::from(bad) * bad_weight;
    }

    /// Whether it is.
    pub fn has_alarm(&self) -> bool {
        self.sum >= ALARM_THRESHOLD + self.outcomes.max(1.0).ln()
    }
}

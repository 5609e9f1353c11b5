//! Detects an increased rate of bad outcomes in a stream of outcomes.
//!
//! Uses the CUSUM method: a cumulative sum of log-likelihood ratios that never falls below
//! zero, so that good outcomes early on don't hide a version that turns bad later.

/// Sum that raises an alarm, in addition to the logarithm of the number of outcomes. The
/// logarithm compensates for the false alarms that each further outcome may cause, and lets a
/// few outcomes suffice where a service has few requests.
const ALARM_THRESHOLD: f64 = 4.5;

/// The rates that a detector distinguishes.
#[derive(Debug, Clone, Copy)]
pub struct RateBounds {
    /// Minimum of the acceptable rate of bad outcomes.
    pub acceptable: f64,
    /// Minimum of the unacceptable rate.
    pub unacceptable: f64,
    /// The acceptable rate as a multiple of the baseline.
    pub acceptable_factor: f64,
    /// The unacceptable rate as a multiple of the acceptable one.
    pub unacceptable_factor: f64,
}

/// Bounds for failures: any server fails occasionally, a bad version on a noticeable fraction
/// of requests.
pub const FAILURE_BOUNDS: RateBounds = RateBounds {
    acceptable: 0.01,
    unacceptable: 0.12,
    acceptable_factor: 1.5,
    unacceptable_factor: 4.0,
};
/// Bounds for slow answers: queues and cold caches cause some for any version.
pub const DELAY_BOUNDS: RateBounds = RateBounds {
    acceptable: 0.05,
    unacceptable: 0.3,
    acceptable_factor: 1.5,
    unacceptable_factor: 3.5,
};
/// Upper limits of both rates, beyond which they can't be distinguished from certainty.
const MAX_ACCEPTABLE: f64 = 0.6;
const MAX_UNACCEPTABLE: f64 = 0.95;

/// Detects whether the rate of bad outcomes is above the baseline.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateDetector {
    sum: f64,
    outcomes: f64,
}

impl RateDetector {
    /// Adds outcomes; `baseline` is the rate of bad outcomes on the old version.
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

    /// Whether the rate is unacceptable.
    pub fn has_alarm(&self) -> bool {
        self.sum >= ALARM_THRESHOLD + self.outcomes.max(1.0).ln()
    }
}

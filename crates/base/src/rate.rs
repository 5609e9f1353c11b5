//! Smoothed estimates that lose weight with age.

use std::time::{Duration, Instant};

/// An exponentially weighted mean with a fixed gain per sample.
#[derive(Debug, Clone)]
pub struct SmoothMean {
    value: f64,
    gain: f64,
}

impl SmoothMean {
    /// Starts at `initial`; every sample moves the mean by `gain` (0 to 1) of the difference.
    pub fn new(initial: f64, gain: f64) -> Self {
        Self {
            value: initial,
            gain,
        }
    }

    /// Takes one sample in.
    pub fn record(&mut self, sample: f64) {
        self.value += self.gain * (sample - self.value);
    }

    /// The present mean.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// A value with the moment it was measured; trust in it halves every half-life.
#[derive(Debug, Clone, Copy)]
pub struct AgedValue {
    /// The measured value.
    pub value: f64,
    /// When it was measured.
    pub at: Instant,
}

impl AgedValue {
    /// A value measured at `at`.
    pub fn new(value: f64, at: Instant) -> Self {
        Self { value, at }
    }

    /// Trust between 0 and 1 that is left at `now`.
    pub fn trust(&self, now: Instant, half_life: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at);
        0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }
}

//! Moving averages and durations in milliseconds.

use std::time::Duration;

/// An exponential moving average.
#[derive(Debug, Clone, Copy)]
pub struct MovingAverage {
    value: f64,
    weight: f64,
}

impl MovingAverage {
    /// Creates an average of `value` that gives the newest sample the share `weight`.
    pub fn new(value: f64, weight: f64) -> Self {
        Self { value, weight }
    }

    /// The current average.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }

    /// Exponential decay: the share that is left after `age`, 37 % after `span`.
    pub fn decay(age: Duration, span: Duration) -> f64 {
        (-age.as_secs_f64() / span.as_secs_f64()).exp()
    }
}

/// Milliseconds of `duration`, with fractions.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

//! Moving averages of durations.

use std::time::Duration;

/// A moving average, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct MovingAverage {
    value: f64,
    weight: f64,
}

impl MovingAverage {
    /// Starts at `value` and gives the newest sample the share `weight`.
    pub fn new(value: f64, weight: f64) -> Self {
        Self { value, weight }
    }

    /// The average.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Takes in a sample.
    pub fn add(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }

    /// What is left of something after `age` if it falls to 37 % in `span`.
    pub fn decay(age: Duration, span: Duration) -> f64 {
        (-age.as_secs_f64() / span.as_secs_f64()).exp()
    }
}

/// Milliseconds of `duration`, with fractions.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

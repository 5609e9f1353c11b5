//! Smoothed estimates.

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

//! When a refused caller should come back.

use std::time::Duration;

use crate::request::{Refusal, RefusalReason};

/// Shortest and longest time after which a caller is asked to come back, in
/// seconds. Callers give a third of their time at most, usually about a second.
const RETRY_AFTER_RANGE: (f64, f64) = (0.15, 0.9);
/// Time to come back where nothing tells when room is expected, in seconds.
const DEFAULT_WAIT: f64 = 0.4;

/// Spreads returns, so that those refused together don't come back together.
#[derive(Debug)]
pub struct RetryAfterJitter {
    state: u64,
}

impl RetryAfterJitter {
    /// A spread that begins with `seed`.
    pub fn new(seed: u64) -> Self {
        Self { state: seed | 1 }
    }

    /// A refusal for `reason` where room is expected in `available_in` seconds.
    pub fn refusal(&mut self, reason: RefusalReason, available_in: Option<f64>) -> Refusal {
        let jitter = self.random_fraction();
        let (least, most) = RETRY_AFTER_RANGE;
        let wait = available_in.unwrap_or(DEFAULT_WAIT);
        let seconds = (wait + least * jitter).max(least) * (1.0 + jitter);
        Refusal {
            reason,
            retry_after: Duration::from_secs_f64(seconds.min(most)),
        }
    }

    /// Xorshift, 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 40) as f64 / (1u64 << 24) as f64
    }
}

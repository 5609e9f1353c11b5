//! Computes when a refused caller should resubmit its request.

use std::time::Duration;

use crate::request::{Refusal, RefusalReason};

/// Minimum and maximum delay before that, in seconds. Callers wait a third of their deadline at
/// most, usually about a second.
const RETRY_AFTER_RANGE: (f64, f64) = (0.15, 0.9);
/// Maximum delay if servers said when they take requests again, in seconds.
const MAX_STATED_DELAY: f64 = 3600.0;
/// Spread of these delays, as a share of the time that servers stated.
const STATED_SPREAD: f64 = 0.2;
/// Delay if it isn't known when capacity is expected, in seconds.
const DEFAULT_WAIT: f64 = 0.4;

/// Adds jitter to the delays, so that callers refused at the same time don't resubmit together.
#[derive(Debug)]
pub struct RetryAfterJitter {
    state: u64,
}

impl RetryAfterJitter {
    /// Creates a jitter generator from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { state: seed | 1 }
    }

    /// A refusal for `reason` if capacity is expected in `available_in` seconds.
    pub fn refusal(&mut self, reason: RefusalReason, available_in: Option<f64>) -> Refusal {
        let jitter = self.random_fraction();
        let (min_delay, max_delay) = RETRY_AFTER_RANGE;
        if let (RefusalReason::Limited | RefusalReason::Resting, Some(wait)) =
            (reason, available_in)
        {
            let seconds = wait + (min_delay + STATED_SPREAD * wait) * jitter;
            let retry_after = Duration::from_secs_f64(seconds.clamp(min_delay, MAX_STATED_DELAY));
            return Refusal {
                reason,
                retry_after,
            };
        }
        let wait = available_in.unwrap_or(DEFAULT_WAIT);
        let seconds = (wait + min_delay * jitter).max(min_delay) * (1.0 + jitter);
        Refusal {
            reason,
            retry_after: Duration::from_secs_f64(seconds.min(max_delay)),
        }
    }

    /// Xorshift generator, 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 40) as f64 / (1u64 << 24) as f64
    }
}

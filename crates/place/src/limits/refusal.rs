//! When a refused caller should come back.

use std::time::Duration;

use crate::request::{Refusal, RefusalReason};

/// Shortest and longest time after which a caller is asked to come back, in
/// seconds. Callers give a third of their time at most, usually about a second.
const RETURN_RANGE: (f64, f64) = (0.15, 0.9);
/// Time to come back where nothing tells when room is expected, in seconds.
const UNKNOWN_ROOM: f64 = 0.4;

/// Spreads returns, so that those refused together don't come back together.
#[derive(Debug)]
pub struct ReturnSpread {
    dice: u64,
}

impl ReturnSpread {
    /// A spread that begins with `seed`.
    pub fn new(seed: u64) -> Self {
        Self { dice: seed | 1 }
    }

    /// A refusal for `reason` where room is expected in `room_in` seconds.
    pub fn refusal(&mut self, reason: RefusalReason, room_in: Option<f64>) -> Refusal {
        let spread = self.roll();
        let (least, most) = RETURN_RANGE;
        let wait = room_in.unwrap_or(UNKNOWN_ROOM);
        let seconds = (wait + least * spread).max(least) * (1.0 + spread);
        Refusal {
            reason,
            retry_after: Duration::from_secs_f64(seconds.min(most)),
        }
    }

    /// Xorshift, 0 to 1.
    fn roll(&mut self) -> f64 {
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        (self.dice >> 40) as f64 / (1u64 << 24) as f64
    }
}

//! Stops opening connections ahead where it fails or where the connections remain unused.

use std::time::{Duration, Instant};

use crate::placing::timing::MovingAverage;

/// Pause after the first failure to open a connection; it doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(16);
/// Weight of the newest connection in the share of used ones.
const USED_WEIGHT: f64 = 0.02;
/// Below this share of connections that were used, no more are opened for a while.
const MIN_USED_SHARE: f64 = 0.3;
/// Length of that while.
const UNUSED_PAUSE: Duration = Duration::from_secs(20);

/// Failures in a row to open connections to a failure domain.
#[derive(Debug)]
pub(super) struct OpenFailures {
    pause: Duration,
    until: Instant,
}

impl OpenFailures {
    /// Records the first failure.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            pause: INITIAL_PAUSE,
            until: now + INITIAL_PAUSE,
        }
    }

    /// Records another failure. Those of attempts that ran at the same time count once.
    pub(super) fn add(&mut self, now: Instant) {
        if now < self.until {
            return;
        }
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.until = now + self.pause;
    }

    /// Whether no connection may be opened now.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        now < self.until
    }
}

/// The share of connections opened ahead that a request used.
#[derive(Debug)]
pub(super) struct UsedShare {
    share: MovingAverage,
    paused_until: Option<Instant>,
}

impl Default for UsedShare {
    fn default() -> Self {
        Self {
            share: MovingAverage::new(1.0, USED_WEIGHT),
            paused_until: None,
        }
    }
}

impl UsedShare {
    /// Records whether a request used a connection before it was closed.
    pub(super) fn add(&mut self, now: Instant, used: bool) {
        self.share.add(if used { 1.0 } else { 0.0 });
        if self.share.value() < MIN_USED_SHARE {
            self.paused_until = Some(now + UNUSED_PAUSE);
            // The next period is judged by its own connections.
            self.share = MovingAverage::new(1.0, USED_WEIGHT);
        }
    }

    /// Whether no connection may be opened now.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

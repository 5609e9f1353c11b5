//! Bounds how fast requests move to other regions, in both directions.
//!
//! The share that leaves the region may change by no more than the cap from one
//! window to the next. The cap here is well below the platform's: it is held by
//! each entry for itself, over few requests, and windows may begin anywhere.

use std::time::{Duration, Instant};

/// Part of the platform's cap that is used.
const USED_SHARE: f64 = 0.4;
/// A window in which a share is measured.
const WINDOW: Duration = Duration::from_secs(2);
/// Requests in a window below which its share says little.
const FEW: f64 = 8.0;

/// Measures the share of requests that run in other regions and bounds its change.
#[derive(Debug)]
pub struct ShiftLimiter {
    cap: f64,
    share: f64,
    since: Option<Instant>,
    all: f64,
    away: f64,
}

impl ShiftLimiter {
    /// Bounds the change of the share by `cap` a window.
    pub fn new(cap: f64) -> Self {
        Self {
            cap: cap * USED_SHARE,
            share: 0.0,
            since: None,
            all: 0.0,
            away: 0.0,
        }
    }

    /// Whether one more request may leave the region.
    pub fn may_leave(&mut self, now: Instant) -> bool {
        self.roll(now);
        let expected = self.all.max(FEW);
        self.away + 1.0 <= (self.share + self.cap) * expected + 0.5
    }

    /// A request was sent to this region (`away` false) or to another.
    pub fn on_sent(&mut self, now: Instant, away: bool) {
        self.roll(now);
        self.all += 1.0;
        if away {
            self.away += 1.0;
        }
    }

    fn roll(&mut self, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        if elapsed < WINDOW {
            return;
        }
        let measured = if self.all >= FEW {
            self.away / self.all
        } else {
            0.0
        };
        self.share = measured.min(self.share + self.cap);
        if elapsed >= 2 * WINDOW {
            self.share = 0.0;
        }
        self.all = 0.0;
        self.away = 0.0;
        self.since = Some(now);
    }
}

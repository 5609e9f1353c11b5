//! Bounds how fast requests move between regions, in both directions.
//!
//! The share that leaves the region may change by no more than the cap from one
//! window to the next. The cap here is below the platform's: each entry holds it
//! for itself, over few requests, and windows may begin anywhere. An entry that
//! has just begun has no share to keep, and may choose freely for one window.

use std::time::{Duration, Instant};

/// Part of the platform's cap that is used.
const USED_SHARE: f64 = 0.6;
/// A window in which a share is measured.
const WINDOW: Duration = Duration::from_secs(2);
/// Requests in a window below which its share says little.
const FEW: f64 = 8.0;

/// Where the next request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftDirection {
    /// Anywhere.
    Free,
    /// Not to another region.
    Stay,
    /// To another region if one has room: the share there may not fall faster.
    Leave,
}

/// Measures the share of requests that run in other regions and bounds its change.
#[derive(Debug)]
pub struct ShiftLimiter {
    cap: f64,
    share: Option<f64>,
    since: Option<Instant>,
    all: f64,
    away: f64,
}

impl ShiftLimiter {
    /// Bounds the change of the share by `cap` a window.
    pub fn new(cap: f64) -> Self {
        Self {
            cap: cap * USED_SHARE,
            share: None,
            since: None,
            all: 0.0,
            away: 0.0,
        }
    }

    /// Where the next request may go.
    pub fn direction(&mut self, now: Instant) -> ShiftDirection {
        self.roll(now);
        let Some(share) = self.share else {
            return ShiftDirection::Free;
        };
        if self.away + 1.0 > (share + self.cap) * self.all.max(FEW) + 0.5 {
            return ShiftDirection::Stay;
        }
        if self.away + 0.5 < (share - self.cap) * (self.all + 1.0) {
            return ShiftDirection::Leave;
        }
        ShiftDirection::Free
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
        if self.all >= FEW {
            self.share = Some(self.away / self.all);
        }
        self.all = 0.0;
        self.away = 0.0;
        self.since = Some(now);
    }
}

//! The store's own steady clock, as an entry can place it on its own.
//!
//! How fresh something is that was heard over others can't be told by its age when it was
//! sent: datagrams wait, in networks and at processes that stand still. So what the store
//! said is stamped with the store's own time, and each entry knows for itself how late that
//! clock can be at most.

use std::time::{Duration, Instant};

/// How far two steady clocks may drift apart, in parts of the time that passes.
const DRIFT: f64 = 0.000_2;
/// A stamp this far beyond the present is no word of the store's.
const MAX_AHEAD: Duration = Duration::from_millis(200);

base::common! {
    /// A time of the store's clock, in milliseconds; 0 stands for none.
    #[derive(Copy, Eq, Default, PartialOrd, Ord)]
    pub struct StoreTime(pub u64);
}

/// How late the store's clock can be.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    bound: Option<ClockBound>,
    /// When this entry stood still last, by its own clock.
    suspended_at: Option<Instant>,
}

/// At the own time `at` the store's clock had not passed `store`.
#[derive(Debug, Clone, Copy)]
struct ClockBound {
    at: Instant,
    store: StoreTime,
}

impl StoreTime {
    /// Whether it stands for a time.
    pub fn is_some(self) -> bool {
        self.0 > 0
    }

    fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl StoreClock {
    /// A call that began at `started` was answered with the store's time `store`, or with a
    /// time that the store's clock had not passed by then.
    pub fn on_answer(&mut self, started: Instant, store: StoreTime) {
        // How long a call took that this entry stood still in can't be told.
        let is_measured = self.suspended_at.is_none_or(|at| started > at);
        if !store.is_some() || !is_measured {
            return;
        }
        let bound = ClockBound { at: started, store };
        let is_tighter = self.latest(started).is_none_or(|latest| store <= latest);
        if is_tighter {
            self.bound = Some(bound);
        }
    }

    /// The store's time that its clock has not passed by `now`.
    pub fn latest(&self, now: Instant) -> Option<StoreTime> {
        let bound = self.bound?;
        let elapsed = now.saturating_duration_since(bound.at).mul_f64(1.0 + DRIFT);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        // Less than a millisecond may have been cut off.
        Some(StoreTime(
            bound.store.0.saturating_add(millis).saturating_add(1),
        ))
    }

    /// How long ago the store's time `stamp` can have been at most; `None` where that can't
    /// be told, or where `stamp` is no time that the store can have shown.
    pub fn age(&self, now: Instant, stamp: StoreTime) -> Option<Duration> {
        let latest = self.latest(now)?;
        let is_ahead = stamp.since(latest) > MAX_AHEAD;
        (stamp.is_some() && !is_ahead).then(|| latest.since(stamp))
    }

    /// This entry stood still for `span` before `now` without its clock moving.
    pub fn on_suspended(&mut self, now: Instant, span: Duration) {
        self.suspended_at = Some(now);
        if let Some(bound) = &mut self.bound {
            match bound.at.checked_sub(span) {
                Some(at) => bound.at = at,
                None => self.bound = None,
            }
        }
    }
}

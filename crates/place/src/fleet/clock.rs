//! Estimates the store's monotonic clock from its answers.
//!
//! The age that a message states doesn't show how fresh its content is: datagrams are delayed in
//! networks and at suspended processes. Data from the store is therefore stamped with the
//! store's own time, and each entry maintains its own upper bound of that clock.

use std::time::{Duration, Instant};

/// Maximum drift between two monotonic clocks, as a share of the elapsed time.
const DRIFT: f64 = 0.000_2;
/// A stamp further in the future than this didn't come from the store.
const MAX_AHEAD: Duration = Duration::from_millis(200);

base::common! {
    /// A time of the store's clock, in milliseconds; 0 means none.
    #[derive(Copy, Eq, Default, PartialOrd, Ord)]
    pub struct StoreTime(pub u64);
}

/// Upper bound of the store's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    bound: Option<ClockBound>,
    /// When this entry was last suspended, by its own clock.
    suspended_at: Option<Instant>,
}

/// At the local time `at` the store's clock showed at most `store`.
#[derive(Debug, Clone, Copy)]
struct ClockBound {
    at: Instant,
    store: StoreTime,
}

impl StoreTime {
    /// Returns whether it is a time at all.
    pub fn is_some(self) -> bool {
        self.0 > 0
    }

    fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl StoreClock {
    /// Handles the answer to a call that began at `started`: the store's clock showed at most
    /// `store` at that time, according to the store or to another entry.
    pub fn on_answer(&mut self, started: Instant, store: StoreTime) {
        // The duration of a call during which this entry was suspended is unknown.
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

    /// Handles the store's own answer, received at `now`, to a call that began at `started`. One
    /// that shows more than the bound allows proves the bound wrong: this entry's clock fell
    /// behind, or the store's was set ahead. The answer then takes its place, since otherwise no
    /// later time of the store would count.
    pub fn on_store_answer(&mut self, now: Instant, started: Instant, store: StoreTime) {
        if self.latest(now).is_some_and(|latest| store > latest) {
            self.bound = None;
        }
        self.on_answer(started, store);
    }

    /// Returns the upper bound of the store's clock at `now`.
    pub fn latest(&self, now: Instant) -> Option<StoreTime> {
        let bound = self.bound?;
        let elapsed = now.saturating_duration_since(bound.at).mul_f64(1.0 + DRIFT);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        // Rounds up, because a fraction of a millisecond may have been cut off.
        Some(StoreTime(
            bound.store.0.saturating_add(millis).saturating_add(1),
        ))
    }

    /// Returns the maximum age of the store's time `stamp`. `None` if there is no bound yet or
    /// the store can't have shown `stamp` yet.
    pub fn age(&self, now: Instant, stamp: StoreTime) -> Option<Duration> {
        let latest = self.latest(now)?;
        let is_ahead = stamp.since(latest) > MAX_AHEAD;
        (stamp.is_some() && !is_ahead).then(|| latest.since(stamp))
    }

    /// Handles that this entry was suspended for `span` before `now` while its clock stood
    /// still.
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

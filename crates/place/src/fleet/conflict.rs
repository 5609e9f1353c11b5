//! Detection of conflicting registry content: other entries that have read the store as
//! far hold different content.

use std::time::{Duration, Instant};

/// Time for which a difference is tolerated: entries remove a server that disappeared up
/// to this long after one another.
const SETTLING_TIME: Duration = Duration::from_millis(400);

/// Conflict state of an entry, from the first contradiction until there is none.
#[derive(Debug, Default)]
pub struct ContentConflict {
    since: Option<Instant>,
    refetched_at: Option<Instant>,
}

impl ContentConflict {
    /// Records whether another entry contradicts the local content; returns whether the
    /// conflict is new.
    pub fn on_check(&mut self, now: Instant, is_contradicted: bool) -> bool {
        let is_new = is_contradicted && self.since.is_none();
        self.since = is_contradicted.then(|| self.since.unwrap_or(now));
        is_new
    }

    /// Records that the registry is being refetched.
    pub fn on_refetch(&mut self, now: Instant) {
        self.refetched_at = Some(now);
    }

    /// Whether to refetch the registry now. At least `backoff` must have passed since the
    /// last refetch.
    pub fn is_due(&self, now: Instant, backoff: Duration) -> bool {
        let has_elapsed = |at: Instant, span| now.saturating_duration_since(at) >= span;
        let is_paused = self
            .refetched_at
            .is_some_and(|at| !has_elapsed(at, backoff));
        self.since.is_some_and(|at| has_elapsed(at, SETTLING_TIME)) && !is_paused
    }

    /// Returns when to check again while there is a conflict.
    pub fn due(&self) -> Option<Instant> {
        self.since.map(|at| at + SETTLING_TIME)
    }
}

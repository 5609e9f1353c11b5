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
    /// When contradictions last stopped, if there is none now.
    agreed_since: Option<Instant>,
    refetched_at: Option<Instant>,
}

impl ContentConflict {
    /// Records whether another entry contradicts the local content; returns whether the
    /// conflict is new. Contradictions that recur within [`SETTLING_TIME`] are one conflict
    /// unless the registry was refetched meanwhile: entries that disagree contradict others for
    /// a moment each time one of them is heard.
    pub fn on_check(&mut self, now: Instant, is_contradicted: bool) -> bool {
        let is_new = is_contradicted && self.since.is_none();
        if is_contradicted {
            self.since.get_or_insert(now);
            self.agreed_since = None;
        } else if let Some(since) = self.since {
            let agreed_since = *self.agreed_since.get_or_insert(now);
            let is_refetched = self.refetched_at.is_some_and(|at| at >= since);
            if is_refetched || now.saturating_duration_since(agreed_since) >= SETTLING_TIME {
                (self.since, self.agreed_since) = (None, None);
            }
        }
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
        let has_lasted = self.since.is_some_and(|at| has_elapsed(at, SETTLING_TIME));
        has_lasted && self.agreed_since.is_none() && !is_paused
    }

    /// Returns when to check again while there is a conflict.
    pub fn due(&self) -> Option<Instant> {
        self.agreed_since
            .or(self.since)
            .map(|at| at + SETTLING_TIME)
    }
}

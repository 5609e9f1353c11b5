//! Whether what an entry knows of the registry is in doubt: others that have read the store
//! as far know other things.

use std::time::{Duration, Instant};

/// Entries give up a server that vanished up to this long one after the other.
const SETTLING_TIME: Duration = Duration::from_millis(400);

/// The doubt of one entry, from the first contradiction until there is none.
#[derive(Debug, Default)]
pub struct ContentConflict {
    since: Option<Instant>,
    refetched_at: Option<Instant>,
}

impl ContentConflict {
    /// Takes in whether what is known is contradicted; whether that is news.
    pub fn on_check(&mut self, now: Instant, is_contradicted: bool) -> bool {
        let is_new = is_contradicted && self.since.is_none();
        self.since = is_contradicted.then(|| self.since.unwrap_or(now));
        is_new
    }

    /// Everything was asked for anew.
    pub fn on_refetch(&mut self, now: Instant) {
        self.refetched_at = Some(now);
    }

    /// Whether everything is to be asked for anew now, where that was not done for `backoff`.
    pub fn is_due(&self, now: Instant, backoff: Duration) -> bool {
        let has_elapsed = |at: Instant, span| now.saturating_duration_since(at) >= span;
        let is_backing_off = self
            .refetched_at
            .is_some_and(|at| !has_elapsed(at, backoff));
        self.since.is_some_and(|at| has_elapsed(at, SETTLING_TIME)) && !is_backing_off
    }

    /// When to look again, while there is doubt.
    pub fn due(&self) -> Option<Instant> {
        self.since.map(|at| at + SETTLING_TIME)
    }
}

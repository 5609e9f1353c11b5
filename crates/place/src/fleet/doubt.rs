//! Whether what an entry knows of the registry is in doubt: others that have read the store
//! as far know other things.

use std::time::{Duration, Instant};

/// Entries give up a server that vanished up to this long one after the other.
const SETTLED_AFTER: Duration = Duration::from_millis(400);

/// The doubt of one entry, from the first contradiction until there is none.
#[derive(Debug, Default)]
pub struct ContentDoubt {
    since: Option<Instant>,
    acted_at: Option<Instant>,
}

impl ContentDoubt {
    /// Takes in whether what is known is contradicted; whether that is news.
    pub fn on_review(&mut self, now: Instant, is_contradicted: bool) -> bool {
        let is_news = is_contradicted && self.since.is_none();
        self.since = is_contradicted.then(|| self.since.unwrap_or(now));
        is_news
    }

    /// Everything was asked for anew.
    pub fn on_acted(&mut self, now: Instant) {
        self.acted_at = Some(now);
    }

    /// Whether everything is to be asked for anew now, where that was not done for `pause`.
    pub fn is_due(&self, now: Instant, pause: Duration) -> bool {
        let is_over = |at: Instant, span| now.saturating_duration_since(at) >= span;
        let is_paused = self.acted_at.is_some_and(|at| !is_over(at, pause));
        self.since.is_some_and(|at| is_over(at, SETTLED_AFTER)) && !is_paused
    }

    /// When to look again, while there is doubt.
    pub fn due(&self) -> Option<Instant> {
        self.since.map(|at| at + SETTLED_AFTER)
    }
}

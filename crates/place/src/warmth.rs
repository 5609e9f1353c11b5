//! Which servers have handled which objects lately, as far as this entry knows.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A server is taken to hold an object for this long after it handled it.
const MEMORY: Duration = Duration::from_secs(20);
/// Pairs kept at most; 64 bytes each.
const PAIRS: usize = 16_384;
/// Likelihood that a server holds an object that it was seen to handle.
const SEEN: f64 = 0.95;
/// Likelihood by rank in the common order, for pairs not seen here: other
/// entries send the object there as well.
const BY_RANK: [f64; 3] = [0.75, 0.4, 0.2];
/// Likelihood for all other pairs.
const UNSEEN: f64 = 0.05;

/// What this entry saw of objects at servers.
#[derive(Debug, Default)]
pub struct WarmthMap {
    seen: HashMap<(u64, u64), Instant>,
}

impl WarmthMap {
    /// The server `server` handled `object`.
    pub fn on_handled(&mut self, now: Instant, server: u64, object: u64) {
        if self.seen.len() >= PAIRS {
            self.seen
                .retain(|_, at| now.saturating_duration_since(*at) < MEMORY);
        }
        if self.seen.len() < PAIRS {
            self.seen.insert((server, object), now);
        }
    }

    /// The server started anew or lost what it held.
    pub fn forget(&mut self, server: u64) {
        self.seen.retain(|(known, _), _| *known != server);
    }

    /// How likely `server`, at `rank` for `object`, holds it; 0 to 1.
    pub fn likelihood(&self, now: Instant, server: u64, object: u64, rank: usize) -> f64 {
        let recent = self
            .seen
            .get(&(server, object))
            .is_some_and(|at| now.saturating_duration_since(*at) < MEMORY);
        if recent {
            return SEEN;
        }
        BY_RANK.get(rank).copied().unwrap_or(UNSEEN)
    }
}

//! Keeps all entries together within the rate of a cold server.
//!
//! The rate is divided without communication: as many entries as the rate allows may use a
//! cold server, chosen by rendezvous hash among the live ones, and each sends it one request
//! per interval.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::rank::pair_weight;

/// Minimum interval between two requests of one entry to a cold server. It exceeds a second,
/// so that no one-second window contains two of them.
const MIN_INTERVAL: Duration = Duration::from_millis(1150);

/// The time of this entry's last request to each cold server.
#[derive(Debug, Default)]
pub struct ColdRateLimiter {
    last_sent: HashMap<u64, Instant>,
}

impl ColdRateLimiter {
    /// Whether this entry may send `server` a request now. `entries` are the hashes of all
    /// live entries, including `own`; `rate` is in requests per second.
    pub fn allows(&self, now: Instant, server: u64, own: u64, entries: &[u64], rate: f64) -> bool {
        let interval = MIN_INTERVAL;
        let allowed_entries = (rate * interval.as_secs_f64()).floor() as usize;
        if allowed_entries == 0 {
            return false;
        }
        let weight = pair_weight(server, own);
        let mut ranked_higher = entries
            .iter()
            .filter(|entry| **entry != own && pair_weight(server, **entry) > weight);
        if ranked_higher.nth(allowed_entries - 1).is_some() {
            return false;
        }
        self.last_sent
            .get(&server)
            .is_none_or(|at| now.saturating_duration_since(*at) >= interval)
    }

    /// Records that this entry sent a cold server a request.
    pub fn on_sent(&mut self, now: Instant, server: u64) {
        self.last_sent.insert(server, now);
        if self.last_sent.len() > 4096 {
            self.last_sent
                .retain(|_, at| now.saturating_duration_since(*at) < MIN_INTERVAL);
        }
    }
}

//! The time for which a server wants no requests of an entry.
//!
//! When the time is over, one request shows whether the server takes requests again, and the
//! others follow its answer. Entries come back at different times.

use std::time::{Duration, Instant};

use crate::rank::pair_weight;

/// Largest part of its rest by which an entry comes back later, so that entries that were turned
/// away together don't come back together.
const SPREAD: f64 = 0.2;
/// The same for long rests, after which a fleet of thousands of entries still comes back one by
/// one.
const MAX_SPREAD: Duration = Duration::from_secs(60);
/// Time for which other requests wait for the answer to the first one after a rest.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// A server's rest.
#[derive(Debug, Clone, Copy)]
pub struct ServerRest {
    /// From 0 to 1: how late within the spread this entry comes back to the server.
    lateness: f64,
    ends_at: Instant,
    /// When the latest request after the rest was sent.
    probed_at: Option<Instant>,
}

/// Whether a rest allows requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestVerdict {
    /// Not for this time.
    Resting(Duration),
    /// The first request after the rest has no answer yet; not for this time.
    Probing(Duration),
    /// One request.
    Probe,
}

impl ServerRest {
    /// Creates the rest of `span` that the run `run` asked the entry `own` for.
    pub fn new(now: Instant, run: u64, own: u64, span: Duration) -> Self {
        let lateness = (pair_weight(run, own) >> 11) as f64 / (1u64 << 53) as f64;
        let mut rest = Self {
            lateness,
            ends_at: now,
            probed_at: None,
        };
        rest.extend(now, span);
        rest
    }

    /// Handles that the server asked for a rest of `span` again. It never ends an earlier one.
    pub fn extend(&mut self, now: Instant, span: Duration) {
        let spread = span.mul_f64(SPREAD).min(MAX_SPREAD);
        let ends_at = now + span + spread.mul_f64(self.lateness);
        self.ends_at = self.ends_at.max(ends_at);
        self.probed_at = None;
    }

    /// Whether a request may be sent.
    pub fn verdict(&self, now: Instant) -> RestVerdict {
        if self.is_running(now) {
            return RestVerdict::Resting(self.ends_at - now);
        }
        let probe_ends = self.probed_at.map(|at| at + PROBE_TIME);
        match probe_ends {
            Some(ends) if now < ends => RestVerdict::Probing(ends - now),
            _ => RestVerdict::Probe,
        }
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Instant) {
        self.probed_at = Some(now);
    }

    /// Whether the time that the server asked for has not passed yet.
    pub fn is_running(&self, now: Instant) -> bool {
        now < self.ends_at
    }

    /// Whether the rest is over once the server has answered a request without asking for
    /// another one.
    pub fn ends_with_answer(&self, now: Instant) -> bool {
        !self.is_running(now)
    }
}

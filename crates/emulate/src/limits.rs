//! Counts the requests at servers that name rate limits.

use std::collections::{HashMap, VecDeque};

use crate::timeline::Micros;

/// Window in which the requests are counted.
const WINDOW_US: Micros = 4_000_000;
/// Time that entries have to come within a limit.
const SETTLE_US: Micros = 4_000_000;
/// Requests that a server tolerates in a window: this multiple of its limit, and some more.
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;

#[derive(Debug)]
struct LimitedServer {
    rate: f64,
    named_at: Micros,
    arrivals: VecDeque<Micros>,
}

/// The requests at servers with limits.
#[derive(Debug, Default)]
pub(crate) struct LimitCounts {
    servers: HashMap<usize, LimitedServer>,
    allowed: f64,
    used: usize,
    /// Largest number of requests in a window, as a multiple of what the server tolerates.
    pub(crate) overload: f64,
}

impl LimitCounts {
    /// Handles that `server` names a limit of `rate` requests per second, or none any more.
    pub(crate) fn on_limit(&mut self, now: Micros, server: usize, rate: Option<f64>) {
        if let Some(before) = self.servers.remove(&server) {
            let settled_us = now.saturating_sub(before.named_at + SETTLE_US);
            self.allowed += before.rate * settled_us as f64 / 1e6;
        }
        if let Some(rate) = rate {
            let limited = LimitedServer {
                rate,
                named_at: now,
                arrivals: VecDeque::new(),
            };
            self.servers.insert(server, limited);
        }
    }

    /// Handles a request that reaches `server`.
    pub(crate) fn on_arrived(&mut self, now: Micros, server: usize) {
        let Some(limited) = self.servers.get_mut(&server) else {
            return;
        };
        if now < limited.named_at + SETTLE_US {
            return;
        }
        self.used += 1;
        limited.arrivals.push_back(now);
        while limited
            .arrivals
            .front()
            .is_some_and(|first| first + WINDOW_US <= now)
        {
            limited.arrivals.pop_front();
        }
        let window = WINDOW_US as f64 / 1e6;
        let tolerated = TOLERANCE_FACTOR * limited.rate * window + TOLERANCE_REQUESTS;
        self.overload = self.overload.max(limited.arrivals.len() as f64 / tolerated);
    }

    /// Requests as a share of what the ended limits allowed.
    pub(crate) fn use_share(&self) -> f64 {
        self.used as f64 / self.allowed.max(1.0)
    }
}

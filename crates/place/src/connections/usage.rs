//! How often servers get requests from this entry.

use std::time::{Duration, Instant};

use crate::placing::timing::{MovingAverage, millis};

/// Time constant of request rates.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Minimum time over which a rate is computed, so that a few requests at the start don't look
/// like many.
const MIN_RATE_TIME: Duration = Duration::from_millis(500);

/// A rate of requests that adapts within a few seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestRate {
    started_at: Instant,
    at: Instant,
    count: f64,
}

impl RequestRate {
    /// Creates a rate without any requests so far.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            at: now,
            count: 0.0,
        }
    }

    /// Creates a rate of `per_second`.
    pub(super) fn with_rate(now: Instant, per_second: f64) -> Self {
        Self {
            started_at: now.checked_sub(RATE_WINDOW).unwrap_or(now),
            at: now,
            count: per_second * RATE_WINDOW.as_secs_f64(),
        }
    }

    /// Counts a request.
    pub(super) fn add(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
    }

    /// Requests per second.
    pub(super) fn per_second(&self, now: Instant) -> f64 {
        let known_for = now.saturating_duration_since(self.started_at);
        let time = known_for.clamp(MIN_RATE_TIME, RATE_WINDOW);
        self.decayed(now) / time.as_secs_f64()
    }

    /// Time of the latest request.
    pub(super) fn latest(&self) -> Instant {
        self.at
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * MovingAverage::decay(age, RATE_WINDOW)
    }
}

/// Use of the far servers of one service.
#[derive(Debug)]
pub(super) struct ServiceUsage {
    /// Requests to all far servers together.
    pub(super) rate: RequestRate,
    /// How long the servers keep idle connections open, once one of them has stated it.
    pub(super) keep_alive: Option<Duration>,
    /// Shortest objective of the routes that use the service, in milliseconds.
    pub(super) objective: f64,
}

impl ServiceUsage {
    /// Creates the usage of a service that gets its first request.
    pub(super) fn new(now: Instant, objective: Duration) -> Self {
        Self {
            rate: RequestRate::new(now),
            keep_alive: None,
            objective: millis(objective),
        }
    }
}

/// Use of one server.
#[derive(Debug)]
pub(super) struct ServerUsage {
    pub(super) rate: RequestRate,
}

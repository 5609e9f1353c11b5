//! How long requests may wait at a server where returning callers are recognized.

use crate::request::PlacementRequest;

/// Maximum number of requests at a server that may get a new one, as a multiple of its slots.
const NEW_LOAD_FACTOR: f64 = 2.4;
/// The same for returning requests: places in the queue that new requests can't take.
const RETURN_LOAD_FACTOR: f64 = 3.0;
/// Shares of returning requests that count as few and as many. Many return only where servers can't
/// keep up, and each that waits long makes a new request late.
pub const RETURN_SHARE_RANGE: (f64, f64) = (0.22, 0.34);
/// Initial limit on the expected response time of new requests, as a multiple of their objective.
const INITIAL_FACTOR: f64 = 1.5;
/// Range of this limit.
const FACTOR_RANGE: (f64, f64) = (0.8, 1.8);
/// Share of the requests near the limit that are to be answered in time.
const TARGET_SHARE: f64 = 0.6;
/// Requests from this share of the limit on count as near.
const NEAR_SHARE: f64 = 0.9;
/// Change of the limit for each answer.
const FACTOR_STEP: f64 = 0.03;

/// Maximum number of requests at a server that may get `request`, as a multiple of its slots.
pub fn max_load_factor(request: &PlacementRequest<'_>) -> f64 {
    if request.resubmitted {
        RETURN_LOAD_FACTOR
    } else {
        NEW_LOAD_FACTOR
    }
}

/// Longest expected response time for which a new request may queue, as a multiple of its
/// objective, learned from answers. Reports of other entries are older than the queues that they
/// describe, so that busy servers are often expected to be busier than they are, the more so the
/// more entries there are.
#[derive(Debug, Clone, Copy)]
pub struct WaitLimit {
    factor: f64,
}

impl Default for WaitLimit {
    fn default() -> Self {
        Self {
            factor: INITIAL_FACTOR,
        }
    }
}

impl WaitLimit {
    /// The limit.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Records whether a request that queued was answered `in_time` if `expected` was its
    /// expected response time. Requests near the limit move it to where the target share of them
    /// is in time.
    pub fn on_answer(&mut self, expected: f64, in_time: bool) {
        if expected > self.factor || expected < NEAR_SHARE * self.factor {
            return;
        }
        let change = if in_time {
            1.0 - TARGET_SHARE
        } else {
            -TARGET_SHARE
        };
        let (lowest, highest) = FACTOR_RANGE;
        self.factor = (self.factor + FACTOR_STEP * change).clamp(lowest, highest);
    }
}

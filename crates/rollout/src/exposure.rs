//! Limits a version to a share of all requests.
//!
//! Each entry enforces the share independently, so it holds for the whole fleet even if entries
//! are partitioned.

/// Maximum number of requests that an entry may send to the version at once after others went
/// elsewhere.
const BURST: f64 = 2.0;

/// An entry's allowance of requests for a version.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExposureLimiter {
    allowance: f64,
}

impl ExposureLimiter {
    /// Creates a limiter that admits `bonus` requests in addition to the share.
    pub fn new(bonus: f64) -> Self {
        Self { allowance: bonus }
    }

    /// Takes one request from the allowance after adding the `share` of this one. Returns
    /// whether the request may go to the version.
    pub fn try_take(&mut self, share: f64) -> bool {
        if self.allowance < BURST {
            self.allowance = (self.allowance + share).min(BURST);
        }
        // The tolerance compensates for rounding in sums of shares.
        let is_allowed = self.allowance >= 1.0 - 1e-9;
        if is_allowed {
            self.allowance -= 1.0;
        }
        is_allowed
    }

    /// Refunds a request that did not go to the version.
    pub fn refund(&mut self) {
        self.allowance += 1.0;
    }
}

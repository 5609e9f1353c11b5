//! Keeps the requests that a version gets to a share of all.
//!
//! Each entry keeps to the share by itself, so that all of them together do, cut off or not.

/// Requests of the version that an entry may send at once after others had none.
const BURST: f64 = 2.0;

/// An entry's allowance of requests for a version.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExposureLimiter {
    allowance: f64,
}

impl ExposureLimiter {
    /// A limiter that lets `bonus` requests pass beyond the share.
    pub fn new(bonus: f64) -> Self {
        Self { allowance: bonus }
    }

    /// Another request of the service came, of which `share` may go to the version; whether
    /// this one may.
    pub fn try_take(&mut self, share: f64) -> bool {
        if self.allowance < BURST {
            self.allowance = (self.allowance + share).min(BURST);
        }
        // Sums of shares fall short of whole numbers by rounding.
        let is_allowed = self.allowance >= 1.0 - 1e-9;
        if is_allowed {
            self.allowance -= 1.0;
        }
        is_allowed
    }

    /// The request didn't go to the version after all.
    pub fn refund(&mut self) {
        self.allowance += 1.0;
    }
}

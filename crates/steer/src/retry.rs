//! A bound on retries as a share of first tries.

/// Most retries that may be saved up.
const MAX_SAVED: f64 = 10.0;

/// Earns a part of a retry with every first try and spends one per retry, so that
/// retries never exceed the share, however much fails.
///
/// ```
/// let mut budget = steer::RetryBudget::new(0.5);
/// budget.first_try();
/// assert!(!budget.try_retry());
/// budget.first_try();
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Allows `share` retries per first try.
    pub fn new(share: f64) -> Self {
        Self { share, saved: 0.0 }
    }

    /// Changes the share; what has been saved stays.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget; `false` where none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

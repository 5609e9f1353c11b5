//! Faults that excuse an entry or the store.

use crate::config::STABLE_WINDOW;
use crate::history::millis;

/// Current faults of an entry or of the store.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct FaultState {
    pub(crate) active_faults: u32,
    fault_free_since: u64,
}

impl FaultState {
    pub(crate) fn begin(&mut self) {
        self.active_faults += 1;
    }

    pub(crate) fn end(&mut self, at: u64) {
        self.active_faults = self.active_faults.saturating_sub(1);
        self.fault_free_since = at;
    }

    /// Whether at `at` there has been no fault for [`STABLE_WINDOW`].
    pub(crate) fn is_stable(&self, at: u64) -> bool {
        self.active_faults == 0 && at >= self.stable_since()
    }

    /// When there had been no fault for [`STABLE_WINDOW`] since the last one.
    pub(crate) fn stable_since(&self) -> u64 {
        self.fault_free_since + millis(STABLE_WINDOW)
    }
}

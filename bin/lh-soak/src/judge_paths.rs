//! Checks that callers of entries without a path to the backend servers are served.
//!
//! - **Path.** While some entries can reach no server, and have had no other fault, callers'
//!   requests there are served at least two thirds as often as at entries without faults, or no more
//!   than [`ALLOWED_FAILURES`] and one in [`ALLOWED_FAILURE_DIVISOR`] of them fail. This holds
//!   from [`STABLE_WINDOW`](crate::config::STABLE_WINDOW) after the fault began.

use std::collections::HashMap;

use crate::config::STABLE_WINDOW;
use crate::history::millis;
use crate::served_count::ServedCount;

/// Requests that may fail whatever their number.
const ALLOWED_FAILURES: usize = 10;
/// One in this many may fail in addition.
const ALLOWED_FAILURE_DIVISOR: usize = 50;
/// Smallest share of the others' success that counts as served as well.
const MIN_RELATIVE_SUCCESS: f64 = 2.0 / 3.0;

/// Counts the requests at entries with and without a path.
#[derive(Debug, Default)]
pub(crate) struct PathJudge {
    /// When each entry lost its path.
    separated_at: HashMap<usize, u64>,
    separated: ServedCount,
    others: ServedCount,
}

impl PathJudge {
    /// Handles that the entry lost its path.
    pub(crate) fn on_separated(&mut self, at: u64, entry: usize) {
        self.separated_at.insert(entry, at);
    }

    /// Handles that a fault of the entry ended. Faults that overlap end the count too.
    pub(crate) fn on_calm(&mut self, entry: usize) {
        self.separated_at.remove(&entry);
    }

    /// Handles the answer to a request at an entry with `active_faults` faults, which is stable if
    /// it had none for a while.
    pub(crate) fn on_answered(
        &mut self,
        at: u64,
        entry: usize,
        is_served: bool,
        (active_faults, is_stable): (u32, bool),
    ) {
        if self.separated_at.is_empty() {
            return;
        }
        match self.separated_at.get(&entry) {
            Some(since) if active_faults == 1 && at >= since + millis(STABLE_WINDOW) => {
                self.separated.add(is_served);
            }
            None if is_stable => self.others.add(is_served),
            _ => {}
        }
    }

    /// Returns the violation, if there is one.
    pub(crate) fn violation(&self) -> Option<String> {
        let (separated, others) = (self.separated, self.others);
        let failed = separated.requests - separated.served;
        let allowed = ALLOWED_FAILURES + separated.requests / ALLOWED_FAILURE_DIVISOR;
        let is_worse = separated.share() < MIN_RELATIVE_SUCCESS * others.share();
        (failed > allowed && is_worse).then(|| {
            format!(
                "path: {} of {} requests served at entries without a path, {} of {} at others",
                separated.served, separated.requests, others.served, others.requests
            )
        })
    }
}

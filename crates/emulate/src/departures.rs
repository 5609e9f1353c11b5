//! Counts the requests at servers that had told the sender that they leave.

use std::collections::HashMap;

use crate::timeline::Micros;

/// Time after which an entry must not use a server that told it that it leaves.
const DRAIN_US: Micros = 2_500_000;

/// What leaving servers have told entries.
#[derive(Debug, Default)]
pub(crate) struct DepartureCounts {
    /// When the entry first got an answer that says so, by entry and server.
    told_at: HashMap<(usize, usize), Micros>,
    /// Requests later than the drain time after that.
    pub(crate) late: u32,
}

impl DepartureCounts {
    /// Handles that `server` told `entry` that it is leaving.
    pub(crate) fn on_told(&mut self, now: Micros, entry: usize, server: usize) {
        self.told_at.entry((entry, server)).or_insert(now);
    }

    /// Handles a request that `entry` sends to `server`.
    pub(crate) fn on_sent(&mut self, now: Micros, entry: usize, server: usize) {
        let told_at = self.told_at.get(&(entry, server));
        self.late += u32::from(told_at.is_some_and(|at| now > at + DRAIN_US));
    }
}

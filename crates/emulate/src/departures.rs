//! Counts the requests at servers whose responses to the sender said that they leave.

use std::collections::HashMap;

use crate::timeline::Micros;

/// Time after which an entry must not use a server that said in a response that it leaves.
const DRAIN_US: Micros = 2_500_000;

/// What entries know of leaving servers from responses.
#[derive(Debug, Default)]
pub(crate) struct DepartureCounts {
    /// When the entry first got an answer that says so, by entry and server.
    known_at: HashMap<(usize, usize), Micros>,
    /// Requests later than the drain time after that.
    pub(crate) late: u32,
}

impl DepartureCounts {
    /// Handles a response of `server` to `entry` that says that it is leaving.
    pub(crate) fn on_leaving_response(&mut self, now: Micros, entry: usize, server: usize) {
        self.known_at.entry((entry, server)).or_insert(now);
    }

    /// Handles a request that `entry` sends to `server`.
    pub(crate) fn on_sent(&mut self, now: Micros, entry: usize, server: usize) {
        let known_at = self.known_at.get(&(entry, server));
        self.late += u32::from(known_at.is_some_and(|at| now > at + DRAIN_US));
    }
}

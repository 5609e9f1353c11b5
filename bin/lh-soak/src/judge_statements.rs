//! Checks that entries act on what servers say in their responses about leaving.

use std::collections::HashMap;

use crate::history::Statement;

/// Follows the statements of servers from their responses to the callers.
#[derive(Debug, Default)]
pub(crate) struct StatementJudge {
    /// When each run of an entry first passed on a response of a server that says that it leaves.
    leaving_known_at: HashMap<(usize, u32, String), u64>,
    /// Statements in the responses to requests that callers still wait for.
    pending: HashMap<String, Vec<(String, Statement)>>,
}

impl StatementJudge {
    /// Handles that `server` makes a statement in the response to `request`.
    pub(crate) fn on_stated(&mut self, server: &str, request: &str, statement: Statement) {
        let pending = self.pending.entry(request.to_owned()).or_default();
        pending.push((server.to_owned(), statement));
    }

    /// Returns the statements in the responses to `request`, which the caller no longer waits for.
    pub(crate) fn take(&mut self, request: &str) -> Vec<(String, Statement)> {
        self.pending.remove(request).unwrap_or_default()
    }

    /// Handles that the run `run` of `entry` passed on that `server` leaves.
    pub(crate) fn on_leaving_known(&mut self, at: u64, (entry, run): (usize, u32), server: String) {
        let key = (entry, run, server);
        self.leaving_known_at.entry(key).or_insert(at);
    }

    /// Excuses `entry`, which was suspended.
    pub(crate) fn excuse(&mut self, entry: Option<usize>) {
        self.leaving_known_at
            .retain(|(frozen, _, _), _| Some(*frozen) != entry);
    }

    /// Checks a request from the run `run` of `entry`, which may reach `server` for `bound_ms` after
    /// the entry knows that it leaves. Returns a violation.
    pub(crate) fn check(
        &self,
        at: u64,
        (entry, run): (usize, u32),
        server: &str,
        bound_ms: u64,
    ) -> Option<String> {
        let known_at = self
            .leaving_known_at
            .get(&(entry, run, server.to_owned()))?;
        (at > known_at + bound_ms).then(|| {
            format!(
                "leaving: {server} got a request at {at} ms from entry {entry}, which had passed on \
                 at {known_at} ms that it leaves"
            )
        })
    }
}

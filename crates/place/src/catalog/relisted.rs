//! Servers that are listed again although they had left.
//!
//! The registry lists a departed server again if it applies a heartbeat late, or comes back from
//! an older copy. That heartbeat may be one that no entry has read, if the departure was read
//! after a gap or in an earlier history of the registry; its sequence number then doesn't show
//! that the server is alive. Only a row that outlasts a late heartbeat belongs to a live server.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use crate::server::ServerEntry;

/// Time after which a row that no server renews has expired, including the delay until the
/// readers learn of it. Servers write every 1.5 s, and rows expire after three times that.
const ROW_LIFETIME: Duration = Duration::from_millis(6000);
/// Longest interval between two reads in which a row can't have disappeared unnoticed, nor have
/// been kept by an outage of the registry for longer than it lives.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(1400);

/// A row of a departed server.
#[derive(Debug)]
struct RelistedRow {
    entry: ServerEntry,
    listed_since: Instant,
}

/// The listed rows of departed servers.
#[derive(Debug, Default)]
pub(super) struct RelistedRows {
    by_id: BTreeMap<String, RelistedRow>,
    /// Start of the newest read, of this entry or of another that knows the same.
    read_at: Option<Instant>,
    /// Since when the registry has been read at short intervals.
    read_since: Option<Instant>,
}

impl RelistedRows {
    /// Records that a read began at `read_at`.
    pub(super) fn on_read(&mut self, read_at: Instant) {
        if self.read_at.is_some_and(|at| read_at <= at) {
            return;
        }
        let is_continued = |at| read_at - at < MAX_READ_INTERVAL;
        if !self.read_at.is_some_and(is_continued) {
            self.read_since = Some(read_at);
        }
        self.read_at = Some(read_at);
    }

    /// Records that the registry came back from an older copy: rows that expired may be listed.
    pub(super) fn on_restored(&mut self, now: Instant) {
        self.read_since = Some(now);
    }

    /// Records at `now` that `entry` is listed as of `read_at`. Returns whether it has been
    /// listed for long enough to belong to a live server.
    pub(super) fn on_listed(
        &mut self,
        now: Instant,
        read_at: Instant,
        entry: &ServerEntry,
    ) -> bool {
        let row = self.by_id.entry(entry.id.clone());
        let row = row.or_insert_with(|| RelistedRow {
            entry: entry.clone(),
            listed_since: now,
        });
        row.entry.clone_from(entry);
        row.is_proven(read_at, self.read_since)
    }

    /// Returns the entries that a confirmation as of `read_at` proves to belong to live servers.
    pub(super) fn proven(&self, read_at: Instant) -> Vec<ServerEntry> {
        let rows = self.by_id.values();
        let proven = rows.filter(|row| row.is_proven(read_at, self.read_since));
        proven.map(|row| row.entry.clone()).collect()
    }

    /// Removes the row of the server `id`.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Removes the rows of servers that are not in `listed`.
    pub(super) fn retain_listed(&mut self, listed: &HashSet<&str>) {
        self.by_id.retain(|id, _| listed.contains(id.as_str()));
    }
}

impl RelistedRow {
    fn is_proven(&self, read_at: Instant, read_since: Option<Instant>) -> bool {
        let since = read_since.map_or(self.listed_since, |at| at.max(self.listed_since));
        read_at.saturating_duration_since(since) >= ROW_LIFETIME
    }
}

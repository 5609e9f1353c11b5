//! Decides whether a missing row may only have lapsed during a registry outage.

use std::time::{Duration, Instant};

/// Live servers register again within about 2 s after the registry recovers; this adds a
/// margin.
const RELIST_TIME: Duration = Duration::from_millis(2400);
/// Part of the drain time that is reserved for informing all entries that a server did not
/// register again.
const RELIST_MARGIN: Duration = Duration::from_millis(600);
/// The registry is assumed to have recovered at most this long before its first answer: half
/// the interval between two attempts.
const MAX_RETURN_OFFSET: Duration = Duration::from_millis(400);
/// While another entry's snapshot is no older than this, the registry works although it
/// doesn't answer this entry. An outage this short makes no row lapse.
const PEER_SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(1500);

/// Rows lapse after several heartbeats, so a row that disappears after a shorter time without a
/// read did not lapse.
pub(super) const MIN_LAPSE_TIME: Duration = Duration::from_millis(1500);

/// A row that is missing from the registry.
#[derive(Debug, Clone, Copy)]
pub(super) struct VanishedRow {
    /// As of when it was last listed.
    pub(super) listed_at: Instant,
    /// When a snapshot first lacked it.
    pub(super) missing_since: Instant,
}

/// Registry outages, as seen by this entry and others.
#[derive(Debug)]
pub(super) struct RegistryOutage {
    /// When the registry last failed to answer, until it answers again.
    failed_at: Option<Instant>,
    /// When all live servers are listed again after the last outage.
    settled_at: Option<Instant>,
    /// Start of the newest snapshot that another entry reported.
    peer_read_at: Option<Instant>,
    /// Time after the registry's recovery until all live servers are listed again.
    relist_time: Duration,
}

impl RegistryOutage {
    /// Limits the relist time, so that draining servers are removed within `drain_time`.
    pub(super) fn set_drain(&mut self, drain_time: Duration) {
        self.relist_time = RELIST_TIME.min(drain_time.saturating_sub(RELIST_MARGIN));
    }

    /// Records that the registry did not answer a read. If it answers other entries, no row
    /// has lapsed: a lead that waited for lapsed rows kept a server that had left.
    pub(super) fn on_failed(&mut self, now: Instant) {
        let is_answered = |at| now.saturating_duration_since(at) < PEER_SNAPSHOT_MAX_AGE;
        if self.peer_read_at.is_some_and(is_answered) {
            return;
        }
        self.failed_at = Some(now);
        self.settled_at = None;
    }

    /// Records that the registry lost rows that it had acknowledged.
    pub(super) fn on_restored(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.settled_at = None;
    }

    /// Records that the registry answered a read. Returns whether rows that are missing now are
    /// gone.
    pub(super) fn on_answered(&mut self, now: Instant) -> bool {
        if let Some(failed_at) = self.failed_at.take() {
            self.settled_at = Some(self.settle_time(failed_at, now));
        }
        self.settled_at.is_none_or(|at| now >= at)
    }

    /// Records that another entry reported a snapshot as of `started_at`. This ends an outage
    /// that only this entry saw: without it, a lead that read again after 12 s kept a server
    /// that had left for 3.5 s.
    pub(super) fn on_peer_snapshot(&mut self, started_at: Instant) {
        self.peer_read_at = self.peer_read_at.max(Some(started_at));
        if let Some(failed_at) = self.failed_at.filter(|failed_at| *failed_at <= started_at) {
            self.failed_at = None;
            self.settled_at = Some(self.settle_time(failed_at, started_at));
        }
    }

    /// When rows that are still missing are removed after an outage.
    pub(super) fn settled_at(&self) -> Option<Instant> {
        self.settled_at
    }

    /// When a snapshot that still lacks `row` proves that the server is gone, whatever fails
    /// meanwhile. Without this bound each failed call restarted the wait, and a row that had
    /// been dropped for good was kept for as long as calls failed occasionally.
    pub(super) fn removal_time(&self, row: VanishedRow) -> Instant {
        let unread_time = row.missing_since.saturating_duration_since(row.listed_at);
        if unread_time < MIN_LAPSE_TIME {
            row.listed_at + self.relist_time
        } else {
            row.missing_since + self.relist_time
        }
    }

    /// When all live servers are listed again, if the registry recovered between a failed call
    /// and an answered one.
    fn settle_time(&self, failed_at: Instant, answered_at: Instant) -> Instant {
        let gap = answered_at.saturating_duration_since(failed_at);
        answered_at - (gap / 2).min(MAX_RETURN_OFFSET) + self.relist_time
    }
}

impl Default for RegistryOutage {
    fn default() -> Self {
        Self {
            failed_at: None,
            settled_at: None,
            peer_read_at: None,
            relist_time: RELIST_TIME,
        }
    }
}

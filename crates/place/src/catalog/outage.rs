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

/// Shortest time without an answer in which rows may lapse: longer than the interval between two
/// reads.
const MIN_OUTAGE_TIME: Duration = Duration::from_millis(1200);
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

/// Registry outages. The registry is out if it answers nobody: an entry that it refuses, or whose
/// way to it is disturbed, learns of the reads of others.
#[derive(Debug)]
pub(super) struct RegistryOutage {
    /// Start of the newest read that the registry answered, to this entry or another.
    answered_at: Option<Instant>,
    /// When a read failed after that, most recently.
    failed_at: Option<Instant>,
    /// When all live servers are listed again after the last outage.
    settled_at: Option<Instant>,
    /// When the registry was last found to have lost rows.
    restored_at: Option<Instant>,
    /// Time after the registry's recovery until all live servers are listed again.
    relist_time: Duration,
}

impl RegistryOutage {
    /// Limits the relist time, so that draining servers are removed within `drain_time`.
    pub(super) fn set_drain(&mut self, drain_time: Duration) {
        self.relist_time = RELIST_TIME.min(drain_time.saturating_sub(RELIST_MARGIN));
    }

    /// Records that the registry did not answer a read.
    pub(super) fn on_failed(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Records that the registry lost rows that it had acknowledged, which live servers write
    /// again.
    pub(super) fn on_restored(&mut self, now: Instant) {
        self.settled_at = self.settled_at.max(Some(now + self.relist_time));
        self.restored_at = Some(now);
    }

    /// Records that the registry answered a read that began at `started_at`, to this entry or
    /// another. It was out if calls failed and nobody else's were answered meanwhile.
    pub(super) fn on_answered(&mut self, started_at: Instant) {
        if self.answered_at.is_some_and(|at| started_at <= at) {
            return;
        }
        let failed_at = self.failed_at.filter(|failed_at| *failed_at <= started_at);
        if let Some(failed_at) = failed_at {
            self.failed_at = None;
            let unanswered = self.answered_at.map(|at| started_at - at);
            if unanswered.is_none_or(|time| time >= MIN_OUTAGE_TIME) {
                let settled_at = self.settle_time(failed_at, started_at);
                self.settled_at = self.settled_at.max(Some(settled_at));
            }
        }
        self.answered_at = Some(started_at);
    }

    /// Whether rows that are missing from a read that began at `read_at` are gone.
    pub(super) fn is_settled(&self, read_at: Instant) -> bool {
        self.settled_at.is_none_or(|at| read_at >= at)
    }

    /// When the registry was last found to have lost rows.
    pub(super) fn restored_at(&self) -> Option<Instant> {
        self.restored_at
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
            answered_at: None,
            failed_at: None,
            settled_at: None,
            restored_at: None,
            relist_time: RELIST_TIME,
        }
    }
}

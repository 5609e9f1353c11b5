//! Whether a row that vanished may only have lapsed while the registry was in trouble.

use std::time::{Duration, Instant};

/// After the registry's return, live servers are listed again within about 2 s; they are
/// waited for a little longer.
const RELIST_TIME: Duration = Duration::from_millis(2400);
/// What is left of the time in which a leaving server must get no more requests, so that all
/// entries hear in time that one isn't back.
const RELIST_MARGIN: Duration = Duration::from_millis(600);
/// The registry is taken to have returned this long before its first answer at most: half
/// the time between two tries.
const MAX_RETURN_OFFSET: Duration = Duration::from_millis(400);
/// While another entry's reading is no older than this, the registry is there, though it
/// doesn't answer this entry. An outage this short makes no entry lapse.
const PEER_SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(1500);

/// Rows lapse after several heartbeats: a time without a reading that is shorter than this is
/// no reason for a row to vanish.
const MIN_LAPSE_TIME: Duration = Duration::from_millis(1500);

/// A row that vanished.
#[derive(Debug, Clone, Copy)]
pub(super) struct VanishedRow {
    /// As of when it was listed last.
    pub(super) listed_at: Instant,
    /// When a reading lacked it first.
    pub(super) missing_since: Instant,
}

/// When the registry was in trouble, as this entry and others have met it.
#[derive(Debug)]
pub(super) struct RegistryOutage {
    /// When the registry failed to answer last, until it does again.
    failed_at: Option<Instant>,
    /// When live servers are listed again after the last trouble.
    settled_at: Option<Instant>,
    /// As of when another entry's reading was told last.
    peer_read_at: Option<Instant>,
    /// Time after the registry's return in which live servers are listed again.
    relist_time: Duration,
}

impl RegistryOutage {
    /// The time within which a leaving server must get no more requests is `drain_time`.
    pub(super) fn set_drain(&mut self, drain_time: Duration) {
        self.relist_time = RELIST_TIME.min(drain_time.saturating_sub(RELIST_MARGIN));
    }

    /// The registry did not answer a reading. Where it answers others nothing has lapsed: a
    /// lead that waited for what may have lapsed kept a server that had left.
    pub(super) fn on_failed(&mut self, now: Instant) {
        let is_answered = |at| now.saturating_duration_since(at) < PEER_SNAPSHOT_MAX_AGE;
        if self.peer_read_at.is_some_and(is_answered) {
            return;
        }
        self.failed_at = Some(now);
        self.settled_at = None;
    }

    /// The registry answered a reading; whether rows that are missing now are gone.
    pub(super) fn on_answered(&mut self, now: Instant) -> bool {
        if let Some(failed_at) = self.failed_at.take() {
            self.settled_at = Some(self.settle_time(failed_at, now));
        }
        self.settled_at.is_none_or(|at| now >= at)
    }

    /// Another entry's reading as of `begun` was told. It ends a disturbance that only this
    /// entry has met: without that, a lead that read again after 12 s kept a server that had
    /// left for 3.5 s.
    pub(super) fn on_peer_snapshot(&mut self, begun: Instant) {
        self.peer_read_at = self.peer_read_at.max(Some(begun));
        if let Some(failed_at) = self.failed_at.filter(|failed_at| *failed_at <= begun) {
            self.failed_at = None;
            self.settled_at = Some(self.settle_time(failed_at, begun));
        }
    }

    /// When rows that are still missing are gone, where there was trouble.
    pub(super) fn settled_at(&self) -> Option<Instant> {
        self.settled_at
    }

    /// When a reading that still lacks `row` shows that it is gone, whatever fails meanwhile.
    /// Without such a bound each call that failed began the wait anew, and a row that had been
    /// dropped for good was kept for as long as calls failed now and then.
    pub(super) fn removal_time(&self, row: VanishedRow) -> Instant {
        let unread = row.missing_since.saturating_duration_since(row.listed_at);
        if unread < MIN_LAPSE_TIME {
            row.listed_at + self.relist_time
        } else {
            row.missing_since + self.relist_time
        }
    }

    /// When all live servers are listed again, where the registry returned at some time
    /// between a call that failed and one that it answered.
    fn settle_time(&self, failed_at: Instant, answered_at: Instant) -> Instant {
        let between = answered_at.saturating_duration_since(failed_at);
        answered_at - (between / 2).min(MAX_RETURN_OFFSET) + self.relist_time
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

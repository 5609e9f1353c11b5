//! Decides when an entry reads the registry from the store itself.

use std::time::{Duration, Instant};

use crate::fleet::read_intervals::ReadIntervals;

/// First delay after a failed read, so that a failing store isn't overloaded.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum delay. It must be short enough to notice a recovered store in time to distinguish
/// servers that left from servers that haven't registered again yet.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Share of the reader's interval after which it reads again when something changed: many
/// servers that change in sequence are then read in a few calls.
const CHANGE_INTERVAL_SHARE: f64 = 0.33;
/// Entries without traffic and without a reachable lead read this much later than others,
/// spread over it, so that a new lead can be found in the meantime.
const STANDBY_SPREAD: Duration = Duration::from_millis(500);
/// A read that takes this much longer than the allowed wait counts as failed for the election
/// of leads, although its answer may still arrive: others don't wait that long.
const OVERDUE_AFTER: Duration = Duration::from_millis(600);

/// Result of a read of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The registry has changed.
    Changed,
    /// The registry has not changed.
    Unchanged,
    /// The store didn't answer.
    Failed,
}

/// A call to the store that reads the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistryRead {
    /// How long the store may delay its answer until something changes.
    pub wait: Duration,
    /// Whether to read all rows, whatever is known already.
    pub whole: bool,
    /// Whether to continue from what leads sent, if that is newer than the last read. A lead
    /// continues from its own reads, or reads all rows, because others rely on it: several senders
    /// may have given up or kept a vanished row at different times.
    pub resumes: bool,
}

/// Returns the time as of which the store's answer is valid. The call began at `started_at`, the
/// answer arrived at `now`, and the store could delay it for `wait` until there was a change.
/// Only an answer without a change proves that the whole wait passed at the store: an answer
/// with a change that took as long was delayed on its way, or this entry read it late.
pub fn answer_as_of(started_at: Instant, wait: Duration, now: Instant, has_news: bool) -> Instant {
    let waited = !has_news && now.saturating_duration_since(started_at) >= wait;
    if waited {
        started_at + wait
    } else {
        started_at
    }
}

/// The role of an entry when it decides whether to read the store.
#[derive(Debug, Clone, Copy)]
pub enum ReadRole {
    /// Reads for its region.
    Reader,
    /// Reads if the reader doesn't.
    Deputy,
    /// Receives the digests of a lead.
    Follower {
        /// Whether it is a substitute for a lead.
        substitute: bool,
        /// Whether leads have newer knowledge and none has sent it for too long.
        stuck: bool,
    },
    /// Receives digests of no lead.
    Alone {
        /// Whether callers are sent to it.
        used: bool,
        /// When it first reads if it knows nothing.
        first: Instant,
    },
}

/// Schedules an entry's reads of the registry.
#[derive(Debug)]
pub struct ReadScheduler {
    intervals: ReadIntervals,
    /// From 0 to 1, derived from the hash of the entry's name.
    jitter: f64,
    started_at: Option<Instant>,
    /// When a reader reads next.
    next: Option<Instant>,
    last_success_at: Option<Instant>,
    /// When the last successful read began.
    last_answered_start: Option<Instant>,
    overdue_at: Instant,
    is_reading: bool,
    backoff: Duration,
    retry_at: Option<Instant>,
    /// When servers that are missing from the registry will count as gone.
    next_removal_at: Option<Instant>,
}

impl ReadScheduler {
    /// Creates the scheduler of an entry with the name hash `hash` that starts at `now`.
    pub fn new(now: Instant, intervals: ReadIntervals, hash: u64) -> Self {
        Self {
            intervals,
            jitter: (hash % 1009) as f64 / 1009.0,
            started_at: None,
            next: None,
            last_success_at: None,
            last_answered_start: None,
            overdue_at: now,
            is_reading: false,
            backoff: INITIAL_BACKOFF,
            retry_at: None,
            next_removal_at: None,
        }
    }

    /// Sets the time at which servers that are missing from the registry count as gone, if any
    /// are. The entry then reads whatever its role: an entry that started the grace period
    /// itself and then followed a lead kept such servers in use, because the lead had no change
    /// to send.
    pub fn set_next_removal(&mut self, at: Option<Instant>) {
        self.next_removal_at = at;
    }

    /// Handles the end of the current read.
    pub fn on_read_finished(&mut self, now: Instant, outcome: ReadOutcome) {
        self.is_reading = false;
        if outcome == ReadOutcome::Failed {
            self.retry_at = Some(now + self.backoff);
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            return;
        }
        self.backoff = INITIAL_BACKOFF;
        self.retry_at = None;
        self.last_success_at = Some(now);
        self.last_answered_start = self.started_at;
        self.next = match outcome {
            ReadOutcome::Changed => {
                Some(now + self.intervals.reader.mul_f64(CHANGE_INTERVAL_SHARE))
            }
            _ => self
                .started_at
                .map(|started_at| started_at + self.intervals.reader),
        };
    }

    /// Starts a read if one is due. `known_at` is when the current knowledge was read; `whole`
    /// requests a full read because that knowledge may be wrong.
    pub fn begin_read(
        &mut self,
        now: Instant,
        role: ReadRole,
        known_at: Option<Instant>,
        whole: bool,
    ) -> Option<RegistryRead> {
        if self.is_reading || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        // A full read that leaves the knowledge uncertain isn't repeated immediately.
        let is_paced =
            |started_at| now.saturating_duration_since(started_at) >= self.intervals.reader;
        let whole = whole && self.started_at.is_none_or(is_paced);
        let age = known_at.map(|at| now.saturating_duration_since(at));
        let is_due = match role {
            _ if self.is_removal_due(now) => true,
            ReadRole::Reader => self.next.is_none_or(|next| now >= next),
            ReadRole::Deputy => age.is_none_or(|age| age >= self.intervals.deputy),
            // The missing knowledge may not be the registry's, so this is no more frequent than
            // a reader's reads.
            ReadRole::Follower { stuck: true, .. } => {
                age.is_none_or(|age| age >= self.intervals.reader)
            }
            ReadRole::Follower { substitute, .. } => {
                substitute && age.is_some_and(|age| age >= self.intervals.member)
            }
            ReadRole::Alone { used, first } => match age {
                None => now >= first,
                Some(age) => age >= self.solo_read_age(used),
            },
        };
        if !is_due && !whole {
            return None;
        }
        let wait = match role {
            _ if whole => Duration::ZERO,
            ReadRole::Reader => self.reader_wait(now),
            _ => Duration::ZERO,
        };
        self.started_at = Some(now);
        self.is_reading = true;
        self.overdue_at = now + wait + OVERDUE_AFTER;
        let resumes = !matches!(role, ReadRole::Reader | ReadRole::Deputy);
        Some(RegistryRead {
            wait,
            whole,
            resumes,
        })
    }

    /// Returns whether the current read takes too long.
    pub fn is_read_overdue(&self, now: Instant) -> bool {
        self.is_reading && now >= self.overdue_at
    }

    /// Returns when the last successful read ended.
    pub fn last_success_at(&self) -> Option<Instant> {
        self.last_success_at
    }

    /// Returns the intervals between reads.
    pub fn intervals(&self) -> ReadIntervals {
        self.intervals
    }

    /// Returns whether missing servers count as gone by now, but no read has confirmed it yet.
    fn is_removal_due(&self, now: Instant) -> bool {
        let at = self.next_removal_at.filter(|at| now >= *at);
        at.is_some_and(|at| {
            self.last_answered_start
                .is_none_or(|started_at| started_at < at)
        })
    }

    /// Returns how long a reader lets the store wait for changes. It must return in time to
    /// check whether missing servers are gone: longer waits kept such servers in use beyond the
    /// time within which a leaving server must get no more requests.
    fn reader_wait(&self, now: Instant) -> Duration {
        let removal_in = self
            .next_removal_at
            .map(|at| at.saturating_duration_since(now));
        match removal_in {
            Some(Duration::ZERO) if self.is_removal_due(now) => Duration::ZERO,
            Some(span) if !span.is_zero() => span.min(self.intervals.reader),
            _ => self.intervals.reader,
        }
    }

    fn solo_read_age(&self, used: bool) -> Duration {
        let jitter = if used {
            Duration::ZERO
        } else {
            STANDBY_SPREAD.mul_f64(self.jitter)
        };
        self.intervals.member + jitter
    }
}

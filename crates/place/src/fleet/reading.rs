//! When an entry asks the store itself.

use std::time::{Duration, Instant};

use crate::fleet::read_intervals::ReadIntervals;

/// First pause after a failed reading, so that a store in trouble isn't pressed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Longest pause: a store that is back is noticed within it, early enough to tell servers
/// that have left from those that are not back yet.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// A reader that was told a change asks on after this part of its usual time: many
/// servers that change one after the other are told in a few calls.
const CHANGE_INTERVAL_SHARE: f64 = 0.33;
/// Entries that get no requests read this much later than others where no lead is
/// heard, spread over it: a new lead is found meanwhile.
const STANDBY_SPREAD: Duration = Duration::from_millis(500);
/// A reading that takes this much longer than the store was allowed to wait counts as
/// failed for the choice of leads, though its answer may still come: others don't wait
/// as long as it does.
const OVERDUE_AFTER: Duration = Duration::from_millis(600);

/// What came of a reading of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Something has changed.
    Changed,
    /// Nothing has.
    Same,
    /// The store didn't answer.
    Failed,
}

/// A call to the store for the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistryRead {
    /// How long the store may hold its answer back until something changes.
    pub wait: Duration,
    /// Whether all rows are asked for, whatever is known.
    pub whole: bool,
}

/// As of when the store's answer holds that came at `now` to a question of `begun`, which the
/// store might hold back for `wait` until there was news. Only an answer without news shows
/// that the whole wait has passed at the store: one with news that is as late was late on its
/// way, or this entry was to read it.
pub fn answer_as_of(begun: Instant, wait: Duration, now: Instant, has_news: bool) -> Instant {
    let waited = !has_news && now.saturating_duration_since(begun) >= wait;
    if waited { begun + wait } else { begun }
}

/// What an entry is when it decides whether to ask the store.
#[derive(Debug, Clone, Copy)]
pub enum ReadRole {
    /// It reads for its region.
    Reader,
    /// It reads where the reader doesn't.
    Deputy,
    /// It hears a lead, and is the substitute of one or not.
    Follower {
        /// Whether it is a substitute.
        substitute: bool,
        /// Whether leads know more and none told it for too long.
        stuck: bool,
    },
    /// It hears no lead.
    Alone {
        /// Whether callers are sent to it.
        used: bool,
        /// When it reads first if it knows nothing.
        first: Instant,
    },
}

/// The readings of the registry by one entry.
#[derive(Debug)]
pub struct ReadScheduler {
    pace: ReadIntervals,
    /// 0 to 1, by the hash of the entry's name.
    spread: f64,
    begun: Option<Instant>,
    /// When a reader reads next.
    next: Option<Instant>,
    done_at: Option<Instant>,
    /// When the last reading began that was answered.
    answered: Option<Instant>,
    overdue_at: Instant,
    is_reading: bool,
    backoff: Duration,
    retry_at: Option<Instant>,
    /// When servers that are missing in the registry will be gone.
    settles_at: Option<Instant>,
}

impl ReadScheduler {
    /// The plan at `pace` of an entry with the hash `hash` that starts at `now`.
    pub fn new(now: Instant, pace: ReadIntervals, hash: u64) -> Self {
        Self {
            pace,
            spread: (hash % 1009) as f64 / 1009.0,
            begun: None,
            next: None,
            done_at: None,
            answered: None,
            overdue_at: now,
            is_reading: false,
            backoff: INITIAL_BACKOFF,
            retry_at: None,
            settles_at: None,
        }
    }

    /// Servers that are missing in the registry are gone at `at`, where there are such: the
    /// entry looks then, whatever its role. One that had begun to wait and then followed a lead
    /// kept servers that were gone, since the lead had nothing to tell of them.
    pub fn set_settles(&mut self, at: Option<Instant>) {
        self.settles_at = at;
    }

    /// The reading that was begun has ended.
    pub fn on_read(&mut self, now: Instant, outcome: ReadOutcome) {
        self.is_reading = false;
        if outcome == ReadOutcome::Failed {
            self.retry_at = Some(now + self.backoff);
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            return;
        }
        self.backoff = INITIAL_BACKOFF;
        self.retry_at = None;
        self.done_at = Some(now);
        self.answered = self.begun;
        self.next = match outcome {
            ReadOutcome::Changed => Some(now + self.pace.reader.mul_f64(CHANGE_INTERVAL_SHARE)),
            _ => self.begun.map(|begun| begun + self.pace.reader),
        };
    }

    /// Whether to begin a reading now, where what is known is of `known_at`; `whole` where
    /// that is in doubt.
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
        // What doesn't help isn't done again at once.
        let is_paced = |begun| now.saturating_duration_since(begun) >= self.pace.reader;
        let whole = whole && self.begun.is_none_or(is_paced);
        let age = known_at.map(|at| now.saturating_duration_since(at));
        let is_due = match role {
            _ if self.settles_now(now) => true,
            ReadRole::Reader => self.next.is_none_or(|next| now >= next),
            ReadRole::Deputy => age.is_none_or(|age| age >= self.pace.deputy),
            // What is lacked may not be the registry: no more often than a reader.
            ReadRole::Follower { stuck: true, .. } => age.is_none_or(|age| age >= self.pace.reader),
            ReadRole::Follower { substitute, .. } => {
                substitute && age.is_some_and(|age| age >= self.pace.member)
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
        self.begun = Some(now);
        self.is_reading = true;
        self.overdue_at = now + wait + OVERDUE_AFTER;
        Some(RegistryRead { wait, whole })
    }

    /// Whether the present reading takes too long.
    pub fn is_read_overdue(&self, now: Instant) -> bool {
        self.is_reading && now >= self.overdue_at
    }

    /// When the last reading that succeeded ended.
    pub fn done_at(&self) -> Option<Instant> {
        self.done_at
    }

    /// Times between readings.
    pub fn pace(&self) -> ReadIntervals {
        self.pace
    }

    /// Whether servers that are missing are gone by now, and no reading has shown it yet.
    fn settles_now(&self, now: Instant) -> bool {
        let at = self.settles_at.filter(|at| now >= *at);
        at.is_some_and(|at| self.answered.is_none_or(|begun| begun < at))
    }

    /// How long a reader lets the store wait for changes: it must be back to look whether
    /// servers that are missing are gone. Waiting on took these beyond the time within which
    /// a leaving server must get no more requests.
    fn reader_wait(&self, now: Instant) -> Duration {
        let settles_in = self.settles_at.map(|at| at.saturating_duration_since(now));
        match settles_in {
            Some(Duration::ZERO) if self.settles_now(now) => Duration::ZERO,
            Some(span) if !span.is_zero() => span.min(self.pace.reader),
            _ => self.pace.reader,
        }
    }

    fn solo_read_age(&self, used: bool) -> Duration {
        let spread = if used {
            Duration::ZERO
        } else {
            STANDBY_SPREAD.mul_f64(self.spread)
        };
        self.pace.member + spread
    }
}

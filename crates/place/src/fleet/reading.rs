//! When an entry asks the store itself.

use std::time::{Duration, Instant};

use crate::fleet::pace::ReadPace;

/// First pause after a failed reading, so that a store in trouble isn't pressed.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause: a store that is back is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// A reader that was told a change asks on after this part of its usual time: many
/// servers that change one after the other are told in a few calls.
const NEWS_SHARE: f64 = 0.33;
/// Entries that get no requests read this much later than others where no lead is
/// heard, spread over it: a new lead is found meanwhile.
const STANDBY_SPREAD: Duration = Duration::from_millis(500);
/// A substitute tries the store where the leads' reading is this many times the age
/// at which entries without leads read.
const SUBSTITUTE_FACTOR: f64 = 1.6;

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
pub struct ReadingPlan {
    pace: ReadPace,
    /// 0 to 1, by the hash of the entry's name.
    spread: f64,
    begun: Option<Instant>,
    /// When a reader reads next.
    next: Option<Instant>,
    is_reading: bool,
    pause: Duration,
    not_before: Option<Instant>,
}

impl ReadingPlan {
    /// A plan at `pace` of an entry with the hash `hash`.
    pub fn new(pace: ReadPace, hash: u64) -> Self {
        Self {
            pace,
            spread: (hash % 1009) as f64 / 1009.0,
            begun: None,
            next: None,
            is_reading: false,
            pause: FIRST_PAUSE,
            not_before: None,
        }
    }

    /// The reading that was begun has ended.
    pub fn on_read(&mut self, now: Instant, outcome: ReadOutcome) {
        self.is_reading = false;
        if outcome == ReadOutcome::Failed {
            self.not_before = Some(now + self.pause);
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            return;
        }
        self.pause = FIRST_PAUSE;
        self.not_before = None;
        self.next = match outcome {
            ReadOutcome::Changed => Some(now + self.pace.reader.mul_f64(NEWS_SHARE)),
            _ => self.begun.map(|begun| begun + self.pace.reader),
        };
    }

    /// Whether to begin a reading now, where what is known is of `known_at`: how long the
    /// store may wait for changes.
    pub fn take(
        &mut self,
        now: Instant,
        role: ReadRole,
        known_at: Option<Instant>,
    ) -> Option<Duration> {
        if self.is_reading || self.not_before.is_some_and(|at| now < at) {
            return None;
        }
        let age = known_at.map(|at| now.saturating_duration_since(at));
        let is_due = match role {
            ReadRole::Reader => self.next.is_none_or(|next| now >= next),
            ReadRole::Deputy => age.is_none_or(|age| age >= self.pace.deputy),
            ReadRole::Follower { stuck: true, .. } => true,
            ReadRole::Follower { substitute, .. } => {
                let late = self.pace.member.mul_f64(SUBSTITUTE_FACTOR);
                substitute && age.is_some_and(|age| age >= late)
            }
            ReadRole::Alone { used, first } => match age {
                None => now >= first,
                Some(age) => age >= self.lone_age(used),
            },
        };
        if !is_due {
            return None;
        }
        self.begun = Some(now);
        self.is_reading = true;
        match role {
            ReadRole::Reader => Some(self.pace.reader),
            _ => Some(Duration::ZERO),
        }
    }

    fn lone_age(&self, used: bool) -> Duration {
        let spread = if used {
            Duration::ZERO
        } else {
            STANDBY_SPREAD.mul_f64(self.spread)
        };
        self.pace.member + spread
    }
}

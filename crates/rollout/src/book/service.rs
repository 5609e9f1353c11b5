//! The rollout of one service: which stage it is in, and how it ends.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::evidence::VersionEvidence;
use crate::exposure::ExposureLimiter;
use crate::order::{RolloutPhase, RolloutRecord};
use crate::schedule::{RolloutStage, ShareSchedule};

/// Answers of the new version without which it gets no more than a part of the requests.
const ANSWERS_LEAST: u32 = 10;
/// What it gets until then.
const UNPROVEN_SHARE: f64 = 0.25;
/// Time after its start within which a rollout isn't completed even where nothing has to move.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Time before the end at which a rollout is completed: until then the version can still be
/// rolled back under full load. Enough for two attempts at the store; less in short rollouts.
const COMPLETION_LEAD: Duration = Duration::from_millis(1500);
/// Time before the end at which a rollout is completed though old versions still run some.
const LAST_TIME: Duration = Duration::from_millis(400);
/// A rollout that isn't over for this long after its end will be rolled back: the leads had no
/// store to say so in. Until then its completion may still be on the way.
const OVERDUE_AFTER: Duration = Duration::from_millis(2500);
/// Weight of the newest request in the time that answers usually take.
const ANSWER_WEIGHT: f64 = 0.03;

/// What a lead sees of a service's servers that may get requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceSight {
    /// Servers of the version that was ordered.
    pub new: usize,
    /// Servers of others.
    pub old: usize,
}

/// A rollout as one entry knows it.
#[derive(Debug)]
pub(super) struct ServiceRollout {
    /// What the entries share.
    pub(super) record: RolloutRecord,
    /// The record's start, by this entry's clock.
    pub(super) begun: Option<Instant>,
    /// Whether the store holds what the record says.
    pub(super) is_stored: bool,
    /// How requests fare.
    pub(super) evidence: VersionEvidence,
    /// What the new version may get from here.
    pub(super) limiter: ExposureLimiter,
    /// Requests that other entries have at old versions.
    pub(super) at_old: HashMap<u64, (Instant, u32)>,
    /// What answers usually take, in seconds; 0 before any was expected.
    pub(super) answer_time: f64,
    /// When this entry heard of the order.
    pub(super) heard_at: Instant,
    /// When the version was found or told to be bad.
    pub(super) judged_at: Option<Instant>,
}

impl ServiceRollout {
    /// A rollout as `record` says, heard of at `now`; `bonus` requests may go to the version
    /// beyond its share.
    pub(super) fn new(now: Instant, record: RolloutRecord, bonus: f64) -> Self {
        Self {
            record,
            begun: None,
            is_stored: false,
            evidence: VersionEvidence::default(),
            limiter: ExposureLimiter::new(bonus),
            at_old: HashMap::new(),
            answer_time: 0.0,
            heard_at: now,
            judged_at: None,
        }
    }

    /// Whether something is left to be done or written.
    pub(super) fn is_open(&self) -> bool {
        !self.record.phase.is_final() || !self.is_stored
    }

    /// Goes on to `phase`, which the store doesn't say yet.
    pub(super) fn enter(&mut self, phase: RolloutPhase) {
        self.record.phase = phase;
        self.is_stored = false;
    }

    /// An answer is expected within `expected`.
    pub(super) fn on_expected(&mut self, expected: Duration) {
        let expected = expected.as_secs_f64();
        let weight = if self.answer_time > 0.0 {
            ANSWER_WEIGHT
        } else {
            1.0
        };
        self.answer_time += weight * (expected - self.answer_time);
    }

    /// Whether it should have ended long ago.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.elapsed(now) > self.record.order.duration + OVERDUE_AFTER
    }

    fn elapsed(&self, now: Instant) -> Duration {
        let begun = self.begun.unwrap_or(now);
        now.saturating_duration_since(begun)
    }

    /// The stage now. Where this entry hears the others' counts, a version with too few
    /// answers isn't trusted with everything.
    pub(super) fn stage(
        &self,
        now: Instant,
        schedule: &impl ShareSchedule,
        hears_counts: bool,
    ) -> RolloutStage {
        let answer = Duration::from_secs_f64(self.answer_time);
        let duration = self.record.order.duration;
        let stage = schedule.stage(self.elapsed(now), duration, answer);
        let is_whole = matches!(stage, RolloutStage::Preferred | RolloutStage::Exclusive);
        if is_whole && hears_counts && self.evidence.answers() < ANSWERS_LEAST {
            return RolloutStage::Share(UNPROVEN_SHARE);
        }
        stage
    }

    /// How the rollout ends, where it does now.
    pub(super) fn end(
        &self,
        now: Instant,
        sight: ServiceSight,
        at_old: u32,
    ) -> Option<RolloutPhase> {
        let (elapsed, duration) = (self.elapsed(now), self.record.order.duration);
        if elapsed >= duration {
            return Some(RolloutPhase::RolledBack);
        }
        if sight.new > 0 && sight.old == 0 && elapsed >= SETTLE_TIME {
            return Some(RolloutPhase::Completed);
        }
        let is_proven = self.evidence.answers() >= ANSWERS_LEAST;
        let is_due = elapsed + COMPLETION_LEAD.min(duration / 8) >= duration;
        let is_moved = is_proven && sight.new > 0 && is_due;
        let is_last = elapsed + LAST_TIME.min(duration / 20) >= duration;
        (is_moved && (at_old == 0 || is_last)).then_some(RolloutPhase::Completed)
    }
}

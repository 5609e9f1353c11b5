//! The rollout of one service: which stage it is in, and how it ends.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::evidence::VersionEvidence;
use crate::exposure::ExposureLimiter;
use crate::order::{RolloutPhase, RolloutRecord};
use crate::schedule::{RolloutStage, ShareSchedule};

/// Number of answers of the new version below which it gets only a share of the requests.
const MIN_ANSWERS: u32 = 10;
/// The share that it gets until then.
const UNPROVEN_SHARE: f64 = 0.25;
/// Time before the deadline at which a rollout is completed. Until then the version can still
/// be rolled back under full load. Allows two attempts at writing to the store; less in short
/// rollouts.
const COMPLETION_LEAD: Duration = Duration::from_millis(1500);
/// Time for which an entry must know a rollout before the absence of old servers replaces answers
/// of the new ones: after a loss of all machines they take seconds to return. Less in short
/// rollouts.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Time before the deadline at which a rollout is completed even though old versions still run
/// requests.
const FORCED_COMPLETION_LEAD: Duration = Duration::from_millis(400);
/// Time after its deadline from which on an unfinished rollout uses the old versions: it will be
/// rolled back, which the leads could not write to the store. Until then its completion may still
/// be on the way.
const OVERDUE_AFTER: Duration = Duration::from_millis(2500);
/// Weight of the newest request in the moving average of response times.
const RESPONSE_TIME_WEIGHT: f64 = 0.03;

/// Available servers of a service as seen by a lead.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerCounts {
    /// Servers of the version in the order.
    pub new: usize,
    /// Servers of other versions.
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
    /// Outcomes of requests on both versions.
    pub(super) evidence: VersionEvidence,
    /// Limits the requests that this entry sends to the new version.
    pub(super) limiter: ExposureLimiter,
    /// Requests in flight at old versions, as reported by each peer.
    pub(super) in_flight_on_old: HashMap<u64, (Instant, u32)>,
    /// Moving average of expected response times, in seconds; 0 before the first request.
    pub(super) response_time: f64,
    /// When this entry learned of the order.
    pub(super) learned_at: Instant,
    /// When the version was found or reported to be bad.
    pub(super) verdict_at: Option<Instant>,
}

impl ServiceRollout {
    /// Creates the rollout of `record`, learned of at `now`. `bonus` requests may be sent to
    /// the version in addition to its share.
    pub(super) fn new(now: Instant, record: RolloutRecord, bonus: f64) -> Self {
        Self {
            record,
            begun: None,
            is_stored: false,
            evidence: VersionEvidence::default(),
            limiter: ExposureLimiter::new(bonus),
            in_flight_on_old: HashMap::new(),
            response_time: 0.0,
            learned_at: now,
            verdict_at: None,
        }
    }

    /// Whether the rollout is unfinished or not yet stored in its current state.
    pub(super) fn is_unfinished(&self) -> bool {
        !self.record.phase.is_final() || !self.is_stored
    }

    /// Enters `phase`, which is not stored yet.
    pub(super) fn set_phase(&mut self, phase: RolloutPhase) {
        self.record.phase = phase;
        self.is_stored = false;
    }

    /// Updates the moving average with the expected response time of a request.
    pub(super) fn update_response_time(&mut self, expected: Duration) {
        let expected = expected.as_secs_f64();
        let weight = if self.response_time > 0.0 {
            RESPONSE_TIME_WEIGHT
        } else {
            1.0
        };
        self.response_time += weight * (expected - self.response_time);
    }

    /// Whether its deadline passed long ago and no end of it is known.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.elapsed(now) > self.record.order.duration + OVERDUE_AFTER
    }

    fn elapsed(&self, now: Instant) -> Duration {
        let begun = self.begun.unwrap_or(now);
        now.saturating_duration_since(begun)
    }

    /// Returns the current stage. If this entry receives its peers' counts, a version with too
    /// few answers does not get all requests.
    pub(super) fn stage(
        &self,
        now: Instant,
        schedule: &impl ShareSchedule,
        receives_counts: bool,
    ) -> RolloutStage {
        let response_time = Duration::from_secs_f64(self.response_time);
        let duration = self.record.order.duration;
        let stage = schedule.stage(self.elapsed(now), duration, response_time);
        let is_full = matches!(stage, RolloutStage::Preferred | RolloutStage::Exclusive);
        if is_full && receives_counts && self.evidence.answers() < MIN_ANSWERS {
            return RolloutStage::Share(UNPROVEN_SHARE);
        }
        stage
    }

    /// Returns the final phase if the rollout ends now. That no old server is listed ends none
    /// early: their rows may have lapsed, and a completion lets the operator stop them.
    pub(super) fn final_phase(
        &self,
        now: Instant,
        servers: ServerCounts,
        in_flight_on_old: u32,
    ) -> Option<RolloutPhase> {
        let (elapsed, duration) = (self.elapsed(now), self.record.order.duration);
        if elapsed >= duration {
            return Some(RolloutPhase::RolledBack);
        }
        let observed = now.saturating_duration_since(self.learned_at);
        let is_unrivaled = servers.old == 0 && observed >= OBSERVATION_TIME.min(duration / 2);
        let is_proven = self.evidence.answers() >= MIN_ANSWERS || is_unrivaled;
        let is_due = elapsed + COMPLETION_LEAD.min(duration / 8) >= duration;
        let is_moved = is_proven && servers.new > 0 && is_due;
        let is_forced = elapsed + FORCED_COMPLETION_LEAD.min(duration / 20) >= duration;
        (is_moved && (in_flight_on_old == 0 || is_forced)).then_some(RolloutPhase::Completed)
    }
}

//! What came of a play.

use std::time::Duration;

use team::bucket::QuotaBounds;
use team::spec::TeamQuota;

/// What came of a play, for the teams that asked for their usual and for those that asked
/// for more.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaOutcome {
    /// The window in which a team exceeded its quota most, as a share of what was allowed
    /// there, tolerance included.
    pub worst: f64,
    /// Share of what calm teams asked within their quotas that was refused.
    pub calm_refused: f64,
    /// The same of teams that asked for more than their usual.
    pub hot_refused: f64,
    /// Requests of such teams that were let in, as a share of what their quotas allow.
    pub hot_served: f64,
    /// Words that an entry sent, a second.
    pub messages: f64,
    /// Bytes that an entry sent, a second.
    pub bytes: f64,
}

/// What one team asked and got.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamLog {
    /// When its requests were let in, in seconds, and the rate that was set then.
    pub(crate) admitted: Vec<f64>,
    /// Quotas as they were set: from when on, and for how long the one before still counts.
    pub(crate) quotas: Vec<(f64, TeamQuota)>,
    pub(crate) within_quota: u32,
    pub(crate) refused: u32,
}

impl TeamLog {
    /// The largest share of what was allowed that was let in, over all windows.
    pub(crate) fn worst_share(&self, bounds: &QuotaBounds) -> f64 {
        let window = bounds.window.as_secs_f64();
        let mut worst_share = 0.0_f64;
        let mut first = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while self.admitted[first] <= at - window {
                first += 1;
            }
            let allowed = self.allowed(bounds, *at);
            worst_share = worst_share.max((last + 1 - first) as f64 / allowed);
        }
        worst_share
    }

    /// A lower quota binds a window after it has been set.
    fn allowed(&self, bounds: &QuotaBounds, at: f64) -> f64 {
        let window = bounds.window.as_secs_f64();
        let mut largest = 0.0_f64;
        for (index, (_, quota)) in self.quotas.iter().enumerate() {
            let ends = self
                .quotas
                .get(index + 1)
                .map(|(from, _)| from + 2.0 * window);
            if ends.is_none_or(|ends| at < ends) {
                let per_window = quota.rate * window + quota.burst;
                largest = largest.max(per_window * (1.0 + bounds.excess) + bounds.slack);
            }
        }
        largest
    }
}

/// The quota as it is meant: who is let in by it is owed an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReferenceBucket {
    pub(crate) quota: TeamQuota,
    level: f64,
    at: f64,
}

impl ReferenceBucket {
    pub(crate) fn new(quota: TeamQuota) -> Self {
        Self {
            quota,
            level: quota.burst,
            at: 0.0,
        }
    }

    /// A request comes at `at`; whether it is within the quota.
    pub(crate) fn take(&mut self, at: f64) -> bool {
        let filled = self.level + self.quota.rate * (at - self.at);
        self.level = filled.min(self.quota.burst.max(1.0));
        self.at = at;
        let is_admitted = self.level >= 1.0;
        if is_admitted {
            self.level -= 1.0;
        }
        is_admitted
    }
}

/// Seconds as a duration.
pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

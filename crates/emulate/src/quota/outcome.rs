//! The outcome of a quota simulation.

use std::time::Duration;

use team::bucket::QuotaBounds;
use team::spec::TeamQuota;

/// The outcome of a quota simulation. Hot teams are those whose load or quota a scenario
/// changes; the others are calm.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaOutcome {
    /// Largest number of requests of a team that were admitted in a window, relative to what its
    /// quota and the tolerance allow.
    pub worst: f64,
    /// Share of the calm teams' requests within their quotas that were refused.
    pub calm_refused: f64,
    /// The same for hot teams.
    pub hot_refused: f64,
    /// Admitted requests of hot teams, relative to what their quotas allow.
    pub hot_served: f64,
    /// Messages that an entry sent per second.
    pub messages: f64,
    /// Bytes that an entry sent per second.
    pub bytes: f64,
}

/// The requests of one team.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamLog {
    /// When requests were admitted, in seconds.
    pub(crate) admitted: Vec<f64>,
    /// The team's quotas, each with the time at which it was set.
    pub(crate) quotas: Vec<(f64, TeamQuota)>,
    /// Requests that the reference bucket admits.
    pub(crate) within_quota: u32,
    /// Requests of those that were refused.
    pub(crate) refused: u32,
}

impl TeamLog {
    /// The largest ratio of admitted to allowed requests over all windows.
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

    /// Requests that are allowed in the window that ends at `at`. An earlier, higher quota still
    /// counts until two windows after the change: a lower one takes effect a window after it was
    /// set, and the window that ends at `at` reaches back one more.
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

/// A single bucket for the whole fleet: requests that it admits are within the quota and must
/// not be refused.
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

    /// Takes a token for a request at `at`; returns whether there was one.
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

pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

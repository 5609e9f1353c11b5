//! The scenario of a rollout simulation, and its outcome.

use std::time::Duration;

use rollout::prelude::*;

/// Share of all requests that a bad version may get.
pub const EXPOSURE_SHARE: f64 = 0.1;
/// Number of requests that a bad version may get in addition.
pub const EXPOSURE_SLACK: f64 = 50.0;

/// The fault of a version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutFault {
    /// The version is good.
    None,
    /// This share of requests fails.
    Fails(f64),
    /// This share of requests takes longer by this factor.
    Slow(f64, f64),
}

/// The parameters of a rollout simulation.
#[derive(Debug, Clone, Copy)]
pub struct RolloutScenario {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Entries that get requests.
    pub entries: usize,
    /// Requests per second over all entries.
    pub rate: f64,
    /// Time within which the new version is to get all traffic.
    pub duration: Duration,
    /// Fault of the new version.
    pub fault: RolloutFault,
    /// Time at which the fault starts.
    pub fault_at: Duration,
    /// Whether the fault affects only one of three routes.
    pub on_one_route: bool,
    /// If set, the fault shows only while the new version gets at least this share of requests.
    pub under_load: Option<f64>,
    /// Share of requests that fail on either version, apart from the fault.
    pub base_failure_rate: f64,
    /// Number of entries, counted from the first, that are cut off from the others, and since
    /// when.
    pub partition: Option<(usize, Duration)>,
    /// An entry and the time at which it restarts.
    pub restarted: Option<(usize, Duration)>,
    /// Time span in which the lead can't reach the store.
    pub store_outage: Option<(Duration, Duration)>,
    /// Share of the reports between entries that are lost.
    pub loss: f64,
}

impl RolloutScenario {
    /// A rollout of a good version over eight entries.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            entries: 8,
            rate: 400.0,
            duration: Duration::from_secs(12),
            fault: RolloutFault::None,
            fault_at: Duration::ZERO,
            on_one_route: false,
            under_load: None,
            base_failure_rate: 0.0,
            partition: None,
            restarted: None,
            store_outage: None,
            loss: 0.02,
        }
    }
}

/// The outcome of a rollout simulation.
#[derive(Debug, Default)]
pub struct RolloutOutcome {
    /// The last phase that was written to the store.
    pub phase: Option<RolloutPhase>,
    /// When a final phase was written to the store.
    pub ended: Option<Duration>,
    /// Requests sent by entries that aren't partitioned, from the order to the deadline.
    pub total_requests: usize,
    /// Those of `total_requests` that the new version got.
    pub exposed: usize,
    /// Requests that entries without a partition sent to a bad version after the time by which it
    /// must be rolled back.
    pub late: usize,
    /// Requests still running at old servers when the rollout was completed.
    pub unfinished_old: usize,
    /// The new version's share of requests, for each second.
    pub shares: Vec<f64>,
    /// When the new version gave answers that were affected by the fault.
    pub bad_answers: Vec<Duration>,
}

impl RolloutOutcome {
    /// Requests that the new version got beyond what a bad version may get; negative if fewer.
    pub fn excess(&self) -> f64 {
        self.exposed as f64 - EXPOSURE_SHARE * self.total_requests as f64 - EXPOSURE_SLACK
    }
}

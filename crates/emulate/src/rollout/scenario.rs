//! What is played of a rollout, and what came of it.

use std::time::Duration;

use rollout::prelude::*;

/// Part of all requests that a bad version may get.
pub const EXPOSURE_SHARE: f64 = 0.1;
/// Requests that it may get besides.
pub const EXPOSURE_SLACK: f64 = 50.0;

/// How a version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutFault {
    /// It isn't.
    None,
    /// This part of answers are failures.
    Fails(f64),
    /// This part of answers take so many times as long.
    Slow(f64, f64),
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct RolloutScenario {
    /// Everything that is drawn follows from it.
    pub seed: u64,
    /// Entries that get requests.
    pub entries: usize,
    /// Requests a second over all entries.
    pub rate: f64,
    /// Time within which the version is to have everything.
    pub duration: Duration,
    /// How the new version is bad.
    pub fault: RolloutFault,
    /// From when on it is.
    pub fault_at: Duration,
    /// Whether only one of three routes shows it.
    pub on_one_route: bool,
    /// Whether it shows only while the new version gets at least this part of all requests.
    pub under_load: Option<f64>,
    /// Part of answers of either version that are failures.
    pub base_failure_rate: f64,
    /// Entries that hear nothing from here on.
    pub partition: Option<(usize, Duration)>,
    /// Entry that is restarted then.
    pub restarted: Option<(usize, Duration)>,
    /// The lead hears nothing of the store in this span.
    pub store_outage: Option<(Duration, Duration)>,
    /// Part of the words between entries that get lost.
    pub loss: f64,
}

impl RolloutScenario {
    /// A good version at eight entries.
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

/// What came of it.
#[derive(Debug, Default)]
pub struct RolloutOutcome {
    /// The last phase that the store was told.
    pub phase: Option<RolloutPhase>,
    /// When it was told that the rollout is over.
    pub ended: Option<Duration>,
    /// Requests that entries which hear the others sent from the order to its end.
    pub total_requests: usize,
    /// Those of them that the new version got.
    pub exposed: usize,
    /// Requests sent to a bad version after the bound.
    pub late: usize,
    /// Requests at old servers when the rollout was completed.
    pub unfinished_old: usize,
    /// The share of the new version, second by second.
    pub shares: Vec<f64>,
    /// When the new version gave bad answers.
    pub bad_answers: Vec<Duration>,
}

impl RolloutOutcome {
    /// What the new version got beyond what a bad one may get; negative within it.
    pub fn excess(&self) -> f64 {
        self.exposed as f64 - EXPOSURE_SHARE * self.total_requests as f64 - EXPOSURE_SLACK
    }
}

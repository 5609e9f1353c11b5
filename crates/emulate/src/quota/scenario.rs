//! The scenario of a quota simulation: teams, their load, and events.

use team::bucket::QuotaBounds;
use team::spec::{TeamQuota, TeamSpec};

/// A team and its load.
#[derive(Debug, Clone)]
pub struct TeamLoad {
    /// The team.
    pub spec: TeamSpec,
    /// Usual requests per second.
    pub base_rate: f64,
    /// The entry that all its callers use; `None` if they use all entries evenly.
    pub entry: Option<usize>,
}

/// An event of a scenario. Times are in seconds from the start.
#[derive(Debug, Clone, Copy)]
pub enum QuotaChange {
    /// The team sends a multiple of its usual rate.
    Hot {
        /// The team.
        team: usize,
        /// The multiple.
        factor: f64,
        /// Start.
        from: f64,
        /// End.
        until: f64,
    },
    /// Each of the first entries is cut off from all other entries; callers still reach it.
    Partition {
        /// Number of entries.
        count: usize,
        /// Start.
        from: f64,
        /// End.
        until: f64,
    },
    /// All entries restart at once and lose their state.
    Restart {
        /// Time.
        at: f64,
        /// Seconds until they are back.
        downtime: f64,
    },
    /// The operator changes the team's quota.
    SetQuota {
        /// The team.
        team: usize,
        /// Time.
        at: f64,
        /// Requests per second, and the burst.
        rate: f64,
    },
    /// All the team's callers use one entry from then on.
    MoveCallers {
        /// The team.
        team: usize,
        /// Time.
        at: f64,
        /// The entry.
        to: usize,
    },
}

/// The parameters of a quota simulation.
#[derive(Debug, Clone)]
pub struct QuotaScenario {
    /// Entries that get requests.
    pub entries: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Bounds within which quotas are to be enforced.
    pub bounds: QuotaBounds,
    /// The teams.
    pub teams: Vec<TeamLoad>,
    /// The events.
    pub changes: Vec<QuotaChange>,
    /// Share of the messages between entries that are lost.
    pub loss: f64,
}

/// Quota of a team, relative to its usual rate.
const QUOTA_FACTOR: f64 = 1.6;
/// Usual rate of a team, relative to that of the team before it.
const RATE_DECAY: f64 = 0.93;

impl QuotaScenario {
    /// `count` teams, a few of them large, that send `rate` requests per second in total to
    /// `entries` entries, for 20 s.
    pub fn new(seed: u64, entries: usize, count: usize, rate: f64) -> Self {
        let weights: Vec<f64> = (0..count)
            .map(|team| RATE_DECAY.powi(team as i32))
            .collect();
        let total: f64 = weights.iter().sum();
        let teams = weights.iter().enumerate().map(|(index, weight)| {
            let base_rate = rate * weight / total;
            TeamLoad {
                spec: TeamSpec {
                    name: format!("team-{index:03}"),
                    keys: Vec::new(),
                    priority: None,
                    quota: TeamQuota::new(QUOTA_FACTOR * base_rate, QUOTA_FACTOR * base_rate),
                    home_regions: Vec::new(),
                },
                base_rate,
                entry: None,
            }
        });
        Self {
            entries,
            seed,
            seconds: 20.0,
            bounds: QuotaBounds {
                window: std::time::Duration::from_secs(5),
                excess: 0.1,
                slack: 20.0,
            },
            teams: teams.collect(),
            changes: Vec::new(),
            loss: 0.02,
        }
    }

    /// Adds `change`.
    #[must_use]
    pub fn with(mut self, change: QuotaChange) -> Self {
        self.changes.push(change);
        self
    }
}

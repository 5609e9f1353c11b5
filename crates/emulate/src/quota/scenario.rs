//! What is played: teams, what they ask, and what befalls the fleet.

use team::bucket::QuotaBounds;
use team::spec::{TeamQuota, TeamSpec};

/// A team and what it usually asks.
#[derive(Debug, Clone)]
pub struct TeamLoad {
    /// The team.
    pub spec: TeamSpec,
    /// Requests a second.
    pub base_rate: f64,
    /// The one entry that its callers use; `None` where they use all alike.
    pub entry: Option<usize>,
}

/// What changes, in seconds from the start.
#[derive(Debug, Clone, Copy)]
pub enum QuotaChange {
    /// The team asks for so many times its usual.
    Hot {
        /// The team.
        team: usize,
        /// How many times.
        factor: f64,
        /// From when on.
        from: f64,
        /// Until when.
        until: f64,
    },
    /// Each of the first entries hears nobody and is heard by nobody; callers still reach it.
    Partition {
        /// How many.
        count: usize,
        /// From when on.
        from: f64,
        /// Until when.
        until: f64,
    },
    /// The processes of all entries end and are back after a while.
    Restart {
        /// When.
        at: f64,
        /// How long they are away.
        downtime: f64,
    },
    /// The operator sets another rate and burst.
    SetQuota {
        /// The team.
        team: usize,
        /// When.
        at: f64,
        /// Requests a second, and on top.
        rate: f64,
    },
    /// The team's callers all use one entry from now on.
    MoveCallers {
        /// The team.
        team: usize,
        /// When.
        at: f64,
        /// The entry.
        to: usize,
    },
}

/// One play.
#[derive(Debug, Clone)]
pub struct QuotaScenario {
    /// Entries that get requests.
    pub entries: usize,
    /// Seed of all chances.
    pub seed: u64,
    /// How long callers ask, in seconds.
    pub seconds: f64,
    /// How exactly quotas are to be kept.
    pub bounds: QuotaBounds,
    /// The teams.
    pub teams: Vec<TeamLoad>,
    /// What changes.
    pub changes: Vec<QuotaChange>,
    /// Share of the words that get lost.
    pub loss: f64,
}

/// Quota of a team, as a multiple of its usual rate.
const QUOTA_FACTOR: f64 = 1.6;
/// How much less each team asks than the one before it.
const RATE_DECAY: f64 = 0.93;

impl QuotaScenario {
    /// `count` teams, a few of them large, that ask together for `rate` requests a second of
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

    /// The same with `change`.
    #[must_use]
    pub fn with(mut self, change: QuotaChange) -> Self {
        self.changes.push(change);
        self
    }
}

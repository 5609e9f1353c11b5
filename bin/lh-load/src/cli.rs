//! Command-line arguments.

use std::path::PathBuf;

use clap::{Parser, ValueEnum};

/// Simulates load patterns, quotas and rollouts in virtual time with the daemon's decision code.
#[derive(Debug, Parser)]
#[command(name = "lh-load", version)]
pub(crate) struct Arguments {
    /// Load pattern; by default all except `quota` and `rollout`.
    #[arg(value_enum)]
    pub(crate) pattern: Option<LoadPattern>,
    /// Load, as a multiple of the servers' capacity with all objects cached.
    #[arg(short, long, default_value_t = 0.6)]
    pub(crate) load: f64,
    /// Number of seeds to simulate, starting at 1.
    #[arg(short, long, default_value_t = 3)]
    pub(crate) seeds: u64,
    /// Plot the results of the last seed over time into this SVG file.
    #[arg(short, long, value_name = "FILE")]
    pub(crate) plot: Option<PathBuf>,
}

/// The load patterns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum LoadPattern {
    /// Steady load; all caches are empty at first.
    Steady,
    /// Twice the load for four seconds.
    Burst,
    /// Load above the servers' capacity all the time.
    Overload,
    /// A third of the servers crash and come back with empty caches.
    Crash,
    /// A fifth of the servers become five times slower.
    Slow,
    /// A fifth of the servers reject half of their requests.
    Shed,
    /// A fifth of the servers reject all requests and ask for rest.
    Rest,
    /// A fifth of the servers say in their answers that they are leaving.
    Leaving,
    /// A fifth of the servers name a rate limit in their answers.
    Limit,
    /// All servers name a rate limit in their answers.
    Limits,
    /// Strategies to enforce quotas over all entries, at several fleet sizes, while one team
    /// requests many times its usual rate.
    Quota,
    /// Rollouts of good and bad versions, with two schedules.
    Rollout,
}

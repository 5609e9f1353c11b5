//! Simulation of strategies that enforce a team's quota over all entries, with delayed and lost
//! messages, partitions, restarts, and teams that request many times their usual rate.

mod outcome;
mod scenario;
mod strategies;
mod world;

pub use outcome::QuotaOutcome;
pub use scenario::{QuotaChange, QuotaScenario, TeamLoad};
pub use strategies::{EqualShares, LeasedShares, QuotaStrategy, SharedCounts};
pub use world::simulate_quotas;

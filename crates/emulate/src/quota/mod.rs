//! Ways to hold all entries within a team's quota, played against each other in virtual time:
//! entries that let requests in, words among them that take their time and get lost, cuts,
//! restarts, teams that ask for many times their usual.

mod outcome;
mod scenario;
mod strategies;
mod world;

pub use outcome::QuotaOutcome;
pub use scenario::{QuotaChange, QuotaScenario, TeamLoad};
pub use strategies::{EqualShares, LeasedShares, QuotaStrategy, SharedCounts};
pub use world::simulate_quotas;

//! Rollouts of a service at many entries, in virtual time: lost words, cuts, restarts, a store
//! that is away, versions that are bad in several ways.

mod scenario;
mod world;

pub use scenario::{EXPOSURE_SHARE, EXPOSURE_SLACK, RolloutFault, RolloutOutcome, RolloutScenario};
pub use world::simulate_rollout;

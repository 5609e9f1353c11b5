//! Simulation of a service's rollout over many entries, with lost reports, partitions, restarts,
//! store outages and several kinds of faulty versions.

mod history;
mod world;

pub use history::{EXPOSURE_SHARE, EXPOSURE_SLACK, RolloutFault, RolloutOutcome, RolloutScenario};
pub use world::simulate_rollout;

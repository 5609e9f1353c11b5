//! Discrete-event simulations in virtual time that run the decision code of the daemon
//! unchanged: request placement, quotas and rollouts.
//!
//! The model of backend servers and callers covers what placement depends on: slots, short
//! queues, cached objects, cold starts, delayed load updates, timeouts and callers that
//! retry. It does not simulate a cluster: there is no network, store or process.

mod departures;
mod experiment;
mod limits;
mod model;
mod policy;
pub mod quota;
mod regions;
mod report;
mod rests;
pub mod rollout;
mod run;
mod setup;
mod timeline;

pub use experiment::{Experiment, FaultKind, RegionCut, ServerFault, TrafficStep};
pub use policy::{EntryPolicy, NaivePolicy, PlacerPolicy, PolicyChoice, PolicyRequest};
pub use report::{TrialReport, WindowReport};
pub use run::run_trial;

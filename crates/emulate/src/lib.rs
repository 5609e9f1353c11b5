//! A model of backend servers and callers in virtual time, on which the placing
//! decisions are tried as they are: the same code as in the daemon.
//!
//! It models what those decisions depend on: slots, short queues, objects that a
//! server holds, cold starts, words on load that lag, time-outs, and callers that
//! come back. It is no simulator of a cluster: no network, store or processes.

mod events;
mod experiment;
mod model;
mod policy;
pub mod quota;
mod regions;
mod report;
pub mod rollout;
mod run;
mod setup;

pub use experiment::{Experiment, FaultKind, ServerFault, TrafficStep};
pub use policy::{EntryPolicy, NaivePolicy, PlacerPolicy, PolicyChoice, PolicyRequest};
pub use report::{TrialReport, WindowReport};
pub use run::run_trial;

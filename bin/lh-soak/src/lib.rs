//! Soak test with fault injection: runs real `lh-entry` processes in real time against fakes of
//! the store and the backend servers, and injects faults that are generated from a seed.
//!
//! All events are recorded in a [`history::RunHistory`]. [`judge`] checks the guarantees from
//! this history alone, so that a saved history can be checked again.

mod callers;
mod churn;
mod cli;
pub mod config;
mod error;
pub mod faults;
mod fleet;
pub mod history;
mod injector;
pub mod judge;
mod judge_desired;
mod judge_faults;
mod judge_limits;
mod judge_paths;
mod judge_places;
mod judge_promises;
mod judge_recovery;
mod judge_rests;
mod judge_rollouts;
mod judge_statements;
mod lookups;
mod operator;
mod pipelines;
pub mod power;
mod probes;
mod proxy;
pub mod report;
mod rollouts;
mod served_count;
mod server_connections;
mod server_run;
mod servers;
mod soak;
mod statements;
mod world;

pub use crate::cli::run;
pub use crate::error::{Error, Result};

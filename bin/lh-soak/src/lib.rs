//! A fault soak: real `lh-entry` processes in real time before stand-ins of the store and the
//! backend servers, with faults from outside, drawn by a seed.
//!
//! What servers and entries report goes into a [`history::RunHistory`]; [`judge`] decides
//! from that alone which promises were broken, so that a history can be judged again.

mod callers;
mod churn;
mod cli;
pub mod config;
mod error;
pub mod faults;
mod fleet;
pub mod history;
pub mod judge;
mod proxy;
mod servers;
mod soak;
mod trouble;
mod world;

pub use crate::cli::run;
pub use crate::error::{Error, Result};

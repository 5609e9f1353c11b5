//! An entry: takes callers' requests and sends each to a backend server, tells
//! callers which entries to use, and keeps up with the operator's desired state and
//! the servers' registry.
//!
//! One process an instance, one thread. Decisions are in the crates `place` and
//! `once`, the platform's formats in the crate `platform`; here are sockets and
//! timers. Callers come on the platform's interface or on the product's own; both
//! share one path.

mod accept;
mod app;
mod attempt;
mod body;
mod caller;
mod cli;
mod config;
mod crash;
mod door;
mod error;
mod fleet;
mod forward;
mod handover;
mod homes;
mod intake;
mod internal;
mod job;
mod load_reports;
mod logs;
mod lookup;
mod metrics;
mod pool;
mod print;
mod problem;
mod quarantine;
mod record;
mod reply;
mod rollout;
mod state;
mod status;
mod stop;
mod suspect;
mod suspension;
mod team_metrics;
mod ticket;
mod view;
mod watch;

pub use app::run;
pub use config::EntryConfig;
pub use error::{Error, Result};

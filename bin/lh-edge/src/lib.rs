//! An entry on the users' platform: takes callers' requests and sends each to a
//! backend server, tells callers which entries to use, and keeps up with the
//! operator's desired state and the servers' registry.
//!
//! One process an instance, one thread. Decisions are in the crate `place`, the
//! platform's formats in the crate `platform`; here are sockets and timers.

mod accept;
mod app;
mod attempt;
mod beat;
mod body;
mod cli;
mod config;
mod error;
mod forward;
mod inner;
mod intake;
mod logs;
mod metrics;
mod pool;
mod record;
mod reply;
mod state;
mod stop;
mod view;
mod watch;

pub use app::run;
pub use config::EdgeConfig;
pub use error::{Error, Result};

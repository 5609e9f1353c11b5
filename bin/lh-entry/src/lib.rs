//! The entry process: forwards callers' requests to backend servers, tells callers which
//! entries to use, and follows the operator's desired state and the server registry.
//!
//! There is one process per instance, with one main thread. The decision logic is in the crates
//! `place` and `once`, and the platform's formats are in the crate `platform`; this crate
//! contains the sockets and timers. Callers use the platform's interface or the product's own;
//! both share one request path.

mod accept;
mod admission;
mod app;
mod attempt;
mod body;
mod body_reader;
mod caller;
mod cli;
mod config;
mod connect;
mod crash;
mod error;
mod fingerprint;
mod fleet;
mod handler;
mod header_audit;
mod homes;
mod internal;
mod job;
mod leased_buffer;
mod load_reports;
mod logs;
mod lookup;
mod memory;
mod metrics;
mod operator;
mod paths;
mod pieces;
mod pool;
mod problem;
mod quarantine;
mod readiness;
mod record;
mod region_shares;
mod relay;
mod reply;
mod response_stream;
mod returns;
mod rollout;
mod rollout_rows;
mod state;
mod statements;
mod status;
mod stop;
mod suspect;
mod suspension;
mod team_metrics;
mod ticket;
mod ticket_forward;
mod view;
mod watch;

pub use app::run;
pub use config::EntryConfig;
pub use error::{Error, Result};

//! The way of a request: heads, tickets, at-most-once records, connections to
//! backend servers and the streams between callers and them.
//!
//! [`OnceTable`] and [`StampKey`] do no input or output; [`RelayController`] drives
//! one request from its head to its answer.

mod answer;
mod connect;
mod controller;
mod error;
mod forward;
mod handle;
mod head;
mod metrics;
mod names;
mod once;
mod problem;
mod server;
mod snapshot;
mod ticket;

pub use answer::AnswerBody;
pub use connect::{ConnectionPool, RequestBody};
pub use controller::{RelayController, RelayParts};
pub use error::{Error, Result};
pub use handle::{Admission, GateHandle, MessageSink, RunTally};
pub use head::RequestHead;
pub use metrics::{METRICS, RelayMetrics};
pub use names::{
    ATTEMPT_HEADER, DEADLINE_HEADER, HOP_HEADER, IDEMPOTENCY_HEADER, NUMBER_HEADER, TICKET_HEADER,
};
pub use once::{KeptAnswer, OnceKey, OnceState, OnceTable, OnceVerdict};
pub use problem::Problem;
pub use server::{ServerBounds, serve};
pub use snapshot::{RelaySnapshot, SnapshotCell};
pub use ticket::{StampKey, Ticket, TicketVerdict};

//! What runs of servers say of themselves in their answers, and whether a request may be sent
//! to one.
//!
//! Statements belong to a run and outlive its registration: a row that expires and is listed
//! again doesn't revoke them.

pub mod bucket;
pub mod message;
pub mod rest;
mod table;

use std::time::Duration;

pub use table::{StatementChange, StatementTable};

/// What an answer says of the run that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerStatement {
    /// Whether the run is leaving. A run that has said so once never takes it back.
    pub leaving: bool,
    /// The run's rate limit.
    pub limit: LimitStatement,
    /// Time for which the server wants nothing from the entry that it answers.
    pub rest: Option<Duration>,
}

/// What an answer says of its server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitStatement {
    /// Nothing.
    #[default]
    Unknown,
    /// The server has no limit.
    Unlimited,
    /// The server takes this many requests per second from all entries together.
    Limited(f64),
}

/// Whether a request may be sent to a run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendVerdict {
    /// It may.
    Allowed,
    /// The run is leaving.
    Leaving,
    /// The run wants no requests of this entry for this time.
    Resting(Duration),
    /// The run's rate limit, or a rest that has just ended, leaves no room for requests of this
    /// entry; room is expected after this time.
    NoRoom(Duration),
}

//! What a reading changes of a server, and whether a server may get requests.

use crate::server::ServerEntry;

/// What a reading changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogChange {
    /// A server appeared, by this word.
    Joined(Box<ServerEntry>),
    /// A server is about to leave.
    Draining(String),
    /// A server is gone.
    Gone(String),
    /// An older word of a server that left was met; it brings the server back nowhere.
    Outdated(String),
    /// A server turned cold.
    Cold(String),
    /// A server's entry vanished, but may have lapsed in a disturbance.
    Missing(String),
    /// A server started again under its id.
    Restarted(String),
    /// Somebody else's row stands in place of a server's entry.
    Overwritten(String),
    /// A server's own entry is back after somebody else's row.
    Reclaimed(String),
}

/// Whether a server may get requests, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerCondition {
    /// It may.
    Open,
    /// Only a few, since it has just started.
    Cold,
    /// It could not be reached lately.
    Unreachable,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Somebody else's row stands in place of its entry.
    Overwritten,
    /// It is about to leave.
    Leaving,
}

impl ServerCondition {
    /// The condition in one word, for metrics and operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Cold => "cold",
            Self::Unreachable => "unreachable",
            Self::Evacuated => "evacuated",
            Self::Overwritten => "overwritten",
            Self::Leaving => "leaving",
        }
    }
}

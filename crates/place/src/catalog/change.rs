//! Changes of the catalog, and whether a server may get requests.

use crate::server::ServerEntry;

/// A change of the catalog, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogChange {
    /// A server appeared with this server entry.
    Joined(Box<ServerEntry>),
    /// A server is draining.
    Draining(String),
    /// A server was removed.
    Gone(String),
    /// The first stale server entry of a departed server was ignored.
    Outdated(String),
    /// A server that may have left before this entry started gets no requests yet.
    Unproven(String),
    /// A server became cold.
    Cold(String),
    /// A server's row is missing, but may have lapsed during a registry outage.
    Missing(String),
    /// A server restarted under the same id.
    Restarted(String),
    /// A server's row was replaced by a foreign one.
    Overwritten(String),
    /// A server's own registry entry replaced the foreign row.
    Reclaimed(String),
}

/// Whether a server may get requests, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerCondition {
    /// May get requests.
    Open,
    /// May get only a few requests, since it has just started.
    Cold,
    /// Could not be reached recently.
    Unreachable,
    /// Asked this entry for rest.
    Resting,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its row was replaced by a foreign one.
    Overwritten,
    /// Is draining.
    Leaving,
}

impl ServerCondition {
    /// The condition in one word, for metrics and operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Cold => "cold",
            Self::Unreachable => "unreachable",
            Self::Resting => "resting",
            Self::Evacuated => "evacuated",
            Self::Overwritten => "overwritten",
            Self::Leaving => "leaving",
        }
    }
}

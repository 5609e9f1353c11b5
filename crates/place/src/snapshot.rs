//! One reading of the registry, whoever made it.

use std::time::Instant;

use crate::server::ServerEntry;

/// A row that was dropped since the reading before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedRow {
    /// The server.
    pub id: String,
    /// The store's version at which it was dropped.
    pub version: u64,
    /// What stood there last, as far as it was read.
    pub last_entry: Option<ServerEntry>,
}

impl DroppedRow {
    /// The row of the server `id`, of which nothing else is known, dropped at `version`.
    pub fn new(id: &str, version: u64) -> Self {
        Self {
            id: id.to_owned(),
            version,
            last_entry: None,
        }
    }
}

/// One complete reading of the registry.
#[derive(Debug, Clone)]
pub struct CatalogSnapshot {
    /// All entries.
    pub entries: Vec<ServerEntry>,
    /// Keys of rows that are no server's own word. They name no server to use.
    pub foreign: Vec<String>,
    /// When the reading began: nothing in it is older than this.
    pub begun: Instant,
    /// The store's version as of which it is.
    pub version: u64,
}

impl CatalogSnapshot {
    /// The same as of the store's version `version`.
    #[must_use]
    pub fn with_version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }
}

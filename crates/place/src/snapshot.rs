//! Result of a read of the registry.

use std::time::Instant;

use crate::fleet::position::StorePosition;
use crate::server::ServerEntry;

/// A row that was dropped since the previous read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedRow {
    /// Id of the server.
    pub id: String,
    /// The store's position at which the row was dropped.
    pub position: StorePosition,
    /// Last content of the row, if it was read.
    pub last_entry: Option<ServerEntry>,
}

impl DroppedRow {
    /// Creates the dropped row of the server `id` with unknown content, dropped at `position`.
    pub fn new(id: &str, position: StorePosition) -> Self {
        Self {
            id: id.to_owned(),
            position,
            last_entry: None,
        }
    }
}

/// A complete read of the registry.
#[derive(Debug, Clone)]
pub struct CatalogSnapshot {
    /// All registered servers.
    pub entries: Vec<ServerEntry>,
    /// Keys of rows that weren't written by their server, and therefore aren't used.
    pub foreign: Vec<String>,
    /// When the read began: all data is at least as recent.
    pub started_at: Instant,
    /// The store's position at the read.
    pub position: StorePosition,
}

impl CatalogSnapshot {
    /// Replaces the store's position.
    #[must_use]
    pub fn with_position(mut self, position: StorePosition) -> Self {
        self.position = position;
        self
    }
}

//! What laurelhill keeps in the platform's store, behind small traits: the
//! configuration that operators edit, and objects.
//!
//! A lost answer is never read as a failure: [`Error::Unknown`] says that a
//! write may have taken effect, and callers settle it by reading back.

mod config;
mod error;
mod platform;
mod quarantine;

pub use config::{ConfigChange, ConfigHead, ConfigStore, PublishOutcome, StoredConfig};
pub use error::{Error, Result};
pub use platform::{CommitOutcome, ObjectStore, Row, RowWrite, TableService};
pub use quarantine::QuarantineRow;

/// The product's own table, in which the entries that lead a region are found.
pub const ENTRY_TABLE: &str = "laurelhill-entries";
/// Keys that begin so hold a region's client blocks in that table, as CIDR, separated
/// by commas.
pub const BLOCK_PREFIX: &str = "blocks/";
/// Rows of that table with this prefix and a region's name hold where the entries that
/// lead the region take datagrams, separated by commas.
pub const LEAD_PREFIX: &str = "leads/";

/// Keys of rows that keep a request's quarantine, followed by its print.
pub const QUARANTINE_PREFIX: &str = "quarantine/";
/// Keys of rows of that table that hold how far a service's rollout is, followed by the
/// service.
pub const ROLLOUT_PREFIX: &str = "rollout/";

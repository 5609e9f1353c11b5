//! Data that laurelhill keeps in the platform's store: the configuration that operators
//! edit, quarantined requests, and objects. The store is accessed through small traits.
//!
//! A lost answer is not treated as a failure: [`Error::Unknown`] means that a write may
//! have been applied, and callers have to read back to find out.

mod config;
mod error;
mod platform;
mod quarantine;

pub use config::{ConfigChange, ConfigHead, ConfigStore, PublishOutcome, StoredConfig};
pub use error::{Error, Result};
pub use platform::{CommitOutcome, ObjectStore, Row, RowSet, RowWrite, TableService};
pub use quarantine::QuarantineRow;

/// Table with the client blocks and lead entries of each region, quarantined requests and
/// the progress of rollouts.
pub const ENTRY_TABLE: &str = "laurelhill-entries";
/// Key prefix in [`ENTRY_TABLE`], followed by a region. The row holds the region's client
/// blocks in CIDR notation, separated by commas.
pub const BLOCK_PREFIX: &str = "blocks/";
/// Key prefix in [`ENTRY_TABLE`], followed by a region. The row holds the datagram
/// addresses of the entries that lead the region, separated by commas.
pub const LEAD_PREFIX: &str = "leads/";

/// Key prefix in [`ENTRY_TABLE`], followed by the fingerprint of a quarantined request.
pub const QUARANTINE_PREFIX: &str = "quarantine/";
/// Key prefix in [`ENTRY_TABLE`], followed by a service. The row holds the progress of the
/// service's rollout.
pub const ROLLOUT_PREFIX: &str = "rollout/";

//! What laurelhill keeps in the platform's store, behind small traits: the
//! configuration that operators edit, and objects.
//!
//! A lost answer is never read as a failure: [`Error::Unknown`] says that a
//! write may have taken effect, and callers settle it by reading back.

mod config;
mod error;
mod platform;

pub use config::{ConfigChange, ConfigHead, ConfigStore, Publication, StoredConfig};
pub use error::{Error, Result};
pub use platform::{Commit, ObjectStore, Row, RowWrite, TableService};

/// The product's own table of entries, in which they find each other: a row each under
/// its instance's name, with the address that takes beats.
pub const ENTRY_TABLE: &str = "laurelhill-entries";
/// Keys that begin so hold a region's client blocks in that table, as CIDR, separated
/// by commas.
pub const BLOCK_PREFIX: &str = "blocks/";

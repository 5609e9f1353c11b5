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

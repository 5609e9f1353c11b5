//! Access to the platform: its transactional table service, object store and
//! instance list, behind small traits, with a client over HTTP and the
//! configuration's head row on top.
//!
//! A lost answer is never read as a failure: [`Error::Unknown`] says that a
//! write may have taken effect, and callers settle it by reading back.

mod claim;
mod error;
mod head;
mod http;
mod platform;

pub use claim::{ClaimStore, ClaimVerdict};
pub use error::{Error, Result};
pub use head::{HeadRow, HeadStore, Publication};
pub use http::PlatformClient;
pub use platform::{
    Commit, InstanceList, InstanceState, ListedInstance, ObjectStore, Row, RowWrite, TableService,
    WireCommit, WireRow,
};

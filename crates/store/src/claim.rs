//! Claims on callers' own idempotency keys: one row a key, written once.

use crate::error::{Error, Result};
use crate::platform::{Commit, RowWrite, TableService};

const TABLE: &str = "claims";

/// What a claim found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key is ours; nobody else may run it.
    Ours,
    /// Somebody claimed it before; this is what they wrote.
    Taken(String),
}

/// Claims keys in the table service.
#[derive(Debug, Clone)]
pub struct ClaimStore<P> {
    platform: P,
}

impl<P: TableService> ClaimStore<P> {
    /// Works on `platform`.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Claims `key` (hexadecimal) with `value`, which must be unique to this attempt.
    ///
    /// # Errors
    /// [`Error::Unavailable`] where nothing was claimed; [`Error::Unknown`] where the
    /// claim may stand and could not be read back, so that the key must not be used again.
    pub async fn claim(&self, key: &str, value: &str) -> Result<ClaimVerdict> {
        let write = RowWrite::new(TABLE, key, 0, value);
        match self.platform.commit(&[write]).await {
            Ok(Commit::Done) => return Ok(ClaimVerdict::Ours),
            Ok(Commit::Conflict) | Err(Error::Unknown(_)) => {}
            Err(error) => return Err(error),
        }
        match self.platform.read(TABLE, key).await {
            Ok(Some(row)) if row.value == value => Ok(ClaimVerdict::Ours),
            Ok(Some(row)) => Ok(ClaimVerdict::Taken(row.value)),
            Ok(None) => Err(Error::Unknown("the claim may still arrive".to_owned())),
            Err(error) => Err(Error::Unknown(error.to_string())),
        }
    }
    /// Replaces `from` by `to` in the claim on `key`, for repeats that come later.
    ///
    /// # Errors
    /// Where the platform can't be asked; the claim stands either way.
    pub async fn settle(&self, key: &str, from: &str, to: &str) -> Result<()> {
        let Some(row) = self.platform.read(TABLE, key).await? else {
            return Ok(());
        };
        if row.value != from {
            return Ok(());
        }
        let write = RowWrite::new(TABLE, key, row.revision, to);
        self.platform.commit(&[write]).await.map(|_| ())
    }
}

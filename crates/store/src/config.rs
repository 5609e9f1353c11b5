//! The configuration as operators edit it: base and overlays, a row a file, and a
//! head row whose version only goes up.
//!
//! A change writes the files that differ, the head, and the desired state that the
//! entries follow, in one transaction against the version that its author edited.
//! A lost answer is settled by reading the head back and looking for the author's
//! token.

use std::collections::BTreeMap;

use crate::error::{Error, Result};
use crate::platform::{CommitOutcome, Row, RowWrite, TableService};

/// The product's own table of configuration files.
const TABLE: &str = "laurelhill-config";
/// Key of the head; no file's name begins with a dot.
const HEAD_KEY: &str = ".head";
/// Reads after a lost answer until the write counts as undecided.
const UNKNOWN_OUTCOME_READS: u32 = 3;
/// Rows in one transaction, conditions among them; the platform's own limit.
const MAX_TRANSACTION_ROWS: usize = 100;
/// Rows and conditions of a change besides its files.
const RESERVED_ROWS: usize = 4;

base::common! {
    /// The head row.
    #[derive(Eq)]
    pub struct ConfigHead {
        /// The version, which only goes up.
        pub version: u64,
        /// Who made the change.
        pub author: String,
        /// Drawn by the author, so that a lost answer can be settled.
        pub token: String,
    }

    /// What became of a change.
    #[derive(Eq)]
    pub enum PublishOutcome {
        /// It is the configuration now.
        Accepted(ConfigHead),
        /// Somebody else's change came first; nothing was written.
        Conflict(Option<ConfigHead>),
    }
}

/// The configuration as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfig {
    /// Its head.
    pub head: ConfigHead,
    /// The files' texts by name.
    pub files: BTreeMap<String, String>,
}

/// A change that its author wants to make.
#[derive(Debug, Clone, Copy)]
pub struct ConfigChange<'a> {
    /// The version that was edited; 0 before the first.
    pub base_version: u64,
    /// The version to make; above `base_version`.
    pub version: u64,
    /// All files' texts by name.
    pub files: &'a BTreeMap<String, String>,
    /// Who makes it.
    pub author: &'a str,
    /// Drawn anew for each change.
    pub token: &'a str,
    /// Writes that put it in force.
    pub activation_writes: &'a [RowWrite],
}

/// The configuration's rows in the platform's store.
#[derive(Debug, Clone)]
pub struct ConfigStore<P> {
    platform: P,
}

/// The rows as they were read.
struct ConfigRows {
    head: Option<(u64, ConfigHead)>,
    files: Vec<Row>,
}

impl<P: TableService> ConfigStore<P> {
    /// The rows behind `platform`.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// The platform's store.
    pub fn platform(&self) -> &P {
        &self.platform
    }

    /// The configuration; `None` before the first version.
    ///
    /// # Errors
    /// Where the store doesn't answer, or the head can't be read.
    pub async fn current(&self) -> Result<Option<StoredConfig>> {
        let rows = self.rows().await?;
        let Some((_, head)) = rows.head else {
            return Ok(None);
        };
        let files = rows.files.into_iter().map(|row| (row.key, row.value));
        Ok(Some(StoredConfig {
            head,
            files: files.collect(),
        }))
    }

    /// Makes `change`, if its author edited the newest version.
    ///
    /// # Errors
    /// [`Error::Unknown`] where nobody knows whether it was made; others where
    /// nothing was written.
    pub async fn publish(&self, change: &ConfigChange<'_>) -> Result<PublishOutcome> {
        let rows = self.rows().await?;
        let (revision, version) = match &rows.head {
            Some((revision, head)) => (*revision, head.version),
            None => (0, 0),
        };
        if version != change.base_version {
            return Ok(PublishOutcome::Conflict(rows.head.map(|(_, head)| head)));
        }
        let head = ConfigHead {
            version: change.version,
            author: change.author.to_owned(),
            token: change.token.to_owned(),
        };
        let mut writes = file_writes(&rows.files, change.files);
        if writes.len() + RESERVED_ROWS + change.activation_writes.len() > MAX_TRANSACTION_ROWS {
            return Err(Error::Settings(format!(
                "{} files differ; change fewer at a time",
                writes.len()
            )));
        }
        writes.push(RowWrite::new(TABLE, HEAD_KEY, &encode(&head)?).with_expected(revision));
        writes.extend_from_slice(change.activation_writes);
        match self.platform.commit(&writes).await {
            Ok(CommitOutcome::Done) => Ok(PublishOutcome::Accepted(head)),
            Ok(CommitOutcome::Conflict) => Ok(PublishOutcome::Conflict(self.head().await?)),
            Err(Error::Unknown(cause)) => self.resolve_unknown_outcome(head, &cause).await,
            Err(error) => Err(error),
        }
    }

    async fn rows(&self) -> Result<ConfigRows> {
        let mut rows = ConfigRows {
            head: None,
            files: Vec::new(),
        };
        for row in self.platform.list(TABLE).await? {
            if row.key == HEAD_KEY {
                rows.head = Some((row.revision, decode(&row)?));
            } else {
                rows.files.push(row);
            }
        }
        Ok(rows)
    }

    async fn head(&self) -> Result<Option<ConfigHead>> {
        let row = self.platform.read(TABLE, HEAD_KEY).await?;
        row.as_ref().map(decode).transpose()
    }

    async fn resolve_unknown_outcome(
        &self,
        ours: ConfigHead,
        cause: &str,
    ) -> Result<PublishOutcome> {
        for _ in 0..UNKNOWN_OUTCOME_READS {
            let Ok(head) = self.head().await else {
                continue;
            };
            return match head {
                Some(head) if head.token == ours.token => Ok(PublishOutcome::Accepted(head)),
                Some(head) if head.version == ours.version => {
                    Ok(PublishOutcome::Conflict(Some(head)))
                }
                Some(head) if head.version > ours.version => Err(Error::Unknown(format!(
                    "the head is at version {} already; compare it with your change",
                    head.version
                ))),
                _ => Err(Error::Unknown(format!(
                    "{cause}; the head has not moved yet, and the write may still arrive"
                ))),
            };
        }
        Err(Error::Unknown(cause.to_owned()))
    }
}

/// The writes that turn the stored files into `wanted`.
fn file_writes(stored: &[Row], wanted: &BTreeMap<String, String>) -> Vec<RowWrite> {
    let mut writes = Vec::new();
    for (name, text) in wanted {
        let known = stored.iter().find(|row| row.key == *name);
        if known.is_none_or(|row| row.value != *text) {
            writes.push(RowWrite::new(TABLE, name, text));
        }
    }
    for row in stored {
        if !wanted.contains_key(&row.key) {
            writes.push(RowWrite::delete(TABLE, &row.key));
        }
    }
    writes
}

fn encode(head: &ConfigHead) -> Result<String> {
    serde_json::to_string(head).map_err(|cause| Error::Malformed(cause.to_string()))
}

fn decode(row: &Row) -> Result<ConfigHead> {
    serde_json::from_str(&row.value).map_err(|cause| Error::Malformed(cause.to_string()))
}

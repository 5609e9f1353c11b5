//! Versioned storage of the configuration: one row per file (base and overlays) and a
//! head row whose version only increases.
//!
//! A change writes the files that differ, the head and the desired state that entries
//! follow in a single transaction, conditional on the version the author edited. If the
//! answer to that transaction is lost, the head is read back and its token tells whether
//! the change was applied.

use std::collections::BTreeMap;

use crate::error::{Error, Result};
use crate::platform::{CommitOutcome, Row, RowWrite, TableService};

/// Table that holds the configuration files.
const TABLE: &str = "laurelhill-config";
/// Key of the head row. It can't collide with a file, as no file name begins with a dot.
const HEAD_KEY: &str = ".head";
/// How often the head is read after a lost answer before the outcome is reported as unknown.
const UNKNOWN_OUTCOME_READS: u32 = 3;
/// The platform's limit on rows and conditions in one transaction.
const MAX_TRANSACTION_ROWS: usize = 100;
/// Rows and conditions that a change needs in addition to its files.
const RESERVED_ROWS: usize = 4;

base::common! {
    /// The head row: version and origin of the stored configuration.
    #[derive(Eq)]
    pub struct ConfigHead {
        /// Version of the configuration; only increases.
        pub version: u64,
        /// Who made the change.
        pub author: String,
        /// Random token chosen by the author; identifies the change after a lost answer.
        pub token: String,
    }

    /// Outcome of publishing a change.
    #[derive(Eq)]
    pub enum PublishOutcome {
        /// The change was applied; this is the new head.
        Accepted(ConfigHead),
        /// A concurrent change was applied first and nothing was written. Holds the head
        /// that is stored now.
        Conflict(Option<ConfigHead>),
    }
}

/// The stored configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfig {
    /// The head row.
    pub head: ConfigHead,
    /// File contents by name.
    pub files: BTreeMap<String, String>,
}

/// A change to publish.
#[derive(Debug, Clone, Copy)]
pub struct ConfigChange<'a> {
    /// The version that was edited; 0 for the first change.
    pub base_version: u64,
    /// The new version; greater than `base_version`.
    pub version: u64,
    /// Contents of all files by name, including unchanged ones.
    pub files: &'a BTreeMap<String, String>,
    /// Who makes the change.
    pub author: &'a str,
    /// Random token, unique to each change.
    pub token: &'a str,
    /// Further writes of the same transaction that make entries apply the change.
    pub activation_writes: &'a [RowWrite],
}

/// Reads and publishes the configuration in the platform's store.
#[derive(Debug, Clone)]
pub struct ConfigStore<P> {
    platform: P,
}

/// All rows of the table, as read.
struct ConfigRows {
    /// The revision of the head row and its content.
    head: Option<(u64, ConfigHead)>,
    files: Vec<Row>,
}

impl<P: TableService> ConfigStore<P> {
    /// Creates a configuration store on top of `platform`.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// The underlying table service.
    pub fn platform(&self) -> &P {
        &self.platform
    }

    /// The stored configuration; `None` if none was published yet.
    ///
    /// # Errors
    /// If the store doesn't answer or the head row can't be decoded.
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

    /// Publishes `change` if it was made from the current version.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the change may or may not have been applied. With any other
    /// error nothing was written.
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

    /// Determines from the stored head whether a change whose answer was lost was applied.
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

/// The writes that turn the stored files into `wanted`, leaving unchanged files out.
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

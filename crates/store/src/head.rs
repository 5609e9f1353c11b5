//! The configuration's head: one row that only ever moves to a higher version.
//!
//! The content is stored first, under its hash; then the head row moves by
//! compare-and-set against the version that the author edited. A lost answer is
//! settled by reading the row back and looking for the author's token.

use crate::error::{Error, Result};
use crate::platform::{Commit, ObjectStore, Row, RowWrite, TableService};

const TABLE: &str = "config";
const KEY: &str = "head";
/// Reads that settle a lost answer before the outcome is reported as unknown.
const SETTLE_READS: u32 = 3;

base::common! {
    /// The head row's content.
    #[derive(Eq)]
    pub struct HeadRow {
        /// Version in force; the first is 1.
        pub version: u64,
        /// Hash under which the content is stored.
        pub hash: String,
        /// Who made this version.
        pub author: String,
        /// Unique to one attempt to move the head.
        pub token: String,
    }

    /// What became of an attempt to publish.
    #[derive(Eq)]
    pub enum Publication {
        /// The version is accepted.
        Accepted(HeadRow),
        /// Somebody else moved the head first; this is the head now.
        Raced(Option<HeadRow>),
    }
}

/// Reads and moves the head.
///
/// ```
/// use standin::FakePlatform;
/// use store::{HeadStore, Publication};
///
/// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
/// let heads = HeadStore::new(FakePlatform::new());
/// let hash = "0".repeat(64);
/// let first = heads.publish(0, &hash, b"content", "anna", "token 1").await?;
/// assert!(matches!(first, Publication::Accepted(head) if head.version == 1));
/// let late = heads.publish(0, &hash, b"other", "bert", "token 2").await?;
/// assert!(matches!(late, Publication::Raced(Some(head)) if head.author == "anna"));
/// # Ok::<(), store::Error>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone)]
pub struct HeadStore<P> {
    platform: P,
}

impl<P: TableService + ObjectStore> HeadStore<P> {
    /// Works on `platform`.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// The platform access that is used.
    pub fn platform(&self) -> &P {
        &self.platform
    }

    /// The head row; `None` before the first version.
    ///
    /// # Errors
    /// Where the platform can't be asked.
    pub async fn head(&self) -> Result<Option<HeadRow>> {
        Ok(self.head_row().await?.map(|(_, head)| head))
    }

    async fn head_row(&self) -> Result<Option<(u64, HeadRow)>> {
        let Some(Row { revision, value }) = self.platform.read(TABLE, KEY).await? else {
            return Ok(None);
        };
        let head =
            serde_json::from_str(&value).map_err(|cause| Error::Malformed(cause.to_string()))?;
        Ok(Some((revision, head)))
    }

    /// Reads the content stored under `hash`.
    ///
    /// # Errors
    /// Where the platform can't be asked or the object is missing.
    pub async fn content(&self, hash: &str) -> Result<Vec<u8>> {
        check_hash(hash)?;
        let content = self.platform.get(&object_name(hash)).await?;
        content.ok_or_else(|| Error::Malformed(format!("the object {hash} is missing")))
    }

    /// Publishes `content` as the version after `edited` (0 for the first one).
    ///
    /// # Errors
    /// [`Error::Unknown`] where neither the write nor the reads after it were answered;
    /// [`Error::Unavailable`] where nothing was written.
    pub async fn publish(
        &self,
        edited: u64,
        hash: &str,
        content: &[u8],
        author: &str,
        token: &str,
    ) -> Result<Publication> {
        check_hash(hash)?;
        let present = self.head_row().await?;
        let (revision, version) = match &present {
            Some((revision, head)) => (*revision, head.version),
            None => (0, 0),
        };
        if version != edited {
            return Ok(Publication::Raced(present.map(|(_, head)| head)));
        }
        self.put_content(hash, content).await?;
        let head = HeadRow {
            version: edited + 1,
            hash: hash.to_owned(),
            author: author.to_owned(),
            token: token.to_owned(),
        };
        let value =
            serde_json::to_string(&head).map_err(|cause| Error::Malformed(cause.to_string()))?;
        let write = RowWrite::new(TABLE, KEY, revision, &value);
        match self.platform.commit(&[write]).await {
            Ok(Commit::Done) => Ok(Publication::Accepted(head)),
            Ok(Commit::Conflict) => Ok(Publication::Raced(self.head().await?)),
            Err(Error::Unknown(cause)) => self.settle(head, &cause).await,
            Err(error) => Err(error),
        }
    }

    /// Objects never change, so a lost answer to a write is repeated once.
    async fn put_content(&self, hash: &str, content: &[u8]) -> Result<()> {
        let name = object_name(hash);
        match self.platform.put(&name, content).await {
            Err(Error::Unknown(_)) => self.platform.put(&name, content).await,
            other => other,
        }
    }

    async fn settle(&self, ours: HeadRow, cause: &str) -> Result<Publication> {
        for _ in 0..SETTLE_READS {
            let Ok(head) = self.head().await else {
                continue;
            };
            return match head {
                Some(head) if head.token == ours.token => Ok(Publication::Accepted(head)),
                Some(head) if head.version >= ours.version => self.settle_passed(ours, head).await,
                _ => Err(Error::Unknown(format!(
                    "{cause}; the head has not moved yet, and the write may still arrive"
                ))),
            };
        }
        Err(Error::Unknown(cause.to_owned()))
    }

    /// The head is past our version: either we lost, or somebody built on ours.
    async fn settle_passed(&self, ours: HeadRow, head: HeadRow) -> Result<Publication> {
        if head.version == ours.version {
            return Ok(Publication::Raced(Some(head)));
        }
        Err(Error::Unknown(format!(
            "the head is at version {} already; compare it with your change",
            head.version
        )))
    }
}

/// Fails where the name isn't a hexadecimal hash, so that it can't escape its folder.
fn check_hash(hash: &str) -> Result<()> {
    let valid = hash.len() == 64 && hash.bytes().all(|byte| byte.is_ascii_hexdigit());
    if valid {
        return Ok(());
    }
    Err(Error::Malformed(format!("'{hash}' is no content hash")))
}

fn object_name(hash: &str) -> String {
    format!("config-{hash}")
}

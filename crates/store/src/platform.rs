//! Traits for the services that laurelhill needs from the platform's store.

use std::future::Future;

use crate::error::Result;

base::common! {
    /// A row of a table.
    #[derive(Eq)]
    pub struct Row {
        /// The row's key.
        pub key: String,
        /// Increases with every write of the row; 0 denotes an absent row.
        pub revision: u64,
        /// The row's value.
        pub value: String,
    }

    /// The rows of a table whose keys begin with a prefix.
    #[derive(Eq)]
    pub struct RowSet {
        /// The rows, ordered by key.
        pub rows: Vec<Row>,
        /// Number of times that the store had come back from an older copy.
        pub era: u64,
        /// The store's version up to which the rows hold every change.
        pub version: u64,
    }

    /// One write of a transaction, optionally conditional on the row's revision.
    #[derive(Eq)]
    pub struct RowWrite {
        /// The table.
        pub table: String,
        /// The row's key.
        pub key: String,
        /// The revision that the row must have, 0 if it must be absent; `None` for an
        /// unconditional write.
        pub expect: Option<u64>,
        /// The new value; `None` deletes the row.
        pub value: Option<String>,
    }

    /// Outcome of a transaction that was answered.
    #[derive(Copy, Eq)]
    pub enum CommitOutcome {
        /// All writes were applied.
        Done,
        /// A row didn't have the expected revision; nothing was written.
        Conflict,
    }
}

impl RowSet {
    /// Returns the row with `key`.
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.key == key)
    }

    /// The store's version at the newest change of any of the rows, as far as the set holds every
    /// change; 0 if there is no row.
    pub fn changed_at(&self) -> u64 {
        let revisions = self.rows.iter().map(|row| row.revision);
        let complete = revisions.filter(|revision| *revision <= self.version);
        complete.max().unwrap_or(0)
    }
}

impl RowWrite {
    /// An unconditional write of `value`.
    pub fn new(table: &str, key: &str, value: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
            expect: None,
            value: Some(value.to_owned()),
        }
    }

    /// An unconditional deletion of the row.
    pub fn delete(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
            expect: None,
            value: None,
        }
    }

    /// Makes the write conditional on the row having the revision `expect`.
    #[must_use]
    pub fn with_expected(mut self, expect: u64) -> Self {
        self.expect = Some(expect);
        self
    }
}

/// The transactional table service.
pub trait TableService: Send + Sync {
    /// Reads one row.
    fn read(&self, table: &str, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads all rows of `table`, ordered by key.
    fn list(&self, table: &str) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Reads all rows of `table` whose keys begin with `prefix`, ordered by key.
    fn list_prefix(&self, table: &str, prefix: &str)
    -> impl Future<Output = Result<RowSet>> + Send;

    /// Applies all `writes` or none of them.
    fn commit(&self, writes: &[RowWrite]) -> impl Future<Output = Result<CommitOutcome>> + Send;
}

/// The object store.
pub trait ObjectStore: Send + Sync {
    /// Stores an object and replaces an existing one with the same name.
    fn put(&self, name: &str, content: &[u8]) -> impl Future<Output = Result<()>> + Send;

    /// Reads an object; `None` if it doesn't exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>>> + Send;
}

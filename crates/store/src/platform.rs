//! What laurelhill asks of the platform's store, as traits.

use std::future::Future;

use crate::error::Result;

base::common! {
    /// A row of a table.
    #[derive(Eq)]
    pub struct Row {
        /// The row's key.
        pub key: String,
        /// Rises with every write of the row; 0 stands for an absent row.
        pub revision: u64,
        /// The row's text.
        pub value: String,
    }

    /// One write of a transaction.
    #[derive(Eq)]
    pub struct RowWrite {
        /// The table.
        pub table: String,
        /// The row's key.
        pub key: String,
        /// The revision that the row must have, 0 for an absent row; `None` for any.
        pub expect: Option<u64>,
        /// The new text; `None` deletes the row.
        pub value: Option<String>,
    }

    /// What became of a transaction that was answered.
    #[derive(Copy, Eq)]
    pub enum CommitOutcome {
        /// Every write took effect.
        Done,
        /// A row had another revision; nothing was written.
        Conflict,
    }
}

impl RowWrite {
    /// Writes `value`, whatever the row holds.
    pub fn new(table: &str, key: &str, value: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
            expect: None,
            value: Some(value.to_owned()),
        }
    }

    /// Deletes the row, whatever it holds.
    pub fn delete(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
            expect: None,
            value: None,
        }
    }

    /// Does so only where the row still has the revision `expect`.
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

    /// Reads all rows of `table`, by key.
    fn list(&self, table: &str) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Applies all `writes` or none.
    fn commit(&self, writes: &[RowWrite]) -> impl Future<Output = Result<CommitOutcome>> + Send;
}

/// The object store.
pub trait ObjectStore: Send + Sync {
    /// Stores an object over an earlier one of the name.
    fn put(&self, name: &str, content: &[u8]) -> impl Future<Output = Result<()>> + Send;

    /// Reads an object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>>> + Send;
}

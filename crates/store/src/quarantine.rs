//! Rows of requests in quarantine, as entries and operators write them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::platform::{Row, RowWrite};
use crate::{ENTRY_TABLE, QUARANTINE_PREFIX};

/// Begins the text of a row whose quarantine an operator has lifted.
const LIFTED_PREFIX: &str = "lifted ";

/// What a row says of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRow {
    /// The request's print in full.
    pub print: String,
    /// How long ago the quarantine began, or was lifted.
    pub age: Duration,
    /// Whether an operator has lifted it.
    pub lifted: bool,
}

impl QuarantineRow {
    /// Whether the row is of a request in quarantine.
    pub fn is_quarantine_key(row: &Row) -> bool {
        row.key.starts_with(QUARANTINE_PREFIX)
    }

    /// Reads a row; `None` where it is no such row, or its text isn't understood.
    pub fn read(row: &Row) -> Option<Self> {
        let print = row.key.strip_prefix(QUARANTINE_PREFIX)?;
        let lifted = row.value.strip_prefix(LIFTED_PREFIX);
        let millis = lifted.unwrap_or(&row.value).parse().ok()?;
        Some(Self {
            print: print.to_owned(),
            // Another instance's clock may be ahead.
            age: unix_time().saturating_sub(Duration::from_millis(millis)),
            lifted: lifted.is_some(),
        })
    }

    /// Writes that the quarantine of `print` began so long ago.
    pub fn begin_write(print: &str, age: Duration) -> RowWrite {
        let since = unix_time().saturating_sub(age).as_millis();
        RowWrite::new(ENTRY_TABLE, &key(print), &since.to_string())
    }

    /// Writes that the quarantine of `print` is lifted now.
    pub fn lift_write(print: &str) -> RowWrite {
        let text = format!("{LIFTED_PREFIX}{}", unix_time().as_millis());
        RowWrite::new(ENTRY_TABLE, &key(print), &text)
    }

    /// Deletes the row of `print`.
    pub fn delete_write(print: &str) -> RowWrite {
        RowWrite::delete(ENTRY_TABLE, &key(print))
    }
}

fn key(print: &str) -> String {
    format!("{QUARANTINE_PREFIX}{print}")
}

fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}

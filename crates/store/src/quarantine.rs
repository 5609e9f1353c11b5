//! Rows of quarantined requests, written by entries and by operators.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::platform::{Row, RowWrite};
use crate::{ENTRY_TABLE, QUARANTINE_PREFIX};

/// Prefix of the value of a row whose quarantine was lifted by an operator.
const LIFTED_PREFIX: &str = "lifted ";

/// The content of a quarantine row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRow {
    /// The request's full fingerprint.
    pub print: String,
    /// Time since the quarantine began or, if `lifted`, since it was lifted.
    pub age: Duration,
    /// Whether an operator has lifted the quarantine.
    pub lifted: bool,
}

impl QuarantineRow {
    /// Whether the row's key is that of a quarantined request.
    pub fn is_quarantine_key(row: &Row) -> bool {
        row.key.starts_with(QUARANTINE_PREFIX)
    }

    /// Parses a row; `None` if it is not a quarantine row or its value can't be parsed.
    pub fn read(row: &Row) -> Option<Self> {
        let print = row.key.strip_prefix(QUARANTINE_PREFIX)?;
        let lifted = row.value.strip_prefix(LIFTED_PREFIX);
        let millis = lifted.unwrap_or(&row.value).parse().ok()?;
        Some(Self {
            print: print.to_owned(),
            // Saturates, as the clock of the instance that wrote the row may be ahead.
            age: unix_time().saturating_sub(Duration::from_millis(millis)),
            lifted: lifted.is_some(),
        })
    }

    /// A write that records that the quarantine of `print` began `age` ago.
    pub fn begin_write(print: &str, age: Duration) -> RowWrite {
        let since = unix_time().saturating_sub(age).as_millis();
        RowWrite::new(ENTRY_TABLE, &key(print), &since.to_string())
    }

    /// A write that records that the quarantine of `print` is lifted as of now.
    pub fn lift_write(print: &str) -> RowWrite {
        let text = format!("{LIFTED_PREFIX}{}", unix_time().as_millis());
        RowWrite::new(ENTRY_TABLE, &key(print), &text)
    }

    /// A write that deletes the row of `print`.
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

//! The outcome of a request, as stated in every answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Response header that carries the [`Outcome`].
pub const OUTCOME_HEADER: &str = "laurelhill-outcome";

/// The outcome of a request: whether it was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server executed the request and this is its answer.
    Done,
    /// No backend server has executed the request, and none will.
    NotRun,
    /// The request may have been executed; it will not be sent again.
    Unknown,
}

impl Outcome {
    /// The value used in [`OUTCOME_HEADER`] and in problem documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses a value made by [`Outcome::as_str`]; `None` for anything else.
    pub fn parse(word: &str) -> Option<Self> {
        match word {
            "done" => Some(Self::Done),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

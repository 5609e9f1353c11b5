//! What became of a request, as every answer states it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Header in which an answer states its [`Outcome`].
pub const OUTCOME_HEADER: &str = "laurelhill-outcome";

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request and this is its answer.
    Done,
    /// No backend server ran the request, and none will.
    NotRun,
    /// The request may have run; it will not be sent again.
    Unknown,
}

impl Outcome {
    /// The word used in the answer's header and in problem documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the word back; `None` for any other word.
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

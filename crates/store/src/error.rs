//! Errors of the platform access.

use quick_error::quick_error;

quick_error! {
    /// Why the platform gave no usable answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The request did not reach the platform; nothing was written.
        Unavailable(cause: String) {
            display("the platform can't be reached: {}", cause)
        }
        /// The answer was lost; a write may have taken effect.
        Unknown(cause: String) {
            display("the platform's answer was lost, so a write may have taken effect: {}", cause)
        }
        /// The platform's answer makes no sense.
        Malformed(cause: String) {
            display("the platform's answer can't be read: {}", cause)
        }
        /// A stored set of settings isn't valid.
        Settings(cause: String) {
            display("stored settings can't be used: {}", cause)
        }
    }
}

impl Error {
    /// The error's kind in one word, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Unavailable(_) => "unavailable",
            Self::Unknown(_) => "unknown",
            Self::Malformed(_) => "malformed",
            Self::Settings(_) => "settings",
        }
    }
}

/// Result of the platform access.
pub type Result<T> = std::result::Result<T, Error>;

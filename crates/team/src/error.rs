//! Errors of teams and keys.

use quick_error::quick_error;

quick_error! {
    /// Why a text is not the digest of a key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text lacks the prefix with the name of the hash.
        Scheme {
            display("a key digest must start with sha256:, followed by 64 hexadecimal digits")
        }
        /// The digest has the wrong number of digits, or other characters.
        Digits {
            display("a key digest must have exactly 64 hexadecimal digits after sha256:")
        }
    }
}

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

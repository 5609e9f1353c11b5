//! What can be wrong with teams and keys.

use quick_error::quick_error;

quick_error! {
    /// Why something isn't a key's digest.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text doesn't begin with the name of the hash.
        Scheme {
            display("a key's digest is written sha256: and 64 hexadecimal digits")
        }
        /// The digits are too few, too many, or no digits.
        Digits {
            display("a key's digest has 64 hexadecimal digits after sha256:")
        }
    }
}

/// What this crate's functions return.
pub type Result<T> = std::result::Result<T, Error>;

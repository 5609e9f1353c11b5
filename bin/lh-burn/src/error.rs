//! Errors that end the program.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// Why the program ended.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are wrong.
        Settings(cause: conf::Error) {
            display("{}", cause)
            from()
        }
        /// The platform can't be used.
        Platform(cause: store::Error) {
            display("{}", cause)
            from()
        }
        /// The report can't be made.
        Report(cause: burn::Error) {
            display("{}", cause)
            from()
        }
        /// A file or the process failed.
        System(cause: std::io::Error) {
            display("{}", cause)
            from()
        }
    }
}

impl Error {
    /// The kind of end that this error means.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Settings(_) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

//! Errors that end the program.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// An error that ends the program.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are invalid.
        Settings(cause: conf::Error) {
            display("{}", cause)
            from()
        }
        /// A request to the platform failed.
        Platform(cause: store::Error) {
            display("{}", cause)
            from()
        }
        /// The report can't be created.
        Report(cause: burn::Error) {
            display("{}", cause)
            from()
        }
        /// An I/O operation failed.
        System(cause: std::io::Error) {
            display("{}", cause)
            from()
        }
    }
}

impl Error {
    /// The exit class for this error.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Settings(_) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

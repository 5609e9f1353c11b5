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
        /// A socket or file failed.
        System(cause: std::io::Error) {
            display("{}", cause)
            from()
        }
        /// A URL can't be used.
        Url(url: String) {
            display("'{}' is no URL of the form http://IP:port/path", url)
        }
        /// The other side failed.
        Exchange(detail: String) {
            display("{}", detail)
        }
        /// A promise was broken.
        GuaranteesViolated(phase: String) {
            display("phase '{}': a promise was broken", phase)
        }
    }
}

impl Error {
    /// The kind of end that this error means.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Settings(_) | Self::Url(_) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

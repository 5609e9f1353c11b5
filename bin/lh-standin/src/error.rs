//! Fatal errors of `lh-standin`.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// A fatal error.
    #[derive(Debug)]
    pub enum Error {
        /// Invalid settings of the deployment.
        Settings(cause: conf::Error) {
            display("{}", cause)
            from()
        }
        /// An I/O error of a socket or file.
        System(cause: std::io::Error) {
            display("{}", cause)
            from()
        }
        /// An invalid URL.
        Url(url: String) {
            display("'{}' is not a URL of the form http://IP:port/path", url)
        }
        /// A request failed, or its response is invalid.
        Exchange(detail: String) {
            display("{}", detail)
        }
        /// A guarantee was violated in this phase.
        GuaranteesViolated(phase: String) {
            display("phase '{}': a guarantee was violated", phase)
        }
    }
}

impl Error {
    /// The exit class of this error.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Settings(_) | Self::Url(_) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of `lh-standin` operations.
pub type Result<T> = std::result::Result<T, Error>;

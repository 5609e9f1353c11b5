//! Errors that end the program.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// Why the program can't start or continue.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are invalid.
        Settings(cause: conf::Error) {
            display("{}", cause)
            from()
        }
        /// A service is missing or registered twice.
        Services(cause: kernel::Error) {
            display("{}", cause)
            from()
        }
        /// An address can't be bound.
        Listen(what: &'static str, address: std::net::SocketAddr, cause: std::io::Error) {
            display("can't listen for {} on {}; is another process using it?", what, address)
            source(cause)
        }
        /// Setting up the process failed.
        Process(cause: std::io::Error) {
            display("the process can't be set up: {}", cause)
            from()
        }
        /// Registering a metric failed.
        Metrics(cause: prometheus::Error) {
            display("metrics can't be registered: {}", cause)
            from()
        }
    }
}

quick_error! {
    /// Why a request of a caller ends without a response.
    #[derive(Debug)]
    pub enum RequestError {
        /// The caller closed its connection.
        CallerLeft {
            display("the caller left before it had its response")
        }
    }
}

impl Error {
    /// Returns the exit class of this error.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Settings(_) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

//! Errors that end the program.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// Why the program can't run.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are wrong.
        Settings(cause: conf::Error) {
            display("{}", cause)
            from()
        }
        /// A part of the program is missing.
        Wiring(cause: kernel::Error) {
            display("{}", cause)
            from()
        }
        /// An address can't be used.
        Listen(what: &'static str, address: std::net::SocketAddr, cause: std::io::Error) {
            display("can't listen for {} on {}; is another process using it?", what, address)
            source(cause)
        }
        /// The process lacks something it needs.
        Process(cause: std::io::Error) {
            display("the process can't be set up: {}", cause)
            from()
        }
        /// Metrics can't be registered.
        Metrics(cause: prometheus::Error) {
            display("metrics can't be registered: {}", cause)
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

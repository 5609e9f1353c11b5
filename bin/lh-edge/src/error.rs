//! Errors that end the program.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// Why the program can't run.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file can't be read.
        Read(path: String, cause: ini::Error) {
            display("can't read the settings file {}; give its path with --settings", path)
            source(cause)
        }
        /// A setting is missing or wrong.
        Setting(section: &'static str, key: String, why: String) {
            display("[{}] {}: {}", section, key, why)
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
            Self::Read(..) | Self::Setting(..) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

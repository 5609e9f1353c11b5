//! Errors of the commands, and their exit classes.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are invalid.
        Settings(cause: conf::Error) {
            display("{}", cause)
            from()
        }
        /// The command line is invalid.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// The configuration was changed since the version that the edit is based on.
        VersionConflict(base_version: u64, current_version: u64, author: String, changes: String) {
            display("the edit is based on version {}, but {} has published version {} since; nothing \
                     was written. Concurrent changes:\n{}Merge them into your files and apply again with --edited {}",
                    base_version, author, current_version, changes, current_version)
        }
        /// The change was refused.
        Refused(detail: String) {
            display("{}", detail)
        }
        /// The platform can't be reached, and nothing was written.
        Unavailable(cause: store::Error) {
            display("{}; nothing was written; try again", cause)
        }
        /// It is unknown whether the change was made.
        Unknown(cause: store::Error, token: String) {
            display("{}. Run `lhctl diff` with the same folder: if it shows no difference, the change \
                     was made (token {}); otherwise apply again", cause, token)
        }
        /// The change was made, but isn't in force on all instances yet.
        PartiallyInForce(version: u64, pending: String) {
            display("version {} was accepted, but isn't in force yet on: {}. Run `lhctl status` later; \
                     do not apply again", version, pending)
        }
        /// The runtime can't be started, or an input or output operation failed.
        System(cause: std::io::Error) {
            display("{}", cause)
            from()
        }
    }
}

impl Error {
    /// The exit class of the program for this error.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Settings(_) | Self::Usage(_) => ExitClass::Settings,
            Self::Unknown(..) => ExitClass::Unknown,
            _ => ExitClass::Refused,
        }
    }
}

impl From<store::Error> for Error {
    fn from(cause: store::Error) -> Self {
        Self::Unavailable(cause)
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

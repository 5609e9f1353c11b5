//! Errors that end the program.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// Why the command was not done.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are wrong.
        Settings(cause: conf::Error) {
            display("{}", cause)
            from()
        }
        /// The usage is wrong.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// Somebody else changed the configuration first.
        VersionConflict(base_version: u64, current_version: u64, author: String, changes: String) {
            display("version {} was edited, but {} made version {} meanwhile; nothing was written. \
                     Changed under you:\n{}Merge that into your files and apply again with --edited {}",
                    base_version, author, current_version, changes, current_version)
        }
        /// The change is refused.
        Refused(detail: String) {
            display("{}", detail)
        }
        /// The platform can't be reached, and nothing was written.
        Unavailable(cause: store::Error) {
            display("{}; nothing was written, try again", cause)
        }
        /// Nobody knows whether the change was made.
        Unknown(cause: store::Error, token: String) {
            display("{}. Run `lhctl diff` with the same folder: if it shows no difference, the change \
                     was made (token {}); otherwise apply again", cause, token)
        }
        /// The change is made, but not in force everywhere yet.
        PartiallyInForce(version: u64, pending: String) {
            display("version {} is accepted, but not yet in force at: {}. Run `lhctl status` later; \
                     do not apply again", version, pending)
        }
        /// A process can't be set up or a file written.
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

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

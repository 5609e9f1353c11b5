//! Fatal errors of `lh-soak`.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// A fatal error.
    #[derive(Debug)]
    pub enum Error {
        /// An invalid command line.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// An I/O error of a socket, file or process.
        System(cause: std::io::Error) {
            display("{}", cause)
            from()
        }
        /// A history file that can't be parsed.
        History(cause: serde_json::Error) {
            display("invalid history file: {}", cause)
            from()
        }
        /// The entries failed to start.
        Start(detail: String) {
            display("{}", detail)
        }
        /// The run was interrupted by a signal.
        Stopped {
            display("interrupted by a signal; no guarantee was checked")
        }
        /// Guarantees were violated, this many times.
        GuaranteesViolated(count: usize) {
            display("{} violations of guarantees; the history and the logs of the entries are kept", count)
        }
    }
}

impl Error {
    /// The exit class of this error.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Usage(_) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of `lh-soak` operations.
pub type Result<T> = std::result::Result<T, Error>;

//! Errors that end the program.

use kernel::ExitClass;
use quick_error::quick_error;

quick_error! {
    /// Why the program ended.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is wrong.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// A socket, file or process failed.
        System(cause: std::io::Error) {
            display("{}", cause)
            from()
        }
        /// A history can't be read.
        History(cause: serde_json::Error) {
            display("the history isn't one of this program: {}", cause)
            from()
        }
        /// The entries didn't start.
        Start(detail: String) {
            display("{}", detail)
        }
        /// A signal ended the run.
        Stopped {
            display("stopped by a signal; nothing was judged")
        }
        /// Promises were broken.
        GuaranteesViolated(count: usize) {
            display("{} promises were broken; the history and the entries' lines are kept", count)
        }
    }
}

impl Error {
    /// The kind of end that this error means.
    pub fn class(&self) -> ExitClass {
        match self {
            Self::Usage(_) => ExitClass::Settings,
            _ => ExitClass::Refused,
        }
    }
}

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

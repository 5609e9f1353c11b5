//! Errors of the simulated callers.

use quick_error::quick_error;

quick_error! {
    /// An error of a simulated caller.
    #[derive(Debug)]
    pub enum Error {
        /// An I/O error of a socket.
        Socket(cause: std::io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// An invalid or missing response.
        Response(detail: String) {
            display("{}", detail)
        }
    }
}

/// Result of operations of a simulated caller.
pub type Result<T> = std::result::Result<T, Error>;

//! Errors of the request path.

use quick_error::quick_error;

quick_error! {
    /// Why a request got no answer from a backend server or an instance.
    #[derive(Debug)]
    pub enum Error {
        /// No connection; nothing was sent.
        Connect(cause: std::io::Error) {
            display("can't connect: {}", cause)
            source(cause)
        }
        /// The connection broke before the request was sent.
        NotSent(cause: String) {
            display("the request was not sent: {}", cause)
        }
        /// The connection broke after the request was sent, at least in part.
        Broken(cause: String) {
            display("the connection broke: {}", cause)
        }
        /// The deadline passed after the request was sent.
        Late {
            display("no answer before the deadline")
        }
        /// The body is larger than allowed.
        BodyTooLarge {
            display("the request's body is larger than allowed")
        }
    }
}

/// Result of the request path.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Whether it is certain that no byte of the request left.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}

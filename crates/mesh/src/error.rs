//! Errors of the mesh.

use quick_error::quick_error;

quick_error! {
    /// Why a message was not sent, answered or understood.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The socket refused.
        Socket(cause: String) {
            display("the mesh socket failed: {}", cause)
        }
        /// The bytes are no message of this kind.
        Malformed(cause: String) {
            display("a mesh message can't be read: {}", cause)
        }
        /// The message is larger than allowed.
        TooLarge(size: usize) {
            display("a mesh message of {} bytes is larger than allowed", size)
        }
        /// The worker thread is gone.
        Closed {
            display("the mesh is closed")
        }
    }
}

impl From<nng::Error> for Error {
    fn from(cause: nng::Error) -> Self {
        Self::Socket(cause.to_string())
    }
}

/// Result of the mesh.
pub type Result<T> = std::result::Result<T, Error>;

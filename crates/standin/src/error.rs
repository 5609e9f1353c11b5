//! Errors of the stand-ins.

use quick_error::quick_error;

quick_error! {
    /// Why a stand-in could not do its work.
    #[derive(Debug)]
    pub enum Error {
        /// A connection or socket failed.
        Socket(cause: std::io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// An answer made no sense.
        Answer(detail: String) {
            display("{}", detail)
        }
    }
}

/// Result of the stand-ins.
pub type Result<T> = std::result::Result<T, Error>;

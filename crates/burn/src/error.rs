//! Errors of the burn report.

use quick_error::quick_error;

quick_error! {
    /// Why no report could be made.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The metrics can't be read.
        Metrics(cause: String) {
            display("an instance's metrics can't be read: {}", cause)
        }
        /// The plot can't be drawn.
        Plot(cause: String) {
            display("a plot can't be drawn: {}", cause)
        }
    }
}

/// Result of the burn report.
pub type Result<T> = std::result::Result<T, Error>;

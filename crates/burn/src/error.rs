//! Errors of the burn report.

use quick_error::quick_error;

quick_error! {
    /// An error of the burn report.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The metrics of an instance can't be parsed.
        Metrics(cause: String) {
            display("can't parse the metrics of an instance: {}", cause)
        }
        /// The plot can't be drawn.
        Plot(cause: String) {
            display("can't draw a plot: {}", cause)
        }
    }
}

/// Result of the burn report.
pub type Result<T> = std::result::Result<T, Error>;

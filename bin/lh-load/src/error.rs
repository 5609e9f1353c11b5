//! Errors of the tool.

use quick_error::quick_error;

quick_error! {
    /// Why the tool gave up.
    #[derive(Debug)]
    pub enum Error {
        /// The plot can't be written.
        Plot(path: String, why: String) {
            display("can't draw {}: {}; name a file in a folder that can be written", path, why)
        }
    }
}

/// Result of the tool.
pub type Result<T> = std::result::Result<T, Error>;

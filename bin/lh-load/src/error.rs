//! Errors of the program.

use quick_error::quick_error;

quick_error! {
    /// An error that ends the program.
    #[derive(Debug)]
    pub enum Error {
        /// The plot can't be written to this path.
        Plot(path: String, why: String) {
            display("can't write the plot to {}: {}; choose a file in a writable folder", path, why)
        }
    }
}

/// Result of the program.
pub type Result<T> = std::result::Result<T, Error>;

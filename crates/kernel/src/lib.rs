//! A registry through which services find each other by name at start-up, and what every
//! program needs besides: termination signals, logging and exit codes.
//!
//! Services are looked up by name only at start-up. Code on the request path keeps the
//! typed handle that the look-up returned.
//!
//! ```
//! use kernel::ServiceRegistry;
//!
//! let mut registry = ServiceRegistry::new();
//! registry.register("counter", 7_u32)?;
//! assert_eq!(*registry.find::<u32>("counter")?, 7);
//! # Ok::<(), kernel::Error>(())
//! ```

mod error;
mod exit;
mod logging;
mod registry;
mod signals;

pub use error::{Error, Result};
pub use exit::{ExitClass, report_exit};
pub use logging::init_logging;
pub use registry::ServiceRegistry;
pub use signals::wait_for_termination;

//! A micro-kernel: services register under a name and find each other by name while
//! they are wired. Besides, what every program needs: stops, logs and exit codes.
//!
//! Look-ups by name happen only while wiring. The request path keeps the typed
//! handle that it got then.
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
mod logs;
mod registry;
mod stop;

pub use error::{Error, Result};
pub use exit::{ExitClass, report_exit};
pub use logs::init_logging;
pub use registry::ServiceRegistry;
pub use stop::wait_for_termination;

//! Errors of the kernel.

use quick_error::quick_error;

quick_error! {
    /// What can go wrong while services are wired together.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No service of that name has been registered yet.
        NotRegistered(name: &'static str) {
            display("no service is registered as '{}'; register it before its users", name)
        }
        /// The name is taken.
        AlreadyRegistered(name: &'static str) {
            display("a service is already registered as '{}'", name)
        }
        /// The service exists with another type.
        WrongType(name: &'static str) {
            display("the service '{}' has another type than the one asked for", name)
        }
    }
}

/// Result of the kernel.
pub type Result<T> = std::result::Result<T, Error>;

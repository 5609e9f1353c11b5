//! Errors of the service registry.

use quick_error::quick_error;

quick_error! {
    /// Errors when services are registered or looked up.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No service is registered under the name yet.
        NotRegistered(name: &'static str) {
            display("no service is registered as '{}'; register it before its users", name)
        }
        /// Another service is registered under the name.
        AlreadyRegistered(name: &'static str) {
            display("a service is already registered as '{}'", name)
        }
        /// The service under the name has another type than requested.
        WrongType(name: &'static str) {
            display("the service '{}' has another type than requested", name)
        }
    }
}

/// Result of a registry operation.
pub type Result<T> = std::result::Result<T, Error>;

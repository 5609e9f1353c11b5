//! What `lh-entry` and `lh-steer` share around their own work: the command line, errors
//! with their exit codes, listeners, and the metrics' text.

mod error;
mod program;

use std::net::SocketAddr;

use prometheus::{Encoder, Registry, TextEncoder};
use tokio::net::TcpListener;

pub use error::{Error, Result};
pub use program::{Arguments, DaemonConfig, run};

/// Listens on `address` for `what`.
///
/// # Errors
/// [`Error::Listen`] where the address can't be bound.
pub async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen(what, address, cause))
}

/// All metrics of `registry` in the text format.
pub fn metrics_text(registry: &Registry) -> String {
    let mut text = Vec::new();
    if TextEncoder::new()
        .encode(&registry.gather(), &mut text)
        .is_err()
    {
        return String::new();
    }
    String::from_utf8(text).unwrap_or_default()
}

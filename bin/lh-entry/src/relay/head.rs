//! What an entry tells the peer through which it relays a request.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Header with the encoded [`RelayHead`].
pub(super) const RELAY_HEADER: HeaderName = HeaderName::from_static("laurelhill-relay");
/// Header by which a peer says why another one should be tried.
pub(super) const DECLINED_HEADER: HeaderName = HeaderName::from_static("laurelhill-declined");
/// It can't reach the servers either.
pub(super) const NO_PATH: &str = "no-path";
/// Its desired state is older than that of the caller's entry.
pub(super) const BEHIND: &str = "behind";
/// Its process is stopping.
pub(super) const STOPPING: &str = "stopping";

base::common! {
    /// What the entry of the caller has decided on a request.
    pub(super) struct RelayHead {
        /// Time until the request's deadline.
        pub(super) time_left: Duration,
        /// Version of the desired state by which it was admitted.
        pub(super) version: u64,
        /// The service that serves it.
        pub(super) service: String,
        /// Regions that may serve it; empty allows all.
        pub(super) home_regions: Vec<String>,
        /// Its priority; 0 is the most urgent.
        pub(super) priority: u32,
        /// The team that sent it.
        pub(super) team: Option<String>,
        /// Whether its caller was refused before.
        pub(super) returning: bool,
        /// Number of servers to which it may be sent.
        pub(super) attempts_left: u32,
    }
}

impl RelayHead {
    /// Writes the head to `headers`.
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        let bytes = postcard::to_allocvec(self).unwrap_or_else(|error| {
            log::error!(error:%; "can't encode the head of a relayed request");
            Vec::new()
        });
        match HeaderValue::from_str(&URL_SAFE_NO_PAD.encode(bytes)) {
            Ok(value) => {
                headers.insert(RELAY_HEADER, value);
            }
            Err(error) => log::error!(error:%; "head of a relayed request is not a header value"),
        }
    }

    /// Takes the head out of `headers`; `None` if it can't be decoded.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(RELAY_HEADER)?;
        let bytes = URL_SAFE_NO_PAD.decode(value.as_bytes()).ok()?;
        postcard::from_bytes(&bytes).ok()
    }
}

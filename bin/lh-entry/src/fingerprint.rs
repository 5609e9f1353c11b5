//! The print of a request: what tells it from others, and not one attempt of its caller
//! from the next.

use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Method, Uri};
use place::crash::print::RequestFingerprint;
use platform::headers;
use sha2::{Digest, Sha256};

use crate::caller;
use crate::reply::is_hop_by_hop;

/// Headers of tracing and clocks, which differ from one attempt to the next.
const TRACE_HEADERS: [HeaderName; 4] = [
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
    HeaderName::from_static("baggage"),
    header::DATE,
];

/// Bytes of a body that count: how many of a longer one are at hand differs each time.
const MAX_HASHED_BODY_BYTES: usize = 64 << 10;

/// The print of a request with the beginning of its body. A cryptographic hash,
/// so that no caller can make a request that is taken for another's.
pub(crate) fn request_fingerprint(
    method: &Method,
    target: &Uri,
    headers: &HeaderMap,
    team: &str,
    body: &[u8],
) -> RequestFingerprint {
    let mut hasher = Sha256::new();
    // What one team sends is held against no other.
    update_prefixed(&mut hasher, team.as_bytes());
    update_prefixed(&mut hasher, method.as_str().as_bytes());
    let target = target.path_and_query();
    update_prefixed(
        &mut hasher,
        target.map_or("/", |target| target.as_str()).as_bytes(),
    );
    let mut hashed_headers: Vec<(&str, &[u8])> = headers
        .iter()
        .filter(|(name, _)| !is_excluded(name))
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    // A proxy on the way may send them in another order.
    hashed_headers.sort_unstable();
    for (name, value) in hashed_headers {
        update_prefixed(&mut hasher, name.as_bytes());
        update_prefixed(&mut hasher, value);
    }
    update_prefixed(&mut hasher, &body[..body.len().min(MAX_HASHED_BODY_BYTES)]);
    let digest = hasher.finalize();
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&digest[..16]);
    RequestFingerprint(u128::from_be_bytes(truncated))
}

/// Adds a part with its length, so that no two lists of parts read alike.
fn update_prefixed(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}

fn is_excluded(name: &HeaderName) -> bool {
    headers::is_per_attempt(name)
        || caller::is_per_attempt(name)
        || is_hop_by_hop(name)
        || TRACE_HEADERS.contains(name)
}

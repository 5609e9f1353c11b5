//! Computes the fingerprint of a request, which is the same for every attempt of its caller and
//! different for other requests.

use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Method, Uri};
use place::crash::fingerprint::RequestFingerprint;
use platform::headers;
use sha2::{Digest, Sha256};

use crate::caller;
use crate::reply::is_hop_by_hop;

/// Tracing and date headers, which differ between attempts.
const TRACE_HEADERS: [HeaderName; 4] = [
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
    HeaderName::from_static("baggage"),
    header::DATE,
];

/// Maximum number of bytes of the body that are hashed. How much of a larger body has arrived
/// when the fingerprint is computed differs between attempts.
const MAX_HASHED_BODY_BYTES: usize = 64 << 10;

/// Computes the fingerprint of a request from its headers and the start of its body. The hash is
/// cryptographic, so that no caller can forge a request with the fingerprint of another.
pub(crate) fn request_fingerprint(
    method: &Method,
    target: &Uri,
    headers: &HeaderMap,
    team: &str,
    body: &[u8],
) -> RequestFingerprint {
    let mut hasher = Sha256::new();
    // A request of one team must not put that of another team into quarantine.
    add(&mut hasher, team.as_bytes());
    add(&mut hasher, method.as_str().as_bytes());
    let target = target.path_and_query();
    add(
        &mut hasher,
        target.map_or("/", |target| target.as_str()).as_bytes(),
    );
    let mut hashed_headers: Vec<(&str, &[u8])> = headers
        .iter()
        .filter(|(name, _)| !is_excluded(name))
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    // A proxy in between may reorder the headers.
    hashed_headers.sort_unstable();
    for (name, value) in hashed_headers {
        add(&mut hasher, name.as_bytes());
        add(&mut hasher, value);
    }
    add(&mut hasher, &body[..body.len().min(MAX_HASHED_BODY_BYTES)]);
    let digest = hasher.finalize();
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    RequestFingerprint(u128::from_be_bytes(half))
}

/// Hashes the length of a part and the part itself, so that different lists of parts never
/// concatenate to the same input.
fn add(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}

fn is_excluded(name: &HeaderName) -> bool {
    headers::is_per_attempt(name)
        || caller::is_per_attempt(name)
        || is_hop_by_hop(name)
        || TRACE_HEADERS.contains(name)
}

//! Finds the requests in what a caller sends, so that those behind the first can be started early.

use httparse::{EMPTY_HEADER, Status};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};

/// Maximum number of headers of a request that is recognized.
const MAX_HEADERS: usize = 64;

/// What the bytes at the current position of a connection are.
#[derive(Debug)]
pub(crate) enum ScannedHead {
    /// A part of a request's head.
    Partial,
    /// A complete request head.
    Complete(Box<FoundRequest>),
    /// Anything else. Where the next request begins is unknown.
    Unknown,
}

/// A request whose head is complete.
#[derive(Debug)]
pub(crate) struct FoundRequest {
    /// Its head.
    pub(crate) parts: Parts,
    /// Length of the head, in bytes.
    pub(crate) head_bytes: usize,
    /// Length of the body, in bytes.
    pub(crate) body_bytes: usize,
}

/// Scans the first request head in `bytes`.
pub(crate) fn scan_head(bytes: &[u8]) -> ScannedHead {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(Status::Complete(head_bytes)) => {
            let found = parse_request(&head).and_then(|parts| {
                let body_bytes = body_bytes(&parts.headers)?;
                Some(Box::new(FoundRequest {
                    parts,
                    head_bytes,
                    body_bytes,
                }))
            });
            found.map_or(ScannedHead::Unknown, ScannedHead::Complete)
        }
        Ok(Status::Partial) => ScannedHead::Partial,
        Err(_) => ScannedHead::Unknown,
    }
}

/// The head as parts of a request; `None` if no further requests can follow it.
fn parse_request(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    if head.version != Some(1) {
        return None;
    }
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for header in &*head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    if headers.contains_key(CONNECTION)
        || headers.contains_key(UPGRADE)
        || headers.contains_key(EXPECT)
    {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *request.headers_mut() = headers;
    Some(request.into_parts().0)
}

/// Length of the body that the headers state; `None` if it isn't known in advance.
fn body_bytes(headers: &HeaderMap) -> Option<usize> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Some(0);
    };
    if lengths.next().is_some() {
        return None;
    }
    let digits = length.to_str().ok()?;
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| digits.parse().ok())?
}

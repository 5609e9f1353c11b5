//! Validates responses of backend servers, and builds the entry's own responses to callers.

use std::future::poll_fn;
use std::time::Duration;

use base::prelude::Outcome;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Response, StatusCode};
use platform::headers::ServerHeaders;

use crate::body::ResponseBody;
use crate::body_reader::ReadError;
use crate::caller::Caller;
use crate::leased_buffer::LeasedBuffer;
use crate::memory::MemoryLease;
use crate::pieces::PieceReader;
use crate::problem::Problem;
use crate::record::RequestRecord;
use crate::state::InstanceState;

/// Maximum size of a response that is read completely before it is forwarded, in bytes. If the
/// connection fails before that, the request can be retried.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;
/// Retry time for callers whose bodies stood still while memory was short.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Memory that a response needs while it is forwarded as it arrives, in bytes: buffers of both
/// connections.
pub(crate) const STREAM_BYTES: usize = 96 << 10;
/// Statuses that end a request.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;
/// Headers that apply to a single connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// A response body of which at least the start has arrived.
pub(crate) struct ReadResponse {
    /// What has arrived.
    pub(crate) bytes: Bytes,
    /// The rest of a large body, or of one that there was no memory for.
    pub(crate) rest: Option<PieceReader>,
    /// The memory of `bytes`.
    pub(crate) lease: MemoryLease,
}

/// Reads a response body completely, or only its start if it is large or memory is short.
pub(crate) async fn read_response(
    state: &InstanceState,
    body: Incoming,
) -> Result<ReadResponse, hyper::Error> {
    let mut body = PieceReader::new(body);
    let mut buffer = LeasedBuffer::new(state.memory.lease(), body.size_hint().exact());
    let mut rest = None;
    let mut unheld = None;
    while let Some(frame) = poll_fn(|context| body.poll_frame(context)).await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        unheld = buffer.add(data);
        if unheld.is_some() || buffer.len() >= MAX_BUFFERED_RESPONSE_BYTES {
            rest = Some(body);
            break;
        }
    }
    let (bytes, lease) = buffer.into_parts();
    if rest.is_some() && lease.claim(bytes.len() + STREAM_BYTES).is_err() {
        log::debug!("a response is forwarded beyond the memory for responses");
    }
    let bytes = match unheld {
        Some(next) if bytes.is_empty() => next,
        Some(next) => [bytes, next].concat().into(),
        None => bytes,
    };
    Ok(ReadResponse { bytes, rest, lease })
}

/// Returns whether the response may be forwarded to the caller. A status that callers read as
/// "not run" is not forwarded unless the server states that the request did not run. Neither is a
/// number outside of HTTP's classes, nor a switch of protocols, which nobody can have asked for:
/// entries don't forward the header for it.
pub(crate) fn is_valid_response(
    status: StatusCode,
    headers: &HeaderMap,
    head: &ServerHeaders,
) -> bool {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return false;
    }
    if status.is_success() {
        return head.has_server_stamp && !headers.contains_key(header::CONTENT_ENCODING);
    }
    !matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether the header applies to a single connection.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP_HEADERS.contains(name)
}

/// Removes the headers that apply to a single connection.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named_headers {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Responds to a request that did not and will not run, and may be retried after `retry_after`.
pub(crate) fn respond_unavailable(
    record: &mut RequestRecord,
    caller: &Caller,
    reason: &'static str,
    retry_after: Duration,
) -> Response<ResponseBody> {
    let detail = "no backend server can take the request now; come back later";
    respond(
        record,
        caller,
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, reason, detail).with_retry_after(retry_after),
    )
}

/// Responds to a request that is invalid or not allowed.
pub(crate) fn respond_rejected(
    record: &mut RequestRecord,
    caller: &Caller,
    status: StatusCode,
) -> Response<ResponseBody> {
    let (kind, detail) = match status {
        StatusCode::NOT_FOUND => ("unknown-service", "no service has this host and path"),
        StatusCode::PAYLOAD_TOO_LARGE => ("body-too-large", "the body is longer than allowed"),
        StatusCode::REQUEST_TIMEOUT => ("body-late", "the body did not come in time"),
        _ => ("bad-request", "the request can't be read"),
    };
    respond(record, caller, Problem::new(status, kind, detail))
}

/// Responds to a request whose body could not be read. It was not passed on.
pub(crate) fn respond_unread(
    record: &mut RequestRecord,
    caller: &Caller,
    error: &ReadError,
) -> Response<ResponseBody> {
    log::debug!(error:%; "request not read");
    if matches!(error, ReadError::Revoked) {
        return respond_unavailable(record, caller, "memory", MEMORY_RETRY_AFTER);
    }
    respond_rejected(record, caller, error.status())
}

/// The problem of a request of whose body only a part was forwarded.
pub(crate) fn incomplete(status: StatusCode) -> Problem {
    let (kind, detail) = match status {
        StatusCode::PAYLOAD_TOO_LARGE => ("body-too-large", "the body is longer than allowed"),
        StatusCode::BAD_REQUEST => ("bad-request", "the body can't be read"),
        _ => ("outcome-unknown", "the body did not come in time"),
    };
    Problem::new(status, kind, detail).with_outcome(Outcome::Unknown)
}

/// Responds to a request that may have run.
pub(crate) fn respond_unknown(
    record: &mut RequestRecord,
    caller: &Caller,
    status: StatusCode,
) -> Response<ResponseBody> {
    let detail = "no whole answer came from the backend server; the request may have run";
    let problem = Problem::new(status, "outcome-unknown", detail);
    respond(record, caller, problem.with_outcome(Outcome::Unknown))
}

fn respond(
    record: &mut RequestRecord,
    caller: &Caller,
    problem: Problem,
) -> Response<ResponseBody> {
    record.finish_with_problem(&problem);
    problem.into_response(caller)
}

/// Describes a connection error and its cause.
pub(crate) fn describe_error(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("broke: {error}: {cause}"),
        None => format!("broke: {error}"),
    }
}

//! Reads request bodies from callers. Small bodies are buffered, so that the request can be
//! retried on another server; large ones are streamed.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;

use crate::body::{RequestBody, UnsentBody};
use crate::leased_buffer::LeasedBuffer;
use crate::memory::MemoryLease;
use crate::state::InstanceState;
use crate::stop;

/// Maximum size of a body that is buffered before the request is forwarded, in bytes. A buffered
/// request can be sent to another server if the first one rejects it.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;

quick_error! {
    /// Why a request's body could not be read.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum ReadError {
        /// It is larger than the limit.
        TooLong {
            display("the body is larger than the limit")
        }
        /// It did not arrive by the deadline.
        Late {
            display("the body did not arrive in time")
        }
        /// The connection to the caller failed.
        Caller(cause: hyper::Error) {
            display("the connection to the caller failed while its body was read")
            source(cause)
            from()
        }
        /// It stood still while other requests needed the memory.
        Revoked {
            display("the body stood still while memory was short")
        }
    }
}

impl ReadError {
    /// Returns the status of the response.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::Caller(_) => StatusCode::BAD_REQUEST,
            Self::Revoked => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The body of a request that is being forwarded.
pub(crate) enum JobBody {
    /// The complete body.
    Buffered { bytes: Bytes, _lease: MemoryLease },
    /// A body whose rest is still to come from the caller; `None` once it has been sent.
    Streamed {
        unsent: Option<UnsentBody>,
        lease: Rc<MemoryLease>,
    },
}

impl JobBody {
    /// Returns the complete body if it is buffered.
    pub(crate) fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered { bytes, .. } => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// Whether a part of the body has been sent and is gone.
    pub(crate) fn is_spent(&self) -> bool {
        matches!(self, Self::Streamed { unsent: None, .. })
    }

    /// Returns the bytes read so far; empty once a streamed body has been sent.
    pub(crate) fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered { bytes, .. } => bytes,
            Self::Streamed { unsent, .. } => unsent.as_ref().map_or(&[], UnsentBody::prefix),
        }
    }

    /// Returns the size in bytes; an estimate for a streamed body.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Buffered { bytes, .. } => bytes.len(),
            Self::Streamed { .. } => MAX_BUFFERED_BODY_BYTES,
        }
    }

    /// Records that the rest of a streamed body occupies a slot of a server of `service`.
    pub(crate) fn occupy(&self, service: &str) {
        if let Self::Streamed { lease, .. } = self {
            lease.occupy(service);
        }
    }

    /// Returns the body to send to a server or a peer; `None` if it is spent.
    pub(crate) fn take_request_body(&mut self) -> Option<RequestBody> {
        match self {
            Self::Buffered { bytes, .. } => Some(RequestBody::buffered(bytes.clone())),
            Self::Streamed { unsent, lease } => {
                Some(RequestBody::streamed(unsent.take()?, Rc::clone(lease)))
            }
        }
    }
}

/// Reads the caller's `body`, if there is one, and buffers it if it is small and enough memory is
/// free.
///
/// # Errors
/// Returns why the body can't be forwarded: it is larger than `limit`, does not arrive by
/// `deadline_at`, its connection fails, or it stands still while memory is short.
pub(crate) async fn read_body(
    state: &InstanceState,
    deadline_at: Instant,
    body: Option<Incoming>,
    limit: usize,
) -> Result<JobBody, ReadError> {
    let stated = body.as_ref().and_then(|body| body.size_hint().exact());
    let mut buffer = LeasedBuffer::new(state.memory.lease(), stated);
    let Some(mut body) = body else {
        return Ok(complete(buffer));
    };
    while !body.is_end_stream() {
        if buffer.len() >= MAX_BUFFERED_BODY_BYTES {
            return Ok(streamed(buffer, None, body, limit));
        }
        buffer.lease().on_waiting();
        let next = tokio::select! {
            biased;
            () = buffer.lease().revoked() => return Err(ReadError::Revoked),
            next = stop::in_time(state, deadline_at, body.frame()) => next,
        };
        buffer.lease().on_moved();
        let Some(frame) = next.map_err(|_| ReadError::Late)? else {
            break;
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(ReadError::TooLong);
        }
        if let Some(data) = buffer.add(data) {
            return Ok(streamed(buffer, Some(data), body, limit));
        }
    }
    Ok(complete(buffer))
}

fn complete(buffer: LeasedBuffer) -> JobBody {
    let (bytes, lease) = buffer.into_parts();
    JobBody::Buffered {
        bytes,
        _lease: lease,
    }
}

/// Leaves the rest of a body, `next` first, to be streamed.
fn streamed(buffer: LeasedBuffer, next: Option<Bytes>, rest: Incoming, limit: usize) -> JobBody {
    let (bytes, lease) = buffer.into_parts();
    let first = [Some(bytes), next].into_iter().flatten();
    JobBody::Streamed {
        unsent: Some(UnsentBody::new(first, rest, limit)),
        lease: Rc::new(lease),
    }
}

//! Takes callers' bodies in: whole where they may be kept, so that a server that
//! rejects one doesn't cost the request, and piece by piece where not.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::timeout_at;

use crate::body::CountGuard;
use crate::state::InstanceState;

/// Bodies up to this size are read before they are sent on, so that a server
/// that rejects one doesn't cost the request, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// Part of the memory that bodies may fill.
const BODY_MEMORY_DIVISOR: usize = 4;

/// The body of a request on its way.
pub(crate) enum JobBody {
    /// All of it.
    Buffered { bytes: Bytes, _memory: CountGuard },
    /// Its beginning, the rest at the caller, and how many bytes that may have.
    Streamed(Option<(Bytes, Incoming, usize)>),
}

impl JobBody {
    /// All of it, where it was read.
    pub(crate) fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered { bytes, .. } => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// All of it, or its beginning as long as that is here.
    pub(crate) fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered { bytes, .. } | Self::Streamed(Some((bytes, ..))) => bytes,
            Self::Streamed(None) => &[],
        }
    }

    /// Its size in bytes, as far as it is known.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Buffered { bytes, .. } => bytes.len(),
            Self::Streamed(_) => MAX_BUFFERED_BODY_BYTES,
        }
    }
}

/// Reads the caller's `body` until `deadline_at`, whole if there is room to keep it.
///
/// # Errors
/// The status to answer with, where it is too long, too slow or broken.
pub(crate) async fn read_body(
    state: &InstanceState,
    deadline_at: Instant,
    mut body: Incoming,
    limit: usize,
) -> Result<JobBody, StatusCode> {
    let mut bytes = BytesMut::new();
    let memory = state.config.memory_bytes / BODY_MEMORY_DIVISOR;
    while !body.is_end_stream() {
        let room = state.buffered.get() + bytes.len() < memory;
        if bytes.len() >= MAX_BUFFERED_BODY_BYTES || !room {
            let remaining = limit.saturating_sub(bytes.len());
            return Ok(JobBody::Streamed(Some((bytes.freeze(), body, remaining))));
        }
        let frame = match timeout_at(deadline_at.into(), body.frame()).await {
            Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(StatusCode::BAD_REQUEST),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > limit {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
    let memory = CountGuard::new(&state.buffered, bytes.len());
    Ok(JobBody::Buffered {
        bytes: bytes.freeze(),
        _memory: memory,
    })
}

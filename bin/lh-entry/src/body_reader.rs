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
const WHOLE_BODY: usize = 1 << 20;
/// Part of the memory that bodies may fill.
const BODY_MEMORY: usize = 4;

/// The body of a request on its way.
pub(crate) enum JobBody {
    /// All of it.
    Whole { bytes: Bytes, _memory: CountGuard },
    /// Its beginning, the rest at the caller, and how many bytes that may have.
    Streamed(Option<(Bytes, Incoming, usize)>),
}

impl JobBody {
    /// All of it, where it was read.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole { bytes, .. } => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// All of it, or its beginning as long as that is here.
    pub(crate) fn beginning(&self) -> &[u8] {
        match self {
            Self::Whole { bytes, .. } | Self::Streamed(Some((bytes, ..))) => bytes,
            Self::Streamed(None) => &[],
        }
    }

    /// Its size in bytes, as far as it is known.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Whole { bytes, .. } => bytes.len(),
            Self::Streamed(_) => WHOLE_BODY,
        }
    }
}

/// Reads the caller's `body` until `ends`, whole if there is room to keep it.
///
/// # Errors
/// The status to answer with, where it is too long, too slow or broken.
pub(crate) async fn read_body(
    state: &InstanceState,
    ends: Instant,
    mut body: Incoming,
    limit: usize,
) -> Result<JobBody, StatusCode> {
    let mut bytes = BytesMut::new();
    let memory = state.config.memory_bytes / BODY_MEMORY;
    while !body.is_end_stream() {
        let room = state.buffered.get() + bytes.len() < memory;
        if bytes.len() >= WHOLE_BODY || !room {
            let left = limit.saturating_sub(bytes.len());
            return Ok(JobBody::Streamed(Some((bytes.freeze(), body, left))));
        }
        let frame = match timeout_at(ends.into(), body.frame()).await {
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
    Ok(JobBody::Whole {
        bytes: bytes.freeze(),
        _memory: memory,
    })
}

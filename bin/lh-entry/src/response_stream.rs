//! The rest of a large response, forwarded to the caller as it arrives from a server or a peer.
//!
//! By then the status has been sent, so a response that doesn't end in time can only be broken
//! off, which closes the caller's connection before the body is complete.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use quick_error::quick_error;
use tokio::time::Sleep;

use crate::body::next_piece;
use crate::pieces::PieceReader;
use crate::pool::ConnectionLease;
use crate::reply::STREAM_BYTES;
use crate::state::InstanceState;

/// Longest silence of a server in a response for which neither its route nor its caller states a
/// time limit.
const MAX_SILENCE: Duration = Duration::from_secs(30);
/// Time after the deadline for which bytes that have already arrived are still forwarded. Bytes
/// may arrive without end, so that there has to be a limit to them, too.
const LATE_DELIVERY_TIME: Duration = Duration::from_millis(250);

/// When a streamed response is broken off.
#[derive(Debug, Clone, Copy)]
pub(crate) enum StreamLimit {
    /// It must end by this time.
    Deadline(Instant),
    /// The server may be silent for this long.
    Silence(Duration),
}

impl StreamLimit {
    /// The limit of a request that must be answered by `deadline_at`, if its route or its caller
    /// states a time limit.
    pub(crate) fn new(stated: Option<Duration>, deadline_at: Instant) -> Self {
        match stated {
            Some(_) => Self::Deadline(deadline_at),
            None => Self::Silence(MAX_SILENCE),
        }
    }

    /// When to stop waiting for bytes, as of `now`.
    fn wait_until(self, now: Instant) -> Instant {
        match self {
            Self::Deadline(at) => at,
            Self::Silence(longest) => now + longest,
        }
    }

    fn is_exceeded(self, now: Instant) -> bool {
        match self {
            Self::Deadline(at) => now >= at + LATE_DELIVERY_TIME,
            Self::Silence(_) => false,
        }
    }
}

/// How a streamed response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The caller has got all of it.
    Complete,
    /// It was not complete in time.
    Timeout,
    /// The connection to the server failed.
    Broken,
    /// The caller left before.
    CallerLeft,
}

impl StreamEnd {
    /// All ends, for metrics that start with zero.
    pub(crate) const ALL: [Self; 4] = [
        Self::Complete,
        Self::Timeout,
        Self::Broken,
        Self::CallerLeft,
    ];

    /// Returns the name of the end, for logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
            Self::CallerLeft => "caller-left",
        }
    }
}

quick_error! {
    /// Why a response can't be forwarded completely.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum StreamError {
        /// The connection to the server failed.
        Server(cause: hyper::Error) {
            display("the connection to the server failed in the middle of its response")
            source(cause)
            from()
        }
        /// The response was not complete in time.
        Timeout {
            display("the response was not complete in time")
        }
    }
}

/// A response whose start has arrived and whose rest is forwarded until a limit is reached.
pub(crate) struct ResponseStream {
    state: Rc<InstanceState>,
    first: Option<Bytes>,
    rest: PieceReader,
    /// Keeps the connection open; dropped when the response ends.
    lease: Option<ConnectionLease>,
    limit: StreamLimit,
    expiry: Pin<Box<Sleep>>,
    forwarded_bytes: u64,
    is_ended: bool,
}

impl ResponseStream {
    /// Creates a stream of `first` and then `rest`, which arrives over the connection of `lease`.
    pub(crate) fn new(
        state: &Rc<InstanceState>,
        first: Bytes,
        rest: PieceReader,
        lease: ConnectionLease,
        limit: StreamLimit,
    ) -> Self {
        let expires_at = limit.wait_until(Instant::now());
        Self {
            state: Rc::clone(state),
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            rest,
            lease: Some(lease),
            limit,
            expiry: Box::pin(tokio::time::sleep_until(expires_at.into())),
            forwarded_bytes: 0,
            is_ended: false,
        }
    }

    /// Returns the next frame, or the error that ends the stream.
    pub(crate) fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if let Some(bytes) = next_piece(&mut self.first) {
            self.forwarded_bytes += bytes.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.is_ended {
            return Poll::Ready(None);
        }
        match self.rest.poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(self.on_frame(frame))),
            Poll::Ready(Some(Err(error))) => {
                self.end(StreamEnd::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.end(StreamEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Pending => {
                std::task::ready!(self.expiry.as_mut().poll(context));
                self.end(StreamEnd::Timeout);
                Poll::Ready(Some(Err(StreamError::Timeout)))
            }
        }
    }

    /// Returns `bytes`, which it gave out, to its start.
    pub(crate) fn put_back(&mut self, bytes: Bytes) {
        self.first = Some(bytes).filter(|bytes| !bytes.is_empty());
    }

    /// Memory of the stream in bytes, with what has been read but not forwarded.
    pub(crate) fn held_bytes(&self) -> usize {
        STREAM_BYTES + self.first.as_ref().map_or(0, Bytes::len)
    }

    /// Whether all of the response was forwarded.
    pub(crate) fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    /// Size of what is still to be forwarded, as far as known.
    pub(crate) fn size_hint(&self) -> SizeHint {
        let first_bytes = self.first.as_ref().map_or(0, |bytes| bytes.len() as u64);
        match self.rest.size_hint().exact() {
            Some(length) => SizeHint::with_exact(length + first_bytes),
            None => SizeHint::default(),
        }
    }

    fn on_frame(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, StreamError> {
        let now = Instant::now();
        if self.limit.is_exceeded(now) {
            self.end(StreamEnd::Timeout);
            return Err(StreamError::Timeout);
        }
        if let StreamLimit::Silence(_) = self.limit {
            let expires_at = self.limit.wait_until(now);
            self.expiry.as_mut().reset(expires_at.into());
        }
        self.forwarded_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
        Ok(frame)
    }

    fn end(&mut self, end: StreamEnd) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        self.state.metrics.on_stream_end(end);
        let lease = self.lease.take();
        if end == StreamEnd::Complete {
            if let Some(lease) = lease {
                lease.on_complete();
            }
            return;
        }
        if let Some(lease) = lease {
            let (server, forwarded_bytes) = (lease.server(), self.forwarded_bytes);
            log::info!(server, forwarded_bytes, end = end.as_str(); "response broken off");
        }
    }
}

impl std::fmt::Debug for ResponseStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut fields = formatter.debug_struct("ResponseStream");
        fields.field("limit", &self.limit).finish_non_exhaustive()
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        // A body of known length isn't polled again after its last byte.
        let is_complete = self.is_end_stream();
        self.end(if is_complete {
            StreamEnd::Complete
        } else {
            StreamEnd::CallerLeft
        });
    }
}

//! Bodies of responses to callers and of requests to servers.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use quick_error::quick_error;

use crate::memory::MemoryLease;
use crate::response_stream::{ResponseStream, StreamError};

/// Maximum size of the pieces in which a response is handed to its connection, in bytes. The
/// memory of the rest is kept until the caller has taken what is ahead of it.
const MAX_PIECE_BYTES: usize = 32 << 10;

/// Adds an amount to a counter until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    counter: Rc<Cell<usize>>,
    amount: usize,
}

impl CountGuard {
    /// Adds `amount` until the guard is dropped.
    pub(crate) fn new(counter: &Rc<Cell<usize>>, amount: usize) -> Self {
        counter.set(counter.get() + amount);
        Self {
            counter: Rc::clone(counter),
            amount,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.counter
            .set(self.counter.get().saturating_sub(self.amount));
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    content: ResponseContent,
    guards: Vec<CountGuard>,
    /// Memory of what has been read of it.
    lease: Option<Rc<MemoryLease>>,
}

#[derive(Debug)]
enum ResponseContent {
    Buffered(Option<Bytes>),
    Streamed(Box<ResponseStream>),
}

impl ResponseBody {
    /// Creates a body of `bytes`.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self {
            content: ResponseContent::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty())),
            guards: Vec::new(),
            lease: None,
        }
    }

    /// Creates a body that is forwarded as it arrives.
    pub(crate) fn streamed(stream: ResponseStream) -> Self {
        Self {
            content: ResponseContent::Streamed(Box::new(stream)),
            guards: Vec::new(),
            lease: None,
        }
    }

    /// Returns the complete body if it is buffered.
    pub(crate) fn bytes(&self) -> Option<Bytes> {
        match &self.content {
            ResponseContent::Buffered(bytes) => Some(bytes.clone().unwrap_or_default()),
            ResponseContent::Streamed(_) => None,
        }
    }

    /// Whether the body is forwarded as it arrives.
    pub(crate) fn is_streamed(&self) -> bool {
        matches!(self.content, ResponseContent::Streamed(_))
    }

    /// Waits for the end of a body that is forwarded as it arrives, and buffers it. One of more than
    /// `most_bytes` stays as it was.
    ///
    /// # Errors
    /// Why the body has no end.
    pub(crate) async fn hold(&mut self, most_bytes: usize) -> Result<(), StreamError> {
        let mut held = BytesMut::new();
        while let ResponseContent::Streamed(stream) = &mut self.content {
            if held.len() > most_bytes {
                stream.put_back(held.freeze());
                return Ok(());
            }
            match poll_fn(|context| stream.poll_frame(context)).await {
                Some(frame) => {
                    if let Some(data) = frame?.data_ref() {
                        held.extend_from_slice(data);
                    }
                }
                None => {
                    self.content = ResponseContent::Buffered(Some(held.freeze()));
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Keeps `lease` until the body is sent or dropped.
    pub(crate) fn with_lease(mut self, lease: MemoryLease) -> Self {
        self.lease = Some(Rc::new(lease));
        self
    }

    /// The memory of what has been read of it.
    pub(crate) fn lease(&self) -> Option<Rc<MemoryLease>> {
        self.lease.clone()
    }

    /// Keeps `guard` until the body is sent or dropped.
    pub(crate) fn with_guard(mut self, guard: CountGuard) -> Self {
        self.guards.push(guard);
        self
    }
}

/// Takes the next piece of what has been read of a response.
pub(crate) fn next_piece(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    let rest = bytes.as_mut()?;
    if rest.len() <= MAX_PIECE_BYTES {
        return bytes.take();
    }
    Some(rest.split_to(MAX_PIECE_BYTES))
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let (polled, held_bytes) = match &mut self.content {
            ResponseContent::Buffered(bytes) => {
                let piece = next_piece(bytes);
                let held_bytes = bytes.as_ref().map_or(0, Bytes::len);
                (
                    Poll::Ready(piece.map(|piece| Ok(Frame::data(piece)))),
                    held_bytes,
                )
            }
            ResponseContent::Streamed(stream) => (stream.poll_frame(context), stream.held_bytes()),
        };
        if let Some(lease) = &self.lease {
            lease.release(held_bytes);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            ResponseContent::Buffered(bytes) => bytes.is_none(),
            ResponseContent::Streamed(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            ResponseContent::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseContent::Streamed(stream) => stream.size_hint(),
        }
    }
}

quick_error! {
    /// The error of a request body that could not be forwarded completely.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum BodyError {
        /// The connection to the caller failed.
        Caller(cause: hyper::Error) {
            display("the connection to the caller failed while its body was read")
            source(cause)
            from()
        }
        /// The body is larger than the limit.
        TooLong {
            display("the caller's body is larger than the limit")
        }
        /// The body stood still while other requests needed what it occupied.
        Revoked {
            display("the caller's body stood still while others needed its place")
        }
    }
}

/// A body of which only the start has been read from the caller.
#[derive(Debug)]
pub(crate) struct UnsentBody {
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// Maximum number of bytes that may still arrive from the caller.
    remaining: usize,
}

impl UnsentBody {
    /// Creates a body that starts with `first` and continues with `rest`, up to `limit` bytes.
    pub(crate) fn new(
        first: impl IntoIterator<Item = Bytes>,
        rest: Incoming,
        limit: usize,
    ) -> Self {
        let first: VecDeque<Bytes> = first
            .into_iter()
            .filter(|bytes| !bytes.is_empty())
            .collect();
        let read: usize = first.iter().map(Bytes::len).sum();
        Self {
            first,
            rest,
            remaining: limit.saturating_sub(read),
        }
    }

    /// The bytes read so far, without those that didn't fit.
    pub(crate) fn prefix(&self) -> &[u8] {
        self.first.front().map_or(&[], |bytes| bytes)
    }
}

impl BodyError {
    /// Returns why the body of a request that ended with `error` could not be forwarded; `None` if
    /// the body was not the reason.
    pub(crate) fn of(error: &hyper::Error) -> Option<&Self> {
        std::error::Error::source(error)?.downcast_ref()
    }

    /// Returns the status of the response. Of the request a part has been forwarded.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::Caller(_) => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Revoked => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The body of a request to a backend server.
#[derive(Debug)]
pub(crate) struct RequestBody {
    first: VecDeque<Bytes>,
    rest: Option<ArrivingBody>,
}

/// The rest of a body that arrives from its caller.
#[derive(Debug)]
struct ArrivingBody {
    rest: Incoming,
    remaining: usize,
    /// Memory of the bytes read so far, and the body's place in the account.
    lease: Rc<MemoryLease>,
}

impl ArrivingBody {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(next) = Pin::new(&mut self.rest).poll_frame(context) else {
            self.lease.on_waiting();
            return self
                .lease
                .poll_revoked(context)
                .map(|()| Some(Err(BodyError::Revoked)));
        };
        self.lease.on_moved();
        let Some(frame) = next else {
            return Poll::Ready(None);
        };
        let frame = frame?;
        let length = frame.data_ref().map_or(0, Bytes::len);
        Poll::Ready(Some(match self.remaining.checked_sub(length) {
            Some(remaining) => {
                self.remaining = remaining;
                Ok(frame)
            }
            None => Err(BodyError::TooLong),
        }))
    }
}

impl RequestBody {
    /// Creates a body of `bytes`.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self {
            first: Some(bytes)
                .into_iter()
                .filter(|bytes| !bytes.is_empty())
                .collect(),
            rest: None,
        }
    }

    /// Creates a body whose rest is still to come from the caller. `lease` holds the memory of its
    /// start.
    pub(crate) fn streamed(unsent: UnsentBody, lease: Rc<MemoryLease>) -> Self {
        Self {
            first: unsent.first,
            rest: Some(ArrivingBody {
                rest: unsent.rest,
                remaining: unsent.remaining,
                lease,
            }),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(bytes) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match &mut self.rest {
            Some(rest) => rest.poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_rest_ended = self
            .rest
            .as_ref()
            .is_none_or(|body| body.rest.is_end_stream());
        self.first.is_empty() && is_rest_ended
    }

    fn size_hint(&self) -> SizeHint {
        let first_bytes: usize = self.first.iter().map(Bytes::len).sum();
        let rest_bytes = match &self.rest {
            None => Some(0),
            Some(body) => body.rest.size_hint().exact(),
        };
        let whole = rest_bytes.map(|rest_bytes| first_bytes as u64 + rest_bytes);
        whole.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

//! Bodies of responses to callers and of requests to servers.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use quick_error::quick_error;

use crate::response_stream::{ResponseStream, StreamError};

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
        }
    }

    /// Creates a body that is forwarded as it arrives.
    pub(crate) fn streamed(stream: ResponseStream) -> Self {
        Self {
            content: ResponseContent::Streamed(Box::new(stream)),
            guards: Vec::new(),
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

    /// Keeps `guard` until the body is sent or dropped.
    pub(crate) fn with_guard(mut self, guard: CountGuard) -> Self {
        self.guards.push(guard);
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut self.content {
            ResponseContent::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))))
            }
            ResponseContent::Streamed(stream) => stream.poll_frame(context),
        }
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
    }
}

/// The body of a request to a backend server.
#[derive(Debug)]
pub(crate) struct RequestBody {
    first: Option<Bytes>,
    rest: Option<Incoming>,
    /// Maximum number of bytes that may still arrive from the caller.
    remaining: usize,
}

impl RequestBody {
    /// Creates a body of `bytes`.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            remaining: 0,
        }
    }

    /// Creates a body that starts with `first` and continues with at most `remaining` bytes of
    /// `rest` from the caller.
    pub(crate) fn streamed(first: Bytes, rest: Incoming, remaining: usize) -> Self {
        Self {
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            rest: Some(rest),
            remaining,
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
        if let Some(bytes) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let Some(frame) = std::task::ready!(Pin::new(rest).poll_frame(context)) else {
            return Poll::Ready(None);
        };
        let frame = frame?;
        let length = frame.data_ref().map_or(0, Bytes::len);
        match self.remaining.checked_sub(length) {
            Some(remaining) => self.remaining = remaining,
            None => return Poll::Ready(Some(Err(BodyError::TooLong))),
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.first.as_ref().map_or(0, |bytes| bytes.len() as u64);
        match &self.rest {
            None => SizeHint::with_exact(prefix_bytes),
            Some(rest) => match rest.size_hint().exact() {
                Some(length) => SizeHint::with_exact(length + prefix_bytes),
                None => SizeHint::default(),
            },
        }
    }
}

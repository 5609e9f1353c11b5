//! Bodies of answers to callers and of requests to servers.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use quick_error::quick_error;

use crate::pool::Lease;

/// Counts something for as long as it lives.
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

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: AnswerContent,
    guards: Vec<CountGuard>,
}

#[derive(Debug)]
enum AnswerContent {
    Whole(Option<Bytes>),
    Streamed {
        first: Option<Bytes>,
        rest: Incoming,
        _lease: Option<Lease>,
    },
}

impl AnswerBody {
    /// A body that is there as a whole.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self {
            content: AnswerContent::Whole(Some(bytes).filter(|bytes| !bytes.is_empty())),
            guards: Vec::new(),
        }
    }

    /// A body whose rest is still at the server; `lease` keeps its connection.
    pub(crate) fn streamed(first: Bytes, rest: Incoming, lease: Lease) -> Self {
        Self {
            content: AnswerContent::Streamed {
                first: Some(first).filter(|bytes| !bytes.is_empty()),
                rest,
                _lease: Some(lease),
            },
            guards: Vec::new(),
        }
    }

    /// All bytes, where they are there as a whole.
    pub(crate) fn bytes(&self) -> Option<Bytes> {
        match &self.content {
            AnswerContent::Whole(bytes) => Some(bytes.clone().unwrap_or_default()),
            AnswerContent::Streamed { .. } => None,
        }
    }

    /// Keeps `guard` until the body is sent or given up.
    pub(crate) fn with_guard(mut self, guard: CountGuard) -> Self {
        self.guards.push(guard);
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.content {
            AnswerContent::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerContent::Streamed { first, rest, .. } => {
                if let Some(bytes) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Pin::new(rest).poll_frame(context)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            AnswerContent::Whole(bytes) => bytes.is_none(),
            AnswerContent::Streamed { first, rest, .. } => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            AnswerContent::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerContent::Streamed { first, rest, .. } => {
                let before = first.as_ref().map_or(0, |bytes| bytes.len() as u64);
                match rest.size_hint().exact() {
                    Some(length) => SizeHint::with_exact(length + before),
                    None => SizeHint::default(),
                }
            }
        }
    }
}

quick_error! {
    /// Why a body did not come to its end.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum BodyError {
        /// The caller broke off.
        Caller(cause: hyper::Error) {
            display("the caller's body broke off")
            source(cause)
            from()
        }
        /// It is longer than callers may send.
        TooLong {
            display("the caller's body is longer than the limit")
        }
    }
}

/// The body of a request to a server.
#[derive(Debug)]
pub(crate) struct RequestBody {
    first: Option<Bytes>,
    rest: Option<Incoming>,
    /// Bytes that may still come from the caller.
    left: usize,
}

impl RequestBody {
    /// A body that is there as a whole.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            left: 0,
        }
    }

    /// A body whose rest, `left` bytes at most, still comes from the caller.
    pub(crate) fn streamed(first: Bytes, rest: Incoming, left: usize) -> Self {
        Self {
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            rest: Some(rest),
            left,
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
        match self.left.checked_sub(length) {
            Some(left) => self.left = left,
            None => return Poll::Ready(Some(Err(BodyError::TooLong))),
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let before = self.first.as_ref().map_or(0, |bytes| bytes.len() as u64);
        match &self.rest {
            None => SizeHint::with_exact(before),
            Some(rest) => match rest.size_hint().exact() {
                Some(length) => SizeHint::with_exact(length + before),
                None => SizeHint::default(),
            },
        }
    }
}

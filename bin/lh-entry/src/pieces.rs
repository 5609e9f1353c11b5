//! Reads the body of a response in pieces of a reasonable size.
//!
//! A server may send its body in chunks of a few bytes. Each of them costs as much processor time
//! as a large one, so that one response could keep all other requests waiting.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

/// Size below which pieces are joined, in bytes.
const SMALL_BYTES: usize = 1 << 10;
/// Size from which on joined pieces are handed on, in bytes.
const JOINED_BYTES: usize = 8 << 10;
/// Number of small pieces of a response that are read in a turn. The server waits for the next turn
/// with any further ones: 20,000 of them in a second are read at most.
const PIECES_PER_TURN: u32 = 500;
const TURN: Duration = Duration::from_millis(25);

/// A part of a body, its end, or why it has none.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// The body of a response, whose small pieces are joined and limited.
#[derive(Debug)]
pub(crate) struct PieceReader {
    body: Incoming,
    /// What has been read behind joined pieces.
    next: Option<NextFrame>,
    pieces: u32,
    turn_started: Instant,
    /// Ends the turn, if all of its pieces have been read.
    turn_end: Option<Pin<Box<Sleep>>>,
}

impl PieceReader {
    /// Creates a reader of `body`.
    pub(crate) fn new(body: Incoming) -> Self {
        Self {
            body,
            next: None,
            pieces: 0,
            turn_started: Instant::now(),
            turn_end: None,
        }
    }

    /// Returns the next part of the body.
    pub(crate) fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<NextFrame> {
        if let Some(next) = self.next.take() {
            return Poll::Ready(next);
        }
        ready!(self.poll_turn(context));
        let mut joined = BytesMut::new();
        while joined.len() < JOINED_BYTES && self.pieces < PIECES_PER_TURN {
            let Poll::Ready(next) = Pin::new(&mut self.body).poll_frame(context) else {
                if joined.is_empty() {
                    return Poll::Pending;
                }
                break;
            };
            match small_piece(&next) {
                Some(bytes) => {
                    self.pieces += 1;
                    joined.extend_from_slice(bytes);
                }
                None if joined.is_empty() => return Poll::Ready(next),
                None => {
                    self.next = Some(next);
                    break;
                }
            }
        }
        Poll::Ready(Some(Ok(Frame::data(joined.freeze()))))
    }

    /// Whether all of the body has been returned.
    pub(crate) fn is_end_stream(&self) -> bool {
        self.next.is_none() && self.body.is_end_stream()
    }

    /// Size of what hasn't been returned, as far as known.
    pub(crate) fn size_hint(&self) -> SizeHint {
        let next_bytes = match &self.next {
            Some(Some(Ok(frame))) => frame.data_ref().map_or(0, Bytes::len),
            _ => 0,
        };
        match self.body.size_hint().exact() {
            Some(length) => SizeHint::with_exact(length + next_bytes as u64),
            None => SizeHint::default(),
        }
    }

    /// Completes when pieces may be read.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.pieces < PIECES_PER_TURN {
            return Poll::Ready(());
        }
        let ends_at = self.turn_started + TURN;
        let turn_end = self
            .turn_end
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(ends_at)));
        ready!(turn_end.as_mut().poll(context));
        self.turn_end = None;
        self.pieces = 0;
        self.turn_started = Instant::now();
        Poll::Ready(())
    }
}

/// Returns the bytes of `next` if they are few.
fn small_piece(next: &NextFrame) -> Option<&Bytes> {
    let bytes = next.as_ref()?.as_ref().ok()?.data_ref()?;
    (bytes.len() < SMALL_BYTES).then_some(bytes)
}

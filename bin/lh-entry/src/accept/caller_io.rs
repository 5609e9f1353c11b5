//! Input and output of a caller's connection. Requests that arrive while another one has no
//! response yet are read ahead and announced to the connection's pipeline.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};

use crate::accept::caller_stream::CallerStream;
use crate::accept::head_scanner::{ScannedHead, scan_head};
use crate::accept::pipeline::RequestPipeline;
use crate::accept::progress::ConnectionProgress;

/// Maximum number of bytes that are read ahead of the current request.
const MAX_AHEAD_BYTES: usize = 16 << 10;
/// Number of bytes of a read.
const READ_BYTES: usize = 4 << 10;
/// Requests with larger bodies are passed on without a look at what follows them.
const MAX_FOLLOWED_BODY_BYTES: usize = 64 << 10;

/// The connection of a caller.
pub(super) struct CallerIo {
    io: TokioIo<CallerStream>,
    progress: Rc<ConnectionProgress>,
    pipeline: Rc<RefCell<RequestPipeline>>,
    /// Bytes that were read from the connection but not passed on.
    ahead: BytesMut,
    /// Number of bytes that may be passed on: the rest of the current request.
    current: usize,
    /// Lengths of the requests behind the current one, as far as known.
    lengths: VecDeque<usize>,
    /// Whether bytes are passed on as they come, since where requests begin is unknown or of no
    /// interest.
    is_opaque: bool,
}

impl CallerIo {
    /// Wraps `stream`. Unless `follows_requests`, requests aren't announced.
    pub(super) fn new(
        stream: CallerStream,
        progress: &Rc<ConnectionProgress>,
        pipeline: &Rc<RefCell<RequestPipeline>>,
        follows_requests: bool,
    ) -> Self {
        Self {
            io: TokioIo::new(stream),
            progress: Rc::clone(progress),
            pipeline: Rc::clone(pipeline),
            ahead: BytesMut::new(),
            current: 0,
            lengths: VecDeque::new(),
            is_opaque: !follows_requests,
        }
    }

    /// Number of bytes that may be passed on now.
    fn available(&mut self) -> usize {
        if self.current == 0 && !self.progress.is_responding() {
            if self.lengths.is_empty() {
                self.scan();
            }
            self.current = self.lengths.pop_front().unwrap_or(0);
        }
        let available = if self.is_opaque {
            self.ahead.len()
        } else {
            self.current
        };
        available.min(self.ahead.len())
    }

    /// Reads from the connection. `false` if it has ended.
    fn poll_read_ahead(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<bool>> {
        let mut chunk = [0; READ_BYTES];
        let mut buffer = ReadBuf::new(&mut chunk);
        let stream = Pin::new(self.io.inner_mut());
        std::task::ready!(stream.poll_read(context, &mut buffer))?;
        self.ahead.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(!buffer.filled().is_empty()))
    }

    /// Announces the requests in the bytes that were read ahead.
    fn scan(&mut self) {
        while !self.is_opaque {
            let known = self.current + self.lengths.iter().sum::<usize>();
            let Some(unknown) = self.ahead.get(known..).filter(|bytes| !bytes.is_empty()) else {
                return;
            };
            match scan_head(unknown) {
                ScannedHead::Complete(found) if found.body_bytes <= MAX_FOLLOWED_BODY_BYTES => {
                    let is_next = known == 0 && !self.progress.is_responding();
                    self.lengths.push_back(found.head_bytes + found.body_bytes);
                    self.pipeline.borrow_mut().on_found(*found, is_next);
                }
                ScannedHead::Partial if unknown.len() < MAX_AHEAD_BYTES => return,
                ScannedHead::Complete(_) | ScannedHead::Partial | ScannedHead::Unknown => {
                    // The requests before it still have their turns one after the other.
                    self.is_opaque = self.lengths.is_empty() && self.current == 0;
                    return;
                }
            }
        }
    }
}

impl Drop for CallerIo {
    fn drop(&mut self) {
        if !self.progress.needs_reset() {
            return;
        }
        if let Err(error) = self.io.inner().reset_on_drop() {
            log::warn!(error:%; "a response that was broken off may look complete");
        }
    }
}

impl Read for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = &mut *self;
        loop {
            let length = this.available().min(cursor.remaining());
            if length > 0 {
                cursor.put_slice(&this.ahead[..length]);
                this.ahead.advance(length);
                this.current = this.current.saturating_sub(length);
                this.progress.on_bytes_read();
                return Poll::Ready(Ok(()));
            }
            if this.is_opaque {
                // It is not used again.
                this.ahead = BytesMut::new();
                let polled = Pin::new(&mut this.io).poll_read(context, cursor);
                if matches!(polled, Poll::Ready(Ok(()))) {
                    this.progress.on_bytes_read();
                }
                return polled;
            }
            if this.progress.is_responding() {
                this.progress.wake_after_response(context.waker());
            }
            if this.ahead.len() >= MAX_AHEAD_BYTES && this.progress.is_responding() {
                // Reading goes on with the next turn.
                return Poll::Pending;
            }
            if !std::task::ready!(this.poll_read_ahead(context))? {
                return Poll::Ready(Ok(()));
            }
            this.progress.on_bytes_read();
            this.scan();
        }
    }
}

impl Write for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(context, bytes);
        self.progress.on_write(polled.is_ready());
        polled
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write_vectored(context, slices);
        self.progress.on_write(polled.is_ready());
        polled
    }
}

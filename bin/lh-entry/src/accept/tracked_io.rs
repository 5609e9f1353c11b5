//! Input and output of a connection whose progress is tracked for its timeouts.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::accept::progress::ConnectionProgress;

/// A connection whose reads and writes are recorded.
pub(crate) struct TrackedIo {
    io: TokioIo<TcpStream>,
    progress: Rc<ConnectionProgress>,
}

impl TrackedIo {
    /// Wraps `stream`.
    pub(crate) fn new(stream: TcpStream, progress: &Rc<ConnectionProgress>) -> Self {
        Self {
            io: TokioIo::new(stream),
            progress: Rc::clone(progress),
        }
    }
}

impl Read for TrackedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(context, cursor);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.progress.on_bytes_read();
        }
        polled
    }
}

impl Write for TrackedIo {
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

//! A connection to a server that is reset if a request on it is given up.

use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a connection carries a request that has no complete response.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestMark(Rc<Cell<bool>>);

impl RequestMark {
    /// Records that a request is about to be sent.
    pub(crate) fn on_request(&self) {
        self.0.set(true);
    }

    /// Records that its response is complete.
    pub(crate) fn on_complete(&self) {
        self.0.set(false);
    }
}

/// A TCP connection that is reset instead of closed while its mark is set. An ordinary close
/// leaves the bytes that the other side has not acknowledged to be delivered later, for example
/// when a partition heals, and the server would run a request that nobody waits for.
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
    mark: RequestMark,
}

impl ServerStream {
    /// Wraps `stream`, which is reset if it is dropped while `mark` is set.
    pub(crate) fn new(stream: TcpStream, mark: &RequestMark) -> Self {
        Self {
            stream,
            mark: mark.clone(),
        }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.stream)
    }
}

impl Drop for ServerStream {
    fn drop(&mut self) {
        if !self.mark.0.get() {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::warn!(error:%; "a request that was given up may still reach its server");
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.stream().poll_read(context, buffer)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.stream().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_shutdown(context)
    }
}

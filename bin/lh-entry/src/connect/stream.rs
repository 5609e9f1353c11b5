//! A connection to a server that is reset if a request on it is given up, and that ends if the
//! server sends much without the head of a response.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes before the head of a response, interim responses included. A read may
/// hold a part of the body already, and the head is noticed some reads later.
const MAX_BYTES_BEFORE_HEAD: usize = 1 << 20;
/// Bytes after which other tasks run before more are read of a head.
const READ_BURST_BYTES: usize = 64 << 10;

/// How far a connection is with its request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum RequestPhase {
    /// There is none, or its response is complete.
    #[default]
    Idle,
    /// The head of its response hasn't arrived, but this many bytes.
    HeadAwaited(usize),
    /// The response arrives.
    HeadReceived,
}

/// Shows a connection how far its request is, and how long the server may take to accept bytes.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestMark(Rc<RequestState>);

#[derive(Debug, Default)]
struct RequestState {
    phase: Cell<RequestPhase>,
    /// The `TCP_USER_TIMEOUT` that the request needs.
    user_timeout: Cell<Duration>,
}

impl RequestMark {
    /// Records that a request is about to be sent.
    pub(crate) fn on_request(&self) {
        self.0.phase.set(RequestPhase::HeadAwaited(0));
    }

    /// Sets the time for which bytes of the request may wait to be acknowledged.
    pub(crate) fn set_user_timeout(&self, timeout: Duration) {
        self.0.user_timeout.set(timeout);
    }

    /// Records that the head of its response has arrived.
    pub(crate) fn on_head(&self) {
        self.0.phase.set(RequestPhase::HeadReceived);
    }

    /// Records that its response is complete.
    pub(crate) fn on_complete(&self) {
        self.0.phase.set(RequestPhase::Idle);
    }
}

/// A TCP connection that is reset instead of closed while its mark is set. An ordinary close
/// leaves the bytes that the other side has not acknowledged to be delivered later, for example
/// when a partition heals, and the server would run a request that nobody waits for.
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
    mark: RequestMark,
    /// Bytes of a head that were read since other tasks last ran.
    burst: usize,
    /// The `TCP_USER_TIMEOUT` in force.
    user_timeout: Duration,
}

impl ServerStream {
    /// Wraps `stream`, which is reset if it is dropped while `mark` is set.
    pub(crate) fn new(stream: TcpStream, mark: &RequestMark) -> Self {
        Self {
            stream,
            mark: mark.clone(),
            burst: 0,
            user_timeout: Duration::ZERO,
        }
    }

    /// Sets the time-out that the current request needs, if another one is in force.
    fn apply_user_timeout(&mut self) {
        let needed = self.mark.0.user_timeout.get();
        if needed == self.user_timeout {
            return;
        }
        self.user_timeout = needed;
        if let Err(error) = SockRef::from(&self.stream).set_tcp_user_timeout(Some(needed)) {
            log::debug!(error:%; "failed to set TCP_USER_TIMEOUT");
        }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.stream)
    }
}

impl Drop for ServerStream {
    fn drop(&mut self) {
        if self.mark.0.phase.get() == RequestPhase::Idle {
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
        let RequestPhase::HeadAwaited(received) = self.mark.0.phase.get() else {
            return self.stream().poll_read(context, buffer);
        };
        if received >= MAX_BYTES_BEFORE_HEAD {
            let text = format!("{received} bytes without the head of a response");
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, text)));
        }
        if self.burst >= READ_BURST_BYTES {
            // The parser reads on while there are bytes, so that a server that sends interim
            // responses without end would keep all other requests waiting.
            self.burst = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let result = self.stream().poll_read(context, buffer);
        let read = buffer.filled().len() - filled;
        self.burst = if result.is_ready() {
            self.burst + read
        } else {
            0
        };
        self.mark
            .0
            .phase
            .set(RequestPhase::HeadAwaited(received + read));
        result
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.apply_user_timeout();
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.apply_user_timeout();
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

//! The socket of a caller's connection, shared by the connection that reads and writes it and the
//! requests that are given up when the caller leaves.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt as _;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::memory::MemoryLease;

/// Interval at which it is checked whether a caller that waits for its response has left. The
/// readiness of a socket with unread bytes can't be awaited for its end alone.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum time for which a connection that the entry has closed is kept until its caller has
/// closed it too.
const LINGER_TIME: Duration = Duration::from_secs(5);
/// Receive buffer of a connection that the entry has closed, in bytes.
const CLOSED_BUFFER_BYTES: usize = 4 << 10;

/// A caller's socket.
#[derive(Debug, Clone)]
pub(super) struct CallerStream(Rc<TcpStream>);

impl CallerStream {
    /// Shares `stream`.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Resets the connection instead of closing it when the stream is dropped.
    ///
    /// # Errors
    /// The error of the operating system.
    pub(super) fn reset_on_drop(&self) -> io::Result<()> {
        SockRef::from(&*self.0).set_linger(Some(Duration::ZERO))
    }

    /// Completes once the caller has closed or reset its connection, whether or not all bytes
    /// before the end have been read.
    pub(super) async fn left(&self) {
        loop {
            tokio::time::sleep(END_CHECK_INTERVAL).await;
            if self.has_ended() {
                return;
            }
        }
    }

    /// Closes this side of the connection, which tells the caller that a response was broken off,
    /// and waits until the caller has closed the other. Closing a socket with unread bytes resets
    /// the connection, and the rest of the last response is lost. These bytes stay unread: a
    /// request among them may be sent again elsewhere. `lease` is for their memory, and the wait
    /// ends without it.
    pub(super) async fn linger(&self, lease: &MemoryLease) {
        if let Err(error) = SockRef::from(&*self.0).shutdown(Shutdown::Write) {
            log::debug!(error:%; "a caller's connection has ended already");
        }
        lease.on_waiting();
        let closed = async {
            while !self.has_ended() {
                if !self.hold_unread(lease) {
                    log::debug!("no memory for what a caller sends to a closed connection");
                    return;
                }
                tokio::time::sleep(END_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            closed = timeout(LINGER_TIME, closed) => {
                if closed.is_err() {
                    log::debug!("a caller kept its side of a closed connection open");
                }
            }
            () = lease.revoked() => log::debug!("a closed connection yields its memory"),
        }
    }

    /// Claims memory for what the caller has sent since, and takes no more than that from it.
    /// `false` if there is no memory.
    fn hold_unread(&self, lease: &MemoryLease) -> bool {
        let unread_bytes = match rustix::io::ioctl_fionread(&*self.0) {
            Ok(0) => return true,
            Ok(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
            Err(error) => {
                log::debug!(error:%; "the unread bytes of a connection are unknown");
                return true;
            }
        };
        let socket = SockRef::from(&*self.0);
        if let Err(error) = socket.set_recv_buffer_size(CLOSED_BUFFER_BYTES) {
            log::debug!(error:%; "failed to reduce a receive buffer");
        }
        lease.claim(unread_bytes).is_ok()
    }

    fn has_ended(&self) -> bool {
        match self.0.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) => ready.is_read_closed(),
            Some(Err(error)) => {
                log::debug!(error:%; "a caller's socket has no readiness");
                true
            }
            None => false,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            std::task::ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

impl CallerStream {
    /// Writes with `write` as soon as the socket takes bytes.
    fn poll_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

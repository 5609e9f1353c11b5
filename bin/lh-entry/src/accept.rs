//! Accepts connections from callers, closes those that are idle or send their headers too
//! slowly, and shuts them down gracefully when the instance stops.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::error::{Error, Result};
use crate::handler;
use crate::state::InstanceState;
use crate::stop::StopPhase;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a connection is checked for its header and idle timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum size of the read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Connections from callers may use one in this many of the file descriptors.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;

/// Opens a listener on `address`; `purpose` names it in the error message.
///
/// # Errors
/// Returns [`Error::Listen`] if the address can't be bound.
pub(crate) fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|cause| Error::Listen(purpose, address, cause))
}

/// Accepts connections from callers until the process ends.
pub(crate) async fn run(state: Rc<InstanceState>, listener: Rc<TcpListener>) {
    let most = (state.config.descriptors / CALLER_DESCRIPTOR_DIVISOR) as i64;
    loop {
        match listener.accept().await {
            Ok((stream, _)) if state.metrics.connections.get() < most => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&state), stream));
            }
            Ok(_) => log::warn!(most; "too many connections; one closed"),
            Err(error) => {
                log::warn!(error:%; "failed to accept a connection; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<InstanceState>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let progress = Rc::new(ConnectionProgress::new());
    let io = WatchedIo {
        io: TokioIo::new(stream),
        progress: Rc::clone(&progress),
    };
    let served = Rc::clone(&state);
    let request_progress = Rc::clone(&progress);
    let service = service_fn(move |request| {
        request_progress.on_request();
        let state = Rc::clone(&served);
        let request_progress = Rc::clone(&request_progress);
        async move {
            let response = handler::serve(state, request).await;
            request_progress.on_response();
            response
        }
    });
    let limits = state.limits.get();
    let connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    tokio::pin!(connection);
    let mut stopping = state.stopping.subscribe();
    state.metrics.connections.inc();
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:%; "connection to a caller failed");
                }
                break;
            }
            changed = stopping.changed() => {
                if changed.is_err() || *stopping.borrow() == StopPhase::Refusing {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = tokio::time::sleep(TIMEOUT_CHECK_INTERVAL) => {
                let limits = state.limits.get();
                match progress.expired(limits.header_timeout, limits.idle_timeout) {
                    Some(ConnectionTimeout::Head) => break,
                    Some(ConnectionTimeout::Idle) => connection.as_mut().graceful_shutdown(),
                    None => {}
                }
            }
        }
    }
    state.metrics.connections.dec();
}

/// A timeout that has expired on a connection.
enum ConnectionTimeout {
    /// The headers of a request have started but not arrived completely.
    Head,
    /// No next request has arrived.
    Idle,
}

/// Tracks whether a connection is idle, receives headers, or waits for a response.
#[derive(Debug)]
struct ConnectionProgress {
    since: Cell<Instant>,
    head_started: Cell<bool>,
    responding: Cell<bool>,
}

impl ConnectionProgress {
    fn new() -> Self {
        Self {
            since: Cell::new(Instant::now()),
            head_started: Cell::new(false),
            responding: Cell::new(false),
        }
    }

    fn on_bytes_read(&self) {
        if self.responding.get() || self.head_started.get() {
            return;
        }
        self.head_started.set(true);
        self.since.set(Instant::now());
    }

    fn on_request(&self) {
        self.head_started.set(false);
        self.responding.set(true);
    }

    fn on_response(&self) {
        self.responding.set(false);
        self.head_started.set(false);
        self.since.set(Instant::now());
    }

    fn expired(&self, head: Duration, idle: Duration) -> Option<ConnectionTimeout> {
        if self.responding.get() {
            return None;
        }
        let wait_time = self.since.get().elapsed();
        if self.head_started.get() {
            return (wait_time > head).then_some(ConnectionTimeout::Head);
        }
        (wait_time > idle).then_some(ConnectionTimeout::Idle)
    }
}

/// A connection that reports its reads to a [`ConnectionProgress`].
struct WatchedIo {
    io: TokioIo<TcpStream>,
    progress: Rc<ConnectionProgress>,
}

impl Read for WatchedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.progress.on_bytes_read();
        }
        polled
    }
}

impl Write for WatchedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
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
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }
}

//! Callers' connections: accepted, watched for slow heads and idleness, and
//! closed in order at a stop.

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

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often a connection is checked for a slow head or idleness.
const CHECK_EVERY: Duration = Duration::from_secs(2);
/// Smallest head buffer that the library takes, in bytes.
const LEAST_BUFFER: usize = 8192;
/// Part of the descriptors that callers' connections may use.
const CALLER_SHARE: usize = 2;

/// Opens a listener at `address` for `what`.
///
/// # Errors
/// Where the address can't be used.
pub(crate) fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|cause| Error::Listen(what, address, cause))
}

/// Accepts callers until the process ends.
pub(crate) async fn run(state: Rc<InstanceState>, listener: Rc<TcpListener>) {
    let most = (state.config.descriptors / CALLER_SHARE) as i64;
    loop {
        match listener.accept().await {
            Ok((stream, _)) if state.metrics.connections.get() < most => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&state), stream));
            }
            Ok(_) => log::warn!(most; "too many connections; one closed"),
            Err(error) => {
                log::warn!(error:%; "no connection accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<InstanceState>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let progress = Rc::new(HeadProgress::new());
    let io = WatchedIo {
        io: TokioIo::new(stream),
        progress: Rc::clone(&progress),
    };
    let served = Rc::clone(&state);
    let seen = Rc::clone(&progress);
    let service = service_fn(move |request| {
        seen.on_request();
        let state = Rc::clone(&served);
        let seen = Rc::clone(&seen);
        async move {
            let answer = handler::serve(state, request).await;
            seen.on_answer();
            answer
        }
    });
    let limits = state.limits.get();
    let connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(io, service);
    tokio::pin!(connection);
    let mut stopping = state.stopping.subscribe();
    state.metrics.connections.inc();
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:%; "caller's connection ended");
                }
                break;
            }
            changed = stopping.changed() => {
                if changed.is_err() || *stopping.borrow() == StopPhase::Refusing {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = tokio::time::sleep(CHECK_EVERY) => {
                let limits = state.limits.get();
                match progress.overdue(limits.header_timeout, limits.idle_timeout) {
                    Some(Overdue::Head) => break,
                    Some(Overdue::Idle) => connection.as_mut().graceful_shutdown(),
                    None => {}
                }
            }
        }
    }
    state.metrics.connections.dec();
}

/// What a connection has waited for too long.
enum Overdue {
    /// A head that began and did not end.
    Head,
    /// The next request.
    Idle,
}

/// Whether a connection is idle, receives a head, or is being answered.
#[derive(Debug)]
struct HeadProgress {
    since: Cell<Instant>,
    head_begun: Cell<bool>,
    answering: Cell<bool>,
}

impl HeadProgress {
    fn new() -> Self {
        Self {
            since: Cell::new(Instant::now()),
            head_begun: Cell::new(false),
            answering: Cell::new(false),
        }
    }

    fn on_bytes(&self) {
        if self.answering.get() || self.head_begun.get() {
            return;
        }
        self.head_begun.set(true);
        self.since.set(Instant::now());
    }

    fn on_request(&self) {
        self.head_begun.set(false);
        self.answering.set(true);
    }

    fn on_answer(&self) {
        self.answering.set(false);
        self.head_begun.set(false);
        self.since.set(Instant::now());
    }

    fn overdue(&self, head: Duration, idle: Duration) -> Option<Overdue> {
        if self.answering.get() {
            return None;
        }
        let waited = self.since.get().elapsed();
        if self.head_begun.get() {
            return (waited > head).then_some(Overdue::Head);
        }
        (waited > idle).then_some(Overdue::Idle)
    }
}

/// A connection whose reads are noticed.
struct WatchedIo {
    io: TokioIo<TcpStream>,
    progress: Rc<HeadProgress>,
}

impl Read for WatchedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.progress.on_bytes();
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

//! Accepts connections from callers, closes those that are idle or send their headers too
//! slowly, and shuts them down gracefully when the instance stops.

mod caller_io;
mod caller_stream;
mod head_scanner;
mod pipeline;
pub(crate) mod progress;
pub(crate) mod table;
pub(crate) mod tracked_io;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::accept::caller_io::CallerIo;
use crate::accept::caller_stream::CallerStream;
use crate::accept::pipeline::RequestPipeline;
use crate::accept::progress::{ConnectionProgress, ConnectionTimeout};
use crate::accept::table::{ConnectionPlace, ConnectionTable};
use crate::body::ResponseBody;
use crate::error::{Error, RequestError, Result};
use crate::state::InstanceState;
use crate::stop::StopPhase;

/// Delay after a failed accept, for example when file descriptors run out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a connection is checked for its header and idle timeouts.
pub(crate) const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Receive buffer of each connection while there are many, in bytes.
const SMALL_RECEIVE_BYTES: usize = 16 << 10;
/// Minimum size of the read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Opens a listener on `address`, where up to `most_waiting` connections wait to be accepted;
/// `purpose` names it in the error message.
///
/// # Errors
/// Returns [`Error::Listen`] if the address can't be bound.
pub(crate) fn listen(
    purpose: &'static str,
    address: SocketAddr,
    most_waiting: usize,
) -> Result<TcpListener> {
    let backlog = u32::try_from(most_waiting).unwrap_or(u32::MAX);
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(backlog)
    };
    open().map_err(|cause| Error::Listen(purpose, address, cause))
}

/// Accepts connections from callers until the process ends.
pub(crate) async fn run(state: Rc<InstanceState>, listener: Rc<TcpListener>) {
    let table = ConnectionTable::new("callers", state.config.hold.caller_connections);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let progress = Rc::new(ConnectionProgress::new());
                let Some(place) = table.admit(&progress, || state.memory.revoke_longest()) else {
                    continue;
                };
                if table.len() > state.config.hold.roomy_connections {
                    limit_unread(&stream);
                }
                let state = Rc::clone(&state);
                tokio::task::spawn_local(serve_connection(state, stream, progress, place));
            }
            Err(error) => {
                log::warn!(error:%; "failed to accept a connection; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Limits what may wait unread in `stream`.
fn limit_unread(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_recv_buffer_size(SMALL_RECEIVE_BYTES) {
        log::debug!(error:%; "failed to limit a receive buffer");
    }
}

async fn serve_connection(
    state: Rc<InstanceState>,
    stream: TcpStream,
    progress: Rc<ConnectionProgress>,
    place: ConnectionPlace,
) {
    let _ = stream.set_nodelay(true);
    let pipeline = Rc::new(RefCell::new(RequestPipeline::new(&state)));
    let follows_requests = state.config.pipelined_requests > 1;
    let stream = CallerStream::new(stream);
    let socket = stream.clone();
    let io = CallerIo::new(stream.clone(), &progress, &pipeline, follows_requests);
    let served = Rc::clone(&state);
    let (served_progress, served_pipeline) = (Rc::clone(&progress), Rc::clone(&pipeline));
    let service = service_fn(move |request: Request<Incoming>| {
        served_progress.on_request(request.version());
        let state = Rc::clone(&served);
        let progress = Rc::clone(&served_progress);
        let pipeline = Rc::clone(&served_pipeline);
        let stream = stream.clone();
        async move {
            tokio::select! {
                biased;
                response = respond(&state, &pipeline, request) => {
                    progress.on_response();
                    progress.on_response_memory(response.body().lease().as_ref());
                    Ok(response.map(|body| body.with_guard(progress.body_guard())))
                }
                // The connection reads nothing while bytes of the caller's wait, so it doesn't
                // notice the end behind them.
                () = stream.left() => Err(RequestError::CallerLeft),
            }
        }
    });
    let limits = state.limits.get();
    let connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut connection = Box::pin(connection);
    let mut stopping = state.stopping.subscribe();
    state.metrics.connections.inc();
    let lingers = loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:%; "connection to a caller failed");
                    if error.is_user() {
                        progress.on_broken_off();
                    }
                }
                break !progress.needs_reset();
            }
            () = place.evicted() => break false,
            () = progress.response_revoked() => {
                log::debug!("a response that its caller doesn't read yields its memory");
                progress.on_broken_off();
                break false;
            }
            changed = stopping.changed() => {
                let phase = *stopping.borrow();
                let is_refusing = changed.is_err() || phase >= StopPhase::Refusing;
                if phase == StopPhase::Ending && progress.on_ending() {
                    break false;
                }
                // Requests that were started early are answered first; the last response closes
                // the connection.
                if is_refusing && !pipeline.borrow().has_started() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = tokio::time::sleep(TIMEOUT_CHECK_INTERVAL) => {
                let limits = state.limits.get();
                match progress.expired(limits.header_timeout, limits.idle_timeout) {
                    Some(ConnectionTimeout::Head | ConnectionTimeout::Unread) => break false,
                    Some(ConnectionTimeout::Idle) => connection.as_mut().graceful_shutdown(),
                    None => {}
                }
            }
        }
    };
    // Its buffers are needed no more.
    drop(connection);
    if lingers {
        progress.on_closing();
        let lease = state.memory.lease();
        tokio::select! {
            () = socket.linger(&lease) => {}
            () = place.evicted() => {}
        }
    }
    state.metrics.connections.dec();
}

/// Responds to `request`. While the entry is stopping, the last response closes the connection.
async fn respond(
    state: &InstanceState,
    pipeline: &RefCell<RequestPipeline>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = pipeline::serve(pipeline, request).await;
    if state.stop.get() != StopPhase::Serving && !pipeline.borrow().has_started() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

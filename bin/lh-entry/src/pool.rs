//! Connection pool for backend servers. Connections are opened on demand, kept alive for a while,
//! and closed if it is uncertain whether they can be reused.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONNECTION, HeaderName};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::body::RequestBody;
use crate::connect::dialer::Dialer;
use crate::connect::stream::{RequestMark, ServerStream};

/// `TCP_USER_TIMEOUT` of connections to servers. It detects a server that lost power before most
/// deadlines expire.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1200);
/// Size from which on a server may leave a part of a request unread for as long as it works. The
/// kernel counts this time like that of a server that is gone, so that only the deadline ends it.
const UNREAD_REQUEST_BYTES: usize = 16 << 10;
/// How long an idle connection is kept if the server states no keep-alive timeout. Servers with a
/// timeout of less than a second state none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);
/// Safety margin between the last use of a connection and the time at which the server closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);
/// Maximum size of the buffers of a connection, in bytes; also the maximum size of the head of a
/// response.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Receive buffer of a connection, in bytes: what a response may bring that its caller doesn't
/// read.
const RECEIVE_BUFFER_BYTES: usize = 128 << 10;
/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// A connection in use. It is closed when dropped, unless it is returned with
/// [`ConnectionPool::release`]; if a request on it has no complete response, it is reset.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    server: String,
    sender: Option<SendRequest<RequestBody>>,
    task: AbortHandle,
    mark: RequestMark,
    /// Whether the connection has carried a request before.
    pub(crate) reused: bool,
    /// Counts the connection, if it was opened ahead and hasn't been used yet.
    ahead: Option<Rc<AheadCounts>>,
}

#[derive(Debug)]
struct IdleConnection {
    lease: ConnectionLease,
    idle_since: Instant,
    keep_alive: Duration,
}

/// What became of the connections that were opened ahead of requests.
#[derive(Debug, Default)]
pub(crate) struct AheadCounts {
    /// Connections that a request used.
    pub(crate) used: Cell<usize>,
    /// Connections that were closed before a request used them.
    pub(crate) unused: Cell<usize>,
}

/// Idle connections by server.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// Timeout for establishing a connection.
    connect_timeout: Duration,
    dialer: Dialer,
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool whose connections `dialer` must establish within `connect_timeout`.
    pub(crate) fn new(connect_timeout: Duration, dialer: Dialer) -> Self {
        Self {
            connect_timeout,
            dialer,
            idle: RefCell::default(),
        }
    }

    /// Takes the most recently used idle connection to `server`. With `avoid_stale`, connections
    /// past half of their keep-alive time are skipped, since the server may be closing them.
    pub(crate) fn take(&self, server: &str, avoid_stale: bool) -> Option<ConnectionLease> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(connection) = connections.pop() {
            let age = connection.idle_since.elapsed();
            let keep_alive = if avoid_stale {
                connection.keep_alive / 2
            } else {
                connection.keep_alive
            };
            if age >= connection.keep_alive || !connection.lease.is_usable() {
                continue;
            }
            if age >= keep_alive {
                connections.push(connection);
                return None;
            }
            let mut lease = connection.lease;
            if let Some(counts) = lease.ahead.take() {
                counts.used.set(counts.used.get() + 1);
            }
            return Some(lease);
        }
        None
    }

    /// Adds a connection to `server` that was opened ahead, which the server keeps open for
    /// `keep_alive`.
    pub(crate) fn add_ahead(
        &self,
        mut lease: ConnectionLease,
        keep_alive: Duration,
        counts: &Rc<AheadCounts>,
    ) {
        lease.ahead = Some(Rc::clone(counts));
        let connection = IdleConnection {
            idle_since: Instant::now(),
            keep_alive,
            lease,
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.lease.server.clone()).or_default();
        // At the front, since requests take the most recently used connection.
        connections.insert(0, connection);
    }

    /// Returns the number of idle connections to `server`.
    pub(crate) fn idle_count(&self, server: &str) -> usize {
        let idle = self.idle.borrow();
        let connections = idle.get(server).into_iter().flatten();
        connections.filter(|idle| idle.is_reusable()).count()
    }

    /// Returns the number of idle connections to all servers.
    pub(crate) fn total_idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Opens a connection to `server` at `address`.
    ///
    /// # Errors
    /// Returns the reason if the connection can't be established. Nothing was sent in that case.
    pub(crate) async fn open(
        &self,
        server: &str,
        address: SocketAddr,
        time_left: Duration,
    ) -> Result<ConnectionLease, String> {
        let connecting = self.dialer.connect(address);
        let stream = match timeout(time_left.min(self.connect_timeout), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_) => return Err("connect timed out".to_owned()),
        };
        let _ = stream.set_nodelay(true);
        if let Err(error) = SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::debug!(error:%; "failed to limit the receive buffer of a connection");
        }
        let mark = RequestMark::default();
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(ServerStream::new(stream, &mark)))
            .await
            .map_err(|error| error.to_string())?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "connection to a server failed");
            }
        });
        Ok(ConnectionLease {
            server: server.to_owned(),
            sender: Some(sender),
            task: task.abort_handle(),
            mark,
            reused: false,
            ahead: None,
        })
    }

    /// Returns `lease` to the pool for as long as the `headers` of its response allow.
    pub(crate) fn release(&self, lease: ConnectionLease, headers: &HeaderMap) {
        let Some(keep_alive) = parse_keep_alive(headers) else {
            lease.on_complete();
            return;
        };
        self.release_for(lease, keep_alive);
    }

    /// Returns `lease` to the pool for `keep_alive`.
    pub(crate) fn release_for(&self, mut lease: ConnectionLease, keep_alive: Duration) {
        lease.reused = true;
        lease.on_complete();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(lease.server.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER {
            return;
        }
        connections.push(IdleConnection {
            lease,
            idle_since: Instant::now(),
            keep_alive,
        });
    }

    /// Closes the idle connections to `server`.
    pub(crate) fn close_idle(&self, server: &str) {
        self.idle.borrow_mut().remove(server);
    }

    /// Removes connections that can't be reused any more.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(IdleConnection::is_reusable);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl ConnectionLease {
    /// Returns the half that sends requests, for a request with `body_bytes` that is sent now and
    /// has `time_left`.
    pub(crate) fn sender(
        &mut self,
        body_bytes: usize,
        time_left: Duration,
    ) -> Option<&mut SendRequest<RequestBody>> {
        self.mark.on_request();
        self.mark
            .set_user_timeout(if body_bytes < UNREAD_REQUEST_BYTES {
                UNACKNOWLEDGED_TIMEOUT
            } else {
                time_left.max(UNACKNOWLEDGED_TIMEOUT)
            });
        self.sender.as_mut()
    }

    /// Returns the id of the server, or the name of the entry at the other end.
    pub(crate) fn server(&self) -> &str {
        &self.server
    }

    /// Records that the head of the response to the request has arrived.
    pub(crate) fn on_head(&self) {
        self.mark.on_head();
    }

    /// Records that the response to the request is complete: dropping the lease closes the
    /// connection in good order.
    pub(crate) fn on_complete(&self) {
        self.mark.on_complete();
    }

    fn is_usable(&self) -> bool {
        self.sender
            .as_ref()
            .is_some_and(|sender| sender.is_ready() && !sender.is_closed())
    }
}

impl IdleConnection {
    fn is_reusable(&self) -> bool {
        self.lease.is_usable() && self.idle_since.elapsed() < self.keep_alive
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if let Some(counts) = self.ahead.take() {
            counts.unused.set(counts.unused.get() + 1);
        }
        // Closes or resets the connection immediately, so that the server cancels the request.
        self.task.abort();
    }
}

/// Returns how long a connection can be reused after a response with `headers`; `None` if the
/// server closes it.
pub(crate) fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let closing = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closing {
        return None;
    }
    let stated = headers
        .get(HeaderName::from_static("keep-alive"))
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    let keep_alive = match stated {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    };
    (!keep_alive.is_zero()).then_some(keep_alive)
}

//! Connections to backend servers: opened when needed, kept for a while, and
//! closed whenever anything about them is in doubt.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONNECTION, HeaderName};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::body::RequestBody;

/// Bytes that stay unacknowledged for this long break the connection: a server
/// that lost power is noticed before most deadlines.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long a connection is kept where the server doesn't say: servers whose
/// time-out is under a second don't.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);
/// Kept between the last use and the time at which the server closes.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);
/// Idle connections kept to one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// A connection in use. Dropped without [`ConnectionLease::release`], it is closed.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    server: String,
    sender: Option<SendRequest<RequestBody>>,
    task: AbortHandle,
    /// Whether it served a request before.
    pub(crate) reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    lease: ConnectionLease,
    idle_since: Instant,
    keep_alive: Duration,
}

/// Idle connections by server.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// Longest time in which a server accepts a connection.
    connect_timeout: Duration,
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// A pool without connections; each may take `connect_timeout` to be made.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle: RefCell::default(),
        }
    }

    /// An idle connection to `server`, the one used last. `avoid_stale` leaves out
    /// those that the server might be closing at this moment.
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
            return Some(connection.lease);
        }
        None
    }

    /// Opens a connection to `server` at `address`.
    ///
    /// # Errors
    /// The reason, where none can be had; nothing was sent then.
    pub(crate) async fn open(
        &self,
        server: &str,
        address: SocketAddr,
        time_left: Duration,
    ) -> Result<ConnectionLease, String> {
        let connecting = TcpStream::connect(address);
        let stream = match timeout(time_left.min(self.connect_timeout), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_) => return Err("no connection in time".to_owned()),
        };
        let _ = stream.set_nodelay(true);
        if let Err(error) =
            SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        {
            log::debug!(error:%; "no bound on unacknowledged bytes");
        }
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "server connection ended");
            }
        });
        Ok(ConnectionLease {
            server: server.to_owned(),
            sender: Some(sender),
            task: task.abort_handle(),
            reused: false,
        })
    }

    /// Keeps `lease` for later, for as long as its answer's `headers` allow.
    pub(crate) fn release(&self, mut lease: ConnectionLease, headers: &HeaderMap) {
        let Some(keep_alive) = parse_keep_alive(headers) else {
            return;
        };
        lease.reused = true;
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

    /// Closes connections that can't be used any more.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                connection.lease.is_usable()
                    && connection.idle_since.elapsed() < connection.keep_alive
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl ConnectionLease {
    /// The sending half.
    pub(crate) fn sender(&mut self) -> Option<&mut SendRequest<RequestBody>> {
        self.sender.as_mut()
    }

    fn is_usable(&self) -> bool {
        self.sender
            .as_ref()
            .is_some_and(|sender| sender.is_ready() && !sender.is_closed())
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        // Ends the connection at once, so that the server stops its work.
        self.task.abort();
    }
}

/// How long a connection stays usable after an answer with `headers`; `None`
/// where the server closes it.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
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

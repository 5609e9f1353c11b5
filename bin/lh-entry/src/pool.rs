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
const SILENCE: Duration = Duration::from_millis(1200);
/// How long a connection is kept where the server doesn't say: servers whose
/// time-out is under a second don't.
const UNSTATED_KEEP: Duration = Duration::from_millis(400);
/// Kept between the last use and the time at which the server closes.
const CLOSE_MARGIN: Duration = Duration::from_millis(800);
/// Idle connections kept to one server.
const IDLE_MOST: usize = 16;

/// A connection in use. Dropped without [`Lease::give_back`], it is closed.
#[derive(Debug)]
pub(crate) struct Lease {
    server: String,
    sender: Option<SendRequest<RequestBody>>,
    task: AbortHandle,
    /// Whether it served a request before.
    pub(crate) reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    lease: Lease,
    since: Instant,
    keep: Duration,
}

/// Idle connections by server.
#[derive(Debug)]
pub(crate) struct ServerPool {
    /// Longest time in which a server accepts a connection.
    connect: Duration,
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl ServerPool {
    /// A pool without connections; each may take `connect` to be made.
    pub(crate) fn new(connect: Duration) -> Self {
        Self {
            connect,
            idle: RefCell::default(),
        }
    }

    /// An idle connection to `server`, the one used last. `avoid_stale` leaves out
    /// those that the server might be closing at this moment.
    pub(crate) fn take(&self, server: &str, avoid_stale: bool) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(connection) = connections.pop() {
            let age = connection.since.elapsed();
            let keep = if avoid_stale {
                connection.keep / 2
            } else {
                connection.keep
            };
            if age >= connection.keep || !connection.lease.is_usable() {
                continue;
            }
            if age >= keep {
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
    ) -> Result<Lease, String> {
        let opening = TcpStream::connect(address);
        let stream = match timeout(time_left.min(self.connect), opening).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(error.to_string()),
            Err(_) => return Err("no connection in time".to_owned()),
        };
        let _ = stream.set_nodelay(true);
        if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE)) {
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
        Ok(Lease {
            server: server.to_owned(),
            sender: Some(sender),
            task: task.abort_handle(),
            reused: false,
        })
    }

    /// Keeps `lease` for later, for as long as its answer's `headers` allow.
    pub(crate) fn give_back(&self, mut lease: Lease, headers: &HeaderMap) {
        let Some(keep) = keep_time(headers) else {
            return;
        };
        lease.reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(lease.server.clone()).or_default();
        if connections.len() >= IDLE_MOST {
            return;
        }
        connections.push(IdleConnection {
            lease,
            since: Instant::now(),
            keep,
        });
    }

    /// Closes the idle connections to `server`.
    pub(crate) fn forget(&self, server: &str) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes connections that can't be used any more.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                connection.lease.is_usable() && connection.since.elapsed() < connection.keep
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl Lease {
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

impl Drop for Lease {
    fn drop(&mut self) {
        // Ends the connection at once, so that the server stops its work.
        self.task.abort();
    }
}

/// How long a connection stays usable after an answer with `headers`; `None`
/// where the server closes it.
fn keep_time(headers: &HeaderMap) -> Option<Duration> {
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
    let keep = match stated {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(CLOSE_MARGIN),
        None => UNSTATED_KEEP,
    };
    (!keep.is_zero()).then_some(keep)
}

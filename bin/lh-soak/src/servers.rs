//! Fake backend servers. They register at the store and record the requests that reach them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use platform_standin::{FakeStore, Partition, server_entry_in};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};

use crate::config::{region_and_domain, server_id};
use crate::error::Result;
use crate::fleet;
use crate::history::{RunEvent, RunRecorder, Statement};
use crate::rollouts;
use crate::statements::StatementBoard;

/// Name of the service that all servers offer.
pub(crate) const SERVICE: &str = "board";
/// Store table with the registrations of servers.
const TABLE: &str = "servers";
/// Processing time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Path of the health check.
const HEALTH_PATH: &str = "/health";

/// How a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaveKind {
    /// It writes the state `draining`; its row is deleted later.
    Announced,
    /// Its row is deleted at once.
    Unannounced,
}

/// A backend server.
#[derive(Debug, Clone)]
pub(crate) struct SoakServer {
    id: String,
    address: SocketAddr,
    domain: String,
    /// Sequence number of its latest registration.
    seq: u64,
}

impl SoakServer {
    fn registration(&self, state: &str, seq: u64) -> Value {
        server_entry_in(&self.domain, SERVICE, self.address, state, seq)
    }
}

/// All running servers and the store at which they register.
#[derive(Debug, Clone)]
pub(crate) struct ServerPool {
    store: FakeStore,
    recorder: RunRecorder,
    live: Arc<Mutex<Vec<SoakServer>>>,
    started: Arc<Mutex<usize>>,
    /// What the servers say of themselves.
    pub(crate) statements: StatementBoard,
    /// Separates entries from the servers.
    pub(crate) partition: Partition,
}

impl ServerPool {
    /// Creates an empty pool.
    pub(crate) fn new(store: FakeStore, recorder: RunRecorder) -> Self {
        Self {
            store,
            recorder,
            live: Arc::default(),
            started: Arc::default(),
            statements: StatementBoard::default(),
            partition: Partition::default(),
        }
    }

    /// Starts a server and registers it.
    pub(crate) async fn start_server(&self) -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let index = {
            let mut started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
            *started += 1;
            *started - 1
        };
        let server = SoakServer {
            id: server_id(index),
            address: listener.local_addr()?,
            domain: region_and_domain(index).1,
            seq: 1,
        };
        let identity = ServerIdentity {
            id: server.id.clone(),
            recorder: self.recorder.clone(),
            statements: self.statements.clone(),
            partition: self.partition.clone(),
        };
        tokio::spawn(accept(listener, identity));
        self.store
            .put(TABLE, &server.id, &server.registration("ready", 1));
        self.live().push(server);
        Ok(())
    }

    /// Starts and registers the server `id` of a version of the service that is rolled out.
    pub(crate) async fn start_version_server(
        &self,
        id: &str,
        index: usize,
        version: &str,
        is_bad: bool,
    ) -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (_, domain) = region_and_domain(index);
        let address = listener.local_addr()?;
        let mut row = server_entry_in(&domain, rollouts::SERVICE, address, "ready", 1);
        row["version"] = json!(version);
        if is_bad {
            self.statements.set_bad(id);
        }
        let identity = ServerIdentity {
            id: id.to_owned(),
            recorder: self.recorder.clone(),
            statements: self.statements.clone(),
            partition: self.partition.clone(),
        };
        tokio::spawn(accept(listener, identity));
        self.store.put(TABLE, id, &row);
        Ok(())
    }

    /// Lets the server `id` of a version drain.
    pub(crate) fn drain_version_server(&self, id: &str) {
        let Some(mut row) = self.store.row(TABLE, id) else {
            return;
        };
        row["state"] = json!("draining");
        row["seq"] = json!(2);
        let server = id.to_owned();
        self.recorder.record(RunEvent::Left { server });
        self.store.put(TABLE, id, &row);
    }

    /// Ends the server `id` of a version.
    pub(crate) fn stop_version_server(&self, id: &str) {
        self.statements.set_stopped(id);
        self.store.delete_row(TABLE, id);
    }

    /// Number of servers that have not left.
    pub(crate) fn live_count(&self) -> usize {
        self.live().len()
    }

    /// The id of the running server that the number `draw` selects.
    pub(crate) fn draw_live(&self, draw: u32) -> String {
        let live = self.live();
        live[draw as usize % live.len()].id.clone()
    }

    /// The ids of all running servers.
    pub(crate) fn live_ids(&self) -> Vec<String> {
        self.live().iter().map(|server| server.id.clone()).collect()
    }

    /// Lets the server `id` leave, with its row `draining`. Returns whether it had not left yet.
    pub(crate) fn announce_leaving(&self, id: &str) -> bool {
        let index = self.live().iter().position(|server| server.id == id);
        let Some(index) = index else {
            return false;
        };
        self.start_leaving(index, LeaveKind::Announced);
        true
    }

    /// Lets the server at `index` leave. It still serves requests that reach it.
    pub(crate) fn start_leaving(&self, index: usize, kind: LeaveKind) -> SoakServer {
        let mut server = self.live().swap_remove(index);
        let server_id = server.id.clone();
        self.recorder.record(RunEvent::Left { server: server_id });
        server.seq += 1;
        match kind {
            LeaveKind::Announced => {
                let registration = server.registration("draining", server.seq);
                self.store.put(TABLE, &server.id, &registration);
            }
            LeaveKind::Unannounced => self.store.delete_row(TABLE, &server.id),
        }
        server
    }

    /// Deletes the row of a departed server.
    pub(crate) fn delete_row(&self, server: &SoakServer) {
        self.store.delete_row(TABLE, &server.id);
    }

    /// Registers a departed server as draining again, with a sequence number above all earlier ones.
    pub(crate) fn write_draining(&self, server: &SoakServer) {
        let registration = server.registration("draining", server.seq + 1);
        self.store.put(TABLE, &server.id, &registration);
    }

    /// Applies a heartbeat that `server` sent before it left, with its old sequence number.
    pub(crate) fn write_late_heartbeat(&self, server: &SoakServer) {
        let id = server.id.clone();
        self.recorder.record(RunEvent::LateWord { server: id });
        let registration = server.registration("ready", server.seq - 1);
        self.store.put(TABLE, &server.id, &registration);
    }

    /// Deletes the rows of the share `share` of the servers and returns their ids, for
    /// [`ServerPool::reregister`].
    pub(crate) fn expire_rows(&self, share: f64) -> Vec<String> {
        let live = self.live();
        let count = (live.len() as f64 * share) as usize;
        let expired = live.iter().take(count);
        let expired: Vec<String> = expired.map(|server| server.id.clone()).collect();
        for id in &expired {
            self.store.delete_row(TABLE, id);
        }
        expired
    }

    /// Registers those of the servers `expired` again that have not left.
    pub(crate) fn reregister(&self, expired: &[String]) {
        let mut live = self.live();
        for server in live.iter_mut() {
            if expired.contains(&server.id) {
                server.seq += 1;
                let registration = server.registration("ready", server.seq);
                self.store.put(TABLE, &server.id, &registration);
            }
        }
    }

    fn live(&self) -> MutexGuard<'_, Vec<SoakServer>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A server as its connections see it.
#[derive(Debug, Clone)]
struct ServerIdentity {
    id: String,
    recorder: RunRecorder,
    statements: StatementBoard,
    partition: Partition,
}

impl ServerIdentity {
    /// Responds that the request was not executed and that the server wants to rest.
    fn turn_away(
        &self,
        sender: Option<usize>,
        builder: hyper::http::response::Builder,
        rest_ms: u64,
    ) -> Response<Full<Bytes>> {
        if let Some(entry) = sender {
            self.recorder.record(RunEvent::TurnedAway {
                server: self.id.clone(),
                entry,
                rest_ms,
            });
        }
        let rest_secs = rest_ms as f64 / 1000.0;
        let builder = builder
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header("not-executed", "1")
            .header("retry-after", rest_secs.to_string());
        response_with_body(builder, "")
    }

    /// Records that the response to `request` says `statement`.
    fn record_told(&self, request: &str, statement: Statement) {
        self.recorder.record(RunEvent::Told {
            server: self.id.clone(),
            request: request.to_owned(),
            statement,
        });
    }
}

async fn accept(listener: TcpListener, server: ServerIdentity) {
    while let Ok((stream, _)) = listener.accept().await {
        if server.statements.get(&server.id).is_stopped {
            return;
        }
        if server.partition.resets(&stream) {
            continue;
        }
        tokio::spawn(serve_connection(stream, server.clone()));
    }
}

async fn serve_connection(stream: TcpStream, server: ServerIdentity) {
    let _ = stream.set_nodelay(true);
    let Ok(client) = stream.peer_addr() else {
        return;
    };
    // An entry that can't reach servers relays its callers' requests through others.
    let sender = fleet::entry_at(client.ip());
    let partition = server.partition.clone();
    let service = service_fn(move |request| {
        let server = server.clone();
        async move {
            let response = handle_request(&server, sender, request).await;
            if server.statements.get(&server.id).is_stopped {
                return Err(std::io::Error::from(std::io::ErrorKind::ConnectionAborted));
            }
            Ok(response)
        }
    });
    // Connection errors are left to the entry, which reconnects.
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = partition.separated(client.ip()) => {}
    }
}

async fn handle_request(
    server: &ServerIdentity,
    sender: Option<usize>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let ServerIdentity { id, recorder, .. } = server;
    let request_id = header_text(request.headers(), "request-id").to_owned();
    let expected = header_text(request.headers(), "expect-instance");
    let mut builder = Response::builder()
        .header("request-id", &request_id)
        .header("instance-id", id.as_str())
        .header("server-load", "0,0,8");
    if request.uri().path() == HEALTH_PATH {
        return response_with_body(builder, "");
    }
    if !expected.is_empty() && expected != id.as_str() {
        builder = builder.status(StatusCode::MISDIRECTED_REQUEST);
        return response_with_body(builder, "");
    }
    let statement = server.statements.get(id);
    if statement.is_stopped {
        return response_with_body(builder, "");
    }
    if let Some(rest_ms) = statement.rest_ms {
        return server.turn_away(sender, builder, rest_ms);
    }
    if let Some(entry) = sender {
        recorder.record(RunEvent::Arrived {
            server: id.clone(),
            entry,
            request: request_id.clone(),
        });
    }
    let _ = request.into_body().collect().await;
    tokio::time::sleep(SERVICE_TIME).await;
    let statement = server.statements.get(id);
    if statement.leaving {
        builder = builder.header("server-leaving", "1");
        server.record_told(&request_id, Statement::Leaving);
    }
    if let Some(milli) = statement.limit_milli {
        let rate = f64::from(milli) / 1000.0;
        builder = builder.header("server-limit", rate.to_string());
        server.record_told(&request_id, Statement::Limited);
    }
    if statement.is_bad && is_failure(&request_id) {
        let server = id.clone();
        recorder.record(RunEvent::BadResponse { server });
        builder = builder.status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    response_with_body(
        builder.header("server-stamp", "soak"),
        &response_body(&request_id, id),
    )
}

fn response_with_body(
    builder: hyper::http::response::Builder,
    body: &str,
) -> Response<Full<Bytes>> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    let response = builder.body(Full::new(body));
    response.unwrap_or_else(|_| Response::new(Full::new(Bytes::new())))
}

/// The body with which `server` responds to `request`.
pub(crate) fn response_body(request: &str, server: &str) -> String {
    format!("{request} ran at {server}")
}

/// Parses the number of the entry to which the caller sent the request from the request id.
pub(crate) fn entry_of(request_id: &str) -> Option<usize> {
    request_id.split('-').next()?.parse().ok()
}

/// Whether a bad version responds to the request with a failure.
fn is_failure(request_id: &str) -> bool {
    let number = request_id.rsplit('-').next();
    let number: Option<u64> = number.and_then(|number| number.parse().ok());
    number.is_some_and(|number| number.is_multiple_of(2))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("")
}

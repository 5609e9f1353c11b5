//! Simulated callers. Each reuses its connection until a request on it fails.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use platform_standin::CallerRequest;
use tokio::net::TcpStream;

use crate::history::{RunEvent, RunRecorder};

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Extra delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time within which a complete response must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Deadline that callers state.
const DEADLINE: Duration = Duration::from_secs(3);
/// Number of distinct objects that are requested.
const OBJECT_COUNT: u64 = 997;
/// Every nth request of a caller is an at-most-once request.
const AT_MOST_ONCE_EVERY: u64 = 3;
/// Suffix of the ids of at-most-once requests.
const AT_MOST_ONCE_SUFFIX: &str = "-once";

/// Sends requests to the entry number `entry` until the task is aborted.
pub(crate) async fn run_caller(
    entry: usize,
    caller: usize,
    address: SocketAddr,
    recorder: RunRecorder,
) {
    let mut connection = CallerConnection::new(address);
    for number in 0_u64.. {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let suffix = if number.is_multiple_of(AT_MOST_ONCE_EVERY) {
            AT_MOST_ONCE_SUFFIX
        } else {
            ""
        };
        let request = format!("{entry}-{caller}-{number}{suffix}");
        let object = number.wrapping_mul(31 + caller as u64) % OBJECT_COUNT;
        let (method, prefix) = if is_at_most_once(&request) {
            (Method::POST, "desk")
        } else {
            (Method::GET, "board")
        };
        let draft = RequestDraft {
            method,
            path: &format!("/{prefix}/{object}"),
            id: &request,
            object,
            key: None,
        };
        recorder.record(match connection.exchange(draft).await {
            Some((status, body)) => answered(request, status, body),
            None => RunEvent::Unconnected { request },
        });
    }
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub(crate) struct RequestDraft<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) object: u64,
    /// Key that it presents.
    pub(crate) key: Option<&'a str>,
}

/// A connection to an entry, which is reused until a request on it fails.
pub(crate) struct CallerConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl CallerConnection {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let sender = None;
        Self { address, sender }
    }

    /// Sends a request. Returns status and body, status 0 if no complete response arrived, and
    /// `None` if there is no connection.
    pub(crate) async fn exchange(&mut self, draft: RequestDraft<'_>) -> Option<(u16, String)> {
        if self.sender.is_none() {
            self.sender = connect(self.address).await;
        }
        let Some(sender) = self.sender.as_mut() else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            return None;
        };
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange(sender, draft)).await;
        let response = response.ok().flatten();
        if response.is_none() {
            self.sender = None;
        }
        Some(response.unwrap_or_default())
    }
}

/// The event that `request` was answered.
pub(crate) fn answered(request: String, status: u16, body: String) -> RunEvent {
    RunEvent::Answered {
        request,
        status,
        body,
    }
}

/// Whether the request with this id must be executed at most once.
pub(crate) fn is_at_most_once(request: &str) -> bool {
    request.ends_with(AT_MOST_ONCE_SUFFIX)
}

/// Returns status and body of `GET path` at `address`, or `None` without a response.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let mut sender = connect(address).await?;
    let request = Request::get(path)
        .header("host", "soak")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// A request to the service that all callers use.
pub(crate) fn board_request<'a>(path: &'a str, id: &'a str, object: u64) -> CallerRequest<'a> {
    CallerRequest {
        path,
        host: "board.example",
        id,
        object,
        deadline: DEADLINE,
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request and returns status and body, or `None` if no complete response arrived.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    draft: RequestDraft<'_>,
) -> Option<(u16, String)> {
    let mut request = Request::builder().method(draft.method).uri(draft.path);
    for (name, value) in board_request(draft.path, draft.id, draft.object).headers() {
        request = request.header(name, value);
    }
    if let Some(key) = draft.key {
        request = request.header("authorization", format!("Token {key}"));
    }
    let request = request.body(Full::new(Bytes::new())).ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

//! Callers that keep using an open connection until the process behind it is gone.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::history::{RunEvent, RunRecorder};

/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(60);
/// Pause before a new connection is tried.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// Number of objects that requests concern.
const OBJECTS: u64 = 997;
/// One request in so many must not repeat.
const ONCE_EVERY: u64 = 3;
/// End of the id of a request that must not repeat.
const ONCE_MARK: &str = "-once";

/// Sends requests to the entry with the number `entry` until it is dropped.
pub(crate) async fn call(entry: usize, caller: usize, address: SocketAddr, recorder: RunRecorder) {
    let mut sender = None;
    for number in 0_u64.. {
        tokio::time::sleep(PAUSE).await;
        if sender.is_none() {
            sender = connect(address).await;
        }
        let Some(open) = sender.as_mut() else {
            tokio::time::sleep(CONNECT_PAUSE).await;
            continue;
        };
        let mark = if number.is_multiple_of(ONCE_EVERY) {
            ONCE_MARK
        } else {
            ""
        };
        let request = format!("{entry}-{caller}-{number}{mark}");
        let object = number.wrapping_mul(31 + caller as u64) % OBJECTS;
        let answer = tokio::time::timeout(PATIENCE, exchange(open, &request, object)).await;
        let answer = answer.ok().flatten();
        if answer.is_none() {
            sender = None;
        }
        let (status, body) = answer.unwrap_or_default();
        recorder.record(RunEvent::Answered {
            request,
            status,
            body,
        });
    }
}

/// Whether the request must not repeat, by its id.
pub(crate) fn is_once(request: &str) -> bool {
    request.ends_with(ONCE_MARK)
}

/// The status of `GET path` at `address`; none where nobody answers.
pub(crate) async fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut sender = connect(address).await?;
    let request = Request::get(path)
        .header("host", "soak")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    Some(answer.status().as_u16())
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request; status and body of its answer, unless none came whole.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    id: &str,
    object: u64,
) -> Option<(u16, String)> {
    let (method, prefix) = if is_once(id) {
        (Method::POST, "desk")
    } else {
        (Method::GET, "board")
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("/{prefix}/{object}"))
        .header("host", "board.example")
        .header("request-id", id)
        .header("affinity-key", object)
        .header("deadline-ms", "3000")
        .body(Full::new(Bytes::new()))
        .ok()?;
    sender.ready().await.ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

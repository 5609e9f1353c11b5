//! Callers that keep using an open connection until the process behind it is gone.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
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
        let id = format!("{entry}-{caller}-{number}");
        let object = number.wrapping_mul(31 + caller as u64) % OBJECTS;
        let status = tokio::time::timeout(PATIENCE, exchange(open, &id, object)).await;
        let status = status.ok().flatten();
        if status.is_none() {
            sender = None;
        }
        let status = status.unwrap_or(0);
        recorder.record(RunEvent::Answered { status });
    }
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

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, id: &str, object: u64) -> Option<u16> {
    let request = Request::get(format!("/board/{object}"))
        .header("host", "board.example")
        .header("request-id", id)
        .header("affinity-key", object)
        .header("deadline-ms", "3000")
        .body(Full::new(Bytes::new()))
        .ok()?;
    sender.ready().await.ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    answer.into_body().collect().await.ok()?;
    Some(status)
}

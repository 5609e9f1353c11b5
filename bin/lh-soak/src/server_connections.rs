//! Connections of the backend servers, and their responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use platform_standin::Partition;
use tokio::net::{TcpListener, TcpStream};

use crate::fleet;
use crate::history::{RunEvent, RunRecorder, Statement};
use crate::server_run::{Admission, ServerRun};
use crate::statements::StatementBoard;

/// Path of the health check.
const HEALTH_PATH: &str = "/health";

/// A server as its connections see it.
#[derive(Debug, Clone)]
pub(crate) struct ServerIdentity {
    pub(crate) id: String,
    pub(crate) recorder: RunRecorder,
    pub(crate) statements: StatementBoard,
    pub(crate) partition: Partition,
    pub(crate) run: Arc<ServerRun>,
    pub(crate) service_time: Duration,
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
    fn record_statement(&self, request: &str, statement: Statement) {
        self.recorder.record(RunEvent::Stated {
            server: self.id.clone(),
            request: request.to_owned(),
            statement,
        });
    }
}

/// Serves connections until the server is stopped.
pub(crate) async fn accept(listener: TcpListener, server: ServerIdentity) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = server.run.wait_end() => return,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
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
    let (partition, run) = (server.partition.clone(), Arc::clone(&server.run));
    let service = service_fn(move |request| {
        let server = server.clone();
        async move {
            let response = handle_request(&server, sender, request).await;
            if server.run.has_ended() || server.statements.get(&server.id).is_stopped {
                return Err(std::io::Error::from(std::io::ErrorKind::ConnectionAborted));
            }
            Ok(response)
        }
    });
    // Connection errors are left to the entry, which reconnects.
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = partition.separated(client.ip()) => {}
        () = run.wait_end() => run.wait_closed().await,
    }
}

async fn handle_request(
    server: &ServerIdentity,
    sender: Option<usize>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let ServerIdentity { id, recorder, .. } = server;
    server.run.wait_answering().await;
    let request_id = header_text(request.headers(), "request-id").to_owned();
    let expected = header_text(request.headers(), "expect-instance");
    let mut builder = Response::builder()
        .header("request-id", &request_id)
        .header("instance-id", id.as_str())
        .header("server-load", server.run.load());
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
    match server.run.admit() {
        Admission::Accepted => {}
        Admission::Full => {
            builder = builder
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header("not-executed", "1");
            return response_with_body(builder, "");
        }
        Admission::Crashed => {
            recorder.record(RunEvent::Crashed { server: id.clone() });
            server.run.end();
        }
    }
    if let Some(entry) = sender {
        recorder.record(RunEvent::Arrived {
            server: id.clone(),
            entry,
            request: request_id.clone(),
        });
    }
    let _ = request.into_body().collect().await;
    let running = server.run.start_request().await;
    tokio::time::sleep(server.service_time * server.run.slowdown()).await;
    drop(running);
    let statement = server.statements.get(id);
    if statement.leaving {
        builder = builder.header("server-leaving", "1");
        server.record_statement(&request_id, Statement::Leaving);
    }
    if let Some(milli) = statement.limit_milli {
        let rate = f64::from(milli) / 1000.0;
        builder = builder.header("server-limit", rate.to_string());
        server.record_statement(&request_id, Statement::Limited);
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

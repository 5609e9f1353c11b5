//! Backend servers over HTTP, and the address from which they are controlled.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use base::outcome::OUTCOME_HEADER;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use poem::web::{Data, Json, Path};
use poem::{Endpoint, EndpointExt, IntoResponse, Route, get, handler, put};
use tokio::net::{TcpListener, TcpStream};

use crate::ledger::{REQUEST_ID_HEADER, checksum, payload};
use crate::server::{BackendSim, ServerMode, ServerView};

/// Time between two looks at whether the server is down.
const DOWN_CHECK: Duration = Duration::from_millis(20);

/// Serves one backend server for as long as the process runs.
pub async fn serve_backend(listener: TcpListener, backend: BackendSim) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if backend.mode() == ServerMode::Down {
            continue;
        }
        tokio::spawn(connection(stream, backend.clone()));
    }
}

async fn connection(stream: TcpStream, backend: BackendSim) {
    let _ = stream.set_nodelay(true);
    let worker = backend.clone();
    let service = service_fn(move |request| {
        let backend = worker.clone();
        async move { Ok::<_, Infallible>(answer(&backend, request).await) }
    });
    let serving = http1::Builder::new()
        .max_buf_size(64 << 10)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        () = until_down(&backend) => {}
    }
}

async fn until_down(backend: &BackendSim) {
    while backend.mode() != ServerMode::Down {
        tokio::time::sleep(DOWN_CHECK).await;
    }
}

async fn answer(backend: &BackendSim, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == "/probe" {
        let report = serde_json::to_vec(&backend.report()).unwrap_or_default();
        return Response::new(Full::new(Bytes::from(report)));
    }
    let id = request
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let Some((slot, time)) = backend.start(&id) else {
        let mut response = Response::new(Full::new(Bytes::from_static(b"no slot is free\n")));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let outcome = hyper::header::HeaderValue::from_static("not-run");
        response.headers_mut().insert(OUTCOME_HEADER, outcome);
        return response;
    };
    let mut body = request.into_body();
    let mut sum = 0;
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        if let Some(data) = frame.data_ref() {
            sum = checksum(sum, data);
            length += data.len();
        }
    }
    tokio::time::sleep(time).await;
    drop(slot);
    let text = payload(&id, length as u64, sum);
    Response::new(Full::new(Bytes::from(text)))
}

/// Builds the routes that control and show a set of servers.
pub fn control_routes(backends: &[BackendSim]) -> impl Endpoint<Output = poem::Response> + use<> {
    let backends: Arc<Vec<BackendSim>> = Arc::new(backends.to_vec());
    Route::new()
        .at("/servers", get(servers))
        .at("/servers/:address/mode", put(set_mode))
        .at("/runs", get(runs))
        .at("/healthz", get(health))
        .data(backends)
        .map_to_response()
}

#[handler]
fn servers(Data(backends): Data<&Arc<Vec<BackendSim>>>) -> Json<Vec<ServerView>> {
    Json(backends.iter().map(BackendSim::view).collect())
}

/// Changes the mode of one server, or of all whose addresses start with the given text.
#[handler]
fn set_mode(
    Path(address): Path<String>,
    Json(mode): Json<ServerMode>,
    Data(backends): Data<&Arc<Vec<BackendSim>>>,
) -> poem::Response {
    let mut count = 0;
    for backend in backends.iter() {
        if !backend.spec().address.starts_with(&address) {
            continue;
        }
        backend.set_mode(mode);
        count += 1;
    }
    format!("{count}\n").into_response()
}

#[handler]
fn runs(Data(backends): Data<&Arc<Vec<BackendSim>>>) -> Json<HashMap<String, u32>> {
    let mut all = HashMap::new();
    for backend in backends.iter() {
        for (id, count) in backend.runs() {
            *all.entry(id).or_default() += count;
        }
    }
    Json(all)
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}

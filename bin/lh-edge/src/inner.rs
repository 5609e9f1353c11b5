//! Small answers: readiness, look-ups, metrics, and what other entries follow.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use platform::lookup::{self, CallerPlace};
use tokio::net::TcpListener;

use crate::state::EdgeState;
use crate::view;

/// How long callers keep an answer: some keep it three times as long, and all
/// must have left a stopping entry before it refuses requests.
const LOOKUP_TTL: Duration = Duration::from_millis(1000);
/// Entries named in an answer; callers read no more.
const ENTRIES_MOST: usize = 64;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers on `listener` until the process ends.
pub(crate) async fn run(state: Rc<EdgeState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let answer = answer(&state, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = Builder::new()
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(error:%; "inner connection ended");
            }
        });
    }
}

fn answer(state: &EdgeState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    match path {
        lookup::READY_PATH => {
            let ready = state.is_ready();
            text(
                if ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                },
                String::new(),
            )
        }
        lookup::LOOKUP_PATH => {
            let place = lookup::read_place(request.uri().query().unwrap_or(""));
            look_up(state, &place)
        }
        view::VIEW_PATH => {
            let query = request.uri().query().unwrap_or("");
            bytes(view::answer_view(state, query))
        }
        view::DESIRED_PATH => bytes(view::answer_desired(state)),
        METRICS_PATH => {
            let placer = state.placer.borrow();
            let heard = state.operator_at.get().map(|at| at.elapsed());
            state.metrics.show_operator(heard);
            state.metrics.show_servers(Instant::now(), &placer.catalog);
            text(StatusCode::OK, state.metrics.text())
        }
        _ => text(StatusCode::NOT_FOUND, String::new()),
    }
}

fn look_up(state: &EdgeState, place: &CallerPlace) -> Response<Full<Bytes>> {
    let entries = entries_for(state, place);
    if entries.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    let ttl = LOOKUP_TTL.min(state.config.lookup_ttl_most);
    let mut response = text(StatusCode::OK, lookup::write_answer(&entries, ttl));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// The ready entries of the caller's region, or all if it has none.
fn entries_for(state: &EdgeState, place: &CallerPlace) -> Vec<SocketAddr> {
    let now = Instant::now();
    let peers = state.peers.borrow();
    let mut all = Vec::new();
    let mut near = Vec::new();
    let config = &state.config;
    if state.is_ready() {
        all.push(config.caller_address);
        if config.region == place.region {
            near.push(config.caller_address);
        }
    }
    for beat in peers.live(now) {
        if !beat.ready {
            continue;
        }
        all.push(beat.front);
        if beat.region == place.region {
            near.push(beat.front);
        }
    }
    let mut chosen = if near.is_empty() { all } else { near };
    chosen.truncate(ENTRIES_MOST);
    chosen
}

fn bytes(body: Vec<u8>) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(body)))
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

//! HTTP server for everything but callers' requests: readiness, look-ups, status, metrics, and
//! views for other entries.

use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::body::ResponseBody;
use crate::lookup::{self, OwnLookup};
use crate::state::InstanceState;
use crate::{relay, status, view};

const METRICS_PATH: &str = "/metrics";

/// Serves requests on `listener` until the process ends. With `relays`, other entries may relay
/// callers' requests through it.
pub(crate) async fn run(state: Rc<InstanceState>, listener: Rc<TcpListener>, relays: bool) {
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let state = Rc::clone(&state);
                async move {
                    if relays && relay::is_relayed(&request) {
                        return Ok::<_, Infallible>(relay::serve(state, request).await);
                    }
                    Ok(respond(&state, &request, caller.ip()))
                }
            });
            let served = Builder::new()
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(error:%; "internal connection failed");
            }
        });
    }
}

fn respond(
    state: &InstanceState,
    request: &Request<Incoming>,
    from: IpAddr,
) -> Response<ResponseBody> {
    let query = request.uri().query().unwrap_or("");
    match request.uri().path() {
        platform::lookup::READY_PATH => {
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
        platform::lookup::LOOKUP_PATH => {
            let location = platform::lookup::parse_location(query);
            match lookup::answer_platform(state, &location) {
                Some(answer) => json(StatusCode::OK, answer),
                None => text(StatusCode::SERVICE_UNAVAILABLE, String::new()),
            }
        }
        lookup::ENTRIES_PATH => match lookup::answer_own(state, query, from) {
            OwnLookup::Found(answer) => json(StatusCode::OK, answer),
            OwnLookup::UnknownService => text(StatusCode::NOT_FOUND, String::new()),
            OwnLookup::NoEntry => text(StatusCode::SERVICE_UNAVAILABLE, String::new()),
        },
        status::STATUS_PATH => {
            let service = query.strip_prefix("service=");
            json(StatusCode::OK, status::answer_status(state, service))
        }
        view::VIEW_PATH => match view::answer_view(state, query) {
            Some(answer) => bytes(answer),
            None => text(StatusCode::BAD_REQUEST, String::new()),
        },
        METRICS_PATH => {
            let operator_at = state.fleet.known().operator_at;
            let content = state.servers.borrow().content();
            state.metrics.registry_content.set(content.short());
            let proof = state.proof_age();
            state
                .metrics
                .set_operator_ages(operator_at.map(|at| at.elapsed()), proof);
            state.metrics.leads.set(i64::from(state.fleet.leads()));
            let placer = state.placer.borrow();
            let region = &state.config.region;
            state
                .metrics
                .update_servers(Instant::now(), region, &placer);
            text(StatusCode::OK, state.metrics.text())
        }
        _ => text(StatusCode::NOT_FOUND, String::new()),
    }
}

fn json(status: StatusCode, body: String) -> Response<ResponseBody> {
    let mut response = text(status, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn bytes(body: Vec<u8>) -> Response<ResponseBody> {
    Response::new(ResponseBody::buffered(Bytes::from(body)))
}

fn text(status: StatusCode, body: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

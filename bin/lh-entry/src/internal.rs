//! HTTP server for everything but callers' requests: readiness, look-ups, status, metrics, and
//! views for other entries.

use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use crate::accept::progress::{ConnectionProgress, ConnectionTimeout};
use crate::accept::table::{ConnectionPlace, ConnectionTable};
use crate::accept::tracked_io::TrackedIo;
use crate::accept::{ACCEPT_RETRY_DELAY, TIMEOUT_CHECK_INTERVAL};
use crate::body::ResponseBody;
use crate::lookup::{self, OwnLookup};
use crate::state::InstanceState;
use crate::{relay, status, view};

const METRICS_PATH: &str = "/metrics";
/// Maximum size of what an entry adds to the head of a request that it relays, in bytes.
const ADDED_HEAD_BYTES: usize = 8 << 10;

/// Serves requests on `listener` until the process ends, over at most `most` connections. With
/// `relays`, other entries may relay callers' requests through it.
pub(crate) async fn run(
    state: Rc<InstanceState>,
    listener: Rc<TcpListener>,
    (purpose, most): (&'static str, usize),
    relays: bool,
) {
    let table = ConnectionTable::new(purpose, most);
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let progress = Rc::new(ConnectionProgress::new());
        let Some(place) = table.admit(&progress, || false) else {
            continue;
        };
        let peer = InternalPeer {
            address: caller.ip(),
            relays,
        };
        let state = Rc::clone(&state);
        tokio::task::spawn_local(serve_connection(state, stream, progress, (place, peer)));
    }
}

/// Who is at the other end of a connection.
#[derive(Debug, Clone, Copy)]
struct InternalPeer {
    address: IpAddr,
    /// Whether it may relay requests.
    relays: bool,
}

async fn serve_connection(
    state: Rc<InstanceState>,
    stream: TcpStream,
    progress: Rc<ConnectionProgress>,
    (place, peer): (ConnectionPlace, InternalPeer),
) {
    let _ = stream.set_nodelay(true);
    let io = TrackedIo::new(stream, &progress);
    let (served, served_progress) = (Rc::clone(&state), Rc::clone(&progress));
    let service = service_fn(move |request: Request<Incoming>| {
        served_progress.on_request(request.version());
        let state = Rc::clone(&served);
        let progress = Rc::clone(&served_progress);
        async move {
            let response = if peer.relays && relay::is_relayed(&request) {
                relay::serve(state, request).await
            } else {
                respond(&state, &request, peer.address)
            };
            progress.on_response();
            Ok::<_, Infallible>(response.map(|body| body.with_guard(progress.body_guard())))
        }
    });
    // Heads of relayed requests hold what the caller sent and what its entry added.
    let head_bytes = state.limits.get().header_bytes + ADDED_HEAD_BYTES;
    let connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(head_bytes)
        .serve_connection(io, service);
    tokio::pin!(connection);
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:%; "internal connection failed");
                }
                return;
            }
            () = place.evicted() => return,
            () = tokio::time::sleep(TIMEOUT_CHECK_INTERVAL) => {
                let limits = state.limits.get();
                match progress.expired(limits.header_timeout, limits.idle_timeout) {
                    Some(ConnectionTimeout::Head | ConnectionTimeout::Unread) => return,
                    // Other entries keep theirs open for their next question.
                    Some(ConnectionTimeout::Idle) if peer.relays && progress.has_requested() => {}
                    Some(ConnectionTimeout::Idle) => connection.as_mut().graceful_shutdown(),
                    None => {}
                }
            }
        }
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

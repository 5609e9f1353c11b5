//! Serves pipelined requests at the same time. Their responses keep the order of the requests.
//!
//! A caller that doesn't wait for a response before it sends the next request would otherwise
//! wait for the sum of all responses.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use base::prelude::Outcome;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use platform::headers::{parse_caller, write_request_id};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::accept::head_scanner::FoundRequest;
use crate::body::{CountGuard, ResponseBody};
use crate::handler;
use crate::problem::set_outcome;
use crate::response_stream::StreamError;
use crate::state::InstanceState;
use crate::stop::StopPhase;

/// Maximum size of a response that is read completely because requests behind it were started, in
/// bytes. If it is broken off, these still get their responses.
const MAX_HELD_BYTES: usize = 1 << 20;

/// A request that was started before its turn. It is cancelled when dropped.
struct StartedRequest {
    index: u64,
    uri: hyper::Uri,
    task: JoinHandle<Response<ResponseBody>>,
    turn: Option<oneshot::Sender<()>>,
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The requests of a connection that have arrived, but whose turn has not come.
pub(super) struct RequestPipeline {
    state: Rc<InstanceState>,
    /// Number of requests that were found on the connection.
    found: u64,
    /// Number of requests whose turn has come.
    taken: u64,
    /// Requests that may be started, oldest first.
    waiting: VecDeque<(u64, Parts)>,
    started: VecDeque<StartedRequest>,
    /// Number of responses that are being forwarded as they arrive. If one is broken off, the
    /// connection ends, and with it all requests behind it.
    streaming: Rc<Cell<usize>>,
}

impl RequestPipeline {
    /// Creates the pipeline of a new connection.
    pub(super) fn new(state: &Rc<InstanceState>) -> Self {
        Self {
            state: Rc::clone(state),
            found: 0,
            taken: 0,
            waiting: VecDeque::new(),
            started: VecDeque::new(),
            streaming: Rc::default(),
        }
    }

    /// Whether any request was started before its turn.
    pub(super) fn has_started(&self) -> bool {
        !self.started.is_empty()
    }

    /// Handles that the next request on the connection has arrived. `is_next` tells that its turn
    /// comes at once.
    pub(super) fn on_found(&mut self, found: FoundRequest, is_next: bool) {
        let index = self.found;
        self.found += 1;
        let has_body = found.body_bytes > 0;
        if is_next || has_body || !handler::may_start_early(&self.state, &found.parts) {
            return;
        }
        self.waiting.push_back((index, found.parts));
        self.start_waiting();
    }

    /// Handles that the turn of `request` has come. Returns the request if it was started.
    fn take(&mut self, request: &Request<Incoming>) -> Option<StartedRequest> {
        let index = self.taken;
        self.taken += 1;
        self.waiting.retain(|(waiting, _)| *waiting > index);
        let is_started = self
            .started
            .front()
            .is_some_and(|started| started.index <= index);
        let started = if is_started {
            self.started.pop_front()
        } else {
            None
        };
        self.start_waiting();
        started.filter(|started| started.index == index && started.uri == *request.uri())
    }

    fn start_waiting(&mut self) {
        // The request whose turn it is counts as well.
        while self.started.len() + 1 < self.state.config.pipelined_requests
            && self.state.stop.get() == StopPhase::Serving
            && self.streaming.get() == 0
        {
            let Some((index, parts)) = self.waiting.pop_front() else {
                return;
            };
            self.state.metrics.pipelined.inc();
            let uri = parts.uri.clone();
            let state = Rc::clone(&self.state);
            let (turn, coming_turn) = oneshot::channel();
            let serving = handler::serve(state, parts, None, Some(coming_turn));
            self.started.push_back(StartedRequest {
                index,
                uri,
                task: tokio::task::spawn_local(serving),
                turn: Some(turn),
            });
        }
    }
}

/// Serves a request whose turn has come.
pub(super) async fn serve(
    pipeline: &RefCell<RequestPipeline>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let response = respond(pipeline, request).await;
    if response.body().is_streamed() {
        return secure_behind(pipeline, response).await;
    }
    response
}

/// Keeps the end of a response that is forwarded as it arrives from ending requests behind it that
/// were started: it is read completely first, unless it is too large. Without such requests none
/// is started until it has been forwarded.
async fn secure_behind(
    pipeline: &RefCell<RequestPipeline>,
    response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let (parts, mut body) = response.into_parts();
    let state = Rc::clone(&pipeline.borrow().state);
    let lease = state.memory.lease();
    if pipeline.borrow().has_started() && lease.claim(MAX_HELD_BYTES).is_ok() {
        if let Err(error) = body.hold(MAX_HELD_BYTES).await {
            return respond_broken_off(&parts.headers, &error);
        }
        body = body.with_lease(lease);
    }
    if body.is_streamed() {
        let guard = CountGuard::new(&pipeline.borrow().streaming, 1);
        body = body.with_guard(guard);
    }
    Response::from_parts(parts, body)
}

/// The response in place of one with `headers` that its server didn't complete.
fn respond_broken_off(headers: &HeaderMap, error: &StreamError) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = match error {
        StreamError::Server(_) => StatusCode::BAD_GATEWAY,
        StreamError::Timeout => StatusCode::GATEWAY_TIMEOUT,
    };
    if let Some(id) = parse_caller(headers).request_id {
        write_request_id(response.headers_mut(), &id);
    }
    set_outcome(&mut response, Outcome::Unknown);
    response
}

async fn respond(
    pipeline: &RefCell<RequestPipeline>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started = pipeline.borrow_mut().take(&request);
    if let Some(mut started) = started {
        if let Some(turn) = started.turn.take() {
            // Only a request that waits for its turn receives this.
            let _ = turn.send(());
        }
        match (&mut started.task).await {
            Ok(response) => return response,
            Err(error) => log::error!(error:%; "pipelined request failed; serving it again"),
        }
    }
    let state = Rc::clone(&pipeline.borrow().state);
    let (parts, body) = request.into_parts();
    handler::serve(state, parts, Some(body), None).await
}

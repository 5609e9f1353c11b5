//! Serves requests that another entry relays through this one.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use place::rank::stable_hash;

use crate::admission::RequestPolicy;
use crate::body::{CountGuard, ResponseBody};
use crate::body_reader::read_body;
use crate::caller::Caller;
use crate::handler::find_route;
use crate::job::{JobProgress, RequestJob};
use crate::record::RequestRecord;
use crate::relay::head::{BEHIND, DECLINED_HEADER, NO_PATH, RELAY_HEADER, RelayHead, STOPPING};
use crate::reply::{respond_rejected, respond_unavailable, respond_unread};
use crate::state::InstanceState;
use crate::stop::{self, StopPhase};

/// Retry time, at another peer, for requests that this entry can't serve for now.
const OTHER_PEER_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Returns whether another entry relays `request`.
pub(crate) fn is_relayed(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(RELAY_HEADER)
}

/// Handles a request that another entry has admitted.
pub(crate) async fn serve(
    state: Rc<InstanceState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let guard = CountGuard::new(&state.in_flight, 1);
    let response = handle(state, request).await;
    response.map(|body| body.with_guard(guard))
}

async fn handle(state: Rc<InstanceState>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (mut parts, body) = request.into_parts();
    let caller = Caller::from_platform_headers(&parts.headers);
    let mut record = RequestRecord::new(&state, caller.request_id_text());
    let Some(head) = RelayHead::take(&mut parts.headers) else {
        return respond_rejected(&mut record, &caller, StatusCode::BAD_REQUEST);
    };
    if let Some(reason) = declined_reason(&state, &head) {
        return decline(&mut record, &caller, reason);
    }
    let routes = Rc::clone(&state.routes.borrow());
    let found = find_route(&routes, &parts).ok().and_then(|route| {
        let mut services = route.parts.iter().map(|part| part.service.as_str());
        let part = services.position(|service| service == head.service)?;
        Some((route, part))
    });
    // A newer desired state may have no such route, which the caller's entry will know soon.
    let Some((route, part)) = found else {
        return decline(&mut record, &caller, BEHIND);
    };
    record.route = Some(Rc::clone(&route));
    if !stop::may_take(&state, &route, head.time_left) {
        return decline(&mut record, &caller, STOPPING);
    }
    record.returning = head.returning;
    let mut job = create_job(&state, record, caller, parts, (part, &head));
    let limit = state.limits.get().body_bytes;
    let body = match read_body(&state, job.deadline_at, Some(body), limit).await {
        Ok(body) => body,
        Err(error) => return respond_unread(&mut job.record, &job.caller, &error),
    };
    let response = job.run(&route, body).await;
    if state.placer.borrow().has_lost_path(&head.service) {
        mark_declined(response, NO_PATH)
    } else {
        response
    }
}

/// Returns why the caller's entry, which sent `head`, should ask another peer.
fn declined_reason(state: &InstanceState, head: &RelayHead) -> Option<&'static str> {
    if state.stop.get() >= StopPhase::Refusing {
        return Some(STOPPING);
    }
    // By an older desired state the request could run where it no longer may.
    if state.version() < head.version {
        return Some(BEHIND);
    }
    let is_lost = state.placer.borrow().has_lost_path(&head.service);
    is_lost.then_some(NO_PATH)
}

fn create_job(
    state: &Rc<InstanceState>,
    record: RequestRecord,
    caller: Caller,
    parts: Parts,
    (part, head): (usize, &RelayHead),
) -> RequestJob {
    let object = caller.object.as_ref();
    let object = object.map(|key| stable_hash(key.as_bytes()));
    let index = Rc::clone(&state.teams.borrow());
    let deadline_at = record.started_at + head.time_left;
    let mut teams = index.teams().iter();
    let team = teams.find(|team| Some(team.name.as_str()) == head.team.as_deref());
    RequestJob {
        object,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        policy: RequestPolicy {
            team: team.cloned(),
            priority: head.priority,
            home_regions: head.home_regions.clone(),
        },
        deadline_at: stop::limit_deadline(state, deadline_at),
        part,
        progress: JobProgress::relayed(head.attempts_left),
        turn: None,
        record,
        caller,
        state: Rc::clone(state),
    }
}

fn decline(
    record: &mut RequestRecord,
    caller: &Caller,
    reason: &'static str,
) -> Response<ResponseBody> {
    let response = respond_unavailable(record, caller, reason, OTHER_PEER_RETRY_AFTER);
    mark_declined(response, reason)
}

/// Marks a response so that the caller's entry tries another peer if the request didn't run.
fn mark_declined(
    mut response: Response<ResponseBody>,
    reason: &'static str,
) -> Response<ResponseBody> {
    let value = HeaderValue::from_static(reason);
    response.headers_mut().insert(DECLINED_HEADER, value);
    response
}

//! Handles a request from a caller: finds its route, admits it, reads its body, and runs the job
//! that forwards it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::outcome::OUTCOME_HEADER;
use base::prelude::Outcome;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use place::desired::RouteSpec;
use place::rank::stable_hash;
use place::routes::RouteTable;
use platform::headers;

use crate::admission::{self, RequestPolicy};
use crate::body::{CountGuard, ResponseBody};
use crate::body_reader::{JobBody, read_body};
use crate::caller::{Caller, Interface, TicketHeaders};
use crate::job::{JobProgress, RequestJob, RequestTurn};
use crate::problem::Problem;
use crate::record::RequestRecord;
use crate::reply::{respond_rejected, respond_unavailable, respond_unread};
use crate::state::InstanceState;
use crate::stop::{self, StopPhase};
use crate::ticket::{ticket_fingerprint, ticket_required, unknown};
use crate::ticket_forward;

/// Time limit of a request without a deadline on a route without a timeout.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);
/// Retry time for callers of an entry that has not read the desired state yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Retry time, at another entry, for a caller that a stopping entry refuses.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Handles the request of `parts` and returns the response. `body` is `None` if the request has
/// none, and `turn` if all requests ahead of it on its connection have responses.
pub(crate) async fn serve(
    state: Rc<InstanceState>,
    parts: Parts,
    body: Option<Incoming>,
    turn: Option<RequestTurn>,
) -> Response<ResponseBody> {
    let guard = CountGuard::new(&state.in_flight, 1);
    let response = handle(state, parts, body, turn).await;
    response.map(|body| body.with_guard(guard))
}

/// Whether the request of `parts` may be started before the requests ahead of it on its
/// connection have been answered. If one of those responses closes the connection, the caller
/// sends it again.
pub(crate) fn may_start_early(state: &InstanceState, parts: &Parts) -> bool {
    let routes = state.routes.borrow();
    find_route(&routes, parts).is_ok_and(|route| {
        route.kind.may_repeat() && Interface::of(&route, &parts.headers) != Interface::Own
    })
}

async fn handle(
    state: Rc<InstanceState>,
    parts: Parts,
    body: Option<Incoming>,
    turn: Option<RequestTurn>,
) -> Response<ResponseBody> {
    let mut caller = Caller::from_platform_headers(&parts.headers);
    let mut record = RequestRecord::new(&state, caller.request_id_text());
    state.request_meter.borrow_mut().on_request();
    if state.stop.get() >= StopPhase::Refusing {
        return respond_unavailable(&mut record, &caller, "stopping", STOPPING_RETRY_AFTER);
    }
    let routes = Rc::clone(&state.routes.borrow());
    if routes.version() == 0 {
        return respond_unavailable(&mut record, &caller, "starting", STARTING_RETRY_AFTER);
    }
    let route = match find_route(&routes, &parts) {
        Ok(route) => route,
        Err(status) => return respond_rejected(&mut record, &caller, status),
    };
    let mut ticket = None;
    if Interface::of(&route, &parts.headers) == Interface::Own {
        match parse_own(&route, &parts) {
            Ok((own, ticket_headers)) => (caller, ticket) = (own, ticket_headers),
            Err(problem) => {
                caller.interface = Interface::Own;
                record.finish_with_problem(&problem);
                return problem.into_response(&caller);
            }
        }
        caller.request_id_text().clone_into(&mut record.id);
    }
    let policy = match admission::admit(&state, &route, headers::parse_key(&parts.headers)) {
        Ok(policy) => policy,
        Err(problem) => {
            record.finish_with_problem(&problem);
            return problem.into_response(&caller);
        }
    };
    record.team.clone_from(&policy.team);
    let limit = state.limits.get().body_bytes;
    let least_size = body.as_ref().map_or(0, |body| body.size_hint().lower());
    if least_size > limit as u64 {
        return respond_rejected(&mut record, &caller, StatusCode::PAYLOAD_TOO_LARGE);
    }
    let time_limits = [caller.deadline, route.timeout].into_iter().flatten();
    let time_limit = time_limits.min().unwrap_or(DEFAULT_TIME_LIMIT);
    record.route = Some(Rc::clone(&route));
    if !stop::may_take(&state, &route, time_limit) {
        return respond_unavailable(&mut record, &caller, "stopping", STOPPING_RETRY_AFTER);
    }
    let deadline_at = stop::limit_deadline(&state, record.started_at + time_limit);
    let other_holder = ticket
        .as_ref()
        .filter(|ticket_headers| ticket_headers.ticket.node != state.node);
    if let Some(ticket_headers) = other_holder {
        return ticket_forward::forward(
            &state,
            record,
            (&caller, &policy),
            ticket_headers,
            (parts, body),
            deadline_at,
        )
        .await;
    }
    let mut job = create_job(state, record, caller, (parts, policy), &route, deadline_at);
    job.turn = turn;
    let body = match read_body(&job.state, deadline_at, body, limit).await {
        Ok(body) => body,
        Err(error) => return respond_unread(&mut job.record, &job.caller, &error),
    };
    match ticket {
        None => job.run(&route, body).await,
        Some(ticket_headers) => run_once(job, route, body, &ticket_headers).await,
    }
}

/// Finds the route of a request.
///
/// # Errors
/// Returns the status of the response if there is no route.
pub(crate) fn find_route(routes: &RouteTable, parts: &Parts) -> Result<Rc<RouteSpec>, StatusCode> {
    let host = parts.headers.get(header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .or(parts.uri.host())
        .ok_or(StatusCode::BAD_REQUEST)?;
    let route = routes.find(host, parts.uri.path());
    route.cloned().ok_or(StatusCode::NOT_FOUND)
}

/// Parses the caller of a request on the product's own interface, and its ticket if the route
/// requires one.
fn parse_own(route: &RouteSpec, parts: &Parts) -> Result<(Caller, Option<TicketHeaders>), Problem> {
    let caller = Caller::from_own_headers(&parts.headers)?;
    if route.kind.may_repeat() {
        return Ok((caller, None));
    }
    let ticket_headers = TicketHeaders::parse(&parts.headers)?.ok_or_else(ticket_required)?;
    Ok((caller, Some(ticket_headers)))
}

fn create_job(
    state: Rc<InstanceState>,
    mut record: RequestRecord,
    caller: Caller,
    (mut parts, policy): (Parts, RequestPolicy),
    route: &RouteSpec,
    deadline_at: Instant,
) -> RequestJob {
    if !state.teams.borrow().is_empty() {
        // The headers are forwarded to servers, which must not see the caller's key.
        headers::remove_credentials(&mut parts.headers);
    }
    let object = caller.object.as_ref();
    let object = object.map(|key| stable_hash(key.as_bytes()));
    let (part, returning) =
        state
            .placer
            .borrow_mut()
            .on_request(record.started_at, route, object, caller.deadline);
    record.returning = returning;
    RequestJob {
        record,
        object,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        policy,
        deadline_at,
        part,
        progress: JobProgress::default(),
        turn: None,
        caller,
        state,
    }
}

/// Runs a request under a ticket of this entry, unless it has run before.
async fn run_once(
    job: RequestJob,
    route: Rc<RouteSpec>,
    body: JobBody,
    ticket_headers: &TicketHeaders,
) -> Response<ResponseBody> {
    let state = Rc::clone(&job.state);
    let caller = job.caller.clone();
    let now = Instant::now();
    let fingerprint = ticket_fingerprint(&job.method, &job.target, &job.headers, body.buffered());
    let owner = job
        .policy
        .team_name()
        .map_or(0, |team| stable_hash(team.as_bytes()));
    let record_key = state
        .tickets
        .check(now, ticket_headers, owner)
        .and_then(|(key, end)| {
            state.tickets.begin(now, &key, fingerprint, end)?;
            Ok(key)
        });
    let key = match record_key {
        Ok(key) => key,
        Err(problem) => return job.respond_with_problem(problem),
    };
    // The run continues if the caller disconnects, so that a repeat finds the response.
    let run = tokio::task::spawn_local(async move {
        let response = job.run(&route, body).await;
        state.tickets.finish(&key, outcome_of(&response), &response);
        response
    });
    run.await.unwrap_or_else(|error| {
        log::error!(error:%; "task of an at-most-once request failed");
        unknown("the run was cut short").into_response(&caller)
    })
}

/// Returns the outcome that a response states. If it states none, the request may have run.
pub(crate) fn outcome_of<T>(response: &Response<T>) -> Outcome {
    let stated = response.headers().get(OUTCOME_HEADER);
    let stated = stated.and_then(|value| value.to_str().ok());
    stated.and_then(Outcome::parse).unwrap_or(Outcome::Unknown)
}

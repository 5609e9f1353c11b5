//! The path of a request up to its job: its route, its caller, its body.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::outcome::OUTCOME_HEADER;
use base::prelude::Outcome;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use place::desired::RouteSpec;
use place::rank::stable_hash;
use place::routes::RouteTable;
use platform::headers;

use crate::body::{AnswerBody, CountGuard};
use crate::caller::{Caller, Interface, TicketHead};
use crate::door::{self, RequestTerms};
use crate::handover;
use crate::intake::{JobBody, read_body};
use crate::job::{JobProgress, RequestJob};
use crate::problem::Problem;
use crate::record::RequestRecord;
use crate::reply::{refuse, reject};
use crate::state::InstanceState;
use crate::stop::StopPhase;
use crate::ticket::{fingerprint, ticket_needed, unknown};

/// How long a request without a deadline or a bound of its route may take.
const DEFAULT_TIME: Duration = Duration::from_secs(30);
/// When a caller comes back to an entry that knows no desired state yet.
const UNKNOWN_RETURN: Duration = Duration::from_millis(400);
/// When a caller that is refused by a stopping entry comes back, to another.
const STOPPING_RETURN: Duration = Duration::from_millis(50);

/// Answers `request`.
pub(crate) async fn serve(
    state: Rc<InstanceState>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let guard = CountGuard::new(&state.in_flight, 1);
    let stop = Rc::clone(&state);
    let mut answer = answer(state, request).await;
    if stop.stop.get() != StopPhase::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(answer.map(|body| body.with_guard(guard)))
}

async fn answer(state: Rc<InstanceState>, request: Request<Incoming>) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let mut caller = Caller::on_platform(&parts.headers);
    let mut record = RequestRecord::new(&state, caller.name());
    state.request_meter.borrow_mut().on_request();
    if state.stop.get() == StopPhase::Refusing {
        return refuse(&mut record, &caller, "stopping", STOPPING_RETURN);
    }
    let routes = Rc::clone(&state.routes.borrow());
    if routes.version() == 0 {
        return refuse(&mut record, &caller, "starting", UNKNOWN_RETURN);
    }
    let route = match find_route(&routes, &parts) {
        Ok(route) => route,
        Err(status) => return reject(&mut record, &caller, status),
    };
    let mut ticket = None;
    if Interface::of(&route, &parts.headers) == Interface::Own {
        match read_own(&route, &parts) {
            Ok((own, head)) => (caller, ticket) = (own, head),
            Err(problem) => {
                caller.interface = Interface::Own;
                record.finish_with(&problem);
                return problem.into_response(&caller);
            }
        }
        caller.name().clone_into(&mut record.id);
    }
    let terms = match door::admit(&state, &route, headers::parse_key(&parts.headers)) {
        Ok(terms) => terms,
        Err(problem) => {
            record.finish_with(&problem);
            return problem.into_response(&caller);
        }
    };
    record.team.clone_from(&terms.team);
    let limit = state.limits.get().body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return reject(&mut record, &caller, StatusCode::PAYLOAD_TOO_LARGE);
    }
    let bound = [caller.deadline, route.timeout].into_iter().flatten().min();
    let ends = record.begun + bound.unwrap_or(DEFAULT_TIME);
    record.route = Some(Rc::clone(&route));
    let elsewhere = ticket
        .as_ref()
        .filter(|head| head.ticket.node != state.node);
    if let Some(head) = elsewhere {
        return handover::pass_on(&state, record, (&caller, &terms), head, (parts, body), ends)
            .await;
    }
    let mut job = new_job(state, record, caller, (parts, terms), &route, ends);
    let body = match read_body(&job.state, ends, body, limit).await {
        Ok(body) => body,
        Err(status) => return reject(&mut job.record, &job.caller, status),
    };
    match ticket {
        None => job.run(&route, body).await,
        Some(head) => run_once(job, route, body, &head).await,
    }
}

/// The route of a request.
///
/// # Errors
/// The status to answer with, where there is none.
fn find_route(routes: &RouteTable, parts: &Parts) -> Result<Rc<RouteSpec>, StatusCode> {
    let host = parts.headers.get(header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .or(parts.uri.host())
        .ok_or(StatusCode::BAD_REQUEST)?;
    let route = routes.find(host, parts.uri.path());
    route.cloned().ok_or(StatusCode::NOT_FOUND)
}

/// The caller of a request on the own interface, and its ticket where the route asks
/// for one.
fn read_own(route: &RouteSpec, parts: &Parts) -> Result<(Caller, Option<TicketHead>), Problem> {
    let caller = Caller::on_own(&parts.headers)?;
    if route.kind.may_repeat() {
        return Ok((caller, None));
    }
    let head = TicketHead::read(&parts.headers)?.ok_or_else(ticket_needed)?;
    Ok((caller, Some(head)))
}

fn new_job(
    state: Rc<InstanceState>,
    mut record: RequestRecord,
    caller: Caller,
    (mut parts, terms): (Parts, RequestTerms),
    route: &RouteSpec,
    ends: Instant,
) -> RequestJob {
    if !state.teams.borrow().is_empty() {
        // From here on it would be shown to servers.
        headers::remove_credentials(&mut parts.headers);
    }
    let object = caller.object.as_ref();
    let object = object.map(|key| stable_hash(key.as_bytes()));
    let (part, returning) =
        state
            .placer
            .borrow_mut()
            .on_request(record.begun, route, object, caller.deadline);
    record.returning = returning;
    RequestJob {
        record,
        object,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        terms,
        ends,
        part,
        progress: JobProgress::default(),
        caller,
        state,
    }
}

/// Runs a request under a ticket of this entry, if it has not been run before.
async fn run_once(
    job: RequestJob,
    route: Rc<RouteSpec>,
    body: JobBody,
    head: &TicketHead,
) -> Response<AnswerBody> {
    let state = Rc::clone(&job.state);
    let caller = job.caller.clone();
    let now = Instant::now();
    let print = fingerprint(&job.method, &job.target, &job.headers, body.whole());
    let owner = job
        .terms
        .team_name()
        .map_or(0, |team| stable_hash(team.as_bytes()));
    let begun = state
        .tickets
        .check(now, head, owner)
        .and_then(|(key, end)| {
            state.tickets.begin(now, &key, print, end)?;
            Ok(key)
        });
    let key = match begun {
        Ok(key) => key,
        Err(problem) => return job.end_with(problem),
    };
    // The run goes on when the caller goes away, so that a repeat finds its answer.
    let run = tokio::task::spawn_local(async move {
        let response = job.run(&route, body).await;
        state.tickets.finish(&key, outcome_of(&response), &response);
        response
    });
    run.await.unwrap_or_else(|error| {
        log::error!(error:%; "a run was cut short");
        unknown("the run was cut short").into_response(&caller)
    })
}

/// The outcome that an answer states; one that states none may have run.
pub(crate) fn outcome_of<T>(response: &Response<T>) -> Outcome {
    let stated = response.headers().get(OUTCOME_HEADER);
    let stated = stated.and_then(|value| value.to_str().ok());
    stated.and_then(Outcome::parse).unwrap_or(Outcome::Unknown)
}

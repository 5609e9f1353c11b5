//! Forwards a request to the entry whose run issued its ticket.
//!
//! The caller's key is forwarded too, because that entry must authenticate the caller itself:
//! entries share no secret by which one could vouch for a caller to another.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};

use crate::admission::RequestPolicy;
use crate::body::{BodyError, RequestBody, ResponseBody, UnsentBody};
use crate::caller::{Caller, TicketHeaders};
use crate::handler::outcome_of;
use crate::pieces::PieceReader;
use crate::problem::Problem;
use crate::record::RequestRecord;
use crate::reply::{describe_error, incomplete, strip_hop_by_hop_headers};
use crate::response_stream::{ResponseStream, StreamLimit};
use crate::state::InstanceState;
use crate::stop;
use crate::ticket::{stale_ticket, unknown};

/// Forwards the request, and returns the response for the caller by `deadline_at`.
pub(crate) async fn forward(
    state: &Rc<InstanceState>,
    mut record: RequestRecord,
    (caller, policy): (&Caller, &RequestPolicy),
    ticket_headers: &TicketHeaders,
    request: (Parts, Option<Incoming>),
    deadline_at: Instant,
) -> Response<ResponseBody> {
    let timeout = record.route.as_ref().and_then(|route| route.timeout);
    match exchange(
        state,
        &mut record,
        (ticket_headers, policy),
        request,
        deadline_at,
        StreamLimit::new(caller.deadline.or(timeout), deadline_at),
    )
    .await
    {
        Ok(response) => {
            record.finish_forwarded(outcome_of(&response), response.status().as_u16());
            response
        }
        Err(problem) => {
            record.finish_with_problem(&problem);
            problem.into_response(caller)
        }
    }
}

async fn exchange(
    state: &Rc<InstanceState>,
    record: &mut RequestRecord,
    (ticket_headers, policy): (&TicketHeaders, &RequestPolicy),
    (parts, body): (Parts, Option<Incoming>),
    deadline_at: Instant,
    limit: StreamLimit,
) -> Result<Response<ResponseBody>, Problem> {
    let node = &ticket_headers.ticket.node;
    let stale_ticket_problem = || stale_ticket(ticket_headers.first_attempt);
    let run = state.fleet.with_regions(|now, regions| {
        let mut listed = regions.listed(now);
        let run = listed.find(|(_, entry)| {
            entry.node == node.instance.as_str() && entry.incarnation == node.incarnation.0
        });
        run.filter(|(region, _)| policy.may_forward(&state.config.region, region))
            .map(|(_, entry)| entry.caller_address)
    });
    let address = run.ok_or_else(stale_ticket_problem)?;
    let time_left = deadline_at.saturating_duration_since(Instant::now());
    let connecting = state.pool.open(node.instance.as_str(), address, time_left);
    let mut lease = connecting.await.map_err(|reason| {
        record.on_attempt_result(&format!(
            "failed to connect to the ticket's entry: {reason}"
        ));
        stale_ticket_problem()
    })?;
    let most_bytes = state.limits.get().body_bytes;
    let body_bytes = if body.is_some() { most_bytes } else { 0 };
    let body = match body {
        Some(body) => {
            let lease = Rc::new(state.memory.lease());
            RequestBody::streamed(UnsentBody::new([], body, most_bytes), lease)
        }
        None => RequestBody::buffered(Bytes::new()),
    };
    let mut request = Request::new(body);
    *request.method_mut() = parts.method;
    *request.uri_mut() = parts.uri;
    *request.headers_mut() = parts.headers;
    strip_hop_by_hop_headers(request.headers_mut());
    let time_left = deadline_at.saturating_duration_since(Instant::now());
    let sender = lease.sender(body_bytes, time_left);
    let sender = sender.ok_or_else(stale_ticket_problem)?;
    let response = match stop::in_time(state, deadline_at, sender.try_send_request(request)).await {
        Err(_) => return Err(unknown("the instance of the ticket did not answer in time")),
        Ok(Err(error)) if error.message().is_some() => return Err(stale_ticket_problem()),
        Ok(Err(error)) => {
            record.on_attempt_result(&describe_error(error.error()));
            if let Some(failure) = BodyError::of(error.error()) {
                return Err(incomplete(failure.status()));
            }
            return Err(unknown("the instance of the ticket broke off"));
        }
        Ok(Ok(response)) => response,
    };
    lease.on_head();
    let (parts, body) = response.into_parts();
    let body = PieceReader::new(body);
    let stream = ResponseStream::new(state, Bytes::new(), body, lease, limit);
    let mut response = Response::new(ResponseBody::streamed(stream));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    strip_hop_by_hop_headers(response.headers_mut());
    Ok(response)
}

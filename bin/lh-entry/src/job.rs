//! Forwards a request to one server after the other until one of them responds. If the future is
//! dropped, the connection to the server is closed immediately.

mod reclaim;
mod response;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use base::prelude::Outcome;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use place::catalog::ServerHandle;
use place::crash::fingerprint::RequestFingerprint;
use place::desired::RouteSpec;
use place::placing::timing::millis;
use place::request::{Placement, PlacementRequest, Refusal, RefusalReason, ServerOutcome};
use platform::headers::{self};
use tokio::sync::oneshot;

use crate::admission::RequestPolicy;
use crate::attempt::AttemptGuard;
use crate::body::{BodyError, RequestBody, ResponseBody};
use crate::body_reader::JobBody;
use crate::caller::{Caller, Interface};
use crate::connect::ahead;
use crate::paths;
use crate::pool::ConnectionLease;
use crate::problem::{Problem, set_outcome};
use crate::record::{RequestOutcome, RequestRecord};
use crate::relay::AttemptPath;
use crate::reply::{
    describe_error, incomplete, respond_unavailable, respond_unknown, strip_hop_by_hop_headers,
};
use crate::returns;
use crate::rollout;
use crate::state::InstanceState;
use crate::stop;

/// Number of attempts that could not send the request after which a further attempt is limited
/// like a retry.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// A request that is being forwarded.
pub(crate) struct RequestJob {
    pub(crate) state: Rc<InstanceState>,
    pub(crate) record: RequestRecord,
    pub(crate) caller: Caller,
    /// Hash of the key of the object that the request is about.
    pub(crate) object: Option<u64>,
    pub(crate) method: Method,
    pub(crate) target: hyper::Uri,
    pub(crate) headers: HeaderMap,
    /// The team, priority and home regions of the request.
    pub(crate) policy: RequestPolicy,
    /// Time by which the caller must have its response.
    pub(crate) deadline_at: Instant,
    /// Index of the part of the route that serves the request.
    pub(crate) part: usize,
    pub(crate) progress: JobProgress,
    /// Comes when all requests ahead on the connection have responses; `None` afterwards.
    pub(crate) turn: Option<RequestTurn>,
}

/// Tells a request that was started early that its turn has come.
pub(crate) type RequestTurn = oneshot::Receiver<()>;

/// The attempts that have been made for a request.
#[derive(Debug, Default)]
pub(crate) struct JobProgress {
    tried: Vec<ServerHandle>,
    pub(crate) failed_attempts: u32,
    unsent_attempts: u32,
    may_have_run: bool,
    /// The request's fingerprint, once it has been computed.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    /// Whether another entry relays the request through this one.
    pub(crate) is_relayed: bool,
    /// Number of servers to which that entry lets it be sent.
    max_attempts: Option<u32>,
    /// Peers through which the request was relayed.
    pub(crate) tried_peers: Vec<SocketAddr>,
    /// The refusal of a peer that could have sent it to a server.
    pub(crate) peer_refusal: Option<Refusal>,
}

impl JobProgress {
    /// The progress of a request that another entry relays through this one and that may be
    /// sent to `max_attempts` servers.
    pub(crate) fn relayed(max_attempts: u32) -> Self {
        Self {
            is_relayed: true,
            max_attempts: Some(max_attempts),
            ..Self::default()
        }
    }
}

/// The result of an attempt.
pub(crate) enum AttemptResult {
    Responded(Response<ResponseBody>),
    NotRun,
    /// A peer didn't send the request to a server.
    Declined,
    /// The request was not sent: no connection could be established, or its server or the request
    /// was withdrawn meanwhile.
    Unsent,
    Failed(Response<ResponseBody>),
    Broken,
    /// The caller's body could not be forwarded completely, which gives the response this status.
    Incomplete(StatusCode),
    OutOfTime,
}

impl RequestJob {
    /// Forwards the request, with retries, and returns the response for the caller.
    pub(crate) async fn run(
        mut self,
        route: &Rc<RouteSpec>,
        mut body: JobBody,
    ) -> Response<ResponseBody> {
        let mut last: Option<Response<ResponseBody>> = None;
        loop {
            if let Some(refusal) = self.quarantine_refusal(&body) {
                return self.finish_unserved(last, refusal);
            }
            let result = match self.attempt_path(route) {
                AttemptPath::Direct => {
                    let guard = match self.place(route, &body) {
                        Ok(guard) => guard,
                        Err(_) if self.waited_for_turn().await => continue,
                        Err(refusal) if self.reclaimed_slot(route, refusal).await => continue,
                        Err(refusal) => return self.finish_unserved(last, refusal),
                    };
                    self.record.on_placed(&guard.placement);
                    self.attempt(route, guard, &mut body).await
                }
                AttemptPath::Peer(peer) => self.relay(route, &peer, &mut body).await,
                AttemptPath::None => {
                    let refusal = self.no_path_refusal();
                    return self.finish_unserved(last, refusal);
                }
            };
            match result {
                AttemptResult::Responded(response) => {
                    self.clear_suspicion(&body);
                    return self.relay_response(response);
                }
                AttemptResult::OutOfTime => {
                    return respond_unknown(
                        &mut self.record,
                        &self.caller,
                        StatusCode::GATEWAY_TIMEOUT,
                    );
                }
                AttemptResult::Incomplete(status) => {
                    return self.respond_with_problem(incomplete(status));
                }
                AttemptResult::Unsent => {
                    self.progress.unsent_attempts += 1;
                    if self.progress.unsent_attempts < MAX_UNSENT_ATTEMPTS {
                        continue;
                    }
                }
                AttemptResult::Failed(response) => {
                    last = Some(response);
                    self.progress.failed_attempts += 1;
                    self.progress.may_have_run = true;
                }
                AttemptResult::Broken => {
                    self.progress.failed_attempts += 1;
                    self.progress.may_have_run = true;
                }
                AttemptResult::Declined => match self.progress.peer_refusal {
                    Some(refusal) => return self.finish_unserved(last, refusal),
                    None if body.is_spent() => {
                        let refusal = self.no_path_refusal();
                        return self.finish_unserved(last, refusal);
                    }
                    None => continue,
                },
                AttemptResult::NotRun => {}
            }
            if !self.may_retry(route, &body) {
                let refusal = self.state.placer.borrow_mut().rejection();
                return self.finish_unserved(last, refusal);
            }
        }
    }

    /// Waits for the request's turn if it was started early. Its caller can't get a refusal
    /// before, and there may be room by then.
    async fn waited_for_turn(&mut self) -> bool {
        let Some(turn) = self.turn.take() else {
            return false;
        };
        let is_in_time = stop::in_time(&self.state, self.deadline_at, turn).await;
        matches!(is_in_time, Ok(Ok(())))
    }

    fn may_retry(&mut self, route: &RouteSpec, body: &JobBody) -> bool {
        if self.progress.may_have_run && !route.kind.may_repeat() {
            return false;
        }
        if body.is_spent() {
            return false;
        }
        let max_attempts = route
            .max_attempts
            .min(self.progress.max_attempts.unwrap_or(u32::MAX));
        if self.progress.failed_attempts >= max_attempts
            || self.progress.tried.len() as u32 > max_attempts
        {
            return false;
        }
        let Some(part) = route.parts.get(self.part) else {
            return false;
        };
        let now = Instant::now();
        let mut placer = self.state.placer.borrow_mut();
        let allowed = placer.take_retry_for(now, &part.service, self.record.returning);
        self.state.metrics.on_limit("retry-budget", allowed);
        allowed
    }

    fn finish_unserved(
        mut self,
        last: Option<Response<ResponseBody>>,
        refusal: Refusal,
    ) -> Response<ResponseBody> {
        if let Some(response) = last {
            return self.relay_response(response);
        }
        if self.progress.may_have_run {
            return respond_unknown(&mut self.record, &self.caller, StatusCode::BAD_GATEWAY);
        }
        self.record.on_refused(refusal);
        if matches!(refusal.reason, RefusalReason::Full | RefusalReason::Late) {
            self.state.fairness.borrow_mut().on_refused(Instant::now());
        }
        returns::on_refused(&self, refusal);
        let reason = refusal.reason.as_str();
        respond_unavailable(&mut self.record, &self.caller, reason, refusal.retry_after)
    }

    /// Returns a server's response to the caller.
    fn relay_response(&mut self, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
        let status = response.status().as_u16();
        self.record.finish(RequestOutcome::Answered, status);
        if self.caller.interface == Interface::Own || self.progress.is_relayed {
            set_outcome(&mut response, Outcome::Done);
        }
        response
    }

    /// Ends the request with a response by this entry.
    pub(crate) fn respond_with_problem(mut self, problem: Problem) -> Response<ResponseBody> {
        self.record.finish_with_problem(&problem);
        problem.into_response(&self.caller)
    }

    fn place(&mut self, route: &Rc<RouteSpec>, body: &JobBody) -> Result<AttemptGuard, Refusal> {
        let now = Instant::now();
        let request = PlacementRequest {
            priority: self.policy.priority,
            homes: &self.policy.home_regions,
            resubmitted: self.record.returning,
            body_bytes: body.size(),
            tried: &self.progress.tried,
            ..PlacementRequest::new(route, self.part)
                .with_object(self.object)
                .with_remaining(self.deadline_at.saturating_duration_since(now))
        };
        let placement = rollout::place(&self.state, now, &request)?;
        self.state.urgent_reports.on_sent(&placement);
        self.progress.tried.push(placement.handle);
        let (part, object) = (self.part, self.object);
        Ok(AttemptGuard::new(
            &self.state,
            route,
            part,
            object,
            placement,
        ))
    }

    async fn attempt(
        &mut self,
        route: &RouteSpec,
        mut guard: AttemptGuard,
        body: &mut JobBody,
    ) -> AttemptResult {
        let avoid_stale = !route.kind.may_repeat();
        let placed = Instant::now();
        ahead::on_request(&self.state, &guard.placement, route.objective);
        let mut lease = match self.acquire_connection(&guard.placement, avoid_stale).await {
            Ok(lease) => lease,
            Err(reason) => {
                if let Some(part) = route.parts.get(self.part) {
                    paths::on_server_missed(&self.state, &guard.placement, &part.service);
                }
                guard.finish(ServerOutcome::Unreachable, None);
                self.record.on_attempt_result(&reason);
                return AttemptResult::Unsent;
            }
        };
        if !self.may_send(&mut guard.placement, body) {
            guard.finish(ServerOutcome::Withdrawn, None);
            self.record.on_attempt_result(
                "not sent: server left or has no room, or request was quarantined meanwhile",
            );
            return AttemptResult::Unsent;
        }
        if body.buffered().is_none() {
            // The start of a streamed body is no longer available after it is sent.
            self.fingerprint(body);
            if let Some(part) = route.parts.get(self.part) {
                body.occupy(&part.service);
            }
        }
        let Some(request) = self.build_request(&guard.placement, body) else {
            guard.finish(ServerOutcome::Abandoned, None);
            return AttemptResult::Broken;
        };
        let time_left = self.deadline_at.saturating_duration_since(Instant::now());
        let Some(sender) = lease.sender(body.size(), time_left) else {
            guard.finish(ServerOutcome::Unreachable, None);
            return AttemptResult::Unsent;
        };
        self.record.on_sent(placed.elapsed());
        let sending = sender.try_send_request(request);
        let response = match stop::in_time(&self.state, self.deadline_at, sending).await {
            Err(_) => {
                guard.finish(ServerOutcome::OutOfTime, None);
                self.record.on_attempt_result("no answer in time");
                return AttemptResult::OutOfTime;
            }
            Ok(Err(error)) => {
                self.record
                    .on_attempt_result(&describe_error(error.error()));
                if let Some(failure) = BodyError::of(error.error()) {
                    guard.finish(ServerOutcome::Abandoned, None);
                    return AttemptResult::Incomplete(failure.status());
                }
                let unsent = error.message().is_some();
                let outcome = if unsent {
                    ServerOutcome::Unreachable
                } else {
                    ServerOutcome::Broken
                };
                guard.finish(outcome, None);
                if unsent {
                    return AttemptResult::Unsent;
                }
                self.on_connection_lost(route, &guard.placement, body);
                return AttemptResult::Broken;
            }
            Ok(Ok(response)) => response,
        };
        lease.on_head();
        self.handle_response(route, guard, lease, (response, body))
            .await
    }

    /// Whether the request may still be sent to the server after the time it took to connect.
    fn may_send(&mut self, placement: &mut Placement, body: &JobBody) -> bool {
        if self.quarantine_refusal(body).is_some() {
            return false;
        }
        let mut placer = self.state.placer.borrow_mut();
        let may_send = placer.may_send(Instant::now(), placement);
        if may_send {
            self.state.urgent_reports.on_sent(placement);
        }
        may_send
    }

    async fn acquire_connection(
        &self,
        placement: &Placement,
        avoid_stale: bool,
    ) -> Result<ConnectionLease, String> {
        if let Some(lease) = self.state.pool.take(&placement.id, avoid_stale) {
            return Ok(lease);
        }
        let started_at = Instant::now();
        let time_left = self.deadline_at.saturating_duration_since(started_at);
        let connecting = self
            .state
            .pool
            .open(&placement.id, placement.address, time_left);
        let lease = connecting.await?;
        let mut placer = self.state.placer.borrow_mut();
        let elapsed_ms = millis(started_at.elapsed());
        placer.catalog.on_connected(placement.handle, elapsed_ms);
        Ok(lease)
    }

    fn build_request(
        &self,
        placement: &Placement,
        body: &mut JobBody,
    ) -> Option<Request<RequestBody>> {
        let body = body.take_request_body()?;
        let target = self
            .target
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(target)
            .body(body)
            .ok()?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        strip_hop_by_hop_headers(headers);
        let time_left = self.deadline_at.saturating_duration_since(Instant::now());
        headers::write_attempt(headers, time_left, &placement.id);
        headers::write_team(headers, self.policy.team_name());
        if self.caller.interface == Interface::Own {
            self.caller.write_platform_headers(headers);
        }
        Some(request)
    }
}

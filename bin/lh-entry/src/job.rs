//! A request on its way: one server after the other, until there is an answer.
//! Dropping the future gives the request up: the connection to its server is closed
//! at once.

use std::rc::Rc;
use std::time::Instant;

use base::prelude::Outcome;
use hyper::body::Incoming;
use hyper::header;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use place::catalog::ServerHandle;
use place::crash::print::RequestFingerprint;
use place::desired::RouteSpec;
use place::placing::timing::millis;
use place::request::{Placement, PlacementRequest, Refusal, RefusalReason, ServerOutcome};
use platform::headers::{self, ServerHeaders};
use tokio::time::timeout_at;

use crate::attempt::AttemptGuard;
use crate::body::{AnswerBody, RequestBody};
use crate::caller::{Caller, Interface};
use crate::door::RequestTerms;
use crate::intake::JobBody;
use crate::pool::Lease;
use crate::problem::{Problem, state_outcome};
use crate::record::{RequestOutcome, RequestRecord};
use crate::reply::{broken, fail, is_sound, read_answer, refuse, strip_hop_headers};
use crate::rollout;
use crate::state::InstanceState;

/// Servers to which a request can't be sent are passed over this many times.
const UNSENT_MOST: u32 = 4;

/// A request on its way.
pub(crate) struct RequestJob {
    pub(crate) state: Rc<InstanceState>,
    pub(crate) record: RequestRecord,
    pub(crate) caller: Caller,
    /// Hash of the object that the request concerns.
    pub(crate) object: Option<u64>,
    pub(crate) method: Method,
    pub(crate) target: hyper::Uri,
    pub(crate) headers: HeaderMap,
    /// Whose it is, and where it may be served.
    pub(crate) terms: RequestTerms,
    /// When the caller gets its answer at the latest.
    pub(crate) ends: Instant,
    /// The part of the route that the request belongs to.
    pub(crate) part: usize,
    pub(crate) progress: JobProgress,
}

/// What has been tried for a request.
#[derive(Debug, Default)]
pub(crate) struct JobProgress {
    tried: Vec<ServerHandle>,
    runs: u32,
    unsent: u32,
    may_have_run: bool,
    /// The request's print, once it was needed.
    pub(crate) print: Option<RequestFingerprint>,
}

/// What came of an attempt.
enum AttemptEnd {
    Answer(Response<AnswerBody>),
    NotRun,
    /// Nothing was sent: no connection could be had, or not in time.
    Unsent,
    Failed(Response<AnswerBody>),
    Broken,
    OutOfTime,
}

impl RequestJob {
    /// Sends the request on until there is an answer.
    pub(crate) async fn run(
        mut self,
        route: &Rc<RouteSpec>,
        mut body: JobBody,
    ) -> Response<AnswerBody> {
        let mut last: Option<Response<AnswerBody>> = None;
        loop {
            if let Some(refusal) = self.quarantine(&body) {
                return self.give_up(last, refusal);
            }
            let guard = match self.place(route, &body) {
                Ok(guard) => guard,
                Err(refusal) => return self.give_up(last, refusal),
            };
            self.record.on_placed(&guard.placement);
            let end = self.attempt(route, guard, &mut body).await;
            match end {
                AttemptEnd::Answer(answer) => {
                    self.clear(&body);
                    return self.pass_back(answer);
                }
                AttemptEnd::OutOfTime => {
                    return fail(&mut self.record, &self.caller, StatusCode::GATEWAY_TIMEOUT);
                }
                AttemptEnd::Unsent => {
                    self.progress.unsent += 1;
                    if self.progress.unsent < UNSENT_MOST {
                        continue;
                    }
                }
                AttemptEnd::Failed(answer) => {
                    last = Some(answer);
                    self.progress.runs += 1;
                    self.progress.may_have_run = true;
                }
                AttemptEnd::Broken => {
                    self.progress.runs += 1;
                    self.progress.may_have_run = true;
                }
                AttemptEnd::NotRun => {}
            }
            if !self.may_try_again(route, &body) {
                let refusal = self.state.placer.borrow_mut().rejection();
                return self.give_up(last, refusal);
            }
        }
    }

    fn may_try_again(&mut self, route: &RouteSpec, body: &JobBody) -> bool {
        if self.progress.may_have_run && !route.kind.may_repeat() {
            return false;
        }
        if matches!(body, JobBody::Streamed(None)) {
            return false;
        }
        if self.progress.runs >= route.max_attempts
            || self.progress.tried.len() as u32 > route.max_attempts
        {
            return false;
        }
        let Some(part) = route.parts.get(self.part) else {
            return false;
        };
        let now = Instant::now();
        let mut placer = self.state.placer.borrow_mut();
        let allowed = placer.take_retry(now, &part.service);
        self.state.metrics.on_limit("retry-budget", allowed);
        allowed
    }

    fn give_up(
        mut self,
        last: Option<Response<AnswerBody>>,
        refusal: Refusal,
    ) -> Response<AnswerBody> {
        if let Some(answer) = last {
            return self.pass_back(answer);
        }
        if self.progress.may_have_run {
            return fail(&mut self.record, &self.caller, StatusCode::BAD_GATEWAY);
        }
        self.record.on_refused(refusal);
        if matches!(refusal.reason, RefusalReason::Full | RefusalReason::Late) {
            self.state.fairness.borrow_mut().on_refused(Instant::now());
        }
        let reason = refusal.reason.as_str();
        refuse(&mut self.record, &self.caller, reason, refusal.retry_after)
    }

    /// Gives the caller a server's answer.
    fn pass_back(&mut self, mut answer: Response<AnswerBody>) -> Response<AnswerBody> {
        let status = answer.status().as_u16();
        self.record.finish(RequestOutcome::Answered, status);
        if self.caller.interface == Interface::Own {
            state_outcome(&mut answer, Outcome::Done);
        }
        answer
    }

    /// Ends the request with an answer of the entry's own.
    pub(crate) fn end_with(mut self, problem: Problem) -> Response<AnswerBody> {
        self.record.finish_with(&problem);
        problem.into_response(&self.caller)
    }

    fn place(&mut self, route: &Rc<RouteSpec>, body: &JobBody) -> Result<AttemptGuard, Refusal> {
        let now = Instant::now();
        let request = PlacementRequest {
            priority: self.terms.priority,
            homes: &self.terms.homes,
            returning: self.record.returning,
            body_bytes: body.size(),
            tried: &self.progress.tried,
            ..PlacementRequest::new(route, self.part)
                .with_object(self.object)
                .with_remaining(self.ends.saturating_duration_since(now))
        };
        let placement = rollout::place(&self.state, now, &request)?;
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
    ) -> AttemptEnd {
        let careful = !route.kind.may_repeat();
        let placed = Instant::now();
        let mut lease = match self.connection(&guard.placement, careful).await {
            Ok(lease) => lease,
            Err(reason) => {
                guard.finish(ServerOutcome::Unreachable, None);
                self.record.on_result(&reason);
                return AttemptEnd::Unsent;
            }
        };
        if !self.may_send(&guard.placement, body) {
            guard.finish(ServerOutcome::Withdrawn, None);
            self.record.on_result("not sent, closed meanwhile");
            return AttemptEnd::Unsent;
        }
        if matches!(body, JobBody::Streamed(_)) {
            // Its beginning is gone once it is sent.
            self.print(body);
        }
        let Some(request) = self.request(&guard.placement, body) else {
            guard.finish(ServerOutcome::Abandoned, None);
            return AttemptEnd::Broken;
        };
        let Some(sender) = lease.sender() else {
            guard.finish(ServerOutcome::Unreachable, None);
            return AttemptEnd::Unsent;
        };
        self.record.on_sent(placed.elapsed());
        let sending = sender.try_send_request(request);
        let answer = match timeout_at(self.ends.into(), sending).await {
            Err(_) => {
                guard.finish(ServerOutcome::OutOfTime, None);
                self.record.on_result("no answer in time");
                return AttemptEnd::OutOfTime;
            }
            Ok(Err(error)) => {
                let unsent = error.message().is_some();
                let outcome = if unsent {
                    ServerOutcome::Unreachable
                } else {
                    ServerOutcome::Broken
                };
                self.record.on_result(&broken(error.error()));
                guard.finish(outcome, None);
                if unsent {
                    return AttemptEnd::Unsent;
                }
                self.on_broken_off(route, &guard.placement, body);
                return AttemptEnd::Broken;
            }
            Ok(Ok(answer)) => answer,
        };
        self.take_answer(route, guard, lease, (answer, body)).await
    }

    /// Whether the choice still stands once a connection is there.
    fn may_send(&mut self, placement: &Placement, body: &JobBody) -> bool {
        let stands = self
            .state
            .placer
            .borrow()
            .catalog
            .may_send(placement.handle);
        stands && self.quarantine(body).is_none()
    }

    async fn take_answer(
        &mut self,
        route: &RouteSpec,
        mut guard: AttemptGuard,
        lease: Lease,
        (answer, sent): (Response<Incoming>, &JobBody),
    ) -> AttemptEnd {
        let (parts, body) = answer.into_parts();
        let head = headers::parse_server(parts.status, &parts.headers);
        if !self.answers_this(&head, &lease) {
            guard.finish(ServerOutcome::Broken, None);
            self.record.on_result("answer to another request");
            return AttemptEnd::Broken;
        }
        if head.not_executed {
            let outcome = if parts.status == StatusCode::MISDIRECTED_REQUEST {
                ServerOutcome::Misdirected
            } else {
                ServerOutcome::Full
            };
            guard.finish(outcome, head.report.as_ref());
            self.record.on_answer(parts.status, head.report.as_ref());
            return AttemptEnd::NotRun;
        }
        if !is_sound(parts.status, &parts.headers, &head) {
            guard.finish(ServerOutcome::Broken, None);
            self.record
                .on_result(&format!("unsound answer ({})", parts.status.as_u16()));
            return AttemptEnd::Broken;
        }
        let (bytes, rest) = match timeout_at(self.ends.into(), read_answer(body)).await {
            Err(_) => {
                guard.finish(ServerOutcome::OutOfTime, None);
                self.record.on_result("answer not whole in time");
                return AttemptEnd::OutOfTime;
            }
            Ok(Err(error)) => {
                guard.finish(ServerOutcome::Broken, None);
                self.record.on_result(&broken(&error));
                self.on_broken_off(route, &guard.placement, sent);
                return AttemptEnd::Broken;
            }
            Ok(Ok(read)) => read,
        };
        self.note_size(&parts.headers, bytes.len());
        let good = !parts.status.is_server_error();
        guard.finish(ServerOutcome::Answered { good }, head.report.as_ref());
        self.record.on_answer(parts.status, head.report.as_ref());
        let body = match rest {
            Some(rest) => AnswerBody::streamed(bytes, rest, lease),
            None => {
                // A server that answers an upload early may still wait for the rest of it.
                if parts.status.is_success() {
                    self.state.pool.give_back(lease, &parts.headers);
                }
                AnswerBody::whole(bytes)
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_headers(response.headers_mut());
        if good {
            AttemptEnd::Answer(response)
        } else {
            AttemptEnd::Failed(response)
        }
    }

    /// Takes in the size of an answer of which `read` bytes are here.
    fn note_size(&self, headers: &HeaderMap, read: usize) {
        let stated = headers.get(header::CONTENT_LENGTH);
        let stated = stated.and_then(|length| length.to_str().ok()?.parse().ok());
        if let Some(route) = &self.record.route {
            let mut placer = self.state.placer.borrow_mut();
            placer.on_answer_size(route, stated.unwrap_or(read as u64));
        }
    }

    /// Whether the answer is to this request. One without an id can only be so
    /// on a connection that carried no other request.
    fn answers_this(&self, head: &ServerHeaders, lease: &Lease) -> bool {
        match &head.request_id {
            Some(id) => self.caller.request_id.as_ref() == Some(id),
            None => !lease.reused,
        }
    }

    async fn connection(&self, placement: &Placement, careful: bool) -> Result<Lease, String> {
        if let Some(lease) = self.state.pool.take(&placement.id, careful) {
            return Ok(lease);
        }
        let begun = Instant::now();
        let patience = self.ends.saturating_duration_since(begun);
        let opening = self
            .state
            .pool
            .open(&placement.id, placement.address, patience);
        let lease = opening.await?;
        let mut placer = self.state.placer.borrow_mut();
        let took = millis(begun.elapsed());
        placer.catalog.on_connected(placement.handle, took);
        Ok(lease)
    }

    fn request(&self, placement: &Placement, body: &mut JobBody) -> Option<Request<RequestBody>> {
        let body = match body {
            JobBody::Whole { bytes, .. } => RequestBody::whole(bytes.clone()),
            JobBody::Streamed(stream) => {
                let (first, rest, left) = stream.take()?;
                RequestBody::streamed(first, rest, left)
            }
        };
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
        strip_hop_headers(headers);
        let left = self.ends.saturating_duration_since(Instant::now());
        headers::write_attempt(headers, left, &placement.id);
        headers::write_team(headers, self.terms.team_name());
        if self.caller.interface == Interface::Own {
            self.caller.write(headers);
        }
        Some(request)
    }
}

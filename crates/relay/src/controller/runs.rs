//! Runs of a request: on a backend server, in another region, or at the run that its
//! ticket names.

use std::net::SocketAddr;

use base::outcome::OUTCOME_HEADER;
use base::prelude::*;
use bytes::{Bytes, BytesMut};
use conf::{Repeat, Service};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use steer::RunResult;
use store::TableService;

use super::{Answer, CheckedWork, NextStep, RelayController, lock};
use crate::answer::{AnswerBody, StreamedAnswer};
use crate::connect::{RequestBody, UsedConnection};
use crate::error::Error;
use crate::forward::{OutgoingHead, StreamGuard, exchange};
use crate::handle::SlotLease;
use crate::once::OnceState;
use crate::problem::{
    Problem, cut_answer, shed_problem, stale_ticket, unknown, unreachable_server,
};
use crate::snapshot::RelaySnapshot;
use crate::ticket::Ticket;

/// Answers up to this size are kept for repeats of a request that must not repeat.
const KEEP_LIMIT: usize = 16 << 10;

impl<P: TableService + 'static> RelayController<P> {
    /// One run on the slot's backend server.
    pub(super) async fn dispatch(
        &self,
        mut lease: SlotLease,
        work: &mut CheckedWork,
        started: Instant,
    ) -> Result<Response<AnswerBody>, NextStep> {
        let until = lease.until();
        let Ok(address) = lease.server().as_str().parse::<SocketAddr>() else {
            lease.set_result(RunResult::Unreachable);
            return Err(NextStep::GiveUp(unreachable_server()));
        };
        let body = work.body.take(work.service.max_body);
        let body = body.ok_or_else(|| NextStep::GiveUp(unknown("the body was sent before")))?;
        let request = work.head.request(address, until, None, body);
        let fresh = work.service.repeat == Repeat::AtMostOnce;
        let exchanged = match request {
            Ok(request) => exchange(&self.pool, address, request, until, fresh).await,
            Err(error) => Err(error),
        };
        match exchanged {
            Ok((response, _)) if is_shed(&response) => {
                lease.set_result(RunResult::Shed);
                Err(self.after_unsent(work, shed_problem()))
            }
            Ok((response, connection)) => {
                let answer = self.answer(response, connection, Some(lease), work, started);
                Ok(answer.await)
            }
            Err(error) if error.is_unsent() => {
                log::warn!(server:% = lease.server(), error:% = error; "backend server unreachable");
                lease.set_result(RunResult::Unreachable);
                Err(self.after_unsent(work, unreachable_server()))
            }
            Err(error) => Err(self.after_broken(work, &error)),
        }
    }

    /// Nothing ran: any request may be tried again, within the budget.
    pub(super) fn after_unsent(&self, work: &CheckedWork, problem: Problem) -> NextStep {
        let again = work.body.is_repeatable()
            && Instant::now() < work.deadline
            && lock(&self.budget).try_retry();
        if again {
            return NextStep::TryAgain;
        }
        NextStep::GiveUp(problem)
    }

    /// It may have run: only an idempotent request may be tried again, within the budget.
    pub(super) fn after_broken(&self, work: &CheckedWork, error: &Error) -> NextStep {
        let again = work.service.repeat == Repeat::Idempotent
            && work.body.is_repeatable()
            && !matches!(error, Error::Late)
            && Instant::now() < work.deadline
            && lock(&self.budget).try_retry();
        if again {
            return NextStep::TryAgain;
        }
        let status = match error {
            Error::Late => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let problem = Problem::new(status, "no-answer", &error.to_string());
        NextStep::GiveUp(problem.with_outcome(Outcome::Unknown))
    }

    /// Turns a backend server's answer into ours, and records it where the request
    /// must not repeat.
    pub(super) async fn answer(
        &self,
        response: Response<Incoming>,
        connection: UsedConnection,
        lease: Option<SlotLease>,
        work: &CheckedWork,
        started: Instant,
    ) -> Response<AnswerBody> {
        let until = lease.as_ref().map_or(work.deadline, SlotLease::until);
        let until = tokio::time::Instant::from_std(until);
        let (mut parts, mut body) = response.into_parts();
        let took = started.elapsed();
        self.parts
            .metrics
            .done(&work.service.id, took, work.service.objective.latency);
        if !parts.headers.contains_key(OUTCOME_HEADER) {
            let done = HeaderValue::from_static(Outcome::Done.as_str());
            parts.headers.insert(OUTCOME_HEADER, done);
        }
        let mut guard = StreamGuard::new(&self.pool, connection, lease);
        if let Some(key) = &work.once {
            lock(&self.parts.once).finish(key, OnceState::Done(None));
        }
        let small = body
            .size_hint()
            .exact()
            .is_some_and(|size| size <= KEEP_LIMIT as u64);
        if work.once.is_none() && !small {
            let answer = StreamedAnswer::new(Bytes::new(), body, guard, until);
            return Response::from_parts(parts, AnswerBody::Stream(Box::new(answer)));
        }
        // A small answer is read first: its slot is free however slowly its caller reads.
        let gathered = tokio::time::timeout_at(until, read_up_to(&mut body, KEEP_LIMIT)).await;
        let answer = match gathered {
            Ok(Some((bytes, true))) => {
                guard.completed();
                self.keep(work, &parts, &bytes);
                AnswerBody::full(bytes)
            }
            Ok(Some((bytes, false))) => {
                AnswerBody::Stream(Box::new(StreamedAnswer::new(bytes, body, guard, until)))
            }
            _ => {
                guard.failed();
                return cut_answer(work.once.is_some()).into_response();
            }
        };
        self.settle_claim(work, Outcome::Done).await;
        Response::from_parts(parts, answer)
    }

    /// Hands the request to an instance of another region, once.
    pub(super) async fn spill(
        &self,
        snapshot: &RelaySnapshot,
        node: &NodeId,
        work: &mut CheckedWork,
        started: Instant,
    ) -> Answer {
        let member = snapshot.member(node).ok_or_else(unreachable_server)?;
        let body = work.body.take(work.service.max_body);
        let body = body.ok_or_else(|| unknown("the body was sent before"))?;
        let head = OutgoingHead {
            path: format!("/{}{}", work.service.id, work.head.path),
            ..work.head.clone()
        };
        self.parts.metrics.spilled(&work.service.id);
        let hop = Some(&self.parts.region);
        let exchanged = match head.request(member.relay, work.deadline, hop, body) {
            Ok(request) => exchange(&self.pool, member.relay, request, work.deadline, true).await,
            Err(error) => Err(error),
        };
        let (response, connection) = exchanged.map_err(|error| {
            if error.is_unsent() {
                return unreachable_server();
            }
            unknown("the other region gave no answer")
        })?;
        match outcome_of(&response) {
            Outcome::Done => Ok(self.answer(response, connection, None, work, started).await),
            outcome => {
                let problem = Problem::passed_on(response.status(), response.headers());
                Err(problem.with_outcome(outcome))
            }
        }
    }

    /// A request whose ticket is bound to another run goes there, or is answered
    /// "unknown": that run may have worked on an earlier copy.
    pub(super) async fn pass_on(
        &self,
        snapshot: &RelaySnapshot,
        ticket: &Ticket,
        head: &OutgoingHead,
        body: Incoming,
        service: &Service,
        deadline: Instant,
    ) -> Answer {
        let gone = || stale_ticket(false);
        let member = snapshot.member(&ticket.node).ok_or_else(gone)?;
        let body = RequestBody::stream(body, service.max_body);
        let request = head.request(member.relay, deadline, None, body);
        let request = request.map_err(|_| gone())?;
        let exchanged = exchange(&self.pool, member.relay, request, deadline, true).await;
        let (response, connection) = exchanged.map_err(|_| gone())?;
        let guard = StreamGuard::new(&self.pool, connection, None);
        let (parts, body) = response.into_parts();
        let until = tokio::time::Instant::from_std(deadline);
        let answer = StreamedAnswer::new(Bytes::new(), body, guard, until);
        Ok(Response::from_parts(
            parts,
            AnswerBody::Stream(Box::new(answer)),
        ))
    }
}

/// Reads until the end or just past `limit`; the flag tells whether the end was reached.
async fn read_up_to(body: &mut Incoming, limit: usize) -> Option<(Bytes, bool)> {
    let mut first = Bytes::new();
    let mut gathered = BytesMut::new();
    while gathered.len().max(first.len()) <= limit {
        let Some(frame) = body.frame().await else {
            let whole = if gathered.is_empty() {
                first
            } else {
                gathered.freeze()
            };
            return Some((whole, true));
        };
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if first.is_empty() {
            // Most answers are one frame, which needs no copy.
            first = data;
            continue;
        }
        if gathered.is_empty() {
            gathered.extend_from_slice(&first);
        }
        gathered.extend_from_slice(&data);
    }
    let part = if gathered.is_empty() {
        first
    } else {
        gathered.freeze()
    };
    Some((part, false))
}

/// Whether a backend server says that it did not run the request.
fn is_shed(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(OUTCOME_HEADER)
            .is_some_and(|value| value == Outcome::NotRun.as_str())
}

/// The outcome that another instance states; an answer without one may have run.
fn outcome_of(response: &Response<Incoming>) -> Outcome {
    response
        .headers()
        .get(OUTCOME_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(Outcome::parse)
        .unwrap_or(Outcome::Unknown)
}

//! Drives one request from its head to its answer.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use base::outcome::OUTCOME_HEADER;
use base::prelude::*;
use bytes::{Bytes, BytesMut};
use conf::{Repeat, Service};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use steer::{Origin, RetryBudget, RunResult};
use store::{ClaimStore, ClaimVerdict, TableService};

use crate::answer::{AnswerBody, StreamedAnswer};
use crate::connect::{ConnectionPool, RequestBody, UsedConnection};
use crate::error::Error;
use crate::forward::{OutgoingHead, StreamGuard, exchange};
use crate::handle::{Admission, GateHandle, SlotLease};
use crate::head::{RepeatKey, RequestHead};
use crate::metrics::RelayMetrics;
use crate::once::{KeptAnswer, OnceKey, OnceState, OnceTable, OnceVerdict};
use crate::problem::Problem;
use crate::snapshot::{RelaySnapshot, SnapshotCell};
use crate::ticket::{StampKey, Ticket, TicketVerdict};

/// Bodies up to this size are read before dispatch, so that they can be sent again.
const GATHER_LIMIT: u64 = 16 << 10;
/// Answers up to this size are kept for repeats of a request that must not repeat.
const KEEP_LIMIT: usize = 16 << 10;
/// Time to come back where the platform is needed and down.
const STORE_RETRY: Duration = Duration::from_secs(2);
/// Time to come back to an instance without a plan.
const PLAN_RETRY: Duration = Duration::from_secs(1);

type Answer = std::result::Result<Response<AnswerBody>, Problem>;

/// Everything that the request path of one instance shares.
#[derive(Debug)]
pub struct RelayController<P> {
    node: NodeId,
    region: RegionId,
    gate: Arc<GateHandle>,
    snapshots: Arc<SnapshotCell>,
    pool: Arc<ConnectionPool>,
    once: Mutex<OnceTable>,
    stamps: StampKey,
    claims: ClaimStore<P>,
    budget: Mutex<RetryBudget>,
    metrics: RelayMetrics,
}

/// A request that has passed the checks of its head.
struct CheckedWork {
    service: Service,
    head: OutgoingHead,
    body: WorkBody,
    origin: Origin,
    deadline: Instant,
    once: Option<OnceKey>,
    /// Unique to this attempt, so that a claim is never mistaken for an earlier one.
    claim_token: u64,
    may_spill: bool,
}

enum WorkBody {
    Gathered(Bytes),
    Stream(Option<Incoming>),
}

impl WorkBody {
    /// The body to send; `None` where it was a stream and has been sent already.
    fn take(&mut self, limit: u64) -> Option<RequestBody> {
        match self {
            Self::Gathered(bytes) => Some(RequestBody::full(bytes.clone())),
            Self::Stream(body) => body.take().map(|body| RequestBody::stream(body, limit)),
        }
    }

    fn is_repeatable(&self) -> bool {
        matches!(self, Self::Gathered(_))
    }
}

/// How a run that gave no answer goes on.
enum NextStep {
    TryAgain,
    GiveUp(Problem),
}

impl<P: TableService + 'static> RelayController<P> {
    /// Wires the request path of `node` in `region`.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        node: &NodeId,
        region: &RegionId,
        gate: Arc<GateHandle>,
        snapshots: Arc<SnapshotCell>,
        once: OnceTable,
        stamps: StampKey,
        claims: ClaimStore<P>,
        metrics: RelayMetrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            node: node.clone(),
            region: region.clone(),
            gate,
            snapshots,
            pool: Arc::new(ConnectionPool::new()),
            once: Mutex::new(once),
            stamps,
            claims,
            budget: Mutex::new(RetryBudget::new(0.1)),
            metrics,
        })
    }

    /// Takes over a changed share of retries.
    pub fn set_retry_share(&self, share: f64) {
        lock(&self.budget).set_share(share);
    }

    /// Housekeeping, to be called every second or so.
    pub fn sweep(&self) {
        self.pool.sweep();
        lock(&self.once).expire(Instant::now());
    }

    /// Answers one request.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let started = Instant::now();
        match self.serve(request, peer, started).await {
            Ok(response) => response,
            Err(problem) => problem.into_response(),
        }
    }

    async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
        started: Instant,
    ) -> Answer {
        let snapshot = self.snapshots.get().ok_or_else(|| {
            Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "starting",
                "this instance has no configuration yet; look up again",
            )
            .with_retry_after(PLAN_RETRY)
        })?;
        let (parts, body) = request.into_parts();
        let head = RequestHead::parse(&parts.method, &parts.uri, &parts.headers)?;
        let service = check_head(&snapshot, &head)?.clone();
        let left = head.time_left.unwrap_or(service.deadline);
        let deadline = started + left.min(service.deadline);
        let outgoing = OutgoingHead {
            method: parts.method,
            path: head.path.clone(),
            headers: parts.headers,
        };
        if let Some(RepeatKey::Ticket(ticket, _)) = &head.key
            && ticket.node != self.node
        {
            let outgoing = OutgoingHead {
                path: parts.uri.to_string(),
                ..outgoing
            };
            if snapshot.member(&ticket.node).is_none() {
                return Err(stale_ticket(head.first_attempt));
            }
            return self
                .pass_on(&snapshot, ticket, &outgoing, body, &service, deadline)
                .await;
        }
        let body = gather(&head, body, deadline).await?;
        let origin = self.origin(&snapshot, &head, peer);
        let once = self.begin_once(&service, &head, &outgoing, &body, &origin, started)?;
        let work = CheckedWork {
            may_spill: matches!(origin, Origin::Caller { .. }),
            service,
            head: outgoing,
            body,
            origin,
            deadline,
            once: once.clone(),
            claim_token: rand::random(),
        };
        if once.is_some() && work.body.is_repeatable() {
            // The run goes on when the caller goes away, so that a repeat finds its answer.
            let controller = Arc::clone(&self);
            let run = tokio::spawn(async move { controller.run(&snapshot, work, started).await });
            return run
                .await
                .unwrap_or_else(|_| Err(unknown("the run was cut short")));
        }
        self.run(&snapshot, work, started).await
    }

    fn origin(&self, snapshot: &RelaySnapshot, head: &RequestHead, peer: SocketAddr) -> Origin {
        match &head.hop {
            Some(region) if snapshot.is_member(peer.ip()) => Origin::Instance {
                region: region.clone(),
            },
            _ => Origin::Caller {
                home: snapshot.home(peer.ip()).cloned(),
            },
        }
    }

    /// Records a request that must not repeat; gives its key where it may run.
    fn begin_once(
        &self,
        service: &Service,
        head: &RequestHead,
        outgoing: &OutgoingHead,
        body: &WorkBody,
        origin: &Origin,
        now: Instant,
    ) -> Result<Option<OnceKey>, Problem> {
        // The instance that handed the request over keeps its record.
        let kept_elsewhere = matches!(origin, Origin::Instance { .. });
        if service.repeat == Repeat::Idempotent || kept_elsewhere {
            return Ok(None);
        }
        let (key, valid_until) = match &head.key {
            None => {
                return Err(Problem::new(
                    StatusCode::PRECONDITION_REQUIRED,
                    "key-required",
                    "this service runs a request at most once: send a ticket with a number, or an idempotency-key",
                ));
            }
            Some(RepeatKey::Ticket(ticket, number)) => self.check_ticket(now, ticket, *number)?,
            Some(RepeatKey::Caller(key)) => (caller_key(service, key), now),
        };
        let fingerprint = fingerprint(head, outgoing, body);
        let verdict = lock(&self.once).begin(now, &key, fingerprint, valid_until);
        match verdict {
            OnceVerdict::Run => Ok(Some(key)),
            OnceVerdict::Known(state) => Err(self.repeat_problem(state)),
            OnceVerdict::OtherRequest => Err(Problem::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "key-reused",
                "the key was used for another request; this one was not run",
            )),
            OnceVerdict::Full => Err(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "too-many-records",
                "too many requests are remembered here; look up again",
            )
            .with_retry_after(PLAN_RETRY)),
        }
    }

    fn check_ticket(
        &self,
        now: Instant,
        ticket: &Ticket,
        number: u64,
    ) -> Result<(OnceKey, Instant), Problem> {
        let key = OnceKey::Ticket {
            nonce: ticket.nonce,
            number,
        };
        match self.stamps.check(now, ticket) {
            TicketVerdict::Valid(end) => Ok((key, end)),
            TicketVerdict::Forged => Err(Problem::new(
                StatusCode::FORBIDDEN,
                "ticket-forged",
                "the ticket was not issued by this instance; look up again",
            )),
            TicketVerdict::Expired(end) if now < end + OnceTable::memory() => {
                let state = lock(&self.once).find(&key).cloned();
                match state {
                    Some(state) => Err(self.repeat_problem(state)),
                    None => Err(Problem::new(
                        StatusCode::GONE,
                        "ticket-expired",
                        "the ticket has expired; look up again",
                    )),
                }
            }
            TicketVerdict::Expired(_) => Err(unknown(
                "the ticket expired so long ago that an earlier copy may have been forgotten",
            )),
        }
    }

    /// The answer to a repeated request, from the record of the first one.
    fn repeat_problem(&self, state: OnceState) -> Problem {
        match state {
            OnceState::Running => unknown("the request is still being worked on; ask again")
                .with_retry_after(PLAN_RETRY),
            OnceState::Refused => Problem::new(
                StatusCode::CONFLICT,
                "refused-before",
                "the request was refused and not run, and its key stays refused; use a new one",
            ),
            OnceState::Done(Some(answer)) => Problem::replay(answer),
            OnceState::Done(None) => Problem::new(
                StatusCode::CONFLICT,
                "done-before",
                "the request was run; its answer isn't kept",
            )
            .with_outcome(Outcome::Done),
            OnceState::Unknown => unknown("the request may have run; it will not be sent again"),
        }
    }

    /// Runs the request: asks for a slot, sends it, and tries again where that is safe.
    async fn run(
        &self,
        snapshot: &RelaySnapshot,
        mut work: CheckedWork,
        started: Instant,
    ) -> Answer {
        lock(&self.budget).first_try();
        self.claim(&work).await.inspect_err(|problem| {
            self.close(&work, problem);
        })?;
        loop {
            let admitting = self.gate.admit(
                &work.service.id,
                work.deadline,
                &work.origin,
                work.may_spill,
            );
            let step = match admitting.await {
                Admission::Refused(refusal) => NextStep::GiveUp(Problem::from_refusal(&refusal)),
                Admission::Spilled(node) => {
                    match self.spill(snapshot, &node, &mut work, started).await {
                        Ok(response) => return Ok(response),
                        Err(problem) => NextStep::GiveUp(problem),
                    }
                }
                Admission::Slot(lease) => match self.dispatch(lease, &mut work, started).await {
                    Ok(response) => return Ok(response),
                    Err(step) => step,
                },
            };
            match step {
                NextStep::TryAgain => self.metrics.retried(&work.service.id),
                NextStep::GiveUp(problem) => {
                    self.close(&work, &problem);
                    self.settle_claim(&work, problem.outcome()).await;
                    return Err(problem);
                }
            }
        }
    }

    /// Claims the caller's own key in the table service before anything is sent.
    async fn claim(&self, work: &CheckedWork) -> Result<(), Problem> {
        let Some(once @ OnceKey::Caller(key)) = &work.once else {
            return Ok(());
        };
        match self
            .claims
            .claim(&hex(key), &self.claim_value(work, "claimed"))
            .await
        {
            Ok(ClaimVerdict::Ours) => Ok(()),
            Ok(ClaimVerdict::Taken(value)) => {
                // The table keeps the record; a later copy has to ask it again.
                lock(&self.once).forget(once);
                Err(self.repeat_problem(claimed_state(&value)))
            }
            Err(cause) => {
                log::warn!(cause:% = cause; "claim failed");
                Err(Problem::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "store-down",
                    "the key could not be claimed, so the request was not run; come back with a new key, or use a ticket",
                )
                .with_retry_after(STORE_RETRY))
            }
        }
    }

    fn claim_value(&self, work: &CheckedWork, state: &str) -> String {
        format!("{} {:016x} {state}", self.node, work.claim_token)
    }

    /// Writes what became of a claimed request, for repeats at other instances.
    async fn settle_claim(&self, work: &CheckedWork, outcome: Outcome) {
        let Some(OnceKey::Caller(key)) = &work.once else {
            return;
        };
        let state = match outcome {
            Outcome::Done => "done",
            Outcome::NotRun => "refused",
            Outcome::Unknown => return,
        };
        let settled = self
            .claims
            .settle(
                &hex(key),
                &self.claim_value(work, "claimed"),
                &self.claim_value(work, state),
            )
            .await;
        if let Err(cause) = settled {
            log::debug!(cause:% = cause; "claim not settled");
        }
    }

    /// Records that a request ended without an answer from a backend server.
    fn close(&self, work: &CheckedWork, problem: &Problem) {
        self.metrics
            .count(&work.service.id, problem.outcome(), problem.kind());
        let Some(key) = &work.once else {
            return;
        };
        let state = match problem.outcome() {
            Outcome::NotRun => OnceState::Refused,
            Outcome::Done => OnceState::Done(None),
            Outcome::Unknown => OnceState::Unknown,
        };
        lock(&self.once).finish(key, state);
    }

    /// One run on the slot's backend server.
    async fn dispatch(
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
    fn after_unsent(&self, work: &CheckedWork, problem: Problem) -> NextStep {
        let again = work.body.is_repeatable()
            && Instant::now() < work.deadline
            && lock(&self.budget).try_retry();
        if again {
            return NextStep::TryAgain;
        }
        NextStep::GiveUp(problem)
    }

    /// It may have run: only an idempotent request may be tried again, within the budget.
    fn after_broken(&self, work: &CheckedWork, error: &Error) -> NextStep {
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
    async fn answer(
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
        self.metrics
            .done(&work.service.id, took, work.service.objective.latency);
        if !parts.headers.contains_key(OUTCOME_HEADER) {
            let done = HeaderValue::from_static(Outcome::Done.as_str());
            parts.headers.insert(OUTCOME_HEADER, done);
        }
        let mut guard = StreamGuard::new(&self.pool, connection, lease);
        if let Some(key) = &work.once {
            lock(&self.once).finish(key, OnceState::Done(None));
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

    /// Keeps the answer for repeats, where the request must not repeat.
    fn keep(&self, work: &CheckedWork, parts: &hyper::http::response::Parts, body: &Bytes) {
        let Some(key) = &work.once else {
            return;
        };
        let content_type = parts.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let answer = KeptAnswer {
            status: parts.status.as_u16(),
            content_type: content_type.map(str::to_owned),
            body: body.clone(),
        };
        lock(&self.once).finish(key, OnceState::Done(Some(answer)));
    }

    /// Hands the request to an instance of another region, once.
    async fn spill(
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
        self.metrics.spilled(&work.service.id);
        let hop = Some(&self.region);
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
    async fn pass_on(
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

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn check_head<'a>(snapshot: &'a RelaySnapshot, head: &RequestHead) -> Result<&'a Service, Problem> {
    let service = snapshot.service(&head.service).ok_or_else(|| {
        let detail = format!("no service '{}' is configured", head.service);
        Problem::new(StatusCode::NOT_FOUND, "unknown-service", &detail)
    })?;
    let Some(length) = head.length else {
        if service.repeat == Repeat::Idempotent {
            return Ok(service);
        }
        return Err(Problem::new(
            StatusCode::LENGTH_REQUIRED,
            "length-required",
            "a request that must not repeat needs a content-length",
        ));
    };
    if length > service.max_body {
        let detail = format!("the body may have {} bytes at most", service.max_body);
        return Err(Problem::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-large",
            &detail,
        ));
    }
    Ok(service)
}

/// Reads a small body before anything is decided; a cut one is refused.
async fn gather(
    head: &RequestHead,
    body: Incoming,
    deadline: Instant,
) -> Result<WorkBody, Problem> {
    let Some(length) = head.length.filter(|length| *length <= GATHER_LIMIT) else {
        return Ok(WorkBody::Stream(Some(body)));
    };
    if length == 0 {
        return Ok(WorkBody::Gathered(Bytes::new()));
    }
    let reading = Limited::new(body, GATHER_LIMIT as usize).collect();
    let read = tokio::time::timeout_at(tokio::time::Instant::from_std(deadline), reading).await;
    let cut = || {
        Problem::new(
            StatusCode::BAD_REQUEST,
            "body-cut",
            "the body was cut or late",
        )
    };
    let whole = read.map_err(|_| cut())?.map_err(|_| cut())?;
    Ok(WorkBody::Gathered(whole.to_bytes()))
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

fn fingerprint(head: &RequestHead, outgoing: &OutgoingHead, body: &WorkBody) -> u64 {
    let mut hasher = DefaultHasher::new();
    outgoing.method.as_str().hash(&mut hasher);
    head.service.hash(&mut hasher);
    head.path.hash(&mut hasher);
    head.length.hash(&mut hasher);
    if let WorkBody::Gathered(bytes) = body {
        bytes.hash(&mut hasher);
    }
    hasher.finish()
}

fn caller_key(service: &Service, key: &str) -> OnceKey {
    let mut hasher = Sha256::new();
    hasher.update(service.id.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(key.as_bytes());
    OnceKey::Caller(hasher.finalize().into())
}

/// What a claim's row says of its request.
fn claimed_state(value: &str) -> OnceState {
    match value.rsplit(' ').next() {
        Some("refused") => OnceState::Refused,
        Some("done") => OnceState::Done(None),
        _ => OnceState::Unknown,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
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

fn unknown(detail: &str) -> Problem {
    Problem::new(StatusCode::CONFLICT, "outcome-unknown", detail).with_outcome(Outcome::Unknown)
}

/// The run that the ticket is bound to is gone. Only the caller can know whether an
/// earlier copy of the request reached it.
fn stale_ticket(first_attempt: bool) -> Problem {
    if first_attempt {
        return Problem::new(
            StatusCode::GONE,
            "ticket-stale",
            "the instance that the ticket is bound to is gone; look up again",
        );
    }
    unknown("the instance that the ticket is bound to can't be reached")
}

/// The answer was cut on its way. Of a request that must not repeat it is known that
/// it was run.
fn cut_answer(at_most_once: bool) -> Problem {
    let problem = Problem::new(
        StatusCode::BAD_GATEWAY,
        "answer-cut",
        "the backend server's answer was cut",
    );
    problem.with_outcome(if at_most_once {
        Outcome::Done
    } else {
        Outcome::Unknown
    })
}

fn unreachable_server() -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-server",
        "the chosen server can't be reached; the request was not run",
    )
    .with_retry_after(PLAN_RETRY)
}

fn shed_problem() -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "shed",
        "the backend server sheds load; the request was not run",
    )
    .with_retry_after(PLAN_RETRY)
}

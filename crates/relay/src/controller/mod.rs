//! Drives one request from its head to its answer.

mod once;
mod runs;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use base::prelude::*;
use bytes::Bytes;
use conf::{Repeat, Service};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use steer::{Origin, RetryBudget};
use store::{ClaimStore, TableService};

use crate::answer::AnswerBody;
use crate::connect::{ConnectionPool, RequestBody};
use crate::forward::OutgoingHead;
use crate::handle::{Admission, GateHandle};
use crate::head::{RepeatKey, RequestHead};
use crate::metrics::RelayMetrics;
use crate::once::{OnceKey, OnceTable};
use crate::problem::{PLAN_RETRY, Problem, stale_ticket, unknown};
use crate::snapshot::{RelaySnapshot, SnapshotCell};
use crate::ticket::StampKey;

/// Bodies up to this size are read before dispatch, so that they can be sent again.
const GATHER_LIMIT: u64 = 16 << 10;

/// Share of retries until a plan tells another one.
const FIRST_RETRY_SHARE: f64 = 0.1;

type Answer = std::result::Result<Response<AnswerBody>, Problem>;

/// What the request path of one instance is wired from.
#[derive(Debug)]
pub struct RelayParts<P> {
    /// The run of the entry process.
    pub node: NodeId,
    /// Its region.
    pub region: RegionId,
    /// The region's door.
    pub gate: Arc<GateHandle>,
    /// The plan in force.
    pub snapshots: Arc<SnapshotCell>,
    /// Records of requests that must not repeat.
    pub once: Mutex<OnceTable>,
    /// Signs and checks tickets.
    pub stamps: StampKey,
    /// Claims on callers' own keys.
    pub claims: ClaimStore<P>,
    /// What is counted.
    pub metrics: RelayMetrics,
}

/// Everything that the request path of one instance shares.
#[derive(Debug)]
pub struct RelayController<P> {
    parts: RelayParts<P>,
    pool: Arc<ConnectionPool>,
    budget: Mutex<RetryBudget>,
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
    /// Wires the request path.
    pub fn new(parts: RelayParts<P>) -> Arc<Self> {
        Arc::new(Self {
            parts,
            pool: Arc::new(ConnectionPool::new()),
            budget: Mutex::new(RetryBudget::new(FIRST_RETRY_SHARE)),
        })
    }

    /// Takes over a changed share of retries.
    pub fn set_retry_share(&self, share: f64) {
        lock(&self.budget).set_share(share);
    }

    /// Housekeeping, to be called every second or so.
    pub fn sweep(&self) {
        self.pool.sweep();
        lock(&self.parts.once).expire(Instant::now());
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
        let snapshot = self.parts.snapshots.get().ok_or_else(|| {
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
            && ticket.node != self.parts.node
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
            let admitting = self.parts.gate.admit(
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
                NextStep::TryAgain => self.parts.metrics.retried(&work.service.id),
                NextStep::GiveUp(problem) => {
                    self.close(&work, &problem);
                    self.settle_claim(&work, problem.outcome()).await;
                    return Err(problem);
                }
            }
        }
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

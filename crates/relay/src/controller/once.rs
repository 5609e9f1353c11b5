//! Requests that must not repeat: records here and claims in the table service.

use std::hash::{DefaultHasher, Hash, Hasher};

use base::prelude::*;
use bytes::Bytes;
use conf::{Repeat, Service};
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use sha2::{Digest, Sha256};
use steer::Origin;
use store::{ClaimVerdict, TableService};

use super::{CheckedWork, RelayController, WorkBody, lock};
use crate::forward::OutgoingHead;
use crate::head::{RepeatKey, RequestHead};
use crate::once::{KeptAnswer, OnceKey, OnceState, OnceTable, OnceVerdict};
use crate::problem::{PLAN_RETRY, Problem, unknown};
use crate::ticket::{Ticket, TicketVerdict};

/// Time to come back where the platform is needed and down.
const STORE_RETRY: Duration = Duration::from_secs(2);

impl<P: TableService + 'static> RelayController<P> {
    /// Records a request that must not repeat; gives its key where it may run.
    pub(super) fn begin_once(
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
        let verdict = lock(&self.parts.once).begin(now, &key, fingerprint, valid_until);
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

    pub(super) fn check_ticket(
        &self,
        now: Instant,
        ticket: &Ticket,
        number: u64,
    ) -> Result<(OnceKey, Instant), Problem> {
        let key = OnceKey::Ticket {
            nonce: ticket.nonce,
            number,
        };
        match self.parts.stamps.check(now, ticket) {
            TicketVerdict::Valid(end) => Ok((key, end)),
            TicketVerdict::Forged => Err(Problem::new(
                StatusCode::FORBIDDEN,
                "ticket-forged",
                "the ticket was not issued by this instance; look up again",
            )),
            TicketVerdict::Expired(end) if now < end + OnceTable::memory() => {
                let state = lock(&self.parts.once).find(&key).cloned();
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
    pub(super) fn repeat_problem(&self, state: OnceState) -> Problem {
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

    /// Claims the caller's own key in the table service before anything is sent.
    pub(super) async fn claim(&self, work: &CheckedWork) -> Result<(), Problem> {
        let Some(once @ OnceKey::Caller(key)) = &work.once else {
            return Ok(());
        };
        match self
            .parts
            .claims
            .claim(&hex(key), &self.claim_value(work, "claimed"))
            .await
        {
            Ok(ClaimVerdict::Ours) => Ok(()),
            Ok(ClaimVerdict::Taken(value)) => {
                // The table keeps the record; a later copy has to ask it again.
                lock(&self.parts.once).forget(once);
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

    pub(super) fn claim_value(&self, work: &CheckedWork, state: &str) -> String {
        format!("{} {:016x} {state}", self.parts.node, work.claim_token)
    }

    /// Writes what became of a claimed request, for repeats at other instances.
    pub(super) async fn settle_claim(&self, work: &CheckedWork, outcome: Outcome) {
        let Some(OnceKey::Caller(key)) = &work.once else {
            return;
        };
        let state = match outcome {
            Outcome::Done => "done",
            Outcome::NotRun => "refused",
            Outcome::Unknown => return,
        };
        let settled = self
            .parts
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
    pub(super) fn close(&self, work: &CheckedWork, problem: &Problem) {
        self.parts
            .metrics
            .count(&work.service.id, problem.outcome(), problem.kind());
        let Some(key) = &work.once else {
            return;
        };
        let state = match problem.outcome() {
            Outcome::NotRun => OnceState::Refused,
            Outcome::Done => OnceState::Done(None),
            Outcome::Unknown => OnceState::Unknown,
        };
        lock(&self.parts.once).finish(key, state);
    }

    /// Keeps the answer for repeats, where the request must not repeat.
    pub(super) fn keep(
        &self,
        work: &CheckedWork,
        parts: &hyper::http::response::Parts,
        body: &Bytes,
    ) {
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
        lock(&self.parts.once).finish(key, OnceState::Done(Some(answer)));
    }
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

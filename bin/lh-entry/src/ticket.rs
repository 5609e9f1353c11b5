//! Requests under tickets: which may run here, and what repeats of them are told.

use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use base::prelude::*;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{HeaderMap, Method, Response, StatusCode};
use once::{OnceKey, OnceState, OnceTable, OnceVerdict, StampKey, StoredAnswer, TicketVerdict};

use crate::body::ResponseBody;
use crate::caller::TicketHeaders;
use crate::problem::Problem;

/// How long a stamp is good beyond the life of the look-ups' answers that carry it: a
/// caller may go on using a ticket for about as long.
const STAMP_LIFETIME: Duration = Duration::from_secs(60);
/// Time between two stamps: well within their life.
const STAMP_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// When a caller comes back to a request that is still running, or to an entry that
/// remembers too many.
const REPEAT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The records of this run of the entry.
#[derive(Debug)]
pub(crate) struct TicketTable {
    table: RefCell<OnceTable>,
    stamp_key: StampKey,
    stamp: RefCell<Option<(Instant, String)>>,
}

impl TicketTable {
    /// A desk of the run `node` that remembers `capacity` requests.
    pub(crate) fn new(node: &NodeId, capacity: usize) -> Self {
        Self {
            table: RefCell::new(OnceTable::new(capacity)),
            stamp_key: StampKey::new(node, rand::random(), Instant::now()),
            stamp: RefCell::default(),
        }
    }

    /// The stamp that tickets for this run are made of now.
    pub(crate) fn stamp(&self, now: Instant) -> String {
        let mut stamp = self.stamp.borrow_mut();
        let fresh = stamp
            .as_ref()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) < STAMP_REFRESH_INTERVAL);
        if !fresh {
            *stamp = Some((now, self.stamp_key.stamp(now + STAMP_LIFETIME)));
        }
        stamp
            .as_ref()
            .map_or(String::new(), |(_, text)| text.clone())
    }

    /// Whether the ticket is one of this run's that may still be used: the key of its
    /// request, which is `owner`'s, and when the ticket ends.
    ///
    /// # Errors
    /// The answer, where it may not.
    pub(crate) fn check(
        &self,
        now: Instant,
        ticket_headers: &TicketHeaders,
        owner: u64,
    ) -> Result<(OnceKey, Instant), Problem> {
        let key = OnceKey {
            owner,
            nonce: ticket_headers.ticket.nonce,
            number: ticket_headers.number,
        };
        match self.stamp_key.check(now, &ticket_headers.ticket) {
            TicketVerdict::Valid(end) => Ok((key, end)),
            TicketVerdict::Forged => Err(Problem::new(
                StatusCode::FORBIDDEN,
                "ticket-forged",
                "the ticket was not issued by this instance; look up again",
            )),
            TicketVerdict::Expired(end) if now < end + OnceTable::retention() => {
                let record = self.table.borrow().find(&key).cloned();
                Err(record.map_or_else(ticket_expired, repeat_problem))
            }
            TicketVerdict::Expired(_) => Err(unknown(
                "the ticket expired so long ago that an earlier copy may have been forgotten",
            )),
        }
    }

    /// Records that a request is about to run.
    ///
    /// # Errors
    /// The answer, where it may not run.
    pub(crate) fn begin(
        &self,
        now: Instant,
        key: &OnceKey,
        fingerprint: u64,
        valid_until: Instant,
    ) -> Result<(), Problem> {
        let verdict = self
            .table
            .borrow_mut()
            .begin(now, key, fingerprint, valid_until);
        match verdict {
            OnceVerdict::Run => Ok(()),
            OnceVerdict::Known(state) => Err(repeat_problem(state)),
            OnceVerdict::OtherRequest => Err(Problem::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "key-reused",
                "the number was used for another request; this one was not run",
            )),
            OnceVerdict::Full => Err(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "too-many-records",
                "too many requests are remembered here; look up again",
            )
            .with_retry_after(REPEAT_RETRY_AFTER)),
        }
    }

    /// Records what became of a request that was begun.
    pub(crate) fn finish(
        &self,
        key: &OnceKey,
        outcome: Outcome,
        response: &Response<ResponseBody>,
    ) {
        let state = match outcome {
            Outcome::NotRun => OnceState::Refused,
            Outcome::Unknown => OnceState::Unknown,
            Outcome::Done => OnceState::Done(to_stored_answer(response)),
        };
        self.table.borrow_mut().finish(key, state);
    }
}

/// A request without a ticket where one is needed.
pub(crate) fn ticket_required() -> Problem {
    Problem::new(
        StatusCode::PRECONDITION_REQUIRED,
        "ticket-required",
        "this service runs a request at most once: send a ticket of a look-up with a number",
    )
}

/// The run that a ticket is bound to is gone. Only the caller can know whether an
/// earlier copy of the request reached it.
pub(crate) fn stale_ticket(first_attempt: bool) -> Problem {
    if first_attempt {
        return Problem::new(
            StatusCode::GONE,
            "ticket-stale",
            "the instance that the ticket is bound to is gone; look up again",
        );
    }
    unknown("the instance that the ticket is bound to can't be reached")
}

/// What may have run.
pub(crate) fn unknown(detail: &str) -> Problem {
    Problem::new(StatusCode::CONFLICT, "outcome-unknown", detail).with_outcome(Outcome::Unknown)
}

fn ticket_expired() -> Problem {
    let detail = "the ticket has expired; look up again";
    Problem::new(StatusCode::GONE, "ticket-expired", detail)
}

/// The answer to a repeated request, from the record of the first one.
fn repeat_problem(state: OnceState) -> Problem {
    match state {
        OnceState::Running => unknown("the request is still being worked on; ask again")
            .with_retry_after(REPEAT_RETRY_AFTER),
        OnceState::Refused => Problem::new(
            StatusCode::CONFLICT,
            "refused-before",
            "the request was refused and not run, and its number stays refused; use a new one",
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

/// Tells one request from another that comes under the same number.
pub(crate) fn ticket_fingerprint(
    method: &Method,
    target: &hyper::Uri,
    headers: &HeaderMap,
    body: Option<&Bytes>,
) -> u64 {
    let mut hasher = DefaultHasher::new();
    method.as_str().hash(&mut hasher);
    target.path().hash(&mut hasher);
    target.query().hash(&mut hasher);
    let length = headers.get(CONTENT_LENGTH);
    length.map(|length| length.as_bytes()).hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

fn to_stored_answer(response: &Response<ResponseBody>) -> Option<StoredAnswer> {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Some(StoredAnswer {
        status: response.status().as_u16(),
        content_type: content_type.map(str::to_owned),
        body: response.body().bytes()?,
    })
}

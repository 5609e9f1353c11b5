//! At-most-once requests: checks their tickets and responds to repeats.

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

/// Lifetime of a stamp, which exceeds that of the look-up answers that contain it. A caller may
/// use a ticket for about this long.
const STAMP_LIFETIME: Duration = Duration::from_secs(60);
/// Interval at which a new stamp is made, well below the lifetime of a stamp.
const STAMP_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Retry time for a repeat of a request that is still running, and for a request that does not fit
/// into the table.
const REPEAT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The tickets and records of at-most-once requests of this run of the entry.
#[derive(Debug)]
pub(crate) struct TicketTable {
    table: RefCell<OnceTable>,
    stamp_key: StampKey,
    stamp: RefCell<Option<(Instant, String)>>,
}

impl TicketTable {
    /// Creates the table of the run `node` with at most `capacity` records.
    pub(crate) fn new(node: &NodeId, capacity: usize) -> Self {
        Self {
            table: RefCell::new(OnceTable::new(capacity)),
            stamp_key: StampKey::new(node, rand::random(), Instant::now()),
            stamp: RefCell::default(),
        }
    }

    /// Returns the current stamp, from which tickets for this run are made.
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

    /// Checks that the ticket was issued by this run and is still valid. Returns the key of the
    /// request, which belongs to `owner`, and the time at which the ticket expires.
    ///
    /// # Errors
    /// Returns the problem to respond with if the ticket is forged or has expired.
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

    /// Records a request that is about to run.
    ///
    /// # Errors
    /// Returns the problem to respond with if the request must not run.
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

    /// Records the outcome of a request that has been started.
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

/// The problem of a request without a ticket on a route that requires one.
pub(crate) fn ticket_required() -> Problem {
    Problem::new(
        StatusCode::PRECONDITION_REQUIRED,
        "ticket-required",
        "this service runs a request at most once: send a ticket of a look-up with a number",
    )
}

/// The problem of a request whose ticket is bound to a run that no longer exists. Only the caller
/// can know whether an earlier copy of the request reached that run.
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

/// The problem of a request that may have run.
pub(crate) fn unknown(detail: &str) -> Problem {
    Problem::new(StatusCode::CONFLICT, "outcome-unknown", detail).with_outcome(Outcome::Unknown)
}

fn ticket_expired() -> Problem {
    let detail = "the ticket has expired; look up again";
    Problem::new(StatusCode::GONE, "ticket-expired", detail)
}

/// Builds the response to a repeated request from the record of the first one.
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

/// Computes a hash that tells apart different requests under the same number.
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

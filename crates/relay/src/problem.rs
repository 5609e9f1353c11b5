//! Problem documents (RFC 9457) with the request's outcome and the time to come back.

use base::outcome::OUTCOME_HEADER;
use base::prelude::*;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use steer::{Refusal, RefusalReason};

use crate::answer::AnswerBody;
use crate::once::KeptAnswer;

/// Time to come back where another instance, or this one a little later, can serve.
pub(crate) const PLAN_RETRY: Duration = Duration::from_secs(1);
/// Header with the time to come back in milliseconds, finer than `Retry-After`.
const RETRY_AFTER_MS: &str = "laurelhill-retry-after-ms";

/// Why a request gets no answer from a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    status: StatusCode,
    kind: &'static str,
    detail: String,
    outcome: Outcome,
    retry_after: Option<Duration>,
    replay: Option<Box<KeptAnswer>>,
}

impl Problem {
    /// A problem of a request that was not run.
    pub fn new(status: StatusCode, kind: &'static str, detail: &str) -> Self {
        Self {
            status,
            kind,
            detail: detail.to_owned(),
            outcome: Outcome::NotRun,
            retry_after: None,
            replay: None,
        }
    }

    /// The kept answer of a request that was run before, given again.
    pub(crate) fn replay(answer: KeptAnswer) -> Self {
        let mut problem = Self::new(StatusCode::OK, "replay", "").with_outcome(Outcome::Done);
        problem.replay = Some(Box::new(answer));
        problem
    }

    /// What another instance answered without having run the request.
    pub(crate) fn passed_on(status: StatusCode, headers: &HeaderMap) -> Self {
        let problem = Self::new(status, "other-region", "the other region refused");
        let wait = headers
            .get(RETRY_AFTER_MS)
            .and_then(|value| value.to_str().ok());
        match wait.and_then(|text| text.parse().ok()) {
            Some(wait) => problem.with_retry_after(Duration::from_millis(wait)),
            None => problem,
        }
    }

    /// States another outcome.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// States when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The problem of a refusal at the gate.
    pub fn from_refusal(refusal: &Refusal) -> Self {
        let (status, detail) = match refusal.reason {
            RefusalReason::UnknownService => (StatusCode::NOT_FOUND, "no such service"),
            RefusalReason::DeadlineTooShort => (
                StatusCode::BAD_REQUEST,
                "the deadline is shorter than the service needs",
            ),
            RefusalReason::NoSeat => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this instance may not use its region's capacity now; look up again",
            ),
            RefusalReason::Overloaded => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the region can't take the request before its deadline",
            ),
            RefusalReason::ShiftCap => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no further traffic may move to this region now",
            ),
            RefusalReason::Draining => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this instance is stopping; look up again",
            ),
            RefusalReason::NoServer => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no backend server of the service can be reached",
            ),
        };
        let problem = Self::new(status, refusal.reason.as_str(), detail);
        if status.is_client_error() {
            return problem;
        }
        problem.with_retry_after(refusal.retry_after)
    }

    /// The outcome that is stated.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The kind, as in the document's type.
    pub fn kind(&self) -> &'static str {
        self.kind
    }

    /// The response.
    pub fn into_response(self) -> Response<AnswerBody> {
        if let Some(answer) = self.replay {
            return replayed(*answer);
        }
        let body = serde_json::json!({
            "type": format!("urn:laurelhill:{}", self.kind),
            "title": self.status.canonical_reason().unwrap_or("Problem"),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "outcome": self.outcome.as_str(),
        });
        let mut response = Response::new(AnswerBody::full(Bytes::from(body.to_string())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            headers.insert(RETRY_AFTER, number(seconds));
            headers.insert(RETRY_AFTER_MS, number(wait.as_millis()));
        }
        response
    }
}

fn replayed(answer: KeptAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Some(Ok(value)) = answer.content_type.map(HeaderValue::try_from) {
        headers.insert(CONTENT_TYPE, value);
    }
    let done = HeaderValue::from_static(Outcome::Done.as_str());
    headers.insert(OUTCOME_HEADER, done);
    response
}

fn number(value: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(value).unwrap_or(u64::MAX))
}

pub(crate) fn unknown(detail: &str) -> Problem {
    Problem::new(StatusCode::CONFLICT, "outcome-unknown", detail).with_outcome(Outcome::Unknown)
}

/// The run that the ticket is bound to is gone. Only the caller can know whether an
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

/// The answer was cut on its way. Of a request that must not repeat it is known that
/// it was run.
pub(crate) fn cut_answer(at_most_once: bool) -> Problem {
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

pub(crate) fn unreachable_server() -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-server",
        "the chosen server can't be reached; the request was not run",
    )
    .with_retry_after(PLAN_RETRY)
}

pub(crate) fn shed_problem() -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "shed",
        "the backend server sheds load; the request was not run",
    )
    .with_retry_after(PLAN_RETRY)
}

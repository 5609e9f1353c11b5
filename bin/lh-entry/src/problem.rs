//! Responses by the entry itself: the outcome of the request, the reason, and when to retry. On
//! the product's own interface they contain a problem document (RFC 9457).

use base::outcome::OUTCOME_HEADER;
use base::prelude::*;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use once::StoredAnswer;
use platform::headers;

use crate::body::ResponseBody;
use crate::caller::{Caller, Interface};

/// Header with the retry time in milliseconds, for which `Retry-After` is too coarse.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("laurelhill-retry-after-ms");

/// The reason why a request gets its response from the entry instead of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Problem {
    pub(crate) status: StatusCode,
    pub(crate) kind: &'static str,
    detail: String,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
    replay: Option<Box<StoredAnswer>>,
}

impl Problem {
    /// Creates the problem of a request that did not run.
    pub(crate) fn new(status: StatusCode, kind: &'static str, detail: &str) -> Self {
        Self {
            status,
            kind,
            detail: detail.to_owned(),
            outcome: Outcome::NotRun,
            retry_after: None,
            replay: None,
        }
    }

    /// Creates a response that repeats the stored answer of an earlier run.
    pub(crate) fn replay(answer: StoredAnswer) -> Self {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
        let mut problem = Self::new(status, "replay", "").with_outcome(Outcome::Done);
        problem.replay = Some(Box::new(answer));
        problem
    }

    /// Sets the outcome.
    #[must_use]
    pub(crate) fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Builds the response to `caller`.
    pub(crate) fn into_response(self, caller: &Caller) -> Response<ResponseBody> {
        let mut response = match (self.replay, caller.interface) {
            (Some(answer), _) => replay_response(*answer),
            (None, Interface::Own) => {
                problem_document(self.status, self.kind, &self.detail, self.outcome)
            }
            (None, Interface::Platform) => Response::new(ResponseBody::buffered(Bytes::new())),
        };
        *response.status_mut() = self.status;
        set_outcome(&mut response, self.outcome);
        let headers = response.headers_mut();
        if let Some(id) = &caller.request_id {
            headers::write_request_id(headers, id);
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(
                WWW_AUTHENTICATE,
                HeaderValue::from_static(platform::headers::KEY_SCHEME),
            );
        }
        match (self.retry_after, caller.interface) {
            (Some(after), Interface::Platform) => headers::write_retry_after(headers, after),
            (Some(after), Interface::Own) => {
                let seconds = after.as_millis().div_ceil(1000).max(1);
                headers.insert(RETRY_AFTER, header_number(seconds));
                headers.insert(RETRY_AFTER_MS, header_number(after.as_millis()));
            }
            (None, _) => {}
        }
        response
    }
}

/// Sets the header of `response` that states the outcome of its request.
pub(crate) fn set_outcome(response: &mut Response<ResponseBody>, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    let name = HeaderName::from_static(OUTCOME_HEADER);
    response.headers_mut().insert(name, value);
}

fn problem_document(
    status: StatusCode,
    kind: &str,
    detail: &str,
    outcome: Outcome,
) -> Response<ResponseBody> {
    let body = serde_json::json!({
        "type": format!("urn:laurelhill:{kind}"),
        "title": status.canonical_reason().unwrap_or("Problem"),
        "status": status.as_u16(),
        "detail": detail,
        "outcome": outcome.as_str(),
    });
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(body.to_string())));
    let document = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, document);
    response
}

fn replay_response(answer: StoredAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(answer.body));
    if let Some(Ok(value)) = answer.content_type.map(HeaderValue::try_from) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

fn header_number(value: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(value).unwrap_or(u64::MAX))
}

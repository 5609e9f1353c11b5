//! Who asks: a caller on the platform's interface, or on the product's own.

use std::time::Duration;

use base::prelude::*;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use once::Ticket;
use place::desired::RouteSpec;
use place::routes::ANY_HOST;
use platform::headers;

use crate::problem::Problem;

/// Header that names a request on the own interface.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the object that a request concerns.
const OBJECT: HeaderName = HeaderName::from_static("laurelhill-object");
/// Header with the time left for a request, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("laurelhill-deadline-ms");
/// Header with the ticket of a request that must not repeat.
const TICKET: HeaderName = HeaderName::from_static("laurelhill-ticket");
/// Header with the caller's number under the ticket.
const NUMBER: HeaderName = HeaderName::from_static("laurelhill-number");
/// Header with the number of the caller's attempt under one number; the first is 1.
const ATTEMPT: HeaderName = HeaderName::from_static("laurelhill-attempt");
/// Headers of the own interface that differ between two attempts of a caller.
const PER_ATTEMPT_HEADERS: [HeaderName; 5] = [REQUEST_ID, DEADLINE, TICKET, NUMBER, ATTEMPT];
/// Headers by which a caller asks on the own interface.
const OWN_INTERFACE_HEADERS: [HeaderName; 3] = [DEADLINE, TICKET, OBJECT];

/// The interface on which a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interface {
    /// The platform's.
    Platform,
    /// The product's own: outcomes, problem documents, tickets.
    Own,
}

/// What a request's head says of its caller.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) interface: Interface,
    /// Names this attempt of the caller.
    pub(crate) request_id: Option<HeaderValue>,
    /// The object that the request concerns.
    pub(crate) object: Option<HeaderValue>,
    /// How long the caller will wait.
    pub(crate) deadline: Option<Duration>,
}

/// What binds a request that must not repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TicketHeaders {
    pub(crate) ticket: Ticket,
    /// The caller's number under the ticket.
    pub(crate) number: u64,
    /// Whether the caller says that it has sent the number nowhere before.
    pub(crate) first_attempt: bool,
}

impl Caller {
    /// Reads a head on the platform's interface.
    pub(crate) fn from_platform_headers(headers: &HeaderMap) -> Self {
        let head = headers::parse_caller(headers);
        Self {
            interface: Interface::Platform,
            request_id: head.request_id,
            object: head.object,
            deadline: head.deadline,
        }
    }

    /// Reads a head on the own interface. A request without a name gets one, since
    /// backend servers ask for it.
    ///
    /// # Errors
    /// The answer, where a header can't be read.
    pub(crate) fn from_own_headers(headers: &HeaderMap) -> Result<Self, Problem> {
        let deadline = parse_number(headers, &DEADLINE)?.map(Duration::from_millis);
        if deadline.is_some_and(|deadline| deadline.is_zero()) {
            return Err(bad_request("the deadline has passed"));
        }
        let stated = headers.get(REQUEST_ID).cloned();
        let request_id = stated.or_else(|| {
            let name = format!("{:016x}", rand::random::<u64>());
            HeaderValue::from_str(&name).ok()
        });
        Ok(Self {
            interface: Interface::Own,
            request_id,
            object: headers.get(OBJECT).cloned(),
            deadline,
        })
    }

    /// Tells a backend server what the platform's headers would have told.
    pub(crate) fn write_platform_headers(&self, headers: &mut HeaderMap) {
        if let Some(id) = &self.request_id {
            headers::write_request_id(headers, id);
        }
        if let Some(object) = &self.object {
            headers::write_object(headers, object);
        }
    }

    /// The request's name, where it can be shown.
    pub(crate) fn request_name(&self) -> &str {
        let name = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        name.unwrap_or("")
    }
}

impl Interface {
    /// The interface of a request with `headers` on `route`.
    pub(crate) fn of(route: &RouteSpec, headers: &HeaderMap) -> Self {
        let has_own_header = OWN_INTERFACE_HEADERS
            .iter()
            .any(|name| headers.contains_key(name));
        if has_own_header || route.host == ANY_HOST {
            Self::Own
        } else {
            Self::Platform
        }
    }
}

impl TicketHeaders {
    /// Reads what binds the request; `None` where nothing does.
    ///
    /// # Errors
    /// The answer, where a header can't be read.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Option<Self>, Problem> {
        let Some(text) = headers.get(TICKET) else {
            return Ok(None);
        };
        let text = text.to_str().ok();
        let ticket = text
            .and_then(Ticket::parse)
            .ok_or_else(|| bad_request("the ticket can't be read"))?;
        let number = parse_number(headers, &NUMBER)?
            .ok_or_else(|| bad_request("a ticket needs a number of the caller's beside it"))?;
        Ok(Some(Self {
            ticket,
            number,
            first_attempt: self::parse_number(headers, &ATTEMPT)? == Some(1),
        }))
    }
}

/// Whether the header of the own interface differs between two attempts of a caller.
pub(crate) fn is_per_attempt(name: &HeaderName) -> bool {
    PER_ATTEMPT_HEADERS.contains(name)
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match number {
        Some(number) => Ok(Some(number)),
        None => Err(bad_request(&format!(
            "the header {name} is no whole number"
        ))),
    }
}

fn bad_request(detail: &str) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, "bad-request", detail).with_outcome(Outcome::NotRun)
}

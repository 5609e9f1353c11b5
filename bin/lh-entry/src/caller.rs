//! Request headers of callers, on the platform's interface and on the product's own.

use std::time::Duration;

use base::prelude::*;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use once::Ticket;
use place::desired::RouteSpec;
use place::routes::ANY_HOST;
use platform::headers;

use crate::problem::Problem;

/// Header with the id of a request on the product's own interface.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the key of the object that a request is about.
const OBJECT: HeaderName = HeaderName::from_static("laurelhill-object");
/// Header with the time that remains for a request, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("laurelhill-deadline-ms");
/// Header with the ticket of a request that must run at most once.
const TICKET: HeaderName = HeaderName::from_static("laurelhill-ticket");
/// Header with the number that the caller gives the request under its ticket.
const NUMBER: HeaderName = HeaderName::from_static("laurelhill-number");
/// Header that counts the caller's attempts to send one numbered request; the first is 1.
const ATTEMPT: HeaderName = HeaderName::from_static("laurelhill-attempt");
/// Headers of the product's own interface that may differ between two attempts of a caller.
const PER_ATTEMPT_HEADERS: [HeaderName; 5] = [REQUEST_ID, DEADLINE, TICKET, NUMBER, ATTEMPT];
/// Headers whose presence selects the product's own interface.
const OWN_INTERFACE_HEADERS: [HeaderName; 3] = [DEADLINE, TICKET, OBJECT];

/// The interface on which a request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interface {
    /// The interface that the platform defines.
    Platform,
    /// The product's own interface, with outcomes, problem documents and tickets.
    Own,
}

/// What the headers of a request say about its caller.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) interface: Interface,
    /// Id of this attempt of the caller.
    pub(crate) request_id: Option<HeaderValue>,
    /// Key of the object that the request is about.
    pub(crate) object: Option<HeaderValue>,
    /// How long the caller waits for the response.
    pub(crate) deadline: Option<Duration>,
}

/// The headers of a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TicketHeaders {
    pub(crate) ticket: Ticket,
    /// The number that the caller gave the request under the ticket.
    pub(crate) number: u64,
    /// Whether the caller states that it has never sent this number before.
    pub(crate) first_attempt: bool,
}

impl Caller {
    /// Parses the headers of a request on the platform's interface.
    pub(crate) fn from_platform_headers(headers: &HeaderMap) -> Self {
        let head = headers::parse_caller(headers);
        Self {
            interface: Interface::Platform,
            request_id: head.request_id,
            object: head.object,
            deadline: head.deadline,
        }
    }

    /// Parses the headers of a request on the product's own interface. A request without an id
    /// gets one, because backend servers require it.
    ///
    /// # Errors
    /// Returns the problem to respond with if a header can't be parsed.
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

    /// Writes the request id and the object's key as the platform's headers, which backend
    /// servers read.
    pub(crate) fn write_platform_headers(&self, headers: &mut HeaderMap) {
        if let Some(id) = &self.request_id {
            headers::write_request_id(headers, id);
        }
        if let Some(object) = &self.object {
            headers::write_object(headers, object);
        }
    }

    /// Returns the request id, or an empty string if it isn't visible ASCII.
    pub(crate) fn request_id_text(&self) -> &str {
        let name = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        name.unwrap_or("")
    }
}

impl Interface {
    /// Returns the interface of a request with `headers` on `route`.
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
    /// Parses the ticket headers; `None` if the request has no ticket.
    ///
    /// # Errors
    /// Returns the problem to respond with if a header can't be parsed.
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

/// Returns whether the header, on the product's own interface, may differ between two attempts
/// of a caller.
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

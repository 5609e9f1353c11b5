//! What the head of a request says, read and checked before anything else.

use base::prelude::*;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Method, StatusCode, Uri};

use crate::names::{
    ATTEMPT_HEADER, DEADLINE_HEADER, HOP_HEADER, IDEMPOTENCY_HEADER, NUMBER_HEADER, TICKET_HEADER,
};
use crate::problem::Problem;
use crate::ticket::Ticket;

/// Longest idempotency key in bytes.
const MAX_KEY: usize = 256;

/// What names a request that must not repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepeatKey {
    /// A ticket and the caller's number under it.
    Ticket(Ticket, u64),
    /// The caller's own key.
    Caller(String),
}

/// The checked head of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// The service, the first part of the path.
    pub service: ServiceId,
    /// Path and query behind the service's name.
    pub path: String,
    /// Time left, where the caller says so.
    pub time_left: Option<Duration>,
    /// Length of the body; `None` where it is sent in chunks.
    pub length: Option<u64>,
    /// What names the request, where it must not repeat.
    pub key: Option<RepeatKey>,
    /// Whether the caller says that it has sent the key nowhere before.
    pub first_attempt: bool,
    /// The region it was handed over from.
    pub hop: Option<RegionId>,
}

impl RequestHead {
    /// Reads the head.
    ///
    /// # Errors
    /// The problem to answer with; the request was not run.
    pub fn parse(method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Self, Problem> {
        let (service, path) = split_path(uri)?;
        let time_left = number(headers, DEADLINE_HEADER)?.map(Duration::from_millis);
        if time_left.is_some_and(|left| left.is_zero()) {
            return Err(bad("the deadline has passed"));
        }
        Ok(Self {
            service,
            path,
            time_left,
            length: body_length(method, headers)?,
            key: repeat_key(headers)?,
            first_attempt: number(headers, ATTEMPT_HEADER)? == Some(1),
            hop: text(headers, HOP_HEADER)?.map(RegionId::new),
        })
    }
}

fn split_path(uri: &Uri) -> Result<(ServiceId, String), Problem> {
    let path = uri.path().strip_prefix('/').unwrap_or(uri.path());
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    if service.is_empty() {
        return Err(Problem::new(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "put the service's name first in the path, as in /booking-desk/bookings",
        ));
    }
    let query = uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok((ServiceId::new(service), format!("/{rest}{query}")))
}

fn body_length(method: &Method, headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    if let Some(length) = number(headers, CONTENT_LENGTH.as_str())? {
        return Ok(Some(length));
    }
    let chunked = headers.contains_key(hyper::header::TRANSFER_ENCODING);
    let bodyless = !chunked || *method == Method::GET || *method == Method::HEAD;
    Ok(bodyless.then_some(0))
}

fn repeat_key(headers: &HeaderMap) -> Result<Option<RepeatKey>, Problem> {
    if let Some(key) = text(headers, IDEMPOTENCY_HEADER)? {
        if key.is_empty() || key.len() > MAX_KEY {
            return Err(bad("the idempotency key must have 1 to 256 bytes"));
        }
        return Ok(Some(RepeatKey::Caller(key.to_owned())));
    }
    let Some(ticket) = text(headers, TICKET_HEADER)? else {
        return Ok(None);
    };
    let ticket = Ticket::parse(ticket).ok_or_else(|| bad("the ticket can't be read"))?;
    let number = number(headers, NUMBER_HEADER)?
        .ok_or_else(|| bad("a ticket needs the header laurelhill-number"))?;
    Ok(Some(RepeatKey::Ticket(ticket, number)))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(&format!("the header {name} stands twice")));
    }
    let value = value
        .to_str()
        .map_err(|_| bad(&format!("the header {name} isn't plain text")))?;
    Ok(Some(value))
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Problem> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    let number = value
        .parse()
        .map_err(|_| bad(&format!("the header {name} isn't a whole number")))?;
    Ok(Some(number))
}

fn bad(detail: &str) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
}

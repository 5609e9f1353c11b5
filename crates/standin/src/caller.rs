//! Simulated caller: looks up instances, caches the result for its time to live, and sends
//! requests.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use base::outcome::OUTCOME_HEADER;
use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpSocket;

use crate::error::{Error, Result};
use crate::ledger::{LedgerEntry, REQUEST_ID_HEADER, checksum, response_body};

/// Timeout of a connection attempt or a lookup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a request's deadline after which the caller gives up.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Configuration of a caller.
#[derive(Debug, Clone)]
pub struct CallerSpec {
    /// Source address, which determines the home region.
    pub source: IpAddr,
    /// Lookup addresses.
    pub lookups: Vec<SocketAddr>,
    /// API key of its team.
    pub key: Option<String>,
}

/// A request to make.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Request id.
    pub id: String,
    /// Service to call.
    pub service: String,
    /// Whether it must be executed at most once.
    pub at_most_once: bool,
    /// Deadline.
    pub deadline: Duration,
    /// Size of the request body in bytes.
    pub body: usize,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum CallResult {
    /// A response was received: its outcome, whether its body was wrong, and the reason of a refusal.
    Completed(Outcome, bool, String),
    /// Nothing was sent.
    NotSent,
    /// The connection failed, or no valid response arrived, after something was sent.
    Interrupted(String),
}

#[derive(Debug, Clone, Deserialize)]
struct FoundEntry {
    address: SocketAddr,
    ticket: String,
}

#[derive(Debug, Clone, Deserialize)]
struct FoundEntries {
    ttl_ms: u64,
    entries: Vec<FoundEntry>,
}

#[derive(Debug)]
struct CachedLookup {
    found: FoundEntries,
    until: Instant,
}

/// A simulated caller with its lookup cache.
#[derive(Debug)]
pub struct CallerSim {
    spec: CallerSpec,
    cache: Mutex<HashMap<String, CachedLookup>>,
    next_number: std::sync::atomic::AtomicU64,
}

impl CallerSim {
    /// Creates a caller with an empty cache.
    pub fn new(spec: CallerSpec) -> Self {
        Self {
            spec,
            cache: Mutex::new(HashMap::new()),
            next_number: std::sync::atomic::AtomicU64::new(1),
        }
    }

    /// Sends a request to the first instance of the lookup, and to the next ones as long as
    /// nothing was sent or its ticket was rejected as stale. An interrupted request is retried
    /// once, at the next instance, with the same ticket and number.
    pub async fn call(&self, call: &CallSpec) -> LedgerEntry {
        let started = Instant::now();
        let mut entry = LedgerEntry {
            id: call.id.clone(),
            service: call.service.clone(),
            at_most_once: call.at_most_once,
            outcome: None,
            detail: String::new(),
            wrong: false,
            took: Duration::ZERO,
        };
        let found = match self.lookup(&call.service).await {
            Ok(found) => found,
            Err(error) => {
                entry.detail = format!("look-up: {error}");
                entry.took = started.elapsed();
                // Nothing was sent, so nothing can have been executed.
                entry.outcome = Some(Outcome::NotRun);
                return entry;
            }
        };
        let number = self
            .next_number
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let mut sent_to: Option<&FoundEntry> = None;
        entry.outcome = Some(Outcome::NotRun);
        entry.detail = "no instance could be reached".to_owned();
        for instance in &found.entries {
            let ticket_source = sent_to.unwrap_or(instance);
            let is_first = sent_to.is_none();
            match self
                .attempt(
                    call,
                    instance.address,
                    &ticket_source.ticket,
                    number,
                    is_first,
                )
                .await
            {
                CallResult::Completed(Outcome::NotRun, _, detail) if detail == "ticket-stale" => {
                    self.invalidate(&call.service);
                    entry.detail = detail;
                }
                CallResult::Completed(outcome, wrong, detail) => {
                    entry.outcome = Some(outcome);
                    entry.wrong = wrong;
                    entry.detail = detail;
                    break;
                }
                CallResult::NotSent => self.invalidate(&call.service),
                CallResult::Interrupted(detail) => {
                    self.invalidate(&call.service);
                    entry.outcome = None;
                    entry.detail = detail;
                    if sent_to.is_some() || started.elapsed() > call.deadline {
                        break;
                    }
                    sent_to = Some(instance);
                }
            }
        }
        entry.took = started.elapsed();
        entry
    }

    fn invalidate(&self, service: &str) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.remove(service);
    }

    async fn lookup(&self, service: &str) -> Result<FoundEntries> {
        if let Some(found) = self.cached_lookup(service) {
            return Ok(found);
        }
        let start = rand::random_range(0..self.spec.lookups.len().max(1));
        let count = self.spec.lookups.len();
        let mut last_error = Error::Response("nowhere to look up".to_owned());
        for step in 0..count {
            let address = self.spec.lookups[(start + step) % count];
            match self.query_entries(address, service).await {
                Ok(found) if !found.entries.is_empty() => {
                    let until = Instant::now() + Duration::from_millis(found.ttl_ms);
                    let cached = CachedLookup {
                        found: found.clone(),
                        until,
                    };
                    let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
                    cache.insert(service.to_owned(), cached);
                    return Ok(found);
                }
                Ok(_) => last_error = Error::Response("the look-up named no instance".to_owned()),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn cached_lookup(&self, service: &str) -> Option<FoundEntries> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = cache.get(service)?;
        (cached.until > Instant::now()).then(|| cached.found.clone())
    }

    async fn query_entries(&self, address: SocketAddr, service: &str) -> Result<FoundEntries> {
        let request = Request::builder()
            .uri(format!("/v1/entries?service={service}"))
            .header("host", address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|cause| Error::Response(cause.to_string()))?;
        let query = async {
            let response = self.send(address, request).await?;
            let body = response.into_body().collect().await;
            let body = body
                .map_err(|cause| Error::Response(cause.to_string()))?
                .to_bytes();
            serde_json::from_slice(&body).map_err(|cause| Error::Response(cause.to_string()))
        };
        tokio::time::timeout(CONNECT_TIMEOUT, query)
            .await
            .unwrap_or_else(|_| Err(Error::Response("no answer in time".to_owned())))
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<tokio::net::TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(self.spec.source, 0))?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let stream = self.connect(address).await?;
        let connection_error = |cause: hyper::Error| Error::Response(cause.to_string());
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(connection_error)?;
        tokio::spawn(connection);
        sender.send_request(request).await.map_err(connection_error)
    }

    async fn attempt(
        &self,
        call: &CallSpec,
        address: SocketAddr,
        ticket: &str,
        number: u64,
        is_first: bool,
    ) -> CallResult {
        let body = vec![b'x'; call.body];
        let expected = response_body(&call.id, call.body as u64, checksum(0, &body));
        let mut request = Request::builder()
            .method(if call.body > 0 { "POST" } else { "GET" })
            .uri(format!("/{}/work", call.service))
            .header("host", address.to_string())
            .header(REQUEST_ID_HEADER, &call.id)
            .header(
                "laurelhill-deadline-ms",
                call.deadline.as_millis().to_string(),
            );
        if let Some(key) = &self.spec.key {
            request = request.header("authorization", format!("Token {key}"));
        }
        if call.at_most_once {
            request = request
                .header("laurelhill-ticket", ticket)
                .header("laurelhill-number", number.to_string())
                .header("laurelhill-attempt", if is_first { "1" } else { "2" });
        }
        let Ok(request) = request.body(Full::new(Bytes::from(body))) else {
            return CallResult::NotSent;
        };
        let exchange = async {
            let response = match self.send(address, request).await {
                Ok(response) => response,
                Err(Error::Socket(_)) => return CallResult::NotSent,
                Err(error) => return CallResult::Interrupted(error.to_string()),
            };
            read_response(response, &expected).await
        };
        tokio::time::timeout(call.deadline + RESPONSE_GRACE, exchange)
            .await
            .unwrap_or_else(|_| CallResult::Interrupted("no answer in time".to_owned()))
    }
}

async fn read_response(response: Response<Incoming>, expected: &str) -> CallResult {
    let status = response.status();
    let outcome = response
        .headers()
        .get(OUTCOME_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(Outcome::parse);
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(cause) => return CallResult::Interrupted(format!("answer cut: {cause}")),
    };
    let Some(outcome) = outcome else {
        return CallResult::Interrupted(format!("status {status} without an outcome"));
    };
    if outcome != Outcome::Done || status != StatusCode::OK {
        let text = String::from_utf8_lossy(&body);
        return CallResult::Completed(outcome, false, problem_kind(&text));
    }
    CallResult::Completed(outcome, body != expected.as_bytes(), String::new())
}

/// Returns the kind of a problem document.
fn problem_kind(text: &str) -> String {
    let document: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let kind = document["type"].as_str().unwrap_or("unreadable");
    kind.trim_start_matches("urn:laurelhill:").to_owned()
}

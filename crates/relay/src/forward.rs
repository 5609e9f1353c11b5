//! One run of a request on a backend server or at another instance.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Request, Response};
use steer::RunResult;

use crate::connect::{ConnectionPool, RequestBody, UsedConnection};
use crate::error::{Error, Result};
use crate::handle::SlotLease;
use crate::names::{DEADLINE_HEADER, HOP_HEADER};

/// Headers that are about one connection only.
const HOP_BY_HOP: [HeaderName; 4] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// What is sent on, apart from the body.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingHead {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
}

impl OutgoingHead {
    /// The request to send to `address`, with the time left until `until`.
    pub(crate) fn request(
        &self,
        address: SocketAddr,
        until: Instant,
        hop: Option<&RegionId>,
        body: RequestBody,
    ) -> Result<Request<RequestBody>> {
        let unsent = |cause: hyper::http::Error| Error::NotSent(cause.to_string());
        let mut request = Request::builder()
            .method(&self.method)
            .uri(&self.path)
            .body(body)
            .map_err(unsent)?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        for name in &HOP_BY_HOP {
            headers.remove(name);
        }
        headers.remove(HOP_HEADER);
        let left = until.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(left));
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            headers.insert(HOST, host);
        }
        if let Some(Ok(hop)) = hop.map(|region| HeaderValue::try_from(region.as_str())) {
            headers.insert(HOP_HEADER, hop);
        }
        Ok(request)
    }
}

/// Sends the request to `address` and waits for the head of its answer until `until`.
pub(crate) async fn exchange(
    pool: &ConnectionPool,
    address: SocketAddr,
    request: Request<RequestBody>,
    until: Instant,
    fresh: bool,
) -> Result<(Response<Incoming>, UsedConnection)> {
    let until = tokio::time::Instant::from_std(until);
    let connecting = pool.checkout(address, fresh);
    let mut connection = tokio::time::timeout_at(until, connecting)
        .await
        .unwrap_or_else(|_| {
            Err(Error::NotSent(
                "the deadline passed while connecting".into(),
            ))
        })?;
    let sending = connection.send(request);
    let response = tokio::time::timeout_at(until, sending)
        .await
        .unwrap_or(Err(Error::Late))?;
    Ok((response, connection))
}

/// Holds a run's slot and connection until its answer has ended.
#[derive(Debug)]
pub(crate) struct StreamGuard {
    pool: Arc<ConnectionPool>,
    connection: Option<UsedConnection>,
    lease: Option<SlotLease>,
}

impl StreamGuard {
    pub(crate) fn new(
        pool: &Arc<ConnectionPool>,
        connection: UsedConnection,
        lease: Option<SlotLease>,
    ) -> Self {
        Self {
            pool: Arc::clone(pool),
            connection: Some(connection),
            lease,
        }
    }

    /// The answer came in whole: the connection may be used again.
    pub(crate) fn completed(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.keep(connection);
        }
        if let Some(mut lease) = self.lease.take() {
            lease.set_result(RunResult::Answered);
        }
    }

    /// The answer was cut: the connection is closed and the run counts as failed.
    pub(crate) fn failed(&mut self) {
        self.connection = None;
        self.lease = None;
    }
}

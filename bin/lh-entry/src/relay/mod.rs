//! Relays requests through another entry while this one can't reach the servers.
//!
//! The peer sends the request to a server or refuses it; it never relays it further. This entry
//! has admitted and counted the request as its caller's, the peer counts what it sends to
//! servers. A request whose peer falls silent may have run, like one whose server does.

mod head;
mod peers;
mod serve;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use base::outcome::OUTCOME_HEADER;
use base::prelude::Outcome;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response, StatusCode};
use place::desired::RouteSpec;
use place::paths::relay::{RelayOutcome, RelayPeer, RelayRequest};
use place::request::{Refusal, RefusalReason};
use platform::headers;

use crate::body::{BodyError, RequestBody, ResponseBody};
use crate::body_reader::JobBody;
use crate::handler::outcome_of;
use crate::job::{AttemptResult, RequestJob};
use crate::pool::ConnectionLease;
use crate::relay::head::{BEHIND, DECLINED_HEADER, NO_PATH, RelayHead};
use crate::reply::{ReadResponse, describe_error, read_response, strip_hop_by_hop_headers};
use crate::response_stream::ResponseStream;
use crate::state::InstanceState;
use crate::stop;

pub(crate) use peers::RelayState;
pub(crate) use serve::{is_relayed, serve};

/// How an attempt at a request reaches a server.
pub(crate) enum AttemptPath {
    /// This entry sends it to a server.
    Direct,
    /// A peer does.
    Peer(RelayPeer),
    /// Neither can.
    None,
}

/// Counts a relayed request at its peer until the outcome is known.
struct RelayGuard {
    state: Rc<InstanceState>,
    address: SocketAddr,
    service: String,
    outcome: RelayOutcome,
}

impl RelayGuard {
    fn finish(mut self, outcome: RelayOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        let (service, outcome) = (&self.service, self.outcome);
        self.state.metrics.on_relayed(outcome);
        let mut planner = self.state.relay.planner.borrow_mut();
        planner.on_outcome(Instant::now(), self.address, service, outcome);
    }
}

impl RequestJob {
    /// Returns how to reach a server for the next attempt.
    pub(crate) fn attempt_path(&mut self, route: &RouteSpec) -> AttemptPath {
        let Some(part) = route.parts.get(self.part) else {
            return AttemptPath::Direct;
        };
        if !self.state.placer.borrow().has_lost_path(&part.service) {
            return AttemptPath::Direct;
        }
        if self.progress.is_relayed {
            return AttemptPath::None;
        }
        let request = RelayRequest {
            service: &part.service,
            homes: &self.policy.home_regions,
            tried: &self.progress.tried_peers,
        };
        let peer = self.state.relay.choose(Instant::now(), &request);
        match peer {
            Some(peer) => AttemptPath::Peer(peer),
            None => AttemptPath::None,
        }
    }

    /// The refusal of a request that reaches no server on any path.
    pub(crate) fn no_path_refusal(&self) -> Refusal {
        let refusal = self.progress.peer_refusal;
        refusal.unwrap_or_else(|| self.state.placer.borrow_mut().no_path_refusal())
    }

    /// Sends the request to `peer`.
    pub(crate) async fn relay(
        &mut self,
        route: &RouteSpec,
        peer: &RelayPeer,
        body: &mut JobBody,
    ) -> AttemptResult {
        let service = route.parts.get(self.part);
        let guard = RelayGuard {
            state: Rc::clone(&self.state),
            address: peer.address,
            service: service.map_or(String::new(), |part| part.service.clone()),
            outcome: RelayOutcome::Broken,
        };
        self.progress.tried_peers.push(peer.address);
        self.record.on_relayed(peer.address);
        let mut lease = match self.connect_to_peer(route, peer).await {
            Ok(lease) => lease,
            Err(reason) => {
                guard.finish(RelayOutcome::Unreachable);
                self.record.on_attempt_result(&reason);
                return AttemptResult::Unsent;
            }
        };
        let Some(request) = self.build_relayed(route, body) else {
            return AttemptResult::Broken;
        };
        let time_left = self.deadline_at.saturating_duration_since(Instant::now());
        let Some(sender) = lease.sender(body.size(), time_left) else {
            guard.finish(RelayOutcome::Unreachable);
            return AttemptResult::Unsent;
        };
        let sending = sender.try_send_request(request);
        let response = match stop::in_time(&self.state, self.deadline_at, sending).await {
            Err(_) => {
                self.record.on_attempt_result("no answer in time");
                return AttemptResult::OutOfTime;
            }
            Ok(Err(error)) => {
                self.record
                    .on_attempt_result(&describe_error(error.error()));
                if let Some(failure) = BodyError::of(error.error()) {
                    return AttemptResult::Incomplete(failure.status());
                }
                if error.message().is_some() {
                    guard.finish(RelayOutcome::Unreachable);
                    return AttemptResult::Unsent;
                }
                return AttemptResult::Broken;
            }
            Ok(Ok(response)) => response,
        };
        lease.on_head();
        let (parts, body) = response.into_parts();
        let status = parts.status;
        self.record.on_response(status, None);
        let mut response = Response::from_parts(parts, ());
        let outcome = outcome_of(&response);
        if !response.headers().contains_key(OUTCOME_HEADER) {
            // An entry of a release without relays, which has run nothing.
            guard.finish(RelayOutcome::Unreachable);
            return AttemptResult::Declined;
        }
        if outcome == Outcome::NotRun {
            let declined = declined_outcome(response.headers());
            guard.finish(declined.unwrap_or(RelayOutcome::Passed));
            if declined.is_none() {
                self.progress.peer_refusal = Some(peer_refusal(response.headers()));
            }
            return AttemptResult::Declined;
        }
        if outcome == Outcome::Unknown {
            guard.finish(RelayOutcome::Passed);
            return if status == StatusCode::GATEWAY_TIMEOUT {
                AttemptResult::OutOfTime
            } else {
                AttemptResult::Broken
            };
        }
        let reading = read_response(&self.state, body);
        let ReadResponse {
            bytes,
            rest,
            lease: memory,
        } = match stop::in_time(&self.state, self.deadline_at, reading).await {
            Err(_) => {
                self.record.on_attempt_result("answer not complete in time");
                return AttemptResult::OutOfTime;
            }
            Ok(Err(error)) => {
                self.record.on_attempt_result(&describe_error(&error));
                return AttemptResult::Broken;
            }
            Ok(Ok(read)) => read,
        };
        guard.finish(RelayOutcome::Passed);
        self.record_response_size(response.headers(), bytes.len());
        let headers = response.headers_mut();
        strip_hop_by_hop_headers(headers);
        headers.remove(HeaderName::from_static(OUTCOME_HEADER));
        let body = match rest {
            Some(rest) => {
                let limit = self.stream_limit(route);
                let stream = ResponseStream::new(&self.state, bytes, rest, lease, limit);
                ResponseBody::streamed(stream)
            }
            None => {
                self.state.pool.release_for(lease, peers::KEEP_ALIVE);
                ResponseBody::buffered(bytes)
            }
        };
        AttemptResult::Responded(response.map(|()| body.with_lease(memory)))
    }

    async fn connect_to_peer(
        &self,
        route: &RouteSpec,
        peer: &RelayPeer,
    ) -> Result<ConnectionLease, String> {
        let name = peers::pool_key(peer.address);
        let avoid_stale = !route.kind.may_repeat();
        if let Some(lease) = self.state.pool.take(&name, avoid_stale) {
            return Ok(lease);
        }
        let time_left = self.deadline_at.saturating_duration_since(Instant::now());
        self.state.pool.open(&name, peer.address, time_left).await
    }

    fn build_relayed(&self, route: &RouteSpec, body: &mut JobBody) -> Option<Request<RequestBody>> {
        let body = body.take_request_body()?;
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.path_and_query()?.as_str())
            .body(body)
            .ok()?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        strip_hop_by_hop_headers(headers);
        self.caller.write_platform_headers(headers);
        let head = RelayHead {
            time_left: self.deadline_at.saturating_duration_since(Instant::now()),
            version: self.state.version(),
            service: route.parts.get(self.part)?.service.clone(),
            home_regions: self.policy.home_regions.clone(),
            priority: self.policy.priority,
            team: self.policy.team_name().map(str::to_owned),
            returning: self.record.returning,
            attempts_left: route
                .max_attempts
                .saturating_sub(self.progress.failed_attempts),
        };
        head.write(headers);
        Some(request)
    }
}

/// Returns what it means for a peer that it wants the request to be relayed through another one;
/// `None` if it doesn't.
fn declined_outcome(response_headers: &HeaderMap) -> Option<RelayOutcome> {
    let reason = response_headers.get(DECLINED_HEADER)?;
    Some(if reason == NO_PATH {
        RelayOutcome::NoPath
    } else if reason == BEHIND {
        RelayOutcome::Broken
    } else {
        RelayOutcome::Unreachable
    })
}

/// Returns the refusal that a peer responded with.
fn peer_refusal(response_headers: &HeaderMap) -> Refusal {
    Refusal {
        reason: RefusalReason::Full,
        retry_after: headers::parse_retry_after(response_headers).unwrap_or_default(),
    }
}

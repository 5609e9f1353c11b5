//! Handles a server's response to an attempt.

use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode, header};
use place::desired::RouteSpec;
use place::request::ServerOutcome;
use platform::headers::{self, ServerHeaders};

use crate::attempt::AttemptGuard;
use crate::body::ResponseBody;
use crate::body_reader::JobBody;
use crate::connect::{ahead, reuse};
use crate::job::{AttemptResult, RequestJob};
use crate::pool::ConnectionLease;
use crate::reply::{
    ReadResponse, describe_error, is_valid_response, read_response, strip_hop_by_hop_headers,
};
use crate::response_stream::{ResponseStream, StreamLimit};
use crate::statements;
use crate::stop;

impl RequestJob {
    pub(super) async fn handle_response(
        &mut self,
        route: &RouteSpec,
        mut guard: AttemptGuard,
        lease: ConnectionLease,
        (response, sent): (Response<Incoming>, &JobBody),
    ) -> AttemptResult {
        let (parts, body) = response.into_parts();
        let head = headers::parse_server(parts.status, &parts.headers);
        if !self.matches_request(&head, &lease) {
            guard.finish(ServerOutcome::Broken, None);
            self.record.on_attempt_result("answer to another request");
            return AttemptResult::Broken;
        }
        if parts.status != StatusCode::MISDIRECTED_REQUEST {
            statements::on_response(&self.state, &guard.placement, &head, &parts.headers);
            ahead::on_response(&self.state, &guard.placement, &parts.headers);
        }
        if head.not_executed {
            let outcome = if parts.status == StatusCode::MISDIRECTED_REQUEST {
                ServerOutcome::Misdirected
            } else {
                ServerOutcome::Full
            };
            guard.finish(outcome, head.report.as_ref());
            self.record.on_response(parts.status, head.report.as_ref());
            if outcome == ServerOutcome::Full {
                reuse::release_unread(&self.state, lease, (parts.headers, body), sent);
            }
            return AttemptResult::NotRun;
        }
        if !is_valid_response(parts.status, &parts.headers, &head) {
            guard.finish(ServerOutcome::Broken, None);
            self.record
                .on_attempt_result(&format!("unsound answer ({})", parts.status.as_u16()));
            return AttemptResult::Broken;
        }
        let reading = read_response(&self.state, body);
        let ReadResponse {
            bytes,
            rest,
            lease: memory,
        } = match stop::in_time(&self.state, self.deadline_at, reading).await {
            Err(_) => {
                guard.finish(ServerOutcome::OutOfTime, None);
                self.record.on_attempt_result("answer not complete in time");
                return AttemptResult::OutOfTime;
            }
            Ok(Err(error)) => {
                guard.finish(ServerOutcome::Broken, None);
                self.record.on_attempt_result(&describe_error(&error));
                self.on_connection_lost(route, &guard.placement, sent);
                return AttemptResult::Broken;
            }
            Ok(Ok(read)) => read,
        };
        self.record_response_size(&parts.headers, bytes.len());
        let good = !parts.status.is_server_error();
        guard.finish(ServerOutcome::Answered { good }, head.report.as_ref());
        self.record.on_response(parts.status, head.report.as_ref());
        let body = match rest {
            Some(rest) => {
                let limit = self.stream_limit(route);
                let stream = ResponseStream::new(&self.state, bytes, rest, lease, limit);
                ResponseBody::streamed(stream)
            }
            None => {
                // A server that responds before it has read the whole upload may still wait for
                // the rest of it.
                if parts.status.is_success() {
                    self.state.pool.release(lease, &parts.headers);
                } else if sent.buffered().is_some() {
                    lease.on_complete();
                }
                ResponseBody::buffered(bytes)
            }
        };
        let mut response = Response::new(body.with_lease(memory));
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_by_hop_headers(response.headers_mut());
        if good {
            AttemptResult::Responded(response)
        } else {
            AttemptResult::Failed(response)
        }
    }

    /// The limit for a response that is forwarded while it arrives.
    pub(crate) fn stream_limit(&self, route: &RouteSpec) -> StreamLimit {
        StreamLimit::new(self.caller.deadline.or(route.timeout), self.deadline_at)
    }

    /// Records the size of a response of which `read` bytes have arrived.
    pub(crate) fn record_response_size(&self, headers: &HeaderMap, read: usize) {
        let stated = headers.get(header::CONTENT_LENGTH);
        let stated = stated.and_then(|length| length.to_str().ok()?.parse().ok());
        if let Some(route) = &self.record.route {
            let mut placer = self.state.placer.borrow_mut();
            placer.on_answer_size(route, stated.unwrap_or(read as u64));
        }
    }

    /// Whether the response belongs to this request. A response without a request id is accepted
    /// only on a connection that has carried no other request.
    pub(super) fn matches_request(&self, head: &ServerHeaders, lease: &ConnectionLease) -> bool {
        match &head.request_id {
            Some(id) => self.caller.request_id.as_ref() == Some(id),
            None => !lease.reused,
        }
    }
}

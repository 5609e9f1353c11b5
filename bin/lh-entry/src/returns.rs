//! Exchanges promises to refused callers with other entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::message::PeerMessage;
use place::rank::stable_hash;
use place::request::{PlacementRequest, Refusal};
use place::returns::message::ReturnMessage;
use tokio::net::UdpSocket;

use crate::fleet::send;
use crate::job::RequestJob;
use crate::state::InstanceState;

/// Records that the caller of `job` is refused.
pub(crate) fn on_refused(job: &RequestJob, refusal: Refusal) {
    let (Some(route), Some(deadline)) = (&job.record.route, job.caller.deadline) else {
        return;
    };
    let now = Instant::now();
    let deadline_at = job.record.started_at + deadline;
    let request = PlacementRequest {
        resubmitted: job.record.returning,
        ..PlacementRequest::new(route, job.part).with_object(job.object)
    };
    let remaining = deadline_at.saturating_duration_since(now);
    let mut placer = job.state.placer.borrow_mut();
    placer.on_refused(now, &request, remaining, refusal.retry_after);
}

/// Sends the promises since the last report to the entries at `targets`, if there are any.
pub(crate) async fn send_report(state: &InstanceState, socket: &UdpSocket, targets: &[SocketAddr]) {
    let report = state.placer.borrow_mut().own_returns(Instant::now());
    if report.promises.is_empty() {
        return;
    }
    let message = PeerMessage::Returns(ReturnMessage {
        entry: stable_hash(state.config.instance.as_bytes()),
        report,
    });
    send(socket, targets, &message).await;
}

/// Applies the promises of another entry, which may have waited in the socket for `stall`.
pub(crate) fn on_peer_report(state: &InstanceState, message: &ReturnMessage, stall: Duration) {
    let now = Instant::now();
    let received_at = now.checked_sub(stall).unwrap_or(now);
    let mut placer = state.placer.borrow_mut();
    placer.on_peer_returns(received_at, &message.report);
    let expected = placer.expected_returns();
    state.metrics.expected_returns.set(expected as i64);
}

//! Records what servers say of themselves in their responses, and exchanges it with other
//! entries.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use place::fleet::message::{PeerMessage, StatementMessage};
use place::rank::stable_hash;
use place::request::Placement;
use place::statement::StatementChange;
use place::statement::message::StatementReport;
use platform::headers::{self, ServerHeaders};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::fleet::send;
use crate::load_reports::all_recipients;
use crate::state::InstanceState;

/// Minimum interval between two urgent reports, for each entry that receives them: a large fleet
/// gets at most 400 datagrams a second from an entry.
const URGENT_INTERVAL_PER_ENTRY: Duration = Duration::from_micros(2500);

/// Schedules the reports on requests to servers with a rate limit, which must reach other
/// entries at once.
#[derive(Debug, Default)]
pub(crate) struct UrgentReporter {
    /// Notified when such a request is sent.
    wake: Notify,
    /// Earliest time of the next report.
    next_at: Cell<Option<Instant>>,
}

impl UrgentReporter {
    /// Records that the request of `placement` is sent.
    pub(crate) fn on_sent(&self, placement: &Placement) {
        if placement.takes_room {
            self.wake.notify_one();
        }
    }

    /// Waits until an urgent report is due.
    pub(crate) async fn due(&self) {
        self.wake.notified().await;
        // A cancelled wait must not lose the notification.
        self.wake.notify_one();
        if let Some(next_at) = self.next_at.get() {
            sleep_until(next_at.into()).await;
        }
        self.wake.notified().await;
    }
}

/// Records what the response to the request of `placement` says of its server.
pub(crate) fn on_response(
    state: &InstanceState,
    placement: &Placement,
    head: &ServerHeaders,
    response_headers: &HeaderMap,
) {
    let server = placement.id.as_str();
    state
        .header_audit
        .on_response(server, response_headers, &state.metrics);
    for name in &head.invalid {
        state.header_audit.on_invalid(server, name, &state.metrics);
    }
    if headers::parse_instance_id(response_headers).is_some_and(|id| id != server) {
        // The answer is another server's.
        return;
    }
    if let Some(rest) = head.statement.rest {
        state.metrics.rests.inc();
        let rest_ms = rest.as_millis() as u64;
        log::info!(server, rest_ms; "server asks for rest");
    }
    let mut placer = state.placer.borrow_mut();
    let changes = placer.on_statement(Instant::now(), placement, &head.statement);
    if changes.is_empty() {
        return;
    }
    for change in changes {
        match change {
            StatementChange::Limited(rate) => {
                log::info!(server, rate; "server names a rate limit");
            }
            StatementChange::Unlimited => {
                log::info!(server; "server names no rate limit any more");
            }
            StatementChange::Leaving => log::info!(server; "server says that it is leaving"),
        }
    }
    let limited = placer.statements().limited_count();
    state.metrics.limited_servers.set(limited as i64);
}

/// Sends the periodic report on servers to the entries at `targets`, unless it is empty.
pub(crate) async fn send_report(state: &InstanceState, socket: &UdpSocket, targets: &[SocketAddr]) {
    let report = state.placer.borrow_mut().own_statements(Instant::now());
    send_statements(state, socket, targets, report).await;
}

/// Reports the requests that were just sent to servers with a rate limit to all other entries.
pub(crate) async fn send_urgent_report(state: &InstanceState, socket: &UdpSocket) {
    let now = Instant::now();
    let targets = all_recipients(state);
    let interval = URGENT_INTERVAL_PER_ENTRY * targets.len() as u32;
    state.urgent_reports.next_at.set(Some(now + interval));
    let report = state.placer.borrow_mut().urgent_statements(now);
    send_statements(state, socket, &targets, report).await;
}

async fn send_statements(
    state: &InstanceState,
    socket: &UdpSocket,
    targets: &[SocketAddr],
    report: StatementReport,
) {
    if report.is_empty() {
        return;
    }
    let message = PeerMessage::Statements(StatementMessage {
        entry: stable_hash(state.config.instance.as_bytes()),
        report,
    });
    send(socket, targets, &message).await;
}

/// Applies the report of another entry, which may have waited in the socket for `stall`.
pub(crate) fn on_peer_report(state: &InstanceState, message: &StatementMessage, stall: Duration) {
    let now = Instant::now();
    let received_at = now.checked_sub(stall).unwrap_or(now);
    let mut placer = state.placer.borrow_mut();
    placer.on_peer_statements(received_at, message.entry, &message.report);
    let limited = placer.statements().limited_count();
    state.metrics.limited_servers.set(limited as i64);
}

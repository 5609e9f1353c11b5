//! Exchanges the regions' shares of room with other entries, and reports them to operators.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::message::{PeerMessage, ShareMessage};
use place::prelude::RequestPlacer;
use place::rank::stable_hash;
use place::shares::ServiceState;
use prometheus::{Gauge, Registry};
use tokio::net::UdpSocket;

use crate::error::Result;
use crate::fleet::send;
use crate::state::InstanceState;

/// Minimum interval between two reports to the other entries.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between two lines on a service.
const LINE_INTERVAL: Duration = Duration::from_secs(2);

/// Metrics and log lines on the regions' shares of room.
#[derive(Debug)]
pub(crate) struct ShareMonitor {
    travel_credit: Gauge,
    logged: RefCell<HashMap<String, LoggedState>>,
    reported_at: Cell<Option<Instant>>,
}

/// What the last line on a service said.
#[derive(Debug, Clone, Copy)]
struct LoggedState {
    at: Instant,
    has_credit: bool,
}

impl ShareMonitor {
    /// Registers the metrics.
    ///
    /// # Errors
    /// Fails if a metric is registered twice.
    pub(crate) fn new(registry: &Registry) -> Result<Self> {
        let travel_credit = Gauge::new(
            "laurelhill_travel_credit",
            "Part of the round trip that doesn't count against the time for which requests may queue, largest of all services",
        )?;
        registry.register(Box::new(travel_credit.clone()))?;
        Ok(Self {
            travel_credit,
            logged: RefCell::default(),
            reported_at: Cell::default(),
        })
    }

    /// Whether a report is due; if so, counts it as sent.
    fn take_report(&self, now: Instant) -> bool {
        let is_due = self
            .reported_at
            .get()
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if is_due {
            self.reported_at.set(Some(now));
        }
        is_due
    }

    /// Records the present state of all services.
    fn update(&self, now: Instant, placer: &RequestPlacer) {
        let Some(shares) = placer.shares() else {
            return;
        };
        let mut largest_credit = 0.0_f64;
        for state in shares.states(now) {
            largest_credit = largest_credit.max(state.travel_credit);
            self.log(now, &state);
        }
        self.travel_credit.set(largest_credit);
    }

    fn log(&self, now: Instant, state: &ServiceState<'_>) {
        let mut logged = self.logged.borrow_mut();
        let has_credit = state.travel_credit > 0.0;
        let is_known = match logged.get(state.service) {
            Some(known) => {
                now.saturating_duration_since(known.at) < LINE_INTERVAL
                    || known.has_credit == has_credit
            }
            None => !has_credit,
        };
        if is_known {
            return;
        }
        let service = state.service;
        let own_placed = state.share.map_or(1.0, |share| share.own);
        let all_placed = state.share.map_or(1.0, |share| share.mean);
        let travel_credit = state.travel_credit;
        log::info!(service, own_placed, all_placed, travel_credit; "room of the regions compared");
        logged.insert(
            service.to_owned(),
            LoggedState {
                at: now,
                has_credit,
            },
        );
    }
}

/// Sends this entry's counts to the entries at `targets`, unless there are none or they were
/// sent shortly before.
pub(crate) async fn send_report(state: &InstanceState, socket: &UdpSocket, targets: &[SocketAddr]) {
    let now = Instant::now();
    let report = state.placer.borrow().own_shares(now);
    if report.is_empty() || !state.metrics.shares.take_report(now) {
        return;
    }
    state.metrics.shares.update(now, &state.placer.borrow());
    let message = PeerMessage::Shares(ShareMessage {
        entry: stable_hash(state.config.instance.as_bytes()),
        report,
    });
    send(socket, targets, &message).await;
}

/// Applies the counts of another entry.
pub(crate) fn on_peer_report(state: &InstanceState, message: &ShareMessage) {
    let mut placer = state.placer.borrow_mut();
    placer.on_peer_shares(Instant::now(), message.entry, &message.report);
}

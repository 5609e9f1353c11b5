//! Rollouts: selects the version that processes a request and exchanges request counts with
//! other entries.

use std::cell::{Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::fleet::clock::StoreTime;
use place::fleet::message::{PeerMessage, RolloutMessage};
use place::prelude::*;
use place::rank::stable_hash;
use rollout::controller::RolloutEvent;
use rollout::evidence::ALL_ROUTES;
use rollout::prelude::*;
use rollout::sends::CHECK_INTERVAL;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::config::EntryConfig;
use crate::fleet::send;
use crate::state::InstanceState;

/// Interval at which an entry without an active rollout looks for one.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// State of the known rollouts.
#[derive(Debug)]
pub(crate) struct RolloutState {
    controller: RefCell<RolloutController>,
    /// Notified when a change has to be written to the store.
    pub(crate) wake: Notify,
    /// Notified when a version is found to be bad and other entries have to be informed.
    pub(crate) verdict: Notify,
}

impl RolloutState {
    /// Creates the state of an entry that is starting.
    pub(crate) fn new(config: &EntryConfig, incarnation: u64) -> Self {
        let bounds = RolloutConfig {
            exposure_share: config.exposure.share,
            exposure_slack: config.exposure.slack,
            run: incarnation,
        };
        let schedule = CanarySchedule::new(bounds.exposure_share);
        Self {
            controller: RefCell::new(RolloutController::new(Instant::now(), bounds, schedule)),
            wake: Notify::new(),
            verdict: Notify::new(),
        }
    }

    /// Borrows the controller for reading.
    pub(crate) fn controller(&self) -> Ref<'_, RolloutController> {
        self.controller.borrow()
    }

    /// Sets how many entries get requests, and whether this one is among them.
    pub(crate) fn set_entries(&self, entries: usize, is_listed: bool) {
        self.controller.borrow_mut().set_entries(entries, is_listed);
    }

    /// Records that a server of `service` runs `version`; see [`RolloutController::on_server`].
    pub(crate) fn on_server(&self, service: &str, version: &str, is_first: bool) {
        let mut controller = self.controller.borrow_mut();
        controller.on_server(Instant::now(), service, version, is_first);
    }

    /// Handles an operator's rollout order.
    pub(crate) fn on_order(&self, order: &RolloutOrder) {
        self.change(|now, controller| controller.on_order(now, order));
    }

    /// Handles the cancellation of the order for `service`.
    pub(crate) fn on_withdrawn(&self, service: &str) {
        self.change(|now, controller| controller.on_withdrawn(now, service));
    }

    /// Handles that `orders` is the complete set of orders: all others were cancelled.
    pub(crate) fn on_all_orders(&self, orders: &[&RolloutOrder]) {
        let known: Vec<String> = {
            let controller = self.controller.borrow();
            let records = controller.records();
            records.map(|record| record.order.service.clone()).collect()
        };
        for service in known {
            if orders.iter().all(|order| order.service != service) {
                self.on_withdrawn(&service);
            }
        }
    }

    /// Handles a record from another entry, or from the store if `is_stored`. `latest` is an
    /// upper bound on the current time of the store's clock.
    pub(crate) fn on_record(&self, record: &RolloutRecord, latest: StoreTime, is_stored: bool) {
        self.change(|now, controller| {
            let age = Duration::from_millis(latest.0.saturating_sub(record.begun));
            let is_known = latest.is_some() && record.begun > 0;
            let begun = is_known.then(|| now.checked_sub(age)).flatten();
            controller.on_record(now, record, begun, is_stored);
        });
    }

    /// Handles that the store came back from an older copy.
    pub(crate) fn on_store_restored(&self) {
        self.controller.borrow_mut().on_store_restored();
        self.wake.notify_one();
    }

    /// Handles another entry's request counts.
    pub(crate) fn on_peer_counts(&self, message: &RolloutMessage) {
        self.change(|now, controller| controller.on_report(now, message.entry, &message.report));
    }

    /// Records that a request is sent to the server of `placement`. During a rollout of `service`
    /// returns a token for the request, and whether it goes to the new version.
    pub(crate) fn on_sent(
        &self,
        now: Instant,
        route: &RouteSpec,
        service: &str,
        placement: &Placement,
    ) -> Option<(SendToken, bool)> {
        let mut controller = self.controller.borrow_mut();
        if !controller.is_active() {
            return None;
        }
        let send = VersionSend {
            service,
            version: &placement.version,
            route: stable_hash(route.name.as_bytes()).max(ALL_ROUTES + 1),
            server: placement.handle.run(),
            is_cold: placement.reason.cold,
            expected: Duration::from_secs_f64(placement.reason.expected.max(0.0) / 1000.0),
        };
        controller.on_sent(now, &send)
    }

    /// Records the outcome of a request.
    pub(crate) fn on_outcome(&self, token: SendToken, outcome: ServerOutcome) {
        let outcome = match outcome {
            ServerOutcome::Answered { good: true } => SendOutcome::Answered,
            ServerOutcome::Answered { good: false } | ServerOutcome::Broken => SendOutcome::Failed,
            ServerOutcome::OutOfTime => SendOutcome::TimedOut,
            ServerOutcome::Full
            | ServerOutcome::Misdirected
            | ServerOutcome::Unreachable
            | ServerOutcome::Withdrawn
            | ServerOutcome::Abandoned => SendOutcome::Inconclusive,
        };
        self.change(|now, controller| controller.on_outcome(now, token, outcome));
    }

    fn change(&self, change: impl FnOnce(Instant, &mut RolloutController)) {
        let mut controller = self.controller.borrow_mut();
        change(Instant::now(), &mut controller);
        let events = controller.take_events();
        if controller.take_verdict() {
            self.verdict.notify_one();
        }
        drop(controller);
        if !events.is_empty() {
            self.wake.notify_one();
        }
        for event in events {
            log_event(&event);
        }
    }
}

/// Chooses a server for `request` among those whose version may process it.
///
/// # Errors
/// Returns the refusal if no server should get the request.
pub(crate) fn place(
    state: &InstanceState,
    now: Instant,
    request: &PlacementRequest<'_>,
) -> Result<Placement, Refusal> {
    let part = request.route.parts.get(request.part);
    let service = part.map_or("", |part| part.service.as_str());
    let mut controller = state.rollouts.controller.borrow_mut();
    let is_repeat = !request.tried.is_empty();
    let choice = controller.choose(now, service, is_repeat, operator_age(state));
    let (filter, fallback) = controller.filters(service, choice);
    let mut placer = state.placer.borrow_mut();
    let placed = placer.place(now, &request.with_versions(filter));
    let (Err(refusal), Some((filter, is_last_resort))) = (&placed, fallback) else {
        return placed;
    };
    if is_last_resort && refusal.reason != RefusalReason::NoServer {
        return placed;
    }
    let placed = placer.place(now, &request.with_versions(filter));
    if choice == VersionChoice::New {
        controller.on_diverted(service);
    }
    placed
}

/// Returns the age of the last information on the operator's rows.
fn operator_age(state: &InstanceState) -> Option<Duration> {
    let known_at = state.fleet.known().operator_at?;
    Some(known_at.elapsed())
}

/// Sends the request counts of rollouts to `recipients` and to all leads. A lead that gets no
/// requests isn't among `recipients`.
pub(crate) async fn send_reports(
    state: &InstanceState,
    socket: &UdpSocket,
    recipients: &[SocketAddr],
) {
    if !state.rollouts.controller().is_active() {
        return;
    }
    let Some(report) = state.rollouts.controller().report(Instant::now()) else {
        return;
    };
    let mut targets = recipients.to_vec();
    state.fleet.with_regions(|now, regions| {
        for region in regions.active_regions(now) {
            let leads = regions
                .candidates(region)
                .iter()
                .filter(|candidate| candidate.leads);
            targets.extend(leads.map(|candidate| candidate.peer_address));
        }
    });
    targets.sort_unstable();
    targets.dedup();
    targets.retain(|target| *target != state.config.peer_address);
    let message = RolloutMessage {
        entry: stable_hash(state.config.instance.as_bytes()),
        report,
    };
    send(socket, &targets, &PeerMessage::Rollout(message)).await;
}

/// Looks for overdue requests while a rollout is active. Runs until the process ends.
pub(crate) async fn check_overdue(state: Rc<InstanceState>) {
    loop {
        let is_active = state.rollouts.controller().is_active();
        if is_active {
            state
                .rollouts
                .change(|now, controller| controller.check_overdue(now));
        }
        let interval = if is_active {
            CHECK_INTERVAL
        } else {
            IDLE_CHECK_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

fn log_event(event: &RolloutEvent) {
    let (service, version) = (event.service.as_str(), event.version.as_str());
    let phase = event.phase.as_str();
    let Some(verdict) = event.verdict else {
        log::info!(service, version, phase; "rollout");
        return;
    };
    let (new, old) = (verdict.new, verdict.old);
    let route = if verdict.route == ALL_ROUTES {
        "all".to_owned()
    } else {
        format!("{:016x}", verdict.route)
    };
    let why = if verdict.fails {
        "failures"
    } else {
        "slow answers"
    };
    log::warn!(
        service, version, why, route = route.as_str(),
        new_good = new.good, new_failed = new.failed, new_slow = new.slow,
        old_good = old.good, old_failed = old.failed, old_slow = old.slow;
        "version is bad and gets no more requests"
    );
}

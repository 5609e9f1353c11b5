//! Rollouts: which version a request runs on, what is told of that, and, at entries that
//! lead, the rows in which it is agreed how far a rollout is.

use std::cell::{Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::fleet::clock::StoreTime;
use place::fleet::message::{PeerMessage, RolloutMessage};
use place::prelude::*;
use place::rank::stable_hash;
use platform::rollouts::status_write;
use platform::tables::PlatformClient;
use rollout::controller::RolloutEvent;
use rollout::evidence::ALL_ROUTES;
use rollout::prelude::*;
use store::{CommitOutcome, ENTRY_TABLE, ROLLOUT_PREFIX, Row, RowWrite, TableService};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::config::EntryConfig;
use crate::fleet::send;
use crate::state::InstanceState;
use crate::watch::PATIENCE;

/// Time between two looks of a lead whether an open rollout goes on.
const TEND_EVERY: Duration = Duration::from_millis(250);
/// Time between two looks at the row of one that doesn't: another lead may have written.
const READ_EVERY: Duration = Duration::from_secs(1);

/// The rollouts as this entry knows them.
#[derive(Debug)]
pub(crate) struct RolloutDesk {
    book: RefCell<RolloutController>,
    /// Something changed that the store should say.
    wake: Notify,
    /// A version was found to be bad, and the other entries are to be told.
    pub(crate) verdict: Notify,
}

impl RolloutDesk {
    /// The desk of an entry that starts now.
    pub(crate) fn new(config: &EntryConfig, incarnation: u64) -> Self {
        let bounds = RolloutConfig {
            exposure_share: config.exposure.share,
            exposure_slack: config.exposure.slack,
            run: incarnation,
        };
        let schedule = CanarySchedule::new(bounds.exposure_share);
        Self {
            book: RefCell::new(RolloutController::new(Instant::now(), bounds, schedule)),
            wake: Notify::new(),
            verdict: Notify::new(),
        }
    }

    /// Looks something up.
    pub(crate) fn book(&self) -> Ref<'_, RolloutController> {
        self.book.borrow()
    }

    /// Sets how many entries get requests, and whether this one is among them.
    pub(crate) fn set_entries(&self, entries: usize, is_listed: bool) {
        self.book.borrow_mut().set_entries(entries, is_listed);
    }

    /// A server of `service` has `version`; see [`RolloutController::on_server`].
    pub(crate) fn on_server(&self, service: &str, version: &str, is_first: bool) {
        let mut book = self.book.borrow_mut();
        book.on_server(Instant::now(), service, version, is_first);
    }

    /// The operator ordered a rollout.
    pub(crate) fn on_order(&self, order: &RolloutOrder) {
        self.change(|now, book| book.on_order(now, order));
    }

    /// The operator took the order for `service` back.
    pub(crate) fn on_withdrawn(&self, service: &str) {
        self.change(|now, book| book.on_withdrawn(now, service));
    }

    /// The operator's rows hold these orders and no others.
    pub(crate) fn on_all_orders(&self, orders: &[&RolloutOrder]) {
        let known: Vec<String> = {
            let book = self.book.borrow();
            let records = book.records();
            records.map(|record| record.order.service.clone()).collect()
        };
        for service in known {
            if orders.iter().all(|order| order.service != service) {
                self.on_withdrawn(&service);
            }
        }
    }

    /// Another entry told `record`, or the store holds it where `is_stored`; `latest` is the
    /// time that the store's clock has not passed.
    pub(crate) fn on_record(&self, record: &RolloutRecord, latest: StoreTime, is_stored: bool) {
        self.change(|now, book| {
            let age = Duration::from_millis(latest.0.saturating_sub(record.begun));
            let is_known = latest.is_some() && record.begun > 0;
            let begun = is_known.then(|| now.checked_sub(age)).flatten();
            book.on_record(now, record, begun, is_stored);
        });
    }

    /// Another entry's counts.
    pub(crate) fn on_beat(&self, beat: &RolloutMessage) {
        self.change(|now, book| book.on_report(now, beat.entry, &beat.report));
    }

    /// A request goes to the server of `placement`; its token, and whether the new version runs
    /// it, where a rollout of `service` runs.
    pub(crate) fn on_sent(
        &self,
        now: Instant,
        route: &RouteSpec,
        service: &str,
        placement: &Placement,
    ) -> Option<(SendToken, bool)> {
        let mut book = self.book.borrow_mut();
        if !book.is_active() {
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
        book.on_sent(now, &send)
    }

    /// Takes in what became of a request.
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
        self.change(|now, book| book.on_outcome(now, token, outcome));
    }

    fn change(&self, change: impl FnOnce(Instant, &mut RolloutController)) {
        let mut book = self.book.borrow_mut();
        change(Instant::now(), &mut book);
        let notes = book.take_events();
        if book.take_verdict() {
            self.verdict.notify_one();
        }
        drop(book);
        if !notes.is_empty() {
            self.wake.notify_one();
        }
        for note in notes {
            log_note(&note);
        }
    }
}

/// Chooses the server of `request`, of a version that may run it.
///
/// # Errors
/// The refusal, where no server should get it.
pub(crate) fn place(
    state: &InstanceState,
    now: Instant,
    request: &PlacementRequest<'_>,
) -> Result<Placement, Refusal> {
    let part = request.route.parts.get(request.part);
    let service = part.map_or("", |part| part.service.as_str());
    let mut book = state.rollouts.book.borrow_mut();
    let is_repeat = !request.tried.is_empty();
    let choice = book.choose(now, service, is_repeat, operator_age(state));
    let (rule, fallback) = book.filters(service, choice);
    let mut placer = state.placer.borrow_mut();
    let placed = placer.place(now, &request.with_versions(rule));
    let (Err(refusal), Some((rule, is_last_resort))) = (&placed, fallback) else {
        return placed;
    };
    if is_last_resort && refusal.reason != RefusalReason::NoServer {
        return placed;
    }
    let placed = placer.place(now, &request.with_versions(rule));
    if choice == VersionChoice::New {
        book.on_diverted(service);
    }
    placed
}

/// Age of what is known of the operator's rows.
fn operator_age(state: &InstanceState) -> Option<Duration> {
    let known_at = state.fleet.known().operator_at?;
    Some(known_at.elapsed())
}

/// Tells the counts in rollouts to `listeners`, and to leads, which aren't among these where
/// they get no requests.
pub(crate) async fn speak(state: &InstanceState, socket: &UdpSocket, listeners: &[SocketAddr]) {
    if !state.rollouts.book().is_active() {
        return;
    }
    state.rollouts.change(|now, book| book.check_overdue(now));
    let Some(report) = state.rollouts.book().report(Instant::now()) else {
        return;
    };
    let mut targets = listeners.to_vec();
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
    targets.retain(|target| *target != state.config.beat_address);
    let beat = RolloutMessage {
        entry: stable_hash(state.config.instance.as_bytes()),
        report,
    };
    send(socket, &targets, &PeerMessage::Rollout(beat)).await;
}

/// Keeps the rows of open rollouts up to date while this entry leads, until the process ends.
pub(crate) async fn tend(state: Rc<InstanceState>) {
    let mut read_at = Instant::now();
    loop {
        let _ = timeout(TEND_EVERY, state.rollouts.wake.notified()).await;
        if !state.fleet.leads() {
            continue;
        }
        let is_due = read_at.elapsed() >= READ_EVERY;
        if is_due {
            read_at = Instant::now();
        }
        let services = state.rollouts.book().unfinished_services();
        for service in services {
            if is_due || next_record(&state, &service).is_some() {
                tend_one(&state, &service).await;
            }
        }
    }
}

async fn tend_one(state: &InstanceState, service: &str) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(PATIENCE);
    let Some(row) = read_row(state, &client, service).await else {
        return;
    };
    let Some(record) = next_record(state, service) else {
        return;
    };
    let stored = row.as_ref().and_then(decode_record);
    if stored.is_some_and(|stored| !record.is_newer(&stored)) {
        return;
    }
    let revision = row.map_or(0, |row| row.revision);
    if write_record(state, &client, &record, revision).await {
        // What this entry acts on is what the store says, and its version tells others that
        // there is something new.
        read_row(state, &client, service).await;
    }
}

/// What the store should say of the rollout of `service`, where it doesn't.
fn next_record(state: &InstanceState, service: &str) -> Option<RolloutRecord> {
    let book = state.rollouts.book();
    let version = &book.record(service)?.order.version;
    let mut sight = ServerCounts::default();
    let placer = state.placer.borrow();
    for (_, server) in placer.catalog.open_servers(service) {
        if server.entry.version == *version {
            sight.new += 1;
        } else {
            sight.old += 1;
        }
    }
    let store_now = state.fleet.latest_store_time();
    if !store_now.is_some() {
        return None;
    }
    book.next_record(Instant::now(), service, sight, store_now.0)
}

/// The row of the rollout of `service`, which this entry takes in; `None` where the store
/// doesn't answer.
async fn read_row(
    state: &InstanceState,
    client: &PlatformClient,
    service: &str,
) -> Option<Option<Row>> {
    let key = format!("{ROLLOUT_PREFIX}{service}");
    let result = client.read(ENTRY_TABLE, &key).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("rollout", error);
    let row = match result {
        Ok(row) => row,
        Err(error) => {
            log::info!(service, error:%; "row of a rollout not read");
            return None;
        }
    };
    if let Some(row) = &row
        && let Some(record) = decode_record(row)
    {
        let latest = state.fleet.latest_store_time();
        state.rollouts.on_record(&record, latest, true);
        state
            .fleet
            .on_known(|known| known.operator = known.operator.max(row.revision));
    }
    Some(row)
}

/// Writes `record` where its row still has `revision`; whether the store may have done so.
async fn write_record(
    state: &InstanceState,
    client: &PlatformClient,
    record: &RolloutRecord,
    revision: u64,
) -> bool {
    let text = match serde_json::to_string(record) {
        Ok(text) => text,
        Err(error) => {
            log::error!(error:%; "rollout not written");
            return false;
        }
    };
    let key = format!("{ROLLOUT_PREFIX}{}", record.order.service);
    let mut writes = vec![RowWrite::new(ENTRY_TABLE, &key, &text).with_expected(revision)];
    match status_write(record) {
        Ok(status) => writes.extend(status),
        Err(error) => log::error!(error:%; "status of a rollout not written"),
    }
    let result = client.commit(&writes).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("rollout", error);
    let service = record.order.service.as_str();
    let phase = record.phase.as_str();
    match result {
        Ok(CommitOutcome::Done) => log::info!(service, phase; "rollout written"),
        Ok(CommitOutcome::Conflict) => log::info!(service, phase; "another lead wrote the rollout"),
        Err(error) => log::info!(service, phase, error:%; "rollout may not be written"),
    }
    true
}

fn decode_record(row: &Row) -> Option<RolloutRecord> {
    match serde_json::from_str(&row.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(key = row.key.as_str(), error:%; "row of a rollout left out");
            None
        }
    }
}

fn log_note(note: &RolloutEvent) {
    let (service, version) = (note.service.as_str(), note.version.as_str());
    let phase = note.phase.as_str();
    let Some(found) = note.verdict else {
        log::info!(service, version, phase; "rollout");
        return;
    };
    let (new, old) = (found.new, found.old);
    let route = if found.route == ALL_ROUTES {
        "all".to_owned()
    } else {
        format!("{:016x}", found.route)
    };
    let why = if found.fails {
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

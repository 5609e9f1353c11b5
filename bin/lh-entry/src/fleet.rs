//! Drives the fleet state machine: feeds it datagrams and timers, and executes its actions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::crash::fingerprint::RequestFingerprint;
use place::fleet::clock::StoreTime;
use place::fleet::member::{HEARTBEAT_INTERVAL, MemberConfig};
use place::fleet::message::PeerMessage;
use place::fleet::regions::RegionTable;
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::error::{Error, Result};
use crate::region_shares;
use crate::state::InstanceState;
use crate::statements;
use crate::view::ViewClient;
use crate::{load_reports, quarantine, returns, rollout, view, watch as store_watch};

/// Maximum size of a received datagram, in bytes; fits a lead's digest with 16 regions.
const DATAGRAM_BYTES: usize = 16 << 10;
/// Number of datagrams processed in a row before timers are checked.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Time between two iterations of the main loop from which on the process counts as stalled,
/// while datagrams waited. The loop normally runs at least once per [`HEARTBEAT_INTERVAL`]; a
/// longer gap means that the process was stopped or got no CPU time.
const MIN_STALL: Duration = Duration::from_millis(800);

/// The fleet state machine with its pending actions.
#[derive(Debug)]
pub(crate) struct FleetDriver {
    member: RefCell<FleetMember>,
    actions: RefCell<Vec<FleetAction>>,
    wake: Notify,
    /// Whether this entry itself watches the operator's rows in the store.
    pub(crate) watching: watch::Sender<bool>,
    /// Pulls newer state from leads.
    pub(crate) client: RefCell<ViewClient>,
    local_state: RefCell<LocalEntryState>,
}

impl FleetDriver {
    /// Creates the driver of an entry that is starting.
    pub(crate) fn new(config: MemberConfig) -> Self {
        let (watching, _) = watch::channel(false);
        Self {
            member: RefCell::new(FleetMember::new(Instant::now(), config)),
            actions: RefCell::default(),
            wake: Notify::new(),
            watching,
            client: RefCell::default(),
            local_state: RefCell::default(),
        }
    }

    /// Passes `event` to the state machine and queues the resulting actions.
    pub(crate) fn on_event(&self, event: FleetEvent) {
        let mut actions = self.actions.borrow_mut();
        let mut member = self.member.borrow_mut();
        member.on_event(Instant::now(), event, &mut actions);
        if !actions.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Applies `change` to what this entry knows of the store.
    pub(crate) fn update_known(&self, change: impl FnOnce(&mut StoreProgress)) {
        let mut known = self.known();
        change(&mut known);
        self.on_event(FleetEvent::StoreProgress(known));
    }

    /// Passes this entry's own state to the state machine if it has changed.
    fn on_local_state(&self, local_state: LocalEntryState) {
        if *self.local_state.borrow() != local_state {
            self.local_state.replace(local_state.clone());
            self.on_event(FleetEvent::LocalState(local_state));
        }
    }

    /// Returns how current this entry's knowledge of the store is.
    pub(crate) fn known(&self) -> StoreProgress {
        *self.member.borrow().store_progress()
    }

    /// Lets the main loop publish a change of this entry's own state.
    pub(crate) fn on_entry_changed(&self) {
        self.wake.notify_one();
    }

    /// Returns the maximum time since the store confirmed the known operator's rows; `None` if
    /// unknown.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.member.borrow().proof_age(Instant::now())
    }

    /// Returns an upper bound on the current time of the store's clock.
    pub(crate) fn latest_store_time(&self) -> StoreTime {
        self.member.borrow().latest_store_time(Instant::now())
    }

    /// Returns whether this entry is a lead of its region.
    pub(crate) fn leads(&self) -> bool {
        self.member.borrow().leads()
    }

    /// Returns whether this entry is listed as one that gets requests.
    pub(crate) fn is_listed(&self) -> bool {
        self.member.borrow().is_listed()
    }

    /// Returns whether this entry has not heard from any other since its start.
    pub(crate) fn is_isolated(&self) -> bool {
        self.member.borrow().is_isolated()
    }

    /// Returns whether any request may be quarantined or suspected.
    pub(crate) fn has_statuses(&self) -> bool {
        self.member.borrow().has_statuses()
    }

    /// Returns the remaining quarantine time of the request; `None` if it isn't quarantined.
    pub(crate) fn quarantine_left(&self, print: RequestFingerprint) -> Option<Duration> {
        let member = self.member.borrow();
        member.quarantine_left(Instant::now(), print)
    }

    /// Returns the quarantined requests.
    pub(crate) fn quarantined(&self) -> Vec<RequestFingerprint> {
        self.member.borrow().quarantined().collect()
    }

    /// Returns whether successful responses must be checked against suspected requests.
    pub(crate) fn has_suspects(&self) -> bool {
        self.member.borrow().has_suspects(Instant::now())
    }

    /// Clears the request from suspicion after a successful response.
    pub(crate) fn clear_suspect(&self, print: RequestFingerprint) {
        let is_news = self.member.borrow().suspects(print);
        if is_news {
            self.on_event(FleetEvent::Cleared(print));
        }
    }

    /// Calls `look` with the table of all regions.
    pub(crate) fn with_regions<T>(&self, look: impl FnOnce(Instant, &RegionTable) -> T) -> T {
        look(Instant::now(), self.member.borrow().regions())
    }

    fn due(&self) -> Instant {
        self.member.borrow().due(Instant::now())
    }
}

/// Binds the UDP socket for messages of other entries.
///
/// # Errors
/// Fails if the address can't be bound.
pub(crate) fn open(address: SocketAddr) -> Result<UdpSocket> {
    let open = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    open().map_err(|cause| Error::Listen("beats", address, cause))
}

/// Runs the fleet membership until the process ends.
pub(crate) async fn run(state: Rc<InstanceState>, socket: Rc<UdpSocket>) {
    let mut measure = tokio::time::interval(HEARTBEAT_INTERVAL);
    measure.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut next_report_at = Instant::now();
    let mut last_turn_at = Instant::now();
    loop {
        update_local_state(&state);
        state.metrics.readiness.observe(&state);
        perform_actions(&state, &socket).await;
        tokio::select! {
            () = tokio::time::sleep_until(next_report_at.into()) => {
                next_report_at = Instant::now() + load_reports::send_reports(&state, &socket).await;
            }
            () = state.load_reports.wake.notified() => next_report_at = Instant::now(),
            () = state.urgent_reports.due() => {
                statements::send_urgent_report(&state, &socket).await;
            }
            () = state.rollouts.verdict.notified() => {
                rollout::send_reports(&state, &socket, &load_reports::all_recipients(&state)).await;
            }
            () = tokio::time::sleep_until(state.fleet.due().into()) => {
                state.fleet.on_event(FleetEvent::Tick);
            }
            () = state.fleet.wake.notified() => {}
            _ = measure.tick() => {
                let rate = state.request_meter.borrow_mut().measure(HEARTBEAT_INTERVAL.as_secs_f64());
                state.advertised_rate.set(rate.round() as u32);
                observe_quota_entries(&state);
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let stall = Some(last_turn_at.elapsed()).filter(|span| *span >= MIN_STALL);
                    on_datagram(&state, from, &buffer[..length], stall);
                    receive_pending(&state, &socket, &mut buffer, stall);
                }
                Err(error) => log::debug!(error:%; "datagram not received"),
            }
        }
        last_turn_at = Instant::now();
    }
}

fn observe_quota_entries(state: &InstanceState) {
    let mut quota = state.quota.borrow_mut();
    if quota.has_quotas() {
        let (entries, silent) = quota.entry_counts(Instant::now());
        state.metrics.teams.set_quota_entries(entries, silent);
    }
}

/// Passes changes of this entry's own state to the fleet.
pub(crate) fn update_local_state(state: &InstanceState) {
    let stamp = if state.has_own_routes() {
        state.tickets.stamp(Instant::now())
    } else {
        String::new()
    };
    state.fleet.on_local_state(LocalEntryState {
        ready: state.is_ready() && !state.is_cut_off(),
        leaving: state.is_stopping(),
        rate: state.advertised_rate.get(),
        stamp,
        proof_within: state.proof_within(),
    });
}

/// Processes datagrams that are already queued, to amortize one loop iteration over many.
fn receive_pending(
    state: &InstanceState,
    socket: &UdpSocket,
    buffer: &mut [u8],
    stall: Option<Duration>,
) {
    for _ in 0..MAX_DATAGRAMS_PER_TURN {
        let Ok((length, from)) = socket.try_recv_from(buffer) else {
            return;
        };
        on_datagram(state, from, &buffer[..length], stall);
    }
}

/// Processes a datagram that may have waited in the socket for `stall`, and ages a lead's
/// digest accordingly. Otherwise an entry whose leads ended while it was stalled would treat
/// the queued digests as fresh and not ask elsewhere.
fn on_datagram(state: &InstanceState, from: SocketAddr, bytes: &[u8], stall: Option<Duration>) {
    match postcard::from_bytes::<PeerMessage>(bytes) {
        Ok(PeerMessage::Load(report)) => {
            let now = Instant::now();
            if let Some(quota) = &report.quota {
                state.load_reports.on_peer_report(now, from);
                state.quota.borrow_mut().on_report(now, report.entry, quota);
            }
            let mut placer = state.placer.borrow_mut();
            placer.on_peer_load(now, report.entry, report.report);
        }
        Ok(PeerMessage::Statements(message)) => {
            statements::on_peer_report(state, &message, stall.unwrap_or_default());
        }
        Ok(PeerMessage::Returns(message)) => {
            returns::on_peer_report(state, &message, stall.unwrap_or_default());
        }
        Ok(PeerMessage::Shares(message)) => region_shares::on_peer_report(state, &message),
        Ok(PeerMessage::Rollout(report)) => state.rollouts.on_peer_counts(&report),
        Ok(mut message) => {
            if let (PeerMessage::Digest(digest), Some(span)) = (&mut message, stall) {
                digest.store = digest.store.delayed_by(span);
            }
            state.fleet.on_event(FleetEvent::Message(message));
        }
        Err(error) => {
            if state.metrics.on_bad_datagram() == 1 {
                log::warn!(from:%, error:%; "datagram not understood; further ones are counted only");
            }
        }
    }
}

async fn perform_actions(state: &Rc<InstanceState>, socket: &UdpSocket) {
    loop {
        let actions = state.fleet.actions.take();
        if actions.is_empty() {
            return;
        }
        for action in actions {
            match action {
                FleetAction::Send(targets, message) => send(socket, &targets, &message).await,
                FleetAction::Pull(target) => {
                    tokio::task::spawn_local(view::pull(Rc::clone(state), target));
                }
                FleetAction::ReadRegistry(call) => {
                    tokio::task::spawn_local(store_watch::read_registry(Rc::clone(state), call));
                }
                FleetAction::WatchOperator(watches) => {
                    state.fleet.watching.send_replace(watches);
                }
                FleetAction::ReadLeadRows => {
                    tokio::task::spawn_local(store_watch::read_entry_rows(Rc::clone(state)));
                }
                FleetAction::WriteLeadRow(leads) => {
                    tokio::task::spawn_local(store_watch::write_lead_row(Rc::clone(state), leads));
                }
                FleetAction::WriteQuarantineRows(quarantines) => {
                    tokio::task::spawn_local(quarantine::write_rows(Rc::clone(state), quarantines));
                }
                FleetAction::DeleteQuarantineRows(prints) => {
                    tokio::task::spawn_local(quarantine::delete_rows(Rc::clone(state), prints));
                }
                FleetAction::ConfirmRegistry(at, position) => {
                    state.on_registry_confirmed(at, position);
                }
                FleetAction::RegistryAnswered(at) => {
                    state.placer.borrow_mut().catalog.on_peer_read(at);
                }
                FleetAction::ListsChanged => state.refresh_entries(),
                FleetAction::Log(change) => log_fleet_change(state, &change),
            }
        }
    }
}

pub(crate) async fn send(socket: &UdpSocket, targets: &[SocketAddr], message: &PeerMessage) {
    if targets.is_empty() {
        return;
    }
    let bytes = match postcard::to_allocvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "datagram not sent");
            return;
        }
    };
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, *target).await {
            log::debug!(error:%, target:%; "datagram not sent");
        }
    }
}

fn log_fleet_change(state: &InstanceState, change: &FleetChange) {
    let known = state.fleet.known();
    let age = |at: Option<Instant>| at.map_or(-1, |at| at.elapsed().as_millis() as i64);
    let servers_age_ms = age(known.registry_at);
    let operator_age_ms = age(known.operator_at);
    match change {
        FleetChange::Suspected(print) => {
            log::info!(print:%; "request was at two servers that ended");
        }
        FleetChange::Quarantined(print) => {
            log::warn!(print:%; "request ends servers and is refused");
        }
        FleetChange::Cleared(print) => {
            log::info!(print:%; "request succeeded and is no longer suspected or quarantined");
        }
        FleetChange::StartedLeading(reason) => {
            log::info!(reason, servers_age_ms, operator_age_ms; "leads its region");
        }
        FleetChange::StoppedLeading(lead) => {
            log::info!(lead = lead.as_str(), servers_age_ms, operator_age_ms; "leads no longer");
        }
        FleetChange::LeadsChanged(leads) => {
            log::info!(leads = leads.join(" "), servers_age_ms, operator_age_ms; "reader and deputy");
        }
        FleetChange::LeadsLost => {
            log::warn!(servers_age_ms, operator_age_ms; "reader and deputy are silent");
        }
        FleetChange::ListPublished(listed, named) => {
            log::info!(listed, named; "entries of the region listed");
        }
        FleetChange::ConflictingLead(lead) => {
            state.metrics.lead_conflicts.inc();
            let (registry, read) = (known.registry, known.registry_read);
            let content = known.content.to_string();
            log::warn!(lead = lead.as_str(), registry, read:%, content = content.as_str(), servers_age_ms; "a lead knows other servers");
        }
        FleetChange::RefetchingRegistry => {
            log::warn!(servers_age_ms; "what is known of servers is in doubt; asking for all");
        }
        FleetChange::RefetchingAll => {
            log::warn!(servers_age_ms; "what is known is ahead of the store; asking for all");
        }
    }
}

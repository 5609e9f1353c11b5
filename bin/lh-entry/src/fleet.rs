//! The entry's part in the fleet: datagrams and timers in and out of the decisions.

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
use crate::state::InstanceState;
use crate::view::ViewClient;
use crate::{quarantine, rollout, view, watch as store_watch, words};

/// Largest datagram that is read, in bytes: a digest of a lead with sixteen regions.
const DATAGRAM_BYTES: usize = 16 << 10;
/// Datagrams taken in at once before timers get their turn.
const DATAGRAMS_AT_ONCE: usize = 64;

/// The loop has a turn every [`HEARTBEAT_INTERVAL`] at least. A longer time without one is the process's:
/// it was stopped or had no processor, and datagrams waited meanwhile.
const HELD_UP_LEAST: Duration = Duration::from_millis(800);

/// What the fleet is to this entry: the decisions, and what they want done.
#[derive(Debug)]
pub(crate) struct FleetDesk {
    member: RefCell<FleetMember>,
    actions: RefCell<Vec<FleetAction>>,
    wake: Notify,
    /// Whether this entry watches the operator's rows itself.
    pub(crate) watching: watch::Sender<bool>,
    /// Asks leads for what they know more.
    pub(crate) client: RefCell<ViewClient>,
    own: RefCell<LocalEntryState>,
}

impl FleetDesk {
    /// The desk of an entry that starts now.
    pub(crate) fn new(config: MemberConfig) -> Self {
        let (watching, _) = watch::channel(false);
        Self {
            member: RefCell::new(FleetMember::new(Instant::now(), config)),
            actions: RefCell::default(),
            wake: Notify::new(),
            watching,
            client: RefCell::default(),
            own: RefCell::default(),
        }
    }

    /// Takes in `event`.
    pub(crate) fn on_event(&self, event: FleetEvent) {
        let mut actions = self.actions.borrow_mut();
        let mut member = self.member.borrow_mut();
        member.on_event(Instant::now(), event, &mut actions);
        if !actions.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Takes in what this entry knows of the store since `change`.
    pub(crate) fn on_known(&self, change: impl FnOnce(&mut StoreProgress)) {
        let mut known = self.known();
        change(&mut known);
        self.on_event(FleetEvent::StoreProgress(known));
    }

    /// Takes in this entry's own state, where it differs.
    fn on_own(&self, own: LocalEntryState) {
        if *self.own.borrow() != own {
            self.own.replace(own.clone());
            self.on_event(FleetEvent::LocalState(own));
        }
    }

    /// What this entry knows of the store.
    pub(crate) fn known(&self) -> StoreProgress {
        *self.member.borrow().store_progress()
    }

    /// How long ago the store may have shown, at most, that what is known of the operator's
    /// rows held; `None` where that can't be told.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.member.borrow().proof_age(Instant::now())
    }

    /// The store's time that its clock has not passed.
    pub(crate) fn latest_store_time(&self) -> StoreTime {
        self.member.borrow().latest_store_time(Instant::now())
    }

    /// Whether this entry leads its region.
    pub(crate) fn leads(&self) -> bool {
        self.member.borrow().leads()
    }

    /// Whether this entry is listed as one that gets requests.
    pub(crate) fn is_listed(&self) -> bool {
        self.member.borrow().is_listed()
    }

    /// Whether this entry has heard of no other since its start.
    pub(crate) fn is_isolated(&self) -> bool {
        self.member.borrow().is_isolated()
    }

    /// Whether any request may be in quarantine.
    pub(crate) fn has_statuses(&self) -> bool {
        self.member.borrow().has_statuses()
    }

    /// How much longer the request is refused; `None` where it isn't.
    pub(crate) fn quarantine_left(&self, print: RequestFingerprint) -> Option<Duration> {
        let member = self.member.borrow();
        member.quarantine_left(Instant::now(), print)
    }

    /// The requests in quarantine.
    pub(crate) fn quarantined(&self) -> Vec<RequestFingerprint> {
        self.member.borrow().quarantined().collect()
    }

    /// Whether good answers are to be compared with suspects.
    pub(crate) fn has_suspects(&self) -> bool {
        self.member.borrow().has_suspects(Instant::now())
    }

    /// A server answered the request well.
    pub(crate) fn on_answered(&self, print: RequestFingerprint) {
        let is_news = self.member.borrow().suspects(print);
        if is_news {
            self.on_event(FleetEvent::Cleared(print));
        }
    }

    /// Looks something up in what is known of all regions.
    pub(crate) fn with_regions<T>(&self, look: impl FnOnce(Instant, &RegionTable) -> T) -> T {
        look(Instant::now(), self.member.borrow().regions())
    }

    fn due(&self) -> Instant {
        self.member.borrow().due(Instant::now())
    }
}

/// Opens the socket for datagrams.
///
/// # Errors
/// Where the address can't be used.
pub(crate) fn open(address: SocketAddr) -> Result<UdpSocket> {
    let open = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    open().map_err(|cause| Error::Listen("beats", address, cause))
}

/// Takes part in the fleet until the process ends.
pub(crate) async fn run(state: Rc<InstanceState>, socket: Rc<UdpSocket>) {
    let mut measure = tokio::time::interval(HEARTBEAT_INTERVAL);
    measure.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut load_at = Instant::now();
    let mut turn_at = Instant::now();
    loop {
        tell_own(&state);
        perform(&state, &socket).await;
        tokio::select! {
            () = tokio::time::sleep_until(load_at.into()) => {
                load_at = Instant::now() + words::speak(&state, &socket).await;
            }
            () = state.words.wake.notified() => load_at = Instant::now(),
            () = state.rollouts.verdict.notified() => {
                rollout::speak(&state, &socket, &words::everybody(&state)).await;
            }
            () = tokio::time::sleep_until(state.fleet.due().into()) => {
                state.fleet.on_event(FleetEvent::Tick);
            }
            () = state.fleet.wake.notified() => {}
            _ = measure.tick() => {
                let rate = state.meter.borrow_mut().measure(HEARTBEAT_INTERVAL.as_secs_f64());
                state.told_rate.set(rate.round() as u32);
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let waited = Some(turn_at.elapsed()).filter(|span| *span >= HELD_UP_LEAST);
                    on_datagram(&state, from, &buffer[..length], waited);
                    take_waiting(&state, &socket, &mut buffer, waited);
                }
                Err(error) => log::debug!(error:%; "datagram not received"),
            }
        }
        turn_at = Instant::now();
    }
}

/// Tells the fleet what has changed in this entry.
pub(crate) fn tell_own(state: &InstanceState) {
    let stamp = if state.has_own_routes() {
        state.tickets.stamp(Instant::now())
    } else {
        String::new()
    };
    state.fleet.on_own(LocalEntryState {
        ready: state.is_ready(),
        leaving: state.is_stopping(),
        rate: state.told_rate.get(),
        stamp,
        proof_within: state.proof_within(),
    });
}

/// Takes in datagrams that have arrived meanwhile: one turn of the loop for many.
fn take_waiting(
    state: &InstanceState,
    socket: &UdpSocket,
    buffer: &mut [u8],
    waited: Option<Duration>,
) {
    for _ in 0..DATAGRAMS_AT_ONCE {
        let Ok((length, from)) = socket.try_recv_from(buffer) else {
            return;
        };
        on_datagram(state, from, &buffer[..length], waited);
    }
}

/// Takes in a datagram that may have waited for `waited`. What a lead tells is older by that:
/// taken for new it kept an entry from asking, whose leads had ended while it stood still.
fn on_datagram(state: &InstanceState, from: SocketAddr, bytes: &[u8], waited: Option<Duration>) {
    match postcard::from_bytes::<PeerMessage>(bytes) {
        Ok(PeerMessage::Load(beat)) => {
            let now = Instant::now();
            if let Some(quota) = &beat.quota {
                state.words.on_report(now, from);
                state.quota.borrow_mut().on_report(now, beat.entry, quota);
            }
            let mut placer = state.placer.borrow_mut();
            placer.on_peer_load(now, beat.entry, beat.report);
        }
        Ok(PeerMessage::Rollout(beat)) => state.rollouts.on_beat(&beat),
        Ok(mut message) => {
            if let (PeerMessage::Digest(digest), Some(span)) = (&mut message, waited) {
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

async fn perform(state: &Rc<InstanceState>, socket: &UdpSocket) {
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
                    tokio::task::spawn_local(store_watch::read_rows(Rc::clone(state)));
                }
                FleetAction::WriteLeadRow(leads) => {
                    tokio::task::spawn_local(store_watch::write_row(Rc::clone(state), leads));
                }
                FleetAction::WriteQuarantineRows(quarantines) => {
                    tokio::task::spawn_local(quarantine::write_rows(Rc::clone(state), quarantines));
                }
                FleetAction::DeleteQuarantineRows(prints) => {
                    tokio::task::spawn_local(quarantine::delete_rows(Rc::clone(state), prints));
                }
                FleetAction::ConfirmRegistry(at) => state.placer.borrow_mut().catalog.confirm(at),
                FleetAction::ListsChanged => state.refresh_entries(),
                FleetAction::Log(note) => log_note(state, &note),
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

fn log_note(state: &InstanceState, note: &FleetChange) {
    let known = state.fleet.known();
    let age = |at: Option<Instant>| at.map_or(-1, |at| at.elapsed().as_millis() as i64);
    let servers_age_ms = age(known.registry_at);
    let operator_age_ms = age(known.operator_at);
    match note {
        FleetChange::Suspected(print) => {
            log::info!(print:%; "request was at two servers that ended");
        }
        FleetChange::Quarantined(print) => {
            log::warn!(print:%; "request ends servers and is refused");
        }
        FleetChange::Cleared(print) => {
            log::info!(print:%; "request answered well, nothing is held of it");
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
            state.metrics.contradictions.inc();
            let (registry, read) = (known.registry, known.registry_read);
            let content = known.content.to_string();
            log::warn!(lead = lead.as_str(), registry, read, content = content.as_str(), servers_age_ms; "a lead knows other servers");
        }
        FleetChange::RefetchingRegistry => {
            log::warn!(servers_age_ms; "what is known of servers is in doubt; asking for all");
        }
        FleetChange::RefetchingAll => {
            log::warn!(servers_age_ms; "what is known is ahead of the store; asking for all");
        }
    }
}

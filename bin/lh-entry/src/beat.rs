//! Beats between the entries: datagrams to every other entry. An entry finds
//! the others through the seeds of its settings, the store, and the others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::load::{LoadWord, is_told_far, load_pause};
use place::peers::{LoadBeat, PeerBeat, PeerMessage};
use place::rank::stable_hash;
use tokio::net::UdpSocket;

use crate::error::{Error, Result};
use crate::state::InstanceState;
use crate::stop::StopPhase;

/// Time between beats: a quarter of the time after which a silent entry is
/// taken as gone.
const BEAT_EVERY: Duration = Duration::from_millis(600);
/// Largest beat that is read, in bytes.
const BEAT_BYTES: usize = 8192;

/// Opens the socket for beats.
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

/// Sends and receives beats until the process ends.
pub(crate) async fn run(state: Rc<InstanceState>, socket: Rc<UdpSocket>) {
    let mut tick = tokio::time::interval(BEAT_EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; BEAT_BYTES];
    let mut load_at = tokio::time::Instant::now();
    let mut round = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(load_at) => {
                let near = send_load(&state, &socket, round).await;
                round += 1;
                load_at = tokio::time::Instant::now() + load_pause(near);
            }
            _ = tick.tick() => {
                let rate = state.meter.borrow_mut().measure(BEAT_EVERY.as_secs_f64());
                state.told_rate.set(rate.round() as u32);
                send(&state, &socket, false).await;
                state.refresh_entries();
            }
            received = socket.recv_from(&mut buffer) => {
                match received {
                    Ok((length, _)) => on_datagram(&state, &buffer[..length]),
                    Err(error) => log::debug!(error:%; "beat not received"),
                }
            }
        }
    }
}

/// Tells all others at once that this entry takes no more callers.
pub(crate) async fn tell_all(state: &Rc<InstanceState>) {
    // A second socket: the first belongs to the loop above.
    let any = SocketAddr::new(state.config.beat_address.ip(), 0);
    match UdpSocket::bind(any).await {
        Ok(socket) => send(state, &socket, true).await,
        Err(error) => log::warn!(error:%; "the others were not told of the stop"),
    }
}

async fn send(state: &InstanceState, socket: &UdpSocket, twice: bool) {
    let now = Instant::now();
    let beat = own_beat(state, now);
    let bytes = match postcard::to_allocvec(&PeerMessage::Beat(Box::new(beat))) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "no beat sent");
            return;
        }
    };
    let targets = state.peers.borrow_mut().targets(now);
    for target in targets {
        if target == state.config.beat_address {
            continue;
        }
        for _ in 0..=usize::from(twice) {
            if let Err(error) = socket.send_to(&bytes, target).await {
                log::debug!(error:%, target:%; "beat not sent");
            }
        }
    }
}

/// Tells the live entries where this one's requests are, those of other regions now and
/// then; returns the number of those of the own region.
async fn send_load(state: &InstanceState, socket: &UdpSocket, round: u32) -> u32 {
    let now = Instant::now();
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for beat in state.peers.borrow().heard(now) {
        if !state.is_used(beat) {
            continue;
        }
        if beat.region == state.config.region {
            near.push(beat.gossip);
        } else {
            far.push(beat.gossip);
        }
    }
    if !is_told_far(round, near.len() as u32, far.len() as u32) {
        far.clear();
    }
    let word = state.placer.borrow_mut().own_load(now);
    tell_load(state, socket, &near, word.clone()).await;
    tell_load(state, socket, &far, word.for_others()).await;
    near.len() as u32
}

async fn tell_load(
    state: &InstanceState,
    socket: &UdpSocket,
    targets: &[SocketAddr],
    word: LoadWord,
) {
    let message = PeerMessage::Load(LoadBeat {
        entry: stable_hash(state.config.instance.as_bytes()),
        word,
    });
    let bytes = match postcard::to_allocvec(&message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "load not told");
            return;
        }
    };
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, *target).await {
            log::debug!(error:%, target:%; "load not told");
        }
    }
}

fn own_beat(state: &InstanceState, now: Instant) -> PeerBeat {
    let turn = state.beats.get();
    state.beats.set(turn + 1);
    PeerBeat {
        node: state.config.instance.clone(),
        incarnation: state.node.incarnation.0,
        domain: state.config.domain.clone(),
        region: state.config.region.clone(),
        front: state.config.caller_address,
        gossip: state.config.beat_address,
        view: state.config.view_address,
        reads: state.reads.get(),
        ready: state.is_ready(),
        leaving: state.stop.get() != StopPhase::Serving,
        capacity: state.config.capacity,
        rate: state.told_rate.get(),
        version: state.version(),
        stamp: if state.has_own_routes() {
            state.tickets.stamp(now)
        } else {
            String::new()
        },
        known: state.peers.borrow().named(now, turn),
    }
}

fn on_datagram(state: &InstanceState, bytes: &[u8]) {
    let now = Instant::now();
    match postcard::from_bytes::<PeerMessage>(bytes) {
        Ok(PeerMessage::Beat(beat)) if beat.node != state.config.instance => {
            state.peers.borrow_mut().on_beat(now, *beat);
        }
        Ok(PeerMessage::Beat(_)) => {}
        Ok(PeerMessage::Load(beat)) => {
            let mut placer = state.placer.borrow_mut();
            placer.on_peer_load(now, beat.entry, beat.word);
        }
        Err(error) => log::debug!(error:%; "beat not understood"),
    }
}

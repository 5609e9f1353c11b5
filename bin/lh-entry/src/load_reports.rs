//! Words among the entries that get requests: where their requests are, and what teams asked
//! for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::message::{LoadReport, PeerMessage};
use place::placing::load::{LoadUpdate, is_sent_to_other_regions, load_interval};
use place::rank::stable_hash;
use team::quota::QuotaReport;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::fleet::send;
use crate::rollout;
use crate::state::InstanceState;

/// Time between two looks at whether this entry has become one that gets requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(600);
/// An entry that speaks without being listed is spoken to for this long after its word.
const UNLISTED_PEER_TTL: Duration = Duration::from_secs(2);
/// Such entries that are spoken to at once.
const MAX_UNLISTED_PEERS: usize = 64;
/// Words by which an entry that stands by again says so: some may get lost.
const FINAL_REPORTS: u32 = 3;

/// What this entry says and hears of load.
#[derive(Debug, Default)]
pub(crate) struct LoadReporter {
    /// Words so far.
    round: RefCell<u32>,
    /// Words that are still to be said after the last request.
    final_reports: RefCell<u32>,
    /// Entries that speak without being listed: callers still use them.
    unlisted_peers: RefCell<HashMap<SocketAddr, Instant>>,
    /// A request came to an entry that says nothing.
    pub(crate) wake: Notify,
}

impl LoadReporter {
    /// An entry at `from`, listed or not, spoke.
    pub(crate) fn on_peer_report(&self, now: Instant, from: SocketAddr) {
        let mut unlisted_peers = self.unlisted_peers.borrow_mut();
        unlisted_peers.retain(|_, at| now.saturating_duration_since(*at) < UNLISTED_PEER_TTL);
        if unlisted_peers.len() < MAX_UNLISTED_PEERS {
            unlisted_peers.insert(from, now);
        }
    }
}

/// Tells the entries that get requests where this one's are, those of other regions now
/// and then; returns the time until the next word. An entry that gets none tells none.
pub(crate) async fn send_reports(state: &InstanceState, socket: &UdpSocket) -> Duration {
    let is_listed = state.fleet.is_listed();
    let is_used = state.quota.borrow().has_changes();
    let is_needed = state.quota.borrow().has_quotas();
    if is_listed || is_used {
        state.load_reports.final_reports.replace(FINAL_REPORTS);
    } else if !is_needed || state.load_reports.final_reports.take() == 0 {
        return IDLE_CHECK_INTERVAL;
    }
    let left = *state.load_reports.final_reports.borrow();
    state
        .load_reports
        .final_reports
        .replace(left.saturating_sub(1));
    let (same_region, mut other_regions) = recipients(state);
    let round = state
        .load_reports
        .round
        .replace_with(|round| round.wrapping_add(1));
    let count = same_region.len() as u32;
    if !is_sent_to_other_regions(round, count, other_regions.len() as u32) {
        other_regions.clear();
    }
    let now = Instant::now();
    let quota = is_needed.then(|| QuotaReport {
        stops: !is_listed && !is_used,
        ..state.quota.borrow_mut().report(now)
    });
    let word = state.placer.borrow_mut().own_load(now);
    send(
        socket,
        &same_region,
        &message(state, word.clone(), quota.clone()),
    )
    .await;
    send(
        socket,
        &other_regions,
        &message(state, word.for_other_regions(), quota),
    )
    .await;
    rollout::send_reports(state, socket, &[same_region, other_regions].concat()).await;
    load_interval(count)
}

/// All other entries that get requests.
pub(crate) fn all_recipients(state: &InstanceState) -> Vec<SocketAddr> {
    let (same_region, other_regions) = recipients(state);
    [same_region, other_regions].concat()
}

/// The entries of the own region that get requests, and those of others.
fn recipients(state: &InstanceState) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let (mut same_region, mut other_regions) = (Vec::new(), Vec::new());
    state.fleet.with_regions(|now, regions| {
        for (region, entry) in regions.listed(now) {
            if entry.node == state.config.instance {
                continue;
            }
            if region == state.config.region {
                same_region.push(entry.peer_address);
            } else {
                other_regions.push(entry.peer_address);
            }
        }
    });
    let unlisted_peers = state.load_reports.unlisted_peers.borrow();
    let mut unlisted: Vec<SocketAddr> = unlisted_peers.keys().copied().collect();
    unlisted.retain(|address| !same_region.contains(address) && !other_regions.contains(address));
    other_regions.extend(unlisted);
    (same_region, other_regions)
}

fn message(state: &InstanceState, word: LoadUpdate, quota: Option<QuotaReport>) -> PeerMessage {
    PeerMessage::Load(LoadReport {
        entry: stable_hash(state.config.instance.as_bytes()),
        word,
        quota,
    })
}

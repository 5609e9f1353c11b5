//! Words among the entries that get requests: where their requests are, and what teams asked
//! for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::message::{LoadMessage, PeerMessage};
use place::placing::load::{LoadReport, is_sent_to_other_regions, load_interval};
use place::rank::stable_hash;
use team::quota::QuotaReport;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::fleet::send;
use crate::rollout;
use crate::state::InstanceState;

/// Time between two looks at whether this entry has become one that gets requests.
const IDLE_LOOK: Duration = Duration::from_millis(600);
/// An entry that speaks without being listed is spoken to for this long after its word.
const STRANGER_FOR: Duration = Duration::from_secs(2);
/// Such entries that are spoken to at once.
const STRANGERS_MOST: usize = 64;
/// Words by which an entry that stands by again says so: some may get lost.
const FINAL_REPORTS: u32 = 3;

/// What this entry says and hears of load.
#[derive(Debug, Default)]
pub(crate) struct WordDesk {
    /// Words so far.
    round: RefCell<u32>,
    /// Words that are still to be said after the last request.
    final_reports: RefCell<u32>,
    /// Entries that speak without being listed: callers still use them.
    strangers: RefCell<HashMap<SocketAddr, Instant>>,
    /// A request came to an entry that says nothing.
    pub(crate) wake: Notify,
}

impl WordDesk {
    /// An entry at `from`, listed or not, spoke.
    pub(crate) fn on_report(&self, now: Instant, from: SocketAddr) {
        let mut strangers = self.strangers.borrow_mut();
        strangers.retain(|_, at| now.saturating_duration_since(*at) < STRANGER_FOR);
        if strangers.len() < STRANGERS_MOST {
            strangers.insert(from, now);
        }
    }
}

/// Tells the entries that get requests where this one's are, those of other regions now
/// and then; returns the time until the next word. An entry that gets none tells none.
pub(crate) async fn speak(state: &InstanceState, socket: &UdpSocket) -> Duration {
    let is_listed = state.fleet.is_listed();
    let is_used = state.quota.borrow().has_changes();
    let is_needed = state.quota.borrow().has_quotas();
    if is_listed || is_used {
        state.words.final_reports.replace(FINAL_REPORTS);
    } else if !is_needed || state.words.final_reports.take() == 0 {
        return IDLE_LOOK;
    }
    let left = *state.words.final_reports.borrow();
    state.words.final_reports.replace(left.saturating_sub(1));
    let (near, mut far) = listeners(state);
    let round = state
        .words
        .round
        .replace_with(|round| round.wrapping_add(1));
    let count = near.len() as u32;
    if !is_sent_to_other_regions(round, count, far.len() as u32) {
        far.clear();
    }
    let now = Instant::now();
    let quota = is_needed.then(|| QuotaReport {
        stops: !is_listed && !is_used,
        ..state.quota.borrow_mut().report(now)
    });
    let report = state.placer.borrow_mut().own_load(now);
    send(
        socket,
        &near,
        &message(state, report.clone(), quota.clone()),
    )
    .await;
    send(
        socket,
        &far,
        &message(state, report.for_other_regions(), quota),
    )
    .await;
    rollout::speak(state, socket, &[near, far].concat()).await;
    load_interval(count)
}

/// All other entries that get requests.
pub(crate) fn everybody(state: &InstanceState) -> Vec<SocketAddr> {
    let (near, far) = listeners(state);
    [near, far].concat()
}

/// The entries of the own region that get requests, and those of others.
fn listeners(state: &InstanceState) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let (mut near, mut far) = (Vec::new(), Vec::new());
    state.fleet.with_regions(|now, regions| {
        for (region, entry) in regions.listed(now) {
            if entry.node == state.config.instance {
                continue;
            }
            if region == state.config.region {
                near.push(entry.peer_address);
            } else {
                far.push(entry.peer_address);
            }
        }
    });
    let strangers = state.words.strangers.borrow();
    let mut unlisted: Vec<SocketAddr> = strangers.keys().copied().collect();
    unlisted.retain(|address| !near.contains(address) && !far.contains(address));
    far.extend(unlisted);
    (near, far)
}

fn message(state: &InstanceState, report: LoadReport, quota: Option<QuotaReport>) -> PeerMessage {
    PeerMessage::Load(LoadMessage {
        entry: stable_hash(state.config.instance.as_bytes()),
        report,
        quota,
    })
}

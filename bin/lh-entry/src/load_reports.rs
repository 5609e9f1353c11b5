//! Load reports between the entries that get requests: the servers that process their
//! requests, and teams' quota usage.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::message::{LoadMessage, PeerMessage};
use place::placing::load::{LoadReport, ReportSchedule, load_interval};
use place::rank::stable_hash;
use team::quota::QuotaReport;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::fleet::send;
use crate::region_shares;
use crate::returns;
use crate::rollout;
use crate::state::InstanceState;
use crate::statements;

/// Interval at which an idle entry checks whether it gets requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(600);
/// How long an unlisted entry receives reports after its last own report.
const UNLISTED_PEER_TTL: Duration = Duration::from_secs(2);
/// Maximum number of unlisted entries that receive reports.
const MAX_UNLISTED_PEERS: usize = 64;

/// State of the exchange of load reports.
#[derive(Debug, Default)]
pub(crate) struct LoadReporter {
    schedule: RefCell<ReportSchedule>,
    /// Entries that send reports without being listed, because callers still use them.
    unlisted_peers: RefCell<HashMap<SocketAddr, Instant>>,
    /// Notified when an entry that sends no reports gets a request.
    pub(crate) wake: Notify,
}

impl LoadReporter {
    /// Records a report from the entry at `from`, listed or not.
    pub(crate) fn on_peer_report(&self, now: Instant, from: SocketAddr) {
        let mut unlisted_peers = self.unlisted_peers.borrow_mut();
        unlisted_peers.retain(|_, at| now.saturating_duration_since(*at) < UNLISTED_PEER_TTL);
        if unlisted_peers.len() < MAX_UNLISTED_PEERS {
            unlisted_peers.insert(from, now);
        }
    }
}

/// Sends this entry's load to the entries that get requests, less often to those of other
/// regions. Returns the time until the next report. An entry that gets no requests sends no
/// reports.
pub(crate) async fn send_reports(state: &InstanceState, socket: &UdpSocket) -> Duration {
    let is_listed = state.fleet.is_listed();
    let is_used = state.quota.borrow().has_changes();
    let is_needed = state.quota.borrow().has_quotas();
    let (near, mut far) = recipients(state);
    let count = near.len() as u32;
    let report = state.load_reports.schedule.borrow_mut().next(
        (is_listed || is_used, is_needed),
        count,
        far.len() as u32,
    );
    let Some(due) = report else {
        return IDLE_CHECK_INTERVAL;
    };
    if !due.is_for_all {
        far.clear();
    }
    let now = Instant::now();
    let quota = is_needed.then(|| QuotaReport {
        stops: due.is_final,
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
    let targets = [near, far].concat();
    statements::send_report(state, socket, &targets).await;
    returns::send_report(state, socket, &targets).await;
    if due.is_for_all {
        region_shares::send_report(state, socket, &targets).await;
    }
    rollout::send_reports(state, socket, &targets).await;
    load_interval(count)
}

/// Returns the addresses of all other entries that get requests.
pub(crate) fn all_recipients(state: &InstanceState) -> Vec<SocketAddr> {
    let (near, far) = recipients(state);
    [near, far].concat()
}

/// Returns the addresses of other entries that get requests: those of the own region, and
/// those of other regions.
fn recipients(state: &InstanceState) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
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
    let unlisted_peers = state.load_reports.unlisted_peers.borrow();
    let mut unlisted: Vec<SocketAddr> = unlisted_peers.keys().copied().collect();
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

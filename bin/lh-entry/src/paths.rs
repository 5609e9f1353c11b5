//! Finds out whether this entry has a path to the servers of each service, and reports changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::paths::PathChange;
use place::request::Placement;
use tokio::time::timeout;

use crate::connect::dialer::Dialer;
use crate::state::InstanceState;

/// Interval at which due probes are started.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a connection must stay open to count as a path. Equipment on the way may accept a
/// connection and reset it, up to a round trip between regions and a retransmission later.
const MIN_OPEN_TIME: Duration = Duration::from_millis(300);

/// Probes servers of services whose path is in doubt until the process ends.
pub(crate) async fn run(state: Rc<InstanceState>) {
    loop {
        tokio::time::sleep(PROBE_CHECK_INTERVAL).await;
        if !state.placer.borrow().needs_path_probes() {
            continue;
        }
        let probes = state.placer.borrow_mut().path_probes(Instant::now());
        for probe in probes {
            let state = Rc::clone(&state);
            tokio::task::spawn_local(async move {
                let is_reached =
                    is_reachable(state.dialer, probe.address, state.config.connect).await;
                let mut placer = state.placer.borrow_mut();
                placer.on_probed(Instant::now(), &probe, is_reached);
                drop(placer);
                report_changes(&state);
            });
        }
        report_changes(&state);
    }
}

/// Returns whether a connection to `address` can be established within `limit` and stays open.
pub(crate) async fn is_reachable(dialer: Dialer, address: SocketAddr, limit: Duration) -> bool {
    let Ok(Ok(stream)) = timeout(limit, dialer.connect(address)).await else {
        return false;
    };
    let mut byte = [0; 1];
    timeout(MIN_OPEN_TIME, stream.peek(&mut byte))
        .await
        .is_err()
}

/// Records that the server of `placement` could not be reached for a request of `service`.
pub(crate) fn on_server_missed(state: &InstanceState, placement: &Placement, service: &str) {
    let mut placer = state.placer.borrow_mut();
    placer.on_server_missed(Instant::now(), placement, service);
    drop(placer);
    report_changes(state);
}

/// Logs and counts changes of the paths to servers.
pub(crate) fn report_changes(state: &InstanceState) {
    let mut placer = state.placer.borrow_mut();
    let changes = placer.take_path_changes();
    let lost_paths = placer.lost_paths();
    drop(placer);
    state.metrics.lost_paths.set(lost_paths as i64);
    if changes.is_empty() {
        return;
    }
    for change in changes {
        match change {
            PathChange::Lost { service, missed } => {
                state.metrics.path_losses.inc();
                log::warn!(service, missed, lost_paths; "no path to the servers of a service");
            }
            PathChange::Restored { service, after } => {
                let after_ms = after.as_millis() as u64;
                log::info!(service, after_ms, lost_paths; "path to the servers of a service restored");
            }
        }
    }
    state.fleet.on_entry_changed();
}

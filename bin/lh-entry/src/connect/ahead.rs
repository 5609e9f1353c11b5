//! Opens connections to far servers ahead of the requests that are expected there.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use place::connections::planner::PlannedConnection;
use place::placing::timing::millis;
use place::request::Placement;

use crate::connect::metrics::AheadResult;
use crate::pool::{AheadCounts, parse_keep_alive};
use crate::state::InstanceState;

/// Interval at which connections are planned. A request needs several times as long at a server.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of connections that are being opened at the same time. While a region can't
/// be reached, this also limits the attempts.
const MAX_OPENING: usize = 16;
/// Connections opened ahead may use up to one in this many of the file descriptors, together
/// with all other idle connections to servers.
const IDLE_DESCRIPTOR_DIVISOR: usize = 4;

/// Opens connections ahead of requests and keeps account of them.
#[derive(Debug, Default)]
pub(crate) struct ConnectionOpener {
    opening: Cell<usize>,
    counts: Rc<AheadCounts>,
}

/// Plans and opens connections until the process ends, if the settings say so.
pub(crate) async fn run(state: Rc<InstanceState>) {
    if !state.config.connections_ahead {
        return;
    }
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        // Counts connections that servers have closed before more are opened.
        state.pool.prune();
        state.opener.report(&state);
        if state.is_stopping() {
            continue;
        }
        for planned in state.opener.plan(&state) {
            state.opener.start_opening(&state, planned);
        }
    }
}

/// Records that the request of `placement` is about to use a connection.
pub(crate) fn on_request(state: &InstanceState, placement: &Placement, objective: Duration) {
    if state.config.connections_ahead {
        let mut placer = state.placer.borrow_mut();
        placer.on_connection_used(Instant::now(), placement, objective);
    }
}

/// Records what a response says of how long its server keeps idle connections open.
pub(crate) fn on_response(state: &InstanceState, placement: &Placement, headers: &HeaderMap) {
    if !state.config.connections_ahead {
        return;
    }
    if let Some(keep_alive) = parse_keep_alive(headers) {
        let mut placer = state.placer.borrow_mut();
        placer.on_keep_alive(placement.handle, keep_alive);
    }
}

impl ConnectionOpener {
    fn plan(&self, state: &InstanceState) -> Vec<PlannedConnection> {
        let idle = state.pool.total_idle_count() + self.opening.get();
        let descriptors = state.config.descriptors / IDLE_DESCRIPTOR_DIVISOR;
        let room = MAX_OPENING
            .saturating_sub(self.opening.get())
            .min(descriptors.saturating_sub(idle));
        let mut placer = state.placer.borrow_mut();
        placer.plan_connections(Instant::now(), room, |server| state.pool.idle_count(server))
    }

    fn start_opening(&self, state: &Rc<InstanceState>, planned: PlannedConnection) {
        self.opening.set(self.opening.get() + 1);
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move {
            open(&state, &planned).await;
            let opening = &state.opener.opening;
            opening.set(opening.get() - 1);
        });
    }

    /// Passes on what became of the connections since the previous call.
    fn report(&self, state: &InstanceState) {
        let used = self.counts.used.take();
        let unused = self.counts.unused.take();
        if used + unused == 0 {
            return;
        }
        state.metrics.ahead.add(AheadResult::Used, used);
        state.metrics.ahead.add(AheadResult::Unused, unused);
        let (now, mut placer) = (Instant::now(), state.placer.borrow_mut());
        let results = [(true, used), (false, unused)];
        for (is_used, count) in results {
            for _ in 0..count {
                placer.connections_mut().on_closed(now, is_used);
            }
        }
    }
}

async fn open(state: &InstanceState, planned: &PlannedConnection) {
    let started_at = Instant::now();
    let opening = state
        .pool
        .open(&planned.id, planned.address, state.config.connect);
    let opened = opening.await;
    let now = Instant::now();
    let mut placer = state.placer.borrow_mut();
    placer.on_opened_ahead(now, planned.handle, opened.is_ok());
    match opened {
        Ok(lease) if placer.catalog.may_send(planned.handle) => {
            let elapsed = millis(now.saturating_duration_since(started_at));
            placer.catalog.on_connected(planned.handle, elapsed);
            let counts = &state.opener.counts;
            state.metrics.ahead.add(AheadResult::Opened, 1);
            state.pool.add_ahead(lease, planned.keep_alive, counts);
        }
        // The server left meanwhile.
        Ok(_) => {}
        Err(error) => {
            state.metrics.ahead.add(AheadResult::Failed, 1);
            let server = planned.id.as_str();
            log::debug!(server, error; "connection ahead failed");
        }
    }
}

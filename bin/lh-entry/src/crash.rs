//! Determines whether a server has crashed after its connection failed during a request.
//!
//! A failed connection alone is no evidence: networks fail, and idle connections are closed. A
//! server that has crashed refuses new connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::crash::fingerprint::RequestFingerprint;
use place::crash::message::CrashReport;
use place::prelude::FleetEvent;
use place::request::Placement;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::connect::dialer::Dialer;
use crate::paths;
use crate::state::InstanceState;

/// Delay before a server is probed after a connection to it failed. Its other connections fail in
/// the meantime, so that one probe covers all of their requests.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// Timeout of a probe. A server that neither refuses nor accepts the connection by then is not
/// considered crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of concurrent probes: more than the servers that crash together in a failure
/// domain, but few enough for the file descriptors of a small instance.
const MAX_CONCURRENT_PROBES: usize = 64;
/// Maximum number of other servers that are tried, to find out whether a server that can't be
/// reached has ended.
const MAX_CONTROL_PROBES: usize = 3;
/// Maximum number of fingerprints in a log line, which also contains their number.
const MAX_LOGGED_FINGERPRINTS: usize = 8;

/// The server runs that are being probed, with the fingerprints of the requests that were in flight
/// when their connections failed.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes {
    probes: RefCell<HashMap<u64, Vec<RequestFingerprint>>>,
}

/// A server run whose connections failed during requests.
struct ProbedServer {
    run: u64,
    id: String,
    service: String,
    address: SocketAddr,
}

/// Schedules a probe of the server of `placement`, whose connection failed during the request with
/// the fingerprint `print`.
pub(crate) fn on_connection_lost(
    state: &Rc<InstanceState>,
    placement: &Placement,
    service: &str,
    print: RequestFingerprint,
) {
    let mut probes = state.crashes.probes.borrow_mut();
    let run = placement.handle.run();
    if let Some(fingerprints) = probes.get_mut(&run) {
        fingerprints.push(print);
        return;
    }
    if probes.len() >= MAX_CONCURRENT_PROBES {
        log::info!(server = placement.id.as_str(), print:%; "server not probed: too many probes in progress");
        return;
    }
    probes.insert(run, vec![print]);
    let server = ProbedServer {
        run,
        id: placement.id.clone(),
        service: service.to_owned(),
        address: placement.address,
    };
    tokio::task::spawn_local(probe(Rc::clone(state), server));
}

async fn probe(state: Rc<InstanceState>, server: ProbedServer) {
    let lost_at = Instant::now();
    sleep(PROBE_DELAY).await;
    let is_closed = is_closed(state.dialer, server.address).await
        && reaches_others(&state, &server, lost_at).await;
    let pending = state.crashes.probes.borrow_mut().remove(&server.run);
    let mut fingerprints = pending.unwrap_or_default();
    fingerprints.sort_unstable();
    fingerprints.dedup();
    state.metrics.on_broken_off(&server.service, is_closed);
    if is_closed {
        let run = server.run;
        let reports = fingerprints.iter().map(|fingerprint| CrashReport {
            run,
            print: *fingerprint,
        });
        state.fleet.on_event(FleetEvent::Crashed(reports.collect()));
    }
    let shown: Vec<String> = fingerprints
        .iter()
        .take(MAX_LOGGED_FINGERPRINTS)
        .map(ToString::to_string)
        .collect();
    let event = if is_closed {
        "server ended under requests"
    } else {
        "server broke off requests and runs on"
    };
    log::info!(
        server = server.id.as_str(),
        service = server.service.as_str(),
        requests = fingerprints.len(),
        prints = shown.join(" ");
        "{event}"
    );
}

/// Returns whether this entry has reached another server since the connection to `server` was
/// lost, or reaches one now. If not, its own path may have failed, and nothing is known of the
/// server or its requests.
async fn reaches_others(state: &InstanceState, server: &ProbedServer, lost_at: Instant) -> bool {
    if state.placer.borrow().has_response_since(lost_at) {
        return true;
    }
    let controls = {
        let placer = state.placer.borrow();
        placer.control_servers(server.run, MAX_CONTROL_PROBES)
    };
    let mut probes = JoinSet::new();
    for address in controls {
        probes.spawn_local(paths::is_reachable(state.dialer, address, PROBE_TIMEOUT));
    }
    while let Some(is_reached) = probes.join_next().await {
        if matches!(is_reached, Ok(true)) {
            return true;
        }
    }
    log::info!(server = server.id.as_str(); "server not reported as ended: no other can be reached");
    false
}

/// Returns whether connections to `address` are refused.
async fn is_closed(dialer: Dialer, address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, dialer.connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

//! Finds out whether a server has ended where it broke off a request.
//!
//! A broken connection alone says nothing of the server: links and idle connections break
//! too. A server that has ended refuses new connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use place::crash::print::RequestFingerprint;
use place::crash::word::CrashReport;
use place::prelude::FleetEvent;
use place::request::Placement;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::state::InstanceState;

/// Time until a server that broke off a request is looked at: its other connections break
/// meanwhile, and one look serves all of their requests.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// A server that neither refuses nor accepts in this time is not known to have ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Servers looked at at once: more than end together in a failure domain, few enough for
/// the descriptors of a small instance.
const MAX_CONCURRENT_PROBES: usize = 64;
/// Prints that a log line names; the rest is counted.
const MAX_LOGGED_FINGERPRINTS: usize = 8;

/// The servers that are being looked at, by their runs, with the requests that they broke
/// off.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes {
    probes: RefCell<HashMap<u64, Vec<RequestFingerprint>>>,
}

/// A run of a server that broke off requests.
struct ProbedServer {
    run: u64,
    id: String,
    service: String,
    address: SocketAddr,
}

/// The server of `placement`, of `service`, broke off the request with the print `print`.
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
        log::info!(server = placement.id.as_str(), print:%; "server not looked at, too many others are");
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
    sleep(PROBE_DELAY).await;
    let is_closed = is_closed(server.address).await;
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

/// Whether nothing listens at `address` any more.
async fn is_closed(address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

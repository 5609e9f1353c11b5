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
const LOOK_AFTER: Duration = Duration::from_millis(30);
/// A server that neither refuses nor accepts in this time is not known to have ended.
const LOOK_TIME: Duration = Duration::from_millis(400);
/// Servers looked at at once: more than end together in a failure domain, few enough for
/// the descriptors of a small instance.
const LOOKS_MOST: usize = 64;
/// Prints that a log line names; the rest is counted.
const PRINTS_SHOWN: usize = 8;

/// The servers that are being looked at, by their runs, with the requests that they broke
/// off.
#[derive(Debug, Default)]
pub(crate) struct CrashDesk {
    looks: RefCell<HashMap<u64, Vec<RequestFingerprint>>>,
}

/// A run of a server that broke off requests.
struct BrokenServer {
    run: u64,
    id: String,
    service: String,
    address: SocketAddr,
}

/// The server of `placement`, of `service`, broke off the request with the print `print`.
pub(crate) fn on_broken_off(
    state: &Rc<InstanceState>,
    placement: &Placement,
    service: &str,
    print: RequestFingerprint,
) {
    let mut looks = state.crashes.looks.borrow_mut();
    let run = placement.handle.run();
    if let Some(prints) = looks.get_mut(&run) {
        prints.push(print);
        return;
    }
    if looks.len() >= LOOKS_MOST {
        log::info!(server = placement.id.as_str(), print:%; "server not looked at, too many others are");
        return;
    }
    looks.insert(run, vec![print]);
    let server = BrokenServer {
        run,
        id: placement.id.clone(),
        service: service.to_owned(),
        address: placement.address,
    };
    tokio::task::spawn_local(look(Rc::clone(state), server));
}

async fn look(state: Rc<InstanceState>, server: BrokenServer) {
    sleep(LOOK_AFTER).await;
    let has_ended = has_ended(server.address).await;
    let looked = state.crashes.looks.borrow_mut().remove(&server.run);
    let mut prints = looked.unwrap_or_default();
    prints.sort_unstable();
    prints.dedup();
    state.metrics.on_broken_off(&server.service, has_ended);
    if has_ended {
        let run = server.run;
        let reports = prints
            .iter()
            .map(|print| CrashReport { run, print: *print });
        state.fleet.on_event(FleetEvent::Crashed(reports.collect()));
    }
    let shown: Vec<String> = prints
        .iter()
        .take(PRINTS_SHOWN)
        .map(ToString::to_string)
        .collect();
    let event = if has_ended {
        "server ended under requests"
    } else {
        "server broke off requests and runs on"
    };
    log::info!(
        server = server.id.as_str(),
        service = server.service.as_str(),
        requests = prints.len(),
        prints = shown.join(" ");
        "{event}"
    );
}

/// Whether nothing listens at `address` any more.
async fn has_ended(address: SocketAddr) -> bool {
    match timeout(LOOK_TIME, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

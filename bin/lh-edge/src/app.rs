//! From the command line to the running entry, top to bottom.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Parser;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

use crate::cli::Arguments;
use crate::config::EdgeConfig;
use crate::error::Result;
use crate::logs::LogQueue;
use crate::metrics::EdgeMetrics;
use crate::state::EdgeState;
use crate::{accept, beat, inner, stop, watch};

/// How often idle connections to servers are looked through.
const PRUNE_EVERY: Duration = Duration::from_secs(1);

/// Reads the command line and the settings, then works until SIGTERM.
///
/// # Errors
/// Where the settings are wrong or an address can't be used.
pub fn run() -> Result<()> {
    let arguments = Arguments::parse();
    let config = EdgeConfig::load(&arguments.settings)?;
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return Ok(());
    }
    let logs = LogQueue::start(&config.node);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(config, arguments));
    if let Err(error) = &result {
        log::error!(error:%; "ended");
    }
    logs.flush();
    result
}

async fn serve(config: EdgeConfig, arguments: Arguments) -> Result<()> {
    let incarnation = incarnation();
    log::info!(incarnation, zone = config.zone.as_str(); "started");
    let state = EdgeState::new(config, EdgeMetrics::new()?, incarnation);
    let config = &state.config;
    let callers = accept::listen("callers", config.caller_address)?;
    let ready = accept::listen("readiness", config.ready_address)?;
    let lookups = accept::listen("look-ups", config.lookup_address)?;
    let metrics = accept::listen("metrics", config.metrics_address)?;
    let view = accept::listen("other entries", config.view_address)?;
    let socket = Rc::new(beat::open(&state).await?);
    spawn_local(watch::watch_operator(Rc::clone(&state)));
    spawn_local(watch::watch_servers(Rc::clone(&state)));
    spawn_local(watch::watch_entries(Rc::clone(&state)));
    spawn_local(beat::run(Rc::clone(&state), socket));
    spawn_local(accept::run(Rc::clone(&state), callers));
    for listener in [ready, lookups, metrics, view] {
        spawn_local(inner::run(Rc::clone(&state), listener));
    }
    spawn_local(prune(Rc::clone(&state)));
    spawn_local(reload(arguments));
    stop::run(&state).await
}

async fn prune(state: Rc<EdgeState>) {
    loop {
        tokio::time::sleep(PRUNE_EVERY).await;
        state.pool.prune();
    }
}

/// Checks the settings again at SIGHUP. Addresses and bounds of a running
/// process stay; the line says whether a restart would take them.
async fn reload(arguments: Arguments) {
    use tokio::signal::unix::{SignalKind, signal};
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::warn!(error:%; "no reload on SIGHUP");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match EdgeConfig::load(&arguments.settings) {
            Ok(_) => log::info!("settings read again; they are valid"),
            Err(error) => log::error!(error:%; "settings read again; the running ones stay"),
        }
    }
}

/// Rises from one run of this instance to the next.
fn incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_micros() as u64)
}

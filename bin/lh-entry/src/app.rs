//! Startup: command line, settings, listeners and background tasks.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Parser;
use kernel::ServiceRegistry;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

use crate::cli::Arguments;
use crate::config::EntryConfig;
use crate::connect::ahead;
use crate::error::Result;
use crate::logs::LogQueue;
use crate::metrics::EntryMetrics;
use crate::state::InstanceState;
use crate::{accept, fleet, internal, paths, rollout, rollout_rows, stop, watch};

/// Names of the listeners for everything but callers' requests.
const INTERNAL_LISTENERS: [&str; 4] = ["readiness", "look-ups", "metrics", PEER_LISTENER];
/// Name of the listener for other entries.
const PEER_LISTENER: &str = "other entries";
/// Interval at which idle connections to servers are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Parses the command line, loads the settings and runs the entry until SIGTERM.
///
/// # Errors
/// Fails if the settings are invalid or an address can't be bound.
pub fn run() -> Result<()> {
    let arguments = Arguments::parse();
    let config = EntryConfig::load(&arguments.settings)?;
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return Ok(());
    }
    let logs = LogQueue::start(&config.instance);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(config, arguments));
    if let Err(error) = &result {
        log::error!(error:%; "ended");
    }
    logs.flush();
    result
}

async fn serve(config: EntryConfig, arguments: Arguments) -> Result<()> {
    let incarnation = incarnation();
    log::info!(incarnation, domain = config.domain.as_str(); "started");
    let services = register(config, incarnation)?;
    let state = services.find::<InstanceState>("state")?;
    let beats = services.find::<UdpSocket>("beats")?;
    spawn_local(watch::watch_operator(Rc::clone(&state)));
    spawn_local(watch::watch_blocks(Rc::clone(&state)));
    spawn_local(rollout_rows::maintain_rows(Rc::clone(&state)));
    spawn_local(rollout::check_overdue(Rc::clone(&state)));
    spawn_local(fleet::run(Rc::clone(&state), beats));
    for name in INTERNAL_LISTENERS {
        let listener = services.find::<TcpListener>(name)?;
        let relays = name == PEER_LISTENER;
        let most = state.config.hold.internal_connections;
        let state = Rc::clone(&state);
        spawn_local(internal::run(state, listener, (name, most), relays));
    }
    let callers = services.find::<TcpListener>("callers")?;
    spawn_local(accept::run(Rc::clone(&state), callers));
    spawn_local(prune(Rc::clone(&state)));
    spawn_local(ahead::run(Rc::clone(&state)));
    spawn_local(paths::run(Rc::clone(&state)));
    spawn_local(validate_settings_on_hangup(arguments));
    stop::run(&state).await
}

/// Opens all sockets and creates the shared state, registered by name.
fn register(config: EntryConfig, incarnation: u64) -> Result<ServiceRegistry> {
    let metrics = EntryMetrics::new()?;
    metrics.set_instance_info(&config.instance, &config.region);
    let mut services = ServiceRegistry::new();
    let waiting = config.hold.waiting_connections;
    let callers = accept::listen("callers", config.caller_address, waiting)?;
    services.register("callers", callers)?;
    let addresses = [
        config.ready_address,
        config.lookup_address,
        config.metrics_address,
        config.view_address,
    ];
    for (name, address) in INTERNAL_LISTENERS.into_iter().zip(addresses) {
        services.register(name, accept::listen(name, address, waiting)?)?;
    }
    services.register("beats", fleet::open(config.peer_address)?)?;
    services.register("state", InstanceState::new(config, metrics, incarnation))?;
    Ok(services)
}

async fn prune(state: Rc<InstanceState>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        state.pool.prune();
    }
}

/// Validates the settings again on SIGHUP and logs whether a restart would accept them. The
/// running process keeps its settings.
async fn validate_settings_on_hangup(arguments: Arguments) {
    use tokio::signal::unix::{SignalKind, signal};
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::warn!(error:%; "can't handle SIGHUP; settings won't be checked again");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match EntryConfig::load(&arguments.settings) {
            Ok(_) => log::info!("settings read again; they are valid"),
            Err(error) => log::error!(error:%; "settings read again; the running ones stay"),
        }
    }
}

/// Returns a number that increases from one run of this instance to the next.
fn incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_micros() as u64)
}

//! Asks the platform's store: the operator's rows through a feed, the servers' registry
//! by readings, the rows by which leads and callers' regions are found.
//!
//! When this entry is to ask is decided in `place::fleet`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::catalog::CatalogSnapshot;
use place::fleet::log::ReadScope;
use place::fleet::reading::{ReadOutcome, RegistryRead, answer_as_of};
use place::prelude::FleetEvent;
use platform::Error;
use platform::client::{OperatorRows, StoreClient};
use platform::tables::PlatformClient;
use store::{BLOCK_PREFIX, ENTRY_TABLE, LEAD_PREFIX, Row, RowWrite, TableService};

use crate::quarantine;
use crate::state::InstanceState;

/// Longest wait for an answer of the store. Slow answers of up to a second
/// have been seen; after that a new connection is better.
pub(crate) const PATIENCE: Duration = Duration::from_millis(1500);
/// How long a feed without changes stays open. A connection that went silent
/// is noticed after this and the patience: within the time in which an entry
/// must be up to date again after its connections were disturbed.
const FEED_WAIT: Duration = Duration::from_millis(2000);
/// Parts of the times within which keys must be known and forgotten for which a feed stays
/// open at most: the rest is for the way to the other entries, and for a second call.
const LEARN_SHARE: f64 = 0.6;
const REVOKE_SHARE: f64 = 0.4;
/// First pause after a failed call, so that a store in trouble isn't pressed.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause: a store that is back is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// Time between two looks at the rows of client blocks, where callers are sorted by them.
const BLOCKS_EVERY: Duration = Duration::from_secs(15);

/// Keeps the operator's rows in force, while this entry is to watch them, until the
/// process ends.
pub(crate) async fn watch_operator(state: Rc<InstanceState>) {
    let mut client = StoreClient::new(state.config.store, PATIENCE);
    let mut dependency = Dependency::new("operator feed");
    let mut watching = state.fleet.watching.subscribe();
    let mut pause = FIRST_PAUSE;
    // A store that nobody has written to is at version 0, and its rows are none.
    let mut has_read = false;
    let mut tells_time = true;
    loop {
        if watching.wait_for(|watches| *watches).await.is_err() {
            return;
        }
        let begun = Instant::now();
        let known = state.fleet.known().operator_read;
        let resume = (known > 0 || has_read).then_some(known);
        let wait = feed_wait(&state, tells_time);
        let result = match resume {
            None => client.read_operator().await,
            Some(after) => client.watch_operator(after, wait).await,
        };
        state
            .metrics
            .on_store_call("operator", result.as_ref().err().map(Error::kind));
        match result {
            Ok(rows) => {
                dependency.regained();
                pause = FIRST_PAUSE;
                has_read = true;
                tells_time = rows.time.is_some();
                state
                    .fleet
                    .on_event(FleetEvent::StoreTime(begun, rows.time));
                let has_rows = resume.is_none() || rows.has_rows;
                let as_of = answer_as_of(begun, wait, Instant::now(), has_rows);
                on_rows(&state, &rows, as_of, resume.is_none());
                state.fleet.on_event(FleetEvent::WatchFinished(true));
            }
            Err(Error::HistoryGone) => {
                log::info!("history of the operator's rows is gone; reading all");
                has_read = false;
                state.fleet.on_known(|known| known.operator_read = 0);
            }
            Err(error) => {
                dependency.lost(&error);
                on_store_failed(&state);
                state.fleet.on_event(FleetEvent::WatchFinished(false));
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// How long the store may hold its answer back: its word must not grow too old meanwhile,
/// where it can be told how old it is.
fn feed_wait(state: &InstanceState, tells_time: bool) -> Duration {
    let longest = match state.proof_within() {
        None => FEED_WAIT,
        Some(within) => {
            let learn = state.config.access.learn.mul_f64(LEARN_SHARE);
            FEED_WAIT.min(learn).min(within.mul_f64(REVOKE_SHARE))
        }
    };
    match state.fleet.proof_age() {
        Some(age) => longest.saturating_sub(age),
        None if tells_time => Duration::ZERO,
        None => longest,
    }
}

/// Rows that vanish from now on may only have lapsed.
fn on_store_failed(state: &InstanceState) {
    let mut placer = state.placer.borrow_mut();
    placer.catalog.on_read_failed(Instant::now());
}

/// Takes in the operator's rows as of `as_of`: all of them, or those that changed.
fn on_rows(state: &InstanceState, rows: &OperatorRows, as_of: Instant, is_whole: bool) {
    if rows.version < state.fleet.known().operator {
        // A lead told what is newer while this answer was on its way.
        return;
    }
    if is_whole {
        state.on_operator_rows(&rows.changes);
    } else {
        for change in &rows.changes {
            state.on_operator(change);
        }
    }
    let is_news = is_whole || !rows.changes.is_empty();
    let version = state.version();
    state.fleet.on_known(|known| {
        if is_news {
            known.operator = rows.version;
        }
        known.operator_read = known.operator_read.max(rows.version);
        known.operator_at = known.operator_at.max(Some(as_of));
        known.proved = known.proved.max(rows.time);
        known.desired = version;
    });
}

/// Reads the registry once.
pub(crate) async fn read_registry(state: Rc<InstanceState>, call: RegistryRead) {
    let mut client = state
        .registry
        .take()
        .unwrap_or_else(|| StoreClient::new(state.config.store, PATIENCE));
    resume(&state, &mut client);
    let RegistryRead { wait, whole } = call;
    let is_whole = whole || client.servers_version().is_none();
    let begun = Instant::now();
    let result = if whole {
        client.read_servers().await
    } else {
        client.update_servers(wait).await
    };
    state.registry.replace(Some(client));
    let error = result.as_ref().err();
    state
        .metrics
        .on_store_call("servers", error.map(Error::kind));
    let mut dependency = state.registry_dependency.borrow_mut();
    match error {
        None => dependency.regained(),
        Some(error) => dependency.lost(error),
    }
    drop(dependency);
    let outcome = match result {
        Ok(rows) => {
            let has_rows = is_whole || rows.has_rows;
            let snapshot = CatalogSnapshot {
                entries: rows.entries,
                foreign: rows.foreign,
                started_at: answer_as_of(begun, wait, Instant::now(), has_rows),
                version: rows.version,
            };
            let before = state.servers.borrow().version();
            let scope = ReadScope {
                whole: rows.whole,
                dropped: rows.dropped,
                missing: Vec::new(),
            };
            let is_taken = state.on_servers(&snapshot, scope);
            let is_same = state.servers.borrow().version() == before;
            state.metrics.on_reading(is_taken, is_same);
            if is_same {
                ReadOutcome::Unchanged
            } else {
                ReadOutcome::Changed
            }
        }
        Err(_) => {
            on_store_failed(&state);
            ReadOutcome::Failed
        }
    };
    state.report_next_removal();
    state.fleet.on_event(FleetEvent::RegistryRead(outcome));
}

/// Lets `client` go on from what a lead has told, so that an entry that begins to read
/// asks for changes only.
fn resume(state: &InstanceState, client: &mut StoreClient) {
    let told = state.fleet.known().registry_read;
    if client.servers_version().is_none_or(|read| read < told) && told > 0 {
        let servers = state.servers.borrow();
        let entries = servers.entries().cloned().collect();
        client.resume_servers(told, entries, servers.foreign());
    }
}

/// Looks at the rows by which leads and callers' regions are found.
pub(crate) async fn read_rows(state: Rc<InstanceState>) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(PATIENCE);
    let rows = match client.list(ENTRY_TABLE).await {
        Ok(rows) => rows,
        Err(error) => {
            state
                .metrics
                .on_store_call("entries", Some(store::Error::kind(&error)));
            log::info!(error:%; "rows of leads not read");
            return;
        }
    };
    state.metrics.on_store_call("entries", None);
    let (blocks, others): (Vec<&Row>, Vec<&Row>) = rows
        .iter()
        .partition(|row| row.key.starts_with(BLOCK_PREFIX));
    state.homes.borrow_mut().on_rows(&blocks);
    let kept = quarantine::parse_rows(&others);
    state.fleet.on_event(FleetEvent::QuarantineRows(kept));
    let mut leads = Vec::new();
    for row in others {
        let Some(region) = row.key.strip_prefix(LEAD_PREFIX) else {
            continue;
        };
        for address in row.value.split(',') {
            match address.parse() {
                Ok(address) => leads.push((region.to_owned(), address)),
                Err(_) => log::warn!(region; "lead's row left out"),
            }
        }
    }
    state.fleet.on_event(FleetEvent::LeadRows(leads));
}

/// Writes who leads the region, for entries that can't find out otherwise.
pub(crate) async fn write_row(state: Rc<InstanceState>, leads: Vec<SocketAddr>) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(PATIENCE);
    let key = format!("{LEAD_PREFIX}{}", state.config.region);
    let addresses: Vec<String> = leads.iter().map(SocketAddr::to_string).collect();
    let write = [RowWrite::new(ENTRY_TABLE, &key, &addresses.join(","))];
    let result = client.commit(&write).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("entries", error);
    if let Err(error) = result {
        log::info!(error:%; "row of leads not written");
    }
}

/// Looks for client blocks now and then where callers of the own interface are sorted by
/// them, until the process ends. Leads look at these rows anyway.
pub(crate) async fn watch_blocks(state: Rc<InstanceState>) {
    loop {
        tokio::time::sleep(BLOCKS_EVERY).await;
        if state.has_own_routes() && !state.fleet.leads() {
            read_rows(Rc::clone(&state)).await;
        }
    }
}

/// Logs when something the entry depends on is lost and regained, once each.
#[derive(Debug)]
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Instant>,
}

impl Dependency {
    /// The dependency `name`, not lost.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
        }
    }

    fn lost(&mut self, error: &impl std::fmt::Display) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            log::warn!(dependency = self.name, error:%; "dependency lost");
        }
    }

    fn regained(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            let after_ms = lost_at.elapsed().as_millis() as u64;
            log::info!(dependency = self.name, after_ms; "dependency regained");
        }
    }
}

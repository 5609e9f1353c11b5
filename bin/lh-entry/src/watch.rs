//! Reads the platform's store: watches the operator's rows through a change feed, polls the
//! server registry, and reads and writes the rows by which leads and callers' home regions are
//! found.
//!
//! `place::fleet` decides when this entry calls the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use place::catalog::CatalogSnapshot;
use place::fleet::log::ReadScope;
use place::fleet::reading::{ReadOutcome, RegistryRead, answer_as_of};
use place::prelude::{FleetEvent, StorePosition, WatchOutcome};
use platform::Error;
use platform::client::{OperatorRows, StoreClient};
use platform::tables::PlatformClient;
use store::{BLOCK_PREFIX, ENTRY_TABLE, LEAD_PREFIX, Row, RowWrite, TableService};

use crate::quarantine;
use crate::rollout_rows;
use crate::state::InstanceState;

/// Timeout of calls to the store. Responses that took up to a second have been observed; after
/// that a new connection is more likely to succeed.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a feed without changes stays open. A connection that went silent is detected after
/// this plus [`STORE_TIMEOUT`], which is within the time in which an entry must be up to date
/// again after its connections were disturbed.
const FEED_WAIT: Duration = Duration::from_millis(2000);
/// Fraction of the time within which new keys must be known for which a feed stays open at
/// most. The rest is left for propagation to other entries and for a second call.
const MAX_LEARN_FRACTION: f64 = 0.6;
/// The same for the time within which revoked keys must be rejected.
const MAX_REVOKE_FRACTION: f64 = 0.4;
/// Delay after the first failed call, so that a failing store isn't overloaded.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum delay between calls; a recovered store is noticed within it.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);
/// Time after which rows of the operator that a restored store lacks count as deleted: what was
/// lost is written again before.
const REWRITE_TIME: Duration = Duration::from_millis(3000);
/// Interval at which client block rows are read if callers' home regions depend on them.
const BLOCKS_INTERVAL: Duration = Duration::from_secs(15);

/// Watches and applies the operator's rows while the fleet assigns this to the entry. Runs
/// until the process ends.
pub(crate) async fn watch_operator(state: Rc<InstanceState>) {
    let mut client = StoreClient::new(state.config.store, STORE_TIMEOUT);
    let mut dependency = Dependency::new("operator feed");
    let mut watching = state.fleet.watching.subscribe();
    let mut backoff = MIN_BACKOFF;
    // A store that was never written to is at version 0 and has no rows, so the version alone
    // doesn't show whether it has been read.
    let mut has_read = false;
    let mut reports_time = true;
    // When all rows are read again after a restoration, to find those that were deleted.
    let mut reread_at: Option<Instant> = None;
    // When the first call began that was not answered since the last answer.
    let mut unanswered_since: Option<Instant> = None;
    loop {
        if watching.wait_for(|watches| *watches).await.is_err() {
            return;
        }
        let begun = Instant::now();
        let known = state.fleet.known().operator_read;
        let is_reread = reread_at.is_some_and(|at| begun >= at);
        let resume = ((known.is_known() || has_read) && !is_reread).then_some(known);
        let wait = feed_wait(&state, reports_time);
        let result = match resume {
            None => client.read_operator().await,
            Some(after) => client.watch_operator(after, wait).await,
        };
        note_era(&state, &client);
        state
            .metrics
            .on_store_call("operator", result.as_ref().err().map(Error::kind));
        match result {
            Ok(rows) => {
                dependency.on_regained();
                backoff = MIN_BACKOFF;
                has_read = true;
                reports_time = rows.time.is_some();
                state
                    .fleet
                    .on_event(FleetEvent::StoreAnswered(rows.started_at, rows.time));
                let has_rows = resume.is_none() || rows.has_rows;
                let as_of = answer_as_of(rows.started_at, wait, Instant::now(), has_rows);
                let is_restored = is_of_later_era(&state, &rows);
                let is_whole = resume.is_none() && !is_restored;
                if is_whole {
                    // Followers get the phases of rollouts with the operator's rows. No position
                    // shows them that this entry learnt of a phase later.
                    rollout_rows::read_ordered(&state, &rows.changes).await;
                }
                let is_current = state
                    .fleet
                    .known()
                    .continues_operator(resume, rows.position);
                if is_current {
                    apply_operator_rows(&state, &rows, as_of, is_whole);
                } else {
                    let (position, known) = (rows.position, state.fleet.known().operator_read);
                    log::info!(position:%, known:%; "answer about the operator's rows left out");
                }
                if is_restored {
                    reread_at = Some(Instant::now() + REWRITE_TIME);
                } else if is_whole {
                    reread_at = None;
                }
                unanswered_since = None;
                let took = rows.started_at.elapsed();
                let waited = if has_rows { Duration::ZERO } else { wait };
                state
                    .fleet
                    .on_event(FleetEvent::WatchFinished(WatchOutcome {
                        is_timely: rows.started_at >= begun,
                        took: took.saturating_sub(waited),
                    }));
            }
            Err(Error::HistoryGone) => {
                log::info!("history of the operator's rows is gone; reading all");
                has_read = false;
                state
                    .fleet
                    .update_known(|known| known.operator_read = StorePosition::default());
            }
            Err(error) => {
                dependency.on_lost(&error);
                on_store_unavailable(&state);
                let since = *unanswered_since.get_or_insert(begun);
                state
                    .fleet
                    .on_event(FleetEvent::WatchFinished(WatchOutcome {
                        is_timely: false,
                        took: since.elapsed(),
                    }));
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns whether the store came back from an older copy since the operator's rows were last
/// read. Rows that it lacks may have been lost.
fn is_of_later_era(state: &InstanceState, rows: &OperatorRows) -> bool {
    let known = state.fleet.known().operator;
    known.is_known() && rows.position.era() > known.era()
}

/// Logs that the store came back from an older copy, with what is known of its former history.
fn note_era(state: &InstanceState, client: &StoreClient) {
    let (era, known_era) = (client.era() as i64, state.metrics.store_era.get());
    if era <= known_era {
        return;
    }
    state.metrics.store_era.set(era);
    state.rollouts.on_store_restored();
    let known = state.fleet.known();
    if known.registry_read.is_known() {
        let (registry, operator) = (known.registry_read, known.operator_read);
        log::warn!(era, known_era, registry:%, operator:%; "store came back from an older copy");
    }
}

/// Returns how long the store may delay its response. If the age of the information is known,
/// it must not exceed its bounds meanwhile.
fn feed_wait(state: &InstanceState, reports_time: bool) -> Duration {
    let longest = match state.proof_within() {
        None => FEED_WAIT,
        Some(within) => {
            let learn = state.config.access.learn.mul_f64(MAX_LEARN_FRACTION);
            FEED_WAIT
                .min(learn)
                .min(within.mul_f64(MAX_REVOKE_FRACTION))
        }
    };
    match state.fleet.proof_age() {
        Some(age) => longest.saturating_sub(age),
        None if reports_time => Duration::ZERO,
        None => longest,
    }
}

/// Records that a call to the store failed: rows that disappear from now on may only have
/// lapsed.
fn on_store_unavailable(state: &InstanceState) {
    let mut placer = state.placer.borrow_mut();
    placer.catalog.on_read_failed(Instant::now());
}

/// Applies the operator's rows as of `as_of`: the complete set, or only those that changed.
fn apply_operator_rows(state: &InstanceState, rows: &OperatorRows, as_of: Instant, is_whole: bool) {
    if is_whole {
        state.on_operator_rows(&rows.changes);
    } else {
        for change in &rows.changes {
            state.on_operator_change(change);
        }
    }
    let has_changes = is_whole || !rows.changes.is_empty() || is_of_later_era(state, rows);
    let version = state.version();
    state.fleet.update_known(|known| {
        if has_changes {
            known.operator = rows.position;
        }
        known.operator_read = known.operator_read.max(rows.position);
        known.operator_at = known.operator_at.max(Some(as_of));
        known.proved = known.proved.max(rows.time);
        known.desired = version;
    });
}

/// Reads the registry once and reports the outcome to the fleet.
pub(crate) async fn read_registry(state: Rc<InstanceState>, call: RegistryRead) {
    let mut client = state
        .registry
        .take()
        .unwrap_or_else(|| StoreClient::new(state.config.store, STORE_TIMEOUT));
    let RegistryRead {
        wait,
        whole,
        resumes,
    } = call;
    if resumes {
        resume(&state, &mut client);
    } else {
        client.discard_resumed();
    }
    let is_whole = whole || client.servers_position().is_none();
    let begun = Instant::now();
    let result = if whole {
        client.read_servers().await
    } else {
        client.update_servers(wait).await
    };
    note_era(&state, &client);
    state.registry.replace(Some(client));
    let error = result.as_ref().err();
    state
        .metrics
        .on_store_call("servers", error.map(Error::kind));
    let mut dependency = state.registry_dependency.borrow_mut();
    match error {
        None => dependency.on_regained(),
        Some(error) => dependency.on_lost(error),
    }
    drop(dependency);
    let outcome = match result {
        Ok(rows) => {
            let has_rows = is_whole || rows.has_rows;
            let started_at = rows.started_at.unwrap_or(begun);
            let snapshot = CatalogSnapshot {
                entries: rows.entries,
                foreign: rows.foreign,
                started_at: answer_as_of(started_at, wait, Instant::now(), has_rows),
                position: rows.position,
            };
            let before = state.servers.borrow().version();
            let scope = ReadScope {
                whole: rows.whole,
                dropped: rows.dropped,
                replaced: rows.replaced,
                ..ReadScope::default()
            };
            let is_taken = state.on_registry_snapshot(&snapshot, scope);
            let is_same = state.servers.borrow().version() == before;
            state.metrics.on_reading(is_taken, is_same);
            if started_at < begun {
                // The rows count, but the store is too slow to be relied on, and this call
                // confirms nothing that happened before it.
                ReadOutcome::Failed
            } else if is_same {
                ReadOutcome::Unchanged
            } else {
                ReadOutcome::Changed
            }
        }
        Err(_) => {
            on_store_unavailable(&state);
            ReadOutcome::Failed
        }
    };
    state.report_pending_removals();
    state.fleet.on_event(FleetEvent::RegistryRead(outcome));
}

/// Lets `client` resume from the registry as received from a lead, so that an entry that
/// starts reading requests only changes. Those since a read that was merely confirmed by another
/// entry are requested again, for the sequence numbers that this entry lacks.
fn resume(state: &InstanceState, client: &mut StoreClient) {
    let listed = state.fleet.known().registry_listed;
    if client.servers_position().is_none_or(|read| read < listed) && listed.is_known() {
        let servers = state.servers.borrow();
        let entries = servers.entries().cloned().collect();
        client.resume_servers(listed, entries, servers.foreign());
    }
}

/// Reads the rows by which leads, quarantined requests and callers' home regions are found.
pub(crate) async fn read_entry_rows(state: Rc<InstanceState>) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(STORE_TIMEOUT);
    let rows = match client.list(ENTRY_TABLE).await {
        Ok(rows) => rows,
        Err(error) => {
            state
                .metrics
                .on_store_call("entries", Some(store::Error::kind(&error)));
            log::info!(error:%; "can't read the rows of leads");
            return;
        }
    };
    state.metrics.on_store_call("entries", None);
    let (blocks, others): (Vec<&Row>, Vec<&Row>) = rows
        .iter()
        .partition(|row| row.key.starts_with(BLOCK_PREFIX));
    state.homes.borrow_mut().apply_block_rows(&blocks);
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
                Err(_) => log::warn!(region; "ignoring an invalid address in a lead's row"),
            }
        }
    }
    state.fleet.on_event(FleetEvent::LeadRows(leads));
}

/// Writes the region's leads to the store, for entries that can't discover them otherwise.
pub(crate) async fn write_lead_row(state: Rc<InstanceState>, leads: Vec<SocketAddr>) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(STORE_TIMEOUT);
    let key = format!("{LEAD_PREFIX}{}", state.config.region);
    let addresses: Vec<String> = leads.iter().map(SocketAddr::to_string).collect();
    let write = [RowWrite::new(ENTRY_TABLE, &key, &addresses.join(","))];
    let result = client.commit(&write).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("entries", error);
    if let Err(error) = result {
        log::info!(error:%; "can't write the row of leads");
    }
}

/// Periodically reads client blocks if there are routes on the product's own interface, whose
/// callers' home regions depend on them. Leads read these rows anyway. Runs until the process
/// ends.
pub(crate) async fn watch_blocks(state: Rc<InstanceState>) {
    loop {
        tokio::time::sleep(BLOCKS_INTERVAL).await;
        if state.has_own_routes() && !state.fleet.leads() {
            read_entry_rows(Rc::clone(&state)).await;
        }
    }
}

/// Logs each loss and recovery of a dependency once.
#[derive(Debug)]
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Instant>,
}

impl Dependency {
    /// Creates the available dependency `name`.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
        }
    }

    fn on_lost(&mut self, error: &impl std::fmt::Display) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            log::warn!(dependency = self.name, error:%; "dependency lost");
        }
    }

    fn on_regained(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            let after_ms = lost_at.elapsed().as_millis() as u64;
            log::info!(dependency = self.name, after_ms; "dependency regained");
        }
    }
}

//! The rows that hold the agreed phase of each rollout, which leads maintain.

use std::rc::Rc;
use std::time::{Duration, Instant};

use place::prelude::*;
use platform::desired::OperatorChange;
use platform::rollouts::status_write;
use platform::tables::PlatformClient;
use rollout::prelude::*;
use store::{CommitOutcome, ENTRY_TABLE, ROLLOUT_PREFIX, Row, RowSet, RowWrite, TableService};
use tokio::time::timeout;

use crate::state::InstanceState;
use crate::watch::STORE_TIMEOUT;

/// Interval at which a lead checks whether an unfinished rollout can advance.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the row of an unfinished rollout is read again, since another lead may
/// have written it.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the rows of unfinished rollouts up to date while this entry is a lead. Runs until the
/// process ends.
pub(crate) async fn maintain_rows(state: Rc<InstanceState>) {
    let mut last_read_at = Instant::now();
    loop {
        let _ = timeout(UPDATE_INTERVAL, state.rollouts.wake.notified()).await;
        if !state.fleet.leads() {
            continue;
        }
        let is_reread_due = last_read_at.elapsed() >= REREAD_INTERVAL;
        if is_reread_due {
            last_read_at = Instant::now();
        }
        let services = state.rollouts.controller().unfinished_services();
        let needs_write = |service: &String| next_record(&state, service).is_some();
        if services
            .iter()
            .any(|service| is_reread_due || needs_write(service))
        {
            update_rows(&state, &services).await;
        }
    }
}

/// Reads the rows of all rollouts if `changes` order any: an entry that starts may find them in
/// any phase.
pub(crate) async fn read_ordered(state: &InstanceState, changes: &[OperatorChange]) {
    let is_order = |change: &OperatorChange| matches!(change, OperatorChange::Rollout(_));
    if changes.iter().any(is_order) {
        let client = PlatformClient::new(state.config.store).with_answer_timeout(STORE_TIMEOUT);
        read_rows(state, &client).await;
    }
}

async fn update_rows(state: &InstanceState, services: &[String]) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(STORE_TIMEOUT);
    let Some(rows) = read_rows(state, &client).await else {
        return;
    };
    let mut is_written = false;
    for service in services {
        let Some(record) = next_record(state, service) else {
            continue;
        };
        let row = rows.row(&row_key(service));
        let stored = row.and_then(decode_record);
        if stored.is_some_and(|stored| !record.is_newer(&stored)) {
            continue;
        }
        let revision = row.map_or(0, |row| row.revision);
        is_written |= write_record(state, &client, &record, revision).await;
    }
    if is_written {
        // The entry acts on stored records only, and their position informs other entries of the
        // change.
        read_rows(state, &client).await;
    }
}

fn row_key(service: &str) -> String {
    format!("{ROLLOUT_PREFIX}{service}")
}

/// Returns the record to store for the rollout of `service`; `None` if it needs no change.
fn next_record(state: &InstanceState, service: &str) -> Option<RolloutRecord> {
    let controller = state.rollouts.controller();
    let version = &controller.record(service)?.order.version;
    let counts = count_servers(state, service, version);
    let store_now = state.fleet.latest_store_time();
    if !store_now.is_some() {
        return None;
    }
    controller.next_record(Instant::now(), service, counts, store_now.0)
}

/// Counts the servers of `service` that may get requests, those of `version` apart.
fn count_servers(state: &InstanceState, service: &str, version: &str) -> ServerCounts {
    let mut counts = ServerCounts::default();
    let placer = state.placer.borrow();
    for (_, server) in placer.catalog.open_servers(service) {
        if server.entry.version == version {
            counts.new += 1;
        } else {
            counts.old += 1;
        }
    }
    counts
}

/// Reads and applies the rows of all rollouts; `None` if the store doesn't respond. All are read
/// at once, since a position must stand for every change up to it: a single row's revision says
/// nothing about other rows.
async fn read_rows(state: &InstanceState, client: &PlatformClient) -> Option<RowSet> {
    let result = client.list_prefix(ENTRY_TABLE, ROLLOUT_PREFIX).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("rollout", error);
    let rows = match result {
        Ok(rows) => rows,
        Err(error) => {
            log::info!(error:%; "can't read the rows of rollouts");
            return None;
        }
    };
    let latest = state.fleet.latest_store_time();
    for record in rows.rows.iter().filter_map(decode_record) {
        state.rollouts.on_record(&record, latest, true);
    }
    let position = StorePosition::new(rows.era, rows.changed_at());
    state
        .fleet
        .update_known(|known| known.rollouts = known.rollouts.max(position));
    Some(rows)
}

/// Writes `record` if its row still has the revision `revision`. Returns whether the store may
/// have done so.
async fn write_record(
    state: &InstanceState,
    client: &PlatformClient,
    record: &RolloutRecord,
    revision: u64,
) -> bool {
    let text = match serde_json::to_string(record) {
        Ok(text) => text,
        Err(error) => {
            log::error!(error:%; "can't encode a rollout");
            return false;
        }
    };
    let key = row_key(&record.order.service);
    let mut writes = vec![RowWrite::new(ENTRY_TABLE, &key, &text).with_expected(revision)];
    match status_write(record) {
        Ok(status) => writes.extend(status),
        Err(error) => log::error!(error:%; "can't encode the status of a rollout"),
    }
    let result = client.commit(&writes).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("rollout", error);
    let service = record.order.service.as_str();
    let phase = record.phase.as_str();
    let servers = count_servers(state, service, &record.order.version);
    let (new_servers, old_servers) = (servers.new, servers.old);
    match result {
        Ok(CommitOutcome::Done) => {
            log::info!(service, phase, new_servers, old_servers; "rollout written");
        }
        Ok(CommitOutcome::Conflict) => log::info!(service, phase; "another lead wrote the rollout"),
        Err(error) => log::info!(service, phase, error:%; "rollout may not have been written"),
    }
    true
}

fn decode_record(row: &Row) -> Option<RolloutRecord> {
    match serde_json::from_str::<RolloutRecord>(&row.value) {
        Ok(record) if record.order.is_valid() => Some(record),
        Ok(record) => {
            let seconds = record.order.duration.as_secs();
            log::warn!(key = row.key.as_str(), seconds; "ignoring the row of a rollout that takes too long");
            None
        }
        Err(error) => {
            log::warn!(key = row.key.as_str(), error:%; "ignoring an invalid row of a rollout");
            None
        }
    }
}

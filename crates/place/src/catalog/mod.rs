//! All backend servers that may be alive, by service.
//!
//! The registry is authoritative while it works. A row that disappears during a registry
//! outage, or shortly after, may only have lapsed: the server is kept until it had time to
//! register again.

mod change;
mod departed;
pub mod index;
mod outage;
mod relisted;
mod table;
mod unproven;
mod update;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::catalog::index::{ServiceIndex, TopServersByLocality};
use crate::catalog::outage::{RegistryOutage, VanishedRow};
use crate::catalog::relisted::RelistedRows;
use crate::catalog::table::RecordTable;
use crate::catalog::unproven::UnprovenRuns;
use crate::departure::{Departure, DepartureTable};
use crate::fleet::log::{RegistryDelta, store_position};
use crate::fleet::position::StorePosition;
use crate::placing::candidates::RankScope;
use crate::placing::round_trip::RoundTripEstimator;
use crate::server::{EntryState, ServerEntry, ServerRecord};

pub use crate::catalog::change::{CatalogChange, ServerCondition};
pub use crate::catalog::table::ServerHandle;
pub use crate::snapshot::{CatalogSnapshot, DroppedRow};

/// The known servers and their state.
#[derive(Debug, Default)]
pub struct ServerCatalog {
    domains: HashMap<String, String>,
    table: RecordTable,
    evacuated: HashSet<String>,
    read_at: Option<Instant>,
    /// The store's position at the known state, whichever entry read it.
    position: StorePosition,
    /// When that state was applied.
    applied_at: Option<Instant>,
    round_trips: RoundTripEstimator,
    outage: RegistryOutage,
    departures: DepartureTable,
    relisted: RelistedRows,
    unproven: UnprovenRuns,
    /// Runs that a run with an earlier start has replaced, since the last call of
    /// [`Self::take_overtaken`].
    overtaken: Vec<Departure>,
    /// As of when every registration, with its sequence number, is known.
    registrations_at: Option<Instant>,
}

impl ServerCatalog {
    /// Creates an empty catalog; `domains` maps each failure domain to its region.
    pub fn new(domains: HashMap<String, String>) -> Self {
        Self {
            table: RecordTable::new(&domains),
            domains,
            ..Self::default()
        }
    }

    /// Sets the time within which a draining server must stop getting requests.
    #[must_use]
    pub fn with_drain(mut self, drain_time: Duration) -> Self {
        self.outage.set_drain(drain_time);
        self
    }

    /// Sets the failure domain and region of the entry that uses this catalog.
    #[must_use]
    pub fn with_location(mut self, domain: &str, region: &str) -> Self {
        self.round_trips = RoundTripEstimator::new(domain, region);
        self
    }

    /// Records that opening a connection to the server behind `handle` took `millis`.
    pub fn on_connected(&mut self, handle: ServerHandle, millis: f64) {
        let Some(record) = self.get(handle) else {
            return;
        };
        let (domain, region) = (record.entry.domain.clone(), record.region.clone());
        let Some(round_trip) = self.round_trips.on_connected(&domain, &region, millis) else {
            return;
        };
        for record in self.table.iter_mut() {
            if record.entry.domain == domain {
                record.round_trip = round_trip;
            }
        }
    }

    /// When the newest snapshot began.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Records that the registry did not answer a read.
    pub fn on_read_failed(&mut self, now: Instant) {
        self.outage.on_failed(now);
    }

    /// Records that the registry answered a read of another entry that began at `started_at`,
    /// whatever that entry knows.
    pub fn on_peer_read(&mut self, started_at: Instant) {
        self.outage.on_answered(started_at);
    }

    /// Notes that the registry was at `position`, before what is known of it then is applied. A
    /// store that came back from an older copy lacks rows of live servers until they write them
    /// again, as it does after an outage.
    pub fn note_era(&mut self, now: Instant, position: StorePosition) {
        if self.position.is_known() && position.era() > self.position.era() {
            self.outage.on_restored(now);
            self.relisted.on_restored(now);
        }
    }

    /// Whether a newer state than `snapshot` is known. Its version decides, not the time of the
    /// request: the answer to a long poll may be newer than one to a later request. A lower
    /// version in a snapshot that began after the known state was applied shows that the known
    /// version never was the store's, so such a snapshot counts.
    pub fn is_outdated(&self, snapshot: &CatalogSnapshot) -> bool {
        let is_later = self.applied_at.is_none_or(|at| snapshot.started_at >= at);
        snapshot.position < self.position && !is_later
    }

    /// Applies a complete snapshot of the registry and returns the changes.
    pub fn apply_snapshot(
        &mut self,
        now: Instant,
        snapshot: &CatalogSnapshot,
    ) -> Vec<CatalogChange> {
        if self.is_outdated(snapshot) {
            return Vec::new();
        }
        self.outage.on_answered(snapshot.started_at);
        self.relisted.on_read(snapshot.started_at);
        // An answer that was read late shows what was missing when it began.
        let settled = self.outage.is_settled(snapshot.started_at);
        let mut changes = Vec::new();
        self.presume_departed(now, snapshot, &mut changes);
        self.unproven.on_known(snapshot.started_at);
        self.position = snapshot.position;
        for entry in &snapshot.entries {
            self.apply_entry(now, snapshot.started_at, entry, &mut changes);
        }
        for id in &snapshot.foreign {
            self.mark_overwritten(id, &mut changes);
        }
        let own = snapshot.entries.iter().map(|entry| entry.id.as_str());
        let foreign = snapshot.foreign.iter().map(String::as_str);
        let listed: HashSet<&str> = own.chain(foreign).collect();
        self.remove_missing(now, snapshot.started_at, &listed, settled, &mut changes);
        self.read_at = self.read_at.max(Some(snapshot.started_at));
        self.registrations_at = self.registrations_at.max(Some(snapshot.started_at));
        self.applied_at = Some(now);
        changes
    }

    /// Applies a delta that another entry sent, as of `started_at`, and returns the changes. The
    /// sender has decided whether servers with missing rows are gone.
    pub fn apply_delta(
        &mut self,
        now: Instant,
        started_at: Instant,
        delta: &RegistryDelta,
    ) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        self.unproven.on_known(started_at);
        self.note_era(now, store_position(delta.version));
        self.apply_delta_departures(now, delta, &mut changes);
        let missing = self.missing_times(now, &delta.missing);
        for entry in &delta.entries {
            let is_missing = delta.missing.contains(&entry.id);
            if is_missing && self.departures.of_run(now, entry).is_some() {
                // The row that the sender still waits for isn't listed again.
                self.relisted.remove(&entry.id);
                continue;
            }
            self.apply_entry(now, started_at, entry, &mut changes);
        }
        self.mark_missing(&missing);
        for id in &delta.missing {
            self.relisted.remove(id);
        }
        for id in &delta.foreign {
            self.mark_overwritten(id, &mut changes);
        }
        if delta.whole {
            let entries = delta.entries.iter().map(|entry| &entry.id);
            let kept = entries.chain(&delta.foreign).chain(&delta.missing);
            let listed: HashSet<&str> = kept.map(String::as_str).collect();
            // If the copy is older than the known state, a row that it lacks wasn't necessarily
            // dropped.
            if store_position(delta.version) >= self.position {
                // A sender that doesn't know them may have started after a restoration.
                let settled = self.outage.is_settled(started_at);
                self.remove_missing(now, started_at, &listed, settled, &mut changes);
            } else {
                self.remove_unlisted(&listed, &mut changes);
            }
        }
        self.position = store_position(delta.version);
        self.applied_at = Some(now);
        self.registrations_at = self.registrations_at.max(Some(started_at));
        self.confirm(started_at);
        changes.extend(self.admit_relisted(now, started_at));
        changes
    }

    /// Another entry confirmed the known state as of `started_at`.
    pub fn confirm(&mut self, started_at: Instant) {
        self.read_at = self.read_at.max(Some(started_at));
        self.outage.on_answered(started_at);
        self.relisted.on_read(started_at);
    }

    /// Another entry confirmed the known state as of `started_at`, when the registry was at
    /// `position`.
    pub fn confirm_at(&mut self, now: Instant, started_at: Instant, position: StorePosition) {
        self.note_era(now, position);
        if position.era() > self.position.era() {
            self.position = position;
        }
        self.confirm(started_at);
    }

    /// Returns the runs that a run with an earlier start has replaced since the last call.
    pub fn take_overtaken(&mut self) -> Vec<Departure> {
        std::mem::take(&mut self.overtaken)
    }

    /// When the next server with a missing row is due for removal, if any is missing.
    pub fn next_removal_at(&self) -> Option<Instant> {
        let own = self.table.iter().filter(|record| !record.kept_by_peer);
        let rows = own.filter_map(vanished_row);
        let first = rows.map(|row| self.outage.removal_time(row)).min()?;
        let settled_at = self.outage.settled_at();
        Some(settled_at.map_or(first, |at| at.min(first)))
    }

    /// Servers whose rows are missing and that are kept for now.
    pub fn missing(&self) -> impl Iterator<Item = &str> {
        let missing = self.iter().filter(|record| record.missing_since.is_some());
        missing.map(|record| record.entry.id.as_str())
    }

    /// Sets the evacuated failure domains. Servers of a domain that is no longer evacuated
    /// count as cold for `warmup`, since their caches may have been dropped.
    pub fn set_evacuated(&mut self, now: Instant, domains: HashSet<String>, warmup: Duration) {
        for record in self.table.iter_mut() {
            let domain = &record.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                record.mark_cold(now, warmup);
            }
        }
        self.evacuated = domains;
    }

    /// Whether `domain` is evacuated, so that its servers must get no requests.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The server entry of `id`, unless it is gone.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        Some(&self.table.by_id(id)?.entry)
    }

    /// The record behind `handle`, unless the server is gone.
    pub fn get(&self, handle: ServerHandle) -> Option<&ServerRecord> {
        self.table.get(handle)
    }

    /// Mutable variant of [`Self::get`].
    pub fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut ServerRecord> {
        self.table.get_mut(handle)
    }

    /// The servers of `service` that may take new requests according to the registry.
    pub fn open_servers(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (ServerHandle, &ServerRecord)> {
        let index = self.table.service(service);
        let record_indexes = index.into_iter().flat_map(ServiceIndex::record_indexes);
        record_indexes.filter_map(|record_index| self.open_by_index(record_index))
    }

    /// The server whose record is at `record_index`, if it may take new requests according to
    /// the registry.
    pub(crate) fn open_by_index(
        &self,
        record_index: usize,
    ) -> Option<(ServerHandle, &ServerRecord)> {
        let record = self.table.by_index(record_index)?;
        let handle = ServerHandle::new(record_index, record.hash);
        self.closed_reason(record)
            .is_none()
            .then_some((handle, record))
    }

    /// The top ranked servers of `object` among those of `service`, in each locality of
    /// `scope`.
    pub(crate) fn top_servers(
        &mut self,
        service: &str,
        object: u64,
        scope: RankScope,
    ) -> Option<TopServersByLocality> {
        let index = self.table.service_mut(service)?;
        Some(index.top_servers(object, scope))
    }

    /// Number of servers of `service`, including those that may not get requests.
    pub(crate) fn server_count(&self, service: &str) -> usize {
        self.table.service(service).map_or(0, ServiceIndex::len)
    }

    /// Slots of the smallest server of `service`.
    pub(crate) fn min_slots(&self, service: &str) -> u32 {
        let index = self.table.service(service);
        index.map_or(1, ServiceIndex::min_slots)
    }

    /// Indexes of the records with the short id `short_id`.
    pub(crate) fn indexes_by_short_id(&self, short_id: u32) -> impl Iterator<Item = usize> {
        self.table.indexes_by_short_id(short_id)
    }

    /// The record at `record_index`.
    pub(crate) fn by_index(&self, record_index: usize) -> Option<&ServerRecord> {
        self.table.by_index(record_index)
    }

    /// The record at `record_index`, mutable.
    pub(crate) fn by_index_mut(&mut self, record_index: usize) -> Option<&mut ServerRecord> {
        self.table.by_index_mut(record_index)
    }

    /// Number of servers that have joined since the start.
    pub(crate) fn join_count(&self) -> u64 {
        self.table.join_count()
    }

    /// Number of records read since the start, which measures how the cost of a placement grows
    /// with the number of servers.
    pub fn records_examined(&self) -> u64 {
        self.table.records_examined()
    }

    /// Whether a request that was placed at the server may still be sent there: it may have
    /// started draining while the connection was opened.
    pub fn may_send(&self, handle: ServerHandle) -> bool {
        let record = self.get(handle);
        record.is_some_and(|record| self.closed_reason(record).is_none())
    }

    /// Whether the server of `record` may get requests.
    pub fn condition(&self, now: Instant, record: &ServerRecord) -> ServerCondition {
        if let Some(condition) = self.closed_reason(record) {
            condition
        } else if record.is_backing_off(now) {
            ServerCondition::Unreachable
        } else if record.is_cold(now) {
            ServerCondition::Cold
        } else {
            ServerCondition::Open
        }
    }

    /// Why the server of `record` must get no requests at all, if it must not.
    fn closed_reason(&self, record: &ServerRecord) -> Option<ServerCondition> {
        if record.entry.state == EntryState::Draining {
            Some(ServerCondition::Leaving)
        } else if record.overwritten {
            Some(ServerCondition::Overwritten)
        } else if self.evacuated.contains(&record.entry.domain) {
            Some(ServerCondition::Evacuated)
        } else {
            None
        }
    }

    /// All known servers.
    pub fn iter(&self) -> impl Iterator<Item = &ServerRecord> {
        self.table.iter()
    }

    /// All known servers, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServerRecord> {
        self.table.iter_mut()
    }
}

/// The row of `record`, if it is missing from the registry.
fn vanished_row(record: &ServerRecord) -> Option<VanishedRow> {
    let missing_since = record.missing_since?;
    Some(VanishedRow {
        listed_at: record.listed_at.unwrap_or(missing_since),
        missing_since,
    })
}

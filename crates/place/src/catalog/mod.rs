//! All backend servers that may be alive, by service.
//!
//! The registry's word counts while it is undisturbed. An entry that vanishes
//! while the registry is in trouble, or just after, may only have lapsed: it is
//! kept until the registry had time to hear from the server again.

mod change;
pub mod index;
mod outage;
mod table;
mod words;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::catalog::index::{NearPlaces, ServiceIndex};
use crate::catalog::outage::{RegistryOutage, VanishedRow};
use crate::catalog::table::RecordTable;
use crate::departure::{Departure, DepartureTable};
use crate::fleet::log::{RegistryDelta, store_version};
use crate::placing::candidates::RankScope;
use crate::placing::trip::TripBook;
use crate::server::{EntryState, ServerEntry, ServerRecord};

pub use crate::catalog::change::{CatalogChange, ServerCondition};
pub use crate::catalog::table::ServerHandle;
pub use crate::snapshot::{CatalogSnapshot, DroppedRow};

/// The servers.
#[derive(Debug, Default)]
pub struct ServerCatalog {
    domains: HashMap<String, String>,
    table: RecordTable,
    evacuated: HashSet<String>,
    read_at: Option<Instant>,
    /// The store's version as of which what is known was read, by whomever.
    version: u64,
    /// When that was taken in.
    taken_at: Option<Instant>,
    trips: TripBook,
    outage: RegistryOutage,
    departures: DepartureTable,
}

impl ServerCatalog {
    /// An empty catalog; `domains` maps each failure domain to its region.
    pub fn new(domains: HashMap<String, String>) -> Self {
        Self {
            table: RecordTable::new(&domains),
            domains,
            ..Self::default()
        }
    }

    /// Sets the time within which a leaving server must get no more requests.
    #[must_use]
    pub fn with_drain(mut self, drain: Duration) -> Self {
        self.outage.set_drain(drain);
        self
    }

    /// Sets where the entry stands that uses this catalog.
    #[must_use]
    pub fn with_place(mut self, domain: &str, region: &str) -> Self {
        self.trips = TripBook::new(domain, region);
        self
    }

    /// Opening a connection to the server behind `handle` took `millis`.
    pub fn on_connected(&mut self, handle: ServerHandle, millis: f64) {
        let Some(record) = self.get(handle) else {
            return;
        };
        let (domain, region) = (record.entry.domain.clone(), record.region.clone());
        let Some(trip) = self.trips.on_connected(&domain, &region, millis) else {
            return;
        };
        for record in self.table.iter_mut() {
            if record.entry.domain == domain {
                record.trip = trip;
            }
        }
    }

    /// When the newest reading began.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// The registry did not answer a reading.
    pub fn on_read_failed(&mut self, now: Instant) {
        self.outage.on_failed(now);
    }

    /// Whether something newer than `snapshot` is known. What it holds decides, not when it
    /// was asked for: an answer that the store held back until something changed may hold
    /// more than one to a later question. A version that a later answer of the store doesn't
    /// reach was never the store's.
    pub fn is_outdated(&self, snapshot: &CatalogSnapshot) -> bool {
        let is_later = self.taken_at.is_none_or(|at| snapshot.begun >= at);
        snapshot.version < self.version && !is_later
    }

    /// Takes in a complete reading, and returns what changed.
    pub fn on_read(&mut self, now: Instant, snapshot: &CatalogSnapshot) -> Vec<CatalogChange> {
        if self.is_outdated(snapshot) {
            return Vec::new();
        }
        let settled = self.outage.on_answered(now);
        let mut changes = Vec::new();
        for entry in &snapshot.entries {
            self.update(now, snapshot.begun, entry, &mut changes);
        }
        for id in &snapshot.foreign {
            self.overwrite(id, &mut changes);
        }
        let own = snapshot.entries.iter().map(|entry| entry.id.as_str());
        let foreign = snapshot.foreign.iter().map(String::as_str);
        let listed: HashSet<&str> = own.chain(foreign).collect();
        self.sweep(now, &listed, settled, &mut changes);
        self.read_at = self.read_at.max(Some(snapshot.begun));
        self.version = snapshot.version;
        self.taken_at = Some(now);
        changes
    }

    /// Takes in which rows were dropped since the reading before, before what is listed now:
    /// a word that is listed again and is no newer than what stood there is an older one.
    pub fn on_dropped(&mut self, now: Instant, rows: &[DroppedRow]) {
        for row in rows {
            if row.version <= self.version {
                // What is known now is newer.
                continue;
            }
            let known = self.table.by_id(&row.id).map(|record| &record.entry);
            for word in known.into_iter().chain(&row.last_entry) {
                self.departures.record(now, &Departure::of(word));
            }
        }
    }

    /// Takes in what another entry told of the registry as of `begun`, and returns what
    /// changed. Whether a server whose row vanished is gone was decided there.
    pub fn on_told(
        &mut self,
        now: Instant,
        begun: Instant,
        delta: &RegistryDelta,
    ) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        self.on_told_gone(now, delta, &mut changes);
        for entry in &delta.entries {
            self.update(now, begun, entry, &mut changes);
        }
        for id in &delta.foreign {
            self.overwrite(id, &mut changes);
        }
        if delta.whole {
            let entries = delta.entries.iter().map(|entry| &entry.id);
            let kept = entries.chain(&delta.foreign).chain(&delta.missing);
            let listed: HashSet<&str> = kept.map(String::as_str).collect();
            // Of a copy that is older than what was known, no row that it lacks was dropped.
            if store_version(delta.version) >= self.version {
                self.sweep(now, &listed, true, &mut changes);
            } else {
                self.drop_others(&listed, &mut changes);
            }
        }
        self.version = store_version(delta.version);
        self.taken_at = Some(now);
        self.confirm(begun);
        changes
    }

    /// Takes in which servers have left, as another entry knows, and returns what changed.
    pub fn on_ends(&mut self, now: Instant, ends: &[Departure]) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for departure in ends {
            self.departures.record(now, departure);
            let known = self.table.by_id(&departure.id);
            if known.is_some_and(|record| self.departures.supersedes(now, &record.entry)) {
                self.remove(now, &departure.id, &mut changes);
            }
        }
        changes
    }

    /// What is known is as fresh as of `begun`, by the word of another entry.
    pub fn confirm(&mut self, begun: Instant) {
        self.read_at = self.read_at.max(Some(begun));
        self.outage.on_told(begun);
    }

    /// When servers that are still missing are gone, where any may be.
    pub fn settles_at(&self) -> Option<Instant> {
        let rows = self.table.iter().filter_map(vanished_row);
        let first = rows.map(|row| self.outage.gone_at(row)).min()?;
        let settled_at = self.outage.settled_at();
        Some(settled_at.map_or(first, |at| at.min(first)))
    }

    /// Servers whose rows vanished and that are kept for now.
    pub fn missing(&self) -> impl Iterator<Item = &str> {
        let missing = self.iter().filter(|record| record.missing_since.is_some());
        missing.map(|record| record.entry.id.as_str())
    }

    /// Sets the evacuated failure domains. Servers of one that is taken back
    /// are treated as cold for `warmup`: their caches may have been dropped.
    pub fn set_evacuated(&mut self, now: Instant, domains: HashSet<String>, warmup: Duration) {
        for record in self.table.iter_mut() {
            let domain = &record.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                record.mark_cold(now, warmup);
            }
        }
        self.evacuated = domains;
    }

    /// Whether nothing may be sent to the servers of `domain`.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The entry of the server `id`, unless it is gone.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        Some(&self.table.by_id(id)?.entry)
    }

    /// The record behind `handle`, unless the server is gone.
    pub fn get(&self, handle: ServerHandle) -> Option<&ServerRecord> {
        self.table.get(handle)
    }

    /// The record behind `handle`, for changes.
    pub fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut ServerRecord> {
        self.table.get_mut(handle)
    }

    /// The servers of `service` that may take new requests by the registry's word.
    pub fn open_servers(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (ServerHandle, &ServerRecord)> {
        let index = self.table.service(service);
        let slots = index.into_iter().flat_map(ServiceIndex::slots);
        slots.filter_map(|slot| self.open_at(slot))
    }

    /// The server whose record is at `slot`, where it may take new requests by the registry's
    /// word.
    pub(crate) fn open_at(&self, slot: usize) -> Option<(ServerHandle, &ServerRecord)> {
        let record = self.table.at(slot)?;
        let handle = ServerHandle::new(slot, record.hash);
        self.closed_by(record).is_none().then_some((handle, record))
    }

    /// The servers of `service` nearest to `object` in each place of `scope`.
    pub(crate) fn nearest(
        &mut self,
        service: &str,
        object: u64,
        scope: RankScope,
    ) -> Option<NearPlaces> {
        let index = self.table.service_mut(service)?;
        Some(index.nearest(object, scope))
    }

    /// Number of servers of `service`, also of those that may not get requests.
    pub(crate) fn servers_of(&self, service: &str) -> usize {
        self.table.service(service).map_or(0, ServiceIndex::len)
    }

    /// Slots of the smallest server of `service`.
    pub(crate) fn least_slots(&self, service: &str) -> u32 {
        let index = self.table.service(service);
        index.map_or(1, ServiceIndex::least_slots)
    }

    /// Indexes of the records of servers that entries tell each other of as `name`.
    pub(crate) fn named(&self, name: u32) -> impl Iterator<Item = usize> {
        self.table.named(name)
    }

    /// The record at `slot`, for changes.
    pub(crate) fn at_mut(&mut self, slot: usize) -> Option<&mut ServerRecord> {
        self.table.at_mut(slot)
    }

    /// Rises with each server that joins.
    pub(crate) fn joined(&self) -> u64 {
        self.table.joined()
    }

    /// Records looked at since the start: what decisions cost as servers become many.
    pub fn examined(&self) -> u64 {
        self.table.examined()
    }

    /// Whether a request that was placed at the server may still be sent there. Making a
    /// connection takes time, in which the server may have begun to leave.
    pub fn may_send(&self, handle: ServerHandle) -> bool {
        let record = self.get(handle);
        record.is_some_and(|record| self.closed_by(record).is_none())
    }

    /// Whether the server of `record` may get requests.
    pub fn condition(&self, now: Instant, record: &ServerRecord) -> ServerCondition {
        if let Some(condition) = self.closed_by(record) {
            condition
        } else if record.is_backing_off(now) {
            ServerCondition::Unreachable
        } else if record.is_cold(now) {
            ServerCondition::Cold
        } else {
            ServerCondition::Open
        }
    }

    /// Whose word keeps all requests from the server of `record`, where there is such.
    fn closed_by(&self, record: &ServerRecord) -> Option<ServerCondition> {
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

    /// All known servers, for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServerRecord> {
        self.table.iter_mut()
    }
}

/// The row of `record`, where it vanished.
fn vanished_row(record: &ServerRecord) -> Option<VanishedRow> {
    let missing_since = record.missing_since?;
    Some(VanishedRow {
        listed_at: record.listed_at.unwrap_or(missing_since),
        missing_since,
    })
}

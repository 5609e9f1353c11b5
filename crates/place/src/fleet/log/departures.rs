//! Departures in the log of the registry.

use std::collections::{BTreeMap, HashSet, VecDeque};

use crate::departure::Departure;
use crate::fleet::log::{
    LogEntry, ReadScope, RegistryDelta, RegistryLog, newer_entry, store_position,
};
use crate::server::{EntryState, ServerEntry};
use crate::snapshot::CatalogSnapshot;

/// Maximum number of departures in the log: a third of the largest fleet may be replaced while
/// an entry receives nothing.
const MAX_DEPARTURES: usize = 1024;

/// The latest departures of each server.
#[derive(Debug, Default)]
pub(super) struct DepartureLog {
    by_id: BTreeMap<String, LoggedDepartures>,
    /// Log versions and ids in the order in which they were recorded.
    order: VecDeque<(u64, String)>,
}

/// The latest departures of a server, with the log versions at which they were recorded.
#[derive(Debug, Default)]
struct LoggedDepartures {
    known_run: Option<(u64, Departure)>,
    /// One of a run that isn't known here; other entries may know it from another reader.
    unknown_run: Option<(u64, Departure)>,
}

impl LoggedDepartures {
    fn record(&mut self, version: u64, departure: Departure) {
        if !departure.is_known() {
            self.unknown_run = Some((version, departure));
            return;
        }
        match &mut self.known_run {
            Some((recorded, known)) => {
                *recorded = version;
                known.merge(&departure);
            }
            None => self.known_run = Some((version, departure)),
        }
    }

    fn iter(&self) -> impl Iterator<Item = &(u64, Departure)> {
        self.known_run.iter().chain(&self.unknown_run)
    }
}

impl DepartureLog {
    /// Records a departure at `version`. Returns the version of one that was dropped for it.
    fn record(&mut self, version: u64, departure: Departure) -> Option<u64> {
        self.order.push_back((version, departure.id.clone()));
        let departures = self.by_id.entry(departure.id.clone()).or_default();
        departures.record(version, departure);
        if self.order.len() <= MAX_DEPARTURES {
            return None;
        }
        let (dropped, id) = self.order.pop_front()?;
        let logged = self.by_id.get(&id);
        let is_newest = logged.is_some_and(|logged| logged.iter().all(|(at, _)| *at <= dropped));
        if is_newest {
            self.by_id.remove(&id);
        }
        Some(dropped)
    }

    /// Removes the departures for which `is_refuted` returns true. Returns their ids.
    fn remove_refuted(&mut self, is_refuted: impl Fn(&Departure) -> bool) -> Vec<String> {
        let refuted = self.iter().filter(|(_, known)| is_refuted(known));
        let ids: Vec<String> = refuted.map(|(_, known)| known.id.clone()).collect();
        for id in &ids {
            self.by_id.remove(id);
        }
        ids
    }

    /// Returns the departure of the last known run of the server `id`.
    pub(super) fn get(&self, id: &str) -> Option<&Departure> {
        let (_, departure) = self.by_id.get(id)?.known_run.as_ref()?;
        Some(departure)
    }

    /// Returns all departures with the versions at which they were recorded.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(u64, Departure)> {
        self.by_id.values().flat_map(LoggedDepartures::iter)
    }
}

impl RegistryLog {
    /// Returns the departures of servers whose rows were dropped, including servers unknown
    /// here: other entries may know them from another reader. A row that was dropped and is
    /// listed again by a newer registration belongs to a live server, unless the catalog holds
    /// it back.
    pub(super) fn dropped_departures(
        &self,
        snapshot: &CatalogSnapshot,
        scope: &ReadScope,
    ) -> BTreeMap<String, Departure> {
        let mut dropped_departures = BTreeMap::new();
        for row in &scope.dropped {
            if scope.missing.contains(&row.id) {
                continue;
            }
            let mut departure = Departure::unknown(&row.id);
            // Otherwise the entry known here is newer.
            if row.position > store_position(self.version) {
                let known = self.entries.get(&row.id).map(|record| &record.entry);
                for entry in known.into_iter().chain(&row.last_entry) {
                    departure.merge(
                        &Departure::of(entry)
                            .with_gap(scope.has_gap)
                            .with_position(row.position),
                    );
                }
            }
            let mut listed = snapshot.entries.iter();
            let is_back = listed.any(|entry| entry.id == row.id && !departure.supersedes(entry));
            if !is_back {
                dropped_departures.insert(row.id.clone(), departure);
            }
        }
        dropped_departures
    }

    /// Returns the newest known registration of the server of `entry`. The store may have
    /// applied an older heartbeat late, or a lagging entry may have sent it: a run that
    /// announced its departure doesn't come back, whether or not its row was dropped in the
    /// meantime.
    pub(super) fn newest_entry(
        &self,
        known: Option<&LogEntry>,
        entry: &ServerEntry,
    ) -> ServerEntry {
        if let Some(known) = known {
            return newer_entry(&known.entry, entry);
        }
        let departure = self.departures.get(&entry.id);
        let has_left =
            departure.is_some_and(|departure| departure.announced && departure.supersedes(entry));
        let mut merged = entry.clone();
        if has_left {
            merged.state = EntryState::Draining;
        }
        merged
    }

    /// Records the departure of servers that were known `before` but are missing from a full
    /// copy that is at least as new.
    pub(super) fn record_omitted(
        &mut self,
        delta: &RegistryDelta,
        before: &BTreeMap<String, LogEntry>,
    ) {
        let position = store_position(delta.version);
        let listed = delta.entries.iter().map(|entry| &entry.id);
        let kept: HashSet<&String> = listed.chain(&delta.foreign).chain(&delta.missing).collect();
        let others = before
            .values()
            .filter(|record| !kept.contains(&record.entry.id));
        let departures: Vec<Departure> = others
            .map(|record| Departure::of(&record.entry).with_position(position))
            .collect();
        for departure in departures {
            self.record_departure(delta.version, departure);
        }
    }

    /// Returns whether the run ended and isn't listed again by a newer registration.
    pub(super) fn has_ended(&self, departure: &Departure) -> bool {
        let listed = self.entries.get(&departure.id);
        departure.is_known() && listed.is_none_or(|record| departure.supersedes(&record.entry))
    }

    /// Returns whether the run is listed, by whatever registration.
    pub(super) fn is_listed_run(&self, departure: &Departure) -> bool {
        let listed = self.entries.get(&departure.id);
        listed.is_some_and(|record| departure.is_of_run(&record.entry))
    }

    /// Returns whether `entry` is an obsolete registration of a server that left. One that is
    /// known to be draining isn't, because entries that haven't seen its row dropped know it, too.
    pub(super) fn is_obsolete(&self, entry: &ServerEntry) -> bool {
        let departure = self.departures.get(&entry.id);
        entry.state != EntryState::Draining
            && departure.is_some_and(|departure| departure.supersedes(entry))
    }

    /// Forgets departures of servers that proved to be alive, so that they aren't sent any more.
    pub fn remove_refuted(&mut self, is_refuted: impl Fn(&Departure) -> bool) {
        let ids = self.departures.remove_refuted(is_refuted);
        if ids.is_empty() {
            return;
        }
        self.version += 1;
        for id in ids {
            if let Some(record) = self.entries.get_mut(&id) {
                record.changed = self.version;
            }
        }
        self.update_content_hash();
    }

    pub(super) fn record_departure(&mut self, new_version: u64, departure: Departure) {
        if let Some(dropped) = self.departures.record(new_version, departure) {
            self.history_start = self.history_start.max(dropped);
        }
    }
}

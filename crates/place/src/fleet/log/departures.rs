//! Departures in the log of the registry.

use std::collections::{BTreeMap, HashSet};

use crate::departure::Departure;
use crate::fleet::log::{
    LogEntry, MAX_DEPARTURES, ReadScope, RegistryDelta, RegistryLog, newer_entry, store_position,
};
use crate::server::{EntryState, ServerEntry};

impl RegistryLog {
    /// Returns the departures of servers whose rows were dropped, including servers unknown
    /// here: other entries may know them from another reader.
    pub(super) fn dropped_departures(&self, scope: &ReadScope) -> BTreeMap<String, Departure> {
        let mut dropped_departures = BTreeMap::new();
        for row in &scope.dropped {
            if scope.missing.contains(&row.id) {
                continue;
            }
            let departure: &mut Departure = dropped_departures
                .entry(row.id.clone())
                .or_insert_with(|| Departure::unknown(&row.id));
            if row.position <= store_position(self.version) {
                // The entry known here is newer.
                continue;
            }
            let known = self.entries.get(&row.id).map(|record| &record.entry);
            for entry in known.into_iter().chain(&row.last_entry) {
                departure.merge(&Departure::of(entry).with_gap(scope.has_gap));
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
        let mut departures = self.departures.iter().rev().map(|(_, departure)| departure);
        let has_left =
            departures.any(|departure| departure.announced && departure.supersedes(entry));
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
        let listed = delta.entries.iter().map(|entry| &entry.id);
        let kept: HashSet<&String> = listed.chain(&delta.foreign).chain(&delta.missing).collect();
        let others = before
            .values()
            .filter(|record| !kept.contains(&record.entry.id));
        let departures: Vec<Departure> =
            others.map(|record| Departure::of(&record.entry)).collect();
        for departure in departures {
            self.record_departure(delta.version, departure);
        }
    }

    /// Returns whether the run ended and isn't listed again by a newer registration.
    pub(super) fn has_ended(&self, departure: &Departure) -> bool {
        let listed = self.entries.get(&departure.id);
        departure.is_known() && listed.is_none_or(|record| departure.supersedes(&record.entry))
    }

    pub(super) fn record_departure(&mut self, new_version: u64, departure: Departure) {
        self.departures.push_back((new_version, departure));
        while self.departures.len() > MAX_DEPARTURES {
            if let Some((new_version, _)) = self.departures.pop_front() {
                self.history_start = new_version;
            }
        }
    }
}

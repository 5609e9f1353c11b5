//! Change log of the server registry, from which entries send each other what changed since a
//! version.
//!
//! Versions are derived from the store's, so that an entry can ask any other for the changes
//! that it lacks, whichever of them read the store. Applying the same change twice is harmless.

mod departures;

use std::collections::BTreeMap;

use crate::departure::Departure;
use crate::fleet::content_hash::ContentHash;
use crate::fleet::log::departures::DepartureLog;
use crate::fleet::position::StorePosition;
use crate::server::{EntryState, ServerEntry};
use crate::snapshot::{CatalogSnapshot, DroppedRow};

/// Local log versions between two versions of the store. An entry may detect changes on its own
/// that the store has no version for, such as a server that didn't come back in time. Without
/// this gap, such a change took the number of the store's next change, which other entries then
/// treated as known.
const LOCAL_VERSIONS: u64 = 1024;

base::common! {
    /// Changes of the registry.
    #[derive(Eq, Default)]
    pub struct RegistryDelta {
        /// The log version up to which this is complete.
        pub version: u64,
        /// Whether `entries` are all entries.
        pub whole: bool,
        /// Entries that changed.
        pub entries: Vec<ServerEntry>,
        /// Servers that left, each with its last known registration.
        pub departures: Vec<Departure>,
        /// Keys of rows that weren't written by their server; always all of them.
        pub foreign: Vec<String>,
        /// Servers whose rows disappeared but may merely have expired; always all of them.
        pub missing: Vec<String>,
    }
}

/// What a read of the registry covers.
#[derive(Debug, Clone, Default)]
pub struct ReadScope {
    /// Whether all rows were read, rather than only those that changed since the previous read.
    pub whole: bool,
    /// Rows that were dropped since the previous read.
    pub dropped: Vec<DroppedRow>,
    /// Contents of rows that were written again since the previous read, in that order.
    pub replaced: Vec<ServerEntry>,
    /// Servers that the read lacks but that may still exist.
    pub missing: Vec<String>,
    /// Departures because of which servers that are listed get no requests.
    pub departures: Vec<Departure>,
    /// Runs that a later run with an earlier start has replaced.
    pub overtaken: Vec<Departure>,
    /// Whether registrations may have been written and dropped since the previous read.
    pub has_gap: bool,
}

/// Returns the log version of a read as of the store's `position`.
pub fn log_version(position: StorePosition) -> u64 {
    position.number().saturating_mul(LOCAL_VERSIONS)
}

/// Returns the store's position at the log version `version`.
pub fn store_position(version: u64) -> StorePosition {
    StorePosition::from_number(version / LOCAL_VERSIONS)
}

/// A server's row.
#[derive(Debug)]
struct LogEntry {
    /// The log version at which it changed.
    changed: u64,
    /// The log version at which its registration was last written, with whatever content.
    written: u64,
    hash: ContentHash,
    entry: ServerEntry,
}

/// The registry, with the version at which each entry changed.
#[derive(Debug, Default)]
pub struct RegistryLog {
    /// The version of the latest change; 0 before the first read.
    version: u64,
    /// All changes after this version are known.
    history_start: u64,
    entries: BTreeMap<String, LogEntry>,
    content: ContentHash,
    /// Number of rows that were written anew with the same content.
    rewrites: u64,
    departures: DepartureLog,
    foreign: Vec<String>,
    missing: Vec<String>,
}

impl RegistryLog {
    /// Returns the version of the latest change; 0 if nothing is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the servers that have a row in the registry.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let entries = self.entries.values().map(|record| &record.entry);
        entries.filter(|entry| !self.missing.contains(&entry.id))
    }

    /// Returns the keys of rows that weren't written by their server.
    pub fn foreign(&self) -> &[String] {
        &self.foreign
    }

    /// Applies a read of the registry.
    pub fn apply_snapshot(&mut self, snapshot: &CatalogSnapshot, scope: ReadScope) {
        if self.version >= log_version(snapshot.position.next()) {
            // No read produced this version; a corrupted message may have.
            *self = Self::default();
        }
        let is_first = self.version == 0;
        let new_version = log_version(snapshot.position).max(self.version.saturating_add(1));
        self.update_missing_entries(&scope);
        for departure in &scope.overtaken {
            self.entries.remove(&departure.id);
            self.record_departure(new_version, departure.clone());
        }
        let mut is_changed = !scope.overtaken.is_empty()
            || self.foreign != snapshot.foreign
            || self.missing != scope.missing;
        let was_out = |id: &String| self.foreign.contains(id) || self.missing.contains(id);
        let mut dropped_departures = self.dropped_departures(snapshot, &scope);
        let mut remaining = std::mem::take(&mut self.entries);
        for entry in &snapshot.entries {
            let is_back = was_out(&entry.id) || dropped_departures.contains_key(&entry.id);
            let known = remaining.remove(&entry.id);
            let entry = self.newest_entry(known.as_ref(), entry);
            let record = match known {
                Some(known) if !is_back && is_unchanged(&known.entry, &entry) => {
                    // A row that was written anew with the same content is sent along with the
                    // next changes: without its sequence number, others would take it for news
                    // if the store applied it once more after the server's end. A read of all
                    // rows doesn't tell which were written.
                    let is_written = !scope.whole && entry.seq > known.entry.seq;
                    let written = if is_written {
                        self.rewrites += 1;
                        self.version.saturating_add(1)
                    } else {
                        known.written
                    };
                    LogEntry {
                        entry,
                        written,
                        ..known
                    }
                }
                _ => {
                    is_changed = true;
                    LogEntry::new(new_version, entry)
                }
            };
            self.entries.insert(record.entry.id.clone(), record);
        }
        for (id, record) in remaining {
            if scope.missing.contains(&id) || snapshot.foreign.contains(&id) {
                self.entries.insert(id, record);
                continue;
            }
            let has_gap = scope.has_gap || self.missing.contains(&id);
            let departure = dropped_departures.entry(id).or_default();
            departure.merge(
                &Departure::of(&record.entry)
                    .with_gap(has_gap)
                    .with_position(snapshot.position),
            );
        }
        for departure in dropped_departures.into_values() {
            is_changed = true;
            self.record_departure(new_version, departure);
        }
        for departure in scope.departures {
            let known = self.departures.get(&departure.id);
            if !known.is_some_and(|known| known.includes(&departure)) {
                is_changed = true;
                self.record_departure(new_version, departure);
            }
        }
        self.foreign.clone_from(&snapshot.foreign);
        self.missing = scope.missing;
        if is_changed || is_first {
            self.version = new_version;
            self.update_content_hash();
        }
        if is_first || scope.whole {
            // Rows dropped since the previous read are unknown.
            self.history_start = self.version;
        }
    }

    /// Returns the changes since `version`, or everything if that is no longer known.
    pub fn since(&self, version: u64) -> RegistryDelta {
        let whole = version < self.history_start || version == 0;
        let is_newer = |changed: u64| whole || changed > version;
        let records = self.entries.values();
        let changed = records.filter(|record| is_newer(record.changed.max(record.written)));
        // A registration from before its server's end is only sent together with that end.
        let is_obsolete_entry = |departure: &Departure| {
            let listed = self.entries.get(&departure.id);
            listed.is_some_and(|record| {
                is_newer(record.changed) && departure.supersedes(&record.entry)
            })
        };
        let departures = self.departures.iter().filter(|(at, departure)| {
            if whole {
                self.has_ended(departure) || self.is_listed_run(departure)
            } else {
                is_newer(*at) || is_obsolete_entry(departure)
            }
        });
        RegistryDelta {
            version: self.version,
            whole,
            entries: changed.map(|record| record.entry.clone()).collect(),
            departures: departures.map(|(_, departure)| departure.clone()).collect(),
            foreign: self.foreign.clone(),
            missing: self.missing.clone(),
        }
    }

    /// Returns the servers that are known to have left.
    pub fn departures(&self) -> Vec<Departure> {
        let departures = self.departures.iter().map(|(_, departure)| departure);
        let ended = departures.filter(|departure| self.has_ended(departure));
        ended.cloned().collect()
    }

    /// Records servers that left, as known to another entry. Entries listed by an obsolete
    /// registration get a new version, so that followers receive the departure too.
    pub fn apply_departures(&mut self, departures: &[Departure]) {
        for departure in departures {
            if self.departures.get(&departure.id) == Some(departure) {
                continue;
            }
            let listed = self.entries.get_mut(&departure.id);
            if let Some(record) = listed.filter(|record| departure.supersedes(&record.entry)) {
                self.version += 1;
                record.changed = self.version;
                self.drop_missing(&departure.id);
            }
            self.record_departure(self.version, departure.clone());
        }
        self.update_content_hash();
    }

    /// Forgets the row of a departed server if it is missing anyway.
    fn drop_missing(&mut self, id: &str) {
        if let Some(index) = self.missing.iter().position(|known| known == id) {
            self.missing.remove(index);
            self.entries.remove(id);
        }
    }

    /// Applies changes received from another entry.
    pub fn apply_delta(&mut self, delta: &RegistryDelta) {
        self.apply_delta_with_missing(delta, &[]);
    }

    /// Applies changes received from another entry. The rows `missing` are kept although they
    /// are missing, in addition to those that the sender keeps: otherwise they would count as
    /// listed, and a read of this entry that starts from the listed rows would list them, too.
    pub fn apply_delta_with_missing(&mut self, delta: &RegistryDelta, missing: &[String]) {
        let mut before = BTreeMap::new();
        if delta.whole {
            before = std::mem::take(&mut self.entries);
            self.history_start = delta.version;
            let (kept, omitted) = before.into_iter().partition(|(id, _)| missing.contains(id));
            (self.entries, before) = (kept, omitted);
            if delta.version >= self.version {
                self.record_omitted(delta, &before);
            }
        }
        // Rows of other writers hide the entries they replaced, so the hash can't be updated
        // incrementally.
        // Neither can it if departures decide which rows count.
        let is_incremental = !delta.whole
            && delta.departures.is_empty()
            && self.foreign.is_empty()
            && delta.foreign.is_empty()
            && delta
                .entries
                .iter()
                .all(|entry| self.departures.get(&entry.id).is_none());
        for departure in &delta.departures {
            let mut departure = departure.clone();
            if let Some(record) = self.entries.remove(&departure.id) {
                self.content = self.content.without(record.hash);
                // The sender may not have known the run's last registration.
                let mut listed = delta.entries.iter();
                let is_listed =
                    listed.any(|entry| entry.id == departure.id && entry.seq >= record.entry.seq);
                if !is_listed {
                    let ended_at = Departure::of(&record.entry).with_position(departure.position);
                    departure.merge(&ended_at);
                }
            }
            self.record_departure(delta.version, departure);
        }
        for entry in &delta.entries {
            let known = before.get(&entry.id).or(self.entries.get(&entry.id));
            let record = LogEntry::new(delta.version, self.newest_entry(known, entry));
            self.content = self.content.with(record.hash);
            if let Some(before) = self.entries.insert(entry.id.clone(), record) {
                self.content = self.content.without(before.hash);
            }
        }
        self.foreign.clone_from(&delta.foreign);
        let own = missing.iter().filter(|id| self.entries.contains_key(*id));
        self.missing = delta.missing.iter().chain(own).cloned().collect();
        self.missing.sort_unstable();
        self.missing.dedup();
        for id in self.missing.clone() {
            let record = self.entries.get(&id);
            if record.is_some_and(|record| self.is_obsolete(&record.entry)) {
                self.drop_missing(&id);
            }
        }
        self.version = delta.version;
        if !is_incremental {
            self.update_content_hash();
        }
    }

    /// Hash of all servers and of the rows that weren't written by their server. A row that may
    /// have expired counts until it is given up, because entries notice its absence at
    /// different times. An obsolete registration of a server that left doesn't count: entries
    /// that know of the departure differ from those that take the row for a live server's.
    pub fn content(&self) -> ContentHash {
        self.content
    }

    /// Number of rows that were written anew with the same content, which changes neither version
    /// nor content.
    pub fn rewrites(&self) -> u64 {
        self.rewrites
    }

    fn update_content_hash(&mut self) {
        let none = ContentHash::default();
        let own = self.entries.values().filter(|record| {
            // Only some entries know what stood in a row before another writer replaced it.
            !self.foreign.contains(&record.entry.id) && !self.is_obsolete(&record.entry)
        });
        let own = own.fold(none, |sum, record| sum.with(record.hash));
        let foreign = self.foreign.iter().map(|id| ContentHash::of_foreign(id));
        self.content = foreign.fold(own, ContentHash::with);
    }

    /// Updates entries whose rows were dropped but may merely have expired to the last known
    /// content of the row.
    fn update_missing_entries(&mut self, scope: &ReadScope) {
        let kept = scope.dropped.iter();
        for row in kept.filter(|row| scope.missing.contains(&row.id)) {
            let known = self.entries.get_mut(&row.id);
            if let (Some(record), Some(last_entry)) = (known, &row.last_entry) {
                *record = LogEntry::new(record.changed, newer_entry(&record.entry, last_entry));
            }
        }
    }
}

impl LogEntry {
    fn new(changed: u64, entry: ServerEntry) -> Self {
        Self {
            changed,
            written: changed,
            hash: ContentHash::of_entry(&entry),
            entry,
        }
    }
}

/// Returns the newer of two registrations of a server. A run that announced its departure stays
/// draining.
fn newer_entry(known: &ServerEntry, entry: &ServerEntry) -> ServerEntry {
    if entry.is_of_earlier_run(known) {
        return known.clone();
    }
    if !entry.is_same_run(known) {
        return entry.clone();
    }
    let mut merged = if entry.seq < known.seq {
        known.clone()
    } else {
        entry.clone()
    };
    if known.state == EntryState::Draining {
        merged.state = EntryState::Draining;
    }
    merged
}

/// Returns whether the entries differ only in the heartbeat, and in a warm-up time that has
/// merely elapsed.
fn is_unchanged(known: &ServerEntry, entry: &ServerEntry) -> bool {
    let is_warming =
        !entry.cold_remaining.is_zero() && entry.cold_remaining <= known.cold_remaining;
    let mut known = known.clone();
    known.seq = entry.seq;
    if is_warming {
        known.cold_remaining = entry.cold_remaining;
    }
    known == *entry
}

//! What one word, or the lack of one, changes of a server.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use crate::catalog::{CatalogChange, ServerCatalog, vanished_row};
use crate::departure::Departure;
use crate::fleet::log::RegistryDelta;
use crate::server::{EntryState, ServerEntry, ServerRecord};

impl ServerCatalog {
    /// Takes in one entry. Runs of a server are told apart by their start, words of
    /// one run by `seq`: a late word of a former run changes nothing.
    pub(super) fn update(
        &mut self,
        now: Instant,
        begun: Instant,
        entry: &ServerEntry,
        changes: &mut Vec<CatalogChange>,
    ) {
        if !self.domains.contains_key(&entry.domain) {
            self.overwrite(&entry.id, changes);
            return;
        }
        if self.departures.supersedes(now, entry) {
            self.on_refused(now, entry, changes);
            return;
        }
        let Some(record) = self.table.by_id_mut(&entry.id) else {
            self.insert(begun, entry);
            changes.push(CatalogChange::Joined(Box::new(entry.clone())));
            return;
        };
        if entry.is_of_earlier_run(&record.entry) {
            return;
        }
        if record.entry.is_of_earlier_run(entry) {
            self.table.remove(&entry.id);
            self.insert(begun, entry);
            changes.push(CatalogChange::Restarted(entry.id.clone()));
            return;
        }
        if !entry.is_same_run(&record.entry) {
            self.overwrite(&entry.id, changes);
            return;
        }
        if record.missing_since.is_some() && entry.seq < record.entry.seq {
            // A live server whose row lapsed comes back with its last word or a newer one.
            self.remove(now, &entry.id, changes);
            self.on_refused(now, entry, changes);
            return;
        }
        on_own_word(begun, record, entry, changes);
    }

    /// The registry lists, or another entry tells, a word from before the server's end.
    fn on_refused(&mut self, now: Instant, entry: &ServerEntry, changes: &mut Vec<CatalogChange>) {
        let known = self.table.by_id(&entry.id);
        if known.is_some_and(|record| self.departures.supersedes(now, &record.entry)) {
            self.remove(now, &entry.id, changes);
        }
        if self.departures.on_refused(&entry.id) {
            changes.push(CatalogChange::Outdated(entry.id.clone()));
        }
    }

    /// Somebody else's row stands where the server `id` had its entry, if it had one.
    pub(super) fn overwrite(&mut self, id: &str, changes: &mut Vec<CatalogChange>) {
        let Some(record) = self.table.by_id_mut(id) else {
            return;
        };
        if !record.overwritten {
            record.overwritten = true;
            changes.push(CatalogChange::Overwritten(id.to_owned()));
        }
    }

    fn insert(&mut self, begun: Instant, entry: &ServerEntry) {
        let region = self.domains.get(&entry.domain).map_or("", String::as_str);
        let mut record = ServerRecord::new(entry.clone(), region);
        record.trip = self.trips.trip(&entry.domain, region);
        if !entry.cold_remaining.is_zero() {
            record.mark_cold(begun, entry.cold_remaining);
        }
        self.table.insert(record);
    }

    /// Ends the servers that a reading doesn't hold, or keeps them while they may have lapsed.
    pub(super) fn sweep(
        &mut self,
        now: Instant,
        listed: &HashSet<&str>,
        settled: bool,
        changes: &mut Vec<CatalogChange>,
    ) {
        let mut gone = Vec::new();
        for record in self.table.iter_mut() {
            if listed.contains(record.entry.id.as_str()) {
                continue;
            }
            if record.missing_since.is_none() {
                record.missing_since = Some(now);
                record.listed_at = self.read_at;
                if !settled {
                    changes.push(CatalogChange::Missing(record.entry.id.clone()));
                }
            }
            let row = vanished_row(record);
            if settled || row.is_some_and(|row| now >= self.outage.gone_at(row)) {
                gone.push(record.entry.id.clone());
            }
        }
        for id in gone {
            self.remove(now, &id, changes);
        }
    }

    /// Takes in which servers another entry knows to be gone. One that is listed again in the
    /// same change is the same run, of which nothing is forgotten.
    pub(super) fn on_told_gone(
        &mut self,
        now: Instant,
        delta: &RegistryDelta,
        changes: &mut Vec<CatalogChange>,
    ) {
        if delta.departures.is_empty() {
            return;
        }
        let listed = delta.entries.iter();
        let listed: HashMap<&str, &ServerEntry> =
            listed.map(|entry| (entry.id.as_str(), entry)).collect();
        for departure in &delta.departures {
            self.departures.record(now, departure);
            let Some(record) = self.table.by_id(&departure.id) else {
                continue;
            };
            let again = listed.get(departure.id.as_str());
            let is_back = again.is_some_and(|entry| {
                entry.is_same_run(&record.entry) && !self.departures.supersedes(now, entry)
            });
            if !is_back {
                self.remove(now, &departure.id, changes);
            }
        }
    }

    /// Drops the servers that an older copy doesn't list, which tells nothing of their end.
    pub(super) fn drop_others(&mut self, listed: &HashSet<&str>, changes: &mut Vec<CatalogChange>) {
        let known = self.table.iter().map(|record| &record.entry.id);
        let others = known.filter(|id| !listed.contains(id.as_str()));
        let others: Vec<String> = others.cloned().collect();
        for id in others {
            self.table.remove(&id);
            changes.push(CatalogChange::Gone(id));
        }
    }

    /// Removes the server `id`, which is gone by the registry's word.
    pub(super) fn remove(&mut self, now: Instant, id: &str, changes: &mut Vec<CatalogChange>) {
        let Some(record) = self.table.by_id(id) else {
            return;
        };
        self.departures.record(now, &Departure::of(&record.entry));
        self.table.remove(id);
        changes.push(CatalogChange::Gone(id.to_owned()));
    }
}

/// Takes in a word of the run that is known.
fn on_own_word(
    begun: Instant,
    record: &mut ServerRecord,
    entry: &ServerEntry,
    changes: &mut Vec<CatalogChange>,
) {
    record.missing_since = None;
    if record.overwritten {
        record.overwritten = false;
        changes.push(CatalogChange::Reclaimed(entry.id.clone()));
    }
    // Leaving is final, whatever is read or written late.
    let was_leaving = record.entry.state == EntryState::Draining;
    if entry.state == EntryState::Draining && !was_leaving {
        record.entry.state = EntryState::Draining;
        changes.push(CatalogChange::Draining(entry.id.clone()));
    }
    if entry.seq <= record.entry.seq {
        return;
    }
    record.entry.seq = entry.seq;
    record.entry.cold_remaining = entry.cold_remaining;
    if !entry.cold_remaining.is_zero() {
        if !record.is_cold(begun) {
            changes.push(CatalogChange::Cold(entry.id.clone()));
        }
        record.mark_cold(begun, entry.cold_remaining);
    }
}

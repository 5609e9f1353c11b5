//! Applies server entries, and missing rows, to the records of servers.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use crate::catalog::{CatalogChange, ServerCatalog, vanished_row};
use crate::departure::Departure;
use crate::fleet::log::{RegistryDelta, store_position};
use crate::server::{EntryState, ServerEntry, ServerRecord};

impl ServerCatalog {
    /// Applies one server entry. The start time identifies runs of a server, and `seq` orders
    /// the server entries of one run: a late one of an earlier run changes nothing.
    pub(super) fn apply_entry(
        &mut self,
        now: Instant,
        started_at: Instant,
        entry: &ServerEntry,
        changes: &mut Vec<CatalogChange>,
    ) {
        if !self.domains.contains_key(&entry.domain) {
            self.mark_overwritten(&entry.id, changes);
            return;
        }
        if self.departures.supersedes(now, entry) {
            self.on_refused(now, entry, changes);
        }
        if self.departures.is_final(now, entry) {
            let is_same_run = self.departures.of_run(now, entry).is_some();
            if is_same_run || !self.relisted.on_listed(now, started_at, entry) {
                return;
            }
            self.departures.on_alive(&entry.id, self.position);
        }
        let is_known = self.table.by_id(&entry.id).is_some();
        if !is_known && self.departures.is_doubtful(now, entry, self.position) {
            if !self.relisted.on_listed(now, started_at, entry) {
                return;
            }
            self.departures.on_alive(&entry.id, self.position);
        }
        let Some(record) = self.table.by_id(&entry.id) else {
            self.relisted.remove(&entry.id);
            self.insert(started_at, entry);
            changes.push(CatalogChange::Joined(Box::new(entry.clone())));
            return;
        };
        if entry.is_of_earlier_run(&record.entry) {
            if !self.relisted.on_listed(now, started_at, entry) {
                return;
            }
            // It outlasts a late heartbeat, so it is a later run on a machine whose clock is behind.
            let overtaken = Departure::overtaken(&record.entry).with_position(self.position);
            self.overtaken.push(overtaken);
            self.table.remove(&entry.id);
            self.insert(started_at, entry);
            changes.push(CatalogChange::Restarted(entry.id.clone()));
            return;
        }
        self.relisted.remove(&entry.id);
        let Some(record) = self.table.by_id_mut(&entry.id) else {
            return;
        };
        if record.entry.is_of_earlier_run(entry) {
            self.table.remove(&entry.id);
            self.insert(started_at, entry);
            changes.push(CatalogChange::Restarted(entry.id.clone()));
            return;
        }
        if !entry.is_same_run(&record.entry) {
            self.mark_overwritten(&entry.id, changes);
            return;
        }
        if record.missing_since.is_some() && entry.seq < record.entry.seq {
            // A live server whose row lapsed comes back with its last server entry or a newer one.
            self.remove(now, &entry.id, changes);
            self.on_refused(now, entry, changes);
            return;
        }
        update_record(started_at, record, entry, changes);
        if self.departures.of_run(now, entry).is_some() {
            self.departures.on_registered(&entry.id);
        }
    }

    /// Handles a server entry from before the server's departure, listed by the registry or sent
    /// by another entry.
    fn on_refused(&mut self, now: Instant, entry: &ServerEntry, changes: &mut Vec<CatalogChange>) {
        let current = self.table.by_id(&entry.id);
        if current.is_some_and(|record| self.departures.supersedes(now, &record.entry)) {
            self.remove(now, &entry.id, changes);
        }
        if self.departures.on_refused(&entry.id) {
            changes.push(CatalogChange::Outdated(entry.id.clone()));
        }
    }

    /// Marks that a foreign row has replaced the row of the server `id`, if that server is
    /// known.
    pub(super) fn mark_overwritten(&mut self, id: &str, changes: &mut Vec<CatalogChange>) {
        let Some(record) = self.table.by_id_mut(id) else {
            return;
        };
        if !record.overwritten {
            record.overwritten = true;
            changes.push(CatalogChange::Overwritten(id.to_owned()));
        }
    }

    fn insert(&mut self, started_at: Instant, entry: &ServerEntry) {
        let region = self.domains.get(&entry.domain).map_or("", String::as_str);
        let mut record = ServerRecord::new(entry.clone(), region);
        record.round_trip = self.round_trips.round_trip(&entry.domain, region);
        if !entry.cold_remaining.is_zero() {
            record.mark_cold(started_at, entry.cold_remaining);
        }
        self.table.insert(record);
    }

    /// Removes the servers that a snapshot as of `read_at` lacks, or keeps them while their rows
    /// may have lapsed.
    pub(super) fn remove_missing(
        &mut self,
        now: Instant,
        read_at: Instant,
        listed: &HashSet<&str>,
        settled: bool,
        changes: &mut Vec<CatalogChange>,
    ) {
        self.relisted.retain_listed(listed);
        let has_gap = self.has_gap(now);
        let mut gone = Vec::new();
        for record in self.table.iter_mut() {
            if listed.contains(record.entry.id.as_str()) {
                continue;
            }
            record.kept_by_peer = false;
            if record.missing_since.is_none() {
                record.missing_since = Some(now);
                record.listed_at = self.read_at.max(self.outage.restored_at());
                if !settled {
                    changes.push(CatalogChange::Missing(record.entry.id.clone()));
                }
            }
            let row = vanished_row(record);
            if settled || row.is_some_and(|row| read_at >= self.outage.removal_time(row)) {
                let was_kept = record.missing_since != Some(now);
                gone.push((record.entry.id.clone(), has_gap || was_kept));
            }
        }
        for (id, has_gap) in gone {
            if has_gap && let Some(record) = self.table.by_id(&id) {
                let departure = Departure::of(&record.entry)
                    .with_gap(true)
                    .with_position(self.position);
                self.departures.record(now, &departure);
            }
            self.remove(now, &id, changes);
        }
    }

    /// Since when the rows `ids`, which another entry keeps as missing, are missing here: since
    /// now, unless they were before.
    pub(super) fn missing_times(&self, now: Instant, ids: &[String]) -> Vec<(String, Instant)> {
        let since = |id: &String| self.table.by_id(id).and_then(|record| record.missing_since);
        let times = ids.iter().map(|id| (id.clone(), since(id).unwrap_or(now)));
        times.collect()
    }

    /// Marks rows as missing, so that a read of this entry that lacks them doesn't take them for
    /// rows of servers that left. The entry that keeps them decides when they are gone, unless
    /// this entry reads the registry.
    pub(super) fn mark_missing(&mut self, missing: &[(String, Instant)]) {
        for (id, since) in missing {
            let Some(record) = self.table.by_id_mut(id) else {
                continue;
            };
            if record.missing_since.is_none() {
                record.listed_at = self.read_at.max(self.outage.restored_at());
                record.kept_by_peer = true;
            }
            record.missing_since = Some(*since);
        }
    }

    /// Applies the departures of a delta. A departure that isn't known to be that of the record's
    /// run ends it only if the same delta doesn't list the server again.
    pub(super) fn apply_delta_departures(
        &mut self,
        now: Instant,
        delta: &RegistryDelta,
        changes: &mut Vec<CatalogChange>,
    ) {
        if delta.departures.is_empty() {
            return;
        }
        let position = store_position(delta.version);
        let listed = delta.entries.iter();
        let listed: HashMap<&str, &ServerEntry> =
            listed.map(|entry| (entry.id.as_str(), entry)).collect();
        for departure in &delta.departures {
            let relisted = listed.get(departure.id.as_str());
            if self.departures.record(now, departure) || relisted.is_none() {
                self.relisted.remove(&departure.id);
            }
            let Some(record) = self.table.by_id(&departure.id) else {
                continue;
            };
            let is_obsolete = departure.is_known()
                && (self.departures.supersedes(now, &record.entry)
                    || self.departures.is_doubtful(now, &record.entry, position));
            let is_back = relisted.is_some_and(|entry| entry.is_same_run(&record.entry));
            // Whatever run was known to the sender, its row is gone since.
            let is_dropped = !departure.is_known() || departure.position > self.position;
            if is_obsolete || is_dropped && !is_back {
                self.remove(now, &departure.id, changes);
            }
        }
    }

    /// Removes the servers that an older copy doesn't list, without noting a departure: the
    /// copy doesn't show that they left.
    pub(super) fn remove_unlisted(
        &mut self,
        listed: &HashSet<&str>,
        changes: &mut Vec<CatalogChange>,
    ) {
        let current = self.table.iter().map(|record| &record.entry.id);
        let unlisted = current.filter(|id| !listed.contains(id.as_str()));
        let unlisted: Vec<String> = unlisted.cloned().collect();
        self.relisted.retain_listed(listed);
        for id in unlisted {
            self.table.remove(&id);
            self.unproven.on_unlisted(&id);
            changes.push(CatalogChange::Gone(id));
        }
    }

    /// Removes the server `id`, which is gone according to the registry, and notes its
    /// departure.
    pub(super) fn remove(&mut self, now: Instant, id: &str, changes: &mut Vec<CatalogChange>) {
        let Some(record) = self.table.by_id(id) else {
            return;
        };
        let departure = Departure::of(&record.entry).with_position(self.position);
        self.departures.record(now, &departure);
        self.table.remove(id);
        changes.push(CatalogChange::Gone(id.to_owned()));
    }
}

/// Applies a server entry of the known run.
fn update_record(
    started_at: Instant,
    record: &mut ServerRecord,
    entry: &ServerEntry,
    changes: &mut Vec<CatalogChange>,
) {
    record.missing_since = None;
    record.kept_by_peer = false;
    if record.overwritten {
        record.overwritten = false;
        changes.push(CatalogChange::Reclaimed(entry.id.clone()));
    }
    // Draining is final, whatever is read or written late.
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
        if !record.is_cold(started_at) {
            changes.push(CatalogChange::Cold(entry.id.clone()));
        }
        record.mark_cold(started_at, entry.cold_remaining);
    }
}

//! What the catalog learns of servers that left, and when it takes one in again.

use std::time::Instant;

use crate::catalog::outage::MIN_LAPSE_TIME;
use crate::catalog::{CatalogChange, DroppedRow, ServerCatalog};
use crate::departure::Departure;
use crate::server::{EntryState, ServerEntry};

impl ServerCatalog {
    /// Notes contents of rows that were written again since the previous snapshot; call it before
    /// applying the next one, which lists `entries`. A row that said that its server leaves may
    /// have been overwritten by an earlier heartbeat that the registry applied late.
    pub fn note_replaced_rows(
        &mut self,
        now: Instant,
        rows: &[ServerEntry],
        entries: &[ServerEntry],
    ) {
        for row in rows {
            let is_overwritten =
                |entry: &ServerEntry| entry.id == row.id && entry.state != EntryState::Draining;
            if row.state == EntryState::Draining && entries.iter().any(is_overwritten) {
                let departure = Departure::of(row).with_position(self.position);
                self.departures.record(now, &departure);
            }
        }
    }

    /// Returns whether the server of `departure` proved to be alive after it.
    pub fn is_refuted(&self, departure: &Departure) -> bool {
        self.departures.is_refuted(departure)
    }

    /// Notes the rows that were dropped since the previous snapshot; call it before applying
    /// the next one. A server entry that is listed again later and isn't newer than the dropped
    /// row is stale.
    pub fn note_dropped_rows(&mut self, now: Instant, rows: &[DroppedRow]) {
        for row in rows {
            self.relisted.remove(&row.id);
            if row.position <= self.position {
                // The known state is newer.
                continue;
            }
            let known = self.table.by_id(&row.id).map(|record| &record.entry);
            for entry in known.into_iter().chain(&row.last_entry) {
                let departure = Departure::of(entry)
                    .with_gap(self.has_gap(now))
                    .with_position(row.position);
                self.departures.record(now, &departure);
            }
        }
    }

    /// Whether a read at `now` may lack registrations that were written and dropped since the
    /// last one.
    pub fn has_gap(&self, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= MIN_LAPSE_TIME;
        self.registrations_at.is_some_and(is_old)
    }

    /// The departures because of which servers that `entries` lists get no requests.
    pub fn departures_of(&self, now: Instant, entries: &[ServerEntry]) -> Vec<Departure> {
        let closed = entries.iter().filter(|entry| {
            self.departures.supersedes(now, entry) || self.table.by_id(&entry.id).is_none()
        });
        let departures = closed.filter_map(|entry| self.departures.of_run(now, entry));
        departures.cloned().collect()
    }

    /// Applies departures that another entry reported, and returns the changes.
    pub fn apply_departures(
        &mut self,
        now: Instant,
        departures: &[Departure],
    ) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for departure in departures {
            self.departures.record(now, departure);
            let Some(record) = self.table.by_id(&departure.id) else {
                continue;
            };
            if self.departures.supersedes(now, &record.entry) {
                self.remove(now, &departure.id, &mut changes);
            } else if departure.is_of_run(&record.entry) {
                self.departures.on_registered(&departure.id);
            }
        }
        changes
    }

    /// Takes in servers that are listed again after their departure, as far as a read that began
    /// at `read_at` proves that they are alive. Returns the changes.
    pub fn admit_relisted(&mut self, now: Instant, read_at: Instant) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for entry in self.relisted.proven(read_at) {
            self.apply_entry(now, read_at, &entry, &mut changes);
        }
        changes
    }
}

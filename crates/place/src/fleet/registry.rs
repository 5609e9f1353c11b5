//! An entry's copy of the registry: the catalog by which it places requests, and the log from
//! which it sends changes to others. Every read and message is applied to both here, so that
//! they hold the same.

use std::time::Instant;

use crate::catalog::{CatalogChange, CatalogSnapshot, ServerCatalog};
use crate::departure::Departure;
use crate::fleet::log::{ReadScope, RegistryDelta, RegistryLog};
use crate::fleet::position::StorePosition;
use crate::fleet::store_progress::StoreProgress;

/// What an entry knows of the registry.
#[derive(Debug)]
pub struct RegistryCopy<'a> {
    catalog: &'a mut ServerCatalog,
    log: &'a mut RegistryLog,
}

/// Result of applying a read or a message.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryUpdate {
    /// The changes, for the log of the process.
    pub changes: Vec<CatalogChange>,
    /// Whether nothing was known of the registry before.
    pub is_first: bool,
}

impl<'a> RegistryCopy<'a> {
    /// Creates the copy that consists of `catalog` and `log`.
    pub fn new(catalog: &'a mut ServerCatalog, log: &'a mut RegistryLog) -> Self {
        Self { catalog, log }
    }

    /// Applies a read of the store, unless a newer state is known; then returns `None`.
    pub fn apply_snapshot(
        &mut self,
        now: Instant,
        snapshot: &CatalogSnapshot,
        mut scope: ReadScope,
    ) -> Option<RegistryUpdate> {
        if self.catalog.is_outdated(snapshot) {
            return None;
        }
        let is_first = self.catalog.read_at().is_none();
        self.catalog.note_era(now, snapshot.position);
        scope.has_gap = self.catalog.has_gap(now);
        self.catalog
            .note_replaced_rows(now, &scope.replaced, &snapshot.entries);
        self.catalog.note_dropped_rows(now, &scope.dropped);
        let changes = self.catalog.apply_snapshot(now, snapshot);
        scope.missing = self.catalog.missing().map(str::to_owned).collect();
        scope.departures = self.catalog.departures_of(now, &snapshot.entries);
        scope.overtaken = self.catalog.take_overtaken();
        self.log.apply_snapshot(snapshot, scope);
        self.remove_refuted();
        Some(RegistryUpdate { changes, is_first })
    }

    /// Applies the changes that another entry sent, which it knew as of `started_at`.
    pub fn apply_delta(
        &mut self,
        now: Instant,
        started_at: Instant,
        delta: &RegistryDelta,
    ) -> RegistryUpdate {
        let is_first = self.catalog.read_at().is_none();
        let changes = self.catalog.apply_delta(now, started_at, delta);
        let missing: Vec<String> = self.catalog.missing().map(str::to_owned).collect();
        self.log.apply_delta_with_missing(delta, &missing);
        self.remove_refuted();
        RegistryUpdate { changes, is_first }
    }

    /// Applies departures that another entry reported.
    pub fn apply_departures(
        &mut self,
        now: Instant,
        departures: &[Departure],
    ) -> Vec<CatalogChange> {
        self.log.apply_departures(departures);
        let changes = self.catalog.apply_departures(now, departures);
        self.remove_refuted();
        changes
    }

    /// Notes that another entry confirmed the copy as of `read_at`, when the store was at
    /// `position`.
    pub fn confirm(
        &mut self,
        now: Instant,
        read_at: Instant,
        position: StorePosition,
    ) -> Vec<CatalogChange> {
        self.catalog.confirm_at(now, read_at, position);
        self.catalog.admit_relisted(now, read_at)
    }

    /// Lets the log forget the departures of servers that the catalog takes in again.
    fn remove_refuted(&mut self) {
        let catalog = &self.catalog;
        self.log
            .remove_refuted(|departure| catalog.is_refuted(departure));
    }
}

impl StoreProgress {
    /// Whether changes up to the log version `version`, sent by an entry with the progress
    /// `sender`, are newer than what is known. A copy of everything (`is_whole`) replaces it even if
    /// its version is lower, since the known one may never have been the store's, but not if it was
    /// read before.
    pub fn accepts(&self, sender: &Self, version: u64, is_whole: bool) -> bool {
        if !is_whole {
            return version > self.registry;
        }
        sender.registry_at >= self.registry_at || sender.registry_read >= self.registry_read
    }

    /// Records that `snapshot` was applied to the copy with the log `log`.
    pub fn on_snapshot(&mut self, snapshot: &CatalogSnapshot, log: &RegistryLog) {
        self.registry = log.version();
        self.content = log.content();
        self.registry_read = snapshot.position;
        self.registry_listed = snapshot.position;
        self.registry_at = self.registry_at.max(Some(snapshot.started_at));
    }

    /// Records that departures were applied to the copy with the log `log`.
    pub fn on_departures(&mut self, log: &RegistryLog) {
        self.registry = log.version();
        self.content = log.content();
    }

    /// Records that changes of an entry with the progress `sender` were applied to the copy with
    /// the log `log`.
    pub fn on_delta(&mut self, sender: &Self, log: &RegistryLog) {
        self.registry = log.version();
        self.content = log.content();
        self.registry_read = sender.registry_read;
        self.registry_listed = sender.registry_listed;
        self.registry_at = sender.registry_at;
    }
}

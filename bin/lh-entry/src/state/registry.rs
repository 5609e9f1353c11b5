//! Applies what becomes known of the server registry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::catalog::CatalogChange;
use place::departure::Departure;
use place::fleet::log::{ReadScope, RegistryDelta};
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;

use crate::state::InstanceState;

/// Source of a registry change, and the age of the information.
#[derive(Debug, Clone, Copy)]
struct ChangeSource<'a> {
    by: &'a str,
    age: Duration,
}

impl InstanceState {
    /// Applies a snapshot of the registry unless a newer one is known. Returns whether it was
    /// applied.
    pub(crate) fn on_registry_snapshot(
        &self,
        snapshot: &CatalogSnapshot,
        mut scope: ReadScope,
    ) -> bool {
        if self.placer.borrow().catalog.is_outdated(snapshot) {
            let (position, known) = (snapshot.position, self.fleet.known().registry_read);
            log::info!(position:%, known:%; "reading of the registry left out");
            return false;
        }
        let mut placer = self.placer.borrow_mut();
        let is_first = placer.catalog.read_at().is_none();
        let now = Instant::now();
        placer.catalog.note_era(now, snapshot.position);
        scope.has_gap = placer.catalog.has_gap(now);
        placer.catalog.note_dropped_rows(now, &scope.dropped);
        let changes = placer.catalog.apply_snapshot(now, snapshot);
        scope.missing = placer.catalog.missing().map(str::to_owned).collect();
        drop(placer);
        let mut servers = self.servers.borrow_mut();
        servers.apply_snapshot(snapshot, scope);
        let (changed_at, content) = (servers.version(), servers.content());
        drop(servers);
        let source = ChangeSource {
            by: "store",
            age: snapshot.started_at.elapsed(),
        };
        self.report_versions(&changes, is_first);
        self.on_catalog_changes(&changes, snapshot.foreign.len(), &source);
        self.fleet.update_known(|known| {
            known.registry = changed_at;
            known.content = content;
            known.registry_read = snapshot.position;
            known.registry_listed = snapshot.position;
            known.registry_at = known.registry_at.max(Some(snapshot.started_at));
        });
        true
    }

    /// Applies registry changes from a lead with the given progress, unless they are known. A
    /// response to a request for everything (`is_whole`) is applied even if it appears older.
    pub(crate) fn on_peer_servers(
        &self,
        lead: SocketAddr,
        progress: &StoreProgress,
        delta: &RegistryDelta,
        is_whole: bool,
    ) {
        let mut servers = self.servers.borrow_mut();
        let Some(begun) = progress.registry_at else {
            return;
        };
        if delta.version <= servers.version() && !is_whole {
            return;
        }
        servers.apply_delta(delta);
        let content = servers.content();
        drop(servers);
        let mut placer = self.placer.borrow_mut();
        let is_first = placer.catalog.read_at().is_none();
        let changes = placer.catalog.apply_delta(Instant::now(), begun, delta);
        drop(placer);
        let source = ChangeSource {
            by: &lead.to_string(),
            age: begun.elapsed(),
        };
        self.report_versions(&changes, is_first);
        self.on_catalog_changes(&changes, delta.foreign.len(), &source);
        self.fleet.update_known(|known| {
            known.registry = delta.version;
            known.content = content;
            known.registry_read = progress.registry_read;
            known.registry_listed = progress.registry_listed;
            known.registry_at = Some(begun);
        });
        self.report_pending_removals();
    }

    /// Handles that another entry confirmed the local copy of the registry as of `read_at`.
    pub(crate) fn on_registry_confirmed(&self, read_at: Instant) {
        let mut placer = self.placer.borrow_mut();
        placer.catalog.confirm(read_at);
        let changes = placer.catalog.admit_relisted(Instant::now(), read_at);
        drop(placer);
        let source = ChangeSource {
            by: "confirmation",
            age: read_at.elapsed(),
        };
        self.report_versions(&changes, false);
        for change in &changes {
            log_change(change, &source);
        }
    }

    /// Applies the departed servers as reported by a lead that has been running longer.
    pub(crate) fn on_peer_departures(&self, lead: SocketAddr, departures: &[Departure]) {
        let mut servers = self.servers.borrow_mut();
        servers.apply_departures(departures);
        let changed_at = servers.version();
        drop(servers);
        let mut placer = self.placer.borrow_mut();
        let changes = placer.catalog.apply_departures(Instant::now(), departures);
        drop(placer);
        let by = &lead.to_string();
        for change in &changes {
            let age = Duration::ZERO;
            log_change(change, &ChangeSource { by, age });
        }
        self.fleet.update_known(|known| known.registry = changed_at);
    }

    /// Informs the fleet when servers whose rows are missing will finally be removed.
    pub(crate) fn report_pending_removals(&self) {
        let next_removal_at = self.placer.borrow().catalog.next_removal_at();
        self.fleet
            .on_event(FleetEvent::NextRemovalAt(next_removal_at));
    }

    /// Reports the versions of servers that joined to the rollout controller.
    fn report_versions(&self, changes: &[CatalogChange], is_first: bool) {
        let placer = self.placer.borrow();
        for change in changes {
            let id = match change {
                CatalogChange::Joined(entry) => &entry.id,
                CatalogChange::Restarted(id) => id,
                _ => continue,
            };
            if let Some(entry) = placer.catalog.entry(id) {
                self.rollouts
                    .on_server(&entry.service, &entry.version, is_first);
            }
        }
    }

    fn on_catalog_changes(
        &self,
        changes: &[CatalogChange],
        foreign: usize,
        source: &ChangeSource<'_>,
    ) {
        self.metrics.foreign_rows.set(foreign as i64);
        let kept = self.placer.borrow().catalog.missing().count();
        self.metrics.kept_servers.set(kept as i64);
        for change in changes {
            if let CatalogChange::Restarted(id) = change {
                // Its connections were closed when the previous process ended.
                self.pool.close_idle(id);
            }
            log_change(change, source);
        }
    }
}

fn log_change(change: &CatalogChange, source: &ChangeSource<'_>) {
    let (by, age_ms) = (source.by, source.age.as_millis() as u64);
    let (id, event) = match change {
        CatalogChange::Joined(entry) => {
            let (server, domain) = (entry.id.as_str(), entry.domain.as_str());
            let (state, seq) = (entry.state.as_str(), entry.seq);
            log::info!(server, domain, state, seq, by, age_ms; "server joined");
            return;
        }
        CatalogChange::Draining(id) => (id, "server is leaving"),
        CatalogChange::Gone(id) => (id, "server is gone"),
        CatalogChange::Outdated(id) => (id, "older word of a server that left"),
        CatalogChange::Cold(id) => (id, "server is cold"),
        CatalogChange::Missing(id) => (id, "server's entry missing, kept for now"),
        CatalogChange::Restarted(id) => (id, "server started again under its id"),
        CatalogChange::Overwritten(id) => (id, "server's entry overwritten by another writer"),
        CatalogChange::Reclaimed(id) => (id, "server's own entry is back"),
    };
    log::info!(server = id.as_str(), by, age_ms; "{event}");
}

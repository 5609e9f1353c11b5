//! Applies what becomes known of the server registry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::catalog::CatalogChange;
use place::departure::Departure;
use place::fleet::log::{ReadScope, RegistryDelta};
use place::fleet::registry::RegistryCopy;
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
        scope: ReadScope,
    ) -> bool {
        let is_whole = scope.whole;
        let update =
            self.change_registry(|now, mut copy| copy.apply_snapshot(now, snapshot, scope));
        let Some(update) = update else {
            let (position, known) = (snapshot.position, self.fleet.known().registry_read);
            log::info!(position:%, known:%; "reading of the registry left out");
            return false;
        };
        let source = ChangeSource {
            by: "store",
            age: snapshot.started_at.elapsed(),
        };
        self.report_versions(&update.changes, update.is_first);
        self.on_catalog_changes(&update.changes, snapshot.foreign.len(), &source);
        let log = self.servers.borrow();
        self.fleet
            .update_known(|known| known.on_snapshot(snapshot, &log));
        if is_whole && !update.is_first {
            self.fleet.on_event(FleetEvent::HistoryMissed);
        }
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
        let Some(begun) = progress.registry_at else {
            return;
        };
        if !self
            .fleet
            .known()
            .accepts(progress, delta.version, is_whole)
        {
            return;
        }
        let update = self.change_registry(|now, mut copy| copy.apply_delta(now, begun, delta));
        let source = ChangeSource {
            by: &lead.to_string(),
            age: begun.elapsed(),
        };
        self.report_versions(&update.changes, update.is_first);
        self.on_catalog_changes(&update.changes, delta.foreign.len(), &source);
        let log = self.servers.borrow();
        self.fleet
            .update_known(|known| known.on_delta(progress, &log));
        drop(log);
        self.report_pending_removals();
    }

    /// Handles that another entry confirmed the local copy of the registry as of `read_at`, when
    /// the store was at `position`.
    pub(crate) fn on_registry_confirmed(&self, read_at: Instant, position: StorePosition) {
        let changes = self.change_registry(|now, mut copy| copy.confirm(now, read_at, position));
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
        let changes = self.change_registry(|now, mut copy| copy.apply_departures(now, departures));
        let by = &lead.to_string();
        for change in &changes {
            let age = Duration::ZERO;
            log_change(change, &ChangeSource { by, age });
        }
        let log = self.servers.borrow();
        self.fleet.update_known(|known| known.on_departures(&log));
    }

    /// Applies `change` to this entry's copy of the registry.
    fn change_registry<T>(&self, change: impl FnOnce(Instant, RegistryCopy<'_>) -> T) -> T {
        let mut placer = self.placer.borrow_mut();
        let mut log = self.servers.borrow_mut();
        change(
            Instant::now(),
            RegistryCopy::new(&mut placer.catalog, &mut log),
        )
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
        CatalogChange::Outdated(id) => (id, "obsolete registration of a departed server"),
        CatalogChange::Unproven(id) => (id, "server may have left before this start; waiting"),
        CatalogChange::Cold(id) => (id, "server is cold"),
        CatalogChange::Missing(id) => (id, "server's entry missing, kept for now"),
        CatalogChange::Restarted(id) => (id, "server started again under its id"),
        CatalogChange::Overwritten(id) => (id, "server's entry overwritten by another writer"),
        CatalogChange::Reclaimed(id) => (id, "server's own entry is back"),
    };
    log::info!(server = id.as_str(), by, age_ms; "{event}");
}

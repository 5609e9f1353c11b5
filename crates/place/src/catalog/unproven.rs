//! Runs that registered before this entry knew the registry.
//!
//! Departures are known to running entries only. An entry that starts after all others were lost
//! doesn't know which servers left before, and the registry may still apply one of their
//! heartbeats late. A run that turns up soon after the first read, by a registration that isn't
//! its first, may be such a server. It is recorded as departed, so that it gets requests once its
//! row has outlasted a late heartbeat, and so that other entries learn of the doubt.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::catalog::{CatalogChange, CatalogSnapshot, ServerCatalog};
use crate::departure::Departure;
use crate::server::ServerEntry;

/// Time within which the registry applies the calls of a server that left, including the delay
/// until a read shows them. The registry applies calls up to 6 s late.
const LATE_CALL_TIME: Duration = Duration::from_millis(8000);

/// The runs that are in doubt.
#[derive(Debug, Default)]
pub(super) struct UnprovenRuns {
    /// As of when this entry has known the registry.
    known_since: Option<Instant>,
    /// Ids of servers that were recorded as departed for want of proof.
    ids: HashSet<String>,
    /// Ids of servers that this entry read, and that an older copy of another entry lacked.
    unlisted: HashSet<String>,
}

impl UnprovenRuns {
    /// Records that this entry knows the registry as of `read_at`.
    pub(super) fn on_known(&mut self, read_at: Instant) {
        self.known_since.get_or_insert(read_at);
    }

    /// Records that an older copy lacks the server `id`, which this entry knows.
    pub(super) fn on_unlisted(&mut self, id: &str) {
        self.unlisted.insert(id.to_owned());
    }

    /// Whether a read as of `read_at` may list servers that left before this entry knew the
    /// registry. The first read may as well, but nothing tells them from live ones.
    fn may_list_departed(&self, read_at: Instant) -> bool {
        let known_time = |since| read_at.saturating_duration_since(since);
        self.known_since
            .is_some_and(|since| known_time(since) < LATE_CALL_TIME)
    }
}

impl ServerCatalog {
    /// Records the unproven runs that `snapshot` lists as departed; call it before applying it.
    /// Where they outnumber the known servers of their service, or rows are being written again
    /// after an outage of the registry, the rows had lapsed and their servers are alive.
    pub(super) fn presume_departed(
        &mut self,
        now: Instant,
        snapshot: &CatalogSnapshot,
        changes: &mut Vec<CatalogChange>,
    ) {
        let may_list_departed = self.unproven.may_list_departed(snapshot.started_at)
            && self.outage.is_settled(snapshot.started_at);
        if !may_list_departed && self.unproven.ids.is_empty() {
            self.unproven.unlisted.clear();
            return;
        }
        let listed = snapshot.entries.iter();
        let in_doubt = listed.filter(|entry| {
            self.unproven.ids.contains(&entry.id) && self.departures.of_run(now, entry).is_some()
        });
        self.unproven.ids = in_doubt.map(|entry| entry.id.clone()).collect();
        for (known_count, entries) in self.unproven_by_service(now, snapshot, may_list_departed) {
            let has_lapsed = entries.len() > known_count;
            for entry in entries {
                let is_recorded = self.unproven.ids.contains(&entry.id);
                if has_lapsed && is_recorded {
                    self.unproven.ids.remove(&entry.id);
                    self.relisted.remove(&entry.id);
                    self.departures.on_alive(&entry.id, snapshot.position);
                } else if !has_lapsed && !is_recorded {
                    // Without a position: a doubt that another entry tells later adds nothing, and
                    // the server isn't kept out anew.
                    let departure = Departure::of(entry).with_gap(true);
                    self.departures.record(now, &departure);
                    self.unproven.ids.insert(entry.id.clone());
                    changes.push(CatalogChange::Unproven(entry.id.clone()));
                }
            }
        }
    }

    /// For each service with unproven runs, the number of its known servers that `snapshot` lists
    /// and those runs: the recorded ones, and new ones if the snapshot `may_list_departed`.
    fn unproven_by_service<'a>(
        &self,
        now: Instant,
        snapshot: &'a CatalogSnapshot,
        may_list_departed: bool,
    ) -> Vec<(usize, Vec<&'a ServerEntry>)> {
        let mut services: HashMap<&str, (usize, Vec<&ServerEntry>)> = HashMap::new();
        for entry in &snapshot.entries {
            let (known_count, unproven) = services.entry(&entry.service).or_default();
            if self.table.by_id(&entry.id).is_some() {
                *known_count += 1;
                continue;
            }
            let is_new = may_list_departed
                && !entry.is_first_registration()
                && !self.unproven.unlisted.contains(&entry.id)
                && !self.departures.supersedes(now, entry)
                && self.departures.of_run(now, entry).is_none();
            if is_new || self.unproven.ids.contains(&entry.id) {
                unproven.push(entry);
            }
        }
        services.retain(|_, (_, unproven)| !unproven.is_empty());
        services.into_values().collect()
    }
}

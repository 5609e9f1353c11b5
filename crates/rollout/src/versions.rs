//! The versions that the servers of each service have run.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time for which a version that appears beside others gets no requests. Its order may still be
/// on the way, and without an order it would get a full part of the traffic.
const NEW_VERSION_HOLD: Duration = Duration::from_millis(1500);

/// Maximum number of versions remembered for a service.
const MAX_VERSIONS: usize = 64;

/// When each version first appeared.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<String, BTreeMap<String, Option<Instant>>>,
}

impl VersionHistory {
    /// Records that a server of `service` runs `version`. `is_initial` is set if no server was
    /// known before; the versions found then are not new.
    pub fn on_server(&mut self, now: Instant, service: &str, version: &str, is_initial: bool) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        if versions.contains_key(version) {
            return;
        }
        if versions.len() >= MAX_VERSIONS {
            versions.pop_first();
        }
        let is_only_version = versions.is_empty();
        let held_from = (!is_initial && !is_only_version).then_some(now);
        versions.insert(version.to_owned(), held_from);
    }

    /// Returns the versions of `service` that are too new to be used without an order, each
    /// with the time at which this ends.
    pub fn held_versions(&self, now: Instant, service: &str) -> Vec<(String, Instant)> {
        let versions = self.services.get(service).into_iter().flatten();
        let held_versions = versions.filter_map(|(version, held_from)| {
            let until = (*held_from)? + NEW_VERSION_HOLD;
            (now < until).then(|| (version.clone(), until))
        });
        held_versions.collect()
    }

    /// Returns all versions of `service` except `version`.
    pub fn others(&self, service: &str, version: &str) -> Vec<String> {
        let versions = self.services.get(service).into_iter().flatten();
        let names = versions.map(|(name, _)| name);
        names.filter(|name| *name != version).cloned().collect()
    }
}

//! The versions that a service's servers have had.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A version that appears beside others gets nothing for this long: the order for it may
/// still be on its way, and until then it must not get more than a part of the traffic.
const NEW_VERSION_HOLD: Duration = Duration::from_millis(1500);

/// Versions of a service that are remembered.
const MAX_VERSIONS: usize = 64;

/// When each version was seen first.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<String, BTreeMap<String, Option<Instant>>>,
}

impl VersionHistory {
    /// A server of `service` has `version`. `is_first` where nothing was known of any server
    /// before: what is there then isn't new.
    pub fn on_server(&mut self, now: Instant, service: &str, version: &str, is_first: bool) {
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
        let held_from = (!is_first && !is_only_version).then_some(now);
        versions.insert(version.to_owned(), held_from);
    }

    /// The versions of `service` that are too new to be used without an order, and until
    /// when.
    pub fn held_versions(&self, now: Instant, service: &str) -> Vec<(String, Instant)> {
        let versions = self.services.get(service).into_iter().flatten();
        let held_versions = versions.filter_map(|(version, held_from)| {
            let until = (*held_from)? + NEW_VERSION_HOLD;
            (now < until).then(|| (version.clone(), until))
        });
        held_versions.collect()
    }

    /// All versions of `service` but `version`.
    pub fn others(&self, service: &str, version: &str) -> Vec<String> {
        let versions = self.services.get(service).into_iter().flatten();
        let names = versions.map(|(name, _)| name);
        names.filter(|name| *name != version).cloned().collect()
    }
}

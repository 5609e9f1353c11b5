//! The versions of a service that currently get no requests.

use std::time::Instant;

use crate::order::{RolloutPhase, RolloutRecord};

/// Versions that currently get no requests.
#[derive(Debug, Default)]
pub(super) struct VersionExclusions {
    /// Versions that get none even if no other server is there.
    pub(super) rejected: Vec<String>,
    /// Versions excluded by orders, the version whose rollout is running, and versions that are too new.
    pub(super) versions: Vec<String>,
    /// When the first of the new versions stops being too new.
    pub(super) until: Option<Instant>,
}

impl VersionExclusions {
    /// Computes the exclusions of a service with the rollout `record`. The versions in `held`
    /// are too new until the given times. `None` if there is no rollout and no excluded
    /// version.
    pub(super) fn new(
        record: Option<&RolloutRecord>,
        held: Vec<(String, Instant)>,
    ) -> Option<Self> {
        let rejected = record.map_or_else(Vec::new, RolloutRecord::rejected_versions);
        let mut versions = record.map_or_else(Vec::new, RolloutRecord::excluded_versions);
        let in_phase = |phase| record.filter(|record| record.phase == phase);
        let until = held.iter().map(|(_, until)| *until).min();
        let mut held: Vec<String> = held.into_iter().map(|(version, _)| version).collect();
        if let Some(record) = in_phase(RolloutPhase::Running) {
            versions.push(record.order.version.clone());
        }
        if let Some(record) = in_phase(RolloutPhase::Completed) {
            held.retain(|version| *version != record.order.version);
        }
        versions.extend(held);
        versions.sort_unstable();
        versions.dedup();
        (record.is_some() || !versions.is_empty()).then_some(Self {
            rejected,
            versions,
            until,
        })
    }
}

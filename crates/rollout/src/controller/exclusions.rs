//! Which versions of a service get nothing.

use std::time::Instant;

use crate::order::{RolloutPhase, RolloutRecord};

/// Versions that get nothing for now.
#[derive(Debug, Default)]
pub(super) struct VersionExclusions {
    /// By orders.
    pub(super) barred: Vec<String>,
    /// By orders, by the rollout that runs, and for being too new.
    pub(super) versions: Vec<String>,
    /// When one of them stops to be too new.
    pub(super) until: Option<Instant>,
}

impl VersionExclusions {
    /// The gate of a service with the rollout `record`, in which the versions in `held` are
    /// too new until then; `None` where nothing is ordered or kept out.
    pub(super) fn new(
        record: Option<&RolloutRecord>,
        held: Vec<(String, Instant)>,
    ) -> Option<Self> {
        let barred = record.map_or_else(Vec::new, RolloutRecord::excluded_versions);
        let mut versions = barred.clone();
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
            barred,
            versions,
            until,
        })
    }
}

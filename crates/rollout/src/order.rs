//! What an operator orders, and what has become of it.

use std::time::Duration;

base::common! {
    /// An operator's order to move a service to another version.
    #[derive(Eq)]
    pub struct RolloutOrder {
        /// The service.
        pub service: String,
        /// The version that is to get its traffic.
        pub version: String,
        /// Time within which it is to have all of it.
        pub duration: Duration,
        /// Rises with each order for the service.
        pub revision: u64,
    }

    /// How far a rollout is. A later phase replaces an earlier one of the same order.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum RolloutPhase {
        /// Ordered; no entry uses the version yet.
        Ordered,
        /// Traffic moves to the version.
        Running,
        /// The version gets nothing any more. What the store holds as completed goes before
        /// an entry's own opinion, so this comes before [`Self::Completed`].
        RolledBack,
        /// The version has all traffic; servers of others may end at any moment.
        Completed,
    }

    /// A rollout as entries share it.
    #[derive(Eq)]
    pub struct RolloutRecord {
        /// The order.
        pub order: RolloutOrder,
        /// How far it is.
        pub phase: RolloutPhase,
        /// When it began to run, in milliseconds of the store's clock; 0 before.
        pub begun: u64,
        /// Versions of the service that get nothing, whatever becomes of this order: those
        /// that were rolled back or replaced before.
        pub barred: Vec<String>,
    }
}

impl RolloutPhase {
    /// The phase in one word, for logs and operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Running => "running",
            Self::RolledBack => "rolled-back",
            Self::Completed => "completed",
        }
    }

    /// Whether nothing follows.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }
}

impl RolloutRecord {
    /// A new order for a service whose rollout before it, if any, was `before`.
    pub fn new(order: RolloutOrder, before: Option<&Self>) -> Self {
        let mut barred = before.map_or_else(Vec::new, Self::excluded_versions);
        let mut phase = RolloutPhase::Ordered;
        match before {
            Some(before) if before.phase != RolloutPhase::Completed => {
                barred.push(before.order.version.clone());
            }
            // It has all traffic already, and its former versions may have ended.
            Some(before) if before.order.version == order.version => phase = before.phase,
            _ => {}
        }
        barred.sort_unstable();
        barred.dedup();
        barred.retain(|version| *version != order.version);
        Self {
            order,
            phase,
            begun: 0,
            barred,
        }
    }

    /// Whether `self` says more than `other` about the same service.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.order.revision, self.phase) > (other.order.revision, other.phase)
    }

    /// Versions that get nothing by this record alone.
    pub fn excluded_versions(&self) -> Vec<String> {
        let mut versions = self.barred.clone();
        if self.phase == RolloutPhase::RolledBack || self.phase == RolloutPhase::Ordered {
            versions.push(self.order.version.clone());
        }
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

//! Rollout orders and their state.

use std::time::Duration;

/// Longest rollout. Longer times don't come from an operator, and sums of them overflow.
const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 3600);

base::common! {
    /// An operator's order to move a service to another version.
    #[derive(Eq)]
    pub struct RolloutOrder {
        /// The service.
        pub service: String,
        /// The version that replaces the current one.
        pub version: String,
        /// Time until it gets all requests.
        pub duration: Duration,
        /// Increases with each order for the service.
        pub revision: u64,
    }

    /// The phase of a rollout. A later phase replaces an earlier one of the same order.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum RolloutPhase {
        /// Ordered; no entry sends requests to the version yet.
        Ordered,
        /// Traffic is moving to the version.
        Running,
        /// The version gets no requests any more. Ordered before [`Self::Completed`] because a
        /// completion in the store overrides an entry's own decision.
        RolledBack,
        /// The version gets all requests; servers of other versions may terminate at any time.
        Completed,
    }

    /// The state of a rollout, shared by all entries.
    #[derive(Eq)]
    pub struct RolloutRecord {
        /// The order.
        pub order: RolloutOrder,
        /// Its phase.
        pub phase: RolloutPhase,
        /// Start of the rollout, in milliseconds of the store's clock; 0 before.
        pub begun: u64,
        /// Versions of the service that get no requests, whatever the result of this order:
        /// those that were rolled back or replaced before.
        pub barred: Vec<String>,
        /// Those among them that a completed rollout replaced. They serve if no other server does.
        #[serde(default)]
        pub replaced: Vec<String>,
    }
}

impl RolloutOrder {
    /// Whether its duration is one that can be meant.
    pub fn is_valid(&self) -> bool {
        self.duration <= MAX_DURATION
    }
}

impl RolloutPhase {
    /// Returns the phase as a word, for logs and operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Running => "running",
            Self::RolledBack => "rolled-back",
            Self::Completed => "completed",
        }
    }

    /// Whether no other phase can follow.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }
}

impl RolloutRecord {
    /// Creates the record of a new order; `previous` is the previous rollout of the service.
    pub fn new(order: RolloutOrder, previous: Option<&Self>) -> Self {
        let mut barred = previous.map_or_else(Vec::new, Self::excluded_versions);
        let mut phase = RolloutPhase::Ordered;
        match previous {
            Some(previous) if previous.phase != RolloutPhase::Completed => {
                barred.push(previous.order.version.clone());
            }
            // The version has all traffic already, and the servers of earlier ones may have
            // terminated.
            Some(previous) if previous.order.version == order.version => phase = previous.phase,
            _ => {}
        }
        barred.sort_unstable();
        barred.dedup();
        barred.retain(|version| *version != order.version);
        let mut replaced = previous.map_or_else(Vec::new, |previous| previous.replaced.clone());
        replaced.retain(|version| *version != order.version);
        Self {
            order,
            phase,
            begun: 0,
            barred,
            replaced,
        }
    }

    /// Whether `self` supersedes `other`, a record of the same service.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.order.revision, self.phase) > (other.order.revision, other.phase)
    }

    /// Returns the versions that get no requests by this record alone.
    pub fn excluded_versions(&self) -> Vec<String> {
        let mut versions = self.barred.clone();
        if self.phase == RolloutPhase::RolledBack || self.phase == RolloutPhase::Ordered {
            versions.push(self.order.version.clone());
        }
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the versions that get no requests even if no other server is there.
    pub fn rejected_versions(&self) -> Vec<String> {
        let mut versions = self.excluded_versions();
        versions.retain(|version| !self.replaced.contains(version));
        versions
    }

    /// Records that a completed rollout replaced `versions`.
    pub fn bar_replaced(&mut self, versions: Vec<String>) {
        let known = self.barred.clone();
        let replaced = versions
            .into_iter()
            .filter(|version| !known.contains(version));
        let replaced: Vec<String> = replaced.collect();
        self.barred.extend(replaced.iter().cloned());
        self.barred.sort_unstable();
        self.replaced.extend(replaced);
    }
}

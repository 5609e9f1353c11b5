//! What entries tell each other of rollouts.

use std::time::Duration;

use tally::CountReport;

use crate::evidence::{AnswerKey, AnswerKind, ServerMask};

base::common! {
    /// One entry's counts in all rollouts that run.
    #[derive(Eq, Default)]
    pub struct RolloutReport {
        /// One run of the entry's process.
        pub run: u64,
        /// Milliseconds since it began to count.
        pub age: u64,
        /// One for each rollout.
        pub orders: Vec<OrderReport>,
    }

    /// One entry's counts in a rollout.
    #[derive(Eq)]
    pub struct OrderReport {
        /// The order's service.
        pub service: String,
        /// The order's revision.
        pub revision: u64,
        /// Whether the version was found to be bad.
        pub is_bad: bool,
        /// Requests at servers of old versions.
        pub in_flight_on_old: u32,
        /// Servers of the new version that answered, by bits of their hashes.
        pub seen: u64,
        /// Those that gave bad answers.
        pub bad: u64,
        /// Answers: the route's hash, whether of the new version, how they fared, how many.
        pub counts: Vec<(u64, bool, AnswerKind, u32)>,
    }
}

impl RolloutReport {
    /// All counts, as the tally takes them.
    pub(crate) fn to_count_report(&self) -> CountReport<AnswerKey> {
        let mut counts = Vec::new();
        for order in &self.orders {
            for (route, is_new, kind, count) in &order.counts {
                let key = AnswerKey {
                    revision: order.revision,
                    route: *route,
                    is_new: *is_new,
                    kind: *kind,
                };
                counts.push((key, *count));
            }
        }
        CountReport {
            run: self.run,
            age: Duration::from_millis(self.age),
            counts,
        }
    }
}

impl OrderReport {
    /// The servers of the new version that answered, and those that gave bad answers.
    pub(crate) fn servers(&self) -> (ServerMask, ServerMask) {
        (ServerMask(self.seen), ServerMask(self.bad))
    }
}

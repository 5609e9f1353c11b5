//! Reports about rollouts that entries send to each other.

use std::time::Duration;

use tally::CountReport;

use crate::evidence::{AnswerKey, AnswerKind, ServerMask};

base::common! {
    /// Counts of one entry in all running rollouts.
    #[derive(Eq, Default)]
    pub struct RolloutReport {
        /// Identifies one run of the entry's process.
        pub run: u64,
        /// Milliseconds since the run began to count.
        pub age: u64,
        /// One report for each rollout.
        pub orders: Vec<OrderReport>,
    }

    /// Counts of one entry in one rollout.
    #[derive(Eq)]
    pub struct OrderReport {
        /// The service of the order.
        pub service: String,
        /// The revision of the order.
        pub revision: u64,
        /// Whether the version was found to be bad.
        pub is_bad: bool,
        /// Requests in flight at servers of old versions.
        pub in_flight_on_old: u32,
        /// Servers of the new version that answered, as a [`ServerMask`].
        pub seen: u64,
        /// Servers of the new version with bad answers, as a [`ServerMask`].
        pub bad: u64,
        /// Answers: hash of the route's name, whether of the new version, outcome, count.
        pub counts: Vec<(u64, bool, AnswerKind, u32)>,
    }
}

impl RolloutReport {
    /// Converts all counts for the tally.
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
    /// Returns the servers of the new version that answered, and those with bad answers.
    pub(crate) fn servers(&self) -> (ServerMask, ServerMask) {
        (ServerMask(self.seen), ServerMask(self.bad))
    }
}

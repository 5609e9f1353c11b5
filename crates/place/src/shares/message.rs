//! Reports of requests and placements by region, which entries send to each other.

use std::time::Duration;

use tally::CountReport;

use crate::shares::counts::{RequestCount, ShareKey};

base::common! {
    /// The requests that an entry got and placed since its start.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct ShareReport {
        /// Identifies one run of the entry's process.
        pub run: u64,
        /// Milliseconds since the run began to count.
        pub age_ms: u64,
        /// Short hash of the region of the entry and its callers.
        pub region: u32,
        /// Short hashes of services, with the requests for them and those that were placed.
        pub services: Vec<(u32, u32, u32)>,
    }
}

impl ShareReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Converts all counts for the tally.
    pub(super) fn to_count_report(&self) -> CountReport<ShareKey> {
        let mut counts = Vec::with_capacity(2 * self.services.len());
        for (service, asked, placed) in &self.services {
            let key = |count| ShareKey {
                service: *service,
                region: self.region,
                count,
            };
            counts.push((key(RequestCount::Asked), *asked));
            counts.push((key(RequestCount::Placed), *placed));
        }
        CountReport {
            run: self.run,
            age: Duration::from_millis(self.age_ms),
            counts,
        }
    }
}

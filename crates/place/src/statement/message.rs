//! Statements of servers that entries pass on to each other.

use std::time::{Duration, Instant};

use crate::statement::bucket::BucketUse;

base::common! {
    /// What an entry knows of rate limits, for the others.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct StatementReport {
        /// The limits.
        pub limits: Vec<LimitReport>,
        /// Runs that said in a response to the entry that they are leaving. Short ids aren't enough: if two
        /// servers share one, the other would never get requests again.
        pub leaving: Vec<u64>,
    }

    /// A server's rate limit, and an entry's use of it.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct LimitReport {
        /// Short id of the server.
        pub server: u32,
        /// What the server said to the entry itself. Claims of other entries are not forwarded:
        /// entries that repeat a claim to each other would make it look recent forever.
        pub claim: Option<LimitClaim>,
        /// Number of requests that the entry has sent since it knows of the limit.
        pub sent: u32,
        /// Probability that the entry has a request for the server at a time, in thousandths.
        pub demand: u16,
    }

    /// What a server said of its limit.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct LimitClaim {
        /// The limit in thousandths of a request per second; `None` if it has none any more.
        pub rate: Option<u32>,
        /// Milliseconds since the answer that said so.
        pub age_ms: u32,
    }
}

/// Thousandths in a whole.
const THOUSANDTHS: f64 = 1000.0;

impl StatementReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty()
    }
}

impl LimitReport {
    /// Creates the report of an entry's use of the limit of the server with the short id
    /// `server`.
    pub fn new(server: u32, claim: Option<LimitClaim>, own_use: BucketUse) -> Self {
        Self {
            server,
            claim,
            sent: own_use.sent,
            demand: (own_use.demand * THOUSANDTHS).round() as u16,
        }
    }

    /// The entry's use of the limit.
    pub fn own_use(&self) -> BucketUse {
        BucketUse {
            sent: self.sent,
            demand: f64::from(self.demand) / THOUSANDTHS,
        }
    }
}

impl LimitClaim {
    /// Creates the claim of an answer that arrived at `stated_at` and named a limit of `rate`
    /// requests per second, or none.
    pub fn new(now: Instant, stated_at: Instant, rate: Option<f64>) -> Self {
        let age = now.saturating_duration_since(stated_at);
        Self {
            rate: rate.map(to_thousandths),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// The limit in requests per second.
    pub fn per_second(&self) -> Option<f64> {
        self.rate.map(from_thousandths)
    }

    /// When the answer arrived, if the report was sent at `now`.
    pub fn stated_at(&self, now: Instant) -> Option<Instant> {
        now.checked_sub(Duration::from_millis(u64::from(self.age_ms)))
    }
}

/// Rounds a limit to the resolution of reports.
pub(crate) fn rounded(rate: f64) -> f64 {
    from_thousandths(to_thousandths(rate))
}

fn to_thousandths(rate: f64) -> u32 {
    (rate * THOUSANDTHS).round() as u32
}

fn from_thousandths(rate: u32) -> f64 {
    f64::from(rate) / THOUSANDTHS
}

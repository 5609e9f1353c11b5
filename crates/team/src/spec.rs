//! What the operator sets for a team.

use crate::key::KeyDigest;

base::common! {
    /// How much a team may ask for, over all entries together.
    #[derive(Copy)]
    pub struct TeamQuota {
        /// Requests a second.
        pub rate: f64,
        /// Requests on top, at once.
        pub burst: f64,
    }

    /// A team.
    pub struct TeamSpec {
        /// Its name.
        pub name: String,
        /// Digests of its keys. A team without keys has no requests.
        pub keys: Vec<KeyDigest>,
        /// Rank of its requests, which goes before that of their routes; 0 is the most
        /// urgent.
        pub priority: Option<u32>,
        /// What it may ask for; `None` is unbounded.
        pub quota: Option<TeamQuota>,
        /// Regions that may serve it; empty allows all.
        pub home_regions: Vec<String>,
    }
}

impl TeamQuota {
    /// A quota of `rate` requests a second and `burst` on top; a rate of 0, or one that is
    /// no number, sets no bound.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let is_bound = rate > 0.0 && rate.is_finite();
        let burst = if burst.is_finite() {
            burst.max(0.0)
        } else {
            0.0
        };
        is_bound.then_some(Self { rate, burst })
    }
}

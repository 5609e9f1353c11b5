//! Team settings.

use crate::key::KeyDigest;

base::common! {
    /// The request quota of a team, over all entries together.
    #[derive(Copy)]
    pub struct TeamQuota {
        /// Requests per second.
        pub rate: f64,
        /// Size of the burst, in requests.
        pub burst: f64,
    }

    /// A team.
    pub struct TeamSpec {
        /// Its name.
        pub name: String,
        /// Digests of its keys. A team without keys can't send requests.
        pub keys: Vec<KeyDigest>,
        /// Priority of its requests, which overrides the priority of the route; 0 is the most
        /// urgent.
        pub priority: Option<u32>,
        /// Its quota; `None` is unlimited.
        pub quota: Option<TeamQuota>,
        /// Regions that may serve its requests; empty allows all.
        pub home_regions: Vec<String>,
    }
}

impl TeamQuota {
    /// Creates a quota of `rate` requests per second with a burst of `burst`. Returns `None`
    /// (unlimited) if the rate is not a positive finite number.
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

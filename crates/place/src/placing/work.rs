//! Estimates of how long requests of a route take with and without a cached object, learned
//! from answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::desired::RouteSpec;
use crate::placing::cache_likelihood::{CacheEvidence, CacheLikelihoods};
use crate::placing::timing::{MovingAverage, millis};
use crate::returns::waits::WaitLimit;

/// Weight of the newest answer in the averages of a route.
const WORK_WEIGHT: f64 = 0.05;
/// Initial work without a cached object, as a share of the objective.
const INITIAL_COLD_WORK: f64 = 1.2;
/// Initial work with a cached object, as a share of the objective.
const INITIAL_WARM_WORK: f64 = 0.36;
/// Initial size of an answer, in kilobytes.
const INITIAL_ANSWER_KB: f64 = 4.0;
/// A deadline below this share of the longest one seen marks a resubmitted request: callers
/// subtract the time that has passed.
const RESUBMIT_DEADLINE_SHARE: f64 = 0.97;
/// Weight of the newest request in the share of resubmitted ones.
const RESUBMIT_WEIGHT: f64 = 0.03;
/// Time constant of the request rate of an object.
const DEMAND_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of objects whose request rate is tracked.
const MAX_TRACKED_OBJECTS: usize = 8192;

/// Estimates for one route.
#[derive(Debug)]
pub struct RouteWork {
    /// Work with a cached object, in milliseconds.
    pub warm: MovingAverage,
    /// Work without a cached object, in milliseconds.
    pub cold: MovingAverage,
    /// How likely each kind of evidence for a cached object is right.
    pub rates: CacheLikelihoods,
    /// Size of an answer, in kilobytes.
    pub answer: MovingAverage,
    /// Longest expected response time for which new requests queue.
    pub wait_limit: WaitLimit,
    longest_deadline: Duration,
    resubmitted: MovingAverage,
    demand: HashMap<u64, (Instant, f64)>,
}

/// Estimates for all routes.
#[derive(Debug, Default)]
pub struct RouteWorkTable {
    routes: HashMap<String, RouteWork>,
}

impl RouteWorkTable {
    /// The estimates for `route`, with initial values if there are none.
    pub fn get_or_insert(&mut self, route: &RouteSpec) -> &mut RouteWork {
        if !self.routes.contains_key(&route.name) {
            let objective = millis(route.objective);
            self.routes
                .insert(route.name.clone(), RouteWork::new(objective));
        }
        self.routes
            .get_mut(&route.name)
            .expect("the route was inserted above")
    }

    /// The estimates for `route`, if there are any.
    pub fn get(&self, route: &RouteSpec) -> Option<&RouteWork> {
        self.routes.get(&route.name)
    }
}

impl RouteWork {
    fn new(objective: f64) -> Self {
        Self {
            warm: MovingAverage::new(INITIAL_WARM_WORK * objective, WORK_WEIGHT),
            cold: MovingAverage::new(INITIAL_COLD_WORK * objective, WORK_WEIGHT),
            rates: CacheLikelihoods::default(),
            answer: MovingAverage::new(INITIAL_ANSWER_KB, WORK_WEIGHT),
            longest_deadline: Duration::ZERO,
            resubmitted: MovingAverage::new(0.0, RESUBMIT_WEIGHT),
            wait_limit: WaitLimit::default(),
            demand: HashMap::new(),
        }
    }

    /// Registers a caller's deadline. Returns whether it indicates a resubmitted request.
    pub fn is_resubmitted(&mut self, deadline: Duration) -> bool {
        self.longest_deadline = self.longest_deadline.max(deadline);
        let resubmitted =
            millis(deadline) < RESUBMIT_DEADLINE_SHARE * millis(self.longest_deadline);
        self.note_resubmitted(resubmitted);
        resubmitted
    }

    /// Counts a request that is known to be resubmitted or not.
    pub fn note_resubmitted(&mut self, resubmitted: bool) {
        self.resubmitted.add(if resubmitted { 1.0 } else { 0.0 });
    }

    /// Share of resubmitted requests among the latest ones, 0 to 1.
    pub fn resubmit_share(&self) -> f64 {
        self.resubmitted.value()
    }

    /// Counts a request for `object`.
    pub fn on_request(&mut self, now: Instant, object: u64) {
        if self.demand.len() >= MAX_TRACKED_OBJECTS {
            self.demand
                .retain(|_, (at, _)| now.saturating_duration_since(*at) < DEMAND_WINDOW);
        }
        let (at, count) = self.demand.entry(object).or_insert((now, 0.0));
        let age = now.saturating_duration_since(*at);
        *count = *count * MovingAverage::decay(age, DEMAND_WINDOW) + 1.0;
        *at = now;
    }

    /// Requests per second for `object` at this entry.
    pub fn demand(&self, now: Instant, object: u64) -> f64 {
        let Some((at, count)) = self.demand.get(&object) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(*at);
        count * MovingAverage::decay(age, DEMAND_WINDOW) / DEMAND_WINDOW.as_secs_f64()
    }

    /// Records an answer that took `work` ms at a server with a free slot.
    pub fn on_answer(&mut self, work: f64, cache_evidence: Option<CacheEvidence>) {
        // Counts as cached if the time is closer, by ratio, to the warm average than to the
        // cold one.
        let is_cached = work * work < self.warm.value() * self.cold.value();
        if is_cached {
            self.warm.add(work);
        } else {
            self.cold.add(work);
        }
        if let Some(cache_evidence) = cache_evidence {
            self.rates.on_answer(cache_evidence, is_cached);
        }
    }
}

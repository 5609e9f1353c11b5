//! How long the requests of a route take where their object is held, and where
//! it isn't; learned from the answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::desired::RouteSpec;
use crate::placing::timing::{MovingAverage, millis};
use crate::placing::warmth::{Belief, WarmthRates};

/// Weight of the newest answer in the work of a route.
const WORK_WEIGHT: f64 = 0.05;
/// Work of an object that isn't held at the beginning, as a share of the objective.
const INITIAL_COLD_WORK: f64 = 1.2;
/// Work of a held object at the beginning, as a share of the objective.
const INITIAL_WARM_WORK: f64 = 0.36;
/// Kilobytes of an answer, before any is known.
const INITIAL_ANSWER_KB: f64 = 4.0;
/// A deadline below this share of the longest seen marks a request that was
/// refused before: callers subtract what has passed.
const RESUBMIT_DEADLINE_SHARE: f64 = 0.97;
/// Weight of the newest request in the share of those that were refused before.
const RESUBMIT_WEIGHT: f64 = 0.03;
/// Time over which the requests for an object are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(3);
/// Objects counted at most.
const MAX_TRACKED_OBJECTS: usize = 8192;

/// What is known of the work of one route.
#[derive(Debug)]
pub struct RouteWork {
    /// Where the object is held, in milliseconds.
    pub warm: MovingAverage,
    /// Where it isn't, in milliseconds.
    pub cold: MovingAverage,
    /// How likely each belief in a held object is right.
    pub rates: WarmthRates,
    /// Size of an answer, in kilobytes.
    pub answer: MovingAverage,
    longest_deadline: Duration,
    resubmitted: MovingAverage,
    demand: HashMap<u64, (Instant, f64)>,
}

/// The work of all routes.
#[derive(Debug, Default)]
pub struct RouteWorkTable {
    routes: HashMap<String, RouteWork>,
}

impl RouteWorkTable {
    /// What is known of `route`; a first guess if nothing is.
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

    /// What is known of `route`, if anything.
    pub fn get(&self, route: &RouteSpec) -> Option<&RouteWork> {
        self.routes.get(&route.name)
    }
}

impl RouteWork {
    fn new(objective: f64) -> Self {
        Self {
            warm: MovingAverage::new(INITIAL_WARM_WORK * objective, WORK_WEIGHT),
            cold: MovingAverage::new(INITIAL_COLD_WORK * objective, WORK_WEIGHT),
            rates: WarmthRates::default(),
            answer: MovingAverage::new(INITIAL_ANSWER_KB, WORK_WEIGHT),
            longest_deadline: Duration::ZERO,
            resubmitted: MovingAverage::new(0.0, RESUBMIT_WEIGHT),
            demand: HashMap::new(),
        }
    }

    /// Takes in a caller's deadline; whether it shows a request that was refused
    /// before.
    pub fn is_resubmitted(&mut self, deadline: Duration) -> bool {
        self.longest_deadline = self.longest_deadline.max(deadline);
        let resubmitted =
            millis(deadline) < RESUBMIT_DEADLINE_SHARE * millis(self.longest_deadline);
        self.resubmitted.add(if resubmitted { 1.0 } else { 0.0 });
        resubmitted
    }

    /// Share of the latest requests that were refused before, 0 to 1.
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

    /// Requests a second for `object` at this entry.
    pub fn demand(&self, now: Instant, object: u64) -> f64 {
        let Some((at, count)) = self.demand.get(&object) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(*at);
        count * MovingAverage::decay(age, DEMAND_WINDOW) / DEMAND_WINDOW.as_secs_f64()
    }

    /// Takes in an answer that took `work` ms at a server with a free slot.
    pub fn on_answer(&mut self, work: f64, belief: Option<Belief>) {
        // Nearer to the one or the other, by ratio.
        let held = work * work < self.warm.value() * self.cold.value();
        if held {
            self.warm.add(work);
        } else {
            self.cold.add(work);
        }
        if let Some(belief) = belief {
            self.rates.on_answer(belief, held);
        }
    }
}

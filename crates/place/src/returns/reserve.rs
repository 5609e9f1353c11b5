//! The part of the retry budget that is reserved for callers that return after a refusal.

use std::collections::HashMap;

use crate::placing::timing::MovingAverage;

/// Weight of the newest attempt in the share of rejected attempts.
const REJECTION_WEIGHT: f64 = 0.03;
/// Upper limit of the share of rejected attempts: beyond it, further attempts are hopeless.
const MAX_REJECTION_SHARE: f64 = 0.9;
/// Share of the refused and returned callers that is forgotten with each refusal.
const REFUSAL_DECAY: f64 = 0.005;
/// Number of refused callers that are assumed to have returned before any was refused.
const INITIAL_REFUSALS: f64 = 20.0;

/// Rejected attempts and returns of a service.
#[derive(Debug)]
struct ServiceRefusals {
    rejected: MovingAverage,
    refused: f64,
    returned: f64,
}

/// Estimates how many retries returning callers will need.
#[derive(Debug, Default)]
pub struct RetryReserve {
    services: HashMap<String, ServiceRefusals>,
}

impl RetryReserve {
    /// Counts a new request for `service` that was refused.
    pub fn on_refused(&mut self, service: &str) {
        let refusals = self.service_mut(service);
        refusals.refused = refusals.refused * (1.0 - REFUSAL_DECAY) + 1.0;
        refusals.returned *= 1.0 - REFUSAL_DECAY;
    }

    /// Counts a request for `service` that returns after a refusal, by this entry or another
    /// one: entries refuse about as many as return to them.
    pub fn on_returned(&mut self, service: &str) {
        self.service_mut(service).returned += 1.0;
    }

    /// Counts an attempt at a server of `service`, which `rejected` it or not.
    pub fn on_attempt(&mut self, service: &str, rejected: bool) {
        let refusals = self.service_mut(service);
        refusals.rejected.add(if rejected { 1.0 } else { 0.0 });
    }

    /// Retries that returning callers will need, per request for `service`, if new requests get
    /// none: the share of requests that is rejected and returns, times the further attempts that
    /// each of them takes until a server accepts it.
    pub fn retries_per_request(&self, service: &str) -> f64 {
        let Some(refusals) = self.services.get(service) else {
            return 0.0;
        };
        let share = refusals.rejected.value().min(MAX_REJECTION_SHARE);
        let returning = (refusals.returned / refusals.refused).min(1.0);
        returning * share * share / (1.0 - share)
    }

    fn service_mut(&mut self, service: &str) -> &mut ServiceRefusals {
        if !self.services.contains_key(service) {
            let refusals = ServiceRefusals {
                rejected: MovingAverage::new(0.0, REJECTION_WEIGHT),
                refused: INITIAL_REFUSALS,
                returned: INITIAL_REFUSALS,
            };
            self.services.insert(service.to_owned(), refusals);
        }
        self.services
            .get_mut(service)
            .expect("the service was inserted above")
    }
}

//! Callers that return after a refusal, as seen by the placement of requests.

use std::time::{Duration, Instant};

use crate::desired::RouteSpec;
use crate::placing::placer::RequestPlacer;
use crate::placing::timing::millis;
use crate::request::{Placement, PlacementRequest, ServerOutcome};
use crate::returns::ledger::{PromiseLedger, promise_key};
use crate::returns::message::ReturnReport;
use crate::returns::reserve::RetryReserve;

/// The state behind the plan for returning callers.
#[derive(Debug, Default)]
pub(super) struct ReturnPlan {
    pub(super) ledger: PromiseLedger,
    pub(super) reserve: RetryReserve,
}

impl RequestPlacer {
    /// Recognizes returning callers by promises, and prefers them to new requests.
    #[must_use]
    pub fn with_planned_returns(mut self) -> Self {
        self.returns = Some(ReturnPlan::default());
        self
    }

    /// Records that the caller of `request` was asked to come back in `retry_after`; the time
    /// until its own deadline is `remaining`.
    pub fn on_refused(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        remaining: Duration,
        retry_after: Duration,
    ) {
        let Some(plan) = &mut self.returns else {
            return;
        };
        if !request.resubmitted
            && let Some(part) = request.route.parts.get(request.part)
        {
            plan.reserve.on_refused(&part.service);
        }
        let key = promise_key(&request.route.name, request.object);
        plan.ledger.promise(now, key, retry_after, remaining);
    }

    /// Returns this entry's promises for the others. Call it as often as [`Self::own_load`], and
    /// send it unless it is empty.
    pub fn own_returns(&mut self, now: Instant) -> ReturnReport {
        let plan = self.returns.as_mut();
        plan.map_or_else(ReturnReport::default, |plan| plan.ledger.take_report(now))
    }

    /// Applies the promises of another entry.
    pub fn on_peer_returns(&mut self, received_at: Instant, report: &ReturnReport) {
        if let Some(plan) = &mut self.returns {
            plan.ledger.on_report(received_at, report);
        }
    }

    /// Number of callers that are expected back at any entry.
    pub fn expected_returns(&self) -> usize {
        let plan = self.returns.as_ref();
        plan.map_or(0, |plan| plan.ledger.expected())
    }

    /// Whether the request with the deadline in `remaining` returns after a refusal.
    pub(super) fn is_returning(
        &mut self,
        now: Instant,
        (route, part): (&RouteSpec, usize),
        object: Option<u64>,
        remaining: Duration,
    ) -> bool {
        let work = self.work.get_or_insert(route);
        match &mut self.returns {
            Some(plan) => {
                let key = promise_key(&route.name, object);
                let returning = plan.ledger.redeem(now, key, remaining);
                work.note_resubmitted(returning);
                if returning && let Some(part) = route.parts.get(part) {
                    plan.reserve.on_returned(&part.service);
                }
                returning
            }
            None => work.is_resubmitted(remaining),
        }
    }

    /// Takes one retry from the service's budget; `false` if none is left. New requests leave
    /// what returning ones will need.
    pub fn take_retry_for(&mut self, now: Instant, service: &str, is_returning: bool) -> bool {
        let reserved = match &self.returns {
            Some(plan) if !is_returning => plan.reserve.retries_per_request(service),
            _ => 0.0,
        };
        self.budget.take_unreserved_retry(now, service, reserved)
    }

    /// Learns from the outcome of a placed request how many attempts are rejected, and which
    /// waits end in time.
    pub(super) fn note_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        outcome: ServerOutcome,
    ) {
        let Some(plan) = &mut self.returns else {
            return;
        };
        let part = request.route.parts.get(request.part);
        let is_answered = matches!(outcome, ServerOutcome::Answered { .. });
        if let Some(part) = part
            && (is_answered || outcome == ServerOutcome::Full)
        {
            let is_rejected = outcome == ServerOutcome::Full;
            plan.reserve.on_attempt(&part.service, is_rejected);
        }
        let reason = &placement.reason;
        if reason.has_free_slot || !(is_answered || outcome == ServerOutcome::OutOfTime) {
            return;
        }
        let objective = request.route.objective;
        let elapsed = now.saturating_duration_since(placement.started);
        let work = self.work.get_or_insert(request.route);
        let expected = reason.expected / millis(objective).max(1.0);
        let is_in_time = is_answered && elapsed <= objective;
        work.wait_limit.on_answer(expected, is_in_time);
    }
}

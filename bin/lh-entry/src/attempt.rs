//! An attempt to serve a request, counted at its server until the outcome is known.

use std::rc::Rc;
use std::time::Instant;

use place::desired::RouteSpec;
use place::request::{Placement, PlacementRequest, ServerOutcome};
use place::server::ServerReport;
use rollout::sends::SendToken;

use crate::paths;
use crate::state::InstanceState;

/// Counts an attempt at its server until the outcome is known. An attempt that is dropped before
/// that counts as abandoned.
pub(crate) struct AttemptGuard {
    state: Rc<InstanceState>,
    route: Rc<RouteSpec>,
    part: usize,
    object: Option<u64>,
    pub(crate) placement: Placement,
    /// Identifies the request if a rollout of its service is in progress.
    rollout_token: Option<SendToken>,
    finished: bool,
}

impl AttemptGuard {
    /// Counts a request on `route` that is sent to the server of `placement`.
    pub(crate) fn new(
        state: &Rc<InstanceState>,
        route: &Rc<RouteSpec>,
        part: usize,
        object: Option<u64>,
        placement: Placement,
    ) -> Self {
        let service = route
            .parts
            .get(part)
            .map_or("", |part| part.service.as_str());
        let now = Instant::now();
        let sent = state.rollouts.on_sent(now, route, service, &placement);
        if let Some((_, is_new)) = sent {
            state.metrics.on_rollout_request(is_new);
        }
        Self {
            state: Rc::clone(state),
            route: Rc::clone(route),
            part,
            object,
            placement,
            rollout_token: sent.map(|(rollout_token, _)| rollout_token),
            finished: false,
        }
    }

    /// Records the outcome; calls after the first are ignored.
    pub(crate) fn finish(&mut self, outcome: ServerOutcome, report: Option<&ServerReport>) {
        if self.finished {
            return;
        }
        self.finished = true;
        let request = PlacementRequest::new(&self.route, self.part).with_object(self.object);
        if let Some(part) = self.route.parts.get(self.part) {
            self.state
                .metrics
                .on_attempt(&part.service, outcome.as_str());
        }
        let mut placer = self.state.placer.borrow_mut();
        placer.on_outcome(Instant::now(), &self.placement, &request, outcome, report);
        drop(placer);
        paths::report_changes(&self.state);
        if let Some(rollout_token) = self.rollout_token.take() {
            self.state.rollouts.on_outcome(rollout_token, outcome);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(ServerOutcome::Abandoned, None);
    }
}

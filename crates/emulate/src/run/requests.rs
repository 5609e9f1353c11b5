//! Requests of callers in a trial, until they arrive at a server.

use std::time::Duration;

use place::prelude::*;
use rand::Rng;

use crate::policy::{EntryPolicy, PolicyChoice, PolicyRequest};
use crate::run::{
    Attempt, CallerRequest, MAX_RETRIES, REJECTED_RETRY_AFTER, RETRY_WAIT_DIVISOR, Trial, micros,
};
use crate::timeline::Event;

impl<P: EntryPolicy> Trial<'_, P> {
    pub(super) fn on_new_request(&mut self) {
        let at = self.now as f64 / 1e6;
        if at >= self.experiment.seconds {
            return;
        }
        let (rate, share) = match self.experiment.step(at) {
            Some(step) => (step.rate, step.first_share),
            None => (0.0, 0.0),
        };
        let region = if self.rng.random::<f64>() < share {
            0
        } else {
            let others = self.experiment.regions.max(2) - 1;
            (1 + self.rng.random_range(0..others)) % self.experiment.regions
        };
        let member = self.rng.random_range(0..self.experiment.entries);
        let object = self.rng.random_range(0..self.experiment.objects) as u64;
        let team = self.draw_team();
        self.requests.push(CallerRequest {
            entry: region * self.experiment.entries + member,
            object,
            team,
            begun: self.now,
            refusals: 0,
        });
        self.report.window(at).asked += 1;
        self.report.team(team).asked += 1;
        self.report.region(region).asked += 1;
        self.place(self.requests.len() - 1);
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(0.001);
        self.schedule(self.now + micros(pause), Event::RequestArrives);
    }

    pub(super) fn draw_team(&mut self) -> usize {
        if self.experiment.teams.len() < 2 {
            return 0;
        }
        let total: f64 = self.experiment.teams.iter().sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (team, weight) in self.experiment.teams.iter().enumerate() {
            remaining -= weight;
            if remaining <= 0.0 {
                return team;
            }
        }
        0
    }

    pub(super) fn place(&mut self, index: usize) {
        let now = self.instant();
        let request = &self.requests[index];
        let spent = Duration::from_micros(self.now - request.begun);
        let remaining = self.experiment.deadline.saturating_sub(spent);
        let policy_request = PolicyRequest {
            object: request.object,
            remaining,
            is_first_try: request.refusals == 0,
            team: &self.teams[request.team],
        };
        match self.policies[request.entry].place(now, &policy_request) {
            PolicyChoice::Send(placement) => self.send(index, *placement, remaining),
            PolicyChoice::Refuse(after) => self.refuse(index, after, remaining),
        }
    }

    pub(super) fn send(&mut self, index: usize, placement: Placement, remaining: Duration) {
        let server = self.server_by_id[&placement.id];
        let entry = self.requests[index].entry;
        let region = entry / self.experiment.entries;
        let at = self.now as f64 / 1e6;
        self.regions
            .on_sent(at, region, self.experiment.region_of(server));
        self.departures.on_sent(self.now, entry, server);
        self.rests.on_sent(self.now, entry, server);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request: index,
            server,
            placement,
            is_open: true,
        });
        let delay = self.link_delay(entry, server);
        self.schedule(self.now + delay, Event::AttemptArrives(attempt));
        let bound = remaining.min(self.experiment.timeout).as_micros() as u64;
        self.schedule(self.now + bound, Event::AttemptTimesOut(attempt));
        self.send_statements(entry, true);
    }

    /// Refuses a request that servers rejected.
    pub(super) fn reject(&mut self, index: usize, remaining: Duration) {
        let now = self.instant();
        let request = &self.requests[index];
        let policy_request = PolicyRequest {
            object: request.object,
            remaining,
            is_first_try: request.refusals == 0,
            team: &self.teams[request.team],
        };
        self.policies[request.entry].on_rejected(now, &policy_request, REJECTED_RETRY_AFTER);
        self.refuse(index, REJECTED_RETRY_AFTER, remaining);
    }

    pub(super) fn refuse(&mut self, index: usize, after: Duration, remaining: Duration) {
        let request = &mut self.requests[index];
        request.refusals += 1;
        if request.refusals > MAX_RETRIES {
            let at = request.begun as f64 / 1e6;
            let region = request.entry / self.experiment.entries;
            self.report.window(at).refused += 1;
            self.report.region(region).refused += 1;
            return;
        }
        let wait = after.min(remaining / RETRY_WAIT_DIVISOR).as_micros() as u64;
        self.schedule(self.now + wait, Event::PlaceRequest(index));
    }
}

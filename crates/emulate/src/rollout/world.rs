//! Simulates entries that carry out a rollout together: callers, servers of two versions, reports
//! between entries, and the store.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rollout::prelude::*;

use crate::rollout::history::{
    EXPOSURE_SHARE, EXPOSURE_SLACK, RolloutFault, RolloutOutcome, RolloutScenario,
};

const SERVICE: &str = "board";
/// A bad version may get no requests later than this after its `MAX_BAD_ANSWERS`th bad answer.
const ROLLBACK_BOUND: Duration = Duration::from_secs(5);
/// Bad answers after which the time to roll back starts.
const MAX_BAD_ANSWERS: usize = 50;
const TICK: Duration = Duration::from_millis(10);
/// Interval between the reports of an entry: this for each entry that gets requests, but at
/// least `MIN_REPORT_INTERVAL`.
const REPORT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(12);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(80);
const LINK_DELAY: Duration = Duration::from_millis(36);
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay until a record that a lead wrote reaches all entries.
const STORE_PROPAGATION: Duration = Duration::from_millis(400);
const EXPECTED_LATENCY: Duration = Duration::from_millis(600);

struct PendingRequest {
    entry: usize,
    token: Option<SendToken>,
    run: u64,
    completes_at: Duration,
    fails: bool,
    is_new: bool,
    shows_fault: bool,
}

struct DelayedReport {
    to: usize,
    from: usize,
    at: Duration,
    report: RolloutReport,
}

/// The state of the entries, of the reports in transit and of the store.
struct RolloutSimulation<S> {
    scenario: RolloutScenario,
    schedule: S,
    start: Instant,
    rng: ChaCha8Rng,
    controllers: Vec<RolloutController<S>>,
    runs: Vec<u64>,
    in_flight: Vec<PendingRequest>,
    in_transit: VecDeque<DelayedReport>,
    pending_records: Vec<(Duration, RolloutRecord)>,
    stored: Option<RolloutRecord>,
    recent: VecDeque<bool>,
}

impl<S: ShareSchedule + Copy> RolloutSimulation<S> {
    fn new(scenario: RolloutScenario, schedule: S) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            scenario,
            schedule,
            start,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            controllers: Vec::new(),
            runs: vec![1; scenario.entries],
            in_flight: Vec::new(),
            in_transit: VecDeque::new(),
            pending_records: Vec::new(),
            stored: None,
            recent: VecDeque::new(),
        };
        for entry in 0..scenario.entries {
            let controller = simulation.new_controller(entry, Duration::ZERO);
            simulation.controllers.push(controller);
        }
        simulation
    }

    fn new_controller(&self, entry: usize, at: Duration) -> RolloutController<S> {
        let config = RolloutConfig {
            exposure_share: EXPOSURE_SHARE,
            exposure_slack: EXPOSURE_SLACK,
            run: self.runs[entry],
        };
        let now = self.start + at;
        let mut controller = RolloutController::new(now, config, self.schedule);
        controller.set_entries(self.scenario.entries, true);
        for version in ["v1", "v2"] {
            controller.on_server(now, SERVICE, version, true);
        }
        controller
    }

    /// Runs until two seconds after the deadline.
    fn run(mut self) -> RolloutOutcome {
        let mut outcome = RolloutOutcome::default();
        let order = RolloutOrder {
            service: SERVICE.to_owned(),
            version: "v2".to_owned(),
            duration: self.scenario.duration,
            revision: 7,
        };
        for entry in 0..self.scenario.entries {
            let now = self.start + LINK_DELAY;
            self.controllers[entry].on_order(now, &order);
        }
        let mut at = Duration::ZERO;
        let report_interval =
            (REPORT_INTERVAL_PER_ENTRY * self.scenario.entries as u32).max(MIN_REPORT_INTERVAL);
        let (mut due, mut reconcile_at, mut report_at) = (0.0, LINK_DELAY, report_interval);
        let mut requests_this_second = (0, 0);
        while at < self.scenario.duration + Duration::from_secs(2) {
            due += self.scenario.rate * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let is_new = self.on_request(at, &mut outcome);
                requests_this_second.0 += 1;
                requests_this_second.1 += usize::from(is_new);
            }
            self.complete_requests(at, &mut outcome);
            self.deliver(at);
            if at >= report_at {
                report_at += report_interval;
                self.send_reports(at);
            }
            let has_verdict = self
                .controllers
                .iter_mut()
                .fold(false, |any, controller| any | controller.take_verdict());
            if has_verdict {
                self.send_reports(at);
            }
            if at >= reconcile_at {
                reconcile_at = at + RECONCILE_INTERVAL;
                self.reconcile(0, at, &mut outcome);
                self.reconcile(self.controllers.len() - 1, at, &mut outcome);
            }
            at += TICK;
            if at.subsec_millis() < TICK.subsec_millis() {
                outcome
                    .shares
                    .push(requests_this_second.1 as f64 / f64::from(requests_this_second.0.max(1)));
                requests_this_second = (0, 0);
            }
        }
        outcome
    }

    fn is_partitioned(&self, entry: usize, at: Duration) -> bool {
        let partition = self.scenario.partition;
        partition.is_some_and(|(count, since)| entry < count && at >= since)
    }

    fn is_bad(&self, at: Duration, route: u64) -> bool {
        let load = self.recent.iter().filter(|is_new| **is_new).count() as f64;
        let share = load / self.recent.len().max(1) as f64;
        at >= self.scenario.fault_at
            && (!self.scenario.on_one_route || route == 1)
            && self.scenario.under_load.is_none_or(|least| share >= least)
    }

    fn on_request(&mut self, at: Duration, outcome: &mut RolloutOutcome) -> bool {
        let now = self.start + at;
        let entry = self.rng.random_range(0..self.scenario.entries);
        let partition = self
            .scenario
            .partition
            .filter(|_| self.is_partitioned(entry, at));
        let age = partition.map_or(Duration::from_millis(300), |(_, since)| at - since);
        let controller = &mut self.controllers[entry];
        let choice = controller.choose(now, SERVICE, false, Some(age));
        let stored_phase = self.stored.as_ref().map(|record| record.phase);
        let is_new = match choice {
            VersionChoice::New | VersionChoice::NewOnly => true,
            VersionChoice::Old => false,
            VersionChoice::NoRollout => stored_phase == Some(RolloutPhase::Completed),
        };
        let route = self.rng.random_range(1..=3);
        let server = self.rng.random_range(0..20);
        let send = VersionSend {
            service: SERVICE,
            version: if is_new { "v2" } else { "v1" },
            route,
            server,
            is_cold: false,
            expected: EXPECTED_LATENCY,
        };
        let token = controller.on_sent(now, &send).map(|(token, _)| token);
        let bad = is_new && self.is_bad(at, route);
        let mut took = EXPECTED_LATENCY.mul_f64(self.rng.random_range(0.6..1.4));
        let mut fails = self.rng.random_bool(self.scenario.base_failure_rate);
        let mut shows_fault = false;
        match self.scenario.fault {
            RolloutFault::Fails(share) if bad && self.rng.random_bool(share) => {
                (fails, shows_fault) = (true, true);
            }
            RolloutFault::Slow(share, factor) if bad && self.rng.random_bool(share) => {
                took = took.mul_f64(factor);
                shows_fault = true;
            }
            _ => {}
        }
        self.recent.push_back(is_new);
        if self.recent.len() > 200 {
            self.recent.pop_front();
        }
        if at <= self.scenario.duration && !self.is_partitioned(entry, at) {
            outcome.total_requests += 1;
            outcome.exposed += usize::from(is_new);
        }
        let bound = outcome
            .bad_answers
            .get(MAX_BAD_ANSWERS - 1)
            .map(|at| *at + ROLLBACK_BOUND);
        let is_late = bound.is_some_and(|bound| at > bound);
        if is_new && is_late && !self.is_partitioned(entry, at) {
            outcome.late += 1;
        }
        self.in_flight.push(PendingRequest {
            entry,
            token,
            run: self.runs[entry],
            completes_at: at + took,
            fails,
            is_new,
            shows_fault,
        });
        is_new
    }

    fn complete_requests(&mut self, at: Duration, outcome: &mut RolloutOutcome) {
        let now = self.start + at;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (done, left) = in_flight
            .into_iter()
            .partition(|request: &PendingRequest| request.completes_at <= at);
        self.in_flight = left;
        let done: Vec<PendingRequest> = done;
        for request in done {
            if request.shows_fault {
                outcome.bad_answers.push(at);
            }
            let result = if request.fails {
                SendOutcome::Failed
            } else {
                SendOutcome::Answered
            };
            if let Some(token) = request
                .token
                .filter(|_| request.run == self.runs[request.entry])
            {
                self.controllers[request.entry].on_outcome(now, token, result);
            }
        }
        for controller in &mut self.controllers {
            controller.check_overdue(now);
        }
        if let Some((entry, when)) = self.scenario.restarted
            && at >= when
            && self.runs[entry] == 1
        {
            self.runs[entry] = 2;
            self.controllers[entry] = self.new_controller(entry, at);
            if let Some(record) = self.stored.clone() {
                let begun = self.start + Duration::from_millis(record.begun);
                self.controllers[entry].on_record(now, &record, Some(begun), true);
            }
        }
    }

    fn send_reports(&mut self, at: Duration) {
        let now = self.start + at;
        for from in 0..self.controllers.len() {
            let Some(report) = self.controllers[from].report(now) else {
                continue;
            };
            if self.is_partitioned(from, at) {
                continue;
            }
            for to in 0..self.controllers.len() {
                let is_lost = self.rng.random_bool(self.scenario.loss);
                if to == from || is_lost || self.is_partitioned(to, at) {
                    continue;
                }
                let at = at + LINK_DELAY;
                let report = report.clone();
                self.in_transit.push_back(DelayedReport {
                    to,
                    from,
                    at,
                    report,
                });
            }
        }
    }

    fn deliver(&mut self, at: Duration) {
        let now = self.start + at;
        while self
            .in_transit
            .front()
            .is_some_and(|delayed| delayed.at <= at)
        {
            let Some(delayed) = self.in_transit.pop_front() else {
                return;
            };
            self.controllers[delayed.to].on_report(now, delayed.from as u64, &delayed.report);
        }
        let due: Vec<RolloutRecord> = {
            let ready = self.pending_records.iter().filter(|(when, _)| *when <= at);
            ready.map(|(_, record)| record.clone()).collect()
        };
        self.pending_records.retain(|(when, _)| *when > at);
        for record in due {
            let begun = self.start + Duration::from_millis(record.begun);
            for entry in 0..self.controllers.len() {
                if !self.is_partitioned(entry, at) {
                    self.controllers[entry].on_record(now, &record, Some(begun), true);
                }
            }
        }
    }

    /// Lets the entry `lead` write the rollout's next record to the store, if there is one.
    fn reconcile(&mut self, lead: usize, at: Duration, outcome: &mut RolloutOutcome) {
        let outage = self.scenario.store_outage;
        if outage.is_some_and(|(from, to)| at >= from && at < to) {
            return;
        }
        let now = self.start + at;
        let counts = ServerCounts { new: 20, old: 20 };
        let store_now = at.as_millis() as u64;
        let Some(record) = self.controllers[lead].next_record(now, SERVICE, counts, store_now)
        else {
            return;
        };
        let stored = self.stored.clone();
        if let Some(stored) = stored.filter(|stored| !record.is_newer(stored)) {
            let begun = self.start + Duration::from_millis(stored.begun);
            self.controllers[lead].on_record(now, &stored, Some(begun), true);
            return;
        }
        if record.phase == RolloutPhase::Completed {
            outcome.unfinished_old = self
                .in_flight
                .iter()
                .filter(|request| !request.is_new)
                .count();
        }
        if record.phase.is_final() && outcome.ended.is_none() {
            outcome.ended = Some(at);
        }
        outcome.phase = Some(record.phase);
        self.stored = Some(record.clone());
        let begun = self.start + Duration::from_millis(record.begun);
        self.controllers[lead].on_record(now, &record, Some(begun), true);
        self.pending_records.push((at + STORE_PROPAGATION, record));
    }
}

/// Simulates `scenario` with `schedule`.
pub fn simulate_rollout<S: ShareSchedule + Copy>(
    scenario: RolloutScenario,
    schedule: S,
) -> RolloutOutcome {
    RolloutSimulation::new(scenario, schedule).run()
}

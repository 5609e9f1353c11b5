//! Runs a trial event by event.

mod messages;
mod requests;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use place::catalog::CatalogSnapshot;
use place::desired::DesiredState;
use place::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::departures::DepartureCounts;
use crate::experiment::{Experiment, FaultKind};
use crate::limits::LimitCounts;
use crate::model::{Job, ModelServer};
use crate::policy::EntryPolicy;
use crate::regions::RegionCounts;
use crate::report::{TrialReport, WindowReport};
use crate::rests::RestCounts;
use crate::setup::{desired_state, entry_hash, placer_config, server_entries};
use crate::timeline::{Event, EventQueue, Micros};

/// One-way network delay within a region.
const IN_REGION_DELAY_US: u64 = 800;
/// One-way network delay between regions.
const CROSS_REGION_DELAY_US: u64 = 35_000;
/// Maximum deviation of the work from its mean, as a share of the mean.
const WORK_SPREAD: f64 = 0.15;
/// How often a caller retries a refused request.
const MAX_RETRIES: u32 = 1;
/// Retry time of a request that servers rejected.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// A caller waits at most its remaining time divided by this before it retries.
const RETRY_WAIT_DIVISOR: u32 = 3;

struct CallerRequest {
    entry: usize,
    object: u64,
    team: usize,
    begun: Micros,
    refusals: u32,
}

struct Attempt {
    request: usize,
    server: usize,
    placement: Placement,
    is_open: bool,
}

struct Trial<'a, P> {
    experiment: &'a Experiment,
    origin: Instant,
    now: Micros,
    events: EventQueue,
    rng: ChaCha8Rng,
    policies: Vec<P>,
    servers: Vec<ModelServer>,
    epochs: Vec<u64>,
    server_by_id: HashMap<String, usize>,
    requests: Vec<CallerRequest>,
    attempts: Vec<Attempt>,
    report: TrialReport,
    regions: RegionCounts,
    limits: LimitCounts,
    departures: DepartureCounts,
    rests: RestCounts,
    teams: Vec<String>,
}

/// Runs `experiment` with the policy that `new_policy` creates for each entry.
pub fn run_trial<P: EntryPolicy>(
    experiment: &Experiment,
    new_policy: impl Fn(PlacerConfig, &DesiredState, &CatalogSnapshot, &[u64], usize) -> P,
) -> TrialReport {
    let origin = Instant::now();
    let desired = desired_state(experiment);
    let snapshot = CatalogSnapshot {
        entries: server_entries(experiment),
        foreign: Vec::new(),
        started_at: origin,
        position: StorePosition::new(0, 1),
    };
    let count = experiment.regions * experiment.entries;
    let hashes: Vec<u64> = (0..count).map(entry_hash).collect();
    let policies = (0..count)
        .map(|entry| {
            let config = placer_config(experiment, entry);
            new_policy(config, &desired, &snapshot, &hashes, experiment.entries - 1)
        })
        .collect();
    let servers = (0..snapshot.entries.len())
        .map(|_| ModelServer::new(experiment.slots, experiment.queue, experiment.cache_size))
        .collect();
    let ids = snapshot.entries.iter().enumerate();
    let mut trial = Trial {
        experiment,
        origin,
        now: 0,
        events: EventQueue::default(),
        rng: ChaCha8Rng::seed_from_u64(experiment.seed),
        policies,
        servers,
        epochs: vec![0; snapshot.entries.len()],
        server_by_id: ids
            .map(|(index, entry)| (entry.id.clone(), index))
            .collect(),
        requests: Vec::new(),
        attempts: Vec::new(),
        report: TrialReport::default(),
        regions: RegionCounts::new(experiment.regions),
        limits: LimitCounts::default(),
        departures: DepartureCounts::default(),
        rests: RestCounts::default(),
        teams: (0..experiment.teams.len()).map(team_name).collect(),
    };
    trial.run();
    trial.report
}

impl<P: EntryPolicy> Trial<'_, P> {
    fn run(&mut self) {
        self.schedule(0, Event::RequestArrives);
        for entry in 0..self.policies.len() {
            self.schedule(
                self.load_interval() * entry as u64 / 8,
                Event::SendLoad(entry),
            );
        }
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            let (start, end) = (micros(fault.at), micros(fault.at + fault.duration));
            self.schedule(start, Event::FaultStarts(index));
            self.schedule(end, Event::FaultEnds(index));
        }
        let last = micros(self.experiment.seconds) + micros(5.0);
        while let Some((at, event)) = self.events.pop() {
            if at > last {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self.report.sent_in_rest = self.rests.most;
        self.report.sent_to_leaving = self.departures.late;
        self.report.limit_overload = self.limits.overload;
        self.report.limit_use = self.limits.use_share();
        self.report.largest_shift = self.regions.largest_shift(self.experiment.seconds);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives => self.on_new_request(),
            Event::PlaceRequest(request) => self.place(request),
            Event::AttemptArrives(attempt) => self.arrive_at_server(attempt),
            Event::WorkDone(attempt, epoch) => self.finish_work(attempt, epoch),
            Event::ReceiveAnswer(attempt, is_accepted) => self.receive_answer(attempt, is_accepted),
            Event::AttemptTimesOut(attempt) => self.time_out(attempt),
            Event::SendLoad(entry) => self.send_load(entry),
            Event::ReceiveLoad(entry, from, update) => {
                let now = self.instant();
                self.policies[entry].on_load_update(now, from, update);
            }
            Event::ReceiveStatements(entry, from, report) => {
                let now = self.instant();
                self.policies[entry].on_statement_report(now, from, &report);
            }
            Event::ReceiveReturns(entry, report) => {
                let now = self.instant();
                self.policies[entry].on_return_report(now, &report);
            }
            Event::ReceiveShares(entry, from, report) => {
                let now = self.instant();
                self.policies[entry].on_share_report(now, from, &report);
            }
            Event::FaultStarts(index) => self.set_fault(index, true),
            Event::FaultEnds(index) => self.set_fault(index, false),
        }
    }

    fn arrive_at_server(&mut self, index: usize) {
        let (server, is_open) = (self.attempts[index].server, self.attempts[index].is_open);
        if !is_open || self.servers[server].down {
            return;
        }
        self.limits.on_arrived(self.now, server);
        let shed = self.rng.random::<f64>() < self.servers[server].shed_share;
        let object = self.requests[self.attempts[index].request].object;
        let job = Job {
            attempt: index,
            object,
        };
        let accepted = if shed {
            None
        } else {
            self.servers[server].accept(job)
        };
        match accepted {
            Some(true) => self.start_work(server, job),
            Some(false) => {}
            None => self.reply(index, false),
        }
    }

    fn start_work(&mut self, server: usize, job: Job) {
        let is_hit = self.servers[server].access(job.object);
        self.report.runs += 1;
        self.report.misses += u32::from(!is_hit);
        let spread = 1.0 + WORK_SPREAD * (2.0 * self.rng.random::<f64>() - 1.0);
        let share = if is_hit {
            self.experiment.hit_work_share
        } else {
            1.0
        };
        let mean = self.experiment.work.as_secs_f64() * share * self.servers[server].slowdown;
        let epoch = self.epochs[server];
        let ends = self.now + micros(mean * spread);
        self.schedule(ends, Event::WorkDone(job.attempt, epoch));
    }

    fn finish_work(&mut self, index: usize, epoch: u64) {
        let server = self.attempts[index].server;
        if self.epochs[server] != epoch {
            return;
        }
        if let Some(next) = self.servers[server].release() {
            self.start_work(server, next);
        }
        if self.attempts[index].is_open {
            self.reply(index, true);
        }
    }

    fn reply(&mut self, index: usize, is_accepted: bool) {
        let attempt = &self.attempts[index];
        let entry = self.requests[attempt.request].entry;
        let delay = self.link_delay(entry, attempt.server);
        self.schedule(self.now + delay, Event::ReceiveAnswer(index, is_accepted));
    }

    fn receive_answer(&mut self, index: usize, is_accepted: bool) {
        if !self.attempts[index].is_open {
            return;
        }
        let outcome = if is_accepted {
            ServerOutcome::Answered { good: true }
        } else {
            ServerOutcome::Full
        };
        let server = &self.servers[self.attempts[index].server];
        let (report, statement) = (server.report(), server.statement(is_accepted));
        let now = self.instant();
        let attempt = &self.attempts[index];
        let entry = self.requests[attempt.request].entry;
        if statement.leaving {
            self.departures
                .on_leaving_response(self.now, entry, attempt.server);
        }
        if let Some(span) = statement.rest {
            let pair = (entry, attempt.server);
            self.rests
                .on_asked(self.now, pair, span.as_micros() as Micros);
        }
        let policy = &mut self.policies[entry];
        policy.on_statement(now, &attempt.placement, &statement);
        self.close(index, outcome, Some(&report));
        let request = self.attempts[index].request;
        let begun = self.requests[request].begun;
        let took = Duration::from_micros(self.now - begun);
        if !is_accepted {
            let remaining = self.experiment.deadline.saturating_sub(took);
            self.reject(request, remaining);
            return;
        }
        let in_time = took <= self.experiment.objective;
        let team = self.requests[request].team;
        let region = self.requests[request].entry / self.experiment.entries;
        let add = |window: &mut WindowReport| {
            if in_time {
                window.in_time += 1;
            } else {
                window.late += 1;
            }
        };
        add(self.report.team(team));
        add(self.report.region(region));
        add(self.report.window(begun as f64 / 1e6));
    }

    fn time_out(&mut self, index: usize) {
        if !self.attempts[index].is_open {
            return;
        }
        self.close(index, ServerOutcome::OutOfTime, None);
        let server = self.attempts[index].server;
        self.servers[server].cancel(index);
        let request = &self.requests[self.attempts[index].request];
        let region = request.entry / self.experiment.entries;
        self.report.window(request.begun as f64 / 1e6).failed += 1;
        self.report.region(region).failed += 1;
    }

    fn close(&mut self, index: usize, outcome: ServerOutcome, report: Option<&ServerReport>) {
        let now = self.instant();
        let attempt = &mut self.attempts[index];
        attempt.is_open = false;
        let request = &self.requests[attempt.request];
        let policy = &mut self.policies[request.entry];
        policy.on_outcome(now, &attempt.placement, request.object, outcome, report);
    }

    fn set_fault(&mut self, index: usize, is_start: bool) {
        let fault = self.experiment.faults[index];
        for server in fault.first_server..fault.first_server + fault.count {
            let crashes = is_start && matches!(fault.kind, FaultKind::Down);
            self.epochs[server] += u64::from(crashes);
            self.servers[server].set_fault(fault.kind, is_start);
            if let FaultKind::Limit(rate) = fault.kind {
                self.limits
                    .on_limit(self.now, server, is_start.then_some(rate));
            }
        }
    }

    fn load_interval(&self) -> Micros {
        self.experiment.load_interval.as_micros() as Micros
    }

    fn link_delay(&self, entry: usize, server: usize) -> Micros {
        let is_same_region = entry / self.experiment.entries == self.experiment.region_of(server);
        if is_same_region {
            IN_REGION_DELAY_US
        } else {
            CROSS_REGION_DELAY_US
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.events.schedule(at, event);
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_micros(self.now)
    }
}

pub(crate) fn team_name(team: usize) -> String {
    format!("team-{team}")
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

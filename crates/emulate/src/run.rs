//! Plays an experiment, event by event.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use place::catalog::CatalogSnapshot;
use place::desired::DesiredState;
use place::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, FaultKind};
use crate::model::{Job, ModelServer};
use crate::policy::{EntryPolicy, PolicyChoice, PolicyRequest};
use crate::regions::RegionCounts;
use crate::report::TrialReport;
use crate::setup::{desired_state, entry_hash, placer_config, server_entries};
use crate::timeline::{Event, EventQueue, Micros};

/// One way inside a region, in microseconds.
const NEAR: u64 = 800;
/// One way between regions, in microseconds.
const FAR: u64 = 35_000;
/// Spread of the work, as a share of its mean.
const WORK_SPREAD: f64 = 0.15;
/// How often the caller of a refused request comes back.
const RETURNS: u32 = 1;
/// Part of its remaining time that a caller waits before it comes back.
const WAIT_SHARE: u32 = 3;

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
    open: bool,
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
    by_id: HashMap<String, usize>,
    requests: Vec<CallerRequest>,
    attempts: Vec<Attempt>,
    report: TrialReport,
    regions: RegionCounts,
    /// Names of the teams.
    teams: Vec<String>,
}

/// Plays `experiment` with the policy that `make` builds for each entry.
pub fn run_trial<P: EntryPolicy>(
    experiment: &Experiment,
    make: impl Fn(PlacerConfig, &DesiredState, &CatalogSnapshot, &[u64], usize) -> P,
) -> TrialReport {
    let origin = Instant::now();
    let desired = desired_state(experiment);
    let snapshot = CatalogSnapshot {
        entries: server_entries(experiment),
        foreign: Vec::new(),
        started_at: origin,
        version: 1,
    };
    let count = experiment.regions * experiment.entries;
    let hashes: Vec<u64> = (0..count).map(entry_hash).collect();
    let policies = (0..count)
        .map(|entry| {
            let config = placer_config(experiment, entry);
            make(config, &desired, &snapshot, &hashes, experiment.entries - 1)
        })
        .collect();
    let servers = (0..snapshot.entries.len())
        .map(|_| ModelServer::new(experiment.slots, experiment.queue, experiment.holds))
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
        by_id: ids
            .map(|(index, entry)| (entry.id.clone(), index))
            .collect(),
        requests: Vec::new(),
        attempts: Vec::new(),
        report: TrialReport::default(),
        regions: RegionCounts::new(experiment.regions),
        teams: (0..experiment.teams.len()).map(team_name).collect(),
    };
    trial.run();
    trial.report
}

impl<P: EntryPolicy> Trial<'_, P> {
    fn run(&mut self) {
        self.schedule(0, Event::Arrive);
        for entry in 0..self.policies.len() {
            self.schedule(self.load_every() * entry as u64 / 8, Event::Load(entry));
        }
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            let (begins, ends) = (micros(fault.at), micros(fault.at + fault.lasts));
            self.schedule(begins, Event::FaultBegins(index));
            self.schedule(ends, Event::FaultEnds(index));
        }
        let last = micros(self.experiment.seconds) + micros(5.0);
        while let Some((at, event)) = self.events.pop() {
            if at > last {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self.report.largest_shift = self.regions.largest_shift(self.experiment.seconds);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask(request) => self.ask(request),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Finish(attempt, epoch) => self.finish(attempt, epoch),
            Event::Answer(attempt, ran) => self.answer(attempt, ran),
            Event::OutOfTime(attempt) => self.out_of_time(attempt),
            Event::Load(entry) => self.tell_load(entry),
            Event::Hear(entry, from, word) => {
                let now = self.instant();
                self.policies[entry].on_load(now, from, word);
            }
            Event::FaultBegins(index) => self.set_fault(index, true),
            Event::FaultEnds(index) => self.set_fault(index, false),
        }
    }

    fn arrive(&mut self) {
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
        self.ask(self.requests.len() - 1);
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(0.001);
        self.schedule(self.now + micros(pause), Event::Arrive);
    }

    fn draw_team(&mut self) -> usize {
        if self.experiment.teams.len() < 2 {
            return 0;
        }
        let whole: f64 = self.experiment.teams.iter().sum();
        let mut left = self.rng.random::<f64>() * whole;
        for (team, weight) in self.experiment.teams.iter().enumerate() {
            left -= weight;
            if left <= 0.0 {
                return team;
            }
        }
        0
    }

    fn ask(&mut self, index: usize) {
        let now = self.instant();
        let request = &self.requests[index];
        let spent = Duration::from_micros(self.now - request.begun);
        let left = self.experiment.deadline.saturating_sub(spent);
        let asked = PolicyRequest {
            object: request.object,
            left,
            fresh: request.refusals == 0,
            team: &self.teams[request.team],
        };
        match self.policies[request.entry].place(now, &asked) {
            PolicyChoice::Send(placement) => self.send(index, *placement, left),
            PolicyChoice::Refuse(after) => self.refuse(index, after, left),
        }
    }

    fn send(&mut self, index: usize, placement: Placement, left: Duration) {
        let server = self.by_id[&placement.id];
        let entry = self.requests[index].entry;
        let region = entry / self.experiment.entries;
        let at = self.now as f64 / 1e6;
        self.regions
            .on_sent(at, region, self.experiment.region_of(server));
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request: index,
            server,
            placement,
            open: true,
        });
        let trip = self.trip(entry, server);
        self.schedule(self.now + trip, Event::Reach(attempt));
        let bound = left.min(self.experiment.timeout).as_micros() as u64;
        self.schedule(self.now + bound, Event::OutOfTime(attempt));
    }

    fn refuse(&mut self, index: usize, after: Duration, left: Duration) {
        let request = &mut self.requests[index];
        request.refusals += 1;
        if request.refusals > RETURNS {
            let at = request.begun as f64 / 1e6;
            self.report.window(at).refused += 1;
            return;
        }
        let wait = after.min(left / WAIT_SHARE).as_micros() as u64;
        self.schedule(self.now + wait, Event::Ask(index));
    }

    fn reach(&mut self, index: usize) {
        let (server, open) = (self.attempts[index].server, self.attempts[index].open);
        if !open || self.servers[server].down {
            return;
        }
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
            Some(true) => self.begin(server, job),
            Some(false) => {}
            None => self.reply(index, false),
        }
    }

    fn begin(&mut self, server: usize, job: Job) {
        let held = self.servers[server].touch(job.object);
        self.report.runs += 1;
        self.report.misses += u32::from(!held);
        let spread = 1.0 + WORK_SPREAD * (2.0 * self.rng.random::<f64>() - 1.0);
        let share = if held {
            self.experiment.held_share
        } else {
            1.0
        };
        let mean = self.experiment.work.as_secs_f64() * share * self.servers[server].slowness;
        let epoch = self.epochs[server];
        let ends = self.now + micros(mean * spread);
        self.schedule(ends, Event::Finish(job.attempt, epoch));
    }

    fn finish(&mut self, index: usize, epoch: u64) {
        let server = self.attempts[index].server;
        if self.epochs[server] != epoch {
            return;
        }
        if let Some(next) = self.servers[server].release() {
            self.begin(server, next);
        }
        if self.attempts[index].open {
            self.reply(index, true);
        }
    }

    fn reply(&mut self, index: usize, ran: bool) {
        let attempt = &self.attempts[index];
        let entry = self.requests[attempt.request].entry;
        let trip = self.trip(entry, attempt.server);
        self.schedule(self.now + trip, Event::Answer(index, ran));
    }

    fn answer(&mut self, index: usize, ran: bool) {
        if !self.attempts[index].open {
            return;
        }
        let outcome = if ran {
            ServerOutcome::Answered { good: true }
        } else {
            ServerOutcome::Full
        };
        let report = self.servers[self.attempts[index].server].report();
        self.close(index, outcome, Some(&report));
        let request = self.attempts[index].request;
        let begun = self.requests[request].begun;
        let took = Duration::from_micros(self.now - begun);
        if !ran {
            let left = self.experiment.deadline.saturating_sub(took);
            self.refuse(request, Duration::from_millis(300), left);
            return;
        }
        let in_time = took <= self.experiment.objective;
        let team = self.requests[request].team;
        if in_time {
            self.report.team(team).in_time += 1;
        } else {
            self.report.team(team).late += 1;
        }
        let window = self.report.window(begun as f64 / 1e6);
        if in_time {
            window.in_time += 1;
        } else {
            window.late += 1;
        }
    }

    fn out_of_time(&mut self, index: usize) {
        if !self.attempts[index].open {
            return;
        }
        self.close(index, ServerOutcome::OutOfTime, None);
        let server = self.attempts[index].server;
        self.servers[server].cancel(index);
        let begun = self.requests[self.attempts[index].request].begun;
        self.report.window(begun as f64 / 1e6).failed += 1;
    }

    fn close(&mut self, index: usize, outcome: ServerOutcome, report: Option<&ServerReport>) {
        let now = self.instant();
        let attempt = &mut self.attempts[index];
        attempt.open = false;
        let request = &self.requests[attempt.request];
        let policy = &mut self.policies[request.entry];
        policy.on_outcome(now, &attempt.placement, request.object, outcome, report);
    }

    fn tell_load(&mut self, entry: usize) {
        let now = self.instant();
        let word = self.policies[entry].load(now);
        for other in 0..self.policies.len() {
            if other == entry {
                continue;
            }
            let near = other / self.experiment.entries == entry / self.experiment.entries;
            let trip = if near { NEAR } else { FAR };
            let word = word.clone();
            let word = if near { word } else { word.for_other_regions() };
            let heard = Event::Hear(other, entry_hash(entry), word);
            self.schedule(self.now + trip, heard);
        }
        self.schedule(self.now + self.load_every(), Event::Load(entry));
    }

    fn set_fault(&mut self, index: usize, begins: bool) {
        let fault = self.experiment.faults[index];
        for server in fault.first..fault.first + fault.count {
            let crashes = begins && matches!(fault.kind, FaultKind::Down);
            self.epochs[server] += u64::from(crashes);
            self.servers[server].set_fault(fault.kind, begins);
        }
    }

    fn load_every(&self) -> Micros {
        self.experiment.load_every.as_micros() as Micros
    }

    fn trip(&self, entry: usize, server: usize) -> Micros {
        let near = entry / self.experiment.entries == self.experiment.region_of(server);
        if near { NEAR } else { FAR }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.events.schedule(at, event);
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_micros(self.now)
    }
}

/// The name of the team with the number `team`.
pub(crate) fn team_name(team: usize) -> String {
    format!("team-{team}")
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

//! Simulates a service under load while one request crashes its servers, with retries,
//! bystanders in flight at the same servers, spontaneous crashes and lost datagrams.

mod fleet_world;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fleet_world::{FleetWorld, ms};
use place::crash::fingerprint::RequestFingerprint;
use place::crash::message::CrashReport;
use place::prelude::*;
use place::rank::pair_weight;

const STEP: Duration = Duration::from_millis(10);
/// The request that crashes servers, and how long it runs before it does.
const FATAL: RequestFingerprint = RequestFingerprint(1);
const FATAL_TIME: Duration = Duration::from_millis(80);
/// Number of servers, and maximum number of requests at each.
const SERVERS: usize = 22;
const SERVER_JOBS: usize = 6;
/// Time until a crashed server is back, and until the entries that had requests there know of
/// the crash.
const RESTART_TIME: Duration = Duration::from_millis(2500);
const REPORT_DELAY: Duration = Duration::from_millis(60);
/// Rates per second: all requests, fatal requests, and spontaneous crashes.
const ARRIVALS: f64 = 128.0;
const FATAL_ARRIVALS: f64 = 4.0;
const SPONTANEOUS_CRASHES: f64 = 0.3;
/// Maximum number of sends of a request: two by its entry, and as many again for the caller's
/// retry.
const MAX_SENDS: u32 = 4;
/// Time after the third crash within which all entries must know the cause, and the number of
/// fatal requests that may still be sent later.
const SPREAD_TIME: Duration = Duration::from_secs(3);
const LATE_SENDS: usize = 3;

#[derive(Clone)]
struct Job {
    fingerprint: RequestFingerprint,
    entry: usize,
    ends: Instant,
    repeats: bool,
    sends: u32,
}

struct Server {
    run: u64,
    jobs: Vec<Job>,
    back_at: Option<Instant>,
}

/// Counters of a simulation.
#[derive(Debug, Default)]
struct Counters {
    store_rejects: usize,
    answered: usize,
    crashed: usize,
    fatal_sends: usize,
    late_sends: usize,
}

struct Simulation {
    world: FleetWorld,
    servers: Vec<Server>,
    seed: u64,
    drawn: u64,
    next_fingerprint: u128,
    runs: u64,
    third_crash_at: Option<Instant>,
    fatal_crashes: BTreeSet<u64>,
    reports: Vec<(Instant, usize, CrashReport)>,
    counters: Counters,
}

impl Simulation {
    fn new(entries: usize, seed: u64) -> Self {
        let mut world = FleetWorld::new(entries);
        world.run(ms(8000));
        world.loss_interval = Some(20);
        let servers = (0..SERVERS as u64).map(|run| Server {
            run,
            jobs: Vec::new(),
            back_at: None,
        });
        Self {
            world,
            servers: servers.collect(),
            seed,
            drawn: 0,
            next_fingerprint: 100,
            runs: SERVERS as u64,
            third_crash_at: None,
            fatal_crashes: BTreeSet::new(),
            reports: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Returns a random number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        (pair_weight(self.seed, self.drawn) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn pick(&mut self, count: usize) -> usize {
        (self.draw() * count as f64) as usize % count
    }

    fn happens(&mut self, rate: f64) -> bool {
        self.draw() < rate * STEP.as_secs_f64()
    }

    fn run(mut self, span: Duration) -> Counters {
        let until = self.world.now + span;
        while self.world.now < until {
            self.world.run(STEP);
            self.arrive();
            self.finish();
            self.report();
        }
        self.counters
    }

    fn arrive(&mut self) {
        for _ in 0..4 {
            if self.happens(ARRIVALS / 4.0) {
                self.next_fingerprint += 1;
                let fingerprint = RequestFingerprint(self.next_fingerprint);
                let repeats = self.draw() < 0.7;
                self.send(fingerprint, repeats, 0);
            }
        }
        if self.happens(FATAL_ARRIVALS) {
            self.send(FATAL, true, 0);
        }
        if self.happens(SPONTANEOUS_CRASHES) {
            let server = self.pick(SERVERS);
            self.end(server);
        }
    }

    fn send(&mut self, fingerprint: RequestFingerprint, repeats: bool, sends: u32) {
        let entry = self.pick(self.world.entries.len());
        self.send_from(entry, fingerprint, repeats, sends);
    }

    fn send_from(
        &mut self,
        entry: usize,
        fingerprint: RequestFingerprint,
        repeats: bool,
        sends: u32,
    ) {
        let now = self.world.now;
        let member = &self.world.entries[entry].member;
        if member.quarantine_left(now, fingerprint).is_some() {
            self.counters.store_rejects += usize::from(fingerprint != FATAL);
            return;
        }
        let first = self.pick(SERVERS);
        let mut order = (first..SERVERS).chain(0..first);
        let open = order.find(|server| {
            let server = &self.servers[*server];
            server.back_at.is_none() && server.jobs.len() < SERVER_JOBS
        });
        let Some(server) = open else {
            return;
        };
        let takes = if fingerprint == FATAL {
            self.counters.fatal_sends += 1;
            let is_late = self.third_crash_at.is_some_and(|at| now > at + SPREAD_TIME);
            self.counters.late_sends += usize::from(is_late);
            FATAL_TIME
        } else {
            Duration::from_secs_f64(0.1 + 0.8 * self.draw())
        };
        self.servers[server].jobs.push(Job {
            fingerprint,
            entry,
            ends: now + takes,
            repeats,
            sends: sends + 1,
        });
    }

    fn finish(&mut self) {
        let now = self.world.now;
        for index in 0..SERVERS {
            let server = &mut self.servers[index];
            if server.back_at.is_some_and(|at| now >= at) {
                server.back_at = None;
                server.run = self.runs;
                self.runs += 1;
            }
            let (done, left): (Vec<Job>, Vec<Job>) =
                server.jobs.drain(..).partition(|job| job.ends <= now);
            server.jobs = left;
            if done.iter().any(|job| job.fingerprint == FATAL) {
                self.servers[index].jobs.extend(done);
                self.end(index);
                continue;
            }
            for job in done {
                self.answer(&job);
            }
        }
    }

    fn answer(&mut self, job: &Job) {
        self.counters.answered += 1;
        let member = &self.world.entries[job.entry].member;
        if member.has_suspects(self.world.now) && member.suspects(job.fingerprint) {
            self.world
                .deliver_event(job.entry, FleetEvent::Cleared(job.fingerprint));
        }
    }

    /// Crashes the server and resends its requests as far as allowed.
    fn end(&mut self, index: usize) {
        let now = self.world.now;
        let server = &mut self.servers[index];
        if server.back_at.is_some() {
            return;
        }
        server.back_at = Some(now + RESTART_TIME);
        let (run, jobs) = (server.run, std::mem::take(&mut server.jobs));
        self.counters.crashed += 1;
        if jobs.iter().any(|job| job.fingerprint == FATAL) {
            self.fatal_crashes.insert(run);
            if self.fatal_crashes.len() >= 3 {
                self.third_crash_at.get_or_insert(now);
            }
        }
        for job in jobs {
            let fingerprint = job.fingerprint;
            let report = CrashReport {
                run,
                print: fingerprint,
            };
            self.reports.push((now + REPORT_DELAY, job.entry, report));
            if !job.repeats || job.sends >= MAX_SENDS {
                continue;
            }
            if job.sends % 2 == 1 {
                self.send_from(job.entry, fingerprint, true, job.sends);
            } else {
                self.send(fingerprint, true, job.sends);
            }
        }
    }

    fn report(&mut self) {
        let now = self.world.now;
        let due = |(at, ..): &(Instant, usize, CrashReport)| *at <= now;
        let (ready, left) = self.reports.drain(..).partition(due);
        self.reports = left;
        for (_, entry, report) in ready {
            self.world
                .deliver_event(entry, FleetEvent::Crashed(vec![report]));
        }
    }
}

/// Under load, with spontaneous crashes and one in twenty datagrams lost, no request but the
/// fatal one may be refused. The fatal request may reach at most three servers later than three
/// seconds after it crashed the third.
#[test]
fn only_the_cause_is_refused_under_load() {
    let simulations = (0..40).map(|seed| (12, seed)).chain([(300, 40), (300, 41)]);
    for (entries, seed) in simulations {
        let counters = Simulation::new(entries, seed).run(Duration::from_secs(20));
        assert_eq!(
            counters.store_rejects, 0,
            "{entries} entries, seed {seed}: {counters:?}"
        );
        assert!(
            counters.late_sends <= LATE_SENDS,
            "{entries} entries, seed {seed}: {counters:?}"
        );
        assert!(
            counters.answered > 1500,
            "{entries} entries, seed {seed}: {counters:?}"
        );
    }
}

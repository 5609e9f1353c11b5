//! A service under load while one request ends its servers: callers whose requests are
//! caught beside it, repeats, servers that end by themselves, datagrams that are lost.

mod fleet_world;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fleet_world::{FleetWorld, ms};
use place::crash::print::RequestPrint;
use place::crash::word::CrashReport;
use place::prelude::*;
use place::rank::pair_weight;

const STEP: Duration = Duration::from_millis(10);
/// The request that ends servers, and how long it runs before.
const FATAL: RequestPrint = RequestPrint(1);
const FATAL_TIME: Duration = Duration::from_millis(80);
/// Servers of the service, and requests at each of them at most.
const SERVERS: usize = 22;
const SERVER_JOBS: usize = 6;
/// Time until a server is back, and until its end is known to the entries that had
/// requests there.
const BACK_AFTER: Duration = Duration::from_millis(2500);
const LOOK_TIME: Duration = Duration::from_millis(60);
/// Arrivals a second: of all requests, of the fatal one, and ends without a cause.
const ARRIVALS: f64 = 128.0;
const FATAL_ARRIVALS: f64 = 4.0;
const OWN_ENDS: f64 = 0.3;
/// A request is sent so often at most: twice by its entry, and by its caller once more.
const SENDS_MOST: u32 = 4;
/// The time after the third end within which all entries must know of it, and sends of the
/// fatal request allowed later.
const SPREAD_TIME: Duration = Duration::from_secs(3);
const LATE_SENDS: usize = 3;

#[derive(Clone)]
struct Job {
    print: RequestPrint,
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

/// What came of a play.
#[derive(Debug, Default)]
struct Tally {
    store_rejects: usize,
    answered: usize,
    ended: usize,
    fatal_sends: usize,
    late_sends: usize,
}

struct Play {
    world: FleetWorld,
    servers: Vec<Server>,
    seed: u64,
    drawn: u64,
    prints: u128,
    runs: u64,
    third_at: Option<Instant>,
    fatal_ends: BTreeSet<u64>,
    reports: Vec<(Instant, usize, CrashReport)>,
    tally: Tally,
}

impl Play {
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
            prints: 100,
            runs: SERVERS as u64,
            third_at: None,
            fatal_ends: BTreeSet::new(),
            reports: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// A number from 0 to 1.
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

    fn run(mut self, span: Duration) -> Tally {
        let until = self.world.now + span;
        while self.world.now < until {
            self.world.run(STEP);
            self.arrive();
            self.finish();
            self.report();
        }
        self.tally
    }

    fn arrive(&mut self) {
        for _ in 0..4 {
            if self.happens(ARRIVALS / 4.0) {
                self.prints += 1;
                let print = RequestPrint(self.prints);
                let repeats = self.draw() < 0.7;
                self.send(print, repeats, 0);
            }
        }
        if self.happens(FATAL_ARRIVALS) {
            self.send(FATAL, true, 0);
        }
        if self.happens(OWN_ENDS) {
            let server = self.pick(SERVERS);
            self.end(server);
        }
    }

    fn send(&mut self, print: RequestPrint, repeats: bool, sends: u32) {
        let entry = self.pick(self.world.entries.len());
        self.send_from(entry, print, repeats, sends);
    }

    fn send_from(&mut self, entry: usize, print: RequestPrint, repeats: bool, sends: u32) {
        let now = self.world.now;
        let member = &self.world.entries[entry].member;
        if member.quarantine_left(now, print).is_some() {
            self.tally.store_rejects += usize::from(print != FATAL);
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
        let takes = if print == FATAL {
            self.tally.fatal_sends += 1;
            let is_late = self.third_at.is_some_and(|at| now > at + SPREAD_TIME);
            self.tally.late_sends += usize::from(is_late);
            FATAL_TIME
        } else {
            Duration::from_secs_f64(0.1 + 0.8 * self.draw())
        };
        self.servers[server].jobs.push(Job {
            print,
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
            if done.iter().any(|job| job.print == FATAL) {
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
        self.tally.answered += 1;
        let member = &self.world.entries[job.entry].member;
        if member.has_suspects(self.world.now) && member.suspects(job.print) {
            self.world
                .deliver_event(job.entry, FleetEvent::Cleared(job.print));
        }
    }

    /// The server ends; what was at it is sent again where it may be.
    fn end(&mut self, index: usize) {
        let now = self.world.now;
        let server = &mut self.servers[index];
        if server.back_at.is_some() {
            return;
        }
        server.back_at = Some(now + BACK_AFTER);
        let (run, jobs) = (server.run, std::mem::take(&mut server.jobs));
        self.tally.ended += 1;
        if jobs.iter().any(|job| job.print == FATAL) {
            self.fatal_ends.insert(run);
            if self.fatal_ends.len() >= 3 {
                self.third_at.get_or_insert(now);
            }
        }
        for job in jobs {
            let print = job.print;
            let report = CrashReport { run, print };
            self.reports.push((now + LOOK_TIME, job.entry, report));
            if !job.repeats || job.sends >= SENDS_MOST {
                continue;
            }
            if job.sends % 2 == 1 {
                self.send_from(job.entry, print, true, job.sends);
            } else {
                self.send(print, true, job.sends);
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

/// Promise: under load, with servers that end by themselves and one datagram in twenty
/// lost, no caller but that of the fatal request is refused, and that one reaches at most
/// three servers later than three seconds after it ended the third.
#[test]
fn only_the_cause_is_refused_under_load() {
    let plays = (0..40).map(|seed| (12, seed)).chain([(300, 40), (300, 41)]);
    for (entries, seed) in plays {
        let tally = Play::new(entries, seed).run(Duration::from_secs(20));
        assert_eq!(
            tally.store_rejects, 0,
            "{entries} entries, seed {seed}: {tally:?}"
        );
        assert!(
            tally.late_sends <= LATE_SENDS,
            "{entries} entries, seed {seed}: {tally:?}"
        );
        assert!(
            tally.answered > 1500,
            "{entries} entries, seed {seed}: {tally:?}"
        );
    }
}

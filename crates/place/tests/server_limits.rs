//! Rate limits that servers name in their answers, in fleets of 10 to 1,000 entries.

mod common;

use std::time::{Duration, Instant};

use common::{domains, ms, placer_config, reading, request, route, server};
use place::placing::load::report_interval;
use place::prelude::*;
use place::rank::{pair_weight, stable_hash};
use place::statement::bucket::{BucketTiming, BucketUse, LimitBucket};
use place::statement::message::StatementReport;
use place::statement::{LimitStatement, SendVerdict, ServerStatement, StatementChange};

/// Window in which the requests at a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time that the entries have to come within a limit that is new to them.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after an answer from which on its entry must know of the limit.
const TELL_TIME: Duration = Duration::from_millis(500);
/// Time between a request and its answer.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// Time that a report takes to the other entries.
const REPORT_DELAY: Duration = Duration::from_millis(60);
/// One report in this many is lost.
const REPORTS_PER_LOSS: u64 = 20;
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(20);

/// A fleet of entries in front of the servers `named` (which names a limit) and, if there is
/// one, `free`.
struct Fleet {
    start: Instant,
    now: Instant,
    entries: Vec<FleetEntry>,
    route: RouteSpec,
    /// What `named` says of itself.
    limit: LimitStatement,
    reports: Vec<(Instant, usize, StatementReport)>,
    /// Times at which `named` got requests, and whether a response had named its limit to the sender.
    arrivals: Vec<(Instant, bool)>,
    placed: usize,
    refused: Vec<Refusal>,
    random: u64,
}

struct FleetEntry {
    placer: RequestPlacer,
    hash: u64,
    next_report_at: Instant,
    open: Vec<(Instant, Placement)>,
    is_running: bool,
    /// When the first answer of `named` arrived.
    told_at: Option<Instant>,
}

impl Fleet {
    fn new(count: usize, servers: &[ServerEntry], rate: f64) -> Self {
        let start = Instant::now();
        let hashes: Vec<u64> = (0..count as u64)
            .map(|index| stable_hash(&index.to_le_bytes()))
            .collect();
        let in_region = count / 2;
        let mut desired = common::desired(1, vec![route("browse", "/")]);
        desired.services[0].cold_rate = 1e6;
        let entries = hashes.iter().enumerate().map(|(index, hash)| {
            let (domain, region) = if index < in_region {
                ("a1", "a")
            } else {
                ("b1", "b")
            };
            let mut placer = RequestPlacer::new(PlacerConfig {
                domain: domain.to_owned(),
                region: region.to_owned(),
                domains: domains(),
                own: *hash,
                shift_cap: 1.0,
                ..placer_config()
            });
            placer.set_desired(&desired);
            let others = hashes.iter().copied().filter(|other| other != hash);
            placer.set_entries(others.collect(), in_region - 1);
            placer
                .catalog
                .apply_snapshot(start, &reading(start, servers));
            FleetEntry {
                placer,
                hash: *hash,
                next_report_at: start + ms(hash % 80),
                open: Vec::new(),
                is_running: true,
                told_at: None,
            }
        });
        Self {
            start,
            now: start,
            entries: entries.collect(),
            route: route("browse", "/"),
            limit: LimitStatement::Limited(rate),
            reports: Vec::new(),
            arrivals: Vec::new(),
            placed: 0,
            refused: Vec::new(),
            random: 1,
        }
    }

    fn interval(&self) -> Duration {
        let count = self.entries.len() as u32;
        report_interval(count / 2 - 1, count / 2)
    }

    /// Runs for `time` with `rate` requests per second at each entry.
    fn run(&mut self, time: Duration, rate: f64) {
        let ends = self.now + time;
        while self.now < ends {
            self.now += STEP;
            self.deliver();
            for index in 0..self.entries.len() {
                if self.entries[index].is_running {
                    self.step(index, rate);
                }
            }
        }
    }

    fn step(&mut self, index: usize, rate: f64) {
        self.answer(index);
        if self.random() < rate * STEP.as_secs_f64() {
            self.place(index);
        }
        let now = self.now;
        let interval = self.interval();
        let entry = &mut self.entries[index];
        let report = if now >= entry.next_report_at {
            entry.next_report_at = now + interval;
            entry.placer.own_statements(now)
        } else {
            entry.placer.urgent_statements(now)
        };
        if !report.is_empty() {
            self.reports.push((now + REPORT_DELAY, index, report));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.reports = later;
        let due: Vec<(Instant, usize, StatementReport)> = due;
        for (_, from, report) in due {
            let hash = self.entries[from].hash;
            for (index, entry) in self.entries.iter_mut().enumerate() {
                let draw = pair_weight(self.random ^ hash, index as u64);
                if index != from && !draw.is_multiple_of(REPORTS_PER_LOSS) {
                    entry.placer.on_peer_statements(now, hash, &report);
                }
            }
        }
    }

    fn place(&mut self, index: usize) {
        let object = (self.random() * 1e6) as u64;
        let wanted = request(&self.route, Some(object));
        let entry = &mut self.entries[index];
        match entry.placer.place(self.now, &wanted) {
            Ok(mut placement) => {
                assert!(entry.placer.may_send(self.now, &mut placement));
                if placement.id == "named" {
                    let told_at = entry.told_at;
                    let knows_limit = told_at.is_some_and(|at| self.now >= at + TELL_TIME);
                    self.arrivals.push((self.now, knows_limit));
                }
                self.placed += 1;
                entry.open.push((self.now + ANSWER_TIME, placement));
            }
            Err(refusal) => self.refused.push(refusal),
        }
    }

    fn answer(&mut self, index: usize) {
        let (now, entry) = (self.now, &mut self.entries[index]);
        while entry.open.first().is_some_and(|(at, _)| *at <= now) {
            let (_, placement) = entry.open.remove(0);
            let limit = if placement.id == "named" {
                entry.told_at.get_or_insert(now);
                self.limit
            } else {
                LimitStatement::Unlimited
            };
            let statement = ServerStatement {
                limit,
                ..ServerStatement::default()
            };
            entry.placer.on_statement(now, &placement, &statement);
            let wanted = request(&self.route, None);
            let good = ServerOutcome::Answered { good: true };
            entry
                .placer
                .on_outcome(now, &placement, &wanted, good, None);
        }
    }

    /// Draws a number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random = pair_weight(self.random, 0x5eed).wrapping_add(1);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Most requests at the limited server in a window that begins at `from` or later, from
    /// entries that know its limit.
    fn most_in_window(&self, from: Instant) -> usize {
        let informed = self.arrivals.iter().filter(|(_, knows_limit)| *knows_limit);
        most_in_window(informed.map(|(at, _)| *at).filter(|at| *at >= from))
    }

    /// The same for requests from all entries.
    fn most_of_all_in_window(&self, from: Instant) -> usize {
        let times = self.arrivals.iter().map(|(at, _)| *at);
        most_in_window(times.filter(|at| *at >= from))
    }

    fn arrivals_since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from).count()
    }
}

fn most_in_window(times: impl Iterator<Item = Instant>) -> usize {
    let times: Vec<Instant> = times.collect();
    let counts = times.iter().map(|begin| {
        let until = *begin + WINDOW;
        times
            .iter()
            .filter(|at| (*begin..until).contains(at))
            .count()
    });
    counts.max().unwrap_or_default()
}

/// Most requests within the window that a server with the limit `rate` tolerates.
fn tolerated(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

fn named() -> ServerEntry {
    ServerEntry {
        slots: 400,
        ..server("named", "a1")
    }
}

fn free() -> ServerEntry {
    ServerEntry {
        slots: 100_000,
        ..server("free", "a1")
    }
}

/// The only server names a limit. All entries together stay within it, and use most of it, with
/// few requests for each of them and with many.
fn assert_limit_holds_and_is_used(count: usize, rate: f64, demand: f64) {
    let counted = Duration::from_secs(20);
    let mut fleet = Fleet::new(count, &[named()], rate);
    let (settled, interval) = (fleet.start + SETTLE_TIME, fleet.interval());
    let demand = demand / count as f64;
    fleet.run(SETTLE_TIME.max(interval * 6), demand);
    let counted_from = fleet.now;
    fleet.run(counted, demand);
    let what = format!("{count} entries, limit {rate}, {demand} requests/s each");
    let most = fleet.most_in_window(settled);
    assert!(most <= tolerated(rate), "{what}: {most} in a window");
    let most = fleet.most_of_all_in_window(counted_from);
    assert!(most <= tolerated(rate), "{what}: {most} of all in a window");
    let used = fleet.arrivals_since(counted_from) as f64;
    let room = rate * counted.as_secs_f64();
    assert!(used >= 0.8 * room, "{what}: {used} of {room} used");
    let limited = |refusal: &&Refusal| refusal.reason == RefusalReason::Limited;
    assert!(fleet.refused.iter().filter(limited).count() > 0, "{what}");
}

#[test]
fn limit_of_the_only_server_holds_and_is_used_over_10_entries() {
    for rate in [0.4, 2.0, 20.0] {
        assert_limit_holds_and_is_used(2, rate, 100.0);
        assert_limit_holds_and_is_used(10, rate, 100.0);
        assert_limit_holds_and_is_used(10, rate, 500.0);
    }
}

#[test]
fn limit_of_the_only_server_holds_and_is_used_over_100_entries() {
    for rate in [0.4, 2.0, 20.0] {
        assert_limit_holds_and_is_used(100, rate, 100.0);
        assert_limit_holds_and_is_used(100, rate, 500.0);
    }
}

#[test]
fn limit_of_the_only_server_holds_and_is_used_over_1000_entries() {
    assert_limit_holds_and_is_used(1000, 2.0, 100.0);
    assert_limit_holds_and_is_used(1000, 2.0, 500.0);
}

/// A server without a limit beside the limited one takes what that one may not get.
#[test]
fn no_request_is_refused_beside_a_server_without_a_limit() {
    for count in [10, 100, 1000] {
        let demand = 200.0 / count as f64;
        let mut fleet = Fleet::new(count, &[named(), free()], 2.0);
        fleet.run(SETTLE_TIME + WINDOW * 3, demand);
        let most = fleet.most_in_window(fleet.start + SETTLE_TIME);
        assert!(
            most <= tolerated(2.0),
            "{count} entries: {most} in a window"
        );
        assert_eq!(fleet.refused, [], "{count} entries");
        assert!(fleet.placed > 2000);
    }
}

/// Entries that could not use the server learn from the others that its limit was raised, or
/// has ended.
#[test]
fn all_entries_learn_that_a_limit_was_raised_or_has_ended() {
    for count in [2, 10, 100, 1000] {
        let mut fleet = Fleet::new(count, &[named()], 2.0);
        let demand = 30.0 / count as f64;
        let learn_time = Duration::from_secs(2) + fleet.interval() * 4;
        fleet.run(Duration::from_secs(5) + fleet.interval() * 4, demand);
        for limit in [LimitStatement::Limited(8.0), LimitStatement::Unlimited] {
            fleet.limit = limit;
            fleet.run(learn_time, demand);
            let run = stable_hash(b"named");
            let expected = match limit {
                LimitStatement::Limited(rate) => Some(rate),
                _ => None,
            };
            for entry in &fleet.entries {
                assert_eq!(
                    entry.placer.statements().limit(run),
                    expected,
                    "{count} entries"
                );
            }
        }
    }
}

/// A lone entry with all the callers gets the whole limit, though many others know of it.
#[test]
fn limit_is_used_by_the_entries_that_have_requests() {
    let mut fleet = Fleet::new(10, &[named()], 2.0);
    fleet.run(Duration::from_secs(6), 3.0);
    for entry in &mut fleet.entries[1..] {
        entry.is_running = false;
    }
    fleet.run(Duration::from_secs(4), 10.0);
    let from = fleet.now;
    fleet.run(Duration::from_secs(10), 10.0);
    let used = fleet.arrivals_since(from);
    assert!((14..=23).contains(&used), "{used} of 20");
}

/// An entry that the others don't count, and so don't tell of their requests, uses no limited
/// server.
#[test]
fn standby_uses_no_limited_server() {
    let mut fleet = Fleet::new(10, &[named()], 2.0);
    fleet.run(Duration::from_secs(6), 3.0);
    let entry = &mut fleet.entries[0].placer;
    entry.set_standby(true);
    let run = stable_hash(b"named");
    for step in 0..500 {
        let at = fleet.now + ms(20 * step);
        let verdict = entry.statements().verdict(at, run);
        assert!(matches!(verdict, SendVerdict::NoRoom(_)));
    }
}

/// A statement belongs to the run: it stands when the row lapses and is listed again, and
/// says nothing about a later run under the same id.
#[test]
fn limit_outlives_the_row_of_its_run() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let row = ServerEntry {
        started: Some(1),
        ..named()
    };
    let mut placer = common::placer(now, std::slice::from_ref(&row));
    let placement = placer.place(now, &wanted).unwrap();
    let statement = ServerStatement {
        limit: LimitStatement::Limited(1.0),
        ..ServerStatement::default()
    };
    let change = placer.on_statement(now, &placement, &statement);
    assert_eq!(change, [StatementChange::Limited(1.0)]);
    assert_eq!(placer.on_statement(now, &placement, &statement), []);
    let at = now + Duration::from_secs(30);
    placer.catalog.apply_snapshot(at, &reading(at, &[]));
    let later = at + Duration::from_secs(30);
    let again = ServerEntry {
        seq: 2,
        ..row.clone()
    };
    placer
        .catalog
        .apply_snapshot(later, &reading(later, &[again]));
    assert!(placer.place(later, &wanted).unwrap().takes_room);
    let refusal = placer.place(later, &wanted).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Limited);
    let successor = ServerEntry {
        started: Some(2),
        seq: 3,
        ..row
    };
    let last = later + ms(100);
    placer
        .catalog
        .apply_snapshot(last, &reading(last, &[successor]));
    assert!(!placer.place(last, &wanted).unwrap().takes_room);
}

/// A request that was placed before the limit became known is not sent when its connection is
/// open at last.
#[test]
fn limit_that_becomes_known_during_connect_holds_the_request() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let mut placer = common::placer(now, &[named()]);
    let first = placer.place(now, &wanted).unwrap();
    let mut second = placer.place(now, &wanted).unwrap();
    assert!(placer.may_send(now, &mut second.clone()));
    let statement = ServerStatement {
        limit: LimitStatement::Limited(1.0),
        ..ServerStatement::default()
    };
    placer.on_statement(now, &first, &statement);
    assert!(!placer.may_send(now, &mut second));
}

/// A server that is cold and names a limit stays within both.
#[test]
fn limit_and_cold_rate_both_hold() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let row = ServerEntry {
        cold_remaining: Duration::from_secs(60),
        ..named()
    };
    let mut placer = common::placer(now, &[row]);
    let first = placer.place(now, &wanted).unwrap();
    let statement = ServerStatement {
        limit: LimitStatement::Limited(50.0),
        ..ServerStatement::default()
    };
    placer.on_statement(now, &first, &statement);
    let mut sent = 0;
    for step in 0..400u64 {
        let at = now + ms(20 * step);
        if step % 4 == 0 {
            placer.own_statements(at);
        }
        sent += usize::from(placer.place(at, &wanted).is_ok());
    }
    assert!(
        (5..=8).contains(&sent),
        "{sent} in 8 s, one in 1.15 s is allowed"
    );
}

/// Refusals say when there is room, spread over callers.
#[test]
fn refusals_of_limited_requests_carry_the_time_until_there_is_room() {
    let mut fleet = Fleet::new(2, &[named()], 0.2);
    fleet.run(Duration::from_secs(20), 5.0);
    let late = &fleet.refused[fleet.refused.len() / 2..];
    let longest = late.iter().map(|refusal| refusal.retry_after).max();
    assert!(longest > Some(Duration::from_secs(2)), "{longest:?}");
    assert!(longest < Some(Duration::from_secs(25)), "{longest:?}");
}

/// Reports are sent in a few bytes, and only while there is something to say.
#[test]
fn entries_without_limited_servers_report_nothing() {
    let mut fleet = Fleet::new(10, &[named()], 2.0);
    fleet.limit = LimitStatement::Unlimited;
    fleet.run(Duration::from_secs(3), 5.0);
    let now = fleet.now;
    for entry in &mut fleet.entries {
        assert_eq!(entry.placer.own_statements(now), StatementReport::default());
    }
}

/// Sums of reported demands are floating-point numbers: rounding must not make the wait
/// negative, and a report of any count must not close the server for long.
#[test]
fn reports_of_any_demand_and_count_leave_room() {
    let now = Instant::now();
    let timing = BucketTiming::new(3, ms(100));
    let mut bucket = LimitBucket::new(now, 1, 2, 2.0);
    for step in 0..2000u64 {
        for peer in 0..7 {
            let demand = ((step * 7 + peer) % 1001) as f64 / 1000.0;
            let sent = if step == 1500 { u32::MAX } else { 0 };
            bucket.on_peer_use(now + ms(step), peer, BucketUse { sent, demand });
        }
        bucket.wait(now + ms(step), &timing);
    }
    for peer in 0..7 {
        let last = BucketUse::default();
        bucket.on_peer_use(now + ms(2000), peer, last);
    }
    let wait = bucket.wait(now + ms(22_000), &timing);
    assert_eq!(wait, None, "room after 20 s");
}

/// Entries that stop, are replaced by new ones that know nothing, or return after a freeze, with
/// lists that change at different times, stay within the limit together.
#[test]
fn limit_holds_while_entries_come_and_go() {
    const COUNT: usize = 12;
    let mut fleet = Fleet::new(COUNT, &[named()], 2.0);
    fleet.run(Duration::from_secs(6), 5.0);
    let counted_from = fleet.now;
    for step in 0..10 {
        let (first, second) = (step % COUNT, (step + 5) % COUNT);
        fleet.entries[first].is_running = false;
        fleet.entries[second].is_running = false;
        fleet.run(ms(1500), 5.0);
        // The first is replaced; the second was frozen.
        let replacement = Fleet::new(COUNT, &[named()], 2.0)
            .entries
            .swap_remove(first);
        fleet.entries[first] = replacement;
        fleet.entries[second].is_running = true;
        let shorter: Vec<u64> = fleet
            .entries
            .iter()
            .map(|entry| entry.hash)
            .take(9)
            .collect();
        let others = shorter
            .into_iter()
            .filter(|hash| *hash != fleet.entries[3].hash);
        let others: Vec<u64> = others.collect();
        fleet.entries[3].placer.set_entries(others, 5);
        fleet.run(ms(1500), 5.0);
    }
    let most = fleet.most_in_window(counted_from);
    assert!(most <= tolerated(2.0), "{most} in a window");
    let room = 2.0 * (fleet.now - counted_from).as_secs_f64();
    let used = fleet.arrivals_since(counted_from) as f64;
    assert!(used >= 0.8 * room, "{used} of {room} used");
}

/// A periodic report goes to some entries only. All others must still be told at once of a
/// request that was sent before it.
#[test]
fn periodic_report_does_not_replace_the_urgent_one() {
    let now = Instant::now();
    let browse = route("browse", "/");
    let mut placer = common::placer(now, &[named()]);
    let first = placer.place(now, &request(&browse, Some(7))).unwrap();
    let statement = ServerStatement {
        limit: LimitStatement::Limited(1.0),
        ..ServerStatement::default()
    };
    placer.on_statement(now, &first, &statement);
    let at = now + ms(1500);
    placer.place(at, &request(&browse, Some(7))).unwrap();
    placer.own_statements(at);
    assert_eq!(placer.urgent_statements(at).limits.len(), 1);
    assert_eq!(placer.urgent_statements(at), StatementReport::default());
}

//! Requests that end servers: which is the cause, who hears of it, and what it costs.

mod fleet_world;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fleet_world::{FleetWorld, ms};
use place::crash::ledger::CrashLedger;
use place::crash::outbox::CrashOutbox;
use place::crash::print::RequestPrint;
use place::crash::quarantine::QuarantineBook;
use place::crash::word::{CrashReport, PrintStatus};
use place::prelude::*;
use proptest::prelude::*;

const FATAL: RequestPrint = RequestPrint(1);

fn report(run: u64, print: RequestPrint) -> CrashReport {
    CrashReport { run, print }
}

/// A fleet of `count` that has run for a while.
fn settled(count: usize) -> FleetWorld {
    let mut world = FleetWorld::new(count);
    world.run(ms(8000));
    world
}

/// Lets the request end a server for each of `entries`.
fn crash(world: &mut FleetWorld, entries: &[usize], first_run: u64) {
    for (run, entry) in (first_run..).zip(entries) {
        world.deliver_event(*entry, FleetEvent::Crashed(vec![report(run, FATAL)]));
    }
}

fn refusing(world: &FleetWorld) -> usize {
    let now = world.now;
    let entries = world.entries.iter().filter(|entry| entry.alive);
    entries
        .filter(|entry| entry.member.quarantine_left(now, FATAL).is_some())
        .count()
}

/// Promise: a request that ended three servers, each seen by another entry of another
/// region, is refused by all entries within 1.5 s, whatever their number.
#[test]
fn what_each_entry_saw_once_all_know_soon() {
    for count in [12, 300, 1000] {
        let mut world = settled(count);
        crash(&mut world, &[0, 4, 11], 100);
        world.run(ms(1500));
        assert_eq!(refusing(&world), count);
    }
}

/// Promise: what an entry that doesn't lead sends and hears for it doesn't grow with the
/// fleet.
#[test]
fn it_costs_the_same_in_a_large_fleet() {
    let mut heard = Vec::new();
    for count in [100, 1000] {
        let mut world = settled(count);
        let follower = (0..count).find(|entry| !world.entries[*entry].member.leads());
        let follower = follower.unwrap();
        assert_eq!(world.entries[follower].crash_datagrams, 0);
        crash(&mut world, &[0, 4, 11], 100);
        world.run(ms(10_000));
        heard.push(world.entries[follower].crash_datagrams);
    }
    // Both leads tell their statuses with each beat.
    assert!(heard.iter().all(|datagrams| *datagrams <= 40), "{heard:?}");
    assert!(heard[0].abs_diff(heard[1]) <= 4, "{heard:?}");
}

/// Promise: a quarantine outlives the leads that found the cause.
#[test]
fn a_quarantine_outlives_the_leads() {
    let mut world = settled(60);
    crash(&mut world, &[0, 4, 11], 100);
    world.run(ms(1500));
    let leads: Vec<usize> = (0..60)
        .filter(|entry| world.entries[*entry].member.leads())
        .collect();
    for lead in &leads {
        world.kill(*lead);
    }
    world.run(ms(10_000));
    assert_eq!(refusing(&world), 60 - leads.len());
    for lead in &leads {
        world.restart(*lead);
    }
    world.run(ms(3000));
    assert_eq!(refusing(&world), 60);
}

/// Promise: a quarantine outlives a loss of all entries, at one row in the store.
#[test]
fn a_quarantine_outlives_all_entries() {
    let mut world = settled(60);
    crash(&mut world, &[0, 4, 11], 100);
    world.run(ms(1500));
    assert_eq!(world.quarantine_rows.len(), 1);
    for entry in 0..60 {
        world.kill(entry);
    }
    for entry in 0..60 {
        world.restart(entry);
    }
    // Before they count as settled.
    world.run(ms(3000));
    assert_eq!(refusing(&world), 60);
}

/// Promise: what is cleared leaves the store as well, also where it was away meanwhile.
#[test]
fn a_cleared_request_leaves_the_store() {
    let mut world = settled(60);
    crash(&mut world, &[0, 4, 11], 100);
    world.run(ms(1500));
    world.store_down = true;
    world.deliver_event(20, FleetEvent::Cleared(FATAL));
    world.run(ms(2000));
    assert_eq!(world.quarantine_rows.len(), 1);
    world.store_down = false;
    world.run(ms(20_000));
    assert_eq!(world.quarantine_rows.len(), 0);
    assert_eq!(refusing(&world), 0);
}

/// Promise: a good answer anywhere lifts what all entries hold of a request.
#[test]
fn a_good_answer_clears_a_request_everywhere() {
    let mut world = settled(60);
    crash(&mut world, &[0, 4, 11], 100);
    world.run(ms(1500));
    assert_eq!(refusing(&world), 60);
    world.deliver_event(20, FleetEvent::Cleared(FATAL));
    world.run(ms(1500));
    assert_eq!(refusing(&world), 0);
    world.run(ms(10_000));
    assert_eq!(refusing(&world), 0);
}

/// Promise: an operator lifts a quarantine by a row, everywhere, and the row goes.
#[test]
fn an_operator_lifts_a_quarantine() {
    let mut world = settled(60);
    crash(&mut world, &[0, 4, 11], 100);
    world.run(ms(1500));
    world.quarantine_rows.insert(FATAL, (world.now, true));
    world.run(ms(16_000));
    assert_eq!(refusing(&world), 0);
    assert_eq!(world.quarantine_rows.len(), 0);
    world.run(ms(16_000));
    assert_eq!(refusing(&world), 0);
}

/// Promise: once a request is cleared nobody speaks of it for long.
#[test]
fn a_cleared_request_is_soon_forgotten() {
    let mut world = settled(60);
    crash(&mut world, &[0, 4, 11], 100);
    world.run(ms(1500));
    world.deliver_event(20, FleetEvent::Cleared(FATAL));
    world.run(ms(5000));
    let told = |world: &FleetWorld| -> u64 {
        world
            .entries
            .iter()
            .map(|entry| entry.crash_datagrams)
            .sum()
    };
    let before = told(&world);
    world.run(ms(5000));
    assert_eq!(told(&world), before);
}

/// Promise: two ends are not enough, and one server that several entries saw is one end.
#[test]
fn two_ends_may_be_chance() {
    let mut world = settled(60);
    for entry in [0, 4, 11, 20] {
        crash(&mut world, &[entry, entry + 1], 100);
    }
    world.run(ms(5000));
    assert_eq!(refusing(&world), 0);
}

/// Promise: after a quarantine one further end is enough for the next, and without one a
/// request is served.
#[test]
fn a_quarantine_ends_and_returns() {
    let (mut ledger, mut book) = (CrashLedger::default(), QuarantineBook::default());
    let mut now = Instant::now();
    for run in 0..3 {
        ledger.on_report(now, report(run, FATAL));
    }
    ledger.review(now, &mut book);
    let left = book.quarantine_left(now, FATAL).unwrap();
    now += left + ms(1);
    book.forget(now);
    ledger.on_report(now, report(50, RequestPrint(7)));
    ledger.review(now, &mut book);
    assert_eq!(book.quarantine_left(now, FATAL), None);
    now += ms(1);
    ledger.on_report(now, report(51, FATAL));
    ledger.review(now, &mut book);
    assert!(book.quarantine_left(now, FATAL).is_some());
}

/// Promise: requests that never part are both refused in the end, not served for good.
#[test]
fn inseparable_requests_are_found_out() {
    let (mut ledger, mut book) = (CrashLedger::default(), QuarantineBook::default());
    let now = Instant::now();
    for run in 0..5 {
        ledger.on_report(now, report(run, FATAL));
        ledger.on_report(now, report(run, RequestPrint(2)));
    }
    ledger.review(now, &mut book);
    assert_eq!(book.quarantined().count(), 2);
}

/// Promise: a request is cleared however many others were before.
#[test]
fn one_among_many_is_cleared() {
    let mut book = QuarantineBook::default();
    let now = Instant::now();
    for print in 100..1000 {
        book.clear(RequestPrint(print), now);
    }
    book.raise(FATAL, PrintStatus::Quarantined, now);
    assert!(book.clear(FATAL, now + ms(1)));
    assert_eq!(book.quarantined().count(), 0);
    assert!(!book.raise(FATAL, PrintStatus::Quarantined, now));
}

/// Promise: what is cleared is told also where many reports wait.
#[test]
fn a_clearing_is_told_among_many_reports() {
    let mut outbox = CrashOutbox::default();
    let now = Instant::now();
    for print in 100..1000 {
        outbox.on_report(now, report(1, RequestPrint(print)));
    }
    outbox.on_cleared(now, FATAL, true);
    let word = outbox.take(now + ms(1));
    assert_eq!(word.cleared.len(), 1);
    assert_eq!(word.cleared[0].print, FATAL);
}

/// Promise: a request that was caught often beside the cause is not taken for it.
#[test]
fn a_constant_companion_is_not_refused() {
    let (mut ledger, mut book) = (CrashLedger::default(), QuarantineBook::default());
    let now = Instant::now();
    for run in 0..8 {
        ledger.on_report(now, report(run, FATAL));
        if run < 6 {
            ledger.on_report(now, report(run, RequestPrint(2)));
        }
    }
    ledger.review(now, &mut book);
    assert_eq!(book.quarantined().collect::<Vec<_>>(), [FATAL]);
}

/// Promise: where servers end whatever they run, few callers are refused for it.
#[test]
fn a_service_that_ends_by_itself_refuses_few() {
    let (mut ledger, mut book) = (CrashLedger::default(), QuarantineBook::default());
    let now = Instant::now();
    for run in 0..400 {
        ledger.on_report(now, report(run, RequestPrint(u128::from(run % 50))));
        ledger.review(now, &mut book);
    }
    assert!(book.quarantined().count() <= 8);
}

/// One server's end: which of the bystanders were there, and whether the request was.
fn ends() -> impl Strategy<Value = Vec<(BTreeSet<u128>, bool)>> {
    let bystanders = proptest::collection::btree_set(2_u128..40, 0..6);
    proptest::collection::vec((bystanders, proptest::bool::weighted(0.8)), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// Promise: bystanders, which other servers answer, are never refused, though servers
    /// end by themselves as well; the cause is refused once it ended enough servers.
    #[test]
    fn bystanders_are_never_refused(ends in ends()) {
        let (mut ledger, mut book) = (CrashLedger::default(), QuarantineBook::default());
        let mut now = Instant::now();
        let mut fatal_ends = 0;
        for (run, (bystanders, is_fatal)) in ends.into_iter().enumerate() {
            let run = run as u64;
            for print in &bystanders {
                ledger.on_report(now, report(run, RequestPrint(*print)));
            }
            if is_fatal {
                ledger.on_report(now, report(run, FATAL));
                fatal_ends += 1;
            }
            let news = ledger.review(now, &mut book);
            let store_rejects = |print: &RequestPrint| {
                news.contains(&(*print, PrintStatus::Quarantined)) && *print != FATAL
            };
            prop_assert!(!bystanders.iter().any(|print| store_rejects(&RequestPrint(*print))));
            // They run again on another server, and are answered.
            now += ms(200);
            for print in &bystanders {
                ledger.clear(RequestPrint(*print));
                book.clear(RequestPrint(*print), now);
            }
            now += Duration::from_millis(50);
            if book.quarantine_left(now, FATAL).is_some() {
                break;
            }
        }
        prop_assert!(fatal_ends <= 3);
        prop_assert_eq!(book.quarantine_left(now, FATAL).is_some(), fatal_ends == 3);
    }
}

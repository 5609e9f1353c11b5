//! Tests of the detection of requests that crash servers: finding the cause, propagating it,
//! and the traffic for it.

mod fleet_world;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fleet_world::{FleetWorld, ms};
use place::crash::fingerprint::RequestFingerprint;
use place::crash::ledger::CrashLedger;
use place::crash::message::{CrashReport, RequestStatus};
use place::crash::outbox::CrashOutbox;
use place::crash::quarantine::QuarantineTable;
use place::prelude::*;
use proptest::prelude::*;

const FATAL: RequestFingerprint = RequestFingerprint(1);

fn report(run: u64, fingerprint: RequestFingerprint) -> CrashReport {
    CrashReport {
        run,
        print: fingerprint,
    }
}

/// A fleet of `count` entries that has run for a while.
fn settled(count: usize) -> FleetWorld {
    let mut world = FleetWorld::new(count);
    world.run(ms(8000));
    world
}

/// Lets the request crash a different server for each of `entries`.
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

/// A request that crashed three servers, each seen by an entry of a different region, must be
/// refused by all entries within 1.5 s at any fleet size.
#[test]
fn request_that_crashed_three_servers_is_refused_everywhere() {
    for count in [12, 300, 1000] {
        let mut world = settled(count);
        crash(&mut world, &[0, 4, 11], 100);
        world.run(ms(1500));
        assert_eq!(refusing(&world), count);
    }
}

/// The datagrams of an entry that doesn't lead must not increase with the fleet size.
#[test]
fn datagrams_do_not_grow_with_fleet_size() {
    let mut datagrams_per_size = Vec::new();
    for count in [100, 1000] {
        let mut world = settled(count);
        let follower = (0..count).find(|entry| !world.entries[*entry].member.leads());
        let follower = follower.unwrap();
        assert_eq!(world.entries[follower].crash_datagrams, 0);
        crash(&mut world, &[0, 4, 11], 100);
        world.run(ms(10_000));
        datagrams_per_size.push(world.entries[follower].crash_datagrams);
    }
    // Both leads send their statuses with each heartbeat.
    assert!(
        datagrams_per_size.iter().all(|datagrams| *datagrams <= 40),
        "{datagrams_per_size:?}"
    );
    assert!(
        datagrams_per_size[0].abs_diff(datagrams_per_size[1]) <= 4,
        "{datagrams_per_size:?}"
    );
}

/// A quarantine must survive the leads that detected the cause.
#[test]
fn quarantine_survives_loss_of_leads() {
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

/// A quarantine must survive the loss of all entries, with a single row in the store.
#[test]
fn quarantine_survives_loss_of_all_entries() {
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
    // Before the entries count as settled.
    world.run(ms(3000));
    assert_eq!(refusing(&world), 60);
}

/// A cleared request must be removed from the store, even if the store was down at that time.
#[test]
fn cleared_request_is_removed_from_store() {
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

/// A successful answer at any entry must clear the request at all entries.
#[test]
fn successful_answer_clears_request_everywhere() {
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

/// An operator must be able to lift a quarantine everywhere by changing its row, which is then
/// removed.
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

/// Messages about a cleared request must stop soon.
#[test]
fn messages_about_cleared_request_stop() {
    let mut world = settled(60);
    crash(&mut world, &[0, 4, 11], 100);
    world.run(ms(1500));
    world.deliver_event(20, FleetEvent::Cleared(FATAL));
    world.run(ms(5000));
    let datagrams_sent = |world: &FleetWorld| -> u64 {
        world
            .entries
            .iter()
            .map(|entry| entry.crash_datagrams)
            .sum()
    };
    let before = datagrams_sent(&world);
    world.run(ms(5000));
    assert_eq!(datagrams_sent(&world), before);
}

/// Two crashes must not be enough for a quarantine. A crash seen by several entries counts
/// once.
#[test]
fn two_crashes_do_not_quarantine() {
    let mut world = settled(60);
    for entry in [0, 4, 11, 20] {
        crash(&mut world, &[entry, entry + 1], 100);
    }
    world.run(ms(5000));
    assert_eq!(refusing(&world), 0);
}

/// After a quarantine, one further crash must be enough for the next one; without a crash the
/// request must be served.
#[test]
fn one_crash_after_quarantine_renews_it() {
    let (mut ledger, mut statuses) = (CrashLedger::default(), QuarantineTable::default());
    let mut now = Instant::now();
    for run in 0..3 {
        ledger.on_report(now, report(run, FATAL));
    }
    ledger.review(now, &mut statuses);
    let left = statuses.quarantine_left(now, FATAL).unwrap();
    now += left + ms(1);
    statuses.drop_expired(now);
    ledger.on_report(now, report(50, RequestFingerprint(7)));
    ledger.review(now, &mut statuses);
    assert_eq!(statuses.quarantine_left(now, FATAL), None);
    now += ms(1);
    ledger.on_report(now, report(51, FATAL));
    ledger.review(now, &mut statuses);
    assert!(statuses.quarantine_left(now, FATAL).is_some());
}

/// Requests that always occur together must both be quarantined eventually.
#[test]
fn inseparable_requests_are_quarantined() {
    let (mut ledger, mut statuses) = (CrashLedger::default(), QuarantineTable::default());
    let now = Instant::now();
    for run in 0..5 {
        ledger.on_report(now, report(run, FATAL));
        ledger.on_report(now, report(run, RequestFingerprint(2)));
    }
    ledger.review(now, &mut statuses);
    assert_eq!(statuses.quarantined().count(), 2);
}

/// A request must be clearable after any number of other clearings.
#[test]
fn request_is_cleared_after_many_others() {
    let mut statuses = QuarantineTable::default();
    let now = Instant::now();
    for fingerprint in 100..1000 {
        statuses.clear(RequestFingerprint(fingerprint), now);
    }
    statuses.raise(FATAL, RequestStatus::Quarantined, now);
    assert!(statuses.clear(FATAL, now + ms(1)));
    assert_eq!(statuses.quarantined().count(), 0);
    assert!(!statuses.raise(FATAL, RequestStatus::Quarantined, now));
}

/// A clearing must be sent even if the queue is full of reports.
#[test]
fn clearing_is_sent_despite_full_queue() {
    let mut outbox = CrashOutbox::default();
    let now = Instant::now();
    for fingerprint in 100..1000 {
        outbox.on_report(now, report(1, RequestFingerprint(fingerprint)));
    }
    outbox.on_cleared(now, FATAL, true);
    let message = outbox.take_due(now + ms(1));
    assert_eq!(message.cleared.len(), 1);
    assert_eq!(message.cleared[0].print, FATAL);
}

/// A request that is often in flight beside the cause must not be mistaken for it.
#[test]
fn frequent_bystander_is_not_refused() {
    let (mut ledger, mut statuses) = (CrashLedger::default(), QuarantineTable::default());
    let now = Instant::now();
    for run in 0..8 {
        ledger.on_report(now, report(run, FATAL));
        if run < 6 {
            ledger.on_report(now, report(run, RequestFingerprint(2)));
        }
    }
    ledger.review(now, &mut statuses);
    assert_eq!(statuses.quarantined().collect::<Vec<_>>(), [FATAL]);
}

/// If servers crash regardless of what they run, only a few requests may be refused for it.
#[test]
fn unrelated_crashes_refuse_few_requests() {
    let (mut ledger, mut statuses) = (CrashLedger::default(), QuarantineTable::default());
    let now = Instant::now();
    for run in 0..400 {
        ledger.on_report(now, report(run, RequestFingerprint(u128::from(run % 50))));
        ledger.review(now, &mut statuses);
    }
    assert!(statuses.quarantined().count() <= 8);
}

/// A crash: the bystanders that were in flight, and whether the fatal request was.
fn crashes() -> impl Strategy<Value = Vec<(BTreeSet<u128>, bool)>> {
    let bystanders = proptest::collection::btree_set(2_u128..40, 0..6);
    proptest::collection::vec((bystanders, proptest::bool::weighted(0.8)), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// Bystanders, which other servers answer, must never be quarantined, although servers also
    /// crash by themselves. The cause must be quarantined once it has crashed enough servers.
    #[test]
    fn bystanders_are_never_refused(crashes in crashes()) {
        let (mut ledger, mut statuses) = (CrashLedger::default(), QuarantineTable::default());
        let mut now = Instant::now();
        let mut fatal_crashes = 0;
        for (run, (bystanders, is_fatal)) in crashes.into_iter().enumerate() {
            let run = run as u64;
            for fingerprint in &bystanders {
                ledger.on_report(now, report(run, RequestFingerprint(*fingerprint)));
            }
            if is_fatal {
                ledger.on_report(now, report(run, FATAL));
                fatal_crashes += 1;
            }
            let raised = ledger.review(now, &mut statuses);
            let store_rejects = |fingerprint: &RequestFingerprint| {
                raised.contains(&(*fingerprint, RequestStatus::Quarantined)) && *fingerprint != FATAL
            };
            prop_assert!(!bystanders.iter().any(|fingerprint| store_rejects(&RequestFingerprint(*fingerprint))));
            // The bystanders run again on another server, which answers them.
            now += ms(200);
            for fingerprint in &bystanders {
                ledger.clear(RequestFingerprint(*fingerprint));
                statuses.clear(RequestFingerprint(*fingerprint), now);
            }
            now += Duration::from_millis(50);
            if statuses.quarantine_left(now, FATAL).is_some() {
                break;
            }
        }
        prop_assert!(fatal_crashes <= 3);
        prop_assert_eq!(statuses.quarantine_left(now, FATAL).is_some(), fatal_crashes == 3);
    }
}

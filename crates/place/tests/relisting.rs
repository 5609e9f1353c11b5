//! Tests of servers whose rows disappear around an outage of the store: they must be kept while
//! they may merely have expired, but no longer.

mod common;

use std::time::{Duration, Instant};

use common::{ms, placer_config, reading, server};
use place::catalog::ServerCatalog;
use place::fleet::read_intervals::ReadIntervals;
use place::fleet::reading::{ReadOutcome, ReadRole, ReadScheduler, RegistryRead};

/// Time within which a leaving server must get no more requests.
const DRAIN: Duration = Duration::from_millis(3000);
/// Latency of the store's answers.
const ANSWER: Duration = Duration::from_millis(5);
/// Propagation time to the entries that follow the reader.
const PROPAGATION_TIME: Duration = Duration::from_millis(150);

/// A server whose row is dropped right after the store recovers must be out of use in time,
/// whenever its reader happened to ask.
#[test]
fn row_dropped_after_outage_is_removed_in_time() {
    for offset in 0..20 {
        let start = Instant::now();
        let mut catalog = ServerCatalog::new(placer_config().domains).with_drain(DRAIN);
        let mut scheduler = ReadScheduler::new(start, ReadIntervals::new(DRAIN), 1);
        let both = [server("x", "a1"), server("y", "a1")];
        catalog.apply_snapshot(start, &reading(start, &both));
        let back = start + ms(4000 + 55 * offset);
        let dropped = back + ms(200);
        let mut now = start;
        while catalog.iter().count() == 2 {
            assert!(
                now <= dropped + DRAIN - PROPAGATION_TIME,
                "offset {offset}: used for too long"
            );
            now += ms(10);
            scheduler.set_next_removal(catalog.next_removal_at());
            let call = scheduler.begin_read(now, ReadRole::Reader, catalog.read_at(), false);
            let Some(RegistryRead { wait, .. }) = call else {
                continue;
            };
            if now < back {
                catalog.on_read_failed(now);
                scheduler.on_read_finished(now, ReadOutcome::Failed);
                continue;
            }
            let started_at = now;
            // The store answers immediately if there is a change, otherwise after the wait.
            let is_changed = catalog.missing().next().is_none() && dropped < started_at + wait;
            now = if is_changed {
                dropped.max(started_at)
            } else {
                started_at + wait
            } + ANSWER;
            let rows = if now > dropped { &both[..1] } else { &both[..] };
            catalog.apply_snapshot(now, &reading(started_at, rows));
            let outcome = if is_changed {
                ReadOutcome::Changed
            } else {
                ReadOutcome::Unchanged
            };
            scheduler.on_read_finished(now, outcome);
        }
        assert!(
            now >= back + ms(2000),
            "offset {offset}: dropped before it could register again"
        );
    }
}

/// The same if those entries know other servers, as they do after each change that this entry
/// misses: their reads show that the store works all the same.
#[test]
fn reads_of_entries_that_know_other_servers_show_no_outage() {
    let start = Instant::now();
    let mut catalog = ServerCatalog::new(placer_config().domains).with_drain(DRAIN);
    let both = [server("x", "a1"), server("y", "a1")];
    catalog.apply_snapshot(start, &reading(start, &both));
    for turn in 1..=20 {
        let now = start + ms(300 * turn);
        catalog.on_peer_read(now - ms(40));
        catalog.on_read_failed(now);
    }
    let now = start + ms(6200);
    catalog.apply_snapshot(now, &reading(now, &both[..1]));
    assert_eq!(catalog.iter().count(), 1);
}

/// An answer that waited at a suspended process shows what was missing before: a row that it lacks
/// after an outage had no time to come back until then.
#[test]
fn late_answer_ends_no_grace_period() {
    let start = Instant::now();
    let mut catalog = ServerCatalog::new(placer_config().domains).with_drain(DRAIN);
    let both = [server("x", "a1"), server("y", "a1")];
    catalog.apply_snapshot(start, &reading(start, &both));
    for after in (500..5000).step_by(500) {
        catalog.on_read_failed(start + ms(after));
    }
    let back = start + ms(5000);
    catalog.apply_snapshot(back, &reading(back, &both[..1]));
    let (asked, read) = (back + ms(300), back + ms(6000));
    catalog.apply_snapshot(read, &reading(asked, &both[..1]));
    assert_eq!(catalog.iter().count(), 2);
    catalog.apply_snapshot(read + ms(10), &reading(read, &both[..1]));
    assert_eq!(catalog.iter().count(), 1);
}

/// If the store refuses only this entry, as other entries' reads show, nothing expires: a
/// server whose row disappears must be gone immediately.
#[test]
fn refusal_of_one_entry_starts_no_grace_period() {
    let start = Instant::now();
    let mut catalog = ServerCatalog::new(placer_config().domains);
    let both = [server("x", "a1"), server("y", "a1")];
    catalog.apply_snapshot(start, &reading(start, &both));
    for turn in 1..=20 {
        let now = start + ms(300 * turn);
        catalog.confirm(now - ms(40));
        catalog.on_read_failed(now);
    }
    let now = start + ms(6200);
    catalog.apply_snapshot(now, &reading(now, &both[..1]));
    assert_eq!(catalog.iter().count(), 1);
    // The store answered nobody, so the row may merely have expired.
    for turn in 1..=20 {
        catalog.on_read_failed(now + ms(300 * turn));
    }
    let now = now + ms(6200);
    catalog.apply_snapshot(now, &reading(now, &[]));
    assert_eq!(catalog.iter().count(), 1);
}

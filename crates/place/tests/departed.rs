//! Tests of servers that have left, and of what could bring them back by mistake: obsolete
//! registrations, copies from lagging entries, and endless grace periods.

mod common;

use std::time::{Duration, Instant};

use common::{changes, domains, ms, position, reading, server};
use place::catalog::DroppedRow;
use place::departure::Departure;
use place::fleet::log::{ReadScope, RegistryDelta, RegistryLog};
use place::fleet::read_intervals::ReadIntervals;
use place::fleet::reading::{ReadOutcome, ReadRole, ReadScheduler};
use place::fleet::registry::RegistryCopy;
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;

const DRAIN: Duration = Duration::from_millis(3000);
/// Part of it that remains for the propagation to other entries.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);

fn catalog() -> ServerCatalog {
    ServerCatalog::new(domains()).with_drain(DRAIN)
}

fn registration(id: &str, seq: u64, state: EntryState) -> ServerEntry {
    let mut entry = server(id, "a1");
    (entry.started, entry.seq, entry.state) = (Some(5), seq, state);
    entry
}

fn ready(id: &str, seq: u64) -> ServerEntry {
    registration(id, seq, EntryState::Ready)
}

fn leaving(id: &str, seq: u64) -> ServerEntry {
    registration(id, seq, EntryState::Draining)
}

fn is_open(catalog: &ServerCatalog, id: &str) -> bool {
    let mut servers = catalog.open_servers("board");
    servers.any(|(_, record)| record.entry.id == id)
}

/// Applies a read of `rows` at `at`.
fn read(catalog: &mut ServerCatalog, at: Instant, rows: &[ServerEntry]) {
    catalog.apply_snapshot(at, &reading(at, rows));
}

/// A registration that is no newer than the last one of a departed server must not bring it
/// back. If the server had announced its departure, no registration of that run may.
#[test]
fn late_heartbeat_does_not_restore_departed_server() {
    let cases = [
        (
            "announced, older registration",
            leaving("x", 11),
            ready("x", 10),
            false,
        ),
        (
            "announced, newer registration",
            leaving("x", 11),
            ready("x", 12),
            false,
        ),
        (
            "unannounced, older registration",
            ready("x", 11),
            ready("x", 10),
            false,
        ),
        (
            "unannounced, same registration",
            ready("x", 11),
            ready("x", 11),
            false,
        ),
        (
            "unannounced, newer registration",
            ready("x", 11),
            ready("x", 12),
            true,
        ),
    ];
    for (what, last, late, is_back) in cases {
        let start = Instant::now();
        let other = ready("y", 3);
        let mut catalog = catalog();
        let rows = [
            vec![ready("x", 10), other.clone()],
            vec![last, other.clone()],
            vec![other.clone()],
            vec![late, other.clone()],
        ];
        for (at, rows) in (0..).step_by(1000).zip(&rows) {
            read(&mut catalog, start + ms(at), rows);
        }
        assert_eq!(is_open(&catalog, "x"), is_back, "{what}");
        assert!(is_open(&catalog, "y"), "{what}");
    }
}

/// A later run of a departed server must be accepted, whatever its sequence number.
#[test]
fn later_run_of_departed_server_is_accepted() {
    let start = Instant::now();
    let mut catalog = catalog();
    read(&mut catalog, start, &[leaving("x", 11)]);
    read(&mut catalog, start + ms(1000), &[]);
    let mut later = ready("x", 1);
    later.started = Some(6);
    read(&mut catalog, start + ms(2000), &[later]);
    assert!(is_open(&catalog, "x"));
}

/// A full copy from a lagging entry must not bring back a server that the receiver saw leave.
#[test]
fn lagging_copy_does_not_restore_departed_server() {
    for last in [leaving("x", 11), ready("x", 11)] {
        let start = Instant::now();
        let other = ready("y", 3);
        let mut behind = RegistryLog::default();
        let scope = ReadScope {
            whole: true,
            ..changes()
        };
        behind.apply_snapshot(&reading(start, &[ready("x", 10), other.clone()]), scope);
        let mut catalog = catalog();
        read(&mut catalog, start + ms(1000), &[last, other.clone()]);
        read(&mut catalog, start + ms(2000), &[other]);
        catalog.apply_delta(start + ms(2100), start, &behind.since(0));
        assert!(!is_open(&catalog, "x"));
        assert!(is_open(&catalog, "y"));
    }
}

/// A live server that is missing from a lagging entry's copy must be known again after the next
/// read, although its registration hasn't changed.
#[test]
fn live_server_missing_from_copy_returns_with_next_read() {
    let start = Instant::now();
    let both = [ready("x", 10), ready("y", 3)];
    let mut behind = RegistryLog::default();
    behind.apply_snapshot(&reading(start, &both[1..]), changes());
    let mut catalog = catalog();
    read(&mut catalog, start + ms(1000), &both);
    catalog.apply_delta(start + ms(1100), start, &behind.since(0));
    assert!(!is_open(&catalog, "x"));
    read(&mut catalog, start + ms(2000), &both);
    assert!(is_open(&catalog, "x"));
}

/// The log must not replace the announcement that a server leaves with an older registration,
/// whether that comes from the store or from another entry.
#[test]
fn log_does_not_replace_draining_with_older_registration() {
    let start = Instant::now();
    let all = |log: &RegistryLog| -> Vec<EntryState> {
        let delta = log.since(0);
        delta.entries.iter().map(|entry| entry.state).collect()
    };
    let mut log = RegistryLog::default();
    log.apply_snapshot(&reading(start, &[ready("x", 10)]), changes());
    let before = log.since(0);
    let later = start + ms(1000);
    log.apply_snapshot(&reading(later, &[leaving("x", 11)]), changes());
    let late = start + ms(2000);
    log.apply_snapshot(&reading(late, &[ready("x", 10)]), changes());
    assert_eq!(all(&log), [EntryState::Draining]);
    log.apply_delta(&before);
    assert_eq!(all(&log), [EntryState::Draining]);
}

/// An entry that starts must learn which servers have left, so that an obsolete registration
/// in its first own read doesn't bring one back.
#[test]
fn starting_entry_receives_departures() {
    let start = Instant::now();
    let other = ready("y", 3);
    let mut lead = RegistryLog::default();
    let rows = [
        vec![ready("x", 10), ready("z", 7), other.clone()],
        vec![leaving("x", 11), ready("z", 8), other.clone()],
        vec![other.clone()],
    ];
    for (at, rows) in (0..).step_by(1000).zip(&rows) {
        lead.apply_snapshot(&reading(start + ms(at), rows), changes());
    }
    let mut catalog = catalog();
    catalog.apply_delta(start + ms(2100), start + ms(2000), &lead.since(0));
    let late = [ready("x", 10), ready("z", 8), other];
    read(&mut catalog, start + ms(3000), &late);
    assert!(!is_open(&catalog, "x") && !is_open(&catalog, "z"));
    assert!(is_open(&catalog, "y"));
}

/// A row that disappeared while some calls fail must not be kept for longer than a leaving
/// server may get requests: the registry answers in between, so nothing has expired.
#[test]
fn intermittent_read_failures_do_not_delay_removal() {
    for gap in [300, 700, 1100, 1500, 1900, 2300, 2700, 3100, 4100] {
        let start = Instant::now();
        let mut catalog = catalog();
        let both = [ready("x", 1), ready("y", 1)];
        let mut gone_after = None;
        for at in (0..60_000).step_by(100) {
            let now = start + ms(at);
            if at > 0 && at % gap == 0 {
                catalog.on_read_failed(now);
            }
            if at % 1000 == 0 {
                let rows = if at >= 5000 { &both[1..] } else { &both[..] };
                read(&mut catalog, now, rows);
            }
            if at >= 5000 && !is_open(&catalog, "x") {
                gone_after = Some(ms(at - 5000));
                break;
            }
        }
        let is_in_time = gone_after.is_some_and(|after| after <= DRAIN - PROPAGATION_TIME);
        assert!(is_in_time, "a failed call each {gap} ms: {gone_after:?}");
    }
}

/// The same for a registry that rarely answers: each failure starts a new grace period for live
/// servers, but must not restart it for a row that is already missing.
#[test]
fn repeated_outages_do_not_restart_grace_period() {
    const MAX_TIME: Duration = Duration::from_millis(8000);
    let start = Instant::now();
    let mut catalog = catalog();
    let both = [ready("x", 1), ready("y", 1)];
    let mut gone_after = None;
    for at in (0..60_000).step_by(500) {
        let now = start + ms(at);
        let rows = if at >= 5000 { &both[1..] } else { &both[..] };
        match at % 2500 {
            0 => read(&mut catalog, now, rows),
            _ => {
                catalog.on_read_failed(now);
            }
        }
        if at >= 5000 && !is_open(&catalog, "x") {
            gone_after = Some(ms(at - 5000));
            break;
        }
    }
    assert!(
        gone_after.is_some_and(|after| after <= MAX_TIME),
        "{gone_after:?}"
    );
}

/// Rows that expired during a real outage must be kept until live servers had time to register
/// again, although another call fails in the meantime.
#[test]
fn row_expired_in_outage_is_kept_for_grace_period() {
    let start = Instant::now();
    let both = [ready("x", 1), ready("y", 1)];
    let mut catalog = catalog();
    read(&mut catalog, start, &both);
    for at in (500..8000).step_by(500) {
        catalog.on_read_failed(start + ms(at));
    }
    read(&mut catalog, start + ms(8000), &[]);
    catalog.on_read_failed(start + ms(8500));
    read(&mut catalog, start + ms(9000), &both[..1]);
    assert!(is_open(&catalog, "x") && is_open(&catalog, "y"));
    read(&mut catalog, start + ms(10_500), &both[..1]);
    assert!(!is_open(&catalog, "y"), "not listed again in time");
}

/// An entry that read for itself during an outage, keeps missing servers and then follows a
/// lead again must read the registry once more when the grace period ends, and retry if that
/// fails.
#[test]
fn follower_reads_when_its_grace_period_ends() {
    let start = Instant::now();
    let mut scheduler = ReadScheduler::new(start, ReadIntervals::new(DRAIN), 1);
    let follower = ReadRole::Follower {
        substitute: false,
        stuck: false,
    };
    let alone = ReadRole::Alone {
        used: true,
        first: start,
    };
    assert!(scheduler.begin_read(start, alone, None, false).is_some());
    let at = start + ms(2000);
    scheduler.set_next_removal(Some(at));
    scheduler.on_read_finished(start + ms(10), ReadOutcome::Changed);
    let before = at - ms(100);
    assert_eq!(
        scheduler.begin_read(before, follower, Some(before), false),
        None
    );
    assert!(
        scheduler
            .begin_read(at, follower, Some(at), false)
            .is_some()
    );
    scheduler.on_read_finished(at + ms(10), ReadOutcome::Failed);
    let again = at + ms(500);
    assert!(
        scheduler
            .begin_read(again, follower, Some(again), false)
            .is_some()
    );
    scheduler.on_read_finished(again + ms(10), ReadOutcome::Unchanged);
    let later = at + ms(1500);
    assert_eq!(
        scheduler.begin_read(later, follower, Some(later), false),
        None
    );
}

/// A server that leaves and is listed again within a single change must keep its state: it is
/// the same run.
#[test]
fn server_relisted_in_same_change_keeps_its_state() {
    let start = Instant::now();
    let mut lead = RegistryLog::default();
    lead.apply_snapshot(&reading(start, &[ready("x", 1)]), changes());
    let mut catalog = catalog();
    let first = lead.since(0);
    catalog.apply_delta(start, start, &first);
    let later = start + ms(1000);
    let scope = ReadScope {
        dropped: vec![DroppedRow::new("x", reading(later, &[]).position)],
        ..changes()
    };
    lead.apply_snapshot(&reading(later, &[ready("x", 4)]), scope);
    let delta: RegistryDelta = lead.since(first.version);
    let changed = catalog.apply_delta(later, later, &delta);
    assert!(is_open(&catalog, "x"));
    assert_eq!(changed, []);
}

/// A row that is dropped and listed again between two reads belongs to a live server only if it
/// is newer than the dropped one, even if nobody read that one. Followers must see the same.
#[test]
fn row_relisted_between_reads_needs_newer_registration() {
    // The sequence numbers known, dropped and listed, and whether the server is alive.
    let cases = [
        (1, None, 1, false),
        (1, None, 2, true),
        (1, Some(2), 2, false),
    ];
    for (known, dropped, listed, is_live) in cases {
        let start = Instant::now();
        let (mut lead, mut catalog, mut follower) = (RegistryLog::default(), catalog(), catalog());
        let first = reading(start, &[ready("x", known)]);
        lead.apply_snapshot(&first, changes());
        catalog.apply_snapshot(start, &first);
        follower.apply_delta(start, start, &lead.since(0));
        let before = lead.version();
        let later = start + ms(1000);
        let second = reading(later, &[ready("x", listed)]);
        let row = DroppedRow {
            last_entry: dropped.map(|seq| ready("x", seq)),
            ..DroppedRow::new("x", second.position)
        };
        let scope = ReadScope {
            dropped: vec![row],
            ..changes()
        };
        catalog.note_dropped_rows(later, &scope.dropped);
        catalog.apply_snapshot(later, &second);
        lead.apply_snapshot(&second, scope);
        follower.apply_delta(later, later, &lead.since(before));
        let what = format!("{known}, {dropped:?}, {listed}");
        assert_eq!(is_open(&catalog, "x"), is_live, "{what}");
        assert_eq!(is_open(&follower, "x"), is_live, "follower: {what}");
    }
}

/// A server's announcement that it leaves may be overwritten by an earlier heartbeat before
/// anybody reads it: the server must get no requests all the same.
#[test]
fn announcement_overwritten_between_reads_is_known() {
    let start = Instant::now();
    let (mut catalog, mut follower) = (catalog(), catalog());
    let mut log = RegistryLog::default();
    let other = ready("y", 3);
    let rows = [ready("x", 10), other];
    for after in [0, 1000, 2000] {
        let at = start + ms(after);
        let scope = ReadScope {
            replaced: match after {
                1000 => vec![ready("x", 10), leaving("x", 11)],
                _ => Vec::new(),
            },
            ..changes()
        };
        let snapshot = reading(at, &rows);
        let before = log.version();
        RegistryCopy::new(&mut catalog, &mut log).apply_snapshot(at, &snapshot, scope);
        if log.version() > before {
            follower.apply_delta(at, at, &log.since(before));
        }
        assert_eq!(is_open(&catalog, "x"), after == 0, "after {after} ms");
        assert_eq!(
            is_open(&follower, "x"),
            after == 0,
            "follower, after {after} ms"
        );
        assert!(is_open(&catalog, "y"));
    }
}

/// A read that reports a row's drop late, after another entry sent a newer registration, must
/// not keep the live server out.
#[test]
fn late_drop_does_not_remove_live_server() {
    let start = Instant::now();
    let mut catalog = catalog();
    let mut lead = RegistryLog::default();
    lead.apply_snapshot(&reading(start, &[ready("x", 4)]), changes());
    catalog.apply_delta(start, start, &lead.since(0));
    let known = reading(start, &[]).position;
    catalog.note_dropped_rows(
        start + ms(50),
        &[DroppedRow::new("x", position(known.version() - 1))],
    );
    read(&mut catalog, start + ms(100), &[ready("x", 4)]);
    assert!(is_open(&catalog, "x"));
}

/// A lead's message that waited unread while the process was suspended must age by that time. A
/// read that never happened stays unset.
#[test]
fn delayed_message_ages_by_its_delay() {
    let now = Instant::now();
    let known = StoreProgress {
        registry_at: Some(now - ms(100)),
        ..StoreProgress::default()
    };
    let message = known.to_report(now).delayed_by(ms(2500));
    let received = StoreProgress::from_report(now, &message);
    assert_eq!(received.registry_at, Some(now - ms(2600)));
    assert_eq!(received.operator_at, None);
}

/// A server that is missing from a full copy at least as new as the receiver's knowledge has
/// left: only a newer registration may bring it back.
#[test]
fn server_missing_from_newer_copy_needs_newer_registration() {
    for (seq, is_live) in [(10, false), (11, true)] {
        let start = Instant::now();
        let both = [ready("x", 10), ready("y", 3)];
        let mut lead = RegistryLog::default();
        let later = start + ms(1000);
        lead.apply_snapshot(&reading(later, &both[1..]), changes());
        let mut catalog = catalog();
        read(&mut catalog, start, &both);
        catalog.apply_delta(later, later, &lead.since(0));
        assert!(!is_open(&catalog, "x"));
        let late = [ready("x", seq), ready("y", 3)];
        read(&mut catalog, start + ms(2000), &late);
        assert_eq!(is_open(&catalog, "x"), is_live, "registration {seq}");
    }
}

/// The departure of a server that didn't announce it must expire, so that a corrupted message
/// can't keep a live server out for long.
#[test]
fn unannounced_departure_expires() {
    const MAX_TIME: Duration = Duration::from_secs(30);
    let start = Instant::now();
    let both = [ready("x", 10), ready("y", 3)];
    let mut catalog = catalog();
    read(&mut catalog, start, &both);
    read(&mut catalog, start + ms(1000), &both[1..]);
    read(&mut catalog, start + ms(2000), &both);
    assert!(!is_open(&catalog, "x"));
    read(&mut catalog, start + MAX_TIME, &both);
    assert!(is_open(&catalog, "x"));
}

/// Entries that saw a server announce its departure must agree on an obsolete registration of
/// it, whether or not they saw its row dropped.
#[test]
fn entries_agree_on_obsolete_registration() {
    let start = Instant::now();
    let other = ready("y", 3);
    let steps = [
        vec![ready("x", 10), other.clone()],
        vec![leaving("x", 11), other.clone()],
        vec![other.clone()],
        vec![ready("x", 10), other.clone()],
    ];
    let log_of = |seen: &[usize]| {
        let mut log = RegistryLog::default();
        for step in seen {
            let at = start + ms(1000 * *step as u64);
            log.apply_snapshot(&reading(at, &steps[*step]), changes());
        }
        log.content()
    };
    assert_eq!(log_of(&[0, 1, 2, 3]), log_of(&[0, 1, 3]));
}

/// A lead that knows a server's departure must not send an obsolete registration without it,
/// whichever of the two it learned first.
#[test]
fn obsolete_registration_is_sent_with_departure() {
    let start = Instant::now();
    let delta = [leaving("x", 11), ready("x", 11)];
    for (last, knows_end_first) in delta.iter().flat_map(|last| [(last, false), (last, true)]) {
        let ends = [Departure::of(last)];
        let mut lead = RegistryLog::default();
        lead.apply_snapshot(&reading(start, &[ready("y", 3)]), changes());
        let mut follower = catalog();
        follower.apply_delta(start, start, &lead.since(0));
        let mut known = lead.version();
        let late = reading(start + ms(1000), &[ready("x", 10), ready("y", 3)]);
        if knows_end_first {
            lead.apply_departures(&ends);
        } else {
            lead.apply_snapshot(&late, changes());
            follower.apply_delta(start, start, &lead.since(known));
            known = lead.version();
            lead.apply_departures(&ends);
            assert!(lead.version() > known, "the followers must learn of it");
        }
        lead.apply_snapshot(&late, changes());
        follower.apply_delta(start, start, &lead.since(known));
        assert!(
            !is_open(&follower, "x"),
            "knows the end first: {knows_end_first}"
        );
        assert!(is_open(&follower, "y"));
    }
}

/// When another entry reports a departure with an older registration than the one known here,
/// the log must pass on the newer one.
#[test]
fn forwarded_departure_has_newest_known_registration() {
    let start = Instant::now();
    let other = ready("y", 3);
    let mut lead = RegistryLog::default();
    lead.apply_snapshot(&reading(start, &[ready("x", 3), other.clone()]), changes());
    let delta = RegistryDelta {
        version: lead.version() + 5000,
        departures: vec![Departure::of(&ready("x", 2))],
        ..RegistryDelta::default()
    };
    lead.apply_delta(&delta);
    let mut follower = catalog();
    follower.apply_delta(start, start, &lead.since(0));
    read(&mut follower, start + ms(9000), &[ready("x", 3), other]);
    assert!(!is_open(&follower, "x"));
    // The same if a full copy, as new as the local knowledge, lacks the server.
    let mut lead = RegistryLog::default();
    lead.apply_snapshot(&reading(start, &[ready("x", 3), ready("y", 3)]), changes());
    let copy = RegistryDelta {
        whole: true,
        entries: vec![ready("y", 3)],
        ..delta.clone()
    };
    lead.apply_delta(&copy);
    let mut follower = catalog();
    follower.apply_delta(start, start, &lead.since(0));
    let late = [ready("x", 3), ready("y", 3)];
    read(&mut follower, start + ms(9000), &late);
    assert!(!is_open(&follower, "x"), "a whole copy");
    // A server reported as departed and listed again is known by the registration that was
    // sent.
    let mut lead = RegistryLog::default();
    lead.apply_snapshot(&reading(start, &[ready("x", 3)]), changes());
    let back = RegistryDelta {
        entries: vec![ready("x", 3)],
        ..delta
    };
    lead.apply_delta(&back);
    let mut follower = catalog();
    follower.apply_delta(start, start, &lead.since(0));
    assert!(is_open(&follower, "x"));
}

/// The number of departures sent must be bounded however many servers leave at once, and the
/// latest thousand must stay out.
#[test]
fn number_of_sent_departures_is_bounded() {
    const MAX_DEPARTURES: usize = 1024;
    for count in [100, 300, 1000, 3000] {
        let start = Instant::now();
        let other = ready("y", 3);
        let ids: Vec<String> = (0..count).map(|number| format!("x{number:05}")).collect();
        let all: Vec<ServerEntry> = ids.iter().map(|id| ready(id, 10)).collect();
        let mut lead = RegistryLog::default();
        lead.apply_snapshot(
            &reading(start, &[all.clone(), vec![other.clone()]].concat()),
            changes(),
        );
        lead.apply_snapshot(
            &reading(start + ms(1000), std::slice::from_ref(&other)),
            changes(),
        );
        let delta = lead.since(0);
        assert!(
            delta.departures.len() <= MAX_DEPARTURES,
            "{count}: {}",
            delta.departures.len()
        );
        let mut follower = catalog();
        follower.apply_delta(start + ms(1000), start, &delta);
        read(
            &mut follower,
            start + ms(2000),
            &[all, vec![other]].concat(),
        );
        let newest = ids.iter().rev().take(1000);
        let back = newest.filter(|id| is_open(&follower, id)).count();
        assert_eq!(back, 0, "{count}");
    }
}

/// A row that disappeared during an outage and is listed again during the grace period must not
/// count as the live server's if it is older than the last known registration.
#[test]
fn older_registration_does_not_end_grace_period() {
    for (seq, is_live) in [(9, false), (11, true)] {
        let start = Instant::now();
        let both = [ready("x", 10), ready("y", 3)];
        let mut catalog = catalog();
        read(&mut catalog, start, &both);
        for at in (500..8000).step_by(500) {
            catalog.on_read_failed(start + ms(at));
        }
        read(&mut catalog, start + ms(8000), &both[1..]);
        assert!(is_open(&catalog, "x"), "it is waited for");
        let again = [ready("x", seq), ready("y", 3)];
        for at in [9000, 10_000, 12_000] {
            read(&mut catalog, start + ms(at), &again);
            assert_eq!(
                is_open(&catalog, "x"),
                is_live,
                "registration {seq} at {at}"
            );
        }
    }
}

/// The departure that is sent after the grace period must include the row's last registration,
/// even if that was first seen in the read that reported the drop.
#[test]
fn departure_after_grace_period_has_last_registration() {
    let start = Instant::now();
    let other = ready("y", 3);
    let mut lead = RegistryLog::default();
    lead.apply_snapshot(&reading(start, &[ready("x", 1), other.clone()]), changes());
    let at = |millis| reading(start + ms(millis), std::slice::from_ref(&other));
    let lapsed = at(1000);
    let row = DroppedRow {
        last_entry: Some(ready("x", 2)),
        ..DroppedRow::new("x", lapsed.position)
    };
    let scope = ReadScope {
        dropped: vec![row],
        missing: vec!["x".to_owned()],
        ..changes()
    };
    lead.apply_snapshot(&lapsed, scope);
    lead.apply_snapshot(&at(3500), changes());
    let known = lead.version();
    let mut follower = catalog();
    follower.apply_delta(start + ms(3500), start, &lead.since(0));
    lead.apply_snapshot(
        &reading(start + ms(4000), &[ready("x", 2), other.clone()]),
        changes(),
    );
    follower.apply_delta(start + ms(4000), start, &lead.since(known));
    assert!(!is_open(&follower, "x"));
}

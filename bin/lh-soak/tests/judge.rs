//! Tests of the judge with constructed histories, and of the fault schedule.

use lh_soak::faults;
use lh_soak::history::{RunEvent, RunHistory, ServerChange, Statement, TimedEvent};
use lh_soak::judge::{SoakReport, judge};

fn left() -> RunEvent {
    RunEvent::Left {
        server: "x".to_owned(),
    }
}

fn arrived(entry: usize) -> RunEvent {
    RunEvent::Arrived {
        server: "x".to_owned(),
        entry,
        request: "a-request".to_owned(),
    }
}

fn ran(server: &str, request: &str) -> RunEvent {
    RunEvent::Arrived {
        server: server.to_owned(),
        entry: 1,
        request: request.to_owned(),
    }
}

fn answered(request: &str, status: u16, body: &str) -> RunEvent {
    RunEvent::Answered {
        request: request.to_owned(),
        status,
        body: body.to_owned(),
    }
}

fn logged(run: u32, change: ServerChange) -> RunEvent {
    RunEvent::Line {
        entry: 1,
        run,
        server: "x".to_owned(),
        change,
    }
}

fn fault(entry: Option<usize>) -> RunEvent {
    let name = "a fault".to_owned();
    RunEvent::Fault { name, entry }
}

/// Judges `events`, with entries 1 and 2 running from the start, both in run 1.
fn report(events: &[(u64, RunEvent)]) -> SoakReport {
    let started = |entry| (0, RunEvent::Started { entry, run: 1 });
    let events = [&[started(1), started(2)], events].concat();
    let events = events.into_iter();
    let events = events.map(|(at, event)| TimedEvent { at, event }).collect();
    judge(&RunHistory { seed: 1, events })
}

/// A late request is reported, a timely one is not. The bound is extended by the scheduling delay
/// of the soak process itself.
#[test]
fn a_late_request_is_reported() {
    let base = [(10_000, left())];
    let with = |at| report(&[&base[..], &[(at, arrived(1))]].concat());
    assert_eq!(with(12_900).violation_count(), 0);
    assert_eq!(with(13_001).drain_violations.len(), 1);
    let lag = [(100, RunEvent::Lag { ms: 50 })];
    let late = [(13_040, arrived(1))];
    assert_eq!(
        report(&[&lag[..], &base, &late].concat()).violation_count(),
        0
    );
}

/// No bound applies while an entry or the store is faulty, nor in the stable window after that.
/// The fault of one entry does not excuse another entry.
#[test]
fn a_fault_excuses_its_own_entry_only() {
    let base = [
        (9000, fault(Some(1))),
        (10_000, left()),
        (11_000, RunEvent::Calm { entry: Some(1) }),
    ];
    let with = |at, entry| report(&[&base[..], &[(at, arrived(entry))]].concat());
    assert_eq!(with(14_500, 1).drain_violations.len(), 0);
    assert_eq!(with(14_500, 1).late_under_faults, (1, 4500));
    assert_eq!(with(15_001, 1).drain_violations.len(), 1);
    assert_eq!(with(14_500, 2).drain_violations.len(), 1);
    let store = [
        (9000, fault(None)),
        (10_000, left()),
        (11_000, RunEvent::Calm { entry: None }),
    ];
    let with = |at| report(&[&store[..], &[(at, arrived(2))]].concat());
    assert_eq!(with(17_900).drain_violations.len(), 0);
    assert_eq!(with(18_100).drain_violations.len(), 1);
}

/// An entry that takes a server in again, or sends it requests, after it logged the departure is
/// reported even under faults. A later run of the same entry is not.
#[test]
fn readmission_is_reported() {
    let base = [
        (9000, fault(Some(1))),
        (10_000, left()),
        (11_000, logged(1, ServerChange::Left)),
    ];
    let with = |at, event| report(&[&base[..], &[(at, event)]].concat());
    let again = |run| logged(run, ServerChange::Joined);
    assert_eq!(with(12_000, again(1)).readmissions.len(), 1);
    assert_eq!(with(12_000, again(2)).readmissions.len(), 0);
    assert_eq!(with(13_900, arrived(1)).readmissions.len(), 0);
    assert_eq!(with(14_100, arrived(1)).readmissions.len(), 1);
}

/// A late heartbeat excuses requests only if no running process has seen the departure.
/// Otherwise the request is reported as late.
#[test]
fn late_heartbeat_excuses_only_unseen_departures() {
    let late_heartbeat = RunEvent::LateHeartbeat {
        server: "x".to_owned(),
    };
    let with = |knows: &[(u64, RunEvent)]| {
        let end = [(15_000, late_heartbeat.clone()), (16_000, arrived(2))];
        report(&[&[(10_000, left())], knows, &end].concat())
    };
    let logged_departure = (11_000, logged(1, ServerChange::Left));
    assert_eq!(with(&[]).forgotten, 1);
    assert_eq!(
        with(std::slice::from_ref(&logged_departure))
            .drain_violations
            .len(),
        1
    );
    let ended = (12_000, RunEvent::Ended { entry: 1 });
    assert_eq!(with(&[logged_departure, ended]).forgotten, 1);
}

fn stated(request: &str, statement: Statement) -> RunEvent {
    RunEvent::Stated {
        server: "x".to_owned(),
        request: request.to_owned(),
        statement,
    }
}

/// More requests than a limited server tolerates are reported: of entries that know its limit, once
/// these had time to settle, unless they are faulty.
#[test]
fn requests_beyond_a_limit_are_reported() {
    let limit = |milli| RunEvent::Limit {
        server: "x".to_owned(),
        milli,
    };
    let tell = [
        (900, ran("x", "1-0-0")),
        (1000, limit(Some(1000))),
        (1100, stated("1-0-0", Statement::Limited)),
        (1200, answered("1-0-0", 200, "1-0-0 ran at x")),
    ];
    // 1.5 times 1 a second in 4 s, and 5 more.
    let requests = |from: u64, count: u64| {
        let times = (0..count).map(move |index| from + index * 3900 / count);
        times.map(|at| (at, arrived(1))).collect::<Vec<_>>()
    };
    let count = |base: &[(u64, RunEvent)], events: &[(u64, RunEvent)]| {
        report(&[base, events].concat()).limit_violations.len()
    };
    assert_eq!(count(&tell, &requests(5000, 11)), 0);
    assert_eq!(count(&tell, &requests(5000, 12)), 1);
    assert_eq!(count(&tell, &requests(1000, 12)), 0, "not settled");
    assert_eq!(count(&tell[..3], &requests(5000, 12)), 0, "limit not known");
    let faulty = [&tell[..], &[(4000, fault(Some(1)))]].concat();
    assert_eq!(count(&faulty, &requests(5000, 12)), 0, "faulty");
    let other = [&tell[..], &[(4000, fault(Some(2)))]].concat();
    assert_eq!(count(&other, &requests(5000, 12)), 1, "another is faulty");
    let lifted = [&tell[..], &[(4000, limit(None))]].concat();
    assert_eq!(count(&lifted, &requests(5000, 12)), 0, "no limit any more");
}

/// A late request to a server that had said in a response through the entry that it leaves is reported, also while the
/// store or the entry's link is faulty. A restart or a freeze of the entry excuses it.
#[test]
fn requests_to_a_server_that_told_its_leaving_are_reported() {
    let tell = [
        (900, ran("x", "1-0-0")),
        (1100, stated("1-0-0", Statement::Leaving)),
        (1200, answered("1-0-0", 200, "1-0-0 ran at x")),
    ];
    let count = |events: &[(u64, RunEvent)]| {
        let late = [(4300, arrived(1))];
        report(&[&tell, events, &late].concat())
            .leaving_violations
            .len()
    };
    assert_eq!(
        report(&[&tell[..], &[(4100, arrived(1))]].concat()).violation_count(),
        0
    );
    assert_eq!(count(&[]), 1);
    assert_eq!(count(&[(2000, fault(None)), (2100, fault(Some(1)))]), 1);
    let name = "frozen".to_owned();
    let entry = Some(1);
    assert_eq!(count(&[(2000, RunEvent::Fault { name, entry })]), 0);
    let restarted = [
        (2000, RunEvent::Ended { entry: 1 }),
        (2100, RunEvent::Started { entry: 1, run: 2 }),
    ];
    assert_eq!(count(&restarted), 0);
    assert_eq!(
        report(&[&tell[..2], &[(4300, arrived(1))]].concat())
            .leaving_violations
            .len(),
        0
    );
}

/// A third request within a rest is reported, whether it is executed or turned away. The first
/// half second, another entry and faults of the entry don't count.
#[test]
fn requests_at_rest_are_reported() {
    let turned_away = |entry| RunEvent::TurnedAway {
        server: "x".to_owned(),
        entry,
        rest_ms: 3000,
    };
    let asked = [(1000, turned_away(1))];
    let count =
        |events: &[(u64, RunEvent)]| report(&[&asked, events].concat()).rest_violations.len();
    let two = [(2000, arrived(1)), (2100, arrived(1))];
    assert_eq!(count(&two), 0);
    assert_eq!(count(&[&two[..], &[(2200, arrived(1))]].concat()), 1);
    assert_eq!(count(&[&two[..], &[(2200, turned_away(1))]].concat()), 1);
    assert_eq!(count(&[&two[..], &[(2200, arrived(2))]].concat()), 0);
    assert_eq!(
        count(&[&two[..], &[(4000, arrived(1))]].concat()),
        0,
        "over"
    );
    assert_eq!(
        count(&[&two[..], &[(1400, arrived(1))]].concat()),
        0,
        "at first"
    );
    let faulty = [&[(1500, fault(Some(1)))], &two[..], &[(2200, arrived(1))]].concat();
    assert_eq!(count(&faulty), 0, "faulty");
}

/// A second execution of an at-most-once request, an execution of a refused one, and a response to
/// another request are reported. Repeated idempotent requests are not.
#[test]
fn at_most_once_violations_are_reported() {
    let once = |events: &[RunEvent]| {
        let events: Vec<(u64, RunEvent)> =
            events.iter().cloned().map(|event| (10, event)).collect();
        report(&events).once_violations.len()
    };
    let own = "1-0-3-once ran at x";
    assert_eq!(
        once(&[ran("x", "1-0-3-once"), answered("1-0-3-once", 200, own)]),
        0
    );
    assert_eq!(once(&[ran("x", "1-0-3-once"), ran("y", "1-0-3-once")]), 1);
    assert_eq!(once(&[ran("x", "1-0-1"), ran("y", "1-0-1")]), 0);
    assert_eq!(
        once(&[ran("x", "1-0-3-once"), answered("1-0-3-once", 503, "")]),
        1
    );
    assert_eq!(
        once(&[answered("1-0-3-once", 503, ""), ran("x", "1-0-3-once")]),
        1
    );
    assert_eq!(
        once(&[ran("x", "1-0-3-once"), answered("1-0-3-once", 502, "")]),
        0
    );
    assert_eq!(
        once(&[ran("y", "1-0-3-once"), answered("1-0-3-once", 200, own)]),
        1
    );
}

/// The fault schedule is determined by the seed, and the end of a run is free of faults.
#[test]
fn fault_schedule_is_reproducible() {
    let schedule = faults::draw_faults(7, 60, 24, 3);
    assert_eq!(schedule, faults::draw_faults(7, 60, 24, 3));
    assert_ne!(schedule, faults::draw_faults(8, 60, 24, 3));
    let ends = schedule
        .iter()
        .map(|fault| (fault.at + fault.duration).as_secs());
    assert!(schedule.len() > 5 && ends.max().is_some_and(|last| last <= 52));
}

/// Requests 0 to 199 at entry 1, which lost its path at 1 s, and as many at entry 2; those at
/// entry 1 are answered with `status`, from `from` ms on.
fn path_report(from: u64, status: u16) -> SoakReport {
    let fault = RunEvent::Fault {
        name: "partitioned".to_owned(),
        entry: Some(1),
    };
    let mut events = vec![(1000, fault)];
    for number in 0..200 {
        let at = from + number * 10;
        for (entry, status) in [(1, status), (2, 200)] {
            let request = format!("{entry}-0-{number}");
            let body = servers_body(&request);
            events.push((at, ran("i-0000", &request)));
            events.push((at, answered(&request, status, &body)));
        }
    }
    events.push((20_000, RunEvent::Calm { entry: Some(1) }));
    report(&events)
}

fn servers_body(request: &str) -> String {
    format!("{request} by i-0000")
}

/// Callers of an entry without a path must be served like those of the others.
#[test]
fn refusals_at_an_entry_without_a_path_are_violations() {
    assert_eq!(path_report(6000, 503).path_violations.len(), 1);
    assert!(path_report(6000, 200).path_violations.is_empty());
    assert!(
        path_report(1000, 503).path_violations.is_empty(),
        "the entry needs time to notice"
    );
}

/// The faults of earlier seeds stay the same when entries are cut off in addition.
#[test]
fn partitions_are_drawn_apart_from_other_faults() {
    let partitions = faults::draw_partitions(7, 60, 24);
    assert!(partitions.len() > 1);
    assert_eq!(partitions, faults::draw_partitions(7, 60, 24));
    let others = faults::draw_faults(7, 60, 24, 3);
    assert!(
        others
            .iter()
            .all(|fault| fault.kind != faults::FaultKind::Partitioned)
    );
}

/// An entry that passed on that a server leaves must not have requests relayed there.
#[test]
fn a_relayed_request_to_a_server_that_told_its_entry_is_a_violation() {
    let stated = RunEvent::Stated {
        server: "i-0000".to_owned(),
        request: "2-0-1".to_owned(),
        statement: Statement::Leaving,
    };
    let report = report(&[
        (1000, ran("i-0000", "2-0-1")),
        (1001, stated),
        (1002, answered("2-0-1", 200, "")),
        (9000, ran("i-0000", "2-0-2")),
    ]);
    assert_eq!(report.leaving_violations.len(), 1);
}

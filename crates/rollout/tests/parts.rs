//! The components of a rollout, tested separately.

use std::time::{Duration, Instant};

use rollout::evidence::{ALL_ROUTES, AnswerCounts, ServerMask, VersionEvidence};
use rollout::exposure::ExposureLimiter;
use rollout::prelude::*;
use rollout::versions::VersionHistory;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn controller(now: Instant) -> RolloutController {
    let config = RolloutConfig {
        exposure_share: 0.1,
        exposure_slack: 0.0,
        run: 1,
    };
    RolloutController::new(now, config, CanarySchedule::new(0.1))
}

fn order(version: &str, revision: u64) -> RolloutOrder {
    RolloutOrder {
        service: "board".to_owned(),
        version: version.to_owned(),
        duration: ms(20_000),
        revision,
    }
}

/// Returns the record of `order` in `phase`.
fn record(order: RolloutOrder, phase: RolloutPhase) -> RolloutRecord {
    RolloutRecord {
        phase,
        begun: 1,
        ..RolloutRecord::new(order, None)
    }
}

fn allows(controller: &mut RolloutController, now: Instant, version: &str) -> bool {
    let choice = controller.choose(now, "board", false, Some(ms(300)));
    controller.filters("board", choice).0.allows(version)
}

/// For any number of requests the version gets its share, rounded down, and its bonus.
#[test]
fn an_entry_keeps_to_its_share() {
    for (share, bonus) in [(0.02, 0.0), (0.1, 1.7), (0.25, 4.0), (0.0, 0.4)] {
        let mut limiter = ExposureLimiter::new(bonus);
        let mut taken = 0;
        for number in 1..=1000 {
            taken += usize::from(limiter.try_take(share));
            let most = share * f64::from(number) + bonus;
            assert!(taken as f64 <= most + 1e-6, "{taken} of {number}, {share}");
        }
        let least = (share * 1000.0 + bonus).floor() - 1.0;
        assert!(taken as f64 >= least, "{taken} {share}");
    }
}

/// A version that appears beside others gets no requests until an order for it had time to
/// arrive. Versions that are there at the start, and those of a service's first servers, are
/// used at once.
#[test]
fn a_new_version_waits_for_its_order() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    history.on_server(now, "board", "v1", false);
    history.on_server(now, "desk", "v1", true);
    history.on_server(now, "desk", "v2", true);
    assert!(
        history.held_versions(now, "board").is_empty()
            && history.held_versions(now, "desk").is_empty()
    );
    history.on_server(now, "board", "v2", false);
    let held = history.held_versions(now, "board");
    assert_eq!(held[0].0, "v2");
    assert!(history.held_versions(held[0].1, "board").is_empty());
    assert_eq!(history.others("board", "v2"), ["v1"]);
}

/// A version gets no requests before its rollout runs, and none after it was rolled back, even
/// if another version is ordered. An outdated record changes nothing.
#[test]
fn a_rolled_back_version_stays_excluded() {
    let now = Instant::now();
    let mut controller = controller(now);
    controller.on_order(now, &order("v2", 5));
    assert!(!allows(&mut controller, now, "v2") && allows(&mut controller, now, "v1"));
    controller.on_record(
        now,
        &record(order("v2", 5), RolloutPhase::RolledBack),
        Some(now),
        true,
    );
    controller.on_record(
        now,
        &record(order("v2", 5), RolloutPhase::Running),
        Some(now),
        true,
    );
    assert!(!allows(&mut controller, now, "v2"));
    controller.on_order(now, &order("v3", 9));
    controller.on_record(
        now,
        &record(order("v1", 4), RolloutPhase::Completed),
        Some(now),
        true,
    );
    assert!(!allows(&mut controller, now, "v2") && !allows(&mut controller, now, "v3"));
    controller.on_order(now, &order("v2", 12));
    let again = controller.record("board").unwrap();
    assert_eq!(again.phase, RolloutPhase::Ordered);
    assert_eq!(again.barred, ["v3"]);
}

/// A completion in the store overrides an entry's own decision.
#[test]
fn a_stored_completion_is_final() {
    let now = Instant::now();
    let mut controller = controller(now);
    controller.on_record(
        now,
        &record(order("v2", 5), RolloutPhase::Running),
        Some(now),
        true,
    );
    controller.on_withdrawn(now, "board");
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::RolledBack
    );
    let completed = RolloutRecord {
        barred: vec!["v1".to_owned()],
        ..record(order("v2", 5), RolloutPhase::Completed)
    };
    controller.on_record(now, &completed, Some(now), true);
    assert!(allows(&mut controller, now, "v2") && !allows(&mut controller, now, "v1"));
    controller.on_withdrawn(now, "board");
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::Completed
    );
    controller.on_order(now, &order("v2", 8));
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::Completed
    );
}

/// An entry without recent operator rows sends requests to the old version only, and so do
/// retries of requests that failed.
#[test]
fn stale_settings_and_retries_use_the_old_version() {
    let now = Instant::now();
    let mut controller = controller(now);
    controller.on_record(
        now,
        &record(order("v2", 5), RolloutPhase::Running),
        Some(now),
        true,
    );
    let late = now + ms(17_000);
    for (age, is_repeat) in [
        (None, false),
        (Some(ms(4500)), false),
        (Some(ms(300)), true),
    ] {
        for _ in 0..100 {
            let choice = controller.choose(late - ms(9000), "board", is_repeat, age);
            assert_eq!(choice, VersionChoice::Old);
        }
    }
    let (rule, fallback) = controller.filters("board", VersionChoice::Old);
    assert!(rule.allows("v1") && !rule.allows("v2"));
    let (last, only_without_servers) = fallback.unwrap();
    assert!(last.allows("v2") && only_without_servers);
}

/// A version is not blamed for one faulty server, nor for failures that the old version has as
/// well.
#[test]
fn a_faulty_server_is_not_blamed_on_the_version() {
    let bad = |count| AnswerCounts {
        failed: count,
        ..AnswerCounts::default()
    };
    let good = |count| AnswerCounts {
        good: count,
        ..AnswerCounts::default()
    };
    let mut evidence = VersionEvidence::default();
    evidence.add_servers(ServerMask(0b1111), ServerMask(0b0001));
    evidence.add(ALL_ROUTES, true, bad(30));
    assert!(evidence.verdict().is_none());
    evidence.add_servers(ServerMask(0b1111), ServerMask(0b0111));
    assert!(evidence.verdict().is_some());
    let mut evidence = VersionEvidence::default();
    evidence.add_servers(ServerMask(0b1111), ServerMask(0b1111));
    evidence.add(ALL_ROUTES, false, good(800));
    evidence.add(ALL_ROUTES, false, bad(200));
    for _ in 0..40 {
        evidence.add(ALL_ROUTES, true, good(8));
        evidence.add(ALL_ROUTES, true, bad(2));
    }
    assert!(evidence.verdict().is_none());
}

/// An overdue request counts as slow before it is answered, and only once. Requests whose
/// caller gave up or had a short deadline don't count.
#[test]
fn overdue_requests_count_as_slow() {
    let now = Instant::now();
    let mut controller = controller(now);
    controller.on_record(
        now,
        &record(order("v2", 5), RolloutPhase::Running),
        Some(now),
        true,
    );
    let send = |server| VersionSend {
        service: "board",
        version: "v2",
        route: 3,
        server,
        is_cold: false,
        expected: ms(400),
    };
    for server in 0..20 {
        let (token, _) = controller.on_sent(now, &send(server)).unwrap();
        controller.on_outcome(now + ms(100), token, SendOutcome::Inconclusive);
        let (token, _) = controller.on_sent(now, &send(server)).unwrap();
        controller.on_outcome(now + ms(100), token, SendOutcome::TimedOut);
    }
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::Running
    );
    for server in 0..20 {
        controller.on_sent(now, &send(server)).unwrap();
    }
    for after in (100..=800).step_by(50) {
        controller.check_overdue(now + ms(after));
    }
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::Running
    );
    controller.check_overdue(now + ms(850));
    controller.check_overdue(now + ms(900));
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::RolledBack
    );
}

/// Returns a controller with a running rollout of 20 s, with `entries` entries in service.
fn running_rollout(now: Instant, entries: usize) -> RolloutController {
    let mut controller = controller(now);
    controller.set_entries(entries, true);
    let record = record(order("v2", 5), RolloutPhase::Running);
    controller.on_record(now, &record, Some(now), true);
    controller
}

/// Sends requests on `route` to twenty servers of `version` and answers them.
fn answer_requests(
    controller: &mut RolloutController,
    now: Instant,
    version: &str,
    route: u64,
    bad: bool,
) {
    for server in 0..20 {
        let send = VersionSend {
            service: "board",
            version,
            route,
            server,
            is_cold: false,
            expected: ms(400),
        };
        let Some((token, _)) = controller.on_sent(now, &send) else {
            return;
        };
        let outcome = if bad {
            SendOutcome::Failed
        } else {
            SendOutcome::Answered
        };
        controller.on_outcome(now + ms(400), token, outcome);
    }
}

const SERVERS: ServerCounts = ServerCounts { new: 5, old: 5 };

fn next_phase(controller: &RolloutController, now: Instant) -> Option<RolloutPhase> {
    let next = controller.next_record(now, "board", SERVERS, 20_000);
    next.map(|record| record.phase)
}

/// An entry with reports of fewer than half of the others completes no rollout, even if the
/// store is reachable: they may have found the version to be bad.
#[test]
fn an_isolated_entry_completes_no_rollout() {
    let now = Instant::now();
    let mut controller = running_rollout(now, 8);
    answer_requests(&mut controller, now, "v2", 3, false);
    let due = now + ms(18_600);
    assert_eq!(next_phase(&controller, due), None);
    let other = running_rollout(now, 8);
    for peer in 0..4 {
        let report = other.report(due).unwrap();
        controller.on_report(due, peer, &report);
    }
    assert_eq!(next_phase(&controller, due), Some(RolloutPhase::Completed));
}

/// Old servers that aren't listed may come back, so that their absence completes no rollout before
/// it is due.
#[test]
fn unlisted_old_servers_complete_no_rollout_early() {
    let now = Instant::now();
    let controller = running_rollout(now, 1);
    let servers = ServerCounts { new: 5, old: 0 };
    let next_phase = |at: u64| {
        let next = controller.next_record(now + ms(at), "board", servers, 20_000);
        next.map(|record| record.phase)
    };
    for at in [0, 900, 5000, 15_000] {
        assert_eq!(next_phase(at), None, "{at} ms");
    }
    assert_eq!(next_phase(18_600), Some(RolloutPhase::Completed));
}

/// An entry that has just returned can't tell servers that left from those that are still to
/// return, not even when the rollout is due.
#[test]
fn an_entry_that_returns_at_the_end_completes_no_rollout() {
    let (begun, now) = (Instant::now(), Instant::now() + ms(18_000));
    let mut controller = controller(now);
    let stored = record(order("v2", 1), RolloutPhase::Running);
    controller.on_record(now, &stored, Some(begun), true);
    let servers = ServerCounts { new: 5, old: 0 };
    let next = controller.next_record(now + ms(700), "board", servers, 20_000);
    assert_eq!(next, None);
}

/// Versions that a completed rollout replaced serve if no other server is there; one that was
/// rolled back doesn't.
#[test]
fn a_replaced_version_is_the_last_resort() {
    let now = Instant::now();
    let mut controller = controller(now);
    let mut first = record(order("v2", 1), RolloutPhase::RolledBack);
    controller.on_record(now, &first, Some(now), true);
    first = RolloutRecord::new(order("v3", 2), Some(&first));
    first.phase = RolloutPhase::Completed;
    first.bar_replaced(vec!["v1".to_owned(), "v2".to_owned()]);
    controller.on_record(now, &first, Some(now), true);
    let choice = controller.choose(now, "board", false, Some(ms(300)));
    let (first_filter, last_resort) = controller.filters("board", choice);
    let allowed = |filter: VersionFilter<'_>| ["v1", "v2", "v3"].map(|name| filter.allows(name));
    assert_eq!(allowed(first_filter), [false, false, true]);
    let (last_filter, is_last_resort) = last_resort.unwrap();
    assert!(is_last_resort);
    assert_eq!(allowed(last_filter), [true, false, true]);
}

/// A verdict reported by another entry takes effect at once, whatever this entry observed.
#[test]
fn a_reported_verdict_takes_effect() {
    let now = Instant::now();
    let (mut controller, mut other) = (running_rollout(now, 8), running_rollout(now, 8));
    answer_requests(&mut other, now, "v2", 3, true);
    assert!(other.take_verdict());
    let mut report = other.report(now + ms(500)).unwrap();
    report.orders[0].counts.clear();
    controller.on_report(now + ms(500), 3, &report);
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::RolledBack
    );
}

/// A rollout is not completed after its deadline, and its version soon gets no more requests.
#[test]
fn nothing_is_completed_after_the_end() {
    let now = Instant::now();
    let mut controller = running_rollout(now, 1);
    answer_requests(&mut controller, now, "v2", 3, false);
    assert_eq!(
        next_phase(&controller, now + ms(18_600)),
        Some(RolloutPhase::Completed)
    );
    assert_eq!(
        next_phase(&controller, now + ms(20_000)),
        Some(RolloutPhase::RolledBack)
    );
    let fresh = Some(ms(300));
    let soon = controller.choose(now + ms(20_100), "board", false, fresh);
    assert_eq!(
        soon,
        VersionChoice::NewOnly,
        "its completion may be on the way"
    );
    let late = controller.choose(now + ms(22_600), "board", false, fresh);
    assert_eq!(late, VersionChoice::Old);
}

/// A version with too few answers doesn't get all requests.
#[test]
fn an_unproven_version_gets_a_share() {
    let now = Instant::now();
    let mut controller = running_rollout(now, 1);
    let late = now + ms(18_000);
    let mut old = 0;
    for _ in 0..100 {
        let choice = controller.choose(late, "board", false, Some(ms(300)));
        old += usize::from(choice == VersionChoice::Old);
    }
    assert!(old > 60, "{old}");
    answer_requests(&mut controller, now, "v2", 3, false);
    let choice = controller.choose(late, "board", false, Some(ms(300)));
    assert_eq!(choice, VersionChoice::NewOnly);
}

/// A fault on a route with few requests is detected even though the answers of all routes
/// together look good.
#[test]
fn a_fault_on_one_route_is_found() {
    let now = Instant::now();
    let mut controller = running_rollout(now, 1);
    for turn in 0..40 {
        answer_requests(&mut controller, now + ms(100 * turn), "v1", 3, false);
        answer_requests(&mut controller, now + ms(100 * turn), "v2", 3, false);
        answer_requests(&mut controller, now + ms(100 * turn), "v2", 4, false);
    }
    assert_eq!(
        controller.record("board").unwrap().phase,
        RolloutPhase::Running
    );
    let mut failures = 0;
    while controller.record("board").unwrap().phase == RolloutPhase::Running {
        let at = now + ms(5000);
        answer_requests(&mut controller, at, "v2", 3, false);
        answer_requests(&mut controller, at, "v2", 3, false);
        answer_requests(&mut controller, at, "v2", 3, false);
        let send = VersionSend {
            service: "board",
            version: "v2",
            route: 9,
            server: failures,
            is_cold: false,
            expected: ms(400),
        };
        let (token, _) = controller.on_sent(at, &send).unwrap();
        controller.on_outcome(at, token, SendOutcome::Failed);
        failures += 1;
        assert!(failures < 10, "{failures} failures of one route");
    }
}

/// A report fits a datagram regardless of the number of routes, and includes the totals of all
/// routes.
#[test]
fn a_report_fits_a_datagram() {
    let now = Instant::now();
    let mut controller = running_rollout(now, 8);
    for route in 1..=3000 {
        answer_requests(&mut controller, now, "v1", route, false);
    }
    let report = controller.report(now + ms(500)).unwrap();
    let counts = &report.orders[0].counts;
    assert!(counts.len() <= 240, "{}", counts.len());
    let all = counts.iter().find(|(route, ..)| *route == ALL_ROUTES);
    assert_eq!(all.unwrap().3, 60_000);
}

/// Starts a running rollout and lets the new version answer `count` requests well.
fn running(now: Instant, count: u64) -> (RolloutController, Instant) {
    let mut controller = controller(now);
    controller.on_order(now, &order("v2", 5));
    let running = record(order("v2", 5), RolloutPhase::Running);
    controller.on_record(now, &running, Some(now), true);
    for number in 0..count {
        let at = now + ms(50 * number);
        let (token, _) = controller.on_sent(at, &new_send(number)).unwrap();
        controller.check_overdue(at + ms(20));
        controller.on_outcome(at + ms(30), token, SendOutcome::Answered);
    }
    (controller, now + ms(50 * count))
}

fn new_send(number: u64) -> VersionSend<'static> {
    VersionSend {
        service: "board",
        version: "v2",
        route: 7,
        server: number % 4,
        is_cold: false,
        expected: ms(30),
    }
}

/// An entry that stands still for a moment finds all answers late that arrived meanwhile, whatever
/// the version. That is no evidence against the version.
#[test]
fn a_standstill_of_the_entry_ends_no_rollout() {
    for standstill in [200, 500, 3000] {
        for is_checked_first in [true, false] {
            let (mut controller, now) = running(Instant::now(), 100);
            let in_flight: Vec<SendToken> = (0..8)
                .map(|number| controller.on_sent(now, &new_send(number)).unwrap().0)
                .collect();
            controller.check_overdue(now + ms(10));
            let late = now + ms(10 + standstill);
            if is_checked_first {
                controller.check_overdue(late);
            }
            for token in in_flight {
                controller.on_outcome(late, token, SendOutcome::Answered);
            }
            let phase = controller.record("board").unwrap().phase;
            assert_eq!(phase, RolloutPhase::Running, "{standstill} ms");
        }
    }
}

/// Answers that are late while the entry runs are.
#[test]
fn slow_answers_end_a_rollout() {
    let (mut controller, now) = running(Instant::now(), 100);
    let in_flight: Vec<SendToken> = (0..8)
        .map(|number| controller.on_sent(now, &new_send(number)).unwrap().0)
        .collect();
    for after in (0..500).step_by(50) {
        controller.check_overdue(now + ms(after));
    }
    for token in in_flight {
        controller.on_outcome(now + ms(500), token, SendOutcome::Answered);
    }
    let phase = controller.record("board").unwrap().phase;
    assert_eq!(phase, RolloutPhase::RolledBack);
}

/// A record may arrive before its start can be related to this entry's clock. It is learned with
/// the same record later: a rollout whose start stays unknown never advances.
#[test]
fn an_unknown_start_is_learned_later() {
    let now = Instant::now();
    let mut controller = controller(now);
    let running = record(order("v2", 5), RolloutPhase::Running);
    // It receives no counts of others, so that only the start decides.
    controller.set_entries(1, false);
    controller.on_record(now, &running, None, false);
    controller.on_record(now + ms(100), &running, Some(now - ms(19_000)), true);
    assert!(allows(&mut controller, now + ms(200), "v2"));
    assert!(!allows(&mut controller, now + ms(200), "v1"));
}

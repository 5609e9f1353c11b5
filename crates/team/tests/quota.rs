//! Team quotas at one entry.

use std::time::{Duration, Instant};

use team::prelude::{QuotaBounds, QuotaLimiter, QuotaReport, TeamQuota, TeamSpec};

const REPORT_INTERVAL: Duration = Duration::from_millis(80);
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

fn team(name: &str, rate: f64, burst: f64) -> TeamSpec {
    TeamSpec {
        name: name.to_owned(),
        keys: Vec::new(),
        priority: None,
        quota: TeamQuota::new(rate, burst),
        home_regions: Vec::new(),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a limiter that knows the team `red` and has run for a minute without peers.
fn lone_limiter(rate: f64, burst: f64) -> (Instant, QuotaLimiter) {
    let start = Instant::now();
    let mut limiter = QuotaLimiter::new(start, BOUNDS, 1, false);
    limiter.set_teams(start, &[team("red", rate, burst)]);
    (start + Duration::from_secs(60), limiter)
}

fn admitted(limiter: &mut QuotaLimiter, now: Instant, tries: u32) -> u32 {
    let tries = (0..tries).filter(|_| limiter.admit(now, "red").is_ok());
    tries.count() as u32
}

fn receive_report(limiter: &mut QuotaLimiter, now: Instant, peer: u64, run: u64, age: u64) {
    let report = QuotaReport {
        run,
        age,
        ..QuotaReport::default()
    };
    limiter.on_report(now, peer, &report);
}

/// A team gets its burst and its rate, no more; teams without a quota are unlimited.
#[test]
fn a_quota_is_a_rate_and_a_burst() {
    let (now, mut limiter) = lone_limiter(10.0, 30.0);
    assert_eq!(admitted(&mut limiter, now, 100), 30);
    assert_eq!(admitted(&mut limiter, now + ms(2000), 100), 20);
    assert!((0..1000).all(|_| limiter.admit(now, "free").is_ok()));
}

/// A rate far below one request per second without a burst still admits single requests.
#[test]
fn a_small_quota_is_not_none() {
    let (now, mut limiter) = lone_limiter(0.1, 0.0);
    assert_eq!(admitted(&mut limiter, now, 5), 1);
    assert_eq!(admitted(&mut limiter, now + ms(9000), 5), 0);
    assert_eq!(admitted(&mut limiter, now + ms(10_100), 5), 1);
}

/// Requests that did not run are refunded.
#[test]
fn requests_that_did_not_run_are_refunded() {
    let (now, mut limiter) = lone_limiter(1.0, 2.0);
    assert_eq!(admitted(&mut limiter, now, 5), 2);
    limiter.refund(now, "red");
    assert_eq!(admitted(&mut limiter, now, 5), 1);
}

/// Refused callers get increasing retry delays, one for each request that becomes available.
#[test]
fn refused_callers_come_back_one_after_the_other() {
    let (now, mut limiter) = lone_limiter(4.0, 4.0);
    assert_eq!(admitted(&mut limiter, now, 4), 4);
    let waits: Vec<Duration> = (0..4)
        .map(|_| limiter.admit(now, "red").unwrap_err())
        .collect();
    for (turn, wait) in (1..).zip(&waits) {
        let room = ms(250 * turn);
        assert!(*wait >= room && *wait < room + ms(100), "{waits:?}");
    }
    for wait in waits {
        assert!(
            limiter.admit(now + wait + ms(5), "red").is_ok(),
            "after {wait:?}"
        );
    }
}

/// A starting entry must not admit the full burst again that its peers may have used up before.
#[test]
fn a_starting_entry_has_a_low_initial_level() {
    let start = Instant::now();
    let mut limiter = QuotaLimiter::new(start, BOUNDS, 2, true);
    for peer in 1..=8 {
        receive_report(&mut limiter, start, peer, 1, 60_000);
    }
    limiter.set_entries(start, &[1, 2, 3, 4, 5, 6, 7, 8], REPORT_INTERVAL);
    let now = start + ms(100);
    limiter.set_teams(now, &[team("red", 100.0, 100.0)]);
    let first = admitted(&mut limiter, now, 1000);
    assert!((1..=20).contains(&first), "{first}");
}

/// An entry without reports from its peers keeps to its own part. Once they report again it has
/// the whole quota, less what they admitted.
#[test]
fn an_isolated_entry_keeps_to_its_part() {
    let start = Instant::now();
    let mut limiter = QuotaLimiter::new(start, BOUNDS, 1, true);
    limiter.set_teams(start, &[team("red", 90.0, 90.0)]);
    let peers: Vec<u64> = (1..=8).collect();
    limiter.set_entries(start, &peers, REPORT_INTERVAL);
    let mut now = start;
    for _ in 0..50 {
        now += ms(100);
        for peer in &peers {
            receive_report(&mut limiter, now, *peer, 1, 1000);
        }
    }
    now += ms(20_000);
    let lone_limiter = admitted(&mut limiter, now, 1000);
    // A ninth of the burst, and a little of the tolerance for unknown requests.
    assert!((10..=14).contains(&lone_limiter), "{lone_limiter}");
    now += ms(5000);
    for _ in 0..12 {
        now += ms(100);
        for peer in &peers {
            receive_report(&mut limiter, now, *peer, 1, 30_000);
        }
        limiter.report(now);
    }
    let together = admitted(&mut limiter, now, 1000);
    assert!(together >= 90, "{together}");
}

/// No part is reserved for an entry that reported that it stops admitting requests.
#[test]
fn no_part_is_reserved_for_a_stopped_entry() {
    let (mut now, mut limiter) = lone_limiter(100.0, 100.0);
    receive_report(&mut limiter, now, 1, 1, 1000);
    let last = QuotaReport {
        run: 1,
        age: 1080,
        stops: true,
        ..QuotaReport::default()
    };
    limiter.on_report(now + REPORT_INTERVAL, 1, &last);
    now += ms(10_000);
    assert_eq!(admitted(&mut limiter, now, 1000), 100);
}

/// Indexes into another set of teams are ignored, and no count is lost once both entries know
/// the same teams.
#[test]
fn counts_for_other_teams_are_ignored_without_loss() {
    let start = Instant::now();
    let both = [team("blue", 10.0, 10.0), team("red", 10.0, 10.0)];
    let mut ahead = QuotaLimiter::new(start, BOUNDS, 1, false);
    ahead.set_teams(start, &both);
    let mut behind = QuotaLimiter::new(start, BOUNDS, 1, false);
    behind.set_teams(start, &[team("red", 10.0, 10.0)]);
    let now = start + ms(4000);
    receive_report(&mut behind, now, 7, 1, 4000);
    assert_eq!(admitted(&mut ahead, now, 9), 9);
    let report = ahead.report(now);
    behind.on_report(now, 7, &report);
    behind.set_teams(now, &both);
    behind.on_report(
        now + REPORT_INTERVAL,
        7,
        &ahead.report(now + REPORT_INTERVAL),
    );
    assert!(admitted(&mut behind, now + REPORT_INTERVAL, 100) <= 2);
}

/// With a hundred thousand teams, the cost of a request is the same as with one, and a report
/// lists only teams with recent requests.
#[test]
fn cost_does_not_grow_with_idle_teams() {
    let start = Instant::now();
    let teams: Vec<TeamSpec> = (0..100_000)
        .map(|index| team(&format!("team-{index}"), 5.0, 5.0))
        .collect();
    let mut limiter = QuotaLimiter::new(start, BOUNDS, 1, false);
    limiter.set_teams(start, &teams);
    let now = start + ms(10_000);
    for index in 0..40 {
        assert!(limiter.admit(now, &format!("team-{}", index * 7)).is_ok());
    }
    assert_eq!(limiter.report(now).counts.len(), 40);
    assert_eq!(limiter.report(now + ms(1500)).counts.len(), 0);
}

/// Number of requests that `entries` entries admit in the first `span` after all of them start,
/// while a team asks `rate` times a second at each. They learn of each other one after the other.
fn admitted_after_start(entries: u64, rate: f64, quota: (f64, f64), span: u64) -> u32 {
    const REPORT_DELAY: u64 = 60;
    let start = Instant::now();
    let report_interval = ms(REPORT_DELAY);
    let mut limiters: Vec<QuotaLimiter> = (0..entries)
        .map(|entry| {
            let started = start + ms(entry * 3);
            QuotaLimiter::new(started, BOUNDS, 77 + entry * 1_000_003, true)
        })
        .collect();
    let mut count = 0;
    let mut reports: Vec<(u64, u64, QuotaReport)> = Vec::new();
    for at in (0..span).step_by(20) {
        let now = start + ms(at);
        for (entry, limiter) in (0..entries).zip(&mut limiters) {
            if at == 200 {
                limiter.set_teams(now, &[team("red", quota.0, quota.1)]);
            }
            // The own region first, the others later.
            let known = match at {
                300 => 3,
                400 => entries / 3,
                600 => entries,
                _ => 0,
            };
            if known > 0 {
                let others: Vec<u64> = (0..known).filter(|other| *other != entry).collect();
                limiter.set_entries(now, &others, report_interval);
            }
            for (_, from, report) in reports.iter().filter(|(due, ..)| *due == at) {
                if *from != entry && at >= 300 {
                    limiter.on_report(now, *from, report);
                }
            }
            // All entries at the same moments, which is the worst case.
            let asked = |at: u64| (at as f64 * rate / 1000.0) as u64;
            let tries = asked(at).saturating_sub(asked(at.saturating_sub(20)));
            if at >= 200 {
                count += admitted(limiter, now, tries as u32);
            }
        }
        reports.retain(|(due, ..)| *due > at);
        if at.is_multiple_of(REPORT_DELAY) {
            let sent = (0..entries).zip(&mut limiters);
            reports.extend(sent.map(|(entry, limiter)| {
                let now = start + ms(at);
                (at + REPORT_DELAY, entry, limiter.report(now))
            }));
        }
    }
    count
}

/// Checks that what `entries` entries admit in the first `span` after they start, of a team that
/// asks `asked` times a second at each, fits into the quota of 4 a second with a burst of 8.
fn check_start(entries: u64, asked: f64, span: u64) {
    let (rate, burst) = (4.0, 8.0);
    let allowed = (rate * 5.0 + burst) * 1.1 + BOUNDS.slack;
    let admitted = admitted_after_start(entries, asked, (rate, burst), span);
    // What was admitted before and still lies in the window: the burst, and the rate for the rest of
    // the window.
    let before = burst + rate * (5.0 - span as f64 / 1000.0);
    let sum = f64::from(admitted) + before;
    assert!(
        sum <= allowed,
        "{entries}, {asked}, {span} ms: {admitted} and {before}"
    );
}

/// All entries may be killed at once while a team has just used up its quota and burst. What they
/// admit when they start anew must fit into what is tolerated, however many they are and although
/// none knows of the others yet.
#[test]
fn a_quota_holds_when_all_entries_start_at_once() {
    for entries in [2, 8, 24, 60, 100, 400] {
        for asked in [0.8, 1.5] {
            check_start(entries, asked, 1500);
        }
    }
    for entries in [2, 8, 24] {
        check_start(entries, 36.0 / entries as f64, 4000);
        // The first requests come before the entries have met.
        check_start(entries, 3.0, 1500);
        check_start(entries, 4.5, 1500);
    }
}

/// A team that asks at each of many entries at the same moment must not get more than its quota:
/// neither before the entries have met, nor when all of them have run for long.
#[test]
fn a_small_quota_holds_over_many_entries() {
    for entries in [60, 100, 400] {
        check_start(entries, 3.0, 1500);
        check_start(entries, 0.6, 4000);
    }
}

/// A team that asks for less than its quota must be admitted soon after all entries start.
#[test]
fn a_calm_team_is_admitted_soon_after_all_entries_start() {
    for entries in [2, 8, 24] {
        let asked = 60.0 / entries as f64;
        let admitted = admitted_after_start(entries, asked, (90.0, 90.0), 4000);
        assert!(admitted >= 60 * 2, "{entries}: {admitted}");
    }
}

/// Admits requests of a team once the entries have met, of which the first ones get `rates` a second
/// each. All of them report. Returns how many were refused, and how many came.
fn refused_in_steady_state(
    entries: u64,
    rates: &[f64],
    report_interval: Duration,
    quota: (f64, f64),
) -> (u32, u32) {
    const DURATION_MS: u64 = 20_000;
    let start = Instant::now();
    let peers: Vec<u64> = (0..entries).collect();
    let mut limiters: Vec<QuotaLimiter> = peers
        .iter()
        .map(|own| {
            let mut limiter = QuotaLimiter::new(start, BOUNDS, 1000 + own, true);
            limiter.set_teams(
                start,
                &[team("red", quota.0, quota.1), team("other", 1e6, 1e6)],
            );
            let others: Vec<u64> = peers.iter().copied().filter(|peer| peer != own).collect();
            limiter.set_entries(start, &others, report_interval);
            limiter
        })
        .collect();
    let interval_ms = |entry: usize| 1000.0 / rates[entry];
    let mut next_at: Vec<f64> = (0..rates.len())
        .map(|entry| 5000.0 + interval_ms(entry) * (entry as f64 + 0.5) / rates.len() as f64)
        .collect();
    let (mut refused, mut came) = (0, 0);
    for at in 0..DURATION_MS {
        let now = start + ms(at);
        for (entry, due) in next_at.iter_mut().enumerate() {
            if at as f64 >= *due {
                *due += interval_ms(entry);
                came += 1;
                refused += u32::from(limiters[entry].admit(now, "red").is_err());
            }
        }
        // The reports of the entries are spread over the interval.
        let interval = report_interval.as_millis() as u64;
        for sender in peers
            .iter()
            .filter(|sender| (at + **sender * 7) % interval == 0)
        {
            let index = usize::try_from(*sender).unwrap();
            let report = limiters[index].report(now);
            for (receiver, limiter) in limiters.iter_mut().enumerate() {
                if receiver != index {
                    limiter.on_report(now, *sender, &report);
                }
            }
        }
    }
    (refused, came)
}

/// A team within its quota is served, however many entries serve others beside it: those without
/// a request of the team must not count as if they admitted as many as the entry that is asked.
#[test]
fn a_calm_team_at_few_of_many_entries_is_admitted() {
    let even = |count: usize| vec![15.0 / count as f64; count];
    let uneven = vec![5.0, 5.0, 3.3, 1.7];
    let cases = [
        (9, even(9)),
        (24, even(9)),
        (68, even(9)),
        (100, even(9)),
        (68, even(68)),
        (200, even(5)),
        (24, uneven.clone()),
        (68, uneven.clone()),
        (200, uneven),
        (68, vec![15.0]),
    ];
    for (entries, rates) in cases {
        for intervals in [3, 8] {
            let interval = REPORT_INTERVAL * intervals;
            let (refused, came) = refused_in_steady_state(entries, &rates, interval, (24.0, 12.0));
            assert!(
                came > 200 && refused * 100 <= came,
                "{entries} entries that report each {interval:?}, callers at {rates:?}: \
                 {refused} of {came} refused"
            );
        }
    }
}

//! What teams may ask for, over all entries, in virtual time.

use emulate::quota::{
    EqualShares, LeasedShares, QuotaChange, QuotaOutcome, QuotaScenario, SharedCounts,
    simulate_quotas,
};
use team::quota::QuotaLimiter;

/// Share of a calm team's requests within its quota that may be refused.
const CALM_REFUSED: f64 = 0.01;
const HOT: QuotaChange = QuotaChange::Hot {
    team: 0,
    factor: 7.5,
    from: 3.0,
    until: 9.0,
};

fn scenario(entries: usize) -> QuotaScenario {
    let mut scenario = QuotaScenario::new(1, entries, 40, 120.0 * entries as f64);
    scenario.seconds = 14.0;
    scenario
}

fn shared(scenario: &QuotaScenario) -> QuotaOutcome {
    simulate_quotas(scenario, |now, _, run| {
        SharedCounts(QuotaLimiter::new(now, scenario.bounds, run, true))
    })
}

/// Promise: in no window a team gets more than its quota, tolerance included, and a team that
/// asks for its usual is hardly ever refused, however much another asks for.
#[test]
fn a_hot_team_keeps_to_its_quota_and_harms_nobody() {
    for entries in [9, 30, 90] {
        let outcome = shared(&scenario(entries).with(HOT));
        assert!(outcome.worst <= 1.0, "{entries}: {outcome:?}");
        assert!(
            outcome.calm_refused < CALM_REFUSED,
            "{entries}: {outcome:?}"
        );
        // What its quota allows it gets.
        assert!(outcome.hot_served > 0.95, "{entries}: {outcome:?}");
    }
}

/// Promise: quotas hold while a third of the entries hear nobody and are heard by nobody,
/// whenever that begins, and those that hear each other still let in what is left of it.
#[test]
fn quotas_hold_over_entries_that_are_cut_off() {
    for (entries, from) in [(9, 1.0), (9, 5.0), (30, 5.0), (90, 5.0)] {
        let partition = QuotaChange::Partition {
            count: entries / 3,
            from,
            until: 12.0,
        };
        let outcome = shared(&scenario(entries).with(HOT).with(partition));
        assert!(outcome.worst <= 1.0, "{entries}, {from}: {outcome:?}");
        assert!(outcome.hot_served > 0.7, "{entries}, {from}: {outcome:?}");
    }
}

/// Promise: quotas hold where the processes of all entries end and start again, twice, which
/// forget what was let in, and calm teams get on at once.
#[test]
fn quotas_hold_over_a_loss_of_all_entries() {
    for entries in [9, 30, 90] {
        let restart = |at| QuotaChange::Restart { at, downtime: 0.4 };
        let scenario = scenario(entries)
            .with(HOT)
            .with(restart(4.5))
            .with(restart(6.0));
        let outcome = shared(&scenario);
        assert!(outcome.worst <= 1.0, "{entries}: {outcome:?}");
        assert!(
            outcome.calm_refused < CALM_REFUSED,
            "{entries}: {outcome:?}"
        );
    }
}

/// Promise: a quota that is lowered far below what comes binds in time, and callers that all
/// move to one entry lose nothing by it.
#[test]
fn quotas_follow_changes_and_callers() {
    for entries in [9, 30] {
        let lowered_quota = QuotaChange::SetQuota {
            team: 2,
            at: 2.0,
            rate: 4.0,
        };
        let moved_callers = |team| QuotaChange::MoveCallers {
            team,
            at: 4.0,
            to: 1,
        };
        let scenario = scenario(entries)
            .with(lowered_quota)
            .with(moved_callers(0))
            .with(moved_callers(5));
        let outcome = shared(&scenario);
        assert!(outcome.worst <= 1.0, "{entries}: {outcome:?}");
        assert!(
            outcome.calm_refused < CALM_REFUSED,
            "{entries}: {outcome:?}"
        );
    }
}

/// Promise: counts that are told refuse calm teams far less than parts do, equal ones or
/// leased ones.
#[test]
fn told_counts_refuse_less_than_parts() {
    let scenario = scenario(9).with(HOT);
    let equal = simulate_quotas(&scenario, |_, _, _| EqualShares::default());
    let leased = simulate_quotas(&scenario, |_, entry, _| {
        LeasedShares::new(entry as u64 + 1, 1)
    });
    let shared = shared(&scenario);
    assert!(
        shared.calm_refused < 0.2 * equal.calm_refused,
        "{shared:?}, {equal:?}"
    );
    assert!(
        shared.calm_refused < 0.2 * leased.calm_refused,
        "{shared:?}, {leased:?}"
    );
}

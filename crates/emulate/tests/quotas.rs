//! Simulations of quotas that are enforced over all entries.

use emulate::quota::{
    EqualShares, LeasedShares, QuotaChange, QuotaOutcome, QuotaScenario, SharedCounts,
    simulate_quotas,
};
use team::quota::QuotaLimiter;

/// Share of the calm teams' requests within their quotas that may be refused.
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

/// No team may exceed its quota and tolerance in any window, and teams at their usual rate must
/// hardly ever be refused, however much another team requests.
#[test]
fn a_hot_team_keeps_to_its_quota_and_harms_nobody() {
    for entries in [9, 30, 90] {
        let outcome = shared(&scenario(entries).with(HOT));
        assert!(outcome.worst <= 1.0, "{entries}: {outcome:?}");
        assert!(
            outcome.calm_refused < CALM_REFUSED,
            "{entries}: {outcome:?}"
        );
        // The hot team gets what its quota allows.
        assert!(outcome.hot_served > 0.95, "{entries}: {outcome:?}");
    }
}

/// Quotas must hold while a third of the entries are partitioned, whenever that starts, and the
/// connected entries must still admit the rest of the quota.
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

/// Quotas must hold when all entries restart twice and so lose their counts of admitted requests,
/// and calm teams must be admitted again at once.
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

/// A quota that is lowered far below the load must take effect in time, and callers that all move
/// to one entry must not be refused for it.
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

/// Shared counts must refuse calm teams far less often than equal or leased shares do.
#[test]
fn shared_counts_refuse_less_than_shares() {
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

//! Compares quota strategies on the same scenarios.

use emulate::quota::{
    EqualShares, LeasedShares, QuotaChange, QuotaOutcome, QuotaScenario, SharedCounts,
    simulate_quotas,
};
use team::quota::QuotaLimiter;

/// Entries that get requests, in fleets of 12, 64, 300 and 1,000 entries.
const SIZES: [usize; 4] = [8, 9, 30, 100];
/// Number of teams, a few of them large.
const TEAMS: usize = 74;
/// Requests per second and entry.
const RATE: f64 = 220.0;

/// Simulates all scenarios at all sizes with `seeds` seeds, and prints a row for each strategy.
pub(crate) fn run(seeds: u64) {
    println!(
        "{:<9} {:>7} {:>4} {:<7} {:>6} {:>13} {:>11} {:>6} {:>8}",
        "load", "entries", "seed", "way", "worst", "calm-refused", "hot-served", "words", "bytes/s"
    );
    for entries in SIZES {
        for seed in 1..=seeds {
            for (name, scenario) in scenarios(seed, entries) {
                for (strategy, outcome) in run_strategies(&scenario) {
                    print_row(name, entries, seed, strategy, &outcome);
                }
            }
        }
    }
}

fn scenarios(seed: u64, entries: usize) -> [(&'static str, QuotaScenario); 6] {
    let new_scenario = || QuotaScenario::new(seed, entries, TEAMS, RATE * entries as f64);
    let hot = |until| QuotaChange::Hot {
        team: 0,
        factor: 7.5,
        from: 5.0,
        until,
    };
    let partition = QuotaChange::Partition {
        count: entries / 3,
        from: 6.0,
        until: 14.0,
    };
    let restart = |at| QuotaChange::Restart { at, downtime: 0.6 };
    let lowered_quota = |team, rate| QuotaChange::SetQuota {
        team,
        at: 6.0,
        rate,
    };
    let moved_callers = |team| QuotaChange::MoveCallers {
        team,
        at: 8.0,
        to: 1,
    };
    [
        ("calm", new_scenario()),
        ("hot", new_scenario().with(hot(12.0))),
        ("cut", new_scenario().with(hot(12.0)).with(partition)),
        (
            "restart",
            new_scenario()
                .with(hot(18.0))
                .with(restart(9.0))
                .with(restart(11.0)),
        ),
        (
            "lowered",
            new_scenario()
                .with(lowered_quota(0, 40.0))
                .with(lowered_quota(3, 4.0)),
        ),
        (
            "moved",
            new_scenario()
                .with(hot(12.0))
                .with(moved_callers(0))
                .with(moved_callers(1)),
        ),
    ]
}

fn run_strategies(scenario: &QuotaScenario) -> [(&'static str, QuotaOutcome); 3] {
    let shared = simulate_quotas(scenario, |now, _, run| {
        SharedCounts(QuotaLimiter::new(now, scenario.bounds, run, true))
    });
    let equal = simulate_quotas(scenario, |_, _, _| EqualShares::default());
    let leased = simulate_quotas(scenario, |_, entry, _| {
        LeasedShares::new(entry as u64 + 1, 1)
    });
    [("shared", shared), ("equal", equal), ("leased", leased)]
}

fn print_row(name: &str, entries: usize, seed: u64, strategy: &str, outcome: &QuotaOutcome) {
    println!(
        "{name:<9} {entries:>7} {seed:>4} {strategy:<7} {:>6.3} {:>13.4} {:>11.3} {:>6.0} {:>8.0}",
        outcome.worst, outcome.calm_refused, outcome.hot_served, outcome.messages, outcome.bytes
    );
}

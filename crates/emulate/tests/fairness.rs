//! Fairness between teams under overload.

use emulate::{Experiment, PlacerPolicy, TrialReport, WindowReport, run_trial};
use team::spec::{TeamQuota, TeamSpec};

/// Relative request rates: one team sends twice as many requests as the eight others together.
const WEIGHTS: [f64; 9] = [16.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

fn teams() -> Vec<TeamSpec> {
    let teams = 0..WEIGHTS.len();
    teams
        .map(|team| TeamSpec {
            name: format!("team-{team}"),
            keys: Vec::new(),
            priority: None,
            quota: TeamQuota::new(50.0, 50.0),
            home_regions: Vec::new(),
        })
        .collect()
}

fn run(load: f64, seed: u64, has_fairness: bool) -> TrialReport {
    let experiment = Experiment::new(seed, load).with_teams(&WEIGHTS);
    run_trial(
        &experiment,
        |config, desired, servers, entries, peers_in_region| {
            let policy = PlacerPolicy::new(config, desired, servers, entries, peers_in_region);
            if has_fairness {
                policy.with_fairness(&teams())
            } else {
                policy
            }
        },
    )
}

fn worth(report: &TrialReport, teams: std::ops::Range<usize>) -> f64 {
    let mut sum = WindowReport::default();
    for team in &report.teams[teams] {
        sum.asked += team.asked;
        sum.in_time += team.in_time;
        sum.late += team.late;
    }
    sum.worth()
}

/// Mean worth of the large team, of the small ones and of all, over three seeds.
fn mean_worths(load: f64, has_fairness: bool) -> (f64, f64, f64) {
    let mut worths = (0.0, 0.0, 0.0);
    for seed in 1..=3 {
        let report = run(load, seed, has_fairness);
        worths.0 += worth(&report, 0..1) / 3.0;
        worths.1 += worth(&report, 1..9) / 3.0;
        worths.2 += report.total().worth() / 3.0;
    }
    worths
}

/// Under overload, teams that stay within their share must keep much of it, however much one
/// team requests beyond its own, and total worth must not drop. Without ranking, the large team
/// crowds them out.
#[test]
fn one_team_does_not_take_the_room_of_others() {
    for load in [1.2, 1.6] {
        let (_, before, all_before) = mean_worths(load, false);
        let (large, small, all) = mean_worths(load, true);
        assert!(small > before + 0.1, "{load}: {before} -> {small}");
        assert!(all > all_before - 0.005, "{load}: {all_before} -> {all}");
        // The large team must not be starved either.
        assert!(large > 0.25 * all, "{load}: {large} of {all}");
    }
}

/// With enough free slots, a team must not lose anything because it requests much.
#[test]
fn nobody_ranks_lower_where_there_is_room() {
    for load in [0.6, 0.9] {
        let (large_before, _, all_before) = mean_worths(load, false);
        let (large, _, all) = mean_worths(load, true);
        assert!(
            large > large_before - 0.015,
            "{load}: {large_before} -> {large}"
        );
        assert!(all > all_before - 0.005, "{load}: {all_before} -> {all}");
    }
}

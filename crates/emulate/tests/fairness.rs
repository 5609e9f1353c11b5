//! Who goes first where room is short.

use emulate::{Experiment, PlacerPolicy, TrialReport, WindowReport, run_trial};
use team::spec::{TeamQuota, TeamSpec};

/// One team asks for far more than the eight others together.
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

/// Worth of the large team, of the small ones, and of all, over three seeds.
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

/// Promise: where servers have far too little room, teams that ask for no more than their
/// part keep much of it, whatever one team asks for beyond, and that costs all together
/// nothing.
#[test]
fn one_team_does_not_take_the_room_of_others() {
    for load in [1.2, 1.6] {
        let (_, before, all_before) = mean_worths(load, false);
        let (large, small, all) = mean_worths(load, true);
        assert!(small > before + 0.1, "{load}: {before} -> {small}");
        assert!(all > all_before - 0.005, "{load}: {all_before} -> {all}");
        // It isn't starved in turn.
        assert!(large > 0.25 * all, "{load}: {large} of {all}");
    }
}

/// Promise: where servers have room, nobody loses anything for asking for much.
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

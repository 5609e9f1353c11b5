//! Compares the canary schedule that entries use with a linear one, on rollouts of good and bad
//! versions.

use std::path::Path;
use std::time::Duration;

use emulate::rollout::{
    EXPOSURE_SHARE, RolloutFault, RolloutOutcome, RolloutScenario, simulate_rollout,
};
use rollout::prelude::*;
use rollout::schedule::LinearSchedule;

use crate::error::Result;
use crate::plot;

/// Number of steps of the linear schedule.
const STEPS: u32 = 5;
/// Entries that get requests.
const SIZES: [usize; 3] = [3, 12, 40];
/// Requests per second of the service.
const RATE: f64 = 600.0;
const DURATION: Duration = Duration::from_secs(20);

/// Simulates all scenarios with `seeds` seeds, prints a row for each schedule, and plots the
/// shares of the last scenario over time into the file at `path`.
///
/// # Errors
/// Returns an error if the file can't be written.
pub(crate) fn run(seeds: u64, path: Option<&Path>) -> Result<()> {
    println!(
        "{:<12} {:>7} {:>4} {:<6} {:<12} {:>7} {:>9} {:>7} {:>6}",
        "version", "entries", "seed", "steps", "end", "at", "requests", "beyond", "late"
    );
    let mut last = None;
    for entries in SIZES {
        for seed in 1..=seeds {
            for (name, scenario) in scenarios(seed, entries) {
                let canary = simulate_rollout(scenario, CanarySchedule::new(EXPOSURE_SHARE));
                let linear = simulate_rollout(scenario, LinearSchedule { steps: STEPS });
                for (schedule, outcome) in [("late", &canary), ("even", &linear)] {
                    print_row(name, &scenario, schedule, outcome);
                }
                last = Some((linear, canary));
            }
        }
    }
    match (path, last) {
        (Some(path), Some((linear, canary))) => {
            plot::draw_shares(path, &linear.shares, &canary.shares)
        }
        _ => Ok(()),
    }
}

fn scenarios(seed: u64, entries: usize) -> [(&'static str, RolloutScenario); 6] {
    let good = RolloutScenario {
        entries,
        rate: RATE,
        duration: DURATION,
        ..RolloutScenario::new(seed)
    };
    let bad = |fault| RolloutScenario { fault, ..good };
    let fails = bad(RolloutFault::Fails(0.3));
    [
        ("good", good),
        ("fails", fails),
        ("slow", bad(RolloutFault::Slow(0.8, 4.0))),
        (
            "one route",
            RolloutScenario {
                on_one_route: true,
                ..fails
            },
        ),
        (
            "under load",
            RolloutScenario {
                under_load: Some(0.15),
                ..fails
            },
        ),
        (
            "fails late",
            RolloutScenario {
                fault_at: DURATION * 3 / 5,
                ..fails
            },
        ),
    ]
}

fn print_row(name: &str, scenario: &RolloutScenario, schedule: &str, outcome: &RolloutOutcome) {
    let end = outcome.phase.map_or("none", RolloutPhase::as_str);
    let at = outcome.ended.map_or(f64::NAN, |at| at.as_secs_f64());
    let beyond = match scenario.fault {
        // A good version may get any number of requests.
        RolloutFault::None => 0.0,
        _ => outcome.excess().max(0.0),
    };
    println!(
        "{name:<12} {:>7} {:>4} {schedule:<6} {end:<12} {at:>6.1}s {:>9} {beyond:>7.0} {:>6}",
        scenario.entries, scenario.seed, outcome.exposed, outcome.late
    );
}

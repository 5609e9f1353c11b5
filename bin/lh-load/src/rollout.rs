//! Rollouts of good and bad versions, by the schedule that entries use and by equal steps.

use std::path::Path;
use std::time::Duration;

use emulate::rollout::{
    EXPOSURE_SHARE, RolloutFault, RolloutHistory, RolloutOutcome, play_rollout,
};
use rollout::prelude::*;
use rollout::schedule::LinearSchedule;

use crate::error::Result;
use crate::plot;

/// Steps of the schedule with equal ones.
const STEPS: u32 = 5;
/// Entries that get requests.
const SIZES: [usize; 3] = [3, 12, 40];
/// Requests a second of the service.
const RATE: f64 = 600.0;
const DURATION: Duration = Duration::from_secs(20);

/// Plays all histories with `seeds`, prints a row each, and draws the shares over time of the
/// last one into the file at `path`.
///
/// # Errors
/// Where the file can't be written.
pub(crate) fn play(seeds: u64, path: Option<&Path>) -> Result<()> {
    println!(
        "{:<12} {:>7} {:>4} {:<6} {:<12} {:>7} {:>9} {:>7} {:>6}",
        "version", "entries", "seed", "steps", "end", "at", "requests", "beyond", "late"
    );
    let mut last = None;
    for entries in SIZES {
        for seed in 1..=seeds {
            for (name, history) in histories(seed, entries) {
                let late = play_rollout(history, CanarySchedule::new(EXPOSURE_SHARE));
                let even = play_rollout(history, LinearSchedule { steps: STEPS });
                for (way, outcome) in [("late", &late), ("even", &even)] {
                    print_row(name, &history, way, outcome);
                }
                last = Some((even, late));
            }
        }
    }
    match (path, last) {
        (Some(path), Some((even, late))) => plot::draw_shares(path, &even.shares, &late.shares),
        _ => Ok(()),
    }
}

fn histories(seed: u64, entries: usize) -> [(&'static str, RolloutHistory); 6] {
    let good = RolloutHistory {
        entries,
        rate: RATE,
        duration: DURATION,
        ..RolloutHistory::new(seed)
    };
    let bad = |fault| RolloutHistory { fault, ..good };
    let fails = bad(RolloutFault::Fails(0.3));
    [
        ("good", good),
        ("fails", fails),
        ("slow", bad(RolloutFault::Slow(0.8, 4.0))),
        (
            "one route",
            RolloutHistory {
                on_one_route: true,
                ..fails
            },
        ),
        (
            "under load",
            RolloutHistory {
                under_load: Some(0.15),
                ..fails
            },
        ),
        (
            "fails late",
            RolloutHistory {
                fault_at: DURATION * 3 / 5,
                ..fails
            },
        ),
    ]
}

fn print_row(name: &str, history: &RolloutHistory, way: &str, outcome: &RolloutOutcome) {
    let end = outcome.phase.map_or("none", RolloutPhase::as_str);
    let at = outcome.ended.map_or(f64::NAN, |at| at.as_secs_f64());
    let beyond = match history.fault {
        // A good version may get any number.
        RolloutFault::None => 0.0,
        _ => outcome.excess().max(0.0),
    };
    println!(
        "{name:<12} {:>7} {:>4} {way:<6} {end:<12} {at:>6.1}s {:>9} {beyond:>7.0} {:>6}",
        history.entries, history.seed, outcome.exposed, outcome.late
    );
}

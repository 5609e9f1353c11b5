//! Simulates load patterns with the daemon's placement policy and a naive one, quotas and
//! rollouts, and prints the results as tables.

mod cli;
mod error;
mod plot;
mod quota;
mod rollout;

use clap::{Parser, ValueEnum};
use cli::{Arguments, LoadPattern};
use emulate::{
    Experiment, FaultKind, NaivePolicy, PlacerPolicy, ServerFault, TrialReport, run_trial,
};

pub use error::{Error, Result};

/// Parses the command line, runs the simulations and prints a table.
///
/// # Errors
/// Returns an error if the plot can't be written.
pub fn run() -> Result<()> {
    let arguments = Arguments::parse();
    match arguments.pattern {
        Some(LoadPattern::Quota) => {
            quota::run(arguments.seeds);
            return Ok(());
        }
        Some(LoadPattern::Rollout) => {
            return rollout::run(arguments.seeds, arguments.plot.as_deref());
        }
        _ => {}
    }
    println!(
        "{:<10} {:>4} {:<8} {:>6} {:>7} {:>6} {:>7} {:>7} {:>6} {:>6}",
        "pattern",
        "seed",
        "way",
        "worth",
        "in-time",
        "late",
        "refused",
        "failed",
        "misses",
        "shift"
    );
    let patterns = match arguments.pattern {
        Some(pattern) => vec![pattern],
        None => {
            let all = LoadPattern::value_variants().iter().copied();
            let separate = [LoadPattern::Quota, LoadPattern::Rollout];
            all.filter(|pattern| !separate.contains(pattern)).collect()
        }
    };
    for pattern in patterns {
        run_pattern(&arguments, pattern)?;
    }
    Ok(())
}

fn run_pattern(arguments: &Arguments, pattern: LoadPattern) -> Result<()> {
    for seed in 1..=arguments.seeds {
        let experiment = experiment(pattern, seed, arguments.load);
        let naive = run_trial(&experiment, |config, desired, servers, _, _| {
            NaivePolicy::new(&config, desired, servers)
        });
        let placed = run_trial(
            &experiment,
            |config, desired, servers, entries, peers_in_region| {
                PlacerPolicy::new(config, desired, servers, entries, peers_in_region)
            },
        );
        print_row(pattern, seed, "naive", &naive);
        print_row(pattern, seed, "placer", &placed);
        if let Some(path) = &arguments.plot
            && seed == arguments.seeds
        {
            plot::draw(path, &naive, &placed)?;
        }
    }
    Ok(())
}

fn experiment(pattern: LoadPattern, seed: u64, load: f64) -> Experiment {
    let experiment = Experiment::new(seed, load);
    let fault = |count, kind| ServerFault {
        at: 10.0,
        duration: 8.0,
        first_server: 0,
        count,
        kind,
    };
    match pattern {
        LoadPattern::Steady | LoadPattern::Quota | LoadPattern::Rollout => experiment,
        LoadPattern::Burst => experiment.with_load(10.0, 2.0 * load).with_load(14.0, load),
        LoadPattern::Overload => Experiment::new(seed, 1.3),
        LoadPattern::Crash => experiment.with_fault(fault(5, FaultKind::Down)),
        LoadPattern::Slow => experiment.with_fault(fault(3, FaultKind::Slow(5.0))),
        LoadPattern::Shed => experiment.with_fault(fault(3, FaultKind::Shed(0.5))),
        LoadPattern::Rest => experiment.with_fault(fault(3, FaultKind::Rest(3.0))),
        LoadPattern::Leaving => experiment.with_fault(fault(3, FaultKind::Leaving)),
        LoadPattern::Limit => experiment.with_fault(fault(3, FaultKind::Limit(2.0))),
        LoadPattern::Limits => experiment.with_fault(fault(15, FaultKind::Limit(4.0))),
    }
}

fn print_row(pattern: LoadPattern, seed: u64, policy: &str, report: &TrialReport) {
    let total = report.total();
    let asked = f64::from(total.asked.max(1));
    let share = |count: u32| f64::from(count) / asked;
    let name = format!("{pattern:?}").to_lowercase();
    println!(
        "{name:<10} {seed:>4} {policy:<8} {:>6.3} {:>7.3} {:>6.3} {:>7.3} {:>7.3} {:>6.3} {:>6.3}",
        total.worth(),
        share(total.in_time),
        share(total.late),
        share(total.refused),
        share(total.failed),
        report.miss_share(),
        report.largest_shift,
    );
}

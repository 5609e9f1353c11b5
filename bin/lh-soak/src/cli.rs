//! Command-line interface.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use platform_standin::FaultPlan;

use crate::config::SoakConfig;
use crate::error::{Error, Result};
use crate::history::RunHistory;
use crate::{judge, soak};

/// Runs real entries under faults generated from a seed and checks their guarantees.
#[derive(Debug, Parser)]
#[command(name = "lh-soak", version)]
#[command(
    after_help = "Exit codes: 0 all guarantees held, 1 one was violated or the run failed, \
                        2 wrong usage."
)]
struct Arguments {
    /// Seed for the faults and the departures of servers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the run, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Number of entries.
    #[arg(long, default_value_t = 24)]
    entries: usize,
    /// Number of backend servers.
    #[arg(long, default_value_t = 60)]
    servers: usize,
    /// Share of the departed servers for which the store applies an earlier heartbeat late.
    #[arg(long, default_value_t = 0.35, value_name = "SHARE")]
    late_heartbeats: f64,
    /// Cuts entries off from all backend servers at times, in addition to the other faults.
    #[arg(long)]
    partitions: bool,
    /// Lets the store come back from an older copy at times, in addition to the other faults.
    #[arg(long)]
    restorations: bool,
    /// Lets all entries and servers lose power towards the end of the run; no other fault follows.
    #[arg(long)]
    power_losses: bool,
    /// Lets connections of machines that lose power go silent for good instead of resetting them.
    #[arg(long)]
    silent_losses: bool,
    /// Time in milliseconds that the store takes for each answer from the first loss of power on.
    #[arg(long, default_value_t = 0, value_name = "MS")]
    store_delay_ms: u64,
    /// Time in milliseconds that the store works on each call from the first loss of power on, one
    /// call after the other.
    #[arg(long, default_value_t = 0, value_name = "MS")]
    store_work_ms: u64,
    /// Time in milliseconds that a server works on a request.
    #[arg(long, default_value_t = 30, value_name = "MS")]
    service_ms: u64,
    /// Share of a processor that each entry gets, in turns of a tenth of a second.
    #[arg(long, default_value_t = 1.0, value_name = "SHARE")]
    processor_share: f64,
    /// Number of threads that spin to generate CPU load during the run.
    #[arg(long, default_value_t = 0)]
    busy: usize,
    /// Path of the `lh-entry` binary; by default the one next to this program.
    #[arg(long, value_name = "FILE")]
    entry_program: Option<PathBuf>,
    /// Folder for the history and the logs of the entries; by default they are kept in a temporary
    /// folder, and only if a guarantee was violated.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Checks a saved history again instead of starting a run.
    #[arg(long, value_name = "FILE")]
    judge: Option<PathBuf>,
}

impl Arguments {
    fn config(self) -> Result<SoakConfig> {
        let entry_program = match self.entry_program {
            Some(program) => program,
            None => std::env::current_exe()?.with_file_name("lh-entry"),
        };
        let config = SoakConfig {
            seed: self.seed,
            seconds: self.seconds,
            entries: self.entries,
            servers: self.servers,
            late_heartbeats: self.late_heartbeats,
            partitions: self.partitions,
            restorations: self.restorations,
            power_losses: self.power_losses,
            silent_losses: self.silent_losses,
            store_plan: FaultPlan {
                delay_ms: self.store_delay_ms,
                work_ms: self.store_work_ms,
                ..FaultPlan::default()
            },
            service_time: Duration::from_millis(self.service_ms),
            processor_share: self.processor_share,
            busy_threads: self.busy,
            entry_program,
            keep: self.keep,
        };
        config.validate()?;
        Ok(config)
    }
}

/// Parses the command line and runs the program.
///
/// # Errors
/// If the run fails or a guarantee was violated.
pub fn run() -> Result<()> {
    let arguments = Arguments::parse();
    let history = match &arguments.judge {
        Some(path) => RunHistory::read(path)?,
        None => soak::run_soak(&arguments.config()?)?,
    };
    let report = judge::judge(&history);
    println!("{report}");
    match report.violation_count() {
        0 => Ok(()),
        count => Err(Error::GuaranteesViolated(count)),
    }
}

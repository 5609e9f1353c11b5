//! The command line.

use std::path::PathBuf;

use clap::Parser;

use crate::config::SoakConfig;
use crate::error::{Error, Result};
use crate::history::RunHistory;
use crate::{judge, soak};

/// Runs real entries under faults drawn by a seed and checks what they promise.
#[derive(Debug, Parser)]
#[command(name = "lh-soak", version)]
#[command(
    after_help = "Exit codes: 0 every promise held, 1 one was broken or the run failed, \
                        2 wrong usage."
)]
struct Arguments {
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Number of entries.
    #[arg(long, default_value_t = 24)]
    entries: usize,
    /// Number of backend servers.
    #[arg(long, default_value_t = 60)]
    servers: usize,
    /// Part of the servers that leave of which the store performs an older heartbeat late.
    #[arg(long, default_value_t = 0.35, value_name = "SHARE")]
    late_words: f64,
    /// Threads that keep processors busy meanwhile.
    #[arg(long, default_value_t = 0)]
    busy: usize,
    /// The program of an entry; by default the one beside this program.
    #[arg(long, value_name = "FILE")]
    entry_program: Option<PathBuf>,
    /// Where the history and the entries' lines are kept; by default only where a promise
    /// was broken, in a folder of its own.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Judges a kept history again instead of running anything.
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
            late_heartbeats: self.late_words,
            busy_threads: self.busy,
            entry_program,
            keep: self.keep,
        };
        config.validate()?;
        Ok(config)
    }
}

/// Runs the program.
///
/// # Errors
/// Where the run can't be made, or a promise was broken.
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

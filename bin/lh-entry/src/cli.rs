//! The command line.

use std::path::PathBuf;

use clap::Parser;

/// An entry that forwards callers' requests to backend servers.
#[derive(Debug, Parser)]
#[command(name = "lh-entry", version)]
#[command(
    after_help = "Runs until SIGTERM. Exit codes: 0 planned stop, 1 could not run, \
                        2 wrong usage or settings."
)]
pub(crate) struct Arguments {
    /// The settings file (INI).
    #[arg(short, long, env = "LAURELHILL_SETTINGS", value_name = "FILE")]
    pub(crate) settings: PathBuf,
    /// Only check the settings, then exit.
    #[arg(long)]
    pub(crate) check: bool,
}

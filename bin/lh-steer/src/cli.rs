//! The command line.

use std::path::PathBuf;

use clap::Parser;

/// laurelhill: the control side of one instance.
///
/// Reads one INI file and runs until SIGTERM. Exit codes: 0 planned stop, 1 could not
/// run, 2 wrong usage or settings.
#[derive(Debug, Clone, Parser)]
#[command(version, about)]
pub(crate) struct Arguments {
    /// The settings file.
    #[arg(short, long, env = "LAURELHILL_SETTINGS", value_name = "FILE")]
    pub(crate) settings: PathBuf,
    /// Only check the settings.
    #[arg(long)]
    pub(crate) check: bool,
}

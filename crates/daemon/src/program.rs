//! From the command line to the running daemon.

use std::path::PathBuf;

use clap::{CommandFactory, FromArgMatches, Parser};
use conf::LogSettings;

use crate::error::Result;

/// The command line of every daemon; name and description come from the program.
#[derive(Debug, Clone, Parser)]
#[command(version)]
pub struct Arguments {
    /// The settings file.
    #[arg(short, long, env = "LAURELHILL_SETTINGS", value_name = "FILE")]
    pub settings: PathBuf,
    /// Only check the settings.
    #[arg(long)]
    pub check: bool,
}

/// A daemon's own part: its settings and its work.
pub trait DaemonConfig: Sized {
    /// Name of the program.
    const NAME: &'static str;
    /// What the program is, for its help.
    const ABOUT: &'static str;

    /// Reads and checks the settings file.
    ///
    /// # Errors
    /// Where the settings are wrong.
    fn load(arguments: &Arguments) -> Result<Self>;

    /// The log settings.
    fn log(&self) -> &LogSettings;

    /// Works until SIGTERM.
    ///
    /// # Errors
    /// Where an address can't be used.
    fn serve(&self) -> Result<()>;
}

/// Reads the command line and the settings, then works until SIGTERM.
///
/// # Errors
/// Where the settings are wrong or an address can't be used.
pub fn run<C: DaemonConfig>() -> Result<()> {
    let command = Arguments::command().name(C::NAME).about(C::ABOUT);
    let command = command.after_help(
        "Runs until SIGTERM. Exit codes: 0 planned stop, 1 could not run, 2 wrong usage or settings.",
    );
    let matches = command.get_matches();
    let arguments = Arguments::from_arg_matches(&matches).unwrap_or_else(|error| error.exit());
    let config = C::load(&arguments)?;
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return Ok(());
    }
    kernel::start_logs(config.log());
    config.serve()
}

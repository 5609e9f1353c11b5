//! The program as the shell of daemons runs it.

use conf::LogSettings;
use daemon::{Arguments, DaemonConfig, Result};

use crate::app;
use crate::config::Config;

/// The settings with the work that they are for.
pub(crate) struct EntryProgram(Config);

impl DaemonConfig for EntryProgram {
    const NAME: &str = "lh-entry";
    const ABOUT: &str = "laurelhill: the request path of one instance";

    fn load(arguments: &Arguments) -> Result<Self> {
        Config::load(arguments).map(Self)
    }

    fn log(&self) -> &LogSettings {
        &self.0.log
    }

    fn serve(&self) -> Result<()> {
        app::run(&self.0)
    }
}

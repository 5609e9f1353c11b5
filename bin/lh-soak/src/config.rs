//! Configuration of a soak run.

use std::path::PathBuf;
use std::time::Duration;

use crate::error::{Error, Result};

/// Regions of the run. Each has two failure domains.
pub const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Time after the departure of a server from which it must receive no more requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time without faults after which the time bounds apply again.
pub const STABLE_WINDOW: Duration = Duration::from_millis(4000);
/// Largest number of entries. More of them, with their connections, exceed the limits of one
/// machine.
const MAX_ENTRIES: usize = 250;

/// Configuration of a run.
#[derive(Debug, Clone)]
pub struct SoakConfig {
    /// Seed for the faults and the departures of servers.
    pub seed: u64,
    /// Duration of the run, in seconds.
    pub seconds: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of backend servers at the start.
    pub servers: usize,
    /// Share of the departed servers for which the store applies an earlier heartbeat late, 0 to 1.
    pub late_heartbeats: f64,
    /// Number of threads that spin to generate CPU load.
    pub busy_threads: usize,
    /// Path of the `lh-entry` binary.
    pub entry_program: PathBuf,
    /// Folder for the history and the logs of the entries.
    pub keep: Option<PathBuf>,
}

impl SoakConfig {
    /// Validates the configuration.
    ///
    /// # Errors
    /// [`Error::Usage`], which names the option to change.
    pub fn validate(&self) -> Result<()> {
        let domains = REGIONS.len() * 2;
        if self.entries < domains || self.entries > MAX_ENTRIES {
            let text = format!("give {domains} to {MAX_ENTRIES} entries with --entries");
            return Err(Error::Usage(text));
        }
        if self.servers < domains {
            let text = format!("give at least {domains} servers with --servers");
            return Err(Error::Usage(text));
        }
        if !(0.0..=1.0).contains(&self.late_heartbeats) {
            let text = "give a share from 0 to 1 with --late-words";
            return Err(Error::Usage(text.to_owned()));
        }
        if !self.entry_program.exists() {
            let text = format!(
                "no program {}: build it with `cargo build --release -p lh-entry`",
                self.entry_program.display()
            );
            return Err(Error::Usage(text));
        }
        Ok(())
    }
}

/// Assigns a region and a failure domain to the entry or server number `index`.
pub fn region_and_domain(index: usize) -> (&'static str, String) {
    let region = REGIONS[index % REGIONS.len()];
    let side = if (index / REGIONS.len()).is_multiple_of(2) {
        "a"
    } else {
        "b"
    };
    (region, format!("{region}-{side}"))
}

//! What a run is made of.

use std::path::PathBuf;
use std::time::Duration;

use crate::error::{Error, Result};

/// The regions; each has two failure domains.
pub const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Time within which a leaving server must get no more requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time without faults after which bounds hold.
pub const STABLE_WINDOW: Duration = Duration::from_millis(4000);
/// Most entries of a run: with their connections they stay within the limits of one machine.
const MAX_ENTRIES: usize = 250;

/// The settings of a run.
#[derive(Debug, Clone)]
pub struct SoakConfig {
    /// Seed of the faults.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of backend servers at the start.
    pub servers: usize,
    /// Part of the servers that leave of which an older heartbeat is performed late, 0 to 1.
    pub late_heartbeats: f64,
    /// Threads that keep processors busy.
    pub busy_threads: usize,
    /// The program of an entry.
    pub entry_program: PathBuf,
    /// Where the history and the entries' lines are kept.
    pub keep: Option<PathBuf>,
}

impl SoakConfig {
    /// Checks the settings.
    ///
    /// # Errors
    /// [`Error::Usage`] with what to do.
    pub fn validate(&self) -> Result<()> {
        let domains = REGIONS.len() * 2;
        if self.entries < domains || self.entries > MAX_ENTRIES {
            let text = format!("give {domains} to {MAX_ENTRIES} entries with --entries");
            return Err(Error::Usage(text));
        }
        if self.servers < domains {
            let text = format!("give {domains} servers at least with --servers");
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

/// The region and failure domain of the thing with the number `index`.
pub fn region_and_domain(index: usize) -> (&'static str, String) {
    let region = REGIONS[index % REGIONS.len()];
    let side = if (index / REGIONS.len()).is_multiple_of(2) {
        "a"
    } else {
        "b"
    };
    (region, format!("{region}-{side}"))
}

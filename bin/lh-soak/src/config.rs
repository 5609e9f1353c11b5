//! Configuration of a soak run.

use std::path::PathBuf;
use std::time::Duration;

use platform_standin::FaultPlan;

use crate::error::{Error, Result};

/// Regions of the run. Each has two failure domains.
pub const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Time after the departure of a server from which it must receive no more requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time after its acknowledgement from which a desired state is in force.
pub const CONFIG_APPLY: Duration = Duration::from_millis(3000);
/// Time for which an entry may still show an older desired state after a newer one.
pub const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);
/// Time after its revocation from which no entry may accept a key.
pub const REVOKE: Duration = Duration::from_millis(5000);
/// Time after its acknowledgement from which an evacuation is in force.
pub const EVACUATE: Duration = Duration::from_millis(5000);
/// Window over which the requests of a team are summed.
pub const QUOTA_WINDOW: Duration = Duration::from_millis(5000);
/// Largest share of a service's requests that a bad version may get in its rollout.
pub const EXPOSURE_SHARE: f64 = 0.1;
/// Requests that it may get in addition.
pub const EXPOSURE_SLACK: f64 = 50.0;
/// Time after too many bad responses from which a version gets no more requests.
pub const ROLLBACK: Duration = Duration::from_millis(5000);
/// Time for which a server that has lost power is cold after its return.
pub const COLD_WARMUP: Duration = Duration::from_secs(3);
/// Requests that a cold server gets in one second at most: its rate of 7.6 by the factor 1.5, and 8.
pub const COLD_BURST: usize = 19;
/// Time after the return of all machines from which requests are served as before.
pub const RECOVERY: Duration = Duration::from_secs(15);
/// Region in which the route with a home may run.
pub const HOME_REGION: &str = REGIONS[0];
/// Time without faults after which the time bounds apply again.
pub const STABLE_WINDOW: Duration = Duration::from_millis(4000);
/// Largest number of entries. More of them, with their connections, exceed the limits of one
/// machine.
const MAX_ENTRIES: usize = 250;

/// Shortest run in which the recovery from a loss of power can be judged.
const MIN_POWER_LOSS_RUN: Duration = Duration::from_secs(45);

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
    /// Whether entries lose their path to the backend servers.
    pub partitions: bool,
    /// Whether the store comes back from older copies.
    pub restorations: bool,
    /// Whether all entries and servers lose power towards the end.
    pub power_losses: bool,
    /// Whether connections of machines that lose power go silent instead of being reset.
    pub silent_losses: bool,
    /// Faults of the store from the first loss of power on.
    pub store_plan: FaultPlan,
    /// Time that a server works on a request.
    pub service_time: Duration,
    /// Share of a processor that each entry gets, more than 0 and at most 1.
    pub processor_share: f64,
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
        if self.power_losses && Duration::from_secs(self.seconds) < MIN_POWER_LOSS_RUN {
            let seconds = MIN_POWER_LOSS_RUN.as_secs();
            let text = format!("give at least {seconds} seconds with --power-losses");
            return Err(Error::Usage(text));
        }
        if !(0.0..=1.0).contains(&self.late_heartbeats) {
            let text = "give a share from 0 to 1 with --late-heartbeats";
            return Err(Error::Usage(text.to_owned()));
        }
        if !(0.01..=1.0).contains(&self.processor_share) {
            let text = "give a share from 0.01 to 1 with --processor-share";
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

/// Region and failure domain of the server `id`; `None` if it is no id of a server.
pub fn place_of(id: &str) -> Option<(&'static str, String)> {
    Some(region_and_domain(server_index(id)?))
}

/// Id of the server number `index`.
pub fn server_id(index: usize) -> String {
    format!("i-{index:04}")
}

fn server_index(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.parse().ok()
}

//! Settings of the entry, loaded and validated at startup.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use conf::{CheckedSection, SettingsFile, schema};
use hold::budget::HoldBudget;
use place::fleet::advertise;
use place::fleet::list::view_address;
use place::limits::budget::BudgetBounds;
use place::placing::choice::ByteCosts;
use team::access::AccessBounds;
use team::bucket::QuotaBounds;

use crate::error::Result;

/// Limit on the requests that a bad version of a service gets from all entries during a
/// rollout.
#[derive(Debug, Clone, Copy)]
pub struct ExposureBounds {
    /// Maximum share of the service's requests.
    pub share: f64,
    /// Number of requests allowed in addition.
    pub slack: f64,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Region of the instance.
    pub region: String,
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub ready_address: SocketAddr,
    /// Address for callers' look-ups of entries.
    pub lookup_address: SocketAddr,
    /// UDP address for messages of other entries.
    pub peer_address: SocketAddr,
    /// Address where other entries pull this one's state.
    pub view_address: SocketAddr,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// Peer addresses of a few other entries; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of ticketed requests whose results are stored at the same time.
    pub once_records: usize,
    /// Maximum number of requests of one connection that are served at the same time.
    pub pipelined_requests: usize,
    /// Whether connections to far servers are opened ahead of requests.
    pub connections_ahead: bool,
    /// Whether callers that return after a refusal are recognized by promises.
    pub plan_returns: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a draining server must stop getting requests.
    pub drain: Duration,
    /// Timeout for connecting to a server.
    pub connect: Duration,
    /// Limits on retries.
    pub budget: BudgetBounds,
    /// Maximum change of a region's share of requests from one window to the next.
    pub shift_cap: f64,
    /// Whether the callers of each region get like shares of room that is short.
    pub region_shares: bool,
    /// Address from which connections to servers and other entries leave; the machine chooses it if
    /// there is none.
    pub source: Option<IpAddr>,
    /// How precisely teams' quotas are enforced.
    pub quota: QuotaBounds,
    /// Limit on the requests that a bad version gets during a rollout.
    pub exposure: ExposureBounds,
    /// Limits on the age of information on keys.
    pub access: AccessBounds,
    /// Maximum time for which callers may use a look-up's response.
    pub max_lookup_ttl: Duration,
    /// What callers may make the process hold within its memory and descriptors.
    pub hold: HoldBudget,
    /// File descriptor limit of the process.
    pub descriptors: usize,
    /// Cost of sending bytes to other failure domains and regions.
    pub costs: ByteCosts,
    /// Bandwidth of the instance's link, in megabits per second.
    pub link_megabits: f64,
    /// Number of requests per second that the instance can process.
    pub capacity: u32,
    /// Region of each failure domain.
    pub domains: HashMap<String, String>,
}

impl EntryConfig {
    /// Loads and validates the settings file at `path`.
    ///
    /// # Errors
    /// Fails if the file can't be read, or if a setting is missing or invalid.
    pub fn load(path: &Path) -> Result<Self> {
        let file = SettingsFile::load(path, &schema::ENTRY)?;
        let instance = file.section("instance")?;
        let entry = file.section("entry")?;
        let bounds = file.section("bounds")?;
        let ip = instance.ip("address")?;
        let (beats, _) = entry.ports("peer_ports")?;
        let mut domains = HashMap::new();
        for place in file.sections_of("place")? {
            domains.insert(place.names()[0].clone(), place.text("region")?.to_owned());
        }
        Ok(Self {
            instance: instance.text("name")?.to_owned(),
            domain: instance.text("domain")?.to_owned(),
            region: instance.text("region")?.to_owned(),
            caller_address: entry.address("callers")?,
            ready_address: entry.address("ready")?,
            lookup_address: entry.address("lookup")?,
            peer_address: SocketAddr::new(ip, beats),
            view_address: view_address(SocketAddr::new(ip, beats)),
            metrics_address: SocketAddr::new(ip, entry.count("metrics_port")?),
            seeds: seeds(entry, SocketAddr::new(ip, beats))?,
            once_records: entry.count("once_records")?,
            pipelined_requests: entry.count("pipelined_requests")?,
            connections_ahead: entry.text("connections_ahead")? == "yes",
            plan_returns: entry.text("plan_returns")? == "yes",
            region_shares: entry.text("region_shares")? == "yes",
            source: (entry.text("connect_from_address")? == "yes").then_some(ip),
            store: file.section("store")?.address("address")?,
            grace: bounds.duration("grace")?,
            drain: bounds.duration("drain")?,
            connect: bounds.duration("connect")?,
            budget: BudgetBounds {
                ratio: bounds.number("retry_ratio")?,
                slack: bounds.number("retry_slack")?,
                window: bounds.duration("retry_window")?,
            },
            shift_cap: bounds.number("shift_cap")?,
            quota: QuotaBounds {
                window: bounds.duration("quota_window")?,
                excess: bounds.number("quota_excess")?,
                slack: bounds.number("quota_slack")?,
            },
            exposure: ExposureBounds {
                share: bounds.number("exposure_share")?,
                slack: bounds.number("exposure_slack")?,
            },
            access: AccessBounds {
                revoke: revocation_bound(bounds)?,
                learn: bounds.duration("config_apply")?,
            },
            max_lookup_ttl: bounds.duration("lookup_ttl_most")?,
            hold: HoldBudget::new(
                bounds.count::<usize>("memory_mb")? << 20,
                bounds.count("descriptors")?,
            ),
            descriptors: bounds.count("descriptors")?,
            costs: ByteCosts {
                domain: entry.number("domain_kilobyte")?,
                region: entry.number("region_kilobyte")?,
            },
            link_megabits: bounds.number("link_megabits")?,
            capacity: advertise::capacity(
                bounds.number("processor_share")? * bounds.number("processor_speed")?,
                bounds.number("link_megabits")?,
            ),
            domains,
        })
    }
}

/// Returns how long a revoked key may still be served; `None` if an instance without updates
/// keeps serving the keys that it knows.
fn revocation_bound(bounds: &CheckedSection) -> Result<Option<Duration>> {
    let is_limited = bounds.text("revoke_cut_off")? == "true";
    let bound = bounds.duration("revoke")?;
    Ok(is_limited.then_some(bound))
}

/// Returns the seeds with this entry's peer port, which all entries use, except the own address.
fn seeds(entry: &CheckedSection, own: SocketAddr) -> Result<Vec<SocketAddr>> {
    let listed = entry.list("peer_seeds")?;
    let addresses = listed.into_iter().filter_map(|text| text.parse().ok());
    let others = addresses.filter(|address: &SocketAddr| address.ip() != own.ip());
    Ok(others
        .map(|address| SocketAddr::new(address.ip(), own.port()))
        .collect())
}

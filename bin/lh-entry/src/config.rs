//! The settings, built and checked once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use conf::{CheckedSection, SettingsFile, schema};
use place::fleet::advertise;
use place::limits::budget::BudgetBounds;
use place::placing::choice::ByteCosts;
use team::access::AccessBounds;
use team::bucket::QuotaBounds;

use crate::error::Result;

/// What a bad version may get of a service's requests during a rollout, from all entries.
#[derive(Debug, Clone, Copy)]
pub struct ExposureBounds {
    /// Part of them.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

/// All settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// The instance's name.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where readiness is asked for.
    pub ready_address: SocketAddr,
    /// Where callers ask which entries to use.
    pub lookup_address: SocketAddr,
    /// Where the other entries' beats arrive.
    pub peer_address: SocketAddr,
    /// Where other entries read what this one knows.
    pub view_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Beat addresses of a few other entries; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Requests under tickets that are remembered at once.
    pub once_records: usize,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a leaving server must get no more requests.
    pub drain: Duration,
    /// Longest time in which a server accepts a connection.
    pub connect: Duration,
    /// Bounds on repeats.
    pub budget: BudgetBounds,
    /// Largest change of a region's share of requests from one window to the next.
    pub shift_cap: f64,
    /// How exactly teams' quotas are to be kept.
    pub quota: QuotaBounds,
    /// What a bad version may get of a service's requests.
    pub exposure: ExposureBounds,
    /// How old the knowledge of keys may be.
    pub access: AccessBounds,
    /// Longest time for which callers keep an answer.
    pub max_lookup_ttl: Duration,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may use.
    pub descriptors: usize,
    /// What it costs to send bytes to other failure domains and regions.
    pub costs: ByteCosts,
    /// What its link carries, in megabits a second.
    pub link_megabits: f64,
    /// Requests a second that the instance can carry.
    pub capacity: u32,
    /// Each failure domain's region.
    pub domains: HashMap<String, String>,
}

impl EntryConfig {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// Where it can't be read, or a setting is missing or wrong.
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
            view_address: SocketAddr::new(ip, beats + 1),
            metrics_address: SocketAddr::new(ip, entry.count("metrics_port")?),
            seeds: seeds(entry, SocketAddr::new(ip, beats))?,
            once_records: entry.count("once_records")?,
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
                revoke: revoke(bounds)?,
                learn: bounds.duration("config_apply")?,
            },
            max_lookup_ttl: bounds.duration("lookup_ttl_most")?,
            memory_bytes: bounds.count::<usize>("memory_mb")? << 20,
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

/// How long a key that was taken away may be served; `None` where an instance that hears
/// nothing goes on with what it knows.
fn revoke(bounds: &CheckedSection) -> Result<Option<Duration>> {
    let binds = bounds.text("revoke_cut_off")? == "true";
    let bound = bounds.duration("revoke")?;
    Ok(binds.then_some(bound))
}

/// Other entries take beats on the same port as this one.
fn seeds(entry: &CheckedSection, own: SocketAddr) -> Result<Vec<SocketAddr>> {
    let listed = entry.list("peer_seeds")?;
    let addresses = listed.into_iter().filter_map(|text| text.parse().ok());
    let others = addresses.filter(|address: &SocketAddr| address.ip() != own.ip());
    Ok(others
        .map(|address| SocketAddr::new(address.ip(), own.port()))
        .collect())
}

//! The settings, built and checked once.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use place::budget::BudgetBounds;

use crate::error::{Error, Result};

/// Where metrics are served unless set; the deploy file names the same port.
const METRICS_PORT: u16 = 9464;

/// All settings of an entry.
#[derive(Debug, Clone)]
pub struct EdgeConfig {
    /// The instance's name.
    pub node: String,
    /// Its failure domain.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where readiness is asked for.
    pub ready_address: SocketAddr,
    /// Where callers ask which entries to use.
    pub lookup_address: SocketAddr,
    /// Where the other entries' beats arrive.
    pub beat_address: SocketAddr,
    /// Where other entries read what this one knows.
    pub view_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Beat addresses of a few other entries; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Bounds on repeats.
    pub budget: BudgetBounds,
    /// Largest change of a region's share of requests from one window to the next.
    pub shift_cap: f64,
    /// Longest time for which callers keep an answer.
    pub lookup_ttl_most: Duration,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may use.
    pub descriptors: usize,
    /// Each failure domain's region.
    pub zones: HashMap<String, String>,
}

impl EdgeConfig {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// Where it can't be read, or a setting is missing or wrong.
    pub fn load(path: &Path) -> Result<Self> {
        let ini = Ini::load_from_file(path)
            .map_err(|cause| Error::Read(path.display().to_string(), cause))?;
        let entry = Section::new(&ini, "entry");
        let store = Section::new(&ini, "store");
        let bounds = Section::new(&ini, "bounds");
        let ip: IpAddr = entry.parse("address")?;
        let (first_port, last_port) = entry.ports("peer-ports")?;
        if last_port <= first_port {
            return Err(entry.wrong("peer-ports", "two ports are needed, like 7620-7621"));
        }
        let metrics_port = entry.parse_or("metrics-port", METRICS_PORT)?;
        Ok(Self {
            node: entry.text("node")?,
            zone: entry.text("zone")?,
            region: entry.text("region")?,
            caller_address: entry.parse("caller-address")?,
            ready_address: entry.parse("ready-address")?,
            lookup_address: entry.parse("lookup-address")?,
            beat_address: SocketAddr::new(ip, first_port),
            view_address: SocketAddr::new(ip, first_port + 1),
            metrics_address: SocketAddr::new(ip, metrics_port),
            seeds: entry.seeds("peer-seeds", ip, first_port)?,
            store: store.parse("address")?,
            grace: bounds.span("grace")?,
            budget: BudgetBounds {
                ratio: bounds.parse("retry-ratio")?,
                slack: bounds.parse("retry-slack")?,
                window: bounds.span("retry-window")?,
            },
            shift_cap: bounds.parse("shift-cap")?,
            lookup_ttl_most: bounds.span("lookup-ttl-most")?,
            memory_bytes: bounds.parse::<usize>("memory-mb")? << 20,
            descriptors: bounds.parse("descriptors")?,
            zones: regions(&ini),
        })
    }
}

fn regions(ini: &Ini) -> HashMap<String, String> {
    let Some(section) = ini.section(Some("regions")) else {
        return HashMap::new();
    };
    section
        .iter()
        .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
        .collect()
}

struct Section<'a> {
    name: &'static str,
    values: Option<&'a ini::Properties>,
}

impl<'a> Section<'a> {
    fn new(ini: &'a Ini, name: &'static str) -> Self {
        Self {
            name,
            values: ini.section(Some(name)),
        }
    }

    fn wrong(&self, key: &str, why: impl Into<String>) -> Error {
        Error::Setting(self.name, key.to_owned(), why.into())
    }

    fn get(&self, key: &str) -> Option<&'a str> {
        let text = self.values?.get(key)?.trim();
        (!text.is_empty()).then_some(text)
    }

    fn text(&self, key: &str) -> Result<String> {
        let text = self.get(key).ok_or_else(|| self.wrong(key, "is missing"))?;
        Ok(text.to_owned())
    }

    fn parse<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.text(key)?;
        text.parse()
            .map_err(|_| self.wrong(key, format!("{text:?} is not valid here")))
    }

    fn parse_or<T: FromStr>(&self, key: &str, default: T) -> Result<T> {
        if self.get(key).is_none() {
            return Ok(default);
        }
        self.parse(key)
    }

    fn span(&self, key: &str) -> Result<Duration> {
        let text = self.text(key)?;
        platform::span::parse_span(&text)
            .ok_or_else(|| self.wrong(key, format!("{text:?} is no time, like 2.5s or 400ms")))
    }

    fn ports(&self, key: &str) -> Result<(u16, u16)> {
        let text = self.text(key)?;
        let ports = text
            .split_once('-')
            .and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
        ports.ok_or_else(|| self.wrong(key, format!("{text:?} is no range of ports")))
    }

    /// Other entries take beats on the same port as this one.
    fn seeds(&self, key: &str, own: IpAddr, port: u16) -> Result<Vec<SocketAddr>> {
        let mut seeds = Vec::new();
        for text in self.get(key).unwrap_or("").split(',') {
            let text = text.trim();
            if text.is_empty() {
                continue;
            }
            let address: SocketAddr = text
                .parse()
                .map_err(|_| self.wrong(key, format!("{text:?} is no address")))?;
            if address.ip() != own {
                seeds.push(SocketAddr::new(address.ip(), port));
            }
        }
        Ok(seeds)
    }
}

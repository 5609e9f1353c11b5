//! The program's settings as one plain struct.

use std::net::SocketAddr;

use base::prelude::*;
use conf::{LogSettings, ProcessFile, schema};
use daemon::{Arguments, DaemonConfig, Result};

use crate::app;

/// Checked settings of `lh-steer`.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    pub(crate) instance: InstanceId,
    pub(crate) region: RegionId,
    pub(crate) domain: FailureDomainId,
    pub(crate) steer: SocketAddr,
    pub(crate) gossip: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) gossip_period: Duration,
    pub(crate) probe_period: Duration,
    pub(crate) store_period: Duration,
    pub(crate) store_timeout: Duration,
    pub(crate) log: LogSettings,
}

impl DaemonConfig for Config {
    const NAME: &str = "lh-steer";
    const ABOUT: &str = "laurelhill: the control side of one instance";

    fn load(arguments: &Arguments) -> Result<Self> {
        let file = ProcessFile::load(&arguments.settings, &schema::STEER)?;
        let (instance, region, domain) = file.instance()?;
        let steer = file.section("steer")?;
        let peers = steer.list("peers")?;
        Ok(Self {
            instance,
            region,
            domain,
            steer: steer.address("steer")?,
            gossip: steer.address("gossip")?,
            admin: steer.address("admin")?,
            platform: steer.address("platform")?,
            peers: peers
                .iter()
                .filter_map(|address| address.parse().ok())
                .collect(),
            gossip_period: steer.duration("gossip_period")?,
            probe_period: steer.duration("probe_period")?,
            store_period: steer.duration("store_period")?,
            store_timeout: steer.duration("store_timeout")?,
            log: file.log()?,
        })
    }

    fn log(&self) -> &LogSettings {
        &self.log
    }

    fn serve(&self) -> Result<()> {
        app::run(self)
    }
}

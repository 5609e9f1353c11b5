//! The program's settings as one plain struct.

use std::net::SocketAddr;

use base::prelude::*;
use conf::{LogSettings, ProcessFile, schema};
use daemon::{Arguments, Result};
use relay::ServerBounds;

/// Checked settings of `lh-entry`.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    pub(crate) instance: InstanceId,
    pub(crate) region: RegionId,
    pub(crate) lookup: SocketAddr,
    pub(crate) relay: SocketAddr,
    pub(crate) mesh: SocketAddr,
    pub(crate) steer: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) bounds: ServerBounds,
    pub(crate) once_records: usize,
    pub(crate) drain_window: Duration,
    pub(crate) log: LogSettings,
}

impl Config {
    /// Reads and checks the settings file.
    ///
    /// # Errors
    /// Where the settings are wrong.
    pub(crate) fn load(arguments: &Arguments) -> Result<Self> {
        let file = ProcessFile::load(&arguments.settings, &schema::ENTRY)?;
        let (instance, region, _) = file.instance()?;
        let entry = file.section("entry")?;
        Ok(Self {
            instance,
            region,
            lookup: entry.address("lookup")?,
            relay: entry.address("relay")?,
            mesh: entry.address("mesh")?,
            steer: entry.address("steer")?,
            platform: entry.address("platform")?,
            bounds: ServerBounds {
                connections: entry.count("max_connections")?,
                head: usize::try_from(entry.size("max_header")?).unwrap_or(usize::MAX),
                head_time: entry.duration("header_timeout")?,
            },
            once_records: entry.count("once_records")?,
            drain_window: entry.duration("drain_window")?,
            log: file.log()?,
        })
    }
}

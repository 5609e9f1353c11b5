//! What the control side shows.

use base::prelude::*;
use prometheus::{IntGauge, Registry};

use crate::core::SteerCore;
use daemon::{Result, metrics_text};

/// Name and meaning of every metric of lh-steer.
pub const METRICS: [(&str, &str); 4] = [
    (
        "laurelhill_steer_config_version",
        "Version of the configuration in force.",
    ),
    (
        "laurelhill_steer_members",
        "Instances known, the own one included.",
    ),
    (
        "laurelhill_steer_servers_open",
        "Backend servers of the region that take new work.",
    ),
    (
        "laurelhill_steer_may_serve",
        "1 once the configuration is known not to be behind.",
    ),
];

/// The control side's metrics.
#[derive(Debug, Clone)]
pub(crate) struct SteerMetrics {
    registry: Registry,
    gauges: Vec<IntGauge>,
}

impl SteerMetrics {
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let mut gauges = Vec::new();
        for (name, meaning) in METRICS {
            let gauge = IntGauge::new(name, meaning)?;
            registry.register(Box::new(gauge.clone()))?;
            gauges.push(gauge);
        }
        Ok(Self { registry, gauges })
    }

    pub(crate) fn text(&self, core: &SteerCore) -> String {
        let now = Instant::now();
        let state = core.lock();
        let open = state
            .health
            .plan(now)
            .iter()
            .filter(|server| server.open)
            .count();
        let values = [
            state.versions.in_force().number as i64,
            state.members.plan(now).len() as i64,
            open as i64,
            i64::from(state.versions.may_serve(now)),
        ];
        drop(state);
        for (gauge, value) in self.gauges.iter().zip(values) {
            gauge.set(value);
        }
        metrics_text(&self.registry)
    }
}

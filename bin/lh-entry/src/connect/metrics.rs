//! Metrics of connections to servers that are opened ahead of requests.

use prometheus::{IntCounterVec, Opts, Registry};

use crate::error::Result;

/// What became of connections that were to be opened ahead.
#[derive(Debug, Clone, Copy)]
pub(crate) enum AheadResult {
    /// It was established.
    Opened,
    /// It could not be established.
    Failed,
    /// A request used it.
    Used,
    /// It was closed before a request used it.
    Unused,
}

impl AheadResult {
    const ALL: [Self; 4] = [Self::Opened, Self::Failed, Self::Used, Self::Unused];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Failed => "failed",
            Self::Used => "used",
            Self::Unused => "unused",
        }
    }
}

/// The metrics.
#[derive(Debug)]
pub(crate) struct AheadMetrics {
    connections: IntCounterVec,
}

impl AheadMetrics {
    /// Adds the metrics to `registry`.
    ///
    /// # Errors
    /// Fails if a metric is registered twice.
    pub(crate) fn new(registry: &Registry) -> Result<Self> {
        let connections = IntCounterVec::new(
            Opts::new(
                "laurelhill_connections_ahead_total",
                "Connections to far servers opened ahead of requests, by what became of them",
            ),
            &["result"],
        )?;
        registry.register(Box::new(connections.clone()))?;
        for result in AheadResult::ALL {
            connections.with_label_values(&[result.as_str()]);
        }
        Ok(Self { connections })
    }

    /// Counts `count` connections with `result`.
    pub(crate) fn add(&self, result: AheadResult, count: usize) {
        let counter = self.connections.with_label_values(&[result.as_str()]);
        counter.inc_by(count as u64);
    }
}

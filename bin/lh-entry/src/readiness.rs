//! What an entry lacks before it is ready, and how long it took to get it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::Instant;

use prometheus::{GaugeVec, Opts, Registry};

use crate::error::Result;
use crate::state::InstanceState;

/// What an entry must know before it is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Requirement {
    /// A desired state.
    DesiredState,
    /// The servers.
    Servers,
    /// A recent confirmation of the keys.
    Keys,
}

impl Requirement {
    /// All requirements, in the order in which an entry usually gets them.
    pub(crate) const ALL: [Self; 3] = [Self::DesiredState, Self::Servers, Self::Keys];

    /// Name for lines, metrics and the status.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::DesiredState => "desired-state",
            Self::Servers => "servers",
            Self::Keys => "keys",
        }
    }
}

/// Measures when a starting entry gets each requirement for the first time.
#[derive(Debug)]
pub(crate) struct ReadinessMonitor {
    started_at: Instant,
    seconds: GaugeVec,
    pending: RefCell<BTreeSet<Requirement>>,
    is_reported: Cell<bool>,
}

impl ReadinessMonitor {
    /// Registers the metric.
    ///
    /// # Errors
    /// Fails if it is registered twice.
    pub(crate) fn new(registry: &Registry) -> Result<Self> {
        let seconds = GaugeVec::new(
            Opts::new(
                "laurelhill_readiness_seconds",
                "Time from the start until the entry knew what it must know to be ready; 0 before",
            ),
            &["requirement"],
        )?;
        registry.register(Box::new(seconds.clone()))?;
        for requirement in Requirement::ALL {
            seconds.with_label_values(&[requirement.as_str()]);
        }
        Ok(Self {
            started_at: Instant::now(),
            seconds,
            pending: RefCell::new(Requirement::ALL.into()),
            is_reported: Cell::new(false),
        })
    }

    /// Records which requirements are met now.
    pub(crate) fn observe(&self, state: &InstanceState) {
        if self.is_reported.get() {
            return;
        }
        let missing = state.missing_requirements();
        let elapsed = self.started_at.elapsed();
        self.pending.borrow_mut().retain(|requirement| {
            let is_pending = missing.contains(requirement);
            if !is_pending {
                let gauge = self.seconds.with_label_values(&[requirement.as_str()]);
                gauge.set(elapsed.as_secs_f64());
            }
            is_pending
        });
        if missing.is_empty() {
            self.is_reported.set(true);
            let seconds = |requirement: Requirement| {
                self.seconds
                    .with_label_values(&[requirement.as_str()])
                    .get()
            };
            let millis = |requirement| (seconds(requirement) * 1000.0).round() as u64;
            let desired_state_ms = millis(Requirement::DesiredState);
            let (servers_ms, keys_ms) = (millis(Requirement::Servers), millis(Requirement::Keys));
            log::info!(desired_state_ms, servers_ms, keys_ms; "ready for the first time");
        }
    }
}

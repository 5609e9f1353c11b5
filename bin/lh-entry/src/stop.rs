//! The planned stop: leave the look-ups, wait for callers' caches, end what runs.

use std::sync::Arc;

use base::prelude::*;
use kernel::StopTrigger;
use relay::{GateHandle, RelayMetrics, SnapshotCell};

/// Time for the news of leaving to reach every look-up.
const NEWS_TIME: Duration = Duration::from_millis(1500);
/// Time between two looks at whether the gate is idle.
const IDLE_CHECK: Duration = Duration::from_millis(20);
/// Time for the release of the seats to reach the table.
const RELEASE_TIME: Duration = Duration::from_millis(1500);

/// What a planned stop acts on.
pub(crate) struct StopPlan {
    pub(crate) gate: Arc<GateHandle>,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) window: Duration,
    pub(crate) metrics: Arc<RelayMetrics>,
    /// Tells lh-steer that this entry leaves.
    pub(crate) leaving: StopTrigger,
    /// Ends the listener and idle connections.
    pub(crate) closing: StopTrigger,
}

impl StopPlan {
    /// Carries the stop out; returns when nothing is in flight or the window is over.
    pub(crate) async fn carry_out(&self) {
        let began = Instant::now();
        self.leaving.stop();
        let ttl = self.snapshots.get().map_or(Duration::ZERO, |snapshot| {
            snapshot.plan().deployment.lookup_ttl
        });
        let wait = (ttl + NEWS_TIME).min(self.window);
        log::info!(wait_ms = wait.as_millis() as u64; "leaving: waiting for cached look-ups to end");
        tokio::time::sleep(wait).await;
        self.closing.stop();
        while began.elapsed() < self.window {
            self.metrics.show_draining(began.elapsed());
            if self.gate.with_gate(|gate| gate.is_idle()) {
                break;
            }
            tokio::time::sleep(IDLE_CHECK).await;
        }
        self.gate.with_gate(|gate| gate.stop());
        self.release_seats().await;
        let idle = self.gate.with_gate(|gate| gate.is_idle());
        let took = began.elapsed().as_millis() as u64;
        log::info!(took_ms = took, idle = idle; "drained");
    }

    /// Waits until lh-steer has taken the empty seats back, or a short while.
    async fn release_seats(&self) {
        let began = Instant::now();
        while began.elapsed() < RELEASE_TIME {
            if self.gate.with_gate(|gate| gate.seats().is_empty()) {
                return;
            }
            tokio::time::sleep(IDLE_CHECK).await;
        }
    }
}

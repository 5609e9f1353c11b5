//! Checks that bad versions get few requests and are left soon, and that outcomes are final.

use std::collections::HashMap;

use crate::config::{EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK};
use crate::history::millis;
use crate::judge_desired::EntryState;
use crate::rollouts::version_of;

/// Number of bad responses after which a version must be left.
const BAD_RESPONSES: usize = 50;

/// The rollout of a version.
#[derive(Debug, Default)]
struct RolloutRecord {
    is_bad: bool,
    deadline: u64,
    /// Requests that reached the service before the deadline, and those among them that reached
    /// the version from entries without faults.
    requests: usize,
    exposed: usize,
    bad_responses: usize,
    /// When the last of [`BAD_RESPONSES`] bad responses was sent.
    bad_since: Option<u64>,
    state: String,
}

#[derive(Debug, Default)]
pub(crate) struct RolloutJudge {
    rollouts: HashMap<u64, RolloutRecord>,
    sent: HashMap<String, u64>,
}

impl RolloutJudge {
    pub(crate) fn on_ordered(&mut self, at: u64, version: u64, is_bad: bool, duration_ms: u64) {
        let rollout = RolloutRecord {
            is_bad,
            deadline: at + duration_ms,
            ..RolloutRecord::default()
        };
        self.rollouts.insert(version, rollout);
    }

    pub(crate) fn on_sent(&mut self, at: u64, request: &str) {
        self.sent.insert(request.to_owned(), at);
    }

    /// Handles that a server of a bad version responded with a failure while the store was stable.
    pub(crate) fn on_bad_response(&mut self, at: u64, server: &str) {
        let rollout = version_of(server).and_then(|version| self.rollouts.get_mut(&version));
        if let Some(rollout) = rollout {
            rollout.bad_responses += 1;
            if rollout.bad_responses == BAD_RESPONSES {
                rollout.bad_since = Some(at);
            }
        }
    }

    /// Handles a fault of the store: bad responses count anew once it is stable again.
    pub(crate) fn on_store_fault(&mut self) {
        for rollout in self.rollouts.values_mut() {
            rollout.bad_responses = 0;
            rollout.bad_since = None;
        }
    }

    /// Handles that `request` reached `server`. Returns the violation, if there is one.
    pub(crate) fn on_arrived(
        &mut self,
        at: u64,
        server: &str,
        request: &str,
        entry: EntryState,
    ) -> Option<String> {
        let version = version_of(server)?;
        for (to, rollout) in &mut self.rollouts {
            if at < rollout.deadline {
                rollout.requests += 1;
                rollout.exposed += usize::from(entry.is_stable && *to == version);
            }
        }
        let sent_at = *self.sent.get(request)?;
        let rollout = self
            .rollouts
            .get(&version)
            .filter(|rollout| rollout.is_bad)?;
        let left_by = rollout.bad_since? + millis(ROLLBACK) + entry.lag_ms;
        (entry.is_stable && sent_at > left_by).then(|| {
            format!(
                "rollout: {request}, sent at {sent_at} ms, reached {server} of a bad version, which \
                 had to be left at {left_by} ms"
            )
        })
    }

    /// Handles a state of the rollout of `version`. Returns the violation, if there is one.
    pub(crate) fn on_state(&mut self, at: u64, version: u64, state: &str) -> Option<String> {
        let rollout = self.rollouts.entry(version).or_default();
        let before = std::mem::replace(&mut rollout.state, state.to_owned());
        let is_final = !before.is_empty() && before != "running";
        (is_final && before != state).then(|| {
            format!("rollout: the outcome of version {version} changed from {before} to {state} at {at} ms")
        })
    }

    /// Returns the bad versions that got too many requests in all.
    pub(crate) fn exposures(&self) -> impl Iterator<Item = String> {
        let bad = self.rollouts.iter().filter(|(_, rollout)| rollout.is_bad);
        bad.filter_map(|(version, rollout)| {
            let most = rollout.requests as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
            let exposed = rollout.exposed;
            (exposed as f64 > most).then(|| {
                format!("rollout: bad version {version} got {exposed} requests, {most} are allowed")
            })
        })
    }
}

//! Checks that service comes back after a loss of power.
//!
//! - **Recovery.** Of the requests of a kind that are sent [`RECOVERY`] after all machines are
//!   back, at least [`MIN_RELATIVE_SERVICE`] of the share before the loss is served.
//! - **Cold.** No cold server ends because it got more requests than it bears.

use std::collections::BTreeMap;

use crate::callers;
use crate::config::RECOVERY;
use crate::history::millis;
use crate::served_count::ServedCount;

/// Smallest share of the service before the loss.
const MIN_RELATIVE_SERVICE: f64 = 0.9;
/// Smallest number of requests of a kind from which its share is judged.
const MIN_REQUESTS: usize = 50;

/// Phase of a run relative to its losses of power.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum PowerPhase {
    #[default]
    Before,
    Lost,
    /// All machines have been back since this time.
    Back(u64),
}

/// Counts the requests of each kind before the loss of power and after the recovery.
#[derive(Debug, Default)]
pub(crate) struct RecoveryJudge {
    phase: PowerPhase,
    before: BTreeMap<&'static str, ServedCount>,
    after: BTreeMap<&'static str, ServedCount>,
    /// By seconds since the return.
    seconds: BTreeMap<u64, ServedCount>,
}

impl RecoveryJudge {
    /// Handles that the power was lost, or that all machines are back.
    pub(crate) fn on_power(&mut self, at: u64, is_back: bool) {
        self.phase = if is_back {
            PowerPhase::Back(at)
        } else {
            PowerPhase::Lost
        };
        self.after.clear();
        self.seconds.clear();
    }

    /// Handles the end of a request; `is_served` tells whether it was answered with success.
    pub(crate) fn on_ended(&mut self, at: u64, request: &str, is_served: bool) {
        let Some(kind) = kind_of(request) else {
            return;
        };
        match self.phase {
            PowerPhase::Before => self.before.entry(kind).or_default().add(is_served),
            PowerPhase::Lost => {}
            PowerPhase::Back(since) => {
                let passed = at.saturating_sub(since);
                self.seconds
                    .entry(passed / 1000)
                    .or_default()
                    .add(is_served);
                if passed >= millis(RECOVERY) {
                    self.after.entry(kind).or_default().add(is_served);
                }
            }
        }
    }

    /// Returns the violations.
    pub(crate) fn violations(&self) -> Vec<String> {
        if self.phase == PowerPhase::Before {
            return Vec::new();
        }
        let judged = self.before.iter();
        let judged = judged.filter(|(_, before)| before.requests >= MIN_REQUESTS);
        let mut violations = Vec::new();
        for (kind, before) in judged {
            let after = self.after.get(kind).copied().unwrap_or_default();
            if after.share() < MIN_RELATIVE_SERVICE * before.share() {
                violations.push(format!(
                    "recovery: {} of {} requests of kind {kind} served {} s after the return, {} of {} before",
                    after.served,
                    after.requests,
                    RECOVERY.as_secs(),
                    before.served,
                    before.requests,
                ));
            }
        }
        violations
    }

    /// Percentage of the requests that were served in each second since the return.
    pub(crate) fn served_percent(&self) -> Vec<u32> {
        let shares = self.seconds.values();
        shares
            .map(|count| (100.0 * count.share()).round() as u32)
            .collect()
    }
}

/// Kind of a request that should be served; `None` for others.
fn kind_of(request: &str) -> Option<&'static str> {
    let (_, rest) = request.split_once('-')?;
    let (first, _) = rest.split_once('-')?;
    match first {
        "lift" => Some("lift"),
        "team" => Some("team"),
        "probe" if rest.ends_with("-home") => Some("home"),
        "probe" | "pipeline" => None,
        _ if callers::is_at_most_once(request) => Some("desk"),
        _ => Some("board"),
    }
}

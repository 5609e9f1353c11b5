//! Checks that desired states come into force in time and never back.

use std::collections::HashMap;

use crate::config::{CONFIG_APPLY, DOWNGRADE_SLACK, REVOKE};
use crate::history::millis;
use crate::probes::Probe;

/// Factor by which a faulty entry may take longer to leave an older desired state for good.
const FAULTY_SLACK_FACTOR: u64 = 8;
/// Number of steps after which a route or key is dropped again.
const STEPS_VALID: u64 = 2;
/// Status codes of a route and of a key that the entry doesn't know.
const STATUS_UNKNOWN_ROUTE: u16 = 404;
const STATUS_UNKNOWN_KEY: u16 = 401;

/// The entry that a request was sent to, when the request ran or was answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryState {
    /// Entry number and run number.
    pub(crate) run: (usize, u32),
    /// Whether neither the entry nor the store has had a fault lately.
    pub(crate) is_stable: bool,
    /// Since when the store has been stable.
    pub(crate) store_stable_since: u64,
    /// The largest delay of the soak process itself.
    pub(crate) lag_ms: u64,
}

#[derive(Debug, Default)]
pub(crate) struct DesiredJudge {
    /// When the store acknowledged each desired state.
    acknowledged: HashMap<u64, u64>,
    sent: HashMap<String, u64>,
    /// The newest step that each run of an entry has shown to apply, and when it did first.
    seen: HashMap<(usize, u32), (u64, u64)>,
}

impl DesiredJudge {
    pub(crate) fn on_desired(&mut self, at: u64, step: u64) {
        self.acknowledged.insert(step, at);
    }

    pub(crate) fn on_sent(&mut self, at: u64, request: &str) {
        self.sent.insert(request.to_owned(), at);
    }

    /// Handles that `request` ran at a server. Returns the violation, if there is one.
    pub(crate) fn on_ran(&mut self, at: u64, request: &str, entry: EntryState) -> Option<String> {
        let (step, is_route) = match Probe::of_request(request)? {
            Probe::Route(step) => (step, true),
            Probe::Key(step) => (step, false),
            _ => return None,
        };
        let sent_at = *self.sent.get(request)?;
        let violation = self.obsolete_violation(sent_at, request, step, entry);
        let seen = self.seen.entry(entry.run).or_insert((step, at));
        if step > seen.0 {
            *seen = (step, at);
        }
        violation.filter(|_| is_route)
    }

    /// Handles the answer to `request`. Returns the violation, if there is one.
    pub(crate) fn on_answered(
        &mut self,
        request: &str,
        status: u16,
        entry: EntryState,
    ) -> Option<String> {
        let probe = Probe::of_request(request)?;
        let sent_at = self.sent.remove(request)?;
        let step = match (probe, status) {
            (Probe::Route(step), STATUS_UNKNOWN_ROUTE) | (Probe::Key(step), STATUS_UNKNOWN_KEY) => {
                step
            }
            _ => return None,
        };
        if self.acknowledged.contains_key(&(step + STEPS_VALID)) {
            return None;
        }
        let since = self.in_force_at(step, entry)?;
        let what = format!("desired: {request}, sent at {sent_at} ms, was answered {status}");
        if entry.is_stable && sent_at > since {
            return Some(format!("{what}; it had to be in force at {since} ms"));
        }
        let (seen, seen_at) = *self.seen.get(&entry.run)?;
        let is_back = seen >= step && sent_at > seen_at + downgrade_slack(entry);
        is_back.then(|| format!("{what}, after step {seen} was in force at {seen_at} ms"))
    }

    /// Returns the violation if `request` ran with a key that had been revoked. That holds for all
    /// entries, whatever their faults.
    pub(crate) fn check_key(&self, request: &str) -> Option<String> {
        let Probe::Key(step) = Probe::of_request(request)? else {
            return None;
        };
        let sent_at = *self.sent.get(request)?;
        let revoked_at = *self.acknowledged.get(&(step + STEPS_VALID))?;
        let is_late = sent_at > revoked_at + millis(REVOKE);
        is_late.then(|| {
            format!(
                "key: {request}, sent at {sent_at} ms, ran; the key was revoked at {revoked_at} ms"
            )
        })
    }

    /// Returns the violation if `request` ran although its route had been dropped.
    fn obsolete_violation(
        &self,
        sent_at: u64,
        request: &str,
        step: u64,
        entry: EntryState,
    ) -> Option<String> {
        let dropped_by = step + STEPS_VALID;
        let what = format!("{request}, sent at {sent_at} ms, ran");
        let since = self.in_force_at(dropped_by, entry)?;
        if entry.is_stable && sent_at > since {
            return Some(format!(
                "desired: {what}; the route had to be gone at {since} ms"
            ));
        }
        let (seen, seen_at) = *self.seen.get(&entry.run)?;
        let is_back = seen >= dropped_by && sent_at > seen_at + downgrade_slack(entry);
        is_back.then(|| format!("desired: {what}, after step {seen} was in force at {seen_at} ms"))
    }

    /// When `step` must be in force at an entry without faults.
    fn in_force_at(&self, step: u64, entry: EntryState) -> Option<u64> {
        let acknowledged_at = *self.acknowledged.get(&step)?;
        let since = acknowledged_at.max(entry.store_stable_since);
        Some(since + millis(CONFIG_APPLY) + entry.lag_ms)
    }
}

fn downgrade_slack(entry: EntryState) -> u64 {
    let slack = millis(DOWNGRADE_SLACK) + entry.lag_ms;
    if entry.is_stable {
        slack
    } else {
        slack * FAULTY_SLACK_FACTOR
    }
}

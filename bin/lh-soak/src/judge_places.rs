//! Checks where requests run: homes, evacuations, and the quota of a team over all entries.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::config::{EVACUATE, HOME_REGION, QUOTA_WINDOW, place_of};
use crate::history::millis;
use crate::judge_desired::EntryState;
use crate::operator::{QUOTA_BURST, QUOTA_RATE};
use crate::probes::Probe;

/// Share by which a team may exceed its quota in a window, and requests in addition.
const QUOTA_EXCESS: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

#[derive(Debug, Default)]
pub(crate) struct PlaceJudge {
    /// When the evacuation of each domain in force was acknowledged.
    evacuated: HashMap<String, u64>,
    /// When requests of the team with a quota ran within the window.
    quota_runs: VecDeque<u64>,
    /// Requests of that team that ran.
    counted: HashSet<String>,
}

impl PlaceJudge {
    pub(crate) fn on_evacuation(&mut self, at: u64, domain: &str, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated.insert(domain.to_owned(), at);
        } else {
            self.evacuated.remove(domain);
        }
    }

    /// Returns the violation if `request` must not run in the region of `server`.
    pub(crate) fn check_home(&self, at: u64, server: &str, request: &str) -> Option<String> {
        let (region, _) = place_of(server)?;
        let is_homed = Probe::of_request(request) == Some(Probe::Home);
        (is_homed && region != HOME_REGION)
            .then(|| format!("home: {request} ran at {at} ms at {server} in {region}"))
    }

    /// Returns the violation if `server` got a request although its domain is evacuated.
    pub(crate) fn check_evacuated(
        &self,
        at: u64,
        server: &str,
        request: &str,
        entry: EntryState,
    ) -> Option<String> {
        let (_, domain) = place_of(server)?;
        let acknowledged_at = *self.evacuated.get(&domain)?;
        let since = acknowledged_at.max(entry.store_stable_since);
        let is_late = entry.is_stable && at > since + millis(EVACUATE) + entry.lag_ms;
        is_late.then(|| {
            format!(
                "evacuation: {request} reached {server} at {at} ms; {domain} was evacuated at \
                 {acknowledged_at} ms"
            )
        })
    }

    /// Returns the violation if the team with a quota got more than that in a window.
    pub(crate) fn check_quota(&mut self, at: u64, request: &str) -> Option<String> {
        let is_limited = Probe::of_request(request) == Some(Probe::Quota);
        if !is_limited || !self.counted.insert(request.to_owned()) {
            return None;
        }
        self.quota_runs.push_back(at);
        let window = millis(QUOTA_WINDOW);
        self.quota_runs.retain(|run_at| *run_at + window > at);
        let quota = QUOTA_RATE * QUOTA_WINDOW.as_secs_f64() + QUOTA_BURST;
        let most = quota * (1.0 + QUOTA_EXCESS) + QUOTA_SLACK;
        let count = self.quota_runs.len();
        (count as f64 > most).then(|| {
            format!(
                "quota: {count} requests ran in the {window} ms up to {at} ms, {most} are allowed"
            )
        })
    }
}

//! Result of checking a history.

use std::collections::BTreeMap;
use std::fmt;

/// Largest number of violations that are printed in full.
const MAX_PRINTED_VIOLATIONS: usize = 12;

/// Result of checking a history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests that reached servers.
    pub arrivals: usize,
    /// Number of servers that left.
    pub servers_left: usize,
    /// Number of faults by name.
    pub faults: BTreeMap<String, usize>,
    /// Violations of **Drain**: late requests by entries without faults.
    pub drain_violations: Vec<String>,
    /// Violations of **Return**: servers that an entry took in again, or sent requests to, after it
    /// had logged their departure.
    pub readmissions: Vec<String>,
    /// Violations of **Once**: requests that were executed twice or in spite of a refusal, or got
    /// the wrong response.
    pub once_violations: Vec<String>,
    /// Violations of **Leaving**: late requests to servers that had said in a response through the
    /// entry that they leave.
    pub leaving_violations: Vec<String>,
    /// Violations of **Rest**.
    pub rest_violations: Vec<String>,
    /// Violations of **Limit**.
    pub limit_violations: Vec<String>,
    /// Violations of **Desired**.
    pub desired_violations: Vec<String>,
    /// Violations of **Key**.
    pub key_violations: Vec<String>,
    /// Violations of **Evacuation**.
    pub evacuation_violations: Vec<String>,
    /// Violations of **Home**.
    pub home_violations: Vec<String>,
    /// Violations of **Order**.
    pub order_violations: Vec<String>,
    /// Violations of **Quota**.
    pub quota_violations: Vec<String>,
    /// Violations of **Path**.
    pub path_violations: Vec<String>,
    /// Violations of **Rollout**.
    pub rollout_violations: Vec<String>,
    /// Violations of **Recovery**.
    pub recovery_violations: Vec<String>,
    /// Violations of **Cold**.
    pub cold_violations: Vec<String>,
    /// Percentage of the requests that were served in each second since the return of power; empty
    /// if it wasn't lost.
    pub served_percent: Vec<u32>,
    /// Requests that servers with limits got, in percent of what the limits allowed.
    pub limits_used_percent: u32,
    /// Late requests to servers that the store lists with an earlier heartbeat, and whose departure
    /// was seen by no process that still runs.
    pub forgotten: usize,
    /// Number of late requests while the entry or the store was faulty, and their largest delay in
    /// milliseconds. No guarantee applies to them.
    pub late_under_faults: (usize, u64),
    /// Number of responses with status 200, and of all others.
    pub responses: (usize, usize),
}

impl SoakReport {
    /// Number of violations.
    pub fn violation_count(&self) -> usize {
        self.violations().count()
    }

    fn violations(&self) -> impl Iterator<Item = &String> {
        let kinds = [
            &self.drain_violations,
            &self.readmissions,
            &self.once_violations,
            &self.leaving_violations,
            &self.rest_violations,
            &self.limit_violations,
            &self.desired_violations,
            &self.key_violations,
            &self.evacuation_violations,
            &self.home_violations,
            &self.order_violations,
            &self.quota_violations,
            &self.rollout_violations,
            &self.path_violations,
            &self.recovery_violations,
            &self.cold_violations,
        ];
        kinds.into_iter().flatten()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(k, v)| format!("{k} {v}"))
            .collect();
        write!(
            f,
            "seed {}: {} arrivals, {} servers left, answers {} good {} other, faults [{}]; \
             drain {}, returned {}, once {}, leaving {}, rest {}, limit {} (used {} %), desired {}, key {}, evacuation {}, home {}, order {}, quota {}, rollout {}, path {}, recovery {}, cold {}, \
             forgotten by all {}, late under faults {} (latest {} ms)",
            self.seed,
            self.arrivals,
            self.servers_left,
            self.responses.0,
            self.responses.1,
            faults.join(", "),
            self.drain_violations.len(),
            self.readmissions.len(),
            self.once_violations.len(),
            self.leaving_violations.len(),
            self.rest_violations.len(),
            self.limit_violations.len(),
            self.limits_used_percent,
            self.desired_violations.len(),
            self.key_violations.len(),
            self.evacuation_violations.len(),
            self.home_violations.len(),
            self.order_violations.len(),
            self.quota_violations.len(),
            self.rollout_violations.len(),
            self.path_violations.len(),
            self.recovery_violations.len(),
            self.cold_violations.len(),
            self.forgotten,
            self.late_under_faults.0,
            self.late_under_faults.1,
        )?;
        if !self.served_percent.is_empty() {
            write!(
                f,
                "\n  served by seconds after the return, in %: {:?}",
                self.served_percent
            )?;
        }
        for violation in self.violations().take(MAX_PRINTED_VIOLATIONS) {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

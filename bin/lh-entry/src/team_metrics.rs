//! Metrics of teams: requests with a bounded number of series, and the entries that share quotas.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

use crate::error::Result;

/// Number of teams with series of their own, in the order of their first requests. More would
/// cost memory in each entry and in the system that scrapes the metrics.
const MAX_TEAM_SERIES: usize = 100;
/// Label of all other teams.
const OTHER_TEAMS: &str = "(others)";
/// Label of requests without a team.
const NO_TEAM: &str = "";

/// Request counters by team.
#[derive(Debug)]
pub(crate) struct TeamMetrics {
    requests: IntCounterVec,
    labeled_teams: RefCell<HashSet<String>>,
    quota_entries: IntGaugeVec,
    /// Number of silent entries that share the quotas, as last logged.
    logged_silent: Cell<usize>,
}

impl TeamMetrics {
    /// Registers the counters.
    ///
    /// # Errors
    /// Fails if a counter is registered twice.
    pub(crate) fn new(registry: &Registry) -> Result<Self> {
        let requests = IntCounterVec::new(
            Opts::new(
                "laurelhill_team_requests_total",
                "Requests by team and outcome; beyond a hundred teams together",
            ),
            &["team", "outcome"],
        )?;
        let quota_entries = IntGaugeVec::new(
            Opts::new(
                "laurelhill_quota_entries",
                "Entries that share the quotas, and those of them whose parts are reserved because they are silent",
            ),
            &["state"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(quota_entries.clone()))?;
        for state in ["all", "silent"] {
            quota_entries.with_label_values(&[state]);
        }
        Ok(Self {
            requests,
            labeled_teams: RefCell::default(),
            quota_entries,
            logged_silent: Cell::default(),
        })
    }

    /// Records the outcome of a request of `team`, or of a public route that needs no team.
    pub(crate) fn on_request(&self, team: Option<&str>, outcome: &str) {
        let name = team.map_or(NO_TEAM, |team| self.team_label(team));
        self.requests.with_label_values(&[name, outcome]).inc();
    }

    /// Sets how many entries share the quotas, and how many of these are silent. Logs changes of
    /// the latter.
    pub(crate) fn set_quota_entries(&self, entries: usize, silent: usize) {
        for (state, count) in [("all", entries), ("silent", silent)] {
            let gauge = self.quota_entries.with_label_values(&[state]);
            gauge.set(count as i64);
        }
        if self.logged_silent.replace(silent) != silent {
            log::info!(entries, silent; "parts of quotas reserved for silent entries");
        }
    }

    fn team_label<'a>(&self, team: &'a str) -> &'a str {
        let mut labeled_teams = self.labeled_teams.borrow_mut();
        if labeled_teams.contains(team) {
            return team;
        }
        if labeled_teams.len() >= MAX_TEAM_SERIES {
            return OTHER_TEAMS;
        }
        labeled_teams.insert(team.to_owned());
        team
    }
}

//! Request metrics by team, with a bounded number of series.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus::{IntCounterVec, Opts, Registry};

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
        registry.register(Box::new(requests.clone()))?;
        Ok(Self {
            requests,
            labeled_teams: RefCell::default(),
        })
    }

    /// Records the outcome of a request of `team`, or of a public route that needs no team.
    pub(crate) fn on_request(&self, team: Option<&str>, outcome: &str) {
        let name = team.map_or(NO_TEAM, |team| self.team_label(team));
        self.requests.with_label_values(&[name, outcome]).inc();
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

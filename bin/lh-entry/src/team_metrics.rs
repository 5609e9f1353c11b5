//! What each team asked for and got: series for a bounded number of teams.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus::{IntCounterVec, Opts, Registry};

use crate::error::Result;

/// Teams with series of their own: more would cost memory at each entry and at whatever
/// reads the metrics. The first that ask have them.
const MAX_TEAM_SERIES: usize = 100;
/// Stands for all other teams.
const OTHER_TEAMS: &str = "(others)";
/// Stands for requests of no team.
const NO_TEAM: &str = "";

/// Counters by team.
#[derive(Debug)]
pub(crate) struct TeamMetrics {
    requests: IntCounterVec,
    labeled_teams: RefCell<HashSet<String>>,
}

impl TeamMetrics {
    /// Registers the counters.
    ///
    /// # Errors
    /// Where one is registered twice.
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

    /// A request of `team`, or of a public route that asks for none, ended with `outcome`.
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

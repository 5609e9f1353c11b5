//! The door: whose request it is, and on which terms it enters.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use place::desired::{DesiredState, RouteSpec};
use team::access::{Access, KeyClaim};
use team::regions::allowed_regions;
use team::spec::TeamSpec;

use crate::problem::Problem;
use crate::state::InstanceState;

/// When a caller comes back whose key may have been added or taken away meanwhile: to
/// another entry, or to this one once it has heard.
const UNHEARD_RETURN: Duration = Duration::from_millis(300);
/// When a caller comes back that no region may serve: operators have to mend that.
const NO_HOME_RETURN: Duration = Duration::from_secs(10);
/// Pairs of teams and routes without a common home that are named in the log.
const APART_SHOWN: usize = 8;

/// On which terms a request enters.
#[derive(Debug, Clone)]
pub(crate) struct RequestTerms {
    /// The team whose request it is.
    pub(crate) team: Option<Rc<TeamSpec>>,
    /// Its rank.
    pub(crate) priority: u32,
    /// Regions that may serve it; empty allows all.
    pub(crate) homes: Vec<String>,
}

impl RequestTerms {
    /// The terms of a request of `team` on `route`; `None` where no region may serve it.
    pub(crate) fn new(route: &RouteSpec, team: Option<Rc<TeamSpec>>) -> Option<Self> {
        let (priority, homes) = match &team {
            None => (route.priority, route.home_regions.clone()),
            Some(team) => {
                let homes = allowed_regions(&route.home_regions, &team.home_regions)?;
                (team.priority.unwrap_or(route.priority), homes.into_owned())
            }
        };
        Some(Self {
            team,
            priority,
            homes,
        })
    }

    /// Whether an entry in the region `from` may pass the request to one in `to`: its body
    /// stays in its homes.
    pub(crate) fn may_pass(&self, from: &str, to: &str) -> bool {
        let is_home = self.homes.is_empty() || self.homes.iter().any(|home| home == to);
        from == to || is_home
    }

    /// The team's name.
    pub(crate) fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| team.name.as_str())
    }
}

/// The terms on which a request with `claim` enters on `route`.
///
/// # Errors
/// The answer, where it doesn't.
pub(crate) fn admit(
    state: &InstanceState,
    route: &RouteSpec,
    claim: KeyClaim,
) -> Result<RequestTerms, Problem> {
    let teams = Rc::clone(&state.teams.borrow());
    let access = state.config.access;
    let team = match access.decide(&teams, claim, route.is_public, state.proof_age()) {
        Access::Open => None,
        Access::Team(team) => Some(team),
        Access::Denied => return Err(denied(claim)),
        Access::Unsure => return Err(unheard("key-unheard")),
        Access::Stale => return Err(unheard("keys-stale")),
    };
    let mut terms = RequestTerms::new(route, team).ok_or_else(no_home)?;
    if let Some(team) = terms.team_name() {
        admit_team(state, team)?;
        let steps = state.fairness.borrow_mut().on_request(Instant::now(), team);
        terms.priority += steps;
    }
    Ok(terms)
}

/// Lets a request of `team` in, if that doesn't ask for too much.
fn admit_team(state: &InstanceState, team: &str) -> Result<(), Problem> {
    let now = Instant::now();
    let mut quota = state.quota.borrow_mut();
    let was_used = quota.has_changes();
    let admitted = quota.admit(now, team);
    if !was_used && !state.fleet.is_listed() {
        state.load_reports.wake.notify_one();
    }
    state.metrics.on_limit("quota", admitted.is_ok());
    admitted.map_err(|after| {
        let detail = "the team asks for more than its quota";
        Problem::new(StatusCode::TOO_MANY_REQUESTS, "quota", detail).with_return(after)
    })
}

fn denied(claim: KeyClaim) -> Problem {
    let (kind, detail) = match claim {
        KeyClaim::None => ("key-missing", "this service asks for a key"),
        KeyClaim::Malformed => ("key-malformed", "the key can't be read"),
        KeyClaim::Key(_) => ("key-unknown", "no team holds this key"),
    };
    Problem::new(StatusCode::UNAUTHORIZED, kind, detail)
}

fn unheard(kind: &'static str) -> Problem {
    let detail = "this entry hasn't heard lately which keys hold; ask another, or come back";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, kind, detail).with_return(UNHEARD_RETURN)
}

fn no_home() -> Problem {
    let detail = "no region may serve both the team and the service";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no-home", detail).with_return(NO_HOME_RETURN)
}

/// Tells operators which teams and routes of `desired` no region may serve together, unless
/// `told` says that they were told; returns what to know as told from now on.
pub(crate) fn check_homes(desired: &DesiredState, told: &str) -> String {
    let mut apart = Vec::new();
    for team in &desired.teams {
        for route in &desired.routes {
            if allowed_regions(&route.home_regions, &team.home_regions).is_none() {
                apart.push(format!("{} on {}", team.name, route.name));
            }
        }
    }
    let count = apart.len();
    apart.truncate(APART_SHOWN);
    let pairs = apart.join(", ");
    if count > 0 && pairs != told {
        log::error!(version = desired.version, count, pairs = pairs.as_str(); "teams and routes without a common home region; their requests are refused");
    }
    pairs
}

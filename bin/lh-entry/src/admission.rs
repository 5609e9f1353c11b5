//! Admission control: determines the team of a request and whether it may be served.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use place::desired::{DesiredState, RouteSpec};
use team::access::{Access, KeyClaim};
use team::regions::allowed_regions;
use team::spec::TeamSpec;

use crate::problem::Problem;
use crate::state::InstanceState;

/// Retry time for a caller whose key can't be checked because this entry's settings are too old.
/// The caller may retry at another entry, or here after the settings have been refreshed.
const STALE_KEYS_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry time for a request that no region may serve; an operator must correct the settings.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Maximum number of pairs of team and route without a common home region listed in a log line.
const MAX_LOGGED_CONFLICTS: usize = 8;

/// The rules that apply to an admitted request.
#[derive(Debug, Clone)]
pub(crate) struct RequestPolicy {
    /// The team that sent the request, if any.
    pub(crate) team: Option<Rc<TeamSpec>>,
    /// Priority of the request; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Regions that may serve the request; empty allows all.
    pub(crate) home_regions: Vec<String>,
}

impl RequestPolicy {
    /// Returns the policy for a request of `team` on `route`; `None` if no region may serve it.
    pub(crate) fn new(route: &RouteSpec, team: Option<Rc<TeamSpec>>) -> Option<Self> {
        let (priority, home_regions) = match &team {
            None => (route.priority, route.home_regions.clone()),
            Some(team) => {
                let home_regions = allowed_regions(&route.home_regions, &team.home_regions)?;
                (
                    team.priority.unwrap_or(route.priority),
                    home_regions.into_owned(),
                )
            }
        };
        Some(Self {
            team,
            priority,
            home_regions,
        })
    }

    /// Whether an entry in the region `from` may forward the request to an entry in `to`. The
    /// body of a request must not leave its home regions.
    pub(crate) fn may_forward(&self, from: &str, to: &str) -> bool {
        let is_home =
            self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == to);
        from == to || is_home
    }

    /// Returns the name of the team.
    pub(crate) fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| team.name.as_str())
    }
}

/// Admits a request on `route` that presents `claim`, and returns its policy.
///
/// # Errors
/// Returns the problem to respond with if the request is not admitted.
pub(crate) fn admit(
    state: &InstanceState,
    route: &RouteSpec,
    claim: KeyClaim,
) -> Result<RequestPolicy, Problem> {
    let teams = Rc::clone(&state.teams.borrow());
    let access = state.config.access;
    let team = match access.decide(&teams, claim, route.is_public, state.proof_age()) {
        Access::Open => None,
        Access::Team(team) => Some(team),
        Access::Denied => return Err(unauthorized(claim)),
        Access::Unsure => return Err(stale_keys("key-unheard")),
        Access::Stale => return Err(stale_keys("keys-stale")),
    };
    let mut policy = RequestPolicy::new(route, team).ok_or_else(no_common_region)?;
    if let Some(team) = policy.team_name() {
        charge_quota(state, team)?;
        let penalty = state.fairness.borrow_mut().on_request(Instant::now(), team);
        policy.priority += penalty;
    }
    Ok(policy)
}

/// Charges a request to the quota of `team`, or returns a 429 problem if it is used up.
fn charge_quota(state: &InstanceState, team: &str) -> Result<(), Problem> {
    let now = Instant::now();
    let mut quota = state.quota.borrow_mut();
    let had_changes = quota.has_changes();
    let admitted = quota.admit(now, team);
    if !had_changes && !state.fleet.is_listed() {
        state.load_reports.wake.notify_one();
    }
    state.metrics.on_limit("quota", admitted.is_ok());
    admitted.map_err(|after| {
        let detail = "the team asks for more than its quota";
        Problem::new(StatusCode::TOO_MANY_REQUESTS, "quota", detail).with_retry_after(after)
    })
}

fn unauthorized(claim: KeyClaim) -> Problem {
    let (kind, detail) = match claim {
        KeyClaim::None => ("key-missing", "this service asks for a key"),
        KeyClaim::Malformed => ("key-malformed", "the key can't be read"),
        KeyClaim::Key(_) => ("key-unknown", "no team holds this key"),
    };
    Problem::new(StatusCode::UNAUTHORIZED, kind, detail)
}

fn stale_keys(kind: &'static str) -> Problem {
    let detail = "this entry hasn't heard lately which keys hold; ask another, or come back";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, kind, detail)
        .with_retry_after(STALE_KEYS_RETRY_AFTER)
}

fn no_common_region() -> Problem {
    let detail = "no region may serve both the team and the service";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no-home", detail)
        .with_retry_after(NO_REGION_RETRY_AFTER)
}

/// Logs the pairs of team and route in `desired` that have no common home region, unless they
/// are the ones in `last_logged`. Returns the pairs, as the next call's `last_logged`.
pub(crate) fn log_region_conflicts(desired: &DesiredState, last_logged: &str) -> String {
    let mut conflicts = Vec::new();
    for team in &desired.teams {
        for route in &desired.routes {
            if allowed_regions(&route.home_regions, &team.home_regions).is_none() {
                conflicts.push(format!("{} on {}", team.name, route.name));
            }
        }
    }
    let count = conflicts.len();
    conflicts.truncate(MAX_LOGGED_CONFLICTS);
    let pairs = conflicts.join(", ");
    if count > 0 && pairs != last_logged {
        log::error!(version = desired.version, count, pairs = pairs.as_str(); "teams and routes without a common home region; their requests are refused");
    }
    pairs
}

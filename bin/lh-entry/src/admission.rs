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
const STALE_KEYS_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When a caller comes back that no region may serve: operators have to mend that.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Pairs of teams and routes without a common home that are named in the log.
const MAX_LOGGED_CONFLICTS: usize = 8;

/// On which terms a request enters.
#[derive(Debug, Clone)]
pub(crate) struct RequestPolicy {
    /// The team whose request it is.
    pub(crate) team: Option<Rc<TeamSpec>>,
    /// Its rank.
    pub(crate) priority: u32,
    /// Regions that may serve it; empty allows all.
    pub(crate) home_regions: Vec<String>,
}

impl RequestPolicy {
    /// The terms of a request of `team` on `route`; `None` where no region may serve it.
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

    /// Whether an entry in the region `from` may pass the request to one in `to`: its body
    /// stays in its home_regions.
    pub(crate) fn may_forward(&self, from: &str, to: &str) -> bool {
        let is_home =
            self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == to);
        from == to || is_home
    }

    /// The team's name.
    pub(crate) fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| team.name.as_str())
    }
}

/// The terms on which a request with `key_claim` enters on `route`.
///
/// # Errors
/// The answer, where it doesn't.
pub(crate) fn admit(
    state: &InstanceState,
    route: &RouteSpec,
    key_claim: KeyClaim,
) -> Result<RequestPolicy, Problem> {
    let teams = Rc::clone(&state.teams.borrow());
    let access = state.config.access;
    let team = match access.decide(&teams, key_claim, route.is_public, state.knowledge_age()) {
        Access::Open => None,
        Access::Team(team) => Some(team),
        Access::Denied => return Err(unauthorized(key_claim)),
        Access::Unsure => return Err(stale_keys("key-unheard")),
        Access::Stale => return Err(stale_keys("keys-stale")),
    };
    let mut policy = RequestPolicy::new(route, team).ok_or_else(no_common_region)?;
    if let Some(team) = policy.team_name() {
        charge_quota(state, team)?;
        let penalty = state.shares.borrow_mut().on_request(Instant::now(), team);
        policy.priority += penalty;
    }
    Ok(policy)
}

/// Lets a request of `team` in, if that doesn't ask for too much.
fn charge_quota(state: &InstanceState, team: &str) -> Result<(), Problem> {
    let now = Instant::now();
    let mut quota = state.quota.borrow_mut();
    let had_changes = quota.has_changes();
    let admitted = quota.admit(now, team);
    if !had_changes && !state.fleet.is_listed() {
        state.words.wake.notify_one();
    }
    state.metrics.on_limit("quota", admitted.is_ok());
    admitted.map_err(|after| {
        let detail = "the team asks for more than its quota";
        Problem::new(StatusCode::TOO_MANY_REQUESTS, "quota", detail).with_retry_after(after)
    })
}

fn unauthorized(key_claim: KeyClaim) -> Problem {
    let (kind, detail) = match key_claim {
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

/// Tells operators which teams and routes of `desired` no region may serve together, unless
/// `last_logged` says that they were told; returns what to know as told from now on.
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

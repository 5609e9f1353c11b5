//! Status of this entry for operators, as JSON.

use std::collections::BTreeMap;
use std::time::Instant;

use place::catalog::ServerCondition;
use place::fleet::store_progress::StoreProgress;
use place::prelude::RequestPlacer;
use place::server::ServerRecord;
use rollout::order::RolloutRecord;
use serde::Serialize;

use crate::operator::refusals::RefusalStatus;
use crate::readiness::Requirement;
use crate::state::InstanceState;

/// Path of the request.
pub(crate) const STATUS_PATH: &str = "/v1/status";

#[derive(Serialize)]
struct StatusAnswer<'a> {
    instance: &'a str,
    region: &'a str,
    domain: &'a str,
    version: u64,
    ready: bool,
    /// What this entry has to know before it is ready.
    waits_for: Vec<&'static str>,
    stopping: bool,
    in_flight: usize,
    /// Live entries, this one included.
    instances: u32,
    /// Whether this entry is a lead of its region (the reader or the deputy).
    leads: bool,
    evacuated: Vec<String>,
    /// How much of the store's history this entry acts on.
    positions: PositionStatus,
    rollouts: Vec<RolloutStatus>,
    /// Fingerprints of quarantined requests, which crash servers and are refused.
    quarantined: Vec<String>,
    /// Age of the latest read of the server registry; -1 before the first.
    registry_age_ms: i64,
    /// Maximum age of the store's confirmation of the known keys; -1 if unknown.
    keys_age_ms: i64,
    /// Maximum such age at which requests with keys are served; absent if unlimited.
    #[serde(skip_serializing_if = "Option::is_none")]
    revoke_ms: Option<u64>,
    /// Whether requests with keys are served now.
    serves_keys: bool,
    teams: usize,
    services: Vec<ServiceStatus>,
    /// Refusals that go on, of the requested service's routes if one is requested.
    refusals: Vec<RefusalStatus>,
    /// Servers of the requested service.
    #[serde(skip_serializing_if = "Option::is_none")]
    servers: Option<Vec<ServerStatus>>,
}

/// Positions in the store's history, as `ERA:VERSION`. Entries whose positions differ for longer
/// than a change takes to spread act on different states.
#[derive(Serialize)]
struct PositionStatus {
    /// The newest change of the operator's rows that is applied.
    operator: String,
    /// The newest change of the records of rollouts that is applied.
    rollouts: String,
    /// The position from which this entry's feed of the operator's rows continues.
    operator_read: String,
    /// The latest read of the server registry.
    registry_read: String,
}

impl PositionStatus {
    fn new(known: &StoreProgress) -> Self {
        Self {
            operator: known.operator.to_string(),
            rollouts: known.rollouts.to_string(),
            operator_read: known.operator_read.to_string(),
            registry_read: known.registry_read.to_string(),
        }
    }
}

#[derive(Serialize)]
struct RolloutStatus {
    service: String,
    version: String,
    phase: &'static str,
    /// Current share of new requests that go to the version.
    share: f64,
    /// Versions that get no requests.
    barred: Vec<String>,
}

#[derive(Serialize, Default)]
struct ServiceStatus {
    service: String,
    servers: usize,
    /// Number of servers that may get requests now.
    open: usize,
    slots: u32,
    /// Estimated number of free slots.
    free: f64,
}

#[derive(Serialize)]
struct ServerStatus {
    server: String,
    address: String,
    domain: String,
    state: &'static str,
    slots: u32,
    in_flight: u32,
    occupancy: f64,
    failure_rate: f64,
    speed: f64,
    /// Requests per second that the server takes from all entries together, if it names a limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    rate_limit: Option<f64>,
}

fn rollouts(now: Instant, state: &InstanceState) -> Vec<RolloutStatus> {
    let controller = state.rollouts.controller();
    let status = |record: &RolloutRecord| RolloutStatus {
        service: record.order.service.clone(),
        version: record.order.version.clone(),
        phase: record.phase.as_str(),
        share: controller.share(now, &record.order.service),
        barred: record.excluded_versions(),
    };
    controller.records().map(status).collect()
}

/// Returns the status document, with the servers of `service` if one is requested.
pub(crate) fn answer_status(state: &InstanceState, service: Option<&str>) -> String {
    let now = Instant::now();
    let placer = state.placer.borrow();
    let catalog = &placer.catalog;
    let mut services: BTreeMap<&str, ServiceStatus> = BTreeMap::new();
    for record in catalog.iter() {
        let status = services.entry(&record.entry.service).or_default();
        status.servers += 1;
        status.open += usize::from(placer.condition(now, record) == ServerCondition::Open);
        status.slots += record.entry.slots;
        status.free += (f64::from(record.entry.slots) - record.occupancy(now)).max(0.0);
    }
    let services = services.into_iter().map(|(name, status)| ServiceStatus {
        service: name.to_owned(),
        ..status
    });
    let servers = service.map(|service| {
        let known = catalog
            .iter()
            .filter(|record| record.entry.service == service);
        known
            .map(|record| server_status(now, &placer, record))
            .collect()
    });
    let answer = StatusAnswer {
        instance: &state.config.instance,
        region: &state.config.region,
        domain: &state.config.domain,
        version: state.version(),
        ready: state.is_ready(),
        waits_for: state
            .missing_requirements()
            .into_iter()
            .map(Requirement::as_str)
            .collect(),
        stopping: state.is_stopping(),
        in_flight: state.in_flight.get(),
        instances: state
            .fleet
            .with_regions(|now, regions| regions.live_entries(now)),
        leads: state.fleet.leads(),
        quarantined: state
            .fleet
            .quarantined()
            .iter()
            .map(ToString::to_string)
            .collect(),
        evacuated: state.evacuated.borrow().iter().cloned().collect(),
        positions: PositionStatus::new(&state.fleet.known()),
        rollouts: rollouts(now, state),
        registry_age_ms: catalog
            .read_at()
            .map_or(-1, |at| at.elapsed().as_millis() as i64),
        keys_age_ms: state.proof_age().map_or(-1, |age| age.as_millis() as i64),
        revoke_ms: state.proof_within().map(|span| span.as_millis() as u64),
        serves_keys: state.serves_keys(),
        teams: state.teams.borrow().teams().len(),
        services: services.collect(),
        refusals: refusals(now, state, service),
        servers,
    };
    serde_json::to_string(&answer).unwrap_or_else(|error| {
        log::error!(error:%; "can't encode the status");
        String::new()
    })
}

fn refusals(now: Instant, state: &InstanceState, service: Option<&str>) -> Vec<RefusalStatus> {
    let routes = state.routes.borrow();
    let refusals = state.refusals.borrow();
    let Some(service) = service else {
        return refusals.current(now, |_| true);
    };
    let serving = routes.iter().filter(|route| {
        let mut parts = route.parts.iter();
        parts.any(|part| part.service == service)
    });
    let names: Vec<&str> = serving.map(|route| route.name.as_str()).collect();
    refusals.current(now, |route| names.contains(&route))
}

fn server_status(now: Instant, placer: &RequestPlacer, record: &ServerRecord) -> ServerStatus {
    ServerStatus {
        server: record.entry.id.clone(),
        address: record.entry.address.to_string(),
        domain: record.entry.domain.clone(),
        state: placer.condition(now, record).as_str(),
        slots: record.entry.slots,
        in_flight: record.in_flight,
        occupancy: record.occupancy(now),
        failure_rate: record.failure_rate(now),
        speed: record.speed(now),
        rate_limit: placer.statements().limit(record.hash),
    }
}

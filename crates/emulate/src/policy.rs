//! Placement policies of an entry: the one of the daemon, and a naive one as a baseline.

use std::time::{Duration, Instant};

use place::catalog::{CatalogSnapshot, ServerHandle};
use place::desired::{DesiredState, RouteSpec};
use place::overdue::OverdueChange;
use place::overdue::message::OverdueReport;
use place::placing::load::LoadReport;
use place::prelude::*;
use place::rank::stable_hash;
use place::statement::ServerStatement;
use place::statement::message::StatementReport;
use team::fairness::FairnessRanker;
use team::spec::TeamSpec;

/// The naive policy sends nothing to servers whose requests reach this multiple of their slots.
const NAIVE_MAX_OCCUPANCY: f64 = 1.0;
/// Delay after which the naive policy asks refused callers to retry.
const NAIVE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The result of placing a request.
#[derive(Debug)]
pub enum PolicyChoice {
    /// Send the request to the server of this placement.
    Send(Box<Placement>),
    /// Refuse the request; the caller may retry after this time.
    Refuse(Duration),
}

/// A request that arrives at an entry.
#[derive(Debug, Clone, Copy)]
pub struct PolicyRequest<'a> {
    /// The object that the request is for.
    pub object: u64,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Whether the request was not refused before.
    pub is_first_try: bool,
    /// The caller's team.
    pub team: &'a str,
}

/// The placement decisions of one entry.
pub trait EntryPolicy {
    /// Places a request.
    fn place(&mut self, now: Instant, request: &PolicyRequest<'_>) -> PolicyChoice;

    /// Records the outcome of a placement.
    fn on_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        object: u64,
        outcome: ServerOutcome,
        report: Option<&ServerReport>,
    );

    /// The load update with the entry's own requests at servers.
    fn load_update(&mut self, now: Instant) -> LoadReport;

    /// Records the load update of another entry.
    fn on_load_update(&mut self, now: Instant, entry: u64, update: LoadReport);

    /// Records what the answer to a placed request says of its server.
    fn on_statement(&mut self, _: Instant, _: &Placement, _: &ServerStatement) {}

    /// What the other entries must be told of servers; with `is_urgent` only what they must be
    /// told at once.
    fn statement_report(&mut self, _: Instant, _is_urgent: bool) -> StatementReport {
        StatementReport::default()
    }

    /// Records what another entry reports of servers.
    fn on_statement_report(&mut self, _: Instant, _entry: u64, _: &StatementReport) {}

    /// What the other entries of the region must be told of overdue requests.
    fn overdue_report(&mut self, _: Instant) -> OverdueReport {
        OverdueReport::default()
    }

    /// Records what another entry of the region reports of overdue requests.
    fn on_overdue_report(&mut self, _: Instant, _entry: u64, _: &OverdueReport) {}

    /// Takes the ids of the servers that were left since the last call because they were silent.
    fn take_left_servers(&mut self) -> Vec<String> {
        Vec::new()
    }
}

/// The policy of the daemon.
#[derive(Debug)]
pub struct PlacerPolicy {
    placer: RequestPlacer,
    route: RouteSpec,
    /// Ranks teams; `None` if all have the same rank.
    fairness: Option<FairnessRanker>,
}

/// The baseline policy: the least busy server by the entry's own count, never beyond its
/// slots. It ignores objects and the load of other entries.
#[derive(Debug)]
pub struct NaivePolicy {
    catalog: ServerCatalog,
    service: String,
    region: String,
}

impl PlacerPolicy {
    /// Creates the policy of an entry that knows `servers` and the hashes of all `entries`, of
    /// which `peers_in_region` others are in its region.
    pub fn new(
        config: PlacerConfig,
        desired: &DesiredState,
        servers: &CatalogSnapshot,
        entries: &[u64],
        peers_in_region: usize,
    ) -> Self {
        let mut placer = RequestPlacer::new(config);
        placer.set_desired(desired);
        placer.set_entries(entries.to_vec(), peers_in_region);
        placer.catalog.apply_snapshot(servers.started_at, servers);
        Self {
            placer,
            route: desired.routes[0].clone(),
            fairness: None,
        }
    }

    /// Leaves servers that leave requests unanswered.
    #[must_use]
    pub fn with_overdue_servers(mut self) -> Self {
        self.placer = self.placer.with_overdue_servers(true);
        self
    }

    /// Ranks teams that request more than their share behind others.
    #[must_use]
    pub fn with_fairness(mut self, teams: &[TeamSpec]) -> Self {
        let mut fairness = FairnessRanker::default();
        fairness.set_teams(teams);
        self.fairness = Some(fairness);
        self
    }
}

impl EntryPolicy for PlacerPolicy {
    fn place(&mut self, now: Instant, policy_request: &PolicyRequest<'_>) -> PolicyChoice {
        let object = stable_hash(&policy_request.object.to_le_bytes());
        let remaining = policy_request.remaining;
        self.placer
            .on_request(now, &self.route, Some(object), Some(remaining));
        let fairness = self.fairness.as_mut();
        let priority_steps =
            fairness.map_or(0, |fairness| fairness.on_request(now, policy_request.team));
        let request = PlacementRequest {
            priority: self.route.priority + priority_steps,
            resubmitted: !policy_request.is_first_try,
            ..PlacementRequest::new(&self.route, 0)
                .with_object(Some(object))
                .with_remaining(remaining.min(self.route.timeout.unwrap_or(remaining)))
        };
        match self.placer.place(now, &request) {
            Ok(mut placement) => {
                self.placer.may_send(now, &mut placement);
                PolicyChoice::Send(Box::new(placement))
            }
            Err(refusal) => {
                if let Some(fairness) = &mut self.fairness {
                    fairness.on_refused(now);
                }
                PolicyChoice::Refuse(refusal.retry_after)
            }
        }
    }

    fn on_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        object: u64,
        outcome: ServerOutcome,
        report: Option<&ServerReport>,
    ) {
        let object = stable_hash(&object.to_le_bytes());
        let request = PlacementRequest::new(&self.route, 0).with_object(Some(object));
        self.placer
            .on_outcome(now, placement, &request, outcome, report);
    }

    fn load_update(&mut self, now: Instant) -> LoadReport {
        self.placer.own_load(now)
    }

    fn on_load_update(&mut self, now: Instant, entry: u64, update: LoadReport) {
        self.placer.on_peer_load(now, entry, update);
    }

    fn on_statement(&mut self, now: Instant, placement: &Placement, statement: &ServerStatement) {
        self.placer.on_statement(now, placement, statement);
    }

    fn statement_report(&mut self, now: Instant, is_urgent: bool) -> StatementReport {
        if is_urgent {
            self.placer.urgent_statements(now)
        } else {
            self.placer.own_statements(now)
        }
    }

    fn on_statement_report(&mut self, now: Instant, entry: u64, report: &StatementReport) {
        self.placer.on_peer_statements(now, entry, report);
    }

    fn overdue_report(&mut self, now: Instant) -> OverdueReport {
        self.placer.own_overdue(now)
    }

    fn on_overdue_report(&mut self, now: Instant, entry: u64, report: &OverdueReport) {
        self.placer.on_peer_overdue(now, entry, report);
    }

    fn take_left_servers(&mut self) -> Vec<String> {
        let changes = self.placer.take_overdue_changes().into_iter();
        let left = changes.filter(|(_, change)| matches!(change, OverdueChange::Left(_)));
        left.map(|(server, _)| server).collect()
    }
}

impl NaivePolicy {
    /// Creates the policy of an entry that knows `servers`.
    pub fn new(config: &PlacerConfig, desired: &DesiredState, servers: &CatalogSnapshot) -> Self {
        let mut catalog = ServerCatalog::new(config.domains.clone());
        catalog.apply_snapshot(servers.started_at, servers);
        Self {
            catalog,
            service: desired.services[0].name.clone(),
            region: config.region.clone(),
        }
    }

    fn least_busy(&self, now: Instant, in_own_region: bool) -> Option<ServerHandle> {
        let mut best: Option<(f64, ServerHandle)> = None;
        for (handle, record) in self.catalog.open_servers(&self.service) {
            let occupancy_share = record.occupancy(now) / f64::from(record.entry.slots);
            if occupancy_share >= NAIVE_MAX_OCCUPANCY
                || (record.region == self.region) != in_own_region
            {
                continue;
            }
            if best.is_none_or(|(least, _)| occupancy_share < least) {
                best = Some((occupancy_share, handle));
            }
        }
        best.map(|(_, handle)| handle)
    }
}

impl EntryPolicy for NaivePolicy {
    fn place(&mut self, now: Instant, _: &PolicyRequest<'_>) -> PolicyChoice {
        let local = self.least_busy(now, true);
        let Some(handle) = local.or_else(|| self.least_busy(now, false)) else {
            return PolicyChoice::Refuse(NAIVE_RETRY_AFTER);
        };
        let Some(record) = self.catalog.get_mut(handle) else {
            return PolicyChoice::Refuse(NAIVE_RETRY_AFTER);
        };
        record.in_flight += 1;
        PolicyChoice::Send(Box::new(Placement::new(now, handle, &record.entry)))
    }

    fn on_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        _: u64,
        _: ServerOutcome,
        report: Option<&ServerReport>,
    ) {
        let Some(record) = self.catalog.get_mut(placement.handle) else {
            return;
        };
        if let Some(report) = report {
            record.on_report(now, report);
        }
        record.in_flight = record.in_flight.saturating_sub(1);
    }

    fn load_update(&mut self, _: Instant) -> LoadReport {
        LoadReport::default()
    }

    fn on_load_update(&mut self, _: Instant, _: u64, _: LoadReport) {}
}

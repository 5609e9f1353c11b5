//! How an entry places requests: the product's way, and a naive one to compare.

use std::time::{Duration, Instant};

use place::catalog::{CatalogSnapshot, ServerHandle};
use place::desired::{DesiredState, RouteSpec};
use place::placing::load::LoadReport;
use place::prelude::*;
use place::rank::stable_hash;
use team::fairness::FairnessRanker;
use team::spec::TeamSpec;

/// Servers busier than this multiple of their slots get nothing from the naive way.
const NAIVE_QUEUE: f64 = 1.0;
/// When the naive way asks callers to come back.
const NAIVE_RETURN: Duration = Duration::from_millis(300);

/// What became of a placement.
#[derive(Debug)]
pub enum PolicyChoice {
    /// Sent to the server with this id.
    Send(Box<Placement>),
    /// Refused; come back after this time.
    Refuse(Duration),
}

/// A request that comes to an entry.
#[derive(Debug, Clone, Copy)]
pub struct PolicyRequest<'a> {
    /// The object that it concerns.
    pub object: u64,
    /// How long its caller waits.
    pub left: Duration,
    /// Whether it was not refused before.
    pub fresh: bool,
    /// The team whose it is.
    pub team: &'a str,
}

/// Placing as an entry does it.
pub trait EntryPolicy {
    /// Places a request.
    fn place(&mut self, now: Instant, request: &PolicyRequest<'_>) -> PolicyChoice;

    /// Takes in what became of a placement.
    fn on_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        object: u64,
        outcome: ServerOutcome,
        report: Option<&ServerReport>,
    );

    /// Own requests at servers.
    fn load(&mut self, now: Instant) -> LoadReport;

    /// Another entry's requests at servers.
    fn on_load(&mut self, now: Instant, entry: u64, word: LoadReport);
}

/// The product's way.
#[derive(Debug)]
pub struct PlacerPolicy {
    placer: RequestPlacer,
    route: RouteSpec,
    /// Ranks teams; `None` where all rank alike.
    shares: Option<FairnessRanker>,
}

/// The naive way: the least busy server by own count, never beyond its slots,
/// no regard for objects or other entries.
#[derive(Debug)]
pub struct NaivePolicy {
    catalog: ServerCatalog,
    service: String,
    region: String,
}

impl PlacerPolicy {
    /// The policy of an entry that knows `servers` and the hashes of all `entries`.
    pub fn new(
        config: PlacerConfig,
        desired: &DesiredState,
        servers: &CatalogSnapshot,
        entries: &[u64],
        in_region: usize,
    ) -> Self {
        let mut placer = RequestPlacer::new(config);
        placer.set_desired(desired);
        placer.set_entries(entries.to_vec(), in_region);
        placer.catalog.apply_snapshot(servers.started_at, servers);
        Self {
            placer,
            route: desired.routes[0].clone(),
            shares: None,
        }
    }

    /// Ranks teams that ask for more than their part behind others.
    #[must_use]
    pub fn with_shares(mut self, teams: &[TeamSpec]) -> Self {
        let mut shares = FairnessRanker::default();
        shares.set_teams(teams);
        self.shares = Some(shares);
        self
    }
}

impl EntryPolicy for PlacerPolicy {
    fn place(&mut self, now: Instant, asked: &PolicyRequest<'_>) -> PolicyChoice {
        let object = stable_hash(&asked.object.to_le_bytes());
        let left = asked.left;
        self.placer
            .on_request(now, &self.route, Some(object), Some(left));
        let shares = self.shares.as_mut();
        let steps = shares.map_or(0, |shares| shares.on_request(now, asked.team));
        let request = PlacementRequest {
            priority: self.route.priority + steps,
            resubmitted: !asked.fresh,
            ..PlacementRequest::new(&self.route, 0)
                .with_object(Some(object))
                .with_remaining(left.min(self.route.timeout.unwrap_or(left)))
        };
        match self.placer.place(now, &request) {
            Ok(placement) => PolicyChoice::Send(Box::new(placement)),
            Err(refusal) => {
                if let Some(shares) = &mut self.shares {
                    shares.on_refused(now);
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

    fn load(&mut self, now: Instant) -> LoadReport {
        self.placer.own_load(now)
    }

    fn on_load(&mut self, now: Instant, entry: u64, word: LoadReport) {
        self.placer.on_peer_load(now, entry, word);
    }
}

impl NaivePolicy {
    /// The policy of an entry that knows `servers`.
    pub fn new(config: &PlacerConfig, desired: &DesiredState, servers: &CatalogSnapshot) -> Self {
        let mut catalog = ServerCatalog::new(config.domains.clone());
        catalog.apply_snapshot(servers.started_at, servers);
        Self {
            catalog,
            service: desired.services[0].name.clone(),
            region: config.region.clone(),
        }
    }

    fn least_busy(&self, now: Instant, near: bool) -> Option<ServerHandle> {
        let mut best: Option<(f64, ServerHandle)> = None;
        for (handle, record) in self.catalog.open_servers(&self.service) {
            let busy = record.occupancy(now) / f64::from(record.entry.slots);
            if busy >= NAIVE_QUEUE || (record.region == self.region) != near {
                continue;
            }
            if best.is_none_or(|(least, _)| busy < least) {
                best = Some((busy, handle));
            }
        }
        best.map(|(_, handle)| handle)
    }
}

impl EntryPolicy for NaivePolicy {
    fn place(&mut self, now: Instant, _: &PolicyRequest<'_>) -> PolicyChoice {
        let near = self.least_busy(now, true);
        let Some(handle) = near.or_else(|| self.least_busy(now, false)) else {
            return PolicyChoice::Refuse(NAIVE_RETURN);
        };
        let Some(record) = self.catalog.get_mut(handle) else {
            return PolicyChoice::Refuse(NAIVE_RETURN);
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

    fn load(&mut self, _: Instant) -> LoadReport {
        LoadReport::default()
    }

    fn on_load(&mut self, _: Instant, _: u64, _: LoadReport) {}
}

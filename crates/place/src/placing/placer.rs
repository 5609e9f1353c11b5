//! Chooses the backend server of each request, or refuses the request.
//!
//! The server with the lowest expected response time wins: its round trip, the wait in its
//! queue and the work, which is much shorter where the object is cached. Short queues are used
//! before a request is refused. A request that no server can answer in time is refused at once.

mod connections;
mod outcomes;
mod paths;
mod ranking;
mod returns;
mod shares;
mod statements;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::catalog::{ServerCatalog, ServerHandle};
use crate::connections::planner::ConnectionPlanner;
use crate::desired::{DesiredState, RouteSpec, ServiceSpec};
use crate::limits::budget::{BudgetBounds, RetryBudget};
use crate::limits::cold_rate::ColdRateLimiter;
use crate::limits::refusal::RetryAfterJitter;
use crate::limits::shift::ShiftLimiter;
use crate::limits::split::TrafficSplitter;
use crate::paths::ServerPaths;
use crate::placing::cache_likelihood::HandledObjects;
use crate::placing::candidates::RankedServers;
use crate::placing::choice::{ByteCosts, ChoiceContext, ServerChoice, rank_scope};
use crate::placing::load::{LoadReport, PeerLoads, own_load, report_interval};
use crate::placing::timing::millis;
use crate::placing::work::RouteWorkTable;
use crate::request::{Placement, PlacementReason, PlacementRequest, Refusal, RefusalReason};
use crate::server::ServerRecord;
use crate::shares::RegionShares;
use crate::statement::{SendVerdict, StatementTable};

/// A server that rejects a request as full is assumed to hold this many times its slots.
const REJECTED_LOAD_FACTOR: f64 = 3.0;
/// Warm-up time assumed for an unknown service.
const DEFAULT_WARMUP: Duration = Duration::from_secs(3);
/// Rate assumed for a cold server of an unknown service, in requests per second.
const DEFAULT_COLD_RATE: f64 = 1.0;
/// Up to this many servers of a service, all of them are evaluated for each request.
const MAX_FULL_SCAN: usize = 64;
/// Expected time until capacity is free after servers rejected a request, in seconds.
const REJECTED_RETRY_AFTER_SECS: f64 = 0.3;

/// Location and limits of the entry that places requests.
#[derive(Debug, Clone)]
pub struct PlacerConfig {
    /// Failure domain of this entry.
    pub domain: String,
    /// Region of this entry.
    pub region: String,
    /// Maps each failure domain to its region.
    pub domains: HashMap<String, String>,
    /// Limits on retries at a second server.
    pub budget: BudgetBounds,
    /// Maximum change of a region's share of requests from one window to the next.
    pub shift_cap: f64,
    /// Latency equivalent of sending bytes to other failure domains and regions.
    pub costs: ByteCosts,
    /// Time within which a draining server must stop getting requests.
    pub drain: Duration,
    /// Hash of this entry, used to divide shared rates.
    pub own: u64,
}

/// The chosen server with the figures behind the choice, or the refusal reason with the
/// expected time until capacity is free, in seconds.
type ChoiceResult = Result<(ServerHandle, PlacementReason), (RefusalReason, Option<f64>)>;

/// Places requests on servers and learns from their outcomes.
#[derive(Debug)]
pub struct RequestPlacer {
    config: PlacerConfig,
    /// The known servers.
    pub catalog: ServerCatalog,
    /// What the servers say of themselves.
    statements: StatementTable,
    services: HashMap<String, ServiceSpec>,
    splitter: TrafficSplitter,
    budget: RetryBudget,
    cold_limiter: ColdRateLimiter,
    shift_limiter: ShiftLimiter,
    handled_objects: HandledObjects,
    work: RouteWorkTable,
    entries: Vec<u64>,
    region_entries: usize,
    /// Whether this entry is a standby, which the others don't count when they divide shared
    /// rates.
    standby: bool,
    loads: PeerLoads,
    jitter: RetryAfterJitter,
    connections: ConnectionPlanner,
    /// Whether this entry has a path to the servers.
    paths: ServerPaths,
    /// The plan for returning callers; `None` if they are recognized by their deadlines only.
    returns: Option<returns::ReturnPlan>,
    /// The regions' shares of room, if they are switched on.
    shares: Option<RegionShares>,
}

impl RequestPlacer {
    /// Creates a placer that knows no servers yet.
    pub fn new(config: PlacerConfig) -> Self {
        let regions: Vec<String> = config.domains.values().cloned().collect();
        Self {
            catalog: ServerCatalog::new(config.domains.clone())
                .with_location(&config.domain, &config.region)
                .with_drain(config.drain),
            statements: StatementTable::new(config.own),
            services: HashMap::new(),
            splitter: TrafficSplitter::default(),
            budget: RetryBudget::new(config.budget),
            cold_limiter: ColdRateLimiter::default(),
            shift_limiter: ShiftLimiter::new(config.shift_cap, &regions),
            handled_objects: HandledObjects::default(),
            work: RouteWorkTable::default(),
            entries: vec![config.own],
            region_entries: 1,
            standby: false,
            loads: PeerLoads::default(),
            jitter: RetryAfterJitter::new(config.own),
            connections: ConnectionPlanner::default(),
            paths: ServerPaths::default(),
            returns: None,
            shares: None,
            config,
        }
    }

    /// Applies the services of a new desired state.
    pub fn set_desired(&mut self, desired: &DesiredState) {
        self.services = desired
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
    }

    /// Sets whether this entry is a standby. A standby takes no part of the rates that all
    /// entries share, since the others don't count it.
    pub fn set_standby(&mut self, standby: bool) {
        self.standby = standby;
        self.budget.set_slack(!standby);
        self.statements.set_informed(!standby);
    }

    /// Sets the hashes of all entries that receive requests, and the number of others in the
    /// own region; this entry is added to both.
    pub fn set_entries(&mut self, mut entries: Vec<u64>, in_region: usize) {
        entries.push(self.config.own);
        entries.sort_unstable();
        entries.dedup();
        self.budget.set_entries(entries.len());
        self.shift_limiter.retain_peers(&entries);
        let in_other_regions = entries.len().saturating_sub(in_region + 1);
        let interval = report_interval(in_region as u32, in_other_regions as u32);
        self.statements.set_others(entries.len() - 1, interval);
        if let Some(shares) = &mut self.shares {
            shares.set_peers(&entries, interval);
        }
        self.entries = entries;
        self.region_entries = in_region + 1;
    }

    /// Applies a load report of the entry with the hash `entry`.
    pub fn on_peer_load(&mut self, now: Instant, entry: u64, report: LoadReport) {
        self.shift_limiter.on_peer_sent(now, entry, &report.sent);
        self.handled_objects.on_peer_pairs(now, &report.handled);
        self.loads.apply_list(now, entry, report.load);
    }

    /// Returns this entry's load report for the others. Call it several times a second.
    pub fn own_load(&mut self, now: Instant) -> LoadReport {
        self.loads.apply(now, &mut self.catalog);
        LoadReport {
            load: own_load(&self.catalog),
            sent: self.shift_limiter.sent(),
            handled: self.handled_objects.take_unsent(),
        }
    }

    /// The longest warm-up time of any service.
    pub fn longest_warmup(&self) -> Duration {
        let warmups = self.services.values().map(|service| service.warmup);
        warmups.max().unwrap_or(DEFAULT_WARMUP)
    }

    /// Registers a caller's request on `route` for `object`. Returns the index of the route's
    /// part that takes it, and whether the caller seems to resubmit a refused request.
    pub fn on_request(
        &mut self,
        now: Instant,
        route: &RouteSpec,
        object: Option<u64>,
        deadline: Option<Duration>,
    ) -> (usize, bool) {
        let part = self.splitter.choose(route);
        if let Some(chosen) = route.parts.get(part) {
            self.budget.on_request(now, &chosen.service);
        }
        let work = self.work.get_or_insert(route);
        if let Some(object) = object {
            work.on_request(now, object);
        }
        let resubmitted = deadline
            .is_some_and(|deadline| self.is_returning(now, (route, part), object, deadline));
        (part, resubmitted)
    }

    /// Takes one retry from the service's budget; `false` if none is left.
    pub fn take_retry(&mut self, now: Instant, service: &str) -> bool {
        self.budget.take_retry(now, service)
    }

    /// The refusal of a request that servers rejected as full.
    pub fn rejection(&mut self) -> Refusal {
        self.jitter
            .refusal(RefusalReason::Full, Some(REJECTED_RETRY_AFTER_SECS))
    }

    /// Chooses a server and counts the request as sent to it.
    ///
    /// # Errors
    /// Returns the refusal if no server should get the request.
    pub fn place(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Result<Placement, Refusal> {
        let Some(part) = request.route.parts.get(request.part) else {
            return Err(self.jitter.refusal(RefusalReason::NoServer, None));
        };
        self.loads.apply(now, &mut self.catalog);
        let service = part.service.as_str();
        let scope = rank_scope(
            request,
            self.work.get_or_insert(request.route),
            &self.config.costs,
        );
        let mut ranked = self.ranked(now, request, service, scope, false);
        if ranked.candidates.is_empty() {
            return Err(self.no_candidate_refusal(now, service));
        }
        let mut unbounded = self.choose(now, request, service, &ranked, None);
        if let Some(room_in) = self.missing_room(now, &ranked, &unbounded) {
            ranked = self.ranked(now, request, service, scope, true);
            unbounded = self.choose_with_room(now, request, service, &ranked, room_in);
        }
        let chosen = self.within_cap(now, request, service, &ranked, unbounded);
        self.count_request(now, service, chosen.is_ok());
        let (handle, reason) =
            chosen.map_err(|(reason, available_in)| self.jitter.refusal(reason, available_in))?;
        let placement = self.mark_sent(now, handle, reason);
        placement.ok_or_else(|| self.jitter.refusal(RefusalReason::NoServer, None))
    }

    /// Replaces a choice that would shift requests between regions too fast. A choice in the
    /// own region is kept if no server that should get the request instead has capacity.
    fn within_cap(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        ranked: &RankedServers,
        unbounded: ChoiceResult,
    ) -> ChoiceResult {
        let Ok((handle, reason)) = unbounded else {
            return unbounded;
        };
        let Some(record) = self.catalog.get(handle) else {
            return unbounded;
        };
        self.shift_limiter.advance(now);
        if self.shift_limiter.permits(&record.region) {
            return unbounded;
        }
        let may_stay = !reason.is_remote && self.shift_limiter.permits_own_region(&record.region);
        let within_shift_cap =
            self.choose(now, request, service, ranked, Some(&self.shift_limiter));
        if may_stay {
            within_shift_cap.or(unbounded)
        } else {
            within_shift_cap
        }
    }

    fn choose(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        ranked: &RankedServers,
        limiter: Option<&ShiftLimiter>,
    ) -> ChoiceResult {
        let Some(work) = self.work.get(request.route) else {
            return Err((RefusalReason::NoServer, None));
        };
        let context = ChoiceContext {
            domain: &self.config.domain,
            region: &self.config.region,
            is_single_locality: ranked.localities == 1,
            entries: self.region_entries,
            costs: self.config.costs,
            limiter,
            plans_returns: self.returns.is_some(),
            travel_credit: self.travel_credit(service),
        };
        let mut choice = ServerChoice::new(now, request, context, work);
        for candidate in &ranked.candidates {
            let Some(record) = self.catalog.get(candidate.handle) else {
                continue;
            };
            // A first choice ignores rate limits, to find out which servers are wanted.
            let verdict = limiter.map(|_| self.statements.verdict(now, candidate.handle.run()));
            if let Some(SendVerdict::NoRoom(wait)) = verdict {
                choice.note_blocked(RefusalReason::Limited, Some(millis(wait)));
                continue;
            }
            let cold = record.is_cold(now);
            if cold && !self.may_use_cold(now, record, service) {
                choice.note_blocked(RefusalReason::Cold, None);
                continue;
            }
            let cache_evidence = request.object.map(|object| {
                self.handled_objects
                    .evidence(now, record.hash, object, candidate.rank)
            });
            let reason = PlacementReason {
                occupancy: record.occupancy(now),
                cache_likelihood: cache_evidence
                    .map_or(0.0, |evidence| work.rates.likelihood(evidence)),
                rank: candidate.rank,
                cold,
                cache_evidence,
                ..PlacementReason::default()
            };
            choice.update_preferred_count(f64::from(record.entry.slots.max(1)));
            choice.consider(candidate, record, reason);
        }
        choice.finish()
    }

    fn mark_sent(
        &mut self,
        now: Instant,
        handle: ServerHandle,
        reason: PlacementReason,
    ) -> Option<Placement> {
        let record = self.catalog.get_mut(handle)?;
        self.shift_limiter.on_sent(now, &record.region);
        record.in_flight += 1;
        if reason.cold {
            self.cold_limiter.on_sent(now, record.hash);
        }
        let takes_room = self.statements.on_sent(now, handle.run());
        let placement = Placement::new(now, handle, &record.entry);
        Some(Placement {
            reason,
            takes_room,
            ..placement
        })
    }

    fn may_use_cold(&self, now: Instant, record: &ServerRecord, service: &str) -> bool {
        if self.standby {
            return false;
        }
        let known = self.services.get(service);
        let rate = known.map_or(DEFAULT_COLD_RATE, |service| service.cold_rate);
        self.cold_limiter
            .allows(now, record.hash, self.config.own, &self.entries, rate)
    }

    fn warmup(&self, request: &PlacementRequest<'_>) -> Duration {
        let part = request.route.parts.get(request.part);
        part.and_then(|part| self.services.get(&part.service))
            .map_or(DEFAULT_WARMUP, |service| service.warmup)
    }
}

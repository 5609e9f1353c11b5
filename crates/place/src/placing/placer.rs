//! Chooses the backend server of each request, or refuses the request.
//!
//! The choice is the server that is expected to answer first: its distance, the
//! wait in its queue, and the work, which is much shorter where the server has
//! handled the object before. A server's short queue is used before a request is
//! refused; a request that can't be answered in time anywhere is refused at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::catalog::index::NEAREST;
use crate::catalog::{ServerCatalog, ServerHandle};
use crate::desired::{DesiredState, RouteSpec, ServiceSpec};
use crate::limits::budget::{BudgetBounds, RetryBudget};
use crate::limits::ramp::ColdRamp;
use crate::limits::refusal::ReturnSpread;
use crate::limits::shift::ShiftLimiter;
use crate::limits::split::TrafficSplitter;
use crate::placing::candidates::{
    NearSearch, RankScope, RankedServers, near_candidates, ranked_candidates,
};
use crate::placing::choice::{ByteCosts, ChoicePlace, HOLDER, ServerChoice, rank_scope, widest};
use crate::placing::load::{LoadWord, PeerLoads, own_load};
use crate::placing::timing::millis;
use crate::placing::warmth::{RANKS, WarmthMap};
use crate::placing::work::WorkBook;
use crate::request::{
    Placement, PlacementReason, PlacementRequest, Refusal, RefusalReason, ServerOutcome,
};
use crate::server::{EntryState, ServerRecord, ServerReport};

/// A server that rejects a request as full has about this many times its slots.
const FULL_FACTOR: f64 = 3.0;
/// Warm-up of a service that isn't known.
const USUAL_WARMUP: Duration = Duration::from_secs(3);
/// Rate that a cold server of an unknown service bears, in requests a second.
const USUAL_COLD_RATE: f64 = 1.0;
/// A service of so many servers is looked at whole for each request.
const FEW_SERVERS: usize = 64;
/// Room after a rejection by servers, in seconds.
const REJECTED_ROOM: f64 = 0.3;

/// What the placer must know of its place and bounds.
#[derive(Debug, Clone)]
pub struct PlacerConfig {
    /// Own failure domain.
    pub domain: String,
    /// Own region.
    pub region: String,
    /// Each failure domain's region.
    pub domains: HashMap<String, String>,
    /// Bounds on repeats.
    pub budget: BudgetBounds,
    /// Largest change of a region's share from one window to the next.
    pub shift_cap: f64,
    /// What it costs to send bytes elsewhere.
    pub costs: ByteCosts,
    /// Time within which a leaving server must get no more requests.
    pub drain: Duration,
    /// Own hash in the division of shared rates.
    pub own: u64,
}

/// The chosen server and why, or the reason for a refusal with the seconds until
/// room is expected.
type ChoiceResult = Result<(ServerHandle, PlacementReason), (RefusalReason, Option<f64>)>;

/// The choice among servers.
#[derive(Debug)]
pub struct RequestPlacer {
    config: PlacerConfig,
    /// The servers.
    pub catalog: ServerCatalog,
    services: HashMap<String, ServiceSpec>,
    splitter: TrafficSplitter,
    budget: RetryBudget,
    ramp: ColdRamp,
    shift: ShiftLimiter,
    warmth: WarmthMap,
    work: WorkBook,
    entries: Vec<u64>,
    region_entries: usize,
    /// Whether this entry stands by: others don't count it in shared rates.
    standby: bool,
    loads: PeerLoads,
    spread: ReturnSpread,
}

impl RequestPlacer {
    /// A placer that knows no servers yet.
    pub fn new(config: PlacerConfig) -> Self {
        let regions: Vec<String> = config.domains.values().cloned().collect();
        Self {
            catalog: ServerCatalog::new(config.domains.clone())
                .with_place(&config.domain, &config.region)
                .with_drain(config.drain),
            services: HashMap::new(),
            splitter: TrafficSplitter::default(),
            budget: RetryBudget::new(config.budget),
            ramp: ColdRamp::default(),
            shift: ShiftLimiter::new(config.shift_cap, &regions),
            warmth: WarmthMap::default(),
            work: WorkBook::default(),
            entries: vec![config.own],
            region_entries: 1,
            standby: false,
            loads: PeerLoads::default(),
            spread: ReturnSpread::new(config.own),
            config,
        }
    }

    /// Takes in the services of a new desired state.
    pub fn set_desired(&mut self, desired: &DesiredState) {
        self.services = desired
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
    }

    /// Sets whether this entry stands by. Such a one takes no part of the rates that all
    /// entries share, since the others don't count it.
    pub fn set_standby(&mut self, standby: bool) {
        self.standby = standby;
        self.budget.set_slack(!standby);
    }

    /// Sets the hashes of all entries that get requests, and how many others are in the
    /// own region; the own entry is added to both.
    pub fn set_entries(&mut self, mut entries: Vec<u64>, in_region: usize) {
        entries.push(self.config.own);
        entries.sort_unstable();
        entries.dedup();
        self.budget.set_entries(entries.len());
        self.shift.keep_peers(&entries);
        self.entries = entries;
        self.region_entries = in_region + 1;
    }

    /// Takes in what the entry with the hash `entry` has sent.
    pub fn on_peer_load(&mut self, now: Instant, entry: u64, word: LoadWord) {
        self.shift.on_peer_sent(now, entry, &word.sent);
        self.warmth.on_told(now, &word.handled);
        self.loads.on_list(now, entry, word.load);
    }

    /// Own requests at servers and what came of them, for the other entries. Call it
    /// several times a second.
    pub fn own_load(&mut self, now: Instant) -> LoadWord {
        self.loads.apply(now, &mut self.catalog);
        LoadWord {
            load: own_load(&self.catalog),
            sent: self.shift.sent(),
            handled: self.warmth.take_news(),
        }
    }

    /// The longest warm-up of any service.
    pub fn longest_warmup(&self) -> Duration {
        let warmups = self.services.values().map(|service| service.warmup);
        warmups.max().unwrap_or(USUAL_WARMUP)
    }

    /// A caller's request on `route` for `object` arrived; returns its part of
    /// the route and whether it seems to have been refused before.
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
        let work = self.work.of(route);
        if let Some(object) = object {
            work.on_request(now, object);
        }
        let returning = deadline.is_some_and(|deadline| work.is_returning(deadline));
        (part, returning)
    }

    /// Whether one more server may be tried, and takes it out of the budget.
    pub fn take_repeat(&mut self, now: Instant, service: &str) -> bool {
        self.budget.take(now, service)
    }

    /// The refusal of a request that servers rejected as full.
    pub fn rejected(&mut self) -> Refusal {
        self.spread
            .refusal(RefusalReason::Full, Some(REJECTED_ROOM))
    }

    /// Chooses the server, and counts the request as sent to it.
    ///
    /// # Errors
    /// The refusal, where no server should get it.
    pub fn place(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Result<Placement, Refusal> {
        let Some(part) = request.route.parts.get(request.part) else {
            return Err(self.spread.refusal(RefusalReason::NoServer, None));
        };
        self.loads.apply(now, &mut self.catalog);
        let service = part.service.as_str();
        let scope = rank_scope(request, self.work.of(request.route), &self.config.costs);
        let near = self.near(now, request, service, scope);
        let ranked =
            near.unwrap_or_else(|| ranked_candidates(now, &self.catalog, service, request, scope));
        if ranked.candidates.is_empty() {
            return Err(self.spread.refusal(RefusalReason::NoServer, None));
        }
        let wanted = self.choose(now, request, service, &ranked, None);
        let chosen = self.within_cap(now, request, service, &ranked, wanted);
        let (handle, reason) =
            chosen.map_err(|(reason, room_in)| self.spread.refusal(reason, room_in))?;
        let placement = self.send(now, handle, reason);
        placement.ok_or_else(|| self.spread.refusal(RefusalReason::NoServer, None))
    }

    /// The servers that can get the request, where there are many others and these can be told
    /// without a look at all. Where none of them has room, when they will tells when the
    /// caller should come back: others wouldn't take the request then either.
    fn near(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        scope: RankScope,
    ) -> Option<RankedServers> {
        if self.catalog.servers_of(service) <= FEW_SERVERS {
            return None;
        }
        let work = self.work.known(request.route)?;
        let slots = self.catalog.least_slots(service);
        let widest = widest(now, request, work, self.region_entries, slots)?;
        let ranks = widest.max(RANKS);
        // Where any server likely holds any object, none is out of the question.
        if ranks >= NEAREST || work.rates.least() >= HOLDER {
            return None;
        }
        let object = request.object?;
        let search = NearSearch {
            service,
            request,
            object,
            scope,
            ranks,
            holders: self.warmth.holders(object),
        };
        let ranked = near_candidates(now, &mut self.catalog, &search)?;
        // Whether there is any server at all must not depend on these few.
        (!ranked.candidates.is_empty()).then_some(ranked)
    }

    /// Replaces a choice that would move requests between regions too fast. One
    /// for the own region stands where no other that should get more has room.
    fn within_cap(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        ranked: &RankedServers,
        wanted: ChoiceResult,
    ) -> ChoiceResult {
        let Ok((handle, reason)) = wanted else {
            return wanted;
        };
        let Some(record) = self.catalog.get(handle) else {
            return wanted;
        };
        self.shift.advance(now);
        if self.shift.permits(&record.region) {
            return wanted;
        }
        let stays = !reason.is_remote && self.shift.permits_own(&record.region);
        let bounded = self.choose(now, request, service, ranked, Some(&self.shift));
        if stays { bounded.or(wanted) } else { bounded }
    }

    fn choose(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        ranked: &RankedServers,
        limiter: Option<&ShiftLimiter>,
    ) -> ChoiceResult {
        let Some(work) = self.work.known(request.route) else {
            return Err((RefusalReason::NoServer, None));
        };
        let place = ChoicePlace {
            domain: &self.config.domain,
            region: &self.config.region,
            is_only: ranked.places == 1,
            entries: self.region_entries,
            costs: self.config.costs,
            limiter,
        };
        let mut choice = ServerChoice::new(now, request, place, work);
        for candidate in &ranked.candidates {
            let Some(record) = self.catalog.get(candidate.handle) else {
                continue;
            };
            let cold = record.is_cold(now);
            if cold && !self.may_warm(now, record, service) {
                choice.block(RefusalReason::Cold, None);
                continue;
            }
            let belief = request
                .object
                .map(|object| self.warmth.belief(now, record.hash, object, candidate.rank));
            let reason = PlacementReason {
                occupancy: record.occupancy(now),
                warmth: belief.map_or(0.0, |belief| work.rates.likelihood(belief)),
                rank: candidate.rank,
                cold,
                belief,
                ..PlacementReason::default()
            };
            choice.set_width(f64::from(record.entry.slots.max(1)));
            choice.weigh(candidate, record, reason);
        }
        choice.finish()
    }

    /// Takes in the size of an answer on `route`.
    pub fn on_answer_size(&mut self, route: &RouteSpec, bytes: u64) {
        self.work.of(route).answer.add(bytes as f64 / 1000.0);
    }

    /// Takes in what became of a request that was placed.
    pub fn on_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        outcome: ServerOutcome,
        report: Option<&ServerReport>,
    ) {
        let warmup = self.warmup(request);
        let Some(record) = self.catalog.get_mut(placement.handle) else {
            return;
        };
        if let Some(report) = report {
            record.on_report(now, report);
        }
        let hash = record.hash;
        match outcome {
            ServerOutcome::Answered { good } => {
                record.on_reached();
                record.on_outcome(now, good);
            }
            ServerOutcome::Full => {
                record.on_reached();
                if report.is_none() {
                    let slots = f64::from(record.entry.slots);
                    record.on_full(now, slots * FULL_FACTOR);
                }
                record.on_outcome(now, false);
            }
            ServerOutcome::Misdirected => {
                record.entry.state = EntryState::Draining;
            }
            ServerOutcome::Unreachable => {
                record.on_unreachable(now);
                // It may have crashed, and comes back cold.
                record.mark_cold(now, warmup);
            }
            ServerOutcome::Broken => record.on_outcome(now, false),
            ServerOutcome::OutOfTime => {
                record.on_outcome(now, false);
                let took = millis(now.saturating_duration_since(placement.started));
                let ratio = took / placement.reason.expected.max(1.0);
                if placement.reason.free && ratio > 1.0 {
                    record.on_latency_ratio(now, ratio * record.speed(now));
                }
            }
            ServerOutcome::Withdrawn | ServerOutcome::Abandoned => {}
        }
        record.in_flight = record.in_flight.saturating_sub(1);
        if outcome == ServerOutcome::Unreachable {
            self.warmth.forget(hash);
        }
        if outcome == (ServerOutcome::Answered { good: true }) {
            self.learn(now, placement, request, hash);
        }
    }

    fn learn(
        &mut self,
        now: Instant,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        hash: u64,
    ) {
        let reason = &placement.reason;
        if let Some(object) = request.object {
            self.warmth.on_handled(now, hash, object);
        }
        if !reason.free {
            return;
        }
        let took = millis(now.saturating_duration_since(placement.started));
        let trip = self.catalog.get(placement.handle);
        let work = took - trip.map_or(0.0, |record| record.trip);
        if !reason.cold {
            self.work.of(request.route).on_answer(work, reason.belief);
        }
        if let Some(record) = self.catalog.get_mut(placement.handle) {
            record.on_latency_ratio(now, work / reason.work.max(1.0) * record.speed(now));
        }
    }

    fn send(
        &mut self,
        now: Instant,
        handle: ServerHandle,
        reason: PlacementReason,
    ) -> Option<Placement> {
        let record = self.catalog.get_mut(handle)?;
        self.shift.on_sent(now, &record.region);
        record.in_flight += 1;
        if reason.cold {
            self.ramp.on_sent(now, record.hash);
        }
        let placement = Placement::new(now, handle, &record.entry);
        Some(Placement {
            reason,
            ..placement
        })
    }

    fn may_warm(&self, now: Instant, record: &ServerRecord, service: &str) -> bool {
        if self.standby {
            return false;
        }
        let known = self.services.get(service);
        let rate = known.map_or(USUAL_COLD_RATE, |service| service.cold_rate);
        self.ramp
            .allows(now, record.hash, self.config.own, &self.entries, rate)
    }

    fn warmup(&self, request: &PlacementRequest<'_>) -> Duration {
        let part = request.route.parts.get(request.part);
        part.and_then(|part| self.services.get(&part.service))
            .map_or(USUAL_WARMUP, |service| service.warmup)
    }
}

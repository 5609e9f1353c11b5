//! Chooses the backend server of each request, or refuses the request.
//!
//! The choice is the server that is expected to answer first: its distance, the
//! wait in its queue, and the work, which is much shorter where the server has
//! handled the object before. A server's short queue is used before a request is
//! refused; a request that can't be answered in time anywhere is refused at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::budget::{BudgetBounds, RetryBudget};
use crate::catalog::{ServerCatalog, ServerHandle};
use crate::desired::{DesiredState, RouteSpec, ServiceSpec};
use crate::ramp::ColdRamp;
use crate::rank::pair_weight;
use crate::server::{ServerRecord, ServerReport};
use crate::shift::{ShiftDirection, ShiftLimiter};
use crate::split::TrafficSplitter;
use crate::timing::{Average, millis};
use crate::warmth::{Belief, WarmthMap, WarmthRates};

/// Requests at a server, as a multiple of its slots, up to which it gets more.
/// Beyond, waiting costs the objective of those behind.
const QUEUE_FACTOR: f64 = 2.5;
/// The same for a request that was refused before: a second refusal is final
/// for its caller.
const RETURN_FACTOR: f64 = 3.0;
/// A new request waits only where it is answered within this multiple of its
/// objective: beyond, it would make those behind it late as well.
const OBJECTIVE_FACTOR: f64 = 1.0;
/// A returning request waits where it is answered within this share of its time.
const REMAINING_FACTOR: f64 = 0.8;
/// Lower factor of the objective for each step of priority.
const OBJECTIVE_STEP: f64 = 0.1;
/// Lower factor for each step of priority, so that the urgent find room.
const PRIORITY_STEP: f64 = 0.15;
/// Weight of the newest answer in the work of a route.
const WORK_WEIGHT: f64 = 0.05;
/// Work of a cold object at the beginning, as a share of the objective.
const FIRST_WORK: f64 = 1.2;
/// Work for a held object at the beginning, as a share of the objective.
const FIRST_WARM_WORK: f64 = 0.36;
/// Round trip to another failure domain of the region, in milliseconds.
const ZONE_TRIP: f64 = 3.0;
/// Round trip to another region, in milliseconds.
const REGION_TRIP: f64 = 72.0;
/// What a kilobyte over a link between failure domains is worth, in
/// milliseconds of latency.
const ZONE_BYTES: f64 = 0.6;
/// What a kilobyte over a link between regions is worth, in milliseconds.
const REGION_BYTES: f64 = 2.0;
/// Latency that a certain failure is worth, as a multiple of the objective.
const FAILURE_COST: f64 = 3.0;
/// Keeps requests in another region while their share there may not fall
/// faster, in milliseconds: more than any wait that is worth having.
const HELD_COST: f64 = 2000.0;
/// Servers of a region to which an object's requests always go.
const HOME_RANKS: usize = 1;
/// Further servers take them while this share of their slots or less is in use:
/// they have time to load the object, and seldom need what it drives out.
const IDLE_SHARE: f64 = 0.3;
/// What it costs to send an object where it doesn't belong, as a multiple of
/// what a held object saves: it drives out another one there.
const AFFINITY_COST: f64 = 2.0;
/// An entry's word on its requests counts for this long.
const LOAD_LIFE: Duration = Duration::from_millis(1500);
/// Shortest and longest time after which a caller is asked to come back.
const RETURN_RANGE: (f64, f64) = (0.15, 0.9);
/// A deadline below this share of the longest seen marks a returning request.
const RETURN_SHARE: f64 = 0.97;

/// What the placer must know of its place and bounds.
#[derive(Debug, Clone)]
pub struct PlacerConfig {
    /// Own failure domain.
    pub zone: String,
    /// Own region.
    pub region: String,
    /// Each failure domain's region.
    pub zones: HashMap<String, String>,
    /// Bounds on repeats.
    pub budget: BudgetBounds,
    /// Largest change of a region's share from one window to the next.
    pub shift_cap: f64,
    /// Own hash in the division of shared rates.
    pub own: u64,
}

/// A request that wants a server.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// Its route.
    pub route: &'a RouteSpec,
    /// Index of the route's part that it belongs to.
    pub part: usize,
    /// Hash of the object that it concerns.
    pub object: Option<u64>,
    /// How long an answer is still of use.
    pub remaining: Duration,
    /// Whether it was refused before.
    pub returning: bool,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Servers that it was sent to before.
    pub tried: &'a [ServerHandle],
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The server.
    pub handle: ServerHandle,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// The run of the server that is meant.
    pub id: String,
    /// Why this one, for the log.
    pub reason: PlacementReason,
    started: Instant,
}

/// The figures that decided a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementReason {
    /// Expected time to the answer, in milliseconds.
    pub expected: f64,
    /// Requests thought to be at the server.
    pub occupancy: f64,
    /// Likelihood that the server holds the object.
    pub warmth: f64,
    /// The server's rank for the object within its region; 0 is the first.
    pub rank: usize,
    /// Whether the server is cold.
    pub cold: bool,
    /// Whether it is in another region.
    pub away: bool,
    /// Whether no other request had to be finished first.
    free: bool,
    work: f64,
    belief: Option<Belief>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No server of the service is known or allowed.
    NoServer,
    /// All servers have as much as they can answer in time.
    Full,
    /// Only cold servers are left, and their rate is used up.
    Cold,
    /// No server can answer before the deadline.
    Late,
    /// The bound on moving to other regions is reached.
    ShiftCap,
}

/// A refusal, with the time after which room is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// What became of a request at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// A whole answer; `good` if the server did its work.
    Answered {
        /// Whether the answer wasn't a failure of the server.
        good: bool,
    },
    /// The server rejected the request as full; it has not run.
    Full,
    /// Another server has the address; the request has not run.
    Misdirected,
    /// No connection could be had; the request was not sent.
    Unreachable,
    /// The connection broke, or the answer was not one.
    Broken,
    /// The time ran out before the answer came.
    OutOfTime,
    /// The caller left.
    Abandoned,
}

impl ServerOutcome {
    /// The outcome in one word, for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { good: true } => "good",
            Self::Answered { good: false } => "failed",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::OutOfTime => "out-of-time",
            Self::Abandoned => "abandoned",
        }
    }
}

#[derive(Debug)]
struct RouteWork {
    warm: Average,
    cold: Average,
    rates: WarmthRates,
    longest_deadline: Duration,
}

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
    work: HashMap<String, RouteWork>,
    entries: Vec<u64>,
    loads: HashMap<u64, (Instant, Vec<(u32, u16)>)>,
    dice: u64,
}

struct Candidate {
    handle: ServerHandle,
    weight: u64,
    region: usize,
}

impl RequestPlacer {
    /// A placer that knows no servers yet.
    pub fn new(config: PlacerConfig) -> Self {
        Self {
            catalog: ServerCatalog::new(config.zones.clone()),
            services: HashMap::new(),
            splitter: TrafficSplitter::default(),
            budget: RetryBudget::new(config.budget),
            ramp: ColdRamp::default(),
            shift: ShiftLimiter::new(config.shift_cap),
            warmth: WarmthMap::default(),
            work: HashMap::new(),
            entries: vec![config.own],
            loads: HashMap::new(),
            dice: config.own | 1,
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

    /// Sets the hashes of all live entries; the own one is added.
    pub fn set_entries(&mut self, mut entries: Vec<u64>) {
        entries.push(self.config.own);
        entries.sort_unstable();
        entries.dedup();
        self.budget.set_entries(entries.len());
        self.entries = entries;
    }

    /// Takes in which servers the entry `entry` has requests at, and how many:
    /// pairs of [`load_name`] and count.
    pub fn on_peer_load(&mut self, now: Instant, entry: u64, load: Vec<(u32, u16)>) {
        self.loads.insert(entry, (now, load));
        self.sum_loads(now);
    }

    /// Own requests at servers, for the other entries.
    pub fn own_load(&mut self, now: Instant) -> Vec<(u32, u16)> {
        for record in self.catalog.iter_mut() {
            record.observe(now);
        }
        let busy = self.catalog.iter().filter(|record| record.in_flight > 0);
        busy.map(|record| {
            let count = u16::try_from(record.in_flight).unwrap_or(u16::MAX);
            (load_name(record.hash), count)
        })
        .collect()
    }

    fn sum_loads(&mut self, now: Instant) {
        self.loads
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < LOAD_LIFE);
        let mut sums: HashMap<u32, f64> = HashMap::new();
        for (_, load) in self.loads.values() {
            for (name, count) in load {
                *sums.entry(*name).or_default() += f64::from(*count);
            }
        }
        for record in self.catalog.iter_mut() {
            record.peer_load = sums.get(&load_name(record.hash)).copied().unwrap_or(0.0);
        }
    }

    /// The longest warm-up of any service.
    pub fn longest_warmup(&self) -> Duration {
        let warmups = self.services.values().map(|service| service.warmup);
        warmups.max().unwrap_or(Duration::from_secs(3))
    }

    /// A caller's request on `route` arrived; returns its part of the route and
    /// whether it seems to have been refused before.
    pub fn on_request(
        &mut self,
        now: Instant,
        route: &RouteSpec,
        deadline: Option<Duration>,
    ) -> (usize, bool) {
        let part = self.splitter.choose(route);
        if let Some(chosen) = route.parts.get(part) {
            self.budget.on_request(now, &chosen.service);
        }
        let Some(deadline) = deadline else {
            return (part, false);
        };
        let work = self.work_of(route);
        work.longest_deadline = work.longest_deadline.max(deadline);
        let returning = millis(deadline) < RETURN_SHARE * millis(work.longest_deadline);
        (part, returning)
    }

    /// Whether one more server may be tried, and takes it out of the budget.
    pub fn take_repeat(&mut self, now: Instant, service: &str) -> bool {
        self.budget.take(now, service)
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
            return Err(self.refusal(RefusalReason::NoServer, 0.5));
        };
        let service = part.service.as_str();
        let candidates = self.candidates(service, request);
        if candidates.is_empty() {
            return Err(self.refusal(RefusalReason::NoServer, 0.5));
        }
        let ranks = ranks(&candidates);
        let direction = self.shift.direction(now);
        self.work_of(request.route);
        let Some(known) = self.work.get(&request.route.name) else {
            return Err(self.refusal(RefusalReason::NoServer, 0.5));
        };
        let (warm, cold) = (known.warm.value(), known.cold.value());
        let patience = patience(request);
        let mut best: Option<(f64, ServerHandle, PlacementReason)> = None;
        let mut blocked = RefusalReason::Late;
        let mut room_in = f64::MAX;
        for (candidate, rank) in candidates.iter().zip(&ranks) {
            let Some(record) = self.catalog.get(candidate.handle) else {
                continue;
            };
            if record.is_paused(now) {
                continue;
            }
            let away = record.region != self.config.region;
            if away && direction == ShiftDirection::Stay {
                blocked = worse(blocked, RefusalReason::ShiftCap);
                continue;
            }
            let is_cold = record.is_cold(now);
            if is_cold && !self.may_warm(now, record, service) {
                blocked = worse(blocked, RefusalReason::Cold);
                continue;
            }
            let occupancy = record.occupancy(now);
            let slots = f64::from(record.entry.slots.max(1));
            let belief = request
                .object
                .map(|object| self.warmth.belief(now, record.hash, object, *rank));
            let likelihood = belief.map_or(0.0, |belief| known.rates.likelihood(belief));
            let speed = record.speed(now) * if is_cold { 2.0 } else { 1.0 };
            let work = (warm * likelihood + cold * (1.0 - likelihood)) * speed;
            let usual = warm.midpoint(cold).min(work);
            let ahead = (occupancy + 1.0 - slots).max(0.0);
            let wait = ahead * usual / slots;
            let limit = slots * queue_factor(request);
            if occupancy + 1.0 > limit {
                blocked = worse(blocked, RefusalReason::Full);
                room_in = room_in.min((occupancy + 1.0 - limit) * usual / slots);
                continue;
            }
            let at_home = request.object.is_none() || *rank < HOME_RANKS;
            let idle = ahead == 0.0 && record.usual_occupancy() < IDLE_SHARE * slots;
            if !at_home && !idle {
                blocked = worse(blocked, RefusalReason::Full);
                room_in = room_in.min(ahead * usual / slots);
                continue;
            }
            let trip = self.trip(record);
            let expected = trip + wait + work;
            // Where nobody waits, only the work itself can tell how long it takes.
            if wait > 0.0 && expected > patience {
                blocked = worse(blocked, RefusalReason::Late);
                room_in = room_in.min(expected - patience);
                continue;
            }
            let failing = record.failure_rate(now) * FAILURE_COST * millis(request.route.objective);
            let held = if !away && direction == ShiftDirection::Leave {
                HELD_COST
            } else {
                0.0
            };
            let strange = AFFINITY_COST * affinity(*rank) * (cold - warm).max(0.0);
            let cost = expected + held + strange + failing + self.byte_cost(record, request.body_bytes);
            let reason = PlacementReason {
                expected,
                occupancy,
                warmth: likelihood,
                rank: *rank,
                cold: is_cold,
                away,
                free: occupancy < slots,
                work,
                belief,
            };
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, candidate.handle, reason));
            }
        }
        let Some((_, handle, reason)) = best else {
            let wait = if room_in == f64::MAX { 400.0 } else { room_in };
            return Err(self.refusal(blocked, wait / 1000.0));
        };
        Ok(self.send(now, handle, reason))
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
                    record.on_full(now, slots * 3.0);
                }
                record.on_outcome(now, false);
            }
            ServerOutcome::Misdirected => {
                record.entry.state = crate::server::EntryState::Draining;
            }
            ServerOutcome::Unreachable => {
                record.on_unreachable(now);
                // It may have crashed, and comes back cold.
                record.chill(now, warmup);
            }
            ServerOutcome::Broken => record.on_outcome(now, false),
            ServerOutcome::OutOfTime => {
                record.on_outcome(now, false);
                let took = millis(now.saturating_duration_since(placement.started));
                let ratio = took / placement.reason.expected.max(1.0);
                if placement.reason.free && ratio > 1.0 {
                    record.on_speed(now, ratio * record.speed(now));
                }
            }
            ServerOutcome::Abandoned => {}
        }
        record.in_flight = record.in_flight.saturating_sub(1);
        record.touched = Some(now);
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
        let took = millis(now.saturating_duration_since(placement.started));
        if let Some(object) = request.object {
            self.warmth.on_handled(now, hash, object);
        }
        let trip = if reason.away { REGION_TRIP } else { 0.0 };
        let work = took - trip;
        if reason.free && !reason.cold {
            let known = self.work_of(request.route);
            // Nearer to the one or the other, by ratio.
            let held = work * work < known.warm.value() * known.cold.value();
            if held {
                known.warm.add(work);
            } else {
                known.cold.add(work);
            }
            if let Some(belief) = reason.belief {
                known.rates.on_answer(belief, held);
            }
        }
        if let Some(record) = self.catalog.get_mut(placement.handle)
            && reason.free
        {
            record.on_speed(now, work / reason.work.max(1.0) * record.speed(now));
        }
    }

    fn send(&mut self, now: Instant, handle: ServerHandle, reason: PlacementReason) -> Placement {
        self.shift.on_sent(now, reason.away);
        let record = self.catalog.get_mut(handle);
        let mut placement = Placement {
            handle,
            address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
            id: String::new(),
            reason,
            started: now,
        };
        if let Some(record) = record {
            record.in_flight += 1;
            record.touched = Some(now);
            placement.address = record.entry.address;
            placement.id.clone_from(&record.entry.id);
            if reason.cold {
                self.ramp.on_sent(now, record.hash);
            }
        }
        placement
    }

    fn candidates(&self, service: &str, request: &PlacementRequest<'_>) -> Vec<Candidate> {
        let object = request.object.unwrap_or(self.config.own);
        let mut regions: Vec<&str> = Vec::new();
        let mut candidates = Vec::new();
        let homes = &request.route.home_regions;
        for (handle, record) in self.catalog.open_servers(service) {
            if request.tried.contains(&handle) {
                continue;
            }
            if !homes.is_empty() && !homes.contains(&record.region) {
                continue;
            }
            let known = regions.iter().position(|known| *known == record.region);
            let region = known.unwrap_or(regions.len());
            if known.is_none() {
                regions.push(&record.region);
            }
            candidates.push(Candidate {
                handle,
                weight: pair_weight(object, record.hash),
                region,
            });
        }
        candidates
    }

    fn may_warm(&self, now: Instant, record: &ServerRecord, service: &str) -> bool {
        let rate = self
            .services
            .get(service)
            .map_or(1.0, |service| service.cold_rate);
        self.ramp
            .allows(now, record.hash, self.config.own, &self.entries, rate)
    }

    fn trip(&self, record: &ServerRecord) -> f64 {
        if record.entry.zone == self.config.zone {
            0.0
        } else if record.region == self.config.region {
            ZONE_TRIP
        } else {
            REGION_TRIP
        }
    }

    fn byte_cost(&self, record: &ServerRecord, bytes: usize) -> f64 {
        // The answer's size isn't known yet; a few kilobytes are usual.
        let kilobytes = 4.0 + bytes as f64 / 1000.0;
        if record.entry.zone == self.config.zone {
            0.0
        } else if record.region == self.config.region {
            kilobytes * ZONE_BYTES
        } else {
            kilobytes * REGION_BYTES
        }
    }

    fn warmup(&self, request: &PlacementRequest<'_>) -> Duration {
        let part = request.route.parts.get(request.part);
        part.and_then(|part| self.services.get(&part.service))
            .map_or(Duration::from_secs(3), |service| service.warmup)
    }

    /// The refusal of a request that servers rejected as full.
    pub fn full(&mut self) -> Refusal {
        self.refusal(RefusalReason::Full, 0.3)
    }

    fn work_of(&mut self, route: &RouteSpec) -> &mut RouteWork {
        if !self.work.contains_key(&route.name) {
            let objective = millis(route.objective);
            let work = RouteWork {
                warm: Average::new(FIRST_WARM_WORK * objective, WORK_WEIGHT),
                cold: Average::new(FIRST_WORK * objective, WORK_WEIGHT),
                rates: WarmthRates::default(),
                longest_deadline: Duration::ZERO,
            };
            self.work.insert(route.name.clone(), work);
        }
        self.work.get_mut(&route.name).expect("inserted above")
    }

    fn refusal(&mut self, reason: RefusalReason, wait: f64) -> Refusal {
        // Xorshift: spreads those who come back over as long again.
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        let spread = (self.dice >> 40) as f64 / (1u64 << 24) as f64;
        let (least, most) = RETURN_RANGE;
        let seconds = (wait + least * spread).max(least) * (1.0 + spread);
        Refusal {
            reason,
            retry_after: Duration::from_secs_f64(seconds.min(most)),
        }
    }
}

/// The longest expected time to the answer for which a request may wait, in
/// milliseconds.
fn patience(request: &PlacementRequest<'_>) -> f64 {
    let remaining = REMAINING_FACTOR * millis(request.remaining);
    if request.returning {
        return remaining;
    }
    let step = OBJECTIVE_STEP * f64::from(request.route.priority.min(3));
    remaining.min((OBJECTIVE_FACTOR - step) * millis(request.route.objective))
}

fn queue_factor(request: &PlacementRequest<'_>) -> f64 {
    if request.returning {
        return RETURN_FACTOR;
    }
    QUEUE_FACTOR - PRIORITY_STEP * f64::from(request.route.priority.min(3))
}

/// Short name of a server in words on load, from its hash. Two servers with one
/// name are merely thought to be busier.
pub fn load_name(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}

/// How far a server at `rank` is from where an object belongs, 0 to 1.
fn affinity(rank: usize) -> f64 {
    const BY_RANK: [f64; 4] = [0.0, 0.3, 0.6, 0.8];
    BY_RANK.get(rank).copied().unwrap_or(1.0)
}

fn worse(known: RefusalReason, found: RefusalReason) -> RefusalReason {
    if known == RefusalReason::Full {
        known
    } else {
        found
    }
}

/// The rank of each candidate within its region, for the object.
fn ranks(candidates: &[Candidate]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_unstable_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.region, std::cmp::Reverse(candidate.weight))
    });
    let mut ranks = vec![0; candidates.len()];
    let mut rank = 0;
    for (position, index) in order.iter().enumerate() {
        let same = position > 0
            && candidates[order[position - 1]].region == candidates[*index].region;
        rank = if same { rank + 1 } else { 0 };
        ranks[*index] = rank;
    }
    ranks
}

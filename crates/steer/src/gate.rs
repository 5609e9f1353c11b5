//! The door of a region at one instance: admits, queues, refuses and hands over.
//!
//! The gate holds the rights of its instance's seats. A request is dispatched only
//! with a right, waits only if it would still be useful, and is refused at once
//! otherwise. Nothing here waits for another instance.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use base::prelude::*;
use conf::{Deployment, Region};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::event::{Arrival, GateAction, GateEvent, Origin, RequestId, RunResult};
use crate::guard::SeatGuard;
use crate::message::{AskId, EntryMessage, LoadDigest, LoanId};
use crate::plan::{MemberPlan, Plan, SeatGrant, ServerPlan};
use crate::pool::{OpenAsk, PeerAsk, PoolGate, RunningRequest, WaitingRequest};
use crate::refusal::{Refusal, RefusalReason};
use crate::rights::{NewLoan, ServerGrant, slot_owner};
use crate::shift::ShiftLimiter;

/// Peers that one waiting request asks for a right.
const ASK_FANOUT: usize = 3;
/// Peers of the region that an instance trades rights with.
const LOAN_GROUP: usize = 16;
/// Longest use of a borrowed right, in deadlines of its service.
const LOAN_TERM: u32 = 2;
/// Part of the mean service time for which an idle borrowed right is kept.
const LINGER_SHARE: f64 = 0.1;
/// Time between two load digests.
const DIGEST_PERIOD: Duration = Duration::from_millis(250);
/// Peers of the region, and as many outside it, that get one load digest.
const DIGEST_FANOUT: usize = 3;
/// Age at which a peer's digest says nothing any more.
const DIGEST_AGE: Duration = Duration::from_secs(2);
/// Time for which a late grant of a withdrawn ask is recognised and returned.
const WITHDRAWN_AGE: Duration = Duration::from_secs(60);
/// Time for which the slot of an aborted run isn't used again: its backend server has
/// to notice first.
const ABORT_GRACE: Duration = Duration::from_millis(20);
/// Added to the longest deadline before slots of a former holder are used.
const TAKEOVER_GRACE: Duration = Duration::from_millis(500);
/// Time after a takeover from which a server's idleness counts: work of the former
/// holder may have been on its way before.
const IDLE_GRACE: Duration = Duration::from_millis(200);
/// Time to come back where the instance may not admit.
const NO_SEAT_RETRY: Duration = Duration::from_secs(1);
/// Shortest time to come back.
const MIN_RETRY: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
struct HeldSeat {
    epoch: u64,
    since: Instant,
    contested: bool,
    vacate: bool,
}

#[derive(Debug, Clone, Default)]
struct PeerLoad {
    at: Option<Instant>,
    spare: HashMap<ServiceId, u16>,
}

/// Load of one service, for metrics and status.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// Own rights.
    pub owned: u16,
    /// Own rights without work.
    pub spare: u16,
    /// Requests in flight.
    pub in_flight: usize,
    /// Requests that wait.
    pub waiting: usize,
}

/// State of the door, for metrics and status.
#[derive(Debug, Clone, PartialEq)]
pub struct GateStats {
    /// Whether work may be admitted.
    pub permitted: bool,
    /// Seats held.
    pub seats: Vec<u16>,
    /// Load by service.
    pub services: Vec<ServiceLoad>,
}

/// The door of one region at one instance.
#[derive(Debug)]
pub struct RegionGate {
    node: NodeId,
    region: RegionId,
    deployment: Option<Arc<Deployment>>,
    pools: HashMap<ServiceId, PoolGate>,
    services_of: HashMap<RequestId, ServiceId>,
    servers: Vec<ServerPlan>,
    idle_at: HashMap<ServerId, Instant>,
    seats: BTreeMap<u16, HeldSeat>,
    guard: SeatGuard,
    stopping: bool,
    link_share: u32,
    near: Vec<MemberPlan>,
    far: Vec<MemberPlan>,
    loads: HashMap<NodeId, PeerLoad>,
    leaving: ShiftLimiter,
    entering: ShiftLimiter,
    last_digest: Option<Instant>,
    contested_until: Option<Instant>,
    next_ask: u64,
    next_loan: u64,
    next_peer: usize,
    rng: ChaCha8Rng,
}

impl RegionGate {
    /// A gate for `region` at `node`; `seed` spreads the times to come back.
    pub fn new(node: &NodeId, region: &RegionId, seed: u64) -> Self {
        let limiter = ShiftLimiter::new(0.0, Duration::from_secs(10));
        Self {
            node: node.clone(),
            region: region.clone(),
            deployment: None,
            pools: HashMap::new(),
            services_of: HashMap::new(),
            servers: Vec::new(),
            idle_at: HashMap::new(),
            seats: BTreeMap::new(),
            guard: SeatGuard::new(),
            stopping: false,
            link_share: 0,
            near: Vec::new(),
            far: Vec::new(),
            loads: HashMap::new(),
            leaving: limiter.clone(),
            entering: limiter,
            last_digest: None,
            contested_until: None,
            next_ask: 0,
            next_loan: 0,
            next_peer: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes a plan over. Versions have been checked by the caller.
    pub fn apply_plan(&mut self, now: Instant, plan: &Plan) {
        let deployment = &plan.deployment;
        self.leaving
            .configure(deployment.shift_cap, deployment.shift_window);
        self.entering
            .configure(deployment.shift_cap, deployment.shift_window);
        for service in deployment.services.values() {
            match self.pools.get_mut(&service.id) {
                Some(pool) => pool.service = service.clone(),
                None => {
                    self.pools
                        .insert(service.id.clone(), PoolGate::new(service));
                }
            }
        }
        self.deployment = Some(Arc::clone(deployment));
        self.servers.clone_from(&plan.servers);
        let others = plan.members.iter().filter(|peer| peer.node != self.node);
        let (near, far) = others.cloned().partition(|peer| peer.region == self.region);
        self.near = loan_group(&self.node, near);
        self.far = far;
        let known: HashSet<&NodeId> = self.near.iter().chain(&self.far).map(|p| &p.node).collect();
        self.loads.retain(|node, _| known.contains(node));
        self.set_grants(now);
    }

    /// Takes over the seats that lh-steer granted when asked at `asked_at`.
    pub fn apply_seats(&mut self, now: Instant, asked_at: Instant, grants: &[SeatGrant]) {
        let mut seats = BTreeMap::new();
        for grant in grants {
            let known = self
                .seats
                .get(&grant.index)
                .filter(|seat| seat.epoch == grant.epoch);
            let since = known.map_or(now, |seat| seat.since);
            seats.insert(
                grant.index,
                HeldSeat {
                    epoch: grant.epoch,
                    since,
                    contested: grant.contested,
                    vacate: grant.vacate,
                },
            );
        }
        self.seats = seats;
        match grants.iter().map(|grant| grant.remaining).min() {
            Some(remaining) => self.guard.on_lease(asked_at, remaining),
            None => self.guard.on_lost(),
        }
        self.set_grants(now);
    }

    /// Servers that were found idle, as long ago as told, before `asked_at`. What ran
    /// there for a former holder of a seat has ended.
    pub fn apply_idle(&mut self, asked_at: Instant, idle: &[(ServerId, Duration)]) {
        for (server, age) in idle {
            let Some(at) = asked_at.checked_sub(*age) else {
                continue;
            };
            let latest = self.idle_at.entry(server.clone()).or_insert(at);
            *latest = at.max(*latest);
        }
    }

    /// From now on every new request is refused; those in flight go on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether every new request is refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.services_of.is_empty() && self.pools.values().all(|pool| pool.queue.is_empty())
    }

    /// Seats with their epochs.
    pub fn seats(&self) -> Vec<(u16, u64)> {
        self.seats
            .iter()
            .map(|(index, seat)| (*index, seat.epoch))
            .collect()
    }

    /// Seats that are to be vacated and whose slots are empty.
    pub fn vacated(&self) -> Vec<u16> {
        let within = self.pools.values().all(|pool| pool.rights.within_grants());
        if !within {
            return Vec::new();
        }
        let vacating = self.seats.iter().filter(|(_, seat)| seat.vacate);
        vacating.map(|(index, _)| *index).collect()
    }

    /// Instances whose messages came in within `age`.
    pub fn heard(&self, now: Instant, age: Duration) -> Vec<InstanceId> {
        self.loads
            .iter()
            .filter(|(_, load)| {
                load.at
                    .is_some_and(|at| now.saturating_duration_since(at) < age)
            })
            .map(|(node, _)| node.instance.clone())
            .collect()
    }

    /// Rights in use on `server`, own and borrowed.
    pub fn used_on(&self, server: &ServerId) -> u16 {
        let used = self.pools.values().map(|pool| pool.rights.used_on(server));
        used.sum()
    }

    /// State for metrics and status.
    pub fn stats(&self, now: Instant) -> GateStats {
        let mut services: Vec<ServiceLoad> = self
            .pools
            .iter()
            .map(|(service, pool)| ServiceLoad {
                service: service.clone(),
                owned: pool.rights.owned(),
                spare: pool.rights.spare(now),
                in_flight: pool.rights.in_flight(),
                waiting: pool.queue.len(),
            })
            .collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        GateStats {
            permitted: self.guard.permits(now),
            seats: self.seats.keys().copied().collect(),
            services,
        }
    }

    /// Handles one event and appends what is to be done.
    pub fn on_event(&mut self, now: Instant, event: &GateEvent, actions: &mut Vec<GateAction>) {
        match event {
            GateEvent::Arrive(arrival) => self.arrive(now, arrival, actions),
            GateEvent::Finished { request, result } => {
                self.finish(now, *request, *result, actions);
            }
            GateEvent::Abandon { request } => self.abandon(now, *request, actions),
            GateEvent::Message { from, body } => self.message(now, from, body, actions),
            GateEvent::Tick => self.tick(now, actions),
        }
    }

    fn arrive(&mut self, now: Instant, arrival: &Arrival, actions: &mut Vec<GateAction>) {
        self.leaving.arrive(now);
        self.entering.arrive(now);
        let verdict = self
            .check_door(now, arrival)
            .and_then(|()| self.admit(now, arrival, actions));
        let Err(refusal) = verdict else {
            return;
        };
        if let Some(spill) = self.spill(now, arrival, refusal.reason) {
            actions.push(spill);
            return;
        }
        actions.push(GateAction::Refuse {
            request: arrival.request,
            refusal,
        });
    }

    /// What holds whatever the load: seats, stop, service, deadline, shift cap.
    fn check_door(&mut self, now: Instant, arrival: &Arrival) -> Result<(), Refusal> {
        if self.stopping {
            return Err(self.refusal(RefusalReason::Draining, MIN_RETRY));
        }
        let Some(pool) = self.pools.get(&arrival.service) else {
            return Err(self.refusal(RefusalReason::UnknownService, NO_SEAT_RETRY));
        };
        if now + pool.mean().min(pool.service.deadline / 2) > arrival.deadline {
            return Err(self.refusal(RefusalReason::DeadlineTooShort, MIN_RETRY));
        }
        if !self.guard.permits(now) {
            return Err(self.refusal(RefusalReason::NoSeat, NO_SEAT_RETRY));
        }
        Ok(())
    }

    /// Dispatches the request, lets it wait, or refuses it.
    fn admit(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        actions: &mut Vec<GateAction>,
    ) -> Result<(), Refusal> {
        if self.servers.is_empty() {
            return Err(self.refusal(RefusalReason::NoServer, NO_SEAT_RETRY));
        }
        let link_open = self.link_open();
        let Some(pool) = self.pools.get(&arrival.service) else {
            return Err(self.refusal(RefusalReason::UnknownService, NO_SEAT_RETRY));
        };
        let waits = !pool.queue.is_empty() || !link_open || !pool.rights.has_spare(now);
        let peers_spare = || self.peers_spare(now, &arrival.service);
        if waits && !pool.can_wait(now, arrival.deadline, peers_spare()) {
            let wait = pool.expected_wait() + pool.mean();
            return Err(self.refusal(RefusalReason::Overloaded, wait));
        }
        self.count_foreign(now, arrival)?;
        if !waits {
            self.dispatch(now, arrival, actions);
            return Ok(());
        }
        if let Some(pool) = self.pools.get_mut(&arrival.service) {
            let predicted = pool.predicted_wait();
            pool.queue.push_back(WaitingRequest {
                arrival: arrival.clone(),
                since: now,
                predicted,
            });
        }
        self.serve(now, &arrival.service, actions);
        self.ask_peers(now, &arrival.service, actions);
        Ok(())
    }

    /// Foreign work enters only as fast as the shift cap allows, since caches are cold.
    fn count_foreign(&mut self, now: Instant, arrival: &Arrival) -> Result<(), Refusal> {
        let Some(home) = foreign_home(&arrival.origin, &self.region) else {
            return Ok(());
        };
        let home = home.clone();
        self.entering
            .try_move(now, &home)
            .map_err(|wait| self.refusal(RefusalReason::ShiftCap, wait))
    }

    /// Puts the request on a slot; gives `false` where no right is left.
    fn dispatch(&mut self, now: Instant, arrival: &Arrival, actions: &mut Vec<GateAction>) -> bool {
        let link_open = self.link_open();
        let Some(pool) = self.pools.get_mut(&arrival.service) else {
            return false;
        };
        let taken = pool
            .rights
            .take(now, arrival.request, arrival.deadline, link_open);
        let Some(taken) = taken else {
            return false;
        };
        pool.running.insert(
            arrival.request,
            RunningRequest {
                server: taken.server.clone(),
                since: now,
            },
        );
        self.services_of
            .insert(arrival.request, arrival.service.clone());
        actions.push(GateAction::Dispatch {
            request: arrival.request,
            server: taken.server,
            until: taken.until,
        });
        true
    }

    /// Hands an overload or a region without seats over to another region, if the cap allows it.
    fn spill(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        reason: RefusalReason,
    ) -> Option<GateAction> {
        let worth_it = matches!(
            reason,
            RefusalReason::Overloaded | RefusalReason::NoServer | RefusalReason::NoSeat
        );
        let from_caller = matches!(arrival.origin, Origin::Caller { .. });
        if !worth_it || !from_caller || !arrival.may_spill {
            return None;
        }
        let target = self.spill_target(now, &arrival.service)?;
        let (region, node) = (target.region.clone(), target.node.clone());
        self.leaving.try_move(now, &region).ok()?;
        Some(GateAction::Spill {
            request: arrival.request,
            region,
            node,
        })
    }

    /// The open instance of another region that tells of most spare rights.
    fn spill_target(&self, now: Instant, service: &ServiceId) -> Option<&MemberPlan> {
        let mut best: Option<(u16, &MemberPlan)> = None;
        for peer in &self.far {
            if !peer.open {
                continue;
            }
            let spare = self.spare_of(now, &peer.node, service);
            if spare > best.map_or(0, |(most, _)| most) {
                best = Some((spare, peer));
            }
        }
        best.map(|(_, peer)| peer)
    }

    /// Whether a peer of the region tells of a spare right.
    fn peers_spare(&self, now: Instant, service: &ServiceId) -> bool {
        let mut peers = self.near.iter();
        peers.any(|peer| self.spare_of(now, &peer.node, service) > 0)
    }

    fn spare_of(&self, now: Instant, node: &NodeId, service: &ServiceId) -> u16 {
        let Some(load) = self.loads.get(node) else {
            return 0;
        };
        let fresh = load
            .at
            .is_some_and(|at| now.saturating_duration_since(at) < DIGEST_AGE);
        if !fresh {
            return 0;
        }
        load.spare.get(service).copied().unwrap_or(0)
    }

    fn finish(
        &mut self,
        now: Instant,
        request: RequestId,
        result: RunResult,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(service) = self.services_of.remove(&request) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        if result == RunResult::Failed {
            // The server may still be busy with it for a moment.
            pool.cooling.push_back((now + ABORT_GRACE, request));
        } else {
            pool.rights.finish(now, request);
        }
        if let Some(running) = pool.running.remove(&request) {
            let held = now.saturating_duration_since(running.since);
            match result {
                RunResult::Answered => pool.record_run(held, true),
                RunResult::Failed => pool.record_run(held + ABORT_GRACE, false),
                RunResult::Unreachable => pool.rights.suspect(now, &running.server),
                RunResult::Shed => {}
            }
        }
        self.serve(now, &service, actions);
    }

    fn abandon(&mut self, now: Instant, request: RequestId, actions: &mut Vec<GateAction>) {
        let mut services = Vec::new();
        for (service, pool) in &mut self.pools {
            if pool.abandon(request) {
                services.push(service.clone());
            }
        }
        for service in services {
            self.serve(now, &service, actions);
        }
    }

    /// Gives free rights to waiting requests and peers, first come first served.
    fn serve(&mut self, now: Instant, service: &ServiceId, actions: &mut Vec<GateAction>) {
        if self.pools.get(service).is_none_or(PoolGate::is_quiet) {
            return;
        }
        self.refuse_hopeless(now, service, actions);
        while self.guard.permits(now) && self.serve_one(now, service, actions) {}
        self.settle_asks(now, service, actions);
    }

    /// Gives one right away; `false` where nobody waits or no right is free.
    fn serve_one(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) -> bool {
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        pool.peer_asks.retain(|ask| ask.until > now);
        // A loan leaves its slot idle for the way there and back: own requests go first.
        self.dispatch_first(now, service, actions) || self.lend_one(now, service, actions)
    }

    fn dispatch_first(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) -> bool {
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let Some(waiting) = pool.queue.pop_front() else {
            return false;
        };
        let dispatched = self.dispatch(now, &waiting.arrival, actions);
        if let Some(pool) = self.pools.get_mut(service) {
            if dispatched {
                pool.record_wait(now, &waiting);
            } else {
                pool.queue.push_front(waiting);
            }
        }
        dispatched
    }

    fn refuse_hopeless(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let mut kept = std::mem::take(&mut pool.queue);
        let mut refused = Vec::new();
        kept.retain(|waiting| {
            let hopeless = pool.is_hopeless(now, waiting);
            if hopeless {
                refused.push(waiting.clone());
            }
            !hopeless
        });
        pool.queue = kept;
        for waiting in &refused {
            pool.record_wait(now, waiting);
        }
        let wait = pool.expected_wait() + pool.mean();
        for waiting in refused {
            let refusal = self.refusal(RefusalReason::Overloaded, wait);
            let request = waiting.arrival.request;
            actions.push(GateAction::Refuse { request, refusal });
        }
    }

    /// Lends a right to the first peer that waits; `false` where there is none to lend.
    fn lend_one(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) -> bool {
        let link_open = self.link_open();
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let Some(ask) = pool.peer_asks.front() else {
            return false;
        };
        if !link_open || !pool.rights.has_spare(now) {
            return false;
        }
        let number = LoanId(self.next_loan);
        self.next_loan += 1;
        let loan = pool.rights.lend(now, number, &ask.from, ask.ask, ask.term);
        let Some(ask) = pool.peer_asks.pop_front() else {
            return false;
        };
        let Some(loan) = loan else {
            return true;
        };
        actions.push(GateAction::Send {
            to: ask.from,
            body: EntryMessage::Grant {
                ask: ask.ask,
                loan: loan.loan,
                server: loan.server,
                term: ask.term,
            },
        });
        true
    }

    /// Asks peers for rights, as long as more requests wait than asks are open.
    fn ask_peers(&mut self, now: Instant, service: &ServiceId, actions: &mut Vec<GateAction>) {
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        if pool.queue.is_empty() || pool.asks.len() >= pool.queue.len() * ASK_FANOUT {
            return;
        }
        let term = pool.service.deadline * LOAN_TERM;
        let wait = pool.service.deadline;
        for lender in self.lenders(now, service) {
            let ask = AskId(self.next_ask);
            self.next_ask += 1;
            let open = OpenAsk {
                lender: lender.clone(),
                sent: now,
                term,
            };
            if let Some(pool) = self.pools.get_mut(service) {
                pool.asks.insert(ask, open);
            }
            actions.push(GateAction::Send {
                to: lender,
                body: EntryMessage::Ask {
                    ask,
                    service: service.clone(),
                    term,
                    wait,
                },
            });
        }
    }

    /// Peers of the region to ask: those that tell of most spare rights, then round robin.
    fn lenders(&mut self, now: Instant, service: &ServiceId) -> Vec<NodeId> {
        let near = &self.near;
        if near.is_empty() {
            return Vec::new();
        }
        let start = self.next_peer % near.len();
        let mut ranked: Vec<(u16, NodeId)> = near[start..]
            .iter()
            .chain(&near[..start])
            .map(|peer| (self.spare_of(now, &peer.node, service), peer.node.clone()))
            .collect();
        ranked.sort_by_key(|(spare, _)| std::cmp::Reverse(*spare));
        self.next_peer = self.next_peer.wrapping_add(1);
        let best = ranked.into_iter().take(ASK_FANOUT);
        best.map(|(_, node)| node).collect()
    }

    /// Withdraws asks that no request waits for, and returns idle borrowed rights.
    fn settle_asks(&mut self, now: Instant, service: &ServiceId, actions: &mut Vec<GateAction>) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        while pool.asks.len() > pool.queue.len() * ASK_FANOUT {
            let Some((ask, open)) = pool.asks.pop_first() else {
                break;
            };
            pool.withdrawn.insert(ask, now);
            actions.push(GateAction::Send {
                to: open.lender,
                body: EntryMessage::Withdraw { ask },
            });
        }
        let linger = pool.mean().mul_f64(LINGER_SHARE);
        for (lender, loan) in pool.rights.release_idle(now, linger) {
            actions.push(return_loan(lender, loan));
        }
    }

    fn message(
        &mut self,
        now: Instant,
        from: &NodeId,
        body: &EntryMessage,
        actions: &mut Vec<GateAction>,
    ) {
        self.guard.on_peer(now);
        self.loads.entry(from.clone()).or_default().at = Some(now);
        match body {
            EntryMessage::Ask {
                ask,
                service,
                term,
                wait,
            } => {
                let ask = PeerAsk {
                    from: from.clone(),
                    ask: *ask,
                    term: *term,
                    until: now + *wait,
                };
                self.on_ask(now, service, ask, actions);
            }
            EntryMessage::Grant {
                ask,
                loan,
                server,
                term,
            } => {
                let loan = NewLoan {
                    loan: *loan,
                    server: server.clone(),
                };
                self.on_grant(now, from, *ask, &loan, *term, actions);
            }
            EntryMessage::Withdraw { ask } => self.on_withdraw(from, *ask),
            EntryMessage::Return { loan } => self.on_return(now, from, *loan, actions),
            EntryMessage::Load(digest) => self.on_load(now, from, digest),
        }
    }

    fn on_ask(
        &mut self,
        now: Instant,
        service: &ServiceId,
        ask: PeerAsk,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if pool.peer_asks.len() < pool.service.queue {
            pool.peer_asks.push_back(ask);
        }
        self.serve(now, service, actions);
    }

    fn on_grant(
        &mut self,
        now: Instant,
        from: &NodeId,
        ask: AskId,
        loan: &NewLoan,
        term: Duration,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(service) = self.service_of_ask(ask) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        if pool.withdrawn.remove(&ask).is_some() {
            actions.push(return_loan(from.clone(), loan.loan));
            return;
        }
        let Some(open) = pool.asks.remove(&ask) else {
            return;
        };
        let ends = open.sent + term.min(open.term);
        if open.lender == *from && ends > now {
            pool.rights.borrow(now, from, loan, ends);
        }
        self.serve(now, &service, actions);
    }

    fn service_of_ask(&self, ask: AskId) -> Option<ServiceId> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.asks.contains_key(&ask) || pool.withdrawn.contains_key(&ask))
            .map(|(service, _)| service.clone())
    }

    fn on_withdraw(&mut self, from: &NodeId, ask: AskId) {
        for pool in self.pools.values_mut() {
            pool.peer_asks
                .retain(|known| known.ask != ask || known.from != *from);
        }
    }

    fn on_return(
        &mut self,
        now: Instant,
        from: &NodeId,
        loan: LoanId,
        actions: &mut Vec<GateAction>,
    ) {
        // Loan numbers are unique to the pool that lent, so the borrower's name decides.
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.rights.on_return(from, loan);
            }
            self.serve(now, &service, actions);
        }
    }

    fn on_load(&mut self, now: Instant, from: &NodeId, digest: &LoadDigest) {
        let load = self.loads.entry(from.clone()).or_default();
        load.spare = digest.spare.iter().cloned().collect();
        if digest.region == self.region {
            self.leaving.on_peer(now, from, &digest.leaving);
            self.entering.on_peer(now, from, &digest.entering);
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        if self.contested_until.is_some_and(|until| until <= now) {
            self.set_grants(now);
        }
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in &services {
            if let Some(pool) = self.pools.get_mut(service) {
                pool.end_cooling(now);
                pool.rights.expire(now);
                pool.give_up_asks(now);
                pool.withdrawn
                    .retain(|_, at| now.saturating_duration_since(*at) < WITHDRAWN_AGE);
            }
            self.serve(now, service, actions);
            self.ask_peers(now, service, actions);
        }
        self.send_digest(now, actions);
    }

    fn send_digest(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        let due = self
            .last_digest
            .is_none_or(|at| now.saturating_duration_since(at) >= DIGEST_PERIOD);
        if !due {
            return;
        }
        self.last_digest = Some(now);
        let open = self.guard.permits(now) && !self.stopping;
        let spare = |pool: &PoolGate| if open { pool.rights.spare(now) } else { 0 };
        let digest = LoadDigest {
            region: self.region.clone(),
            spare: self
                .pools
                .iter()
                .map(|(service, pool)| (service.clone(), spare(pool)))
                .collect(),
            leaving: self.leaving.previous_counts(now),
            entering: self.entering.previous_counts(now),
        };
        for group in [&self.near, &self.far] {
            if group.is_empty() {
                continue;
            }
            let start = self.rng.random_range(0..group.len());
            for step in 0..group.len().min(DIGEST_FANOUT) {
                let peer = &group[(start + step) % group.len()];
                actions.push(GateAction::Send {
                    to: peer.node.clone(),
                    body: EntryMessage::Load(digest.clone()),
                });
            }
        }
    }

    /// Works out anew which slots the held seats own.
    fn set_grants(&mut self, now: Instant) {
        let Some(deployment) = self.deployment.clone() else {
            return;
        };
        let Some(region) = deployment.regions.get(&self.region) else {
            return;
        };
        let usable = self.seats.values().filter(|seat| !seat.vacate).count();
        let usable = u32::try_from(usable).unwrap_or(0);
        self.link_share = region.link_limit / u32::from(region.seats) * usable;
        self.contested_until = None;
        let mut grants: HashMap<ServiceId, Vec<ServerGrant>> = HashMap::new();
        for pool in deployment.pools_in(region) {
            let Some(service) = deployment.services.get(&pool.service) else {
                continue;
            };
            let quarantine = service.deadline + TAKEOVER_GRACE;
            for id in &pool.servers {
                let seats = self.ready_seats(now, quarantine, id);
                let grant = self.server_grant(region, pool.slots, id, &seats);
                grants.entry(pool.service.clone()).or_default().push(grant);
            }
        }
        for (service, pool) in &mut self.pools {
            let none = Vec::new();
            pool.rights.set_grants(grants.get(service).unwrap_or(&none));
        }
    }

    /// Seats whose slots on `server` may be used: not the vacated ones, and those of a
    /// former holder only after its longest work must have ended, or after the server
    /// was found idle.
    fn ready_seats(&mut self, now: Instant, quarantine: Duration, server: &ServerId) -> Vec<u16> {
        let mut ready = Vec::new();
        for (index, seat) in &self.seats {
            if seat.vacate {
                continue;
            }
            let from = seat.since + quarantine;
            let found_idle = self
                .idle_at
                .get(server)
                .is_some_and(|at| *at > seat.since + IDLE_GRACE);
            if seat.contested && now < from && !found_idle {
                let earliest = self.contested_until.map_or(from, |until| until.min(from));
                self.contested_until = Some(earliest);
                continue;
            }
            ready.push(*index);
        }
        ready
    }

    fn server_grant(
        &self,
        region: &Region,
        slots: u16,
        id: &ServerId,
        seats: &[u16],
    ) -> ServerGrant {
        let plan = self.servers.iter().find(|server| server.id == *id);
        let active = plan.map_or(0, |server| server.active_slots.min(slots));
        let owned = (0..active).filter(|slot| seats.contains(&slot_owner(id, *slot, region.seats)));
        ServerGrant {
            id: id.clone(),
            own: u16::try_from(owned.count()).unwrap_or(u16::MAX),
            open: plan.is_some_and(|server| server.open),
        }
    }

    fn link_open(&self) -> bool {
        let committed: u32 = self
            .pools
            .values()
            .map(|pool| pool.rights.committed())
            .sum();
        committed < self.link_share
    }

    /// A refusal whose time to come back is spread over `wait` to twice `wait`.
    fn refusal(&mut self, reason: RefusalReason, wait: Duration) -> Refusal {
        let spread = 1.0 + self.rng.random::<f64>();
        Refusal {
            reason,
            retry_after: wait.max(MIN_RETRY).mul_f64(spread),
        }
    }
}

/// The peers that follow `node` in the order of names, at most [`LOAN_GROUP`], so that
/// every instance trades with a bounded group and the groups overlap.
fn loan_group(node: &NodeId, mut near: Vec<MemberPlan>) -> Vec<MemberPlan> {
    near.sort_by(|a, b| a.node.cmp(&b.node));
    let after = near.partition_point(|peer| peer.node < *node);
    near.rotate_left(after);
    near.truncate(LOAN_GROUP);
    near
}

fn foreign_home<'a>(origin: &'a Origin, here: &RegionId) -> Option<&'a RegionId> {
    let home = match origin {
        Origin::Caller { home } => home.as_ref()?,
        Origin::Instance { region } => region,
    };
    (home != here).then_some(home)
}

fn return_loan(lender: NodeId, loan: LoanId) -> GateAction {
    GateAction::Send {
        to: lender,
        body: EntryMessage::Return { loan },
    }
}

//! The door of a region at one instance: admits, queues, refuses and hands over.
//!
//! The gate holds the rights of its instance's seats. A request is dispatched only
//! with a right, waits only if it would still be useful, and is refused at once
//! otherwise. Nothing here waits for another instance.

mod control;
mod grants;
mod loads;
mod loans;
mod queue;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use base::prelude::*;
use conf::Deployment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::event::{Arrival, GateAction, GateEvent, Origin, RequestId, RunResult};
use crate::guard::SeatGuard;
use crate::message::EntryMessage;
use crate::plan::{MemberPlan, Plan, SeatGrant, ServerPlan};
use crate::pool::{PeerAsk, PoolGate, RunningRequest, WaitingRequest};
use crate::refusal::{Refusal, RefusalReason};
use crate::rights::NewLoan;
use crate::shift::ShiftLimiter;

/// Time for which a late grant of a withdrawn ask is recognised and returned.
const WITHDRAWN_AGE: Duration = Duration::from_secs(60);
/// Time for which the slot of an aborted run isn't used again: its backend server has
/// to notice first.
const ABORT_GRACE: Duration = Duration::from_millis(20);
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
    idle_at: HashMap<BackendServerId, Instant>,
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
        if !waits && self.dispatch(now, arrival, actions) {
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
            pool.rights.finish(request);
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

    /// A refusal whose time to come back is spread over `wait` to twice `wait`.
    fn refusal(&mut self, reason: RefusalReason, wait: Duration) -> Refusal {
        let spread = 1.0 + self.rng.random::<f64>();
        Refusal {
            reason,
            retry_after: wait.max(MIN_RETRY).mul_f64(spread),
        }
    }
}

fn foreign_home<'a>(origin: &'a Origin, here: &RegionId) -> Option<&'a RegionId> {
    let home = match origin {
        Origin::Caller { home } => home.as_ref()?,
        Origin::Instance { region } => region,
    };
    (home != here).then_some(home)
}

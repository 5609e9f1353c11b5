//! A few gates under virtual time: messages with delay, loss and repetition, and
//! backend servers that count every moment beyond their slots.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use base::prelude::*;
use conf::{ConfigBundle, Deployment};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use steer::{
    Arrival, EntryMessage, GateAction, GateEvent, MemberPlan, Origin, Plan, RegionGate, RequestId,
    RunResult, SeatGrant, ServerPlan,
};

pub const SERVICE: &str = "board";

/// How the fleet is built and what goes wrong.
#[derive(Clone)]
pub struct FleetSpec {
    pub gates: usize,
    pub servers: usize,
    pub slots: u16,
    pub service_time: Duration,
    pub deadline: Duration,
    pub hop: Duration,
    pub loss: f64,
    pub repeat: f64,
    pub loans: bool,
    pub seed: u64,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            gates: 4,
            servers: 4,
            slots: 3,
            service_time: Duration::from_millis(30),
            deadline: Duration::from_millis(150),
            hop: Duration::from_micros(1500),
            loss: 0.0,
            repeat: 0.0,
            loans: true,
            seed: 1,
        }
    }
}

#[derive(Debug, Clone)]
enum Happening {
    Arrive {
        gate: usize,
        request: RequestId,
    },
    RunEnds {
        gate: usize,
        request: RequestId,
        token: u64,
    },
    Message {
        from: NodeId,
        to: usize,
        incarnation: Incarnation,
        body: EntryMessage,
    },
    Tick {
        gate: usize,
    },
}

struct Run {
    server: BackendServerId,
    token: u64,
    answered: bool,
}

/// What came of the requests.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    pub arrived: usize,
    pub useful: usize,
    pub late: usize,
    pub refused: usize,
    pub spilled: usize,
    pub messages: usize,
    pub overbooked: usize,
    pub reasons: HashMap<&'static str, usize>,
    pub micros: Vec<u64>,
}

impl Tally {
    pub fn quantile(&self, quantile: f64) -> Duration {
        let mut times = Histogram::<u64>::new_with_max(600_000_000, 3).unwrap();
        for micros in &self.micros {
            times.record(*micros).unwrap();
        }
        Duration::from_micros(times.value_at_quantile(quantile))
    }

    pub fn goodput(&self) -> f64 {
        self.useful as f64 / self.arrived as f64
    }
}

/// The deployment of the fleet: regions `north` and `south`, one service.
pub fn deployment(spec: &FleetSpec) -> Arc<Deployment> {
    let addresses: Vec<String> = (0..spec.servers)
        .map(|n| format!("10.0.0.{}:80", n + 1))
        .collect();
    let base = format!(
        "[deployment]\nname = fleet\n[region north]\ndomains = n1\nseats = {}\n\
         [region south]\ndomains = s1\nseats = 4\n\
         [service {SERVICE}]\nrepeat = idempotent\ndeadline = {}ms\nservice_time = {}ms\n\
         [pool {SERVICE} n1]\nservers = {}\nslots = {}\nwarm_up = 0s\n",
        spec.gates,
        spec.deadline.as_millis(),
        spec.service_time.as_millis(),
        addresses.join(", "),
        spec.slots,
    );
    let bundle = ConfigBundle::new().with_file("base.ini", &base);
    Arc::new(bundle.deployment().unwrap())
}

pub fn node(number: usize, run: u64) -> NodeId {
    NodeId::new(&InstanceId::new(format!("i{number}")), Incarnation(run))
}

pub fn member(node: &NodeId, region: &str) -> MemberPlan {
    let address = "127.0.0.1:1".parse().unwrap();
    MemberPlan {
        node: node.clone(),
        region: RegionId::new(region),
        domain: FailureDomainId::new("n1"),
        relay: address,
        lookup: address,
        mesh: address,
        stamp: String::new(),
        open: true,
    }
}

pub fn plan(deployment: &Arc<Deployment>, members: Vec<MemberPlan>) -> Plan {
    let servers = deployment.pools.iter().flat_map(|pool| {
        pool.servers.iter().map(|id| ServerPlan {
            id: id.clone(),
            open: true,
            active_slots: pool.slots,
        })
    });
    Plan {
        version: 1,
        hash: String::new(),
        deployment: Arc::clone(deployment),
        servers: servers.collect(),
        members,
    }
}

pub fn grant(index: u16, remaining: Duration) -> SeatGrant {
    SeatGrant {
        index,
        epoch: 1,
        remaining,
        contested: false,
        vacate: false,
    }
}

/// Looks at what is in use after every step.
pub type StepCheck = Box<dyn FnMut(&HashMap<BackendServerId, u16>)>;

/// Gates of one region, driven under virtual time.
pub struct Fleet {
    pub spec: FleetSpec,
    pub start: Instant,
    pub now: Instant,
    pub gates: Vec<RegionGate>,
    pub tally: Tally,
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    pub on_step: Option<StepCheck>,
    nodes: Vec<NodeId>,
    in_use: HashMap<BackendServerId, u16>,
    runs: HashMap<(usize, RequestId), Run>,
    began: HashMap<RequestId, Instant>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    happenings: HashMap<u64, Happening>,
    next: u64,
    pub rng: ChaCha8Rng,
}

impl Fleet {
    pub fn new(spec: FleetSpec) -> Self {
        let start = Instant::now();
        let nodes: Vec<NodeId> = (0..spec.gates).map(|n| node(n, 1)).collect();
        let deployment = deployment(&spec);
        let mut gates = Vec::new();
        for (number, own) in nodes.iter().enumerate() {
            let mut gate = RegionGate::new(own, &RegionId::new("north"), spec.seed + number as u64);
            let members = if spec.loans {
                nodes.iter().map(|n| member(n, "north")).collect()
            } else {
                vec![member(own, "north")]
            };
            gate.apply_plan(start, &plan(&deployment, members));
            let seat = grant(u16::try_from(number).unwrap(), Duration::from_secs(100_000));
            gate.apply_seats(start, start, &[seat]);
            gates.push(gate);
        }
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            start,
            now: start,
            gates,
            tally: Tally::default(),
            cut: Box::new(|_, _| false),
            on_step: None,
            nodes,
            in_use: HashMap::new(),
            runs: HashMap::new(),
            began: HashMap::new(),
            events: BinaryHeap::new(),
            happenings: HashMap::new(),
            next: 0,
            spec,
        };
        for gate in 0..fleet.spec.gates {
            let offset = Duration::from_micros(fleet.rng.random_range(0..10_000));
            fleet.schedule(start + offset, Happening::Tick { gate });
        }
        fleet
    }

    fn schedule(&mut self, at: Instant, happening: Happening) {
        let number = self.next;
        self.next += 1;
        self.events.push(Reverse((at, number)));
        self.happenings.insert(number, happening);
    }

    /// Poisson arrivals at `rate` a second over all gates, `skew` of them at gate 0.
    pub fn add_load(&mut self, from: Duration, time: Duration, rate: f64, skew: Option<f64>) {
        let mut at = self.start + from;
        let end = at + time;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                return;
            }
            let hot = skew.is_some_and(|share| self.rng.random::<f64>() < share);
            let gate = match (hot, skew) {
                (true, _) => 0,
                (false, Some(_)) => self.rng.random_range(1..self.spec.gates),
                (false, None) => self.rng.random_range(0..self.spec.gates),
            };
            let request = RequestId(self.next);
            self.schedule(at, Happening::Arrive { gate, request });
        }
    }

    /// Runs until `until` after the start.
    pub fn run_until(&mut self, until: Duration) {
        let end = self.start + until;
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
            if let Some(check) = &mut self.on_step {
                check(&self.in_use);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive { gate, request } => {
                self.tally.arrived += 1;
                self.began.insert(request, self.now);
                let arrival = Arrival {
                    request,
                    service: ServiceId::new(SERVICE),
                    deadline: self.now + self.spec.deadline,
                    origin: Origin::Caller { home: None },
                    may_spill: false,
                };
                self.feed(gate, &GateEvent::Arrive(arrival));
            }
            Happening::RunEnds {
                gate,
                request,
                token,
            } => self.end_run(gate, request, token),
            Happening::Message {
                from,
                to,
                incarnation,
                body,
            } => {
                if self.nodes[to].incarnation == incarnation {
                    self.feed(to, &GateEvent::Message { from, body });
                }
            }
            Happening::Tick { gate } => {
                self.feed(gate, &GateEvent::Tick);
                self.schedule(
                    self.now + Duration::from_millis(10),
                    Happening::Tick { gate },
                );
            }
        }
    }

    fn end_run(&mut self, gate: usize, request: RequestId, token: u64) {
        let Some(run) = self
            .runs
            .get(&(gate, request))
            .filter(|run| run.token == token)
        else {
            return;
        };
        let (server, answered) = (run.server.clone(), run.answered);
        self.runs.remove(&(gate, request));
        *self.in_use.get_mut(&server).unwrap() -= 1;
        let took = self.now - self.began[&request];
        if answered && took <= self.spec.deadline {
            self.tally.useful += 1;
            self.tally.micros.push(took.as_micros() as u64);
        } else {
            self.tally.late += 1;
        }
        let result = if answered {
            RunResult::Answered
        } else {
            RunResult::Failed
        };
        self.feed(gate, &GateEvent::Finished { request, result });
    }

    /// The runs of `gate` stay at their servers, but nobody hears of them any more.
    pub fn lose_gate(&mut self, gate: usize, run: u64) {
        let lost: Vec<_> = self
            .runs
            .keys()
            .filter(|(g, _)| *g == gate)
            .copied()
            .collect();
        for key in lost {
            let run = self.runs.remove(&key).unwrap();
            *self.in_use.get_mut(&run.server).unwrap() -= 1;
        }
        self.nodes[gate] = node(gate, run);
    }

    pub fn feed(&mut self, gate: usize, event: &GateEvent) {
        let mut actions = Vec::new();
        self.gates[gate].on_event(self.now, event, &mut actions);
        for action in actions {
            self.act(gate, action);
        }
    }

    fn act(&mut self, gate: usize, action: GateAction) {
        match action {
            GateAction::Dispatch {
                request,
                server,
                until,
            } => {
                let used = self.in_use.entry(server.clone()).or_default();
                *used += 1;
                if *used > self.spec.slots {
                    self.tally.overbooked += 1;
                }
                let draw = -(1.0 - self.rng.random::<f64>()).ln();
                let ends = self.now + self.spec.service_time.mul_f64(draw);
                let answered = ends <= until;
                let token = self.next;
                self.runs.insert(
                    (gate, request),
                    Run {
                        server,
                        token,
                        answered,
                    },
                );
                let ends = ends.min(until);
                self.schedule(
                    ends,
                    Happening::RunEnds {
                        gate,
                        request,
                        token,
                    },
                );
            }
            GateAction::Refuse { refusal, .. } => {
                self.tally.refused += 1;
                *self
                    .tally
                    .reasons
                    .entry(refusal.reason.as_str())
                    .or_default() += 1;
            }
            GateAction::Spill { .. } => self.tally.spilled += 1,
            GateAction::Send { to, body } => self.post(gate, &to, &body),
        }
    }

    fn post(&mut self, from: usize, to: &NodeId, body: &EntryMessage) {
        self.tally.messages += 1;
        let Some(target) = self.nodes.iter().position(|n| n.instance == to.instance) else {
            return;
        };
        if (self.cut)(from, target) || self.rng.random::<f64>() < self.spec.loss {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.spec.repeat {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let extra = if copy == 0 {
                0.0
            } else {
                self.rng.random::<f64>() * 20.0
            };
            let delay = self
                .spec
                .hop
                .mul_f64(1.0 + self.rng.random::<f64>() * 0.2 + extra);
            let happening = Happening::Message {
                from: self.nodes[from].clone(),
                to: target,
                incarnation: to.incarnation,
                body: body.clone(),
            };
            self.schedule(self.now + delay, happening);
        }
    }

    pub fn in_use(&self) -> u16 {
        self.in_use.values().sum()
    }
}

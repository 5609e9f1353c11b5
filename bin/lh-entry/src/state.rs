//! State shared by all tasks of the entry. They run on one thread, so cells need no locks.

mod operator;
mod registry;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::{Incarnation, InstanceId, NodeId};
use place::durations::DurationTable;
use place::fleet::advertise::RateMeter;
use place::fleet::candidate::LeadCandidate;
use place::fleet::copies::CopyScheduler;
use place::fleet::log::RegistryLog;
use place::fleet::member::MemberConfig;
use place::placing::load::load_interval;
use place::prelude::*;
use place::rank::stable_hash;
use place::routes::ANY_HOST;
use platform::client::StoreClient;
use team::fairness::FairnessRanker;
use team::index::TeamIndex;
use team::quota::QuotaLimiter;

use crate::config::EntryConfig;
use crate::connect::ahead::ConnectionOpener;
use crate::connect::dialer::Dialer;
use crate::crash::CrashProbes;
use crate::fleet::FleetDriver;
use crate::header_audit::HeaderAudit;
use crate::homes::HomeRegionTable;
use crate::load_reports::LoadReporter;
use crate::logs::LogRateLimiter;
use crate::memory::SharedMemory;
use crate::metrics::EntryMetrics;
use crate::operator::refusals::RefusalTable;
use crate::pool::ConnectionPool;
use crate::readiness::Requirement;
use crate::relay::RelayState;
use crate::rollout::RolloutState;
use crate::statements::UrgentReporter;
use crate::stop::StopPhase;
use crate::suspension::SuspensionDetector;
use crate::ticket::TicketTable;
use crate::view::EncodedChanges;
use crate::watch::Dependency;

/// Shared state of the entry.
#[derive(Debug)]
pub(crate) struct InstanceState {
    pub(crate) config: EntryConfig,
    /// Instance and incarnation of this process.
    pub(crate) node: NodeId,
    pub(crate) tickets: TicketTable,
    pub(crate) placer: RefCell<RequestPlacer>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    pub(crate) desired: RefCell<Option<Rc<DesiredState>>>,
    pub(crate) teams: RefCell<Rc<TeamIndex>>,
    /// Limits log lines about requests that admission denied.
    pub(crate) denial_log_limit: LogRateLimiter,
    /// Last logged list of teams and routes without a common home region.
    logged_home_conflicts: RefCell<String>,
    pub(crate) limits: Cell<RequestLimits>,
    pub(crate) evacuated: RefCell<HashSet<String>>,
    /// Changes of the server registry, for other entries.
    pub(crate) servers: RefCell<RegistryLog>,
    /// Encoded changes, cached for other entries.
    pub(crate) encoded: RefCell<EncodedChanges>,
    /// Schedules full copies of the registry for other entries.
    pub(crate) copies: RefCell<CopyScheduler>,
    /// Client for reading the registry; `None` while a read is in progress.
    pub(crate) registry: RefCell<Option<StoreClient>>,
    pub(crate) registry_dependency: RefCell<Dependency>,
    /// Membership in the fleet of entries.
    pub(crate) fleet: FleetDriver,
    /// Detects that the machine was suspended.
    suspensions: RefCell<SuspensionDetector>,
    /// Selects the version of a service that gets a request during a rollout.
    pub(crate) rollouts: RolloutState,
    /// Enforces teams' request quotas.
    pub(crate) quota: RefCell<QuotaLimiter>,
    /// Ranks teams by how far they exceed their fair share.
    pub(crate) fairness: RefCell<FairnessRanker>,
    /// Exchange of load reports with other entries.
    pub(crate) load_reports: LoadReporter,
    /// Reports of requests to servers with a rate limit.
    pub(crate) urgent_reports: UrgentReporter,
    /// Measures the rate of callers' requests.
    pub(crate) request_meter: RefCell<RateMeter>,
    /// Refusals that go on, for operators.
    pub(crate) refusals: RefCell<RefusalTable>,
    /// Request rate per second that was last advertised to other entries.
    pub(crate) advertised_rate: Cell<u32>,
    /// Home regions of client addresses.
    pub(crate) homes: RefCell<HomeRegionTable>,
    pub(crate) pool: ConnectionPool,
    /// Opens connections that carry no request.
    pub(crate) dialer: Dialer,
    /// Relays requests through other entries.
    pub(crate) relay: RelayState,
    /// Opens connections ahead of requests.
    pub(crate) opener: ConnectionOpener,
    /// Tracks servers that aborted requests.
    pub(crate) crashes: CrashProbes,
    pub(crate) metrics: EntryMetrics,
    /// Finds headers of servers that are not read.
    pub(crate) header_audit: HeaderAudit,
    pub(crate) stop: Cell<StopPhase>,
    /// Time by which all requests must have a final response, once a stop was requested.
    pub(crate) answer_by: Cell<Option<Instant>>,
    /// How long requests have taken lately.
    pub(crate) durations: RefCell<DurationTable>,
    pub(crate) stopping: tokio::sync::watch::Sender<StopPhase>,
    pub(crate) in_flight: Rc<Cell<usize>>,
    /// Memory of bodies that callers make this entry hold.
    pub(crate) memory: SharedMemory,
}

impl InstanceState {
    /// Creates the state of an entry that has read nothing from the store yet.
    pub(crate) fn new(config: EntryConfig, metrics: EntryMetrics, incarnation: u64) -> Self {
        let own = stable_hash(config.instance.as_bytes());
        let placer = RequestPlacer::new(place::placing::placer::PlacerConfig {
            domain: config.domain.clone(),
            region: config.region.clone(),
            domains: config.domains.clone(),
            budget: config.budget,
            shift_cap: config.shift_cap,
            costs: config.costs,
            drain: config.drain,
            own,
        });
        let mut placer = if config.plan_returns {
            placer.with_planned_returns()
        } else {
            placer
        };
        if config.region_shares {
            placer.enable_shares(Instant::now(), incarnation);
        }
        let (stopping, _) = tokio::sync::watch::channel(StopPhase::Serving);
        let node = NodeId::new(&InstanceId::new(&config.instance), Incarnation(incarnation));
        Self {
            tickets: TicketTable::new(&node, config.once_records),
            node,
            placer: RefCell::new(placer),
            routes: RefCell::default(),
            desired: RefCell::default(),
            teams: RefCell::default(),
            denial_log_limit: LogRateLimiter::default(),
            logged_home_conflicts: RefCell::default(),
            limits: Cell::new(RequestLimits::default()),
            evacuated: RefCell::default(),
            servers: RefCell::default(),
            encoded: RefCell::default(),
            copies: RefCell::new(CopyScheduler::new(config.link_megabits)),
            registry: RefCell::default(),
            registry_dependency: RefCell::new(Dependency::new("server registry")),
            fleet: FleetDriver::new(member_config(&config, incarnation)),
            suspensions: RefCell::default(),
            rollouts: RolloutState::new(&config, incarnation),
            quota: RefCell::new(quota_limiter(&config, incarnation)),
            fairness: RefCell::default(),
            load_reports: LoadReporter::default(),
            urgent_reports: UrgentReporter::default(),
            request_meter: RefCell::default(),
            refusals: RefCell::default(),
            advertised_rate: Cell::new(0),
            homes: RefCell::default(),
            pool: ConnectionPool::new(config.connect, Dialer::new(config.source)),
            dialer: Dialer::new(config.source),
            relay: RelayState::new(&config.region, own),
            opener: ConnectionOpener::default(),
            crashes: CrashProbes::default(),
            metrics,
            header_audit: HeaderAudit::default(),
            stop: Cell::new(StopPhase::Serving),
            answer_by: Cell::default(),
            durations: RefCell::default(),
            stopping,
            in_flight: Rc::default(),
            memory: SharedMemory::new(config.hold.body_bytes),
            config,
        }
    }

    /// Returns whether this entry is ready to serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_required_state() && self.serves_keys()
    }

    /// Returns what this entry has to know before it is ready.
    pub(crate) fn missing_requirements(&self) -> Vec<Requirement> {
        let mut missing = Requirement::ALL.to_vec();
        missing.retain(|requirement| self.lacks(*requirement));
        missing
    }

    fn lacks(&self, requirement: Requirement) -> bool {
        match requirement {
            Requirement::DesiredState => self.version() == 0,
            Requirement::Servers => self.placer.borrow().catalog.read_at().is_none(),
            Requirement::Keys => self.version() == 0 || !self.serves_keys(),
        }
    }

    /// Returns whether this entry can reach hardly any server, so that others serve callers
    /// better.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.placer.borrow().is_cut_off(Instant::now())
    }

    /// Returns whether this entry can serve only public routes, because its information on
    /// valid keys is too old. If this holds for all entries, look-ups still name this entry
    /// for callers of public routes.
    pub(crate) fn serves_public_only(&self) -> bool {
        self.has_required_state() && !self.serves_keys()
    }

    /// Returns whether the desired state and the registry are known and no stop was requested.
    fn has_required_state(&self) -> bool {
        let known = !self.lacks(Requirement::DesiredState) && !self.lacks(Requirement::Servers);
        known && self.stop.get() == StopPhase::Serving
    }

    /// Returns whether the information on valid keys is fresh enough to serve teams' requests.
    pub(crate) fn serves_keys(&self) -> bool {
        let access = self.config.access;
        self.teams.borrow().is_empty() || access.may_serve(self.proof_age())
    }

    /// Returns the maximum age of what is known of the operator's rows; `None` if unknown.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.detect_suspension();
        self.fleet.proof_age()
    }

    /// Returns the age up to which that information allows serving teams' requests.
    pub(crate) fn proof_within(&self) -> Option<Duration> {
        let has_teams = !self.teams.borrow().is_empty();
        self.config.access.revoke.filter(|_| has_teams)
    }

    /// Detects and handles that the machine was suspended.
    fn detect_suspension(&self) {
        let Some(span) = self.suspensions.borrow_mut().detect() else {
            return;
        };
        log::warn!(span_ms = span.as_millis() as u64; "machine was suspended");
        self.fleet.on_event(FleetEvent::Suspended(span));
    }

    /// Returns whether there are routes for callers on the product's own interface.
    pub(crate) fn has_own_routes(&self) -> bool {
        let routes = self.routes.borrow();
        routes.iter().any(|route| route.host == ANY_HOST)
    }

    /// Returns the version of the desired state in force; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.routes.borrow().version()
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.get() != StopPhase::Serving
    }

    /// Divides shared rates among the entries that get requests. An entry that isn't listed is
    /// on standby: the others don't count it.
    pub(crate) fn refresh_entries(&self) {
        let own = &self.config.instance;
        let (mut hashes, mut near) = (Vec::new(), 0);
        self.fleet.with_regions(|now, regions| {
            for (region, entry) in regions.listed(now) {
                if entry.node != *own {
                    hashes.push(entry.hash());
                    near += usize::from(region == self.config.region);
                }
            }
        });
        self.relay.refresh(self);
        let is_listed = self.fleet.is_listed();
        let listed = hashes.len() + usize::from(is_listed);
        self.rollouts
            .set_entries(listed, is_listed || self.fleet.is_isolated());
        let pause = load_interval(near as u32);
        let now = Instant::now();
        self.quota.borrow_mut().set_entries(now, &hashes, pause);
        let mut placer = self.placer.borrow_mut();
        placer.set_entries(hashes, near);
        let gets_requests = is_listed || self.fleet.is_isolated();
        placer.set_standby(!gets_requests);
    }
}

fn quota_limiter(config: &EntryConfig, incarnation: u64) -> QuotaLimiter {
    QuotaLimiter::new(
        Instant::now(),
        config.quota,
        incarnation,
        !config.seeds.is_empty(),
    )
}

fn member_config(config: &EntryConfig, incarnation: u64) -> MemberConfig {
    MemberConfig {
        incarnation,
        candidate: LeadCandidate {
            node: config.instance.clone(),
            domain: config.domain.clone(),
            peer_address: config.peer_address,
            view_address: config.view_address,
            capacity: config.capacity,
            has_store_access: true,
            leads: false,
        },
        region: config.region.clone(),
        caller_address: config.caller_address,
        regions: config.domains.values().cloned().collect(),
        seeds: config.seeds.clone(),
        drain: config.drain,
    }
}

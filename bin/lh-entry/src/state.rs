//! What the parts of the entry share. One thread, so plain cells do.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::{Incarnation, InstanceId, NodeId};
use place::catalog::CatalogChange;
use place::departure::Departure;
use place::fleet::advertise::RateMeter;
use place::fleet::candidate::LeadCandidate;
use place::fleet::copies::CopyScheduler;
use place::fleet::log::{ReadScope, RegistryDelta, RegistryLog};
use place::fleet::member::MemberConfig;
use place::fleet::store_progress::StoreProgress;
use place::placing::load::load_interval;
use place::prelude::*;
use place::rank::stable_hash;
use place::routes::ANY_HOST;
use platform::client::StoreClient;
use platform::desired::OperatorChange;
use team::fairness::FairnessRanker;
use team::index::TeamIndex;
use team::quota::QuotaLimiter;

use crate::admission;
use crate::config::EntryConfig;
use crate::crash::CrashProbes;
use crate::fleet::FleetDesk;
use crate::homes::HomeBook;
use crate::logs::LineLimit;
use crate::metrics::EntryMetrics;
use crate::pool::ConnectionPool;
use crate::rollout::RolloutDesk;
use crate::stop::StopPhase;
use crate::suspension::SuspensionDetector;
use crate::ticket::TicketTable;
use crate::view::EncodedChanges;
use crate::watch::Dependency;
use crate::words::WordDesk;

/// The entry's state.
#[derive(Debug)]
pub(crate) struct InstanceState {
    pub(crate) config: EntryConfig,
    /// This run of the instance.
    pub(crate) node: NodeId,
    pub(crate) tickets: TicketTable,
    pub(crate) placer: RefCell<RequestPlacer>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    pub(crate) desired: RefCell<Option<Rc<DesiredState>>>,
    pub(crate) teams: RefCell<Rc<TeamIndex>>,
    /// Lines of requests that were turned away at the door.
    pub(crate) denials: LineLimit,
    /// Teams and routes without a common home, as logged last.
    apart: RefCell<String>,
    pub(crate) limits: Cell<RequestLimits>,
    pub(crate) evacuated: RefCell<HashSet<String>>,
    /// The registry's changes, as other entries are told.
    pub(crate) servers: RefCell<RegistryLog>,
    /// The same, encoded.
    pub(crate) encoded: RefCell<EncodedChanges>,
    /// Whole copies of it that were told.
    pub(crate) copies: RefCell<CopyScheduler>,
    /// Reads the registry; taken while it does.
    pub(crate) registry: RefCell<Option<StoreClient>>,
    pub(crate) registry_dependency: RefCell<Dependency>,
    /// The part in the fleet.
    pub(crate) fleet: FleetDesk,
    /// Times at which the machine stood still.
    suspensions: RefCell<SuspensionDetector>,
    /// Which versions of services get requests.
    pub(crate) rollouts: RolloutDesk,
    /// What each team asks for.
    pub(crate) quota: RefCell<QuotaLimiter>,
    /// Which teams ask for more than their part.
    pub(crate) shares: RefCell<FairnessRanker>,
    /// What is said and heard of load.
    pub(crate) words: WordDesk,
    /// Counts callers' requests.
    pub(crate) meter: RefCell<RateMeter>,
    /// Requests a second that this entry gets, as it told the others last.
    pub(crate) told_rate: Cell<u32>,
    /// Home regions of client addresses.
    pub(crate) homes: RefCell<HomeBook>,
    pub(crate) pool: ConnectionPool,
    /// Servers that broke off requests.
    pub(crate) crashes: CrashProbes,
    pub(crate) metrics: EntryMetrics,
    pub(crate) stop: Cell<StopPhase>,
    pub(crate) stopping: tokio::sync::watch::Sender<StopPhase>,
    pub(crate) in_flight: Rc<Cell<usize>>,
    pub(crate) buffered: Rc<Cell<usize>>,
}

impl InstanceState {
    /// The state of an entry that knows nothing yet.
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
        let (stopping, _) = tokio::sync::watch::channel(StopPhase::Serving);
        let node = NodeId::new(&InstanceId::new(&config.instance), Incarnation(incarnation));
        Self {
            tickets: TicketTable::new(&node, config.once_records),
            node,
            placer: RefCell::new(placer),
            routes: RefCell::default(),
            desired: RefCell::default(),
            teams: RefCell::default(),
            denials: LineLimit::default(),
            apart: RefCell::default(),
            limits: Cell::new(RequestLimits::default()),
            evacuated: RefCell::default(),
            servers: RefCell::default(),
            encoded: RefCell::default(),
            copies: RefCell::new(CopyScheduler::new(config.link_megabits)),
            registry: RefCell::default(),
            registry_dependency: RefCell::new(Dependency::new("server registry")),
            fleet: FleetDesk::new(member_config(&config, incarnation)),
            suspensions: RefCell::default(),
            rollouts: RolloutDesk::new(&config, incarnation),
            quota: RefCell::new(quota_limiter(&config, incarnation)),
            shares: RefCell::default(),
            words: WordDesk::default(),
            meter: RefCell::default(),
            told_rate: Cell::new(0),
            homes: RefCell::default(),
            pool: ConnectionPool::new(config.connect),
            crashes: CrashProbes::default(),
            metrics,
            stop: Cell::new(StopPhase::Serving),
            stopping,
            in_flight: Rc::default(),
            buffered: Rc::default(),
            config,
        }
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_complete() && self.serves_keys()
    }

    /// Whether this entry could take callers, but has not heard lately which keys hold.
    /// Where no other entry has either, callers of public routes still find it.
    pub(crate) fn serves_public_only(&self) -> bool {
        self.is_complete() && !self.serves_keys()
    }

    /// Whether it knows what it needs to serve callers, and is to.
    fn is_complete(&self) -> bool {
        let known = self.version() > 0 && self.placer.borrow().catalog.read_at().is_some();
        known && self.stop.get() == StopPhase::Serving
    }

    /// Whether this entry has heard lately enough which keys hold.
    pub(crate) fn serves_keys(&self) -> bool {
        let access = self.config.access;
        self.teams.borrow().is_empty() || access.may_serve(self.knowledge_age())
    }

    /// Age of what is known of the operator's rows at most; `None` where it can't be told.
    pub(crate) fn knowledge_age(&self) -> Option<Duration> {
        self.notice_suspension();
        self.fleet.proof_age()
    }

    /// How old that may become while teams' requests are served.
    pub(crate) fn proof_within(&self) -> Option<Duration> {
        let has_teams = !self.teams.borrow().is_empty();
        self.config.access.revoke.filter(|_| has_teams)
    }

    /// Finds out whether the machine stood still.
    fn notice_suspension(&self) {
        let Some(span) = self.suspensions.borrow_mut().detect() else {
            return;
        };
        log::warn!(span_ms = span.as_millis() as u64; "the machine stood still");
        self.fleet.on_event(FleetEvent::Suspended(span));
    }

    /// Whether callers on the own interface are expected.
    pub(crate) fn has_own_routes(&self) -> bool {
        let routes = self.routes.borrow();
        routes.iter().any(|route| route.host == ANY_HOST)
    }

    /// Version of the desired state in force; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.routes.borrow().version()
    }

    /// Takes in a change of the operator's; a desired state only if it is newer.
    pub(crate) fn on_operator(&self, change: &OperatorChange) {
        match change {
            OperatorChange::Desired(desired) => self.on_desired(desired),
            OperatorChange::Evacuate(domain) => {
                let fresh = self.evacuated.borrow_mut().insert(domain.clone());
                if fresh {
                    log::info!(domain = domain.as_str(); "evacuation in force");
                    self.apply_evacuations();
                }
            }
            OperatorChange::Restore(domain) => {
                let known = self.evacuated.borrow_mut().remove(domain);
                if known {
                    log::info!(domain = domain.as_str(); "evacuation taken back");
                    self.apply_evacuations();
                }
            }
            OperatorChange::Rollout(order) => self.rollouts.on_order(order),
            OperatorChange::CancelRollout(service) => self.rollouts.on_withdrawn(service),
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.get() != StopPhase::Serving
    }

    /// Takes in the evacuations that a lead told with what it knows, `heard`. Where all
    /// was asked for they count also if they seem older.
    pub(crate) fn apply_operator_report(
        &self,
        heard: &StoreProgress,
        evacuated: &[String],
        is_whole: bool,
    ) {
        if heard.operator <= self.fleet.known().operator && !is_whole {
            return;
        }
        for domain in evacuated {
            self.on_operator(&OperatorChange::Evacuate(domain.clone()));
        }
        self.restore_others(evacuated);
        self.fleet.on_known(|known| known.replace_operator(heard));
    }

    /// Takes in all of the operator's rows: evacuations and rollouts that aren't among them
    /// have been taken back.
    pub(crate) fn on_operator_rows(&self, changes: &[OperatorChange]) {
        let (mut domains, mut orders) = (Vec::new(), Vec::new());
        for change in changes {
            self.on_operator(change);
            match change {
                OperatorChange::Evacuate(domain) => domains.push(domain.clone()),
                OperatorChange::Rollout(order) => orders.push(order),
                _ => {}
            }
        }
        self.restore_others(&domains);
        self.rollouts.on_all_orders(&orders);
    }

    /// Takes the evacuations of all failure domains but `domains` back.
    fn restore_others(&self, domains: &[String]) {
        let evacuated = self.evacuated.borrow().clone();
        for domain in evacuated {
            if !domains.contains(&domain) {
                self.on_operator(&OperatorChange::Restore(domain));
            }
        }
    }

    /// Takes in a reading of the registry, unless a newer one is known; whether it was.
    pub(crate) fn on_servers(&self, snapshot: &CatalogSnapshot, mut scope: ReadScope) -> bool {
        if self.placer.borrow().catalog.is_outdated(snapshot) {
            let (version, known) = (snapshot.version, self.fleet.known().registry_read);
            log::info!(version, known; "reading of the registry left out");
            return false;
        }
        let mut placer = self.placer.borrow_mut();
        let is_first = placer.catalog.read_at().is_none();
        let now = Instant::now();
        placer.catalog.note_dropped_rows(now, &scope.dropped);
        let changes = placer.catalog.apply_snapshot(now, snapshot);
        scope.missing = placer.catalog.missing().map(str::to_owned).collect();
        drop(placer);
        let mut servers = self.servers.borrow_mut();
        servers.apply_snapshot(snapshot, scope);
        let (changed_at, content) = (servers.version(), servers.content());
        drop(servers);
        let source = ChangeSource {
            by: "store",
            age: snapshot.started_at.elapsed(),
        };
        self.note_versions(&changes, is_first);
        self.on_catalog_changes(&changes, snapshot.foreign.len(), &source);
        self.fleet.on_known(|known| {
            known.registry = changed_at;
            known.content = content;
            known.registry_read = snapshot.version;
            known.registry_at = known.registry_at.max(Some(snapshot.started_at));
        });
        true
    }

    /// Takes in what a lead told of the registry with what it knows, `heard`, unless it is
    /// known. Where all was asked for it counts also if it seems older.
    pub(crate) fn apply_registry_delta(
        &self,
        lead: SocketAddr,
        heard: &StoreProgress,
        delta: &RegistryDelta,
        is_whole: bool,
    ) {
        let mut servers = self.servers.borrow_mut();
        let Some(begun) = heard.registry_at else {
            return;
        };
        if delta.version <= servers.version() && !is_whole {
            return;
        }
        servers.apply_delta(delta);
        let content = servers.content();
        drop(servers);
        let mut placer = self.placer.borrow_mut();
        let is_first = placer.catalog.read_at().is_none();
        let changes = placer.catalog.apply_delta(Instant::now(), begun, delta);
        drop(placer);
        let source = ChangeSource {
            by: &lead.to_string(),
            age: begun.elapsed(),
        };
        self.note_versions(&changes, is_first);
        self.on_catalog_changes(&changes, delta.foreign.len(), &source);
        self.fleet.on_known(|known| {
            known.registry = delta.version;
            known.content = content;
            known.registry_read = heard.registry_read;
            known.registry_at = Some(begun);
        });
        self.report_next_removal();
    }

    /// Takes in which servers have left, as a lead told that has run for longer.
    pub(crate) fn apply_departures(&self, lead: SocketAddr, ends: &[Departure]) {
        let mut servers = self.servers.borrow_mut();
        servers.apply_departures(ends);
        let changed_at = servers.version();
        drop(servers);
        let mut placer = self.placer.borrow_mut();
        let changes = placer.catalog.apply_departures(Instant::now(), ends);
        drop(placer);
        let by = &lead.to_string();
        for change in &changes {
            let age = Duration::ZERO;
            log_change(change, &ChangeSource { by, age });
        }
        self.fleet.on_known(|known| known.registry = changed_at);
    }

    /// Tells the fleet when servers whose rows vanished are gone.
    pub(crate) fn report_next_removal(&self) {
        let next_removal_at = self.placer.borrow().catalog.next_removal_at();
        self.fleet
            .on_event(FleetEvent::NextRemovalAt(next_removal_at));
    }

    /// Tells the rollouts of the versions of servers that joined.
    fn note_versions(&self, changes: &[CatalogChange], is_first: bool) {
        let placer = self.placer.borrow();
        for change in changes {
            let id = match change {
                CatalogChange::Joined(entry) => &entry.id,
                CatalogChange::Restarted(id) => id,
                _ => continue,
            };
            if let Some(entry) = placer.catalog.entry(id) {
                self.rollouts
                    .on_server(&entry.service, &entry.version, is_first);
            }
        }
    }

    fn on_catalog_changes(
        &self,
        changes: &[CatalogChange],
        foreign: usize,
        source: &ChangeSource<'_>,
    ) {
        self.metrics.foreign_rows.set(foreign as i64);
        let kept = self.placer.borrow().catalog.missing().count();
        self.metrics.kept_servers.set(kept as i64);
        for change in changes {
            if let CatalogChange::Restarted(id) = change {
                // Its connections ended with the former run.
                self.pool.close_idle(id);
            }
            log_change(change, source);
        }
    }

    /// Divides shared rates among the entries that get requests. One that isn't listed
    /// stands by: the others don't count it.
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

    /// Takes in a desired state; one that isn't newer changes nothing.
    pub(crate) fn on_desired(&self, desired: &DesiredState) {
        let known = self.version();
        if desired.version <= known {
            if desired.version < known {
                log::warn!(version = desired.version, known; "older desired state ignored");
            }
            return;
        }
        self.limits.set(desired.limits);
        self.placer.borrow_mut().set_desired(desired);
        *self.routes.borrow_mut() = Rc::new(RouteTable::new(desired));
        self.set_teams(desired);
        *self.desired.borrow_mut() = Some(Rc::new(desired.clone()));
        self.metrics.version.set(desired.version as i64);
        log::info!(version = desired.version, before = known, routes = desired.routes.len(); "desired state in force");
        self.fleet.on_known(|known| known.desired = desired.version);
    }

    fn set_teams(&self, desired: &DesiredState) {
        let teams = TeamIndex::new(&desired.teams);
        for key in teams.shared_keys() {
            log::error!(key:%, version = desired.version; "key of two teams; it names neither");
        }
        let apart = admission::log_region_conflicts(desired, &self.apart.borrow());
        *self.apart.borrow_mut() = apart;
        let mut quota = self.quota.borrow_mut();
        quota.set_teams(Instant::now(), &desired.teams);
        self.shares.borrow_mut().set_teams(&desired.teams);
        *self.teams.borrow_mut() = Rc::new(teams);
    }

    fn apply_evacuations(&self) {
        let domains = self.evacuated.borrow().clone();
        let mut placer = self.placer.borrow_mut();
        let warmup: Duration = placer.longest_warmup();
        placer
            .catalog
            .set_evacuated(Instant::now(), domains, warmup);
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
            peer_address: config.beat_address,
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

/// Who told of a change in the registry, and how old that word was.
#[derive(Debug, Clone, Copy)]
struct ChangeSource<'a> {
    by: &'a str,
    age: Duration,
}

fn log_change(change: &CatalogChange, source: &ChangeSource<'_>) {
    let (by, age_ms) = (source.by, source.age.as_millis() as u64);
    let (id, event) = match change {
        CatalogChange::Joined(entry) => {
            let (server, domain) = (entry.id.as_str(), entry.domain.as_str());
            let (state, seq) = (entry.state.as_str(), entry.seq);
            log::info!(server, domain, state, seq, by, age_ms; "server joined");
            return;
        }
        CatalogChange::Draining(id) => (id, "server is leaving"),
        CatalogChange::Gone(id) => (id, "server is gone"),
        CatalogChange::Outdated(id) => (id, "older word of a server that left"),
        CatalogChange::Cold(id) => (id, "server is cold"),
        CatalogChange::Missing(id) => (id, "server's entry missing, kept for now"),
        CatalogChange::Restarted(id) => (id, "server started again under its id"),
        CatalogChange::Overwritten(id) => (id, "server's entry overwritten by another writer"),
        CatalogChange::Reclaimed(id) => (id, "server's own entry is back"),
    };
    log::info!(server = id.as_str(), by, age_ms; "{event}");
}

//! What the parts of the entry share. One thread, so plain cells do.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::{Incarnation, InstanceId, NodeId};
use place::catalog::CatalogChange;
use place::front::{self, FrontEntry, RateMeter};
use place::prelude::*;
use place::rank::stable_hash;
use place::routes::ANY_HOST;
use place::view::ServerLog;
use platform::desired::OperatorChange;

use crate::config::EntryConfig;
use crate::homes::HomeBook;
use crate::metrics::EntryMetrics;
use crate::pool::ServerPool;
use crate::stop::StopPhase;
use crate::ticket::TicketDesk;

/// The entry's state.
#[derive(Debug)]
pub(crate) struct InstanceState {
    pub(crate) config: EntryConfig,
    /// This run of the instance.
    pub(crate) node: NodeId,
    pub(crate) tickets: TicketDesk,
    pub(crate) placer: RefCell<RequestPlacer>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    pub(crate) desired: RefCell<Option<Rc<DesiredState>>>,
    pub(crate) limits: Cell<RequestLimits>,
    pub(crate) evacuated: RefCell<HashSet<String>>,
    /// Version of the operator's rows behind desired state and evacuations.
    pub(crate) operator: Cell<u64>,
    /// When the store or a reader last told the operator's rows.
    pub(crate) operator_at: Cell<Option<Instant>>,
    pub(crate) servers: RefCell<ServerLog>,
    /// Whether the store answered this entry lately.
    pub(crate) reads: Cell<bool>,
    /// Beats sent so far.
    pub(crate) beats: Cell<u64>,
    /// When the store last answered this entry's feed of the operator's rows.
    pub(crate) answered_at: Cell<Option<Instant>>,
    /// Until when what another entry tells is fresh.
    pub(crate) follows_until: Cell<Option<Instant>>,
    /// Until when what the deputy tells is fresh.
    pub(crate) deputy_until: Cell<Option<Instant>>,
    pub(crate) peers: RefCell<PeerTable>,
    /// Instances that callers are told to use, by name.
    pub(crate) named: RefCell<Vec<String>>,
    /// Counts callers' requests.
    pub(crate) meter: RefCell<RateMeter>,
    /// Requests a second that this entry gets, as it told the others last.
    pub(crate) told_rate: Cell<u32>,
    /// Home regions of client addresses.
    pub(crate) homes: RefCell<HomeBook>,
    pub(crate) pool: ServerPool,
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
        let placer = RequestPlacer::new(place::placer::PlacerConfig {
            domain: config.domain.clone(),
            region: config.region.clone(),
            domains: config.domains.clone(),
            budget: config.budget,
            shift_cap: config.shift_cap,
            costs: config.costs,
            own,
        });
        let now = Instant::now();
        let mut peers = PeerTable::default();
        for seed in &config.seeds {
            peers.add_candidate(now, *seed);
        }
        let (stopping, _) = tokio::sync::watch::channel(StopPhase::Serving);
        let node = NodeId::new(&InstanceId::new(&config.instance), Incarnation(incarnation));
        Self {
            tickets: TicketDesk::new(&node, config.once_records),
            node,
            placer: RefCell::new(placer),
            routes: RefCell::default(),
            desired: RefCell::default(),
            limits: Cell::new(RequestLimits::default()),
            evacuated: RefCell::default(),
            operator: Cell::new(0),
            operator_at: Cell::new(None),
            servers: RefCell::new(ServerLog::new(incarnation)),
            reads: Cell::new(true),
            beats: Cell::new(0),
            answered_at: Cell::new(None),
            follows_until: Cell::new(None),
            deputy_until: Cell::new(None),
            peers: RefCell::new(peers),
            named: RefCell::default(),
            meter: RefCell::default(),
            told_rate: Cell::new(0),
            homes: RefCell::default(),
            pool: ServerPool::default(),
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
        let known = self.version() > 0 && self.placer.borrow().catalog.read_at().is_some();
        known && self.stop.get() == StopPhase::Serving
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
        }
    }

    /// Where to hear what the store holds from another entry; `None` if it is this
    /// entry's turn to read.
    pub(crate) fn reader(&self) -> Option<SocketAddr> {
        self.peers.borrow().reader(Instant::now(), self.seat())
    }

    /// Where to hear of the operator's changes besides the reader; `None` if this
    /// entry is to ask the store.
    pub(crate) fn deputy(&self) -> Option<SocketAddr> {
        self.peers.borrow().deputy(Instant::now(), self.seat())
    }

    fn seat(&self) -> FollowerSeat<'_> {
        FollowerSeat {
            node: &self.config.instance,
            region: &self.config.region,
            reads: self.reads.get(),
        }
    }

    /// Whether two other entries tell the operator's rows, so that one of them may
    /// fall silent without this entry's being late.
    pub(crate) fn is_told_twice(&self) -> bool {
        let until = self.deputy_until.get();
        self.follows() && until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether what another entry tells is fresh, so that nothing need be read.
    pub(crate) fn follows(&self) -> bool {
        let until = self.follows_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Takes in what another entry knows of the operator's rows, if it is newer.
    pub(crate) fn on_told_operator(&self, version: u64, evacuated: &[String]) {
        self.operator_at.set(Some(Instant::now()));
        if version <= self.operator.get() {
            return;
        }
        self.operator.set(version);
        let told: Vec<OperatorChange> = evacuated
            .iter()
            .map(|domain| OperatorChange::Evacuate(domain.clone()))
            .collect();
        self.on_operator_rows(&told);
    }

    /// Takes in all of the operator's rows: evacuations that aren't among them
    /// have been taken back.
    pub(crate) fn on_operator_rows(&self, changes: &[OperatorChange]) {
        let listed = |domain: &String| {
            changes.iter().any(
                |change| matches!(change, OperatorChange::Evacuate(listed) if listed == domain),
            )
        };
        let over: Vec<String> = {
            let evacuated = self.evacuated.borrow();
            evacuated
                .iter()
                .filter(|domain| !listed(domain))
                .cloned()
                .collect()
        };
        for change in changes {
            self.on_operator(change);
        }
        for domain in over {
            self.on_operator(&OperatorChange::Restore(domain));
        }
    }

    /// Takes in a reading of the registry, unless a newer one is known.
    pub(crate) fn on_servers(&self, snapshot: &CatalogSnapshot) {
        let now = Instant::now();
        let read_at = self.placer.borrow().catalog.read_at();
        if read_at.is_some_and(|at| at > snapshot.begun) {
            return;
        }
        self.servers.borrow_mut().on_read(snapshot);
        let changes = self.placer.borrow_mut().catalog.on_read(now, snapshot);
        self.metrics.foreign_rows.set(snapshot.foreign.len() as i64);
        for change in &changes {
            if let CatalogChange::Restarted(id) = change {
                // Its connections ended with the former run.
                self.pool.forget(id);
            }
            log_change(change);
        }
        if read_at.is_none() {
            // It may be ready now, and counted among those that take callers.
            self.refresh_entries();
        }
    }

    /// Finds the entries that callers are told to use, and divides shared rates among
    /// these and others that get requests.
    pub(crate) fn refresh_entries(&self) {
        let now = Instant::now();
        let peers = self.peers.borrow();
        let own = self.as_front();
        let ready = peers.live(now).filter(|beat| beat.ready);
        let mut fronts: Vec<FrontEntry<'_>> = ready.map(PeerBeat::as_front).collect();
        if self.is_ready() {
            fronts.push(own);
        }
        let named: Vec<String> = front::named(&fronts)
            .iter()
            .map(|entry| entry.node.to_owned())
            .collect();
        let is_used =
            |entry: &FrontEntry<'_>| entry.is_used() || named.iter().any(|node| node == entry.node);
        let live = peers.live(now).map(PeerBeat::as_front);
        let used: Vec<FrontEntry<'_>> = live.filter(is_used).collect();
        let hashes = used.iter().map(|entry| stable_hash(entry.node.as_bytes()));
        let near = used.iter().filter(|entry| entry.region == own.region);
        let mut placer = self.placer.borrow_mut();
        placer.set_entries(hashes.collect(), near.count());
        placer.set_standby(!is_used(&own));
        *self.named.borrow_mut() = named;
    }

    /// Whether the entry of `beat` is among those that get callers' requests.
    pub(crate) fn is_used(&self, beat: &PeerBeat) -> bool {
        beat.as_front().is_used() || self.named.borrow().contains(&beat.node)
    }

    fn as_front(&self) -> FrontEntry<'_> {
        FrontEntry {
            node: &self.config.instance,
            domain: &self.config.domain,
            region: &self.config.region,
            capacity: self.config.capacity,
            rate: f64::from(self.told_rate.get()),
        }
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
        *self.desired.borrow_mut() = Some(Rc::new(desired.clone()));
        self.metrics.version.set(desired.version as i64);
        log::info!(version = desired.version, before = known, routes = desired.routes.len(); "desired state in force");
        if known == 0 {
            self.refresh_entries();
        }
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

fn log_change(change: &CatalogChange) {
    let (id, event) = match change {
        CatalogChange::Joined(id, domain) => {
            log::info!(server = id.as_str(), domain = domain.as_str(); "server joined");
            return;
        }
        CatalogChange::Draining(id) => (id, "server is leaving"),
        CatalogChange::Gone(id) => (id, "server is gone"),
        CatalogChange::Cold(id) => (id, "server is cold"),
        CatalogChange::Missing(id) => (id, "server's entry missing, kept for now"),
        CatalogChange::Restarted(id) => (id, "server started again under its id"),
        CatalogChange::Overwritten(id) => (id, "server's entry overwritten by another writer"),
        CatalogChange::Reclaimed(id) => (id, "server's own entry is back"),
    };
    log::info!(server = id.as_str(); "{event}");
}

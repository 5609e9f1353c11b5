//! Whether this entry has a path to the servers of each service.
//!
//! A server that can't be reached may have failed. If hardly any of a service's servers can be
//! reached, this entry has probably lost its path to them, and the servers may be fine. What it
//! sees then says nothing about the servers or the requests. Only responses count as evidence
//! of a path: a connection may be accepted on the way and closed before it carries anything.

pub mod relay;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How long a response or a miss counts as evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(3);
/// Number of servers of a service that must be missed before its path counts as lost, unless it
/// has fewer.
const MIN_MISSED: usize = 3;
/// The path is lost if more than this many servers are missed for each one that responds.
const MISSED_PER_RESPONDING: usize = 2;
/// Number of servers that probes must miss before a path counts as lost, unless the service has
/// fewer. Requests alone may miss many in sequence while others run on: one that crashes each
/// server that runs it does.
const MIN_PROBES_MISSED: usize = 2;
/// Number of servers that must be reached before the path counts as restored, unless the
/// service has fewer. One alone could be the only one in reach.
const MIN_REACHED: usize = 2;
/// Interval between two rounds of probes of a service without a path.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum interval. It grows while the path is lost, and after losses in quick succession.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1200);
/// Time after a restoration within which a loss counts as a relapse.
const RELAPSE_TIME: Duration = Duration::from_secs(5);

/// A change of the path to a service's servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathChange {
    /// Hardly any server can be reached any more.
    Lost {
        /// The service.
        service: String,
        /// Number of servers that were missed.
        missed: usize,
    },
    /// Servers can be reached again.
    Restored {
        /// The service.
        service: String,
        /// How long the path was lost.
        after: Duration,
    },
}

/// The path to the servers of one service.
#[derive(Debug)]
struct ServicePath {
    /// Server runs that responded and when they last did.
    responding: HashMap<u64, Instant>,
    /// Server runs that were missed since their last response.
    missed: HashMap<u64, Instant>,
    /// Whether requests missed servers and none has been reached since. Probes then show whether
    /// others can be: requests for one object go to the same server again and again.
    is_suspected: bool,
    /// Server runs that probes missed since then.
    probes_missed: HashSet<u64>,
    lost_at: Option<Instant>,
    restored_at: Option<Instant>,
    /// Server runs that were reached since the path was lost.
    reached: HashSet<u64>,
    next_probe_at: Instant,
    probe_interval: Duration,
    /// Number of probe rounds, used to vary the probed servers.
    rounds: usize,
}

/// The paths from this entry to the servers of all services.
#[derive(Debug, Default)]
pub struct ServerPaths {
    services: HashMap<String, ServicePath>,
    last_response_at: Option<Instant>,
    changes: Vec<PathChange>,
}

impl ServicePath {
    fn new(now: Instant) -> Self {
        Self {
            responding: HashMap::new(),
            missed: HashMap::new(),
            is_suspected: false,
            probes_missed: HashSet::new(),
            lost_at: None,
            restored_at: None,
            reached: HashSet::new(),
            next_probe_at: now,
            probe_interval: PROBE_INTERVAL,
            rounds: 0,
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < EVIDENCE_TTL;
        self.responding.retain(|_, at| is_fresh(at));
        self.missed.retain(|_, at| is_fresh(at));
    }

    fn is_missing_most(&self, servers: usize) -> bool {
        self.missed.len() >= MIN_MISSED.min(servers).max(1)
            && self.missed.len() > self.responding.len() * MISSED_PER_RESPONDING
            && self.probes_missed.len() >= MIN_PROBES_MISSED.min(servers).max(1)
    }

    fn lose(&mut self, now: Instant) {
        let is_relapse = self
            .restored_at
            .is_some_and(|at| now.saturating_duration_since(at) < RELAPSE_TIME);
        if !is_relapse {
            self.probe_interval = PROBE_INTERVAL;
        }
        self.lost_at = Some(now);
        self.reached.clear();
        self.next_probe_at = now + self.probe_interval;
    }

    /// Records that the server `run` was reached. Returns how long the path was lost if that
    /// restores it.
    fn on_reached(&mut self, now: Instant, run: u64, servers: usize) -> Option<Duration> {
        self.is_suspected = false;
        self.probes_missed.clear();
        let lost_at = self.lost_at?;
        self.reached.insert(run);
        if self.reached.len() < MIN_REACHED.min(servers).max(1) {
            return None;
        }
        self.lost_at = None;
        self.restored_at = Some(now);
        self.missed.clear();
        Some(now.saturating_duration_since(lost_at))
    }
}

impl ServerPaths {
    /// Records a response of the server `run`, whatever it says. The service has `servers`
    /// servers.
    pub fn on_response(&mut self, now: Instant, service: &str, run: u64, servers: usize) {
        self.last_response_at = Some(now);
        let path = self.path_mut(now, service);
        path.missed.remove(&run);
        path.responding.insert(run, now);
        let restored = path.on_reached(now, run, servers);
        self.note_restored(service, restored);
    }

    /// Records that no connection to the server `run` could be established, or that one was
    /// lost before a response.
    pub fn on_missed(&mut self, now: Instant, service: &str, run: u64, servers: usize) {
        let path = self.path_mut(now, service);
        path.responding.remove(&run);
        path.reached.remove(&run);
        path.missed.insert(run, now);
        path.drop_expired(now);
        let is_suspicious =
            path.responding.is_empty() || path.missed.len() >= MIN_MISSED.min(servers).max(1);
        if path.lost_at.is_none() && is_suspicious && !path.is_suspected {
            path.is_suspected = true;
            path.probe_interval = PROBE_INTERVAL;
            path.next_probe_at = now;
        }
        if path.lost_at.is_some() || !path.is_missing_most(servers) {
            return;
        }
        path.lose(now);
        let missed = path.missed.len();
        let service = service.to_owned();
        self.changes.push(PathChange::Lost { service, missed });
    }

    /// Records the result of a probe of the server `run`.
    pub fn on_probed(
        &mut self,
        now: Instant,
        service: &str,
        run: u64,
        servers: usize,
        is_reached: bool,
    ) {
        let path = self.path_mut(now, service);
        if !is_reached {
            path.probes_missed.insert(run);
            self.on_missed(now, service, run, servers);
            return;
        }
        let restored = path.on_reached(now, run, servers);
        self.note_restored(service, restored);
    }

    /// Returns whether hardly any server of `service` can be reached.
    pub fn is_lost(&self, service: &str) -> bool {
        let path = self.services.get(service);
        path.is_some_and(|path| path.lost_at.is_some())
    }

    /// Returns whether hardly any server of any service can be reached: the path to some
    /// service is lost, and no server of another service has responded lately.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let is_responding = |path: &ServicePath| {
            let mut times = path.responding.values();
            times.any(|at| now.saturating_duration_since(*at) < EVIDENCE_TTL)
        };
        let (lost, others): (Vec<&ServicePath>, Vec<&ServicePath>) = self
            .services
            .values()
            .partition(|path| path.lost_at.is_some());
        !lost.is_empty() && !others.into_iter().any(is_responding)
    }

    /// Returns whether any server has responded since `at`.
    pub fn has_response_since(&self, at: Instant) -> bool {
        self.last_response_at.is_some_and(|last| last >= at)
    }

    /// Returns the services without a path.
    pub fn lost_services(&self) -> impl Iterator<Item = &str> {
        let lost = self.services.iter();
        lost.filter(|(_, path)| path.lost_at.is_some())
            .map(|(service, _)| service.as_str())
    }

    /// Returns whether the server `run` was missed lately.
    pub fn is_missed(&self, service: &str, run: u64) -> bool {
        let path = self.services.get(service);
        path.is_some_and(|path| path.missed.contains_key(&run))
    }

    /// Returns whether there are services whose servers must be probed.
    pub fn needs_probes(&self) -> bool {
        let mut paths = self.services.values();
        paths.any(|path| path.is_suspected || path.lost_at.is_some())
    }

    /// Returns the services whose servers must be probed now, each with the number of earlier
    /// rounds.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<(String, usize)> {
        let mut due = Vec::new();
        for (service, path) in &mut self.services {
            let is_probed = path.is_suspected || path.lost_at.is_some();
            if !is_probed || now < path.next_probe_at {
                continue;
            }
            due.push((service.clone(), path.rounds));
            path.rounds = path.rounds.wrapping_add(1);
            path.probe_interval = (path.probe_interval * 5 / 4).min(MAX_PROBE_INTERVAL);
            path.next_probe_at = now + path.probe_interval;
        }
        due
    }

    /// Forgets a service that has no servers any more.
    pub fn forget(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Returns the changes since the previous call.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }

    fn path_mut(&mut self, now: Instant, service: &str) -> &mut ServicePath {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServicePath::new(now));
        }
        self.services
            .get_mut(service)
            .expect("the path was inserted")
    }

    fn note_restored(&mut self, service: &str, restored: Option<Duration>) {
        let Some(after) = restored else {
            return;
        };
        let service = service.to_owned();
        self.changes.push(PathChange::Restored { service, after });
    }
}

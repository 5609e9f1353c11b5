//! State of a backend server as seen by this entry: its registration, its load reports, and its
//! recent behaviour.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::placing::timing::MovingAverage;
use crate::rank::{pair_weight, stable_hash};

/// Sequence number of a run's first registration.
const FIRST_SEQ: u64 = 1;
/// Time constant by which the weight of a load report decays: 37 % remain after this time. Most
/// requests finish within it.
const REPORT_DECAY: Duration = Duration::from_millis(400);
/// First backoff after a server could not be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff: a server that recovered must be found within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Weight of the latest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate, so that a recovered server is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the latest answer in the server's speed.
const SPEED_WEIGHT: f64 = 0.2;
/// Half-life of the speed's deviation from normal while there are no answers.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(3);

base::common! {
    /// State that a server reports of itself.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum EntryState {
        /// Accepts requests.
        Ready,
        /// About to leave; accepts no new requests.
        Draining,
    }

    /// A server's registration in the registry.
    #[derive(Eq)]
    pub struct ServerEntry {
        /// Name of the server; later runs may reuse it.
        pub id: String,
        /// When this run began, in Unix milliseconds by the server's clock. `None` if its
        /// registry doesn't provide it.
        pub started: Option<u64>,
        /// Service that the server belongs to.
        pub service: String,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Failure domain of the server.
        pub domain: String,
        /// Software version of the server.
        pub version: String,
        /// Number of requests that it can run concurrently.
        pub slots: u32,
        /// Whether it accepts requests.
        pub state: EntryState,
        /// How much longer the server stays cold, as of the registration.
        pub cold_remaining: Duration,
        /// Sequence number that increases with each heartbeat of a run.
        pub seq: u64,
    }

    /// Load that a server reports of itself, in requests.
    #[derive(Copy, Eq)]
    pub struct ServerReport {
        /// Requests that are running.
        pub running: u32,
        /// Requests that are queued.
        pub waiting: u32,
        /// Requests that can run concurrently.
        pub slots: u32,
    }
}

impl EntryState {
    /// Returns the name of the state, as used in logs and status output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

impl ServerEntry {
    /// Identity hash of this run among all runs of all servers. A later run under the same id
    /// caches none of the objects of an earlier one.
    pub fn run_hash(&self) -> u64 {
        let id = stable_hash(self.id.as_bytes());
        self.started.map_or(id, |started| pair_weight(id, started))
    }

    /// Returns whether this is the run's first registration, which a later one replaces.
    pub fn is_first_registration(&self) -> bool {
        self.seq <= FIRST_SEQ
    }

    /// Returns whether `self` was written by an earlier run than `other`.
    pub fn is_of_earlier_run(&self, other: &Self) -> bool {
        self.started < other.started
    }

    /// Returns whether both describe the same run. A run never changes its address, domain or
    /// service, so an entry that differs in one of these was written by another process.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.started == other.started
            && self.service == other.service
            && self.address == other.address
            && self.domain == other.domain
    }
}

/// What this entry knows of a server. Times are by the monotonic clock.
#[derive(Debug, Clone)]
pub struct ServerRecord {
    /// The latest registration.
    pub entry: ServerEntry,
    /// Region of the server's failure domain.
    pub region: String,
    /// Hash of the server's run, used for rendezvous ranking.
    pub hash: u64,
    /// Until when the server counts as cold.
    pub cold_until: Option<Instant>,
    /// Until when the server is presumed cold, because it couldn't be reached and may have
    /// restarted.
    presumed_cold_until: Option<Instant>,
    /// Since when the entry has been missing from the registry.
    pub missing_since: Option<Instant>,
    /// Time of the last read in which it was listed before it went missing.
    pub listed_at: Option<Instant>,
    /// Whether only another entry found it missing, which decides when the server is gone.
    pub kept_by_peer: bool,
    /// Whether another writer replaced the server's row in the registry. The server gets no
    /// requests until it writes its own row again.
    pub overwritten: bool,
    /// Round-trip time to the server, in milliseconds.
    pub round_trip: f64,
    /// This entry's requests in flight at the server.
    pub in_flight: u32,
    /// Requests of other entries at the server, as reported by them.
    pub peer_load: f64,
    reported_load: f64,
    reported_at: Option<Instant>,
    backoff_until: Option<Instant>,
    backoff: Duration,
    failure_rate: f64,
    failure_at: Option<Instant>,
    speed: f64,
    speed_at: Option<Instant>,
}

impl ServerRecord {
    /// Creates a record of `entry` in `region` without any history.
    pub fn new(entry: ServerEntry, region: &str) -> Self {
        Self {
            hash: entry.run_hash(),
            entry,
            region: region.to_owned(),
            cold_until: None,
            presumed_cold_until: None,
            missing_since: None,
            listed_at: None,
            kept_by_peer: false,
            overwritten: false,
            round_trip: 0.0,
            in_flight: 0,
            peer_load: 0.0,
            reported_load: 0.0,
            reported_at: None,
            backoff_until: None,
            backoff: INITIAL_BACKOFF,
            failure_rate: 0.0,
            failure_at: None,
            speed: 1.0,
            speed_at: None,
        }
    }

    /// Returns whether the server is limited to its cold rate.
    pub fn is_cold(&self, now: Instant) -> bool {
        let times = [self.cold_until, self.presumed_cold_until];
        times.into_iter().flatten().any(|until| now < until)
    }

    /// Presumes the server to be cold for `span` from now on.
    pub fn presume_cold(&mut self, now: Instant, span: Duration) {
        self.presumed_cold_until = Some(now + span);
    }

    /// Drops what was concluded from failures to reach the server, since this entry had lost its
    /// path to all of them.
    pub fn on_path_restored(&mut self) {
        self.on_reached();
        self.presumed_cold_until = None;
        self.failure_rate = 0.0;
        self.failure_at = None;
    }

    /// Treats the server as cold for `span` from now on.
    pub fn mark_cold(&mut self, now: Instant, span: Duration) {
        let until = now + span;
        if self.cold_until.is_none_or(|known| known < until) {
            self.cold_until = Some(until);
        }
    }

    /// Returns whether the server gets no requests because it could not be reached recently.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server could not be reached when it was last tried.
    pub fn is_unreached(&self) -> bool {
        self.backoff_until.is_some()
    }

    /// Returns the estimated number of requests of all entries at the server.
    pub fn occupancy(&self, now: Instant) -> f64 {
        let fresh = self
            .reported_at
            .map_or(0.0, |at| decay(now, at, REPORT_DECAY));
        f64::from(self.in_flight) + (self.reported_load * fresh).max(self.peer_load)
    }

    /// Applies a load report that came with an answer. Call it while the answered request still
    /// counts as in flight.
    pub fn on_report(&mut self, now: Instant, report: &ServerReport) {
        let total = f64::from(report.running + report.waiting);
        // The answered request no longer counts in the server's report.
        let own = f64::from(self.in_flight.saturating_sub(1));
        self.reported_load = (total - own).max(0.0);
        self.reported_at = Some(now);
        if report.slots > 0 {
            self.entry.slots = report.slots;
        }
    }

    /// Handles that the server rejected a request as full: assumes at least `occupancy`
    /// requests there.
    pub fn on_full(&mut self, now: Instant, occupancy: f64) {
        let own = f64::from(self.in_flight.saturating_sub(1));
        self.reported_load = self.reported_load.max(occupancy - own);
        self.reported_at = Some(now);
    }

    /// Handles that the server could not be reached, and increases the backoff.
    pub fn on_unreachable(&mut self, now: Instant) {
        self.backoff_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.on_outcome(now, false);
    }

    /// Handles that the server answered, and ends the backoff.
    pub fn on_reached(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        self.backoff_until = None;
    }

    /// Updates the failure rate with the outcome of a request.
    pub fn on_outcome(&mut self, now: Instant, good: bool) {
        let outcome = if good { 0.0 } else { 1.0 };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (outcome - rate);
        self.failure_at = Some(now);
    }

    /// Returns the share of requests that failed recently, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let decayed = self
            .failure_at
            .map_or(1.0, |at| decay(now, at, FAILURE_HALF_LIFE));
        self.failure_rate * decayed
    }

    /// Updates the speed with the latency of an answer, as a multiple of what was expected.
    pub fn on_latency_ratio(&mut self, now: Instant, ratio: f64) {
        let speed = self.speed(now);
        self.speed = speed + SPEED_WEIGHT * (ratio.clamp(0.2, 20.0) - speed);
        self.speed_at = Some(now);
    }

    /// Returns the server's latency as a multiple of the usual one; values above 1 are slower.
    pub fn speed(&self, now: Instant) -> f64 {
        let kept = self
            .speed_at
            .map_or(0.0, |at| decay(now, at, SPEED_HALF_LIFE));
        1.0 + (self.speed - 1.0) * kept
    }
}

fn decay(now: Instant, at: Instant, span: Duration) -> f64 {
    let age = now.saturating_duration_since(at);
    MovingAverage::decay(age, span)
}

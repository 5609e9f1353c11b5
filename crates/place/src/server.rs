//! One backend server as this entry knows it: its entry in the registry, what it
//! reported, and how it has behaved.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::placing::timing::Average;
use crate::rank::{pair_weight, stable_hash};

/// A report of load counts less the older it is; after this time it counts 37 %.
/// Most work ends within it.
const REPORT_DECAY: Duration = Duration::from_millis(400);
/// First pause after a server could not be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause: a server that is back must be found within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// The failure rate halves in this time, so that a recovered server is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the newest answer in the speed of a server.
const SPEED_WEIGHT: f64 = 0.2;
/// The speed moves half way back to normal in this time without answers.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(3);

base::common! {
    /// What a server says of itself.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum EntryState {
        /// Takes requests.
        Ready,
        /// Is about to leave and takes no new requests.
        Draining,
    }

    /// A server's entry in the registry.
    #[derive(Eq)]
    pub struct ServerEntry {
        /// The server's name, which its later runs may keep.
        pub id: String,
        /// When this run began, in Unix milliseconds by the server's clock; `None`
        /// where its registry doesn't say.
        pub started: Option<u64>,
        /// The service that it belongs to.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// The version of its software.
        pub version: String,
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// Whether it takes requests.
        pub state: EntryState,
        /// How much longer it stays cold, at the time of the entry.
        pub cold_remaining: Duration,
        /// Rises with each heartbeat of a run.
        pub seq: u64,
    }

    /// A server's own report of its load, in requests.
    #[derive(Copy, Eq)]
    pub struct ServerReport {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that can run at the same time.
        pub slots: u32,
    }
}

impl EntryState {
    /// The state in one word, for lines and operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

impl ServerEntry {
    /// Names this run among all runs of all servers: a later run under the same id
    /// holds nothing of what the former one held.
    pub fn run_hash(&self) -> u64 {
        let id = stable_hash(self.id.as_bytes());
        self.started.map_or(id, |started| pair_weight(id, started))
    }

    /// Whether `self` was written by an earlier run than `other`.
    pub fn is_of_earlier_run(&self, other: &Self) -> bool {
        self.started < other.started
    }

    /// Whether both describe the same run. A run keeps its place and service, so
    /// that an entry which differs there is somebody else's.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.started == other.started
            && self.service == other.service
            && self.address == other.address
            && self.domain == other.domain
    }
}

/// What is known of a server. Times are of the steady clock.
#[derive(Debug, Clone)]
pub struct ServerRecord {
    /// The newest entry.
    pub entry: ServerEntry,
    /// The region of the entry's failure domain.
    pub region: String,
    /// Hash of the server's run, for ranking.
    pub hash: u64,
    /// The server is cold until then.
    pub cold_until: Option<Instant>,
    /// Since when the entry has been missing from the registry.
    pub missing_since: Option<Instant>,
    /// As of when it had been listed there before.
    pub listed_at: Option<Instant>,
    /// Whether somebody else's row stands in the registry in the entry's place. The
    /// server gets nothing until its own word is back.
    pub overwritten: bool,
    /// Round trip to the server, in milliseconds.
    pub trip: f64,
    /// Own requests that are at the server.
    pub in_flight: u32,
    /// Requests of other entries at the server, by their own word.
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
    /// A record of `entry` in `region`, with nothing known of its behaviour.
    pub fn new(entry: ServerEntry, region: &str) -> Self {
        Self {
            hash: entry.run_hash(),
            entry,
            region: region.to_owned(),
            cold_until: None,
            missing_since: None,
            listed_at: None,
            overwritten: false,
            trip: 0.0,
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

    /// Whether the server tolerates only its cold rate.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Treats the server as cold for `span` from now on.
    pub fn mark_cold(&mut self, now: Instant, span: Duration) {
        let until = now + span;
        if self.cold_until.is_none_or(|known| known < until) {
            self.cold_until = Some(until);
        }
    }

    /// Whether the server is left alone after it could not be reached.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Requests of everybody that are likely at the server.
    pub fn occupancy(&self, now: Instant) -> f64 {
        let fresh = self
            .reported_at
            .map_or(0.0, |at| decay(now, at, REPORT_DECAY));
        f64::from(self.in_flight) + (self.reported_load * fresh).max(self.peer_load)
    }

    /// Takes in a load report that came with an answer; call it while the
    /// answered request still counts as in flight.
    pub fn on_report(&mut self, now: Instant, report: &ServerReport) {
        let total = f64::from(report.running + report.waiting);
        // The answered request has left the server by the time of the report.
        let own = f64::from(self.in_flight.saturating_sub(1));
        self.reported_load = (total - own).max(0.0);
        self.reported_at = Some(now);
        if report.slots > 0 {
            self.entry.slots = report.slots;
        }
    }

    /// The server rejected a request as full: assume that its queue is at `occupancy`.
    pub fn on_full(&mut self, now: Instant, occupancy: f64) {
        let own = f64::from(self.in_flight.saturating_sub(1));
        self.reported_load = self.reported_load.max(occupancy - own);
        self.reported_at = Some(now);
    }

    /// The server could not be reached: leave it alone, longer each time.
    pub fn on_unreachable(&mut self, now: Instant) {
        self.backoff_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.on_outcome(now, false);
    }

    /// The server answered; ends the pauses.
    pub fn on_reached(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        self.backoff_until = None;
    }

    /// Takes in whether the server did what it was asked for.
    pub fn on_outcome(&mut self, now: Instant, good: bool) {
        let outcome = if good { 0.0 } else { 1.0 };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (outcome - rate);
        self.failure_at = Some(now);
    }

    /// Share of requests that failed lately, 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let decayed = self
            .failure_at
            .map_or(1.0, |at| decay(now, at, FAILURE_HALF_LIFE));
        self.failure_rate * decayed
    }

    /// Takes in how long an answer took, as a multiple of what was expected.
    pub fn on_latency_ratio(&mut self, now: Instant, ratio: f64) {
        let speed = self.speed(now);
        self.speed = speed + SPEED_WEIGHT * (ratio.clamp(0.2, 20.0) - speed);
        self.speed_at = Some(now);
    }

    /// How long this server takes, as a multiple of what is usual; 1 is usual.
    pub fn speed(&self, now: Instant) -> f64 {
        let kept = self
            .speed_at
            .map_or(0.0, |at| decay(now, at, SPEED_HALF_LIFE));
        1.0 + (self.speed - 1.0) * kept
    }
}

fn decay(now: Instant, at: Instant, span: Duration) -> f64 {
    let age = now.saturating_duration_since(at);
    Average::decay(age, span)
}

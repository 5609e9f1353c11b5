//! What the placer is asked, what it answers, and what it is told afterwards.

use std::time::{Duration, Instant};

use crate::catalog::ServerHandle;
use crate::desired::RouteSpec;
use crate::placing::warmth::Belief;
use crate::server::ServerEntry;
use rollout::filter::VersionFilter;

/// A request that wants a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its route.
    pub route: &'a RouteSpec,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// Regions that may serve it; empty allows all.
    pub homes: &'a [String],
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
    /// Which versions of the service may run it.
    pub versions: VersionFilter<'a>,
}

impl<'a> PlacementRequest<'a> {
    /// A request on the part `part` of `route`, with that route's rank and homes and no time
    /// left.
    pub fn new(route: &'a RouteSpec, part: usize) -> Self {
        Self {
            route,
            priority: route.priority,
            homes: &route.home_regions,
            part,
            object: None,
            remaining: Duration::ZERO,
            returning: false,
            body_bytes: 0,
            tried: &[],
            versions: VersionFilter::Any,
        }
    }

    /// The request concerns the object with the hash `object`.
    #[must_use]
    pub fn with_object(mut self, object: Option<u64>) -> Self {
        self.object = object;
        self
    }

    /// Servers of the versions that `versions` allows may run it.
    #[must_use]
    pub fn with_versions(mut self, versions: VersionFilter<'a>) -> Self {
        self.versions = versions;
        self
    }

    /// An answer is of use for `remaining`.
    #[must_use]
    pub fn with_remaining(mut self, remaining: Duration) -> Self {
        self.remaining = remaining;
        self
    }
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
    /// The version of its software.
    pub version: String,
    /// Why this one, for the log.
    pub reason: PlacementReason,
    pub(crate) started: Instant,
}

impl Placement {
    /// A placement at `entry` for no other reason than the caller's own.
    pub fn new(now: Instant, handle: ServerHandle, entry: &ServerEntry) -> Self {
        Self {
            handle,
            address: entry.address,
            id: entry.id.clone(),
            version: entry.version.clone(),
            reason: PlacementReason::default(),
            started: now,
        }
    }
}

/// The figures that decided a placement.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
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
    pub(crate) free: bool,
    /// Expected work of the request itself, in milliseconds.
    pub(crate) work: f64,
    /// What speaks for the server holding the object.
    pub(crate) belief: Option<Belief>,
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
    /// Servers ended while they ran the request.
    Quarantined,
}

impl RefusalReason {
    /// The reason in one word, for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no-server",
            Self::Full => "full",
            Self::Cold => "cold",
            Self::Late => "late",
            Self::ShiftCap => "shift-cap",
            Self::Quarantined => "quarantined",
        }
    }
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
    /// It could be sent at last, but the server or the request was closed meanwhile; the
    /// request was not sent.
    Withdrawn,
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
            Self::Withdrawn => "withdrawn",
            Self::Broken => "broken",
            Self::OutOfTime => "out-of-time",
            Self::Abandoned => "abandoned",
        }
    }
}

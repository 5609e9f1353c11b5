//! Input and output of request placement, and the outcomes that are reported back to it.

use std::time::{Duration, Instant};

use rollout::filter::VersionFilter;

use crate::catalog::ServerHandle;
use crate::desired::RouteSpec;
use crate::placing::cache_likelihood::CacheEvidence;
use crate::server::ServerEntry;

/// A request to be placed on a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its route.
    pub route: &'a RouteSpec,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Regions that may serve the request; all if empty.
    pub homes: &'a [String],
    /// Index of the route's traffic part to which it belongs.
    pub part: usize,
    /// Hash of the object that the request is about.
    pub object: Option<u64>,
    /// Remaining time in which an answer is useful.
    pub remaining: Duration,
    /// Whether the caller resubmits a request that was refused before.
    pub resubmitted: bool,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Servers that the request was sent to before.
    pub tried: &'a [ServerHandle],
    /// Rule for the versions of the service that may run it.
    pub versions: VersionFilter<'a>,
}

impl<'a> PlacementRequest<'a> {
    /// Creates a request for the part `part` of `route`, with the priority and home regions of
    /// the route and no time remaining.
    pub fn new(route: &'a RouteSpec, part: usize) -> Self {
        Self {
            route,
            priority: route.priority,
            homes: &route.home_regions,
            part,
            object: None,
            remaining: Duration::ZERO,
            resubmitted: false,
            body_bytes: 0,
            tried: &[],
            versions: VersionFilter::Any,
        }
    }

    /// Sets the hash of the object that the request is about.
    #[must_use]
    pub fn with_object(mut self, object: Option<u64>) -> Self {
        self.object = object;
        self
    }

    /// Sets the rule for the versions that may run the request.
    #[must_use]
    pub fn with_versions(mut self, versions: VersionFilter<'a>) -> Self {
        self.versions = versions;
        self
    }

    /// Sets the remaining time in which an answer is useful.
    #[must_use]
    pub fn with_remaining(mut self, remaining: Duration) -> Self {
        self.remaining = remaining;
        self
    }
}

/// The server chosen for a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The server.
    pub handle: ServerHandle,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Id of the server run that was chosen.
    pub id: String,
    /// Software version of the server.
    pub version: String,
    /// Why this server was chosen, for the log.
    pub reason: PlacementReason,
    /// Whether the request was counted against the room that the server left, by a rate limit
    /// or after a rest.
    pub takes_room: bool,
    pub(crate) started: Instant,
}

impl Placement {
    /// Creates a placement on `entry` that the caller chose itself.
    pub fn new(now: Instant, handle: ServerHandle, entry: &ServerEntry) -> Self {
        Self {
            handle,
            address: entry.address,
            id: entry.id.clone(),
            version: entry.version.clone(),
            reason: PlacementReason::default(),
            takes_room: false,
            started: now,
        }
    }
}

/// The figures behind a placement.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PlacementReason {
    /// Expected time until the answer, in milliseconds.
    pub expected: f64,
    /// Estimated number of requests at the server.
    pub occupancy: f64,
    /// Probability that the server caches the object.
    pub cache_likelihood: f64,
    /// Rank of the server for the object within its region; 0 is the first.
    pub rank: usize,
    /// Whether the server is cold.
    pub cold: bool,
    /// Whether the server is in another region.
    pub is_remote: bool,
    /// Whether a slot was free, so that no other request had to finish first.
    pub(crate) has_free_slot: bool,
    /// Expected processing time of the request itself, in milliseconds.
    pub(crate) work: f64,
    /// Evidence that the server caches the object.
    pub(crate) cache_evidence: Option<CacheEvidence>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No server of the service is known or allowed.
    NoServer,
    /// No server can take more requests and still answer them in time.
    Full,
    /// Only cold servers are left, and their rate limit is exhausted.
    Cold,
    /// No server can answer before the deadline.
    Late,
    /// The limit on traffic shifted to other regions is reached.
    ShiftCap,
    /// Servers crashed while they ran this request.
    Quarantined,
    /// Only servers are left whose rate limits are exhausted.
    Limited,
    /// Only servers are left that want no requests for a time.
    Resting,
    /// Neither this entry nor another that it asked can reach the servers.
    NoPath,
}

impl RefusalReason {
    /// Returns the reason as used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no-server",
            Self::Full => "full",
            Self::Cold => "cold",
            Self::Late => "late",
            Self::ShiftCap => "shift-cap",
            Self::Quarantined => "quarantined",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::NoPath => "no-path",
        }
    }
}

/// A refusal with the time after which capacity is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// When the caller should resubmit the request.
    pub retry_after: Duration,
}

/// The outcome of a request at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// A complete answer.
    Answered {
        /// Whether the answer is not a server error.
        good: bool,
    },
    /// The server rejected the request because it is full; the request did not run.
    Full,
    /// A different server listens at the address; the request did not run.
    Misdirected,
    /// No connection could be established; the request was not sent.
    Unreachable,
    /// The server or the request was closed before the request could be sent.
    Withdrawn,
    /// The connection broke, or the answer was invalid.
    Broken,
    /// The deadline passed before the answer arrived.
    OutOfTime,
    /// The caller disconnected.
    Abandoned,
}

impl ServerOutcome {
    /// Returns the outcome as used in metrics.
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

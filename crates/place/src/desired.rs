//! The desired state that the operator sets: routes, services, teams and request limits.

use std::time::Duration;

use team::spec::TeamSpec;

/// Shortest body limit that is taken seriously when none is given, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 64 << 20;
/// Head limit when none is given, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;

base::common! {
    /// What may be done with a request more than once.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum RequestKind {
        /// May run any number of times.
        Idempotent,
        /// Runs at most once.
        AtMostOnce,
        /// A large body; runs at most once.
        Upload,
        /// A large answer; may run any number of times.
        Download,
    }

    /// One part of a route's traffic.
    #[derive(Eq)]
    pub struct SplitPart {
        /// The service that gets the part.
        pub service: String,
        /// Its weight among the parts.
        pub weight: u32,
    }

    /// A route: which requests go where, and under which bounds.
    #[derive(Eq)]
    pub struct RouteSpec {
        /// The route's name.
        pub name: String,
        /// The host that callers ask for.
        pub host: String,
        /// The path prefix; begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub kind: RequestKind,
        /// The longest time that a caller is kept waiting; `None` is unbounded.
        pub timeout: Option<Duration>,
        /// The latency objective.
        pub objective: Duration,
        /// Rank among the routes; 0 is the most urgent.
        pub priority: u32,
        /// The services, with weights. One part where the route isn't split.
        pub parts: Vec<SplitPart>,
        /// Most servers that one request may be sent to.
        pub max_attempts: u32,
        /// Whether servers are faster for objects that they handled lately.
        pub sticky: bool,
        /// Regions that may serve the route; empty allows all.
        pub home_regions: Vec<String>,
        /// Whether requests need no key where teams are set.
        pub is_public: bool,
    }

    /// A service and how its servers behave.
    pub struct ServiceSpec {
        /// The service's name.
        pub name: String,
        /// Path of its health check.
        pub health_path: String,
        /// Connections that each server accepts from everybody together.
        pub max_connections: u32,
        /// How long a server stays cold after its start.
        pub warmup: Duration,
        /// Requests a second that a cold server bears, from everybody together.
        pub cold_rate: f64,
    }

    /// What a caller may send.
    #[derive(Copy, Eq)]
    pub struct RequestLimits {
        /// Largest head, in bytes.
        pub header_bytes: usize,
        /// Largest body, in bytes.
        pub body_bytes: usize,
        /// Longest time in which a head must be complete.
        pub header_timeout: Duration,
        /// Longest time for which a connection may stay idle.
        pub idle_timeout: Duration,
    }

    /// The whole desired state in one version.
    pub struct DesiredState {
        /// Rises with each change, in uneven steps.
        pub version: u64,
        /// All routes.
        pub routes: Vec<RouteSpec>,
        /// All services.
        pub services: Vec<ServiceSpec>,
        /// All teams; none where requests need no key.
        pub teams: Vec<TeamSpec>,
        /// Bounds on what callers send.
        pub limits: RequestLimits,
    }
}

impl RequestKind {
    /// Whether a request that may have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: DEFAULT_MAX_HEADER_BYTES,
            body_bytes: DEFAULT_MAX_BODY_BYTES,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

//! The desired state as set by the operator: routes, services, teams and request limits.

use std::time::Duration;

use team::spec::TeamSpec;

/// Default limit of the request body, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 64 << 20;
/// Default limit of the request head, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;

base::common! {
    /// Whether a request may be repeated.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum RequestKind {
        /// May run any number of times.
        Idempotent,
        /// Runs at most once.
        AtMostOnce,
        /// A request with a large body; runs at most once.
        Upload,
        /// A request with a large answer; may run any number of times.
        Download,
    }

    /// A part of a route's traffic split.
    #[derive(Eq)]
    pub struct SplitPart {
        /// The service that receives this part.
        pub service: String,
        /// Weight of this part relative to the others.
        pub weight: u32,
    }

    /// A route: which requests go to which services, and with which limits.
    #[derive(Eq)]
    pub struct RouteSpec {
        /// Name of the route.
        pub name: String,
        /// Host that callers address.
        pub host: String,
        /// The path prefix; begins and ends with a slash.
        pub prefix: String,
        /// Whether its requests may be repeated.
        pub kind: RequestKind,
        /// Maximum time that a caller waits for the answer; `None` means no limit.
        pub timeout: Option<Duration>,
        /// The latency objective.
        pub objective: Duration,
        /// Priority among the routes; 0 is the most urgent.
        pub priority: u32,
        /// The services with their weights; a single part if the traffic isn't split.
        pub parts: Vec<SplitPart>,
        /// Maximum number of servers that a request is sent to.
        pub max_attempts: u32,
        /// Whether servers answer faster for objects that they handled recently.
        pub sticky: bool,
        /// Regions that may serve the route; all if empty.
        pub home_regions: Vec<String>,
        /// Whether requests need no key although teams are configured.
        pub is_public: bool,
    }

    /// A service and the characteristics of its servers.
    pub struct ServiceSpec {
        /// Name of the service.
        pub name: String,
        /// Path of the health check.
        pub health_path: String,
        /// Maximum number of connections that a server accepts from all entries together.
        pub max_connections: u32,
        /// How long a server counts as cold after its start.
        pub warmup: Duration,
        /// Requests per second that a cold server can handle, from all entries together.
        pub cold_rate: f64,
    }

    /// Limits on what callers send.
    #[derive(Copy, Eq)]
    pub struct RequestLimits {
        /// Maximum size of the request head, in bytes.
        pub header_bytes: usize,
        /// Maximum size of the request body, in bytes.
        pub body_bytes: usize,
        /// Maximum time until the request head is complete.
        pub header_timeout: Duration,
        /// Maximum time for which a connection may be idle.
        pub idle_timeout: Duration,
    }

    /// A complete version of the desired state.
    pub struct DesiredState {
        /// Increases with each change, but not always by one.
        pub version: u64,
        /// All routes.
        pub routes: Vec<RouteSpec>,
        /// All services.
        pub services: Vec<ServiceSpec>,
        /// All teams; requests need no key if there are none.
        pub teams: Vec<TeamSpec>,
        /// Limits on what callers send.
        pub limits: RequestLimits,
    }
}

impl RequestKind {
    /// Returns whether a request that may have run may be sent again.
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

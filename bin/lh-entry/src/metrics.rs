//! Prometheus metrics of the entry.

mod events;

use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use std::time::{Duration, Instant};

use place::paths::relay::RelayOutcome;
use place::prelude::RequestPlacer;

use crate::connect::metrics::AheadMetrics;
use crate::error::Result;
use crate::readiness::ReadinessMonitor;
use crate::region_shares::ShareMonitor;
use crate::response_stream::StreamEnd;
use crate::team_metrics::TeamMetrics;

/// Upper bounds of the latency buckets, in seconds, chosen around common latency objectives.
const LATENCY_BUCKETS: [f64; 11] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.2, 2.0, 4.0];

/// All metrics of the entry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    good: IntCounterVec,
    info: GaugeVec,
    draining: Gauge,
    slots: GaugeVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    store_calls: IntCounterVec,
    refusals: IntCounterVec,
    limits: IntCounterVec,
    rollout_requests: IntCounterVec,
    operator_age: Gauge,
    proof_age: Gauge,
    pub(crate) teams: TeamMetrics,
    pub(crate) readiness: ReadinessMonitor,
    pub(crate) shares: ShareMonitor,
    servers: GaugeVec,
    server_requests: GaugeVec,
    registry_age: Gauge,
    pub(crate) version: IntGauge,
    pub(crate) foreign_rows: IntGauge,
    /// Servers that are kept for now although their rows are missing.
    pub(crate) kept_servers: IntGauge,
    pub(crate) leads: IntGauge,
    pulls: IntCounterVec,
    registry_copies: IntCounterVec,
    readings: IntCounterVec,
    pub(crate) registry_content: IntGauge,
    pub(crate) lead_conflicts: IntCounter,
    bad_datagrams: IntCounter,
    broken_off: IntCounterVec,
    relays: IntCounterVec,
    /// Responses that were forwarded while they arrived.
    streams: IntCounterVec,
    /// Number of times that the store came back from an older copy.
    pub(crate) store_era: IntGauge,
    /// Services whose servers this entry can't reach.
    pub(crate) lost_paths: IntGauge,
    /// Times that this entry lost the path to the servers of a service.
    pub(crate) path_losses: IntCounter,
    unread_headers: IntCounterVec,
    /// Responses in which servers ask for rest.
    pub(crate) rests: IntCounter,
    /// Servers that name a rate limit.
    pub(crate) limited_servers: IntGauge,
    /// Refused callers that are expected back.
    pub(crate) expected_returns: IntGauge,
    pub(crate) connections: IntGauge,
    /// Pipelined requests that were started before their turn.
    pub(crate) pipelined: IntCounter,
    /// Connections that are opened ahead of requests.
    pub(crate) ahead: AheadMetrics,
}

impl EntryMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// Fails if a metric is registered twice.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("laurelhill_requests_total", "Requests by route and outcome"),
            &["route", "outcome"],
        )?;
        let good = IntCounterVec::new(
            Opts::new(
                "laurelhill_good_total",
                "Answers of servers within the objective, by route",
            ),
            &["route"],
        )?;
        let info = GaugeVec::new(
            Opts::new("laurelhill_instance_info", "The instance and its region"),
            &["instance", "region"],
        )?;
        let draining = Gauge::new(
            "laurelhill_draining_seconds",
            "Time since a planned stop began; 0 without one",
        )?;
        let slots = GaugeVec::new(
            Opts::new(
                "laurelhill_slots",
                "Slots of the own region's servers by service, and those thought free",
            ),
            &["service", "state"],
        )?;
        let latency = HistogramVec::new(
            HistogramOpts::new("laurelhill_request_seconds", "Time to the answer by route")
                .buckets(LATENCY_BUCKETS.to_vec()),
            &["route"],
        )?;
        let attempts = IntCounterVec::new(
            Opts::new(
                "laurelhill_attempts_total",
                "Requests sent to servers, by service and what came of it",
            ),
            &["service", "result"],
        )?;
        let store_calls = IntCounterVec::new(
            Opts::new(
                "laurelhill_store_calls_total",
                "Calls to the store by result",
            ),
            &["call", "result"],
        )?;
        let refusals = IntCounterVec::new(
            Opts::new("laurelhill_refusals_total", "Refused requests by reason"),
            &["reason"],
        )?;
        let limits = IntCounterVec::new(
            Opts::new(
                "laurelhill_limits_total",
                "Requests that met a bound shared by all entries, by what it said",
            ),
            &["limit", "result"],
        )?;
        let rollout_requests = IntCounterVec::new(
            Opts::new(
                "laurelhill_rollout_requests_total",
                "Requests of services with a rollout, by the version that was chosen for them",
            ),
            &["version"],
        )?;
        for version in ["old", "new"] {
            rollout_requests.with_label_values(&[version]).inc_by(0);
        }
        let operator_age = Gauge::new(
            "laurelhill_desired_age_seconds",
            "Time since the store or a lead last sent the operator's rows",
        )?;
        let proof_age = Gauge::new(
            "laurelhill_proof_age_seconds",
            "How old the store's word on the operator's rows is at most; keys count while it is young",
        )?;
        let servers = GaugeVec::new(
            Opts::new("laurelhill_servers", "Known servers by service and state"),
            &["service", "state"],
        )?;
        let server_requests = GaugeVec::new(
            Opts::new(
                "laurelhill_server_requests",
                "Requests at each known server, of this entry and thought of all",
            ),
            &["server", "of"],
        )?;
        let registry_age = Gauge::new(
            "laurelhill_registry_age_seconds",
            "Age of the newest reading of the servers' registry",
        )?;
        let version = IntGauge::new("laurelhill_desired_version", "Desired state in force")?;
        let foreign_rows = IntGauge::new(
            "laurelhill_foreign_rows",
            "Rows of the servers' registry that are no server's own word",
        )?;
        let leads = IntGauge::new(
            "laurelhill_leads",
            "Whether the entry is the reader of its region or the deputy",
        )?;
        let pulls = IntCounterVec::new(
            Opts::new(
                "laurelhill_pulls_total",
                "Questions to leads for what they know more, by what was asked for",
            ),
            &["asked", "result"],
        )?;
        let registry_copies = IntCounterVec::new(
            Opts::new(
                "laurelhill_registry_copies_total",
                "Copies of the registry sent to other entries",
            ),
            &["copy"],
        )?;
        let readings = IntCounterVec::new(
            Opts::new(
                "laurelhill_registry_readings_total",
                "Answers of the store about the servers' registry, by what they brought",
            ),
            &["result"],
        )?;
        let registry_content = IntGauge::new(
            "laurelhill_registry_content",
            "Mark of what is known of the servers' registry; equal at entries that know the same",
        )?;
        let kept_servers = IntGauge::new(
            "laurelhill_kept_servers",
            "Servers whose rows vanished and that are kept until the registry has settled",
        )?;
        let lead_conflicts = IntCounter::new(
            "laurelhill_contradictions_total",
            "Times that leads began to know other things of the registry though both have read it",
        )?;
        // Exported with 0 from the start, so that a rate can be computed from the first event.
        for copy in ["whole", "changes"] {
            registry_copies.with_label_values(&[copy]);
        }
        for asked in ["all", "changes"] {
            pulls.with_label_values(&[asked, "ok"]);
        }
        let bad_datagrams = IntCounter::new(
            "laurelhill_bad_datagrams_total",
            "Datagrams from other entries that were not understood",
        )?;
        let broken_off = IntCounterVec::new(
            Opts::new(
                "laurelhill_broken_off_total",
                "Servers that broke off requests, by service and whether they had ended",
            ),
            &["service", "server"],
        )?;
        let unread_headers = IntCounterVec::new(
            Opts::new(
                "laurelhill_unread_headers_total",
                "Headers in which servers describe themselves and that are not read, by name",
            ),
            &["header"],
        )?;
        let rests = IntCounter::new(
            "laurelhill_rests_total",
            "Responses in which servers ask this entry for rest",
        )?;
        let expected_returns = IntGauge::new(
            "laurelhill_expected_returns",
            "Refused callers that are expected back at any entry",
        )?;
        let limited_servers = IntGauge::new(
            "laurelhill_limited_servers",
            "Servers that name a rate limit in their responses",
        )?;
        let connections = IntGauge::new("laurelhill_caller_connections", "Open connections")?;
        let pipelined = IntCounter::new(
            "laurelhill_pipelined_requests_total",
            "Pipelined requests that were started before the response ahead of them",
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(good.clone()))?;
        registry.register(Box::new(info.clone()))?;
        registry.register(Box::new(draining.clone()))?;
        registry.register(Box::new(slots.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(limits.clone()))?;
        registry.register(Box::new(rollout_requests.clone()))?;
        registry.register(Box::new(operator_age.clone()))?;
        registry.register(Box::new(proof_age.clone()))?;
        let teams = TeamMetrics::new(&registry)?;
        let readiness = ReadinessMonitor::new(&registry)?;
        let ahead = AheadMetrics::new(&registry)?;
        let shares = ShareMonitor::new(&registry)?;
        registry.register(Box::new(servers.clone()))?;
        registry.register(Box::new(server_requests.clone()))?;
        registry.register(Box::new(registry_age.clone()))?;
        registry.register(Box::new(version.clone()))?;
        registry.register(Box::new(foreign_rows.clone()))?;
        registry.register(Box::new(kept_servers.clone()))?;
        registry.register(Box::new(leads.clone()))?;
        registry.register(Box::new(pulls.clone()))?;
        registry.register(Box::new(registry_copies.clone()))?;
        registry.register(Box::new(readings.clone()))?;
        registry.register(Box::new(registry_content.clone()))?;
        registry.register(Box::new(lead_conflicts.clone()))?;
        registry.register(Box::new(bad_datagrams.clone()))?;
        registry.register(Box::new(broken_off.clone()))?;
        let relays = IntCounterVec::new(
            Opts::new(
                "laurelhill_relays_total",
                "Requests relayed through other entries, by result",
            ),
            &["result"],
        )?;
        registry.register(Box::new(relays.clone()))?;
        for outcome in RelayOutcome::ALL {
            relays.with_label_values(&[outcome.as_str()]);
        }
        let streams = IntCounterVec::new(
            Opts::new(
                "laurelhill_streamed_responses_total",
                "Large responses that were forwarded while they arrived, by how they ended",
            ),
            &["end"],
        )?;
        registry.register(Box::new(streams.clone()))?;
        for end in StreamEnd::ALL {
            streams.with_label_values(&[end.as_str()]);
        }
        let store_era = IntGauge::new(
            "laurelhill_store_era",
            "Times that the store came back from an older copy, by its answers to this entry",
        )?;
        registry.register(Box::new(store_era.clone()))?;
        let lost_paths = IntGauge::new(
            "laurelhill_lost_paths",
            "Services of which this entry can reach hardly any server",
        )?;
        let path_losses = IntCounter::new(
            "laurelhill_path_losses_total",
            "Times that this entry lost the path to the servers of a service",
        )?;
        registry.register(Box::new(lost_paths.clone()))?;
        registry.register(Box::new(path_losses.clone()))?;
        registry.register(Box::new(unread_headers.clone()))?;
        registry.register(Box::new(rests.clone()))?;
        registry.register(Box::new(limited_servers.clone()))?;
        registry.register(Box::new(expected_returns.clone()))?;
        registry.register(Box::new(connections.clone()))?;
        registry.register(Box::new(pipelined.clone()))?;
        Ok(Self {
            registry,
            requests,
            good,
            info,
            draining,
            slots,
            latency,
            attempts,
            store_calls,
            refusals,
            limits,
            rollout_requests,
            operator_age,
            proof_age,
            teams,
            readiness,
            shares,
            servers,
            server_requests,
            registry_age,
            version,
            foreign_rows,
            kept_servers,
            leads,
            pulls,
            registry_copies,
            readings,
            registry_content,
            lead_conflicts,
            bad_datagrams,
            broken_off,
            relays,
            streams,
            store_era,
            lost_paths,
            path_losses,
            unread_headers,
            rests,
            limited_servers,
            expected_returns,
            connections,
            pipelined,
            ahead,
        })
    }

    /// Sets the name and region of this instance.
    pub(crate) fn set_instance_info(&self, instance: &str, region: &str) {
        self.info.with_label_values(&[instance, region]).set(1.0);
    }

    /// Sets the time since a planned stop began.
    pub(crate) fn set_draining_time(&self, age: Duration) {
        self.draining.set(age.as_secs_f64());
    }

    /// Sets the age of the last information on the operator's rows, and the maximum age of the
    /// store's confirmation of it.
    pub(crate) fn set_operator_ages(
        &self,
        registry_copies: Option<Duration>,
        proof: Option<Duration>,
    ) {
        let seconds = |age: Option<Duration>| age.map_or(f64::NAN, |age| age.as_secs_f64());
        self.operator_age.set(seconds(registry_copies));
        self.proof_age.set(seconds(proof));
    }

    /// Updates the metrics of all known servers; series of removed servers disappear.
    pub(crate) fn update_servers(&self, now: Instant, region: &str, placer: &RequestPlacer) {
        self.servers.reset();
        self.server_requests.reset();
        self.slots.reset();
        let catalog = &placer.catalog;
        let age = catalog
            .read_at()
            .map_or(f64::NAN, |at| (now - at).as_secs_f64());
        self.registry_age.set(age);
        for record in catalog.iter() {
            let state = placer.condition(now, record).as_str();
            let service = record.entry.service.as_str();
            self.servers.with_label_values(&[service, state]).inc();
            let requests = |of: &str| {
                self.server_requests
                    .with_label_values(&[record.entry.id.as_str(), of])
            };
            requests("entry").set(f64::from(record.in_flight));
            requests("all").set(record.occupancy(now));
            if record.region != region {
                continue;
            }
            let slots = f64::from(record.entry.slots);
            let slots_of = |state: &str| self.slots.with_label_values(&[service, state]);
            slots_of("all").add(slots);
            slots_of("free").add((slots - record.occupancy(now)).max(0.0));
        }
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let encoder = TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# metrics can't be encoded: {error}\n"))
    }
}

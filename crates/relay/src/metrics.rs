//! What the request path counts.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use base::prelude::*;
use prometheus::{
    Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry,
};
use steer::GateStats;

/// Upper ends of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 30.0,
];

/// Name, kind, labels and meaning of every metric of lh-entry.
pub const METRICS: [(&str, &str, &str, &str); 13] = [
    (
        "laurelhill_requests_total",
        "counter",
        "service, outcome, reason",
        "Requests answered, by outcome and reason of refusal.",
    ),
    (
        "laurelhill_good_total",
        "counter",
        "service",
        "Requests done within the latency objective.",
    ),
    (
        "laurelhill_latency_seconds",
        "histogram",
        "service",
        "Time from a request's head to its answer's head, done requests only.",
    ),
    (
        "laurelhill_lookups_total",
        "counter",
        "service",
        "Look-ups answered.",
    ),
    (
        "laurelhill_retries_total",
        "counter",
        "service",
        "Runs tried again at another backend server.",
    ),
    (
        "laurelhill_spills_total",
        "counter",
        "service",
        "Requests handed to another region.",
    ),
    (
        "laurelhill_rights",
        "gauge",
        "service, state",
        "Slot rights by state: owned, spare, in_flight, waiting.",
    ),
    ("laurelhill_seats", "gauge", "", "Seats held."),
    (
        "laurelhill_admitting",
        "gauge",
        "",
        "1 while work may be admitted.",
    ),
    (
        "laurelhill_config_version",
        "gauge",
        "",
        "Version of the configuration in force.",
    ),
    (
        "laurelhill_instance_info",
        "gauge",
        "instance, region",
        "Always 1; tells which instance this is.",
    ),
    (
        "laurelhill_draining_seconds",
        "gauge",
        "",
        "Time since a planned stop began; 0 before.",
    ),
    (
        "laurelhill_plan_age_seconds",
        "gauge",
        "",
        "Time since lh-steer last answered.",
    ),
];

/// What is counted of a done request of one service.
#[derive(Debug, Clone)]
struct DoneCounters {
    requests: IntCounter,
    good: IntCounter,
    latency: Histogram,
}

/// The request path's metrics.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    registry: Registry,
    done: Arc<RwLock<HashMap<ServiceId, DoneCounters>>>,
    requests: IntCounterVec,
    good: IntCounterVec,
    latency: HistogramVec,
    lookups: IntCounterVec,
    retries: IntCounterVec,
    spills: IntCounterVec,
    rights: IntGaugeVec,
    seats: IntGauge,
    admitting: IntGauge,
    version: IntGauge,
    plan_age: Gauge,
    draining: Gauge,
    info: IntGaugeVec,
}

fn meaning(name: &str) -> &'static str {
    let metric = METRICS.iter().find(|metric| metric.0 == name);
    metric.map_or("", |metric| metric.3)
}

impl RelayMetrics {
    /// Registers every metric.
    ///
    /// # Errors
    /// Where a name is registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, meaning(name)), labels)?;
            registry.register(Box::new(vec.clone()))?;
            prometheus::Result::Ok(vec)
        };
        let gauge = |name: &str| {
            let gauge = IntGauge::new(name, meaning(name))?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let latency = "laurelhill_latency_seconds";
        let options =
            HistogramOpts::new(latency, meaning(latency)).buckets(LATENCY_BUCKETS.to_vec());
        let latency = HistogramVec::new(options, &["service"])?;
        registry.register(Box::new(latency.clone()))?;
        let rights = "laurelhill_rights";
        let rights = IntGaugeVec::new(Opts::new(rights, meaning(rights)), &["service", "state"])?;
        registry.register(Box::new(rights.clone()))?;
        let seconds = |name: &str| {
            let gauge = Gauge::new(name, meaning(name))?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let info = "laurelhill_instance_info";
        let info = IntGaugeVec::new(Opts::new(info, meaning(info)), &["instance", "region"])?;
        registry.register(Box::new(info.clone()))?;
        let plan_age = seconds("laurelhill_plan_age_seconds")?;
        let draining = seconds("laurelhill_draining_seconds")?;
        Ok(Self {
            requests: counter(
                "laurelhill_requests_total",
                &["service", "outcome", "reason"],
            )?,
            good: counter("laurelhill_good_total", &["service"])?,
            lookups: counter("laurelhill_lookups_total", &["service"])?,
            retries: counter("laurelhill_retries_total", &["service"])?,
            spills: counter("laurelhill_spills_total", &["service"])?,
            seats: gauge("laurelhill_seats")?,
            admitting: gauge("laurelhill_admitting")?,
            version: gauge("laurelhill_config_version")?,
            latency,
            rights,
            plan_age,
            draining,
            info,
            done: Arc::default(),
            registry,
        })
    }

    /// The counters of a service's done requests, found once and then kept.
    fn done_counters(&self, service: &ServiceId) -> DoneCounters {
        let kept = self.done.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(counters) = kept.get(service) {
            return counters.clone();
        }
        drop(kept);
        let name = service.as_str();
        let counters = DoneCounters {
            requests: self
                .requests
                .with_label_values(&[name, Outcome::Done.as_str(), ""]),
            good: self.good.with_label_values(&[name]),
            latency: self.latency.with_label_values(&[name]),
        };
        let mut kept = self.done.write().unwrap_or_else(PoisonError::into_inner);
        kept.insert(service.clone(), counters.clone());
        counters
    }

    pub(crate) fn done(&self, service: &ServiceId, took: Duration, objective: Duration) {
        let counters = self.done_counters(service);
        counters.requests.inc();
        counters.latency.observe(took.as_secs_f64());
        if took <= objective {
            counters.good.inc();
        }
    }

    pub(crate) fn count(&self, service: &ServiceId, outcome: Outcome, reason: &str) {
        self.requests
            .with_label_values(&[service.as_str(), outcome.as_str(), reason])
            .inc();
    }

    pub(crate) fn retried(&self, service: &ServiceId) {
        self.retries.with_label_values(&[service.as_str()]).inc();
    }

    pub(crate) fn spilled(&self, service: &ServiceId) {
        self.spills.with_label_values(&[service.as_str()]).inc();
    }

    /// Tells which instance this is.
    pub fn show_instance(&self, instance: &InstanceId, region: &RegionId) {
        let labels = [instance.as_str(), region.as_str()];
        self.info.with_label_values(&labels).set(1);
    }

    /// Shows how long a planned stop has been going on.
    pub fn show_draining(&self, since: Duration) {
        self.draining.set(since.as_secs_f64());
    }

    /// Counts a look-up.
    pub fn looked_up(&self, service: &str) {
        self.lookups.with_label_values(&[service]).inc();
    }

    /// Shows the gate's state.
    pub fn show_gate(&self, stats: &GateStats) {
        self.seats.set(stats.seats.len() as i64);
        self.admitting.set(i64::from(stats.permitted));
        for load in &stats.services {
            let service = load.service.as_str();
            let set = |state: &str, value: i64| {
                self.rights.with_label_values(&[service, state]).set(value);
            };
            set("owned", i64::from(load.owned));
            set("spare", i64::from(load.spare));
            set("in_flight", load.in_flight as i64);
            set("waiting", load.waiting as i64);
        }
    }

    /// Shows the version in force and the age of the last answer of lh-steer.
    pub fn show_plan(&self, version: u64, age: Duration) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.plan_age.set(age.as_secs_f64());
    }

    /// The registry, for whoever shows the metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

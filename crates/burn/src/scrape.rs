//! Parses the metrics of an instance.

use std::collections::BTreeMap;

use prometheus_parse::{Scrape as ParsedText, Value};

use crate::error::{Error, Result};

base::common! {
    /// Counters of a service at one instance. They never decrease while the instance runs.
    #[derive(Copy, Default)]
    pub struct ServiceCounters {
        /// Answered requests.
        pub done: f64,
        /// Requests answered within the latency objective.
        pub good: f64,
        /// Requests that failed because of this system: refused, or with unknown outcome.
        pub failed: f64,
        /// Slots of the service's servers in the region, a gauge.
        pub slots: f64,
        /// Slots that the instance considers free, a gauge.
        pub free: f64,
    }

    /// The metrics of an instance at one time.
    #[derive(Default)]
    pub struct Scrape {
        /// The instance.
        pub instance: String,
        /// Its region.
        pub region: String,
        /// Seconds since a planned stop started.
        pub draining: f64,
        /// Counters by service.
        pub services: CounterSet,
    }
}

/// Counters by service.
pub type CounterSet = BTreeMap<String, ServiceCounters>;

/// Parses metrics in the Prometheus text format.
///
/// # Errors
/// Returns an error if the text is malformed or doesn't name the instance.
pub fn parse_scrape(text: &str) -> Result<Scrape> {
    let lines = text.lines().map(|line| Ok(line.to_owned()));
    let parsed = ParsedText::parse(lines).map_err(|cause| Error::Metrics(cause.to_string()))?;
    let mut scrape = Scrape::default();
    for sample in &parsed.samples {
        let (Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value)) = sample.value
        else {
            continue;
        };
        let label = |name: &str| sample.labels.get(name).unwrap_or("");
        match sample.metric.as_str() {
            "laurelhill_instance_info" => {
                label("instance").clone_into(&mut scrape.instance);
                label("region").clone_into(&mut scrape.region);
            }
            "laurelhill_draining_seconds" => scrape.draining = value,
            "laurelhill_requests_total" => {
                let counters = counters_of(&mut scrape, label("route"));
                match label("outcome") {
                    "answered" => counters.done += value,
                    "not-run" | "unknown" => counters.failed += value,
                    // Invalid requests and those whose caller left burn no budget.
                    _ => {}
                }
            }
            "laurelhill_good_total" => counters_of(&mut scrape, label("route")).good += value,
            "laurelhill_slots" => {
                let counters = counters_of(&mut scrape, label("service"));
                match label("state") {
                    "all" => counters.slots = value,
                    "free" => counters.free = value,
                    _ => {}
                }
            }
            _ => {}
        }
    }
    if scrape.instance.is_empty() {
        return Err(Error::Metrics(
            "laurelhill_instance_info is missing".to_owned(),
        ));
    }
    Ok(scrape)
}

fn counters_of<'a>(scrape: &'a mut Scrape, name: &str) -> &'a mut ServiceCounters {
    scrape.services.entry(name.to_owned()).or_default()
}

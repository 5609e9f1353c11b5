//! Sums up the refusals of a service over instances, and names the instances that are behind.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::Value;

/// Knowledge of the registry that is older than this is reported, in milliseconds.
const MAX_REGISTRY_AGE_MS: i64 = 3000;

/// Refusals on one route for one reason, over all instances.
#[derive(Default)]
struct RefusalSum {
    instances: u64,
    count: u64,
    since_ms: u64,
    back_in_ms: u64,
}

/// Formats the refusals of `service` in the `statuses` of instances.
pub(crate) fn format(service: &str, statuses: &[Value]) -> String {
    let mut text = String::new();
    let sums = sum(statuses);
    if sums.is_empty() {
        let _ = write!(text, "{service}: no request is refused");
    }
    for ((route, reason), sum) in &sums {
        let separator = if text.is_empty() { "" } else { "\n" };
        let _ = write!(
            text,
            "{separator}{service}: {} requests on {route} refused as {reason} by {} of {} instances, \
             since {:.1} s; the last callers come back in {:.1} s",
            sum.count,
            sum.instances,
            statuses.len(),
            sum.since_ms as f64 / 1000.0,
            sum.back_in_ms as f64 / 1000.0,
        );
    }
    for line in instances_behind(statuses) {
        let _ = write!(text, "\n{line}");
    }
    text
}

fn sum(statuses: &[Value]) -> BTreeMap<(&str, &str), RefusalSum> {
    let mut sums: BTreeMap<(&str, &str), RefusalSum> = BTreeMap::new();
    let refusals = statuses
        .iter()
        .filter_map(|status| status["refusals"].as_array());
    for refusal in refusals.flatten() {
        let (Some(route), Some(reason)) = (refusal["route"].as_str(), refusal["reason"].as_str())
        else {
            continue;
        };
        let number = |key: &str| refusal[key].as_u64().unwrap_or(0);
        let sum = sums.entry((route, reason)).or_default();
        sum.instances += 1;
        sum.count += number("count");
        sum.since_ms = sum.since_ms.max(number("since_ms"));
        sum.back_in_ms = sum.back_in_ms.max(number("back_in_ms"));
    }
    sums
}

/// One line for each instance with an older desired state or old knowledge of the registry.
fn instances_behind(statuses: &[Value]) -> Vec<String> {
    let versions = statuses
        .iter()
        .filter_map(|status| status["version"].as_u64());
    let newest = versions.max().unwrap_or(0);
    let mut lines = Vec::new();
    for status in statuses {
        let instance = status["instance"].as_str().unwrap_or("?");
        let version = status["version"].as_u64().unwrap_or(0);
        let registry_age_ms = status["registry_age_ms"].as_i64().unwrap_or(-1);
        if version < newest {
            lines.push(format!(
                "{instance} is behind: version {version} of {newest}"
            ));
        }
        if !(0..=MAX_REGISTRY_AGE_MS).contains(&registry_age_ms) {
            lines.push(format!(
                "{instance} is behind: registry read {registry_age_ms} ms ago"
            ));
        }
    }
    lines
}

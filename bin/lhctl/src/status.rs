//! The command `status`, and waiting until a version is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::cli::InstanceArguments;
use crate::contradictions;
use crate::error::{Error, Result};
use crate::refusals;

/// Time between two rounds of status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time to wait for an answer from an instance.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches a JSON document from `address`; `None` if there is no valid answer in time.
pub(crate) async fn fetch(address: SocketAddr, path: &str) -> Option<Value> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .uri(format!("http://{address}{path}"))
        .body(Empty::<Bytes>::new())
        .ok()?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?
}

/// Waits until `version` or a later one is in force on all instances, for at most `seconds`.
/// Returns the time that it took.
pub(crate) async fn wait_until_in_force(
    instances: &[SocketAddr],
    version: u64,
    seconds: u64,
) -> Result<Duration> {
    let started = Instant::now();
    let mut pending: Vec<SocketAddr> = instances.to_vec();
    while !pending.is_empty() {
        let mut still_pending = Vec::new();
        for address in pending {
            let status = fetch(address, "/v1/status").await;
            let in_force = status.and_then(|status| status["version"].as_u64());
            if in_force.is_none_or(|in_force| in_force < version) {
                still_pending.push(address);
            }
        }
        pending = still_pending;
        if started.elapsed() > Duration::from_secs(seconds) && !pending.is_empty() {
            let names: Vec<_> = pending.iter().map(ToString::to_string).collect();
            return Err(Error::PartiallyInForce(version, names.join(", ")));
        }
        if !pending.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(started.elapsed())
}

/// Prints the status of the instances, with the refusals of `service` if one is given; fails if
/// any doesn't answer.
pub(crate) async fn show(
    arguments: &InstanceArguments,
    service: Option<&str>,
    json: bool,
) -> Result<()> {
    if arguments.instances.is_empty() {
        return Err(Error::Usage(
            "give the look-up addresses of entries with --instances".to_owned(),
        ));
    }
    let mut unreachable = Vec::new();
    let mut statuses = Vec::new();
    let query = service.map_or(String::new(), |service| format!("?service={service}"));
    for address in &arguments.instances {
        match fetch(*address, &format!("/v1/status{query}")).await {
            Some(status) => statuses.push(status),
            None => unreachable.push(address.to_string()),
        }
    }
    if json {
        println!(
            "{}",
            serde_json::json!({"instances": statuses, "silent": unreachable})
        );
    } else {
        for status in &statuses {
            println!("{}", format_status(status));
        }
        for line in contradictions::find(&statuses) {
            println!("{line}");
        }
        if let Some(service) = service {
            println!("{}", refusals::format(service, &statuses));
        }
    }
    if unreachable.is_empty() {
        return Ok(());
    }
    Err(Error::Refused(format!(
        "no answer from {}",
        unreachable.join(", ")
    )))
}

/// Says what an instance that isn't ready waits for, if it tells.
fn describe_wait(status: &Value) -> String {
    let waits_for = status["waits_for"].as_array().into_iter().flatten();
    let waits_for: Vec<&str> = waits_for.filter_map(Value::as_str).collect();
    if waits_for.is_empty() {
        return "not ready".to_owned();
    }
    format!("not ready, waits for {}", waits_for.join(" and "))
}

fn format_status(status: &Value) -> String {
    let text = |key: &str| status[key].as_str().unwrap_or("?").to_owned();
    let mut servers = 0;
    let mut open = 0;
    for service in status["services"].as_array().into_iter().flatten() {
        servers += service["servers"].as_u64().unwrap_or(0);
        open += service["open"].as_u64().unwrap_or(0);
    }
    let state = match (&status["stopping"], &status["ready"]) {
        (Value::Bool(true), _) => "stopping".to_owned(),
        (_, Value::Bool(true)) => "ready".to_owned(),
        _ => describe_wait(status),
    };
    format!(
        "{} in {} ({}): {state}, version {}, {open} of {servers} backend servers open, \
         {} instances live, registry read {} ms ago",
        text("instance"),
        text("domain"),
        text("region"),
        status["version"],
        status["instances"],
        status["registry_age_ms"],
    )
}

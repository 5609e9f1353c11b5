//! Generates load on a deployment and checks the guarantees by the callers' ledger.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use conf::{ConfigBundle, Deployment};
use place::blocks::parse_block;
use place::desired::RequestKind;
use standin::{
    CallerSim, CallerSpec, LedgerEntry, LoadClass, LoadSpec, RunCounts, ServerView, run_load,
    verify_ledger,
};

use crate::cli::LoadArguments;
use crate::client::send_request;
use crate::error::{Error, Result};
use crate::report;

/// Number of callers per region.
const CALLERS_PER_REGION: u8 = 8;
/// Wait before the check, so that late executions are still counted.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Body size of an at-most-once request.
const WRITE_BODY_BYTES: usize = 600;
/// Body size of an upload.
const UPLOAD_BODY_BYTES: usize = 256 << 10;

/// Generates the load, checks the ledger and prints a table row. Fails if a guarantee was
/// violated.
pub(crate) async fn run(arguments: &LoadArguments) -> Result<()> {
    let deployment = ConfigBundle::from_folder(&arguments.deploy)?.deployment()?;
    let callers = callers(&deployment, arguments);
    let spec = LoadSpec {
        classes: request_classes(&deployment, arguments.load),
        duration: Duration::from_secs_f64(arguments.seconds),
        id_prefix: arguments.phase.replace(' ', "_"),
        seed: arguments.seed,
    };
    let before = server_counts(arguments).await?;
    let free_slots_sample = tokio::spawn(free_slots(arguments.lookups.clone(), spec.duration / 2));
    let entries = run_load(&spec, &callers).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let runs: RunCounts = fetch_control(arguments, "runs").await?;
    let report = verify_ledger(&entries, &runs);
    let after = server_counts(arguments).await?;
    let (shed, late) = (after.0 - before.0, after.1 - before.1);
    if arguments.header {
        println!("{}", report::header());
    }
    println!("{}", report::row(&arguments.phase, &report, shed, late));
    if let Ok(line) = free_slots_sample.await {
        println!("    free slots half-way: {line}");
    }
    if let Some(path) = &arguments.ledger {
        write_ledger(path, &entries)?;
    }
    print_reasons(&entries);
    if report.has_violations() || late > 0 {
        return Err(Error::GuaranteesViolated(arguments.phase.clone()));
    }
    Ok(())
}

fn callers(deployment: &Deployment, arguments: &LoadArguments) -> Vec<Arc<CallerSim>> {
    let mut callers = Vec::new();
    for region in deployment.regions.values() {
        let block = region
            .client_blocks
            .first()
            .and_then(|block| parse_block(block).ok());
        let Some((IpAddr::V4(network), _)) = block else {
            continue;
        };
        for number in 1..=CALLERS_PER_REGION {
            let [a, b, c, _] = network.octets();
            let source = IpAddr::from([a, b, c, number]);
            let key = callers.len() % arguments.keys.len().max(1);
            callers.push(Arc::new(CallerSim::new(CallerSpec {
                key: arguments.keys.get(key).cloned(),
                source,
                lookups: arguments.lookups.clone(),
            })));
        }
    }
    callers
}

/// Returns a class of requests for each service, all at the same share of the capacity.
fn request_classes(deployment: &Deployment, load: f64) -> Vec<LoadClass> {
    let mut classes = Vec::new();
    for service in deployment.services.values() {
        let slots: u32 = deployment
            .regions
            .keys()
            .map(|region| deployment.capacity(region.as_str(), service.id.as_str()))
            .sum();
        let at_most_once = !service.kind.may_repeat();
        let body = match service.kind {
            RequestKind::Upload => UPLOAD_BODY_BYTES,
            RequestKind::AtMostOnce => WRITE_BODY_BYTES,
            RequestKind::Idempotent | RequestKind::Download => 0,
        };
        classes.push(LoadClass {
            service: service.id.to_string(),
            at_most_once,
            deadline: service.deadline,
            body,
            rate: load * f64::from(slots) / service.servers.service_time.as_secs_f64(),
        });
    }
    classes
}

async fn fetch_control<T: serde::de::DeserializeOwned>(
    arguments: &LoadArguments,
    path: &str,
) -> Result<T> {
    let url = format!("http://{}/{path}", arguments.control);
    let (_, body) = send_request("GET", &url, "").await?;
    serde_json::from_slice(&body).map_err(|cause| Error::Exchange(format!("{url}: {cause}")))
}

/// Fetches how many requests the servers shed so far, and how many arrived while they were
/// leaving.
async fn server_counts(arguments: &LoadArguments) -> Result<(u64, u64)> {
    let views: Vec<ServerView> = fetch_control(arguments, "servers").await?;
    let shed = views.iter().map(|view| view.shed).sum();
    let late = views.iter().map(|view| view.while_leaving).sum();
    Ok((shed, late))
}

/// Queries the free slots of each service from an entry, after `wait`.
async fn free_slots(lookups: Vec<SocketAddr>, wait: Duration) -> String {
    tokio::time::sleep(wait).await;
    for address in lookups {
        let url = format!("http://{address}/v1/status");
        let Ok((_, body)) = send_request("GET", &url, "").await else {
            continue;
        };
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let services = status["services"].as_array().into_iter().flatten();
        let lines: Vec<String> = services
            .map(|service| {
                let name = service["service"].as_str().unwrap_or("?");
                let free = service["free"].as_f64().unwrap_or(0.0);
                format!("{name} {free:.0} of {}", service["slots"])
            })
            .collect();
        return lines.join(", ");
    }
    "no entry answered".to_owned()
}

fn write_ledger(path: &std::path::Path, entries: &[LedgerEntry]) -> Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for entry in entries {
        let line = serde_json::to_string(entry).unwrap_or_default();
        writeln!(file, "{line}")?;
    }
    Ok(())
}

/// Prints the most frequent reasons of failed requests.
fn print_reasons(entries: &[LedgerEntry]) {
    let mut reason_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.detail.is_empty()) {
        *reason_counts.entry(entry.detail.as_str()).or_default() += 1;
    }
    let mut reason_counts: Vec<_> = reason_counts.into_iter().collect();
    reason_counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    for (reason, count) in reason_counts.into_iter().take(5) {
        println!("    {count:>5} x {reason}");
    }
}

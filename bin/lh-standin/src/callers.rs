//! Callers that make a load on a deployment and judge what came of it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use conf::{ConfigBundle, Deployment};
use place::blocks::parse_block;
use place::desired::RequestKind;
use standin::{
    CallerSim, CallerSpec, LedgerEntry, LoadMix, LoadSpec, RunLedger, ServerView, judge, run_load,
};

use crate::cli::LoadArguments;
use crate::client::exchange;
use crate::error::{Error, Result};
use crate::report;

/// Callers in each region.
const CALLERS_PER_REGION: u8 = 8;
/// Time for late runs to be counted before the ledger is judged.
const SETTLE: Duration = Duration::from_millis(300);
/// Bytes of a request that writes.
const WRITE_BODY: usize = 600;
/// Bytes of an upload.
const UPLOAD_BODY: usize = 256 << 10;

/// Makes the load, judges it, prints a row; fails where a promise was broken.
pub(crate) async fn run(arguments: &LoadArguments) -> Result<()> {
    let deployment = ConfigBundle::from_folder(&arguments.deploy)?.deployment()?;
    let callers = callers(&deployment, arguments);
    let spec = LoadSpec {
        mix: mix(&deployment, arguments.load),
        time: Duration::from_secs_f64(arguments.seconds),
        prefix: arguments.phase.replace(' ', "_"),
        seed: arguments.seed,
    };
    let before = counts(arguments).await?;
    let sampled = tokio::spawn(headroom(arguments.lookups.clone(), spec.time / 2));
    let entries = run_load(&spec, &callers).await;
    tokio::time::sleep(SETTLE).await;
    let runs: RunLedger = fetch(arguments, "runs").await?;
    let report = judge(&entries, &runs);
    let after = counts(arguments).await?;
    let (shed, late) = (after.0 - before.0, after.1 - before.1);
    if arguments.header {
        println!("{}", report::header());
    }
    println!("{}", report::row(&arguments.phase, &report, shed, late));
    if let Ok(line) = sampled.await {
        println!("    free slots half-way: {line}");
    }
    if let Some(path) = &arguments.ledger {
        write_ledger(path, &entries)?;
    }
    print_reasons(&entries);
    if report.is_broken() || late > 0 {
        return Err(Error::Broken(arguments.phase.clone()));
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

/// Every service at the same share of its capacity.
fn mix(deployment: &Deployment, load: f64) -> Vec<LoadMix> {
    let mut mix = Vec::new();
    for service in deployment.services.values() {
        let slots: u32 = deployment
            .regions
            .keys()
            .map(|region| deployment.capacity(region.as_str(), service.id.as_str()))
            .sum();
        let at_most_once = !service.kind.may_repeat();
        let body = match service.kind {
            RequestKind::Upload => UPLOAD_BODY,
            RequestKind::AtMostOnce => WRITE_BODY,
            RequestKind::Idempotent | RequestKind::Download => 0,
        };
        mix.push(LoadMix {
            service: service.id.to_string(),
            at_most_once,
            deadline: service.deadline,
            body,
            rate: load * f64::from(slots) / service.servers.service_time.as_secs_f64(),
        });
    }
    mix
}

async fn fetch<T: serde::de::DeserializeOwned>(arguments: &LoadArguments, path: &str) -> Result<T> {
    let url = format!("http://{}/{path}", arguments.control);
    let (_, body) = exchange("GET", &url, "").await?;
    serde_json::from_slice(&body).map_err(|cause| Error::Exchange(format!("{url}: {cause}")))
}

/// Requests that servers shed so far, and those that came while they were leaving.
async fn counts(arguments: &LoadArguments) -> Result<(u64, u64)> {
    let views: Vec<ServerView> = fetch(arguments, "servers").await?;
    let shed = views.iter().map(|view| view.shed).sum();
    let late = views.iter().map(|view| view.while_leaving).sum();
    Ok((shed, late))
}

/// Free slots of each service as an entry sees them, after `wait`.
async fn headroom(lookups: Vec<SocketAddr>, wait: Duration) -> String {
    tokio::time::sleep(wait).await;
    for address in lookups {
        let url = format!("http://{address}/v1/status");
        let Ok((_, body)) = exchange("GET", &url, "").await else {
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

/// Prints why requests were not done, most frequent first.
fn print_reasons(entries: &[LedgerEntry]) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.detail.is_empty()) {
        *counts.entry(entry.detail.as_str()).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    for (reason, count) in counts.into_iter().take(5) {
        println!("    {count:>5} x {reason}");
    }
}

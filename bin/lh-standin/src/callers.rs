//! Callers that make a load on a deployment and judge what came of it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use conf::{ConfigBundle, Deployment, Repeat};
use standin::{
    CallerSim, CallerSpec, LedgerEntry, LoadMix, LoadSpec, RunLedger, ServerView, judge, run_load,
};
use steer::parse_block;

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
/// Bytes of a request to a service that takes large bodies.
const UPLOAD_BODY: usize = 256 << 10;
/// Size from which a service counts as one for uploads.
const UPLOAD_SERVICE: u64 = 64 << 20;

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
    let before = overbooked(arguments).await?;
    let sampled = tokio::spawn(headroom(arguments.lookups.clone(), spec.time / 2));
    let entries = run_load(&spec, &callers).await;
    tokio::time::sleep(SETTLE).await;
    let runs: RunLedger = fetch(arguments, "runs").await?;
    let report = judge(&entries, &runs);
    let overbooked = overbooked(arguments).await? - before;
    if arguments.header {
        println!("{}", report::header());
    }
    println!("{}", report::row(&arguments.phase, &report, overbooked));
    if let Ok(line) = sampled.await {
        println!("    free slots half-way: {line}");
    }
    if let Some(path) = &arguments.ledger {
        write_ledger(path, &entries)?;
    }
    print_reasons(&entries);
    if report.is_broken() || overbooked > 0 {
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
            callers.push(Arc::new(CallerSim::new(CallerSpec {
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
        let at_most_once = service.repeat == Repeat::AtMostOnce;
        let body = match service.max_body {
            UPLOAD_SERVICE.. => UPLOAD_BODY,
            _ if at_most_once => WRITE_BODY,
            _ => 0,
        };
        mix.push(LoadMix {
            service: service.id.to_string(),
            at_most_once,
            deadline: service.deadline,
            body,
            rate: load * f64::from(slots) / service.service_time.as_secs_f64(),
        });
    }
    mix
}

async fn fetch<T: serde::de::DeserializeOwned>(arguments: &LoadArguments, path: &str) -> Result<T> {
    let url = format!("http://{}/{path}", arguments.control);
    let (_, body) = exchange("GET", &url, "").await?;
    serde_json::from_slice(&body).map_err(|cause| Error::Exchange(format!("{url}: {cause}")))
}

async fn overbooked(arguments: &LoadArguments) -> Result<u64> {
    let views: Vec<ServerView> = fetch(arguments, "servers").await?;
    Ok(views
        .iter()
        .map(|view| view.overbooked + view.while_leaving)
        .sum())
}

/// Free slots as a share of those owned, by region, after `wait`.
async fn headroom(lookups: Vec<SocketAddr>, wait: Duration) -> String {
    tokio::time::sleep(wait).await;
    let mut regions: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for address in lookups {
        let Ok((_, body)) = exchange("GET", &format!("http://{address}/v1/status"), "").await
        else {
            continue;
        };
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let region = status["region"].as_str().unwrap_or("?").to_owned();
        let (owned, spare) = regions.entry(region).or_default();
        for service in status["services"].as_array().into_iter().flatten() {
            *owned += service["owned"].as_u64().unwrap_or(0);
            *spare += service["spare"].as_u64().unwrap_or(0);
        }
    }
    let share = |(region, (owned, spare)): (String, (u64, u64))| {
        let percent = spare * 100 / owned.max(1);
        format!("{region} {spare} of {owned} ({percent}%)")
    };
    let lines: Vec<String> = regions.into_iter().map(share).collect();
    lines.join(", ")
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

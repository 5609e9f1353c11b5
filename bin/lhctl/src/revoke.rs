//! Which entries have heard that a key was taken away, and until when the others may serve it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cli::WaitArguments;
use crate::error::{Error, Result};
use crate::status::fetch;

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// An entry that hasn't heard.
#[derive(Debug, Clone)]
struct StaleEntry {
    name: String,
    /// Why it is thought so.
    reason: String,
}

/// Waits until all entries have the version in force, and tells of those that don't.
pub(crate) async fn report_progress(wait: &WaitArguments, version: u64, json: bool) -> Result<()> {
    let instances = &wait.instances.instances;
    if instances.is_empty() {
        if !json {
            println!("name entries with --instances to be told which have heard");
        }
        return Ok(());
    }
    let started = Instant::now();
    let mut updated: Vec<String> = Vec::new();
    let mut pending: Vec<SocketAddr> = instances.clone();
    let mut stale = Vec::new();
    while !pending.is_empty() && (stale.is_empty() || started.elapsed().as_secs() < wait.seconds) {
        let (mut still_pending, mut still_stale) = (Vec::new(), Vec::new());
        for address in pending {
            match check_entry(address, version).await {
                Ok(name) => updated.push(name),
                Err(entry) => {
                    still_pending.push(address);
                    still_stale.push(entry);
                }
            }
        }
        (pending, stale) = (still_pending, still_stale);
        if !pending.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    print_report(version, &updated, &stale, json);
    if stale.is_empty() {
        return Ok(());
    }
    let names: Vec<&str> = stale.iter().map(|entry| entry.name.as_str()).collect();
    Err(Error::PartiallyInForce(version, names.join(", ")))
}

async fn check_entry(address: SocketAddr, version: u64) -> std::result::Result<String, StaleEntry> {
    let Some(status) = fetch(address, "/v1/status").await else {
        return Err(StaleEntry {
            name: address.to_string(),
            reason:
                "it doesn't answer here; if it runs it serves the key until its own knowledge is \
                  older than the bound `revoke`, where that binds entries that hear nothing"
                    .to_owned(),
        });
    };
    let name = status["instance"].as_str().unwrap_or("?").to_owned();
    if status["version"]
        .as_u64()
        .is_some_and(|in_force| in_force >= version)
    {
        return Ok(name);
    }
    Err(StaleEntry {
        name,
        reason: describe_exposure(&status),
    })
}

/// Until when an entry that hasn't heard may serve the key.
fn describe_exposure(status: &Value) -> String {
    if status["serves_keys"] == false {
        return "it has heard nothing for too long and serves no key".to_owned();
    }
    let age = status["keys_age_ms"].as_u64();
    match (status["revoke_ms"].as_u64(), age) {
        (Some(max_age), Some(age)) => format!(
            "it heard {age} ms ago and serves no key in {} ms unless it hears before",
            max_age.saturating_sub(age)
        ),
        _ => "it goes on with what it knows; nothing bounds that".to_owned(),
    }
}

fn print_report(version: u64, updated: &[String], stale: &[StaleEntry], json: bool) {
    if json {
        let stale: Vec<Value> = stale
            .iter()
            .map(|entry| json!({"instance": entry.name, "why": entry.reason}))
            .collect();
        println!(
            "{}",
            json!({"version": version, "heard": updated, "dark": stale})
        );
        return;
    }
    println!("heard by {}: {}", updated.len(), updated.join(" "));
    for entry in stale {
        println!("not yet by {}: {}", entry.name, entry.reason);
    }
}

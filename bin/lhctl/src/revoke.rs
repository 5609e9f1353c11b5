//! Reports which entries have a key's revocation in force, and until when the others may still
//! accept the key.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cli::WaitArguments;
use crate::error::{Error, Result};
use crate::status::fetch;

/// Time between two status requests to an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// An entry on which the revocation isn't in force yet.
#[derive(Debug, Clone)]
struct StaleEntry {
    name: String,
    /// What is known about it, and until when it may accept the key.
    reason: String,
}

/// Polls the entries until `version` is in force on all of them or the wait ends, and reports
/// both groups. Fails if it isn't in force on all of them.
pub(crate) async fn report_progress(wait: &WaitArguments, version: u64, json: bool) -> Result<()> {
    let instances = &wait.instances.instances;
    if instances.is_empty() {
        if !json {
            println!("use --instances to see on which entries the revocation is in force");
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
                "no answer; if it is running, it accepts the key until its information on keys is \
                 older than the bound `revoke`, or without limit if `revoke_cut_off` is false"
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

/// Describes until when an entry without the revocation may accept the key.
fn describe_exposure(status: &Value) -> String {
    if status["serves_keys"] == false {
        return "its information on keys is too old, so it accepts no key".to_owned();
    }
    let age = status["keys_age_ms"].as_u64();
    match (status["revoke_ms"].as_u64(), age) {
        (Some(max_age), Some(age)) => format!(
            "its information on keys is {age} ms old; it stops accepting keys in {} ms unless \
             updated",
            max_age.saturating_sub(age)
        ),
        _ => "it keeps accepting the key until updated; no limit applies".to_owned(),
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
            json!({"version": version, "updated": updated, "stale": stale})
        );
        return;
    }
    println!("in force on {}: {}", updated.len(), updated.join(" "));
    for entry in stale {
        println!("not yet on {}: {}", entry.name, entry.reason);
    }
}

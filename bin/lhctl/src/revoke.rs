//! Which entries have heard that a key was taken away, and until when the others may serve it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cli::WaitArguments;
use crate::error::{Error, Result};
use crate::status::fetch;

/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// An entry that hasn't heard.
#[derive(Debug, Clone)]
struct DarkEntry {
    name: String,
    /// Why it is thought so.
    why: String,
}

/// Waits until all entries have the version in force, and tells of those that don't.
pub(crate) async fn follow(wait: &WaitArguments, version: u64, json: bool) -> Result<()> {
    let instances = &wait.instances.instances;
    if instances.is_empty() {
        if !json {
            println!("name entries with --instances to be told which have heard");
        }
        return Ok(());
    }
    let begun = Instant::now();
    let mut heard: Vec<String> = Vec::new();
    let mut left: Vec<SocketAddr> = instances.clone();
    let mut dark = Vec::new();
    while !left.is_empty() && (dark.is_empty() || begun.elapsed().as_secs() < wait.seconds) {
        let (mut still, mut present) = (Vec::new(), Vec::new());
        for address in left {
            match look(address, version).await {
                Ok(name) => heard.push(name),
                Err(entry) => {
                    still.push(address);
                    present.push(entry);
                }
            }
        }
        (left, dark) = (still, present);
        if !left.is_empty() {
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }
    show(version, &heard, &dark, json);
    if dark.is_empty() {
        return Ok(());
    }
    let names: Vec<&str> = dark.iter().map(|entry| entry.name.as_str()).collect();
    Err(Error::NotEverywhere(version, names.join(", ")))
}

async fn look(address: SocketAddr, version: u64) -> std::result::Result<String, DarkEntry> {
    let Some(status) = fetch(address, "/v1/status").await else {
        return Err(DarkEntry {
            name: address.to_string(),
            why: "it doesn't answer here; if it runs it serves the key until its own knowledge is \
                  older than the bound `revoke`, where that binds entries that hear nothing"
                .to_owned(),
        });
    };
    let name = status["instance"].as_str().unwrap_or("?").to_owned();
    if status["version"]
        .as_u64()
        .is_some_and(|known| known >= version)
    {
        return Ok(name);
    }
    Err(DarkEntry {
        name,
        why: until(&status),
    })
}

/// Until when an entry that hasn't heard may serve the key.
fn until(status: &Value) -> String {
    if status["serves_keys"] == false {
        return "it has heard nothing for too long and serves no key".to_owned();
    }
    let age = status["keys_age_ms"].as_u64();
    match (status["revoke_ms"].as_u64(), age) {
        (Some(bound), Some(age)) => format!(
            "it heard {age} ms ago and serves no key in {} ms unless it hears before",
            bound.saturating_sub(age)
        ),
        _ => "it goes on with what it knows; nothing bounds that".to_owned(),
    }
}

fn show(version: u64, heard: &[String], dark: &[DarkEntry], json: bool) {
    if json {
        let dark: Vec<Value> = dark
            .iter()
            .map(|entry| json!({"instance": entry.name, "why": entry.why}))
            .collect();
        println!(
            "{}",
            json!({"version": version, "heard": heard, "dark": dark})
        );
        return;
    }
    println!("heard by {}: {}", heard.len(), heard.join(" "));
    for entry in dark {
        println!("not yet by {}: {}", entry.name, entry.why);
    }
}

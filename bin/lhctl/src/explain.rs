//! The command `explain`: shows where a service's traffic is sent, and the load and health
//! of its backend servers.

use std::net::SocketAddr;

use serde_json::Value;

use crate::error::{Error, Result};
use crate::status::fetch;

/// Prints the entries that the look-up at `lookup` returns, and the backend servers of
/// `service` as seen by the entry that answers there.
pub(crate) async fn show(service: &str, lookup: SocketAddr, json: bool) -> Result<()> {
    let answer = fetch(lookup, &format!("/v1/entries?service={service}")).await;
    let Some(answer) = answer.filter(|answer| answer["entries"].is_array()) else {
        return Err(Error::Refused(format!(
            "no answer from {lookup} for service '{service}'"
        )));
    };
    let status = fetch(lookup, &format!("/v1/status?service={service}"))
        .await
        .unwrap_or_default();
    if json {
        println!(
            "{}",
            serde_json::json!({"entries": answer["entries"], "servers": status["servers"]})
        );
        return Ok(());
    }
    println!(
        "entries returned by {lookup} (version {}), in order of preference:",
        answer["version"]
    );
    for entry in items(&answer["entries"]) {
        println!(
            "  {} in {} at {}",
            text(entry, "instance"),
            text(entry, "region"),
            text(entry, "address")
        );
    }
    println!("backend servers known to {}:", text(&status, "instance"));
    for server in items(&status["servers"]) {
        println!("  {}", format_server(server));
    }
    Ok(())
}

fn format_server(server: &Value) -> String {
    let number = |key: &str| server[key].as_f64().unwrap_or(0.0);
    format!(
        "{} in {}: {}, {:.1} requests on {} slots ({} from this entry), {:.0}% failures, \
         {:.1} times the usual time",
        text(server, "server"),
        text(server, "domain"),
        text(server, "state"),
        number("occupancy"),
        server["slots"],
        server["in_flight"],
        number("failure_rate") * 100.0,
        number("speed"),
    )
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("?")
}

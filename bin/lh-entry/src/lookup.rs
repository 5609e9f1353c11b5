//! Look-ups, metrics, health and status, by poem.

use std::sync::Arc;

use base::prelude::*;
use kernel::ServiceRegistry;
use poem::http::StatusCode;
use poem::web::{Data, Json, Query, RemoteAddr};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler};
use relay::{GateHandle, RelayMetrics, SnapshotCell, Ticket};
use serde::{Deserialize, Serialize};

use daemon::{Result, metrics_text};

/// What the look-up side shares.
pub(crate) struct LookupDesk {
    snapshots: Arc<SnapshotCell>,
    gate: Arc<GateHandle>,
    metrics: Arc<RelayMetrics>,
    region: Arc<RegionId>,
}

#[derive(Deserialize)]
struct EntriesQuery {
    service: String,
}

#[derive(Serialize)]
struct EntryAnswer<'a> {
    instance: &'a str,
    region: &'a str,
    address: String,
    weight: u32,
    ticket: String,
}

#[derive(Serialize)]
struct EntriesAnswer<'a> {
    version: u64,
    ttl_ms: u64,
    entries: Vec<EntryAnswer<'a>>,
}

/// Builds the routes from the services that were registered.
pub(crate) fn routes(
    registry: &ServiceRegistry,
) -> Result<impl poem::Endpoint<Output = Response> + use<>> {
    let desk = Arc::new(LookupDesk {
        snapshots: registry.find("snapshots")?,
        gate: registry.find("gate")?,
        metrics: registry.find("metrics")?,
        region: registry.find("region")?,
    });
    Ok(Route::new()
        .at("/v1/entries", get(entries))
        .at("/v1/status", get(show_status))
        .at("/metrics", get(metrics))
        .at("/healthz", get(health))
        .at("/readyz", get(ready))
        .data(desk)
        .map_to_response())
}

#[handler]
fn entries(
    Query(query): Query<EntriesQuery>,
    remote: &RemoteAddr,
    Data(desk): Data<&Arc<LookupDesk>>,
) -> Response {
    let Some(snapshot) = desk.snapshots.get() else {
        return problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "starting",
            "no configuration yet",
        );
    };
    let home = remote
        .as_socket_addr()
        .and_then(|address| snapshot.home(address.ip()));
    let nonce: u64 = rand::random();
    let Some(found) = snapshot.book().entries(&query.service, home, nonce) else {
        let detail = format!("no service '{}' is configured", query.service);
        return problem(StatusCode::NOT_FOUND, "unknown-service", &detail);
    };
    desk.metrics.looked_up(&query.service);
    let entries = found.iter().map(|entry| EntryAnswer {
        instance: entry.instance.as_str(),
        region: entry.region.as_str(),
        address: entry.relay.to_string(),
        weight: 1,
        ticket: Ticket::issue(&entry.stamp, nonce),
    });
    let ttl = snapshot.plan().deployment.lookup_ttl;
    Json(EntriesAnswer {
        version: snapshot.plan().version,
        ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        entries: entries.collect(),
    })
    .into_response()
}

#[handler]
fn show_status(Data(desk): Data<&Arc<LookupDesk>>) -> Response {
    let now = Instant::now();
    let stats = desk.gate.with_gate(|gate| gate.stats(now));
    let version = desk
        .snapshots
        .get()
        .map_or(0, |snapshot| snapshot.plan().version);
    let services: Vec<_> = stats
        .services
        .iter()
        .map(|load| {
            serde_json::json!({
                "service": load.service,
                "owned": load.owned,
                "spare": load.spare,
                "in_flight": load.in_flight,
                "waiting": load.waiting,
            })
        })
        .collect();
    Json(serde_json::json!({
        "version": version,
        "region": *desk.region,
        "admitting": stats.permitted,
        "seats": stats.seats,
        "services": services,
    }))
    .into_response()
}

#[handler]
fn metrics(Data(desk): Data<&Arc<LookupDesk>>) -> Response {
    let stats = desk.gate.with_gate(|gate| gate.stats(Instant::now()));
    desk.metrics.show_gate(&stats);
    metrics_text(desk.metrics.registry()).into_response()
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}

#[handler]
fn ready(Data(desk): Data<&Arc<LookupDesk>>) -> Response {
    let permitted = desk
        .gate
        .with_gate(|gate| gate.stats(Instant::now()).permitted);
    if permitted {
        return "ready\n".into_response();
    }
    problem(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-ready",
        "no seat or no configuration yet",
    )
}

fn problem(status: StatusCode, kind: &str, detail: &str) -> Response {
    let body = serde_json::json!({
        "type": format!("urn:laurelhill:{kind}"),
        "title": status.canonical_reason().unwrap_or("Problem"),
        "status": status.as_u16(),
        "detail": detail,
        "outcome": Outcome::NotRun.as_str(),
    });
    Response::builder()
        .status(status)
        .content_type("application/problem+json")
        .header("retry-after", "1")
        .body(body.to_string())
}

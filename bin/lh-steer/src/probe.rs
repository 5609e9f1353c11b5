//! Probes the backend servers of the region.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use steer::ProbeReport;

use crate::core::SteerCore;

/// Path that backend servers answer probes on.
const PROBE_PATH: &str = "/probe";
/// Largest answer to a probe in bytes.
const MAX_REPORT: usize = 4096;

type ProbeClient = Client<HttpConnector, Empty<Bytes>>;

/// Probes every server once per `period`, for as long as the process runs.
pub(crate) async fn run(core: SteerCore, period: Duration) {
    let client: ProbeClient = Client::builder(TokioExecutor::new()).build_http();
    let mut rounds = tokio::time::interval(period);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let servers: Vec<BackendServerId> = core.lock().health.servers().cloned().collect();
        for server in servers {
            tokio::spawn(probe(core.clone(), client.clone(), server, period));
        }
    }
}

async fn probe(core: SteerCore, client: ProbeClient, server: BackendServerId, time: Duration) {
    let sent = Instant::now();
    let report = tokio::time::timeout(time, ask(&client, &server)).await;
    let now = Instant::now();
    let mut state = core.lock();
    match report {
        Ok(Some(report)) => state.health.on_probe(now, sent, &server, &report),
        _ => state.health.on_probe_failed(now, &server),
    }
}

async fn ask(client: &ProbeClient, server: &BackendServerId) -> Option<ProbeReport> {
    let address: SocketAddr = server.as_str().parse().ok()?;
    let request = Request::builder()
        .uri(format!("http://{address}{PROBE_PATH}"))
        .body(Empty::new())
        .ok()?;
    let response = client.request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_REPORT);
    let body = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

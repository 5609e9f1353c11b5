//! Test fixture: callers on the product's own interface, and servers with real processing times.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use conf::ConfigBundle;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use platform::desired::encode_state;
use platform_standin::{FakeStore, backend_entry, backend_id, serve_backend};
use standin::{BackendSim, BackendSpec, REQUEST_ID_HEADER, ServerMode};
use team::key::KeyDigest;
use tokio::net::TcpListener;

use crate::world::{EntryProcess, connect, until};

pub const SERVICE_TIME: Duration = Duration::from_millis(20);

const BASE: &str = "[deployment]\nname = test\n[region north]\ndomains = zone-a\n\
    [region south]\ndomains = zone-b\n\
    [service board]\nrepeat = idempotent\ndeadline = 30s\n\
    [service desk]\nrepeat = at-most-once\ndeadline = 30s\n\
    [service locker]\nrepeat = idempotent\ndeadline = 300s\n";

/// The fake store and simulated backend servers.
pub struct OwnWorld {
    pub store: FakeStore,
    pub backends: Vec<BackendSim>,
}

impl OwnWorld {
    /// Creates `count` servers for each of the services `board` (idempotent), `desk` (at most
    /// once) and `locker` (large bodies), with `slots` slots and the given mean service time.
    pub async fn new(count: usize, slots: u16, service_time: Duration) -> Self {
        let store = FakeStore::start().await;
        let mut backends = Vec::new();
        for service in ["board", "desk", "locker"] {
            for _ in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let backend = BackendSim::new(BackendSpec {
                    address: listener.local_addr().unwrap().to_string(),
                    slots,
                    service_time,
                    cold_time: Duration::ZERO,
                    seed: backends.len() as u64,
                });
                let entry = backend_entry(&backend, service, "zone-a", 1);
                store.put("servers", &backend_id(&backend), &entry);
                tokio::spawn(serve_backend(listener, backend.clone()));
                backends.push(backend);
            }
        }
        let world = Self { store, backends };
        world.apply(1, "2GB");
        world
    }

    /// Applies the deployment with another limit on the size of bodies.
    pub fn apply(&self, version: u64, max_body: &str) {
        let text = BASE.replace(
            "name = test",
            &format!("name = test\nmax_body = {max_body}"),
        );
        self.apply_text(version, &text);
    }

    /// Applies the deployment with the teams `red` and `blue`, each with one key.
    pub fn apply_teams(&self, version: u64, [red, blue]: [&str; 2]) {
        let team = |name: &str, key: &str| {
            let digest = KeyDigest::of(key.as_bytes()).to_text();
            format!("[team {name}]\nkeys = {digest}\n")
        };
        let text = format!("{BASE}{}{}", team("red", red), team("blue", blue));
        self.apply_text(version, &text);
    }

    fn apply_text(&self, version: u64, text: &str) {
        let bundle = ConfigBundle::new().with_file("base.ini", text);
        let state = bundle.deployment().unwrap().desired_state(version);
        let text = encode_state(&state, version - 1).unwrap();
        self.store.put_bytes("op", "config", text.as_bytes());
    }

    pub fn runs(&self, id: &str) -> u32 {
        let runs = self
            .backends
            .iter()
            .map(|backend| backend.runs().get(id).copied().unwrap_or(0));
        runs.sum()
    }

    pub fn set_mode(&self, mode: ServerMode) {
        for backend in &self.backends {
            backend.set_mode(mode);
        }
    }

    /// Starts the entry `name` with `others` as its seeds.
    pub async fn entry(&self, name: &str, others: &[&EntryProcess]) -> EntryProcess {
        let seeds: Vec<_> = others.iter().map(|other| other.ip).collect();
        let entry = EntryProcess::start(self.store.address(), name, &seeds);
        entry.wait_ready().await;
        entry
    }
}

/// Returns the entries named by a look-up on the product's own interface.
pub async fn entries(entry: &EntryProcess, service: &str) -> Vec<serde_json::Value> {
    let path = format!("/v1/entries?service={service}");
    let found = entry.document(&path).await;
    found["entries"].as_array().cloned().unwrap_or_default()
}

/// Returns the ticket for `entry` from a look-up at it. Retries, because an entry that has just
/// become a lead may publish the list of the region before it has received this entry's
/// heartbeat.
pub async fn ticket(entry: &EntryProcess, service: &str) -> String {
    let address = entry.callers().to_string();
    let mut ticket = None;
    until("the look-up at the entry names it", async || {
        let entries = entries(entry, service).await;
        let own = entries.iter().find(|found| found["address"] == address);
        ticket = own.and_then(|own| own["ticket"].as_str().map(str::to_owned));
        ticket.is_some()
    })
    .await;
    ticket.expect("it was found")
}

/// Waits until a look-up at `entry` names `count` entries.
pub async fn wait_for_entries(entry: &EntryProcess, count: usize) {
    until("the look-up names that many", async || {
        entries(entry, "board").await.len() == count
    })
    .await;
}

/// A response as received by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedResponse {
    pub status: u16,
    pub outcome: String,
    pub kind: String,
    pub retry_after: Option<String>,
    pub body: Bytes,
}

/// Sends a request with the given headers; `None` if the connection failed.
pub async fn send(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<ReceivedResponse> {
    let mut request = Request::post(path).header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap();
    let response = connect(address).await?.send_request(request).await.ok()?;
    read_response(response).await
}

async fn read_response(response: Response<hyper::body::Incoming>) -> Option<ReceivedResponse> {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (status, outcome) = (response.status().as_u16(), header("laurelhill-outcome"));
    let retry_after = header("retry-after");
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let document: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let kind = document["type"]
        .as_str()
        .unwrap_or("")
        .trim_start_matches("urn:laurelhill:");
    Some(ReceivedResponse {
        status,
        outcome: outcome.unwrap_or_default(),
        kind: kind.to_owned(),
        retry_after,
        body,
    })
}

/// Sends a booking with a ticket.
pub async fn book(
    address: SocketAddr,
    id: &str,
    ticket: &str,
    number: u64,
    attempt: u32,
) -> Option<ReceivedResponse> {
    book_as(None, address, id, ticket, number, attempt).await
}

/// Sends a booking with a ticket and optionally a team's key.
pub async fn book_as(
    key: Option<&str>,
    address: SocketAddr,
    id: &str,
    ticket: &str,
    number: u64,
    attempt: u32,
) -> Option<ReceivedResponse> {
    let (number, attempt) = (number.to_string(), attempt.to_string());
    let credential = key.map(|key| format!("Token {key}"));
    let mut headers = vec![
        (REQUEST_ID_HEADER, id),
        ("laurelhill-ticket", ticket),
        ("laurelhill-number", &number),
        ("laurelhill-attempt", &attempt),
    ];
    if let Some(credential) = &credential {
        headers.push(("authorization", credential));
    }
    send(address, "/desk/bookings", &headers, b"one booking").await
}

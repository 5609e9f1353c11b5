//! The platform's store, with the servers' registrations and the operator's desired state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::runtime::Runtime;

use crate::server::Server;
use crate::store::Store;

/// A route of the desired state.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout: &'a str,
}

pub struct World {
    _runtime: Runtime,
    pub store: Store,
    listed: Arc<Mutex<Vec<(Server, String)>>>,
}

/// A loopback address that other runs are unlikely to use.
pub fn own_ip(number: u8) -> String {
    let seed = std::process::id();
    format!("127.{}.{}.{number}", 64 + seed % 128, seed / 128 % 250 + 1)
}

impl World {
    pub fn new() -> Result<Self, String> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(|error| error.to_string())?;
        let store = runtime.block_on(Store::start()).map_err(|error| error.to_string())?;
        let world = Self { _runtime: runtime, store, listed: Arc::default() };
        let (store, listed) = (world.store.clone(), Arc::clone(&world.listed));
        // A server writes its entry at each heartbeat.
        std::thread::spawn(move || {
            for seq in 2.. {
                std::thread::sleep(Duration::from_millis(1500));
                for (server, service) in listed.lock().unwrap().iter() {
                    store.put("servers", &server.id, &server_row(server, service, seq));
                }
            }
        });
        Ok(world)
    }

    pub fn address(&self) -> SocketAddr {
        self.store.address
    }

    pub fn list(&self, server: &Server, service: &str) {
        self.store.put("servers", &server.id, &server_row(server, service, 1));
        self.listed.lock().unwrap().push((server.clone(), service.to_owned()));
    }

    pub fn desire(&self, version: u64, routes: &[Route<'_>]) {
        let mut resources = Vec::new();
        for route in routes {
            resources.push(json!({
                "resourceKind": "routes", "metadata": {"name": route.name},
                "spec": {
                    "host": HOST, "prefix": route.prefix, "kind": route.kind,
                    "timeout": route.timeout, "targetLatency": "500ms", "priority": 1,
                    "service": route.service, "maxAttempts": 2, "sticky": false,
                    "allowedRegions": [],
                },
            }));
            resources.push(json!({
                "resourceKind": "services", "metadata": {"name": route.service},
                "spec": {
                    "healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": false,
                    "warmup": "3s", "coldPerS": 7.6,
                },
            }));
        }
        resources.push(json!({
            "resourceKind": "limits", "metadata": {},
            "spec": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
        }));
        let state = json!({"version": version, "baseVersion": 0, "resources": resources});
        self.store.put("op", "config", &state);
    }
}

/// The host of all routes.
pub const HOST: &str = "archive.example";

fn server_row(server: &Server, service: &str, seq: u64) -> Value {
    json!({
        "service": service, "address": server.address.to_string(), "zone": "lhr-a",
        "version": "v1", "slots": 8, "state": "ready", "coldRemaining": "0ms", "seq": seq,
    })
}

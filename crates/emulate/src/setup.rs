//! The initial state of a trial's entries: servers, settings and routes.

use std::collections::HashMap;
use std::time::Duration;

use place::desired::{DesiredState, RequestKind, RequestLimits, RouteSpec, ServiceSpec, SplitPart};
use place::limits::budget::BudgetBounds;
use place::placing::choice::ByteCosts;
use place::prelude::*;
use place::rank::stable_hash;

use crate::experiment::Experiment;

/// Hash of the name of an entry.
pub(crate) fn entry_hash(entry: usize) -> u64 {
    stable_hash(format!("entry-{entry}").as_bytes())
}

fn domain_name(region: usize, index: usize) -> String {
    format!(
        "region-{region}-{}",
        if index.is_multiple_of(2) { "a" } else { "b" }
    )
}

/// The registry entries of the servers, in the order of the regions.
pub(crate) fn server_entries(experiment: &Experiment) -> Vec<ServerEntry> {
    let mut entries = Vec::new();
    for (region, count) in experiment.servers.iter().enumerate() {
        for index in 0..*count {
            entries.push(ServerEntry {
                id: format!("server-{region}-{index}"),
                started: None,
                service: "board".to_owned(),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: domain_name(region, index),
                version: "v1".to_owned(),
                slots: experiment.slots as u32,
                state: EntryState::Ready,
                cold_remaining: Duration::ZERO,
                seq: 1,
            });
        }
    }
    entries
}

/// The configuration of an entry's placer.
pub(crate) fn placer_config(experiment: &Experiment, entry: usize) -> PlacerConfig {
    let region = entry / experiment.entries;
    let mut domains = HashMap::new();
    for region in 0..experiment.regions {
        for index in 0..2 {
            domains.insert(domain_name(region, index), format!("region-{region}"));
        }
    }
    PlacerConfig {
        domain: domain_name(region, entry),
        region: format!("region-{region}"),
        domains,
        budget: BudgetBounds {
            ratio: 0.2,
            slack: 56.0,
            window: Duration::from_secs(10),
        },
        shift_cap: 0.15,
        costs: ByteCosts {
            domain: 3.0,
            region: 6.0,
        },
        drain: Duration::from_millis(2500),
        own: entry_hash(entry),
    }
}

/// A desired state with one route to one service.
pub(crate) fn desired_state(experiment: &Experiment) -> DesiredState {
    DesiredState {
        version: 1,
        routes: vec![RouteSpec {
            name: "browse".to_owned(),
            host: "board.example".to_owned(),
            prefix: "/".to_owned(),
            kind: RequestKind::Idempotent,
            timeout: Some(experiment.timeout),
            objective: experiment.objective,
            priority: 1,
            parts: vec![SplitPart {
                service: "board".to_owned(),
                weight: 1,
            }],
            max_attempts: 2,
            sticky: true,
            home_regions: Vec::new(),
            is_public: false,
        }],
        services: vec![ServiceSpec {
            name: "board".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 330,
            warmup: Duration::from_secs(3),
            cold_rate: 7.6,
        }],
        teams: Vec::new(),
        limits: RequestLimits::default(),
    }
}

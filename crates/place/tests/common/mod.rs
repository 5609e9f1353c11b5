//! Helpers shared by the tests of this crate.
#![allow(dead_code, unreachable_pub)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use place::desired::{ServiceSpec, SplitPart};
use place::fleet::log::ReadScope;
use place::limits::budget::BudgetBounds;
use place::placing::choice::ByteCosts;
use place::prelude::*;

/// Shorthand for a duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A ready server of the service `board`.
pub fn server(id: &str, domain: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        started: None,
        service: "board".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: domain.to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        state: EntryState::Ready,
        cold_remaining: Duration::ZERO,
        seq: 1,
    }
}

/// Time at which the store had version 0.
static STORE_START: LazyLock<Instant> =
    LazyLock::new(|| Instant::now() - Duration::from_secs(3600));

/// A read of the registry that began at `started_at`; the store's version increases every
/// millisecond.
pub fn reading(started_at: Instant, entries: &[ServerEntry]) -> CatalogSnapshot {
    CatalogSnapshot {
        entries: entries.to_vec(),
        foreign: Vec::new(),
        started_at,
        position: position((started_at - *STORE_START).as_millis() as u64),
    }
}

/// The position of a store that never came back from an older copy.
pub fn position(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// The scope of a read of changes only.
pub fn changes() -> ReadScope {
    ReadScope::default()
}

/// A route to the service `board` for the path prefix `prefix`.
pub fn route(name: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        host: "board.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Some(ms(1200)),
        objective: ms(500),
        priority: 1,
        parts: vec![SplitPart {
            service: "board".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        sticky: true,
        home_regions: Vec::new(),
        is_public: false,
    }
}

/// A desired state with `routes` and the service `board`.
pub fn desired(version: u64, routes: Vec<RouteSpec>) -> DesiredState {
    DesiredState {
        version,
        routes,
        services: vec![ServiceSpec {
            name: "board".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 330,
            warmup: ms(3000),
            cold_rate: 7.6,
        }],
        teams: Vec::new(),
        limits: RequestLimits::default(),
    }
}

/// Failure domains: `a1` and `a2` in the region `a`, `b1` in `b`.
pub fn domains() -> HashMap<String, String> {
    [("a1", "a"), ("a2", "a"), ("b1", "b")]
        .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
        .into()
}

/// The configuration of an entry in `a1`.
pub fn placer_config() -> PlacerConfig {
    PlacerConfig {
        domain: "a1".to_owned(),
        region: "a".to_owned(),
        domains: domains(),
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
        own: 77,
    }
}

/// A placer that knows the servers `entries`.
pub fn placer(now: Instant, entries: &[ServerEntry]) -> RequestPlacer {
    let mut placer = RequestPlacer::new(placer_config());
    placer.set_desired(&desired(1, vec![route("browse", "/")]));
    placer.catalog.apply_snapshot(now, &reading(now, entries));
    placer
}

/// A request on `route` for `object`, with one second remaining.
pub fn request(route: &RouteSpec, object: Option<u64>) -> PlacementRequest<'_> {
    PlacementRequest::new(route, 0)
        .with_object(object)
        .with_remaining(ms(1000))
}

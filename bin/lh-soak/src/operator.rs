//! The operator: a sequence of desired states, and evacuations.
//!
//! Each step of the desired state brings a route and a key of its own, and drops those that the
//! step before the last one brought.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use platform_standin::{FakeStore, RouteFixture, TeamFixture, desired_state, with_teams};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::config::{HOME_REGION, REGIONS, SoakConfig};
use crate::history::RunEvent;
use crate::lookups;
use crate::probes::{QUOTA_KEY, key_of};
use crate::rollouts;
use crate::servers::SERVICE;
use crate::world::World;

/// Make the draws independent of those of faults and departures.
const DESIRED_SEED_MASK: u64 = 0x0de5_1000;
const EVACUATION_SEED_MASK: u64 = 0x0e7a_c000;
/// Range of the interval between two desired states, in milliseconds.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 2500..9000;
/// Range of the interval between two evacuations, in milliseconds.
const EVACUATION_INTERVAL_MS: std::ops::Range<u64> = 6000..14_000;
/// Range of the duration of an evacuation, in milliseconds.
const EVACUATION_MS: std::ops::Range<u64> = 6500..11_000;
/// Interval at which the operator tries again while the store is faulty.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Versions of the desired state increase in uneven steps.
const VERSION_STEPS: std::ops::Range<u64> = 1..5;
/// Requests per second that the team with a quota may send, and its burst.
pub(crate) const QUOTA_RATE: f64 = 4.0;
pub(crate) const QUOTA_BURST: f64 = 8.0;

const BOARD: RouteFixture<'static> = RouteFixture {
    name: SERVICE,
    prefix: "/board/",
    kind: "idempotent",
    service: SERVICE,
    timeout: "3s",
};

const DESK: RouteFixture<'static> = RouteFixture {
    name: "desk",
    prefix: "/desk/",
    kind: "non_idempotent",
    ..BOARD
};

const HOME: RouteFixture<'static> = RouteFixture {
    name: "home",
    prefix: "/home/",
    ..BOARD
};

const KEYED: RouteFixture<'static> = RouteFixture {
    name: "keyed",
    prefix: "/keyed/",
    ..BOARD
};

const LIFT: RouteFixture<'static> = RouteFixture {
    name: rollouts::SERVICE,
    prefix: "/lift/",
    service: rollouts::SERVICE,
    ..BOARD
};

/// Number of the newest desired state, from 1.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredStep(Arc<AtomicU64>);

impl DesiredStep {
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Writes the desired state number `step`, with the version `version`, to `store`.
pub(crate) fn write_step(store: &FakeStore, current: &DesiredStep, step: u64, version: u64) {
    store.put("op", "config", &document(step, version));
    current.0.store(step, Ordering::Relaxed);
}

fn document(step: u64, version: u64) -> Value {
    let steps = step.saturating_sub(1).max(1)..=step;
    let names: Vec<(String, String)> = steps
        .clone()
        .map(|step| (format!("step-{step}"), format!("/step-{step}/")))
        .collect();
    let mut routes = vec![BOARD, DESK, HOME, KEYED, LIFT];
    routes.extend(names.iter().map(|(name, prefix)| RouteFixture {
        name,
        prefix,
        ..BOARD
    }));
    let public = routes.iter().map(|route| route.name);
    let public: Vec<&str> = public.filter(|name| *name != KEYED.name).collect();
    let keys: Vec<String> = steps.map(key_of).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let keyed = TeamFixture {
        name: "keyed",
        keys: &keys,
        priority: 1,
        ..TeamFixture::default()
    };
    let limited = TeamFixture {
        name: "limited",
        keys: &[QUOTA_KEY],
        rate: QUOTA_RATE,
        burst: QUOTA_BURST,
        ..keyed
    };
    let quotas: Vec<(String, String, f64, f64)> =
        (0..lookups::TEAM_COUNT).map(lookups::team_quota).collect();
    let quota_keys: Vec<[&str; 1]> = quotas.iter().map(|(_, key, ..)| [key.as_str()]).collect();
    let mut teams = vec![keyed, limited];
    for ((name, _, rate, burst), keys) in quotas.iter().zip(&quota_keys) {
        teams.push(TeamFixture {
            name,
            keys,
            rate: *rate,
            burst: *burst,
            ..keyed
        });
    }
    let mut state = desired_state(version, &routes);
    for resource in state["resources"].as_array_mut().into_iter().flatten() {
        if resource["metadata"]["name"] == HOME.name {
            resource["spec"]["allowedRegions"] = json!([HOME_REGION]);
        }
    }
    with_teams(state, &teams, &public)
}

/// Changes the desired state again and again while the store is free of faults.
pub(crate) async fn change_desired(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ DESIRED_SEED_MASK);
    let mut version = FIRST_VERSION;
    for step in 2.. {
        sleep(Duration::from_millis(rng.random_range(STEP_INTERVAL_MS))).await;
        version += rng.random_range(VERSION_STEPS);
        wait_for_store(&world).await;
        write_step(&world.store, &world.step, step, version);
        world.recorder.record(RunEvent::Desired { step });
    }
}

/// Version of the first desired state.
pub(crate) const FIRST_VERSION: u64 = 5;

/// Evacuates one failure domain after the other.
pub(crate) async fn evacuate_domains(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ EVACUATION_SEED_MASK);
    loop {
        sleep(Duration::from_millis(
            rng.random_range(EVACUATION_INTERVAL_MS),
        ))
        .await;
        let region = REGIONS[rng.random_range(0..REGIONS.len())];
        let side = if rng.random() { "a" } else { "b" };
        let domain = format!("{region}-{side}");
        let duration = Duration::from_millis(rng.random_range(EVACUATION_MS));
        let key = format!("evacuate/{domain}");
        let record = |is_evacuated| {
            let domain = domain.clone();
            let event = RunEvent::Evacuation {
                domain,
                is_evacuated,
            };
            world.recorder.record(event);
        };
        wait_for_store(&world).await;
        world.store.put("op", &key, &json!({}));
        record(true);
        sleep(duration).await;
        wait_for_store(&world).await;
        record(false);
        world.store.delete_row("op", &key);
    }
}

/// The store acknowledges nothing while it is faulty, and nothing is ordered without power.
pub(crate) async fn wait_for_store(world: &World) {
    while world.is_store_faulty() || !world.has_power() {
        sleep(RETRY_INTERVAL).await;
    }
}

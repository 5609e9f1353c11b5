//! Rollouts of a service of its own: good and bad versions, and orders that are taken back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::callers::{self, CallerConnection, RequestDraft};
use crate::config::SoakConfig;
use crate::error::Result;
use crate::history::{RunEvent, RunRecorder, millis};
use crate::operator::wait_for_store;
use crate::world::World;

/// Name of the service, which is also that of its route.
pub(crate) const SERVICE: &str = "lift";
/// Key of its rollouts in the tables `op` and `status`.
const ROLLOUT_KEY: &str = "rollout/lift";
/// Makes the draws independent of those of faults and departures.
const SEED_MASK: u64 = 0x0011_f700;
/// Number of servers of each version.
const SERVERS_PER_VERSION: usize = 6;
/// Range of the interval between two rollouts, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 2000..6000;
/// Range of the duration of a rollout, in seconds.
const DURATION_SECS: std::ops::Range<u64> = 8..14;
/// Share of the versions that are bad.
const BAD_SHARE: f64 = 0.5;
/// Share of the orders that are taken back before their deadline.
const TAKEN_BACK_SHARE: f64 = 0.2;
/// Interval at which the operator reads the state of a rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after its deadline after which the operator takes an order back.
const OVERTIME: Duration = Duration::from_secs(6);
/// Time for which servers of a version that was rolled back still serve.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(130);

/// Rolls out one version after the other.
pub(crate) async fn roll_out(world: Arc<World>, config: SoakConfig) -> Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ SEED_MASK);
    let mut current = start_version(&world, 1, false).await?;
    for version in 2.. {
        sleep(Duration::from_millis(rng.random_range(INTERVAL_MS))).await;
        let is_bad = rng.random_bool(BAD_SHARE);
        let duration = Duration::from_secs(rng.random_range(DURATION_SECS));
        let share = rng.random_range(0.1..0.9);
        let is_taken_back = rng.random_bool(TAKEN_BACK_SHARE);
        let taken_back_at = is_taken_back.then(|| duration.mul_f64(share));
        wait_for_power(&world).await;
        let new = start_version(&world, version, is_bad).await?;
        wait_for_store(&world).await;
        let order = json!({
            "service": SERVICE, "to": version_name(version),
            "duration": format!("{}s", duration.as_secs()),
        });
        world.store.put("op", ROLLOUT_KEY, &order);
        world.recorder.record(RunEvent::Ordered {
            version,
            is_bad,
            duration_ms: millis(duration),
        });
        let limit = taken_back_at.unwrap_or(duration + OVERTIME);
        if wait_for_outcome(&world, version, limit).await {
            for server in &current {
                world.server_pool.stop_version_server(server);
            }
            current = new;
            continue;
        }
        wait_for_store(&world).await;
        world.store.delete_row("op", ROLLOUT_KEY);
        for server in &new {
            world.server_pool.drain_version_server(server);
        }
        sleep(DRAIN_TIME).await;
        for server in &new {
            world.server_pool.stop_version_server(server);
        }
    }
    Ok(())
}

/// Name of the version with this number.
pub(crate) fn version_name(version: u64) -> String {
    format!("v{version}")
}

/// Id of a server of `version`.
fn server_id(version: u64, index: usize) -> String {
    format!("{SERVICE}-{version}-{index}")
}

/// Version of the server `id`; `None` if it is of another service.
pub(crate) fn version_of(id: &str) -> Option<u64> {
    let (version, _) = id
        .strip_prefix(SERVICE)?
        .strip_prefix('-')?
        .split_once('-')?;
    version.parse().ok()
}

async fn wait_for_power(world: &World) {
    while !world.has_power() {
        sleep(POLL_INTERVAL).await;
    }
}

async fn start_version(world: &World, version: u64, is_bad: bool) -> Result<Vec<String>> {
    let mut servers = Vec::new();
    for index in 0..SERVERS_PER_VERSION {
        let id = server_id(version, index);
        let version = version_name(version);
        let pool = &world.server_pool;
        pool.start_version_server(&id, index, &version, is_bad)
            .await?;
        servers.push(id);
    }
    Ok(servers)
}

/// Waits until the status shows how the rollout of `version` ended, for `limit` at most. Returns
/// whether it is completed.
async fn wait_for_outcome(world: &World, version: u64, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    let mut last_state = String::new();
    while Instant::now() < end {
        sleep(POLL_INTERVAL).await;
        let row = world.store.row("status", ROLLOUT_KEY).unwrap_or_default();
        if row["to"] != json!(version_name(version)) {
            continue;
        }
        let state = row["state"].as_str().unwrap_or_default().to_owned();
        if state != last_state {
            last_state.clone_from(&state);
            let event = RunEvent::RolloutState { version, state };
            world.recorder.record(event);
        }
        if last_state != "running" {
            break;
        }
    }
    last_state == "completed"
}

/// Sends requests to the service through the entry number `entry` until the task is aborted.
pub(crate) async fn run_caller(entry: usize, address: SocketAddr, recorder: RunRecorder) {
    let mut connection = CallerConnection::new(address);
    for number in 0_u64.. {
        sleep(REQUEST_INTERVAL).await;
        let id = format!("{entry}-{SERVICE}-{number}");
        let draft = RequestDraft {
            method: Method::GET,
            path: "/lift/x",
            id: &id,
            object: number,
            key: None,
        };
        let request = id.clone();
        recorder.record(RunEvent::Sent { request });
        recorder.record(match connection.exchange(draft).await {
            Some((status, body)) => callers::answered(id, status, body),
            None => RunEvent::Unconnected { request: id },
        });
    }
}

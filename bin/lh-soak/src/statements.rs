//! What servers say of themselves in their responses.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::config::SoakConfig;
use crate::history::{RunEvent, RunRecorder};
use crate::world::World;

/// Make the draws independent of those of faults and departures.
const LIMIT_SEED_MASK: u64 = 0x57a7_e000;
const LEAVING_SEED_MASK: u64 = 0x57a7_e001;
const REST_SEED_MASK: u64 = 0x57a7_e002;
/// Range of the interval between two servers that begin to say something, in milliseconds.
const START_INTERVAL_MS: std::ops::Range<u64> = 1000..4000;
/// Range of the time for which a server says it, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 6000..15_000;
/// Range of the rate limits, in thousandths of a request per second.
const LIMIT_MILLI: std::ops::Range<u32> = 300..6000;

/// Range of the interval between two servers that begin to leave by their responses, in
/// milliseconds.
const LEAVING_INTERVAL_MS: std::ops::Range<u64> = 2000..6000;
/// Range of the time until the registry shows that such a server leaves, in milliseconds.
const ROW_DELAY_MS: std::ops::Range<u64> = 1000..12_000;

/// Range of the interval between two groups of servers that begin to ask for rest, in
/// milliseconds.
const REST_INTERVAL_MS: std::ops::Range<u64> = 4000..10_000;
/// Range of the share of the servers in such a group.
const REST_SHARE: std::ops::Range<f64> = 0.1..0.9;
/// Range of the time for which such servers turn requests away, in milliseconds.
const REST_DURATION_MS: std::ops::Range<u64> = 2000..8000;
/// Range of the rests, in milliseconds.
const REST_MS: std::ops::Range<u64> = 2000..7000;

/// What a server says of itself now.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServerStatement {
    /// Its rate limit, in thousandths of a request per second.
    pub(crate) limit_milli: Option<u32>,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// It turns requests away and asks for a rest of this many milliseconds.
    pub(crate) rest_ms: Option<u64>,
    /// Whether half of its responses are failures.
    pub(crate) is_bad: bool,
    /// Whether its process has ended.
    pub(crate) is_stopped: bool,
}

/// What each server says of itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct StatementBoard {
    by_server: Arc<Mutex<HashMap<String, ServerStatement>>>,
}

impl StatementBoard {
    /// What `server` says of itself.
    pub(crate) fn get(&self, server: &str) -> ServerStatement {
        self.lock().get(server).copied().unwrap_or_default()
    }

    /// Changes the rate limit of `server`.
    fn set_limit(&self, recorder: &RunRecorder, server: &str, limit_milli: Option<u32>) {
        let mut by_server = self.lock();
        let statement = by_server.entry(server.to_owned()).or_default();
        statement.limit_milli = limit_milli;
        recorder.record(RunEvent::Limit {
            server: server.to_owned(),
            milli: limit_milli,
        });
    }

    /// Lets half of the responses of `server` be failures.
    pub(crate) fn set_bad(&self, server: &str) {
        let mut by_server = self.lock();
        by_server.entry(server.to_owned()).or_default().is_bad = true;
    }

    /// Ends the process of `server`.
    pub(crate) fn set_stopped(&self, server: &str) {
        let mut by_server = self.lock();
        by_server.entry(server.to_owned()).or_default().is_stopped = true;
    }

    /// Forgets what `server` says of itself, but not whether its version is bad.
    pub(crate) fn clear(&self, server: &str) {
        if let Some(statement) = self.lock().get_mut(server) {
            *statement = ServerStatement {
                is_bad: statement.is_bad,
                is_stopped: statement.is_stopped,
                ..ServerStatement::default()
            };
        }
    }

    /// Lets `server` say that it is leaving.
    fn set_leaving(&self, server: &str) {
        let mut by_server = self.lock();
        by_server.entry(server.to_owned()).or_default().leaving = true;
    }

    /// Lets `server` turn requests away and ask for rest, or take requests again.
    fn set_rest(&self, server: &str, rest_ms: Option<u64>) {
        let mut by_server = self.lock();
        by_server.entry(server.to_owned()).or_default().rest_ms = rest_ms;
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ServerStatement>> {
        self.by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lets servers name rate limits and end them.
pub(crate) async fn state_limits(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ LIMIT_SEED_MASK);
    loop {
        sleep(Duration::from_millis(rng.random_range(START_INTERVAL_MS))).await;
        let server = world.server_pool.draw_live(rng.random::<u32>());
        let limit_milli = rng.random_range(LIMIT_MILLI);
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        let board = world.server_pool.statements.clone();
        if board.get(&server).limit_milli.is_some() {
            continue;
        }
        let recorder = world.recorder.clone();
        tokio::spawn(async move {
            board.set_limit(&recorder, &server, Some(limit_milli));
            sleep(duration).await;
            board.set_limit(&recorder, &server, None);
        });
    }
}

/// Lets servers leave that say so in their responses long before the registry shows it, and
/// starts replacements.
pub(crate) async fn leave_by_responses(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ LEAVING_SEED_MASK);
    loop {
        sleep(Duration::from_millis(rng.random_range(LEAVING_INTERVAL_MS))).await;
        let server = world.server_pool.draw_live(rng.random::<u32>());
        let row_delay = Duration::from_millis(rng.random_range(ROW_DELAY_MS));
        world.server_pool.statements.set_leaving(&server);
        let world = Arc::clone(&world);
        tokio::spawn(async move {
            sleep(row_delay).await;
            // It may have left in another way meanwhile.
            if world.server_pool.announce_leaving(&server)
                && let Err(error) = world.server_pool.start_server().await
            {
                eprintln!("failed to start a replacement server: {error}");
            }
        });
    }
}

/// Lets groups of servers turn requests away for a time, and ask for rest.
pub(crate) async fn ask_for_rest(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ REST_SEED_MASK);
    loop {
        sleep(Duration::from_millis(rng.random_range(REST_INTERVAL_MS))).await;
        let mut servers = world.server_pool.live_ids();
        let share = rng.random_range(REST_SHARE);
        servers.retain(|_| rng.random_bool(share));
        let rest_ms = rng.random_range(REST_MS);
        let duration = Duration::from_millis(rng.random_range(REST_DURATION_MS));
        let board = world.server_pool.statements.clone();
        tokio::spawn(async move {
            for server in &servers {
                board.set_rest(server, Some(rest_ms));
            }
            sleep(duration).await;
            for server in &servers {
                board.set_rest(server, None);
            }
        });
    }
}

//! Server churn: backend servers leave and are replaced.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::config::SoakConfig;
use crate::servers::{LeaveKind, SoakServer};
use crate::world::World;

/// Range of the interval between two departures, in milliseconds.
const LEAVE_INTERVAL_MS: std::ops::Range<u64> = 150..1500;
/// Largest number of servers that leave at the same time.
const MAX_LEAVING_AT_ONCE: usize = 4;
/// Range of the delay until the row of a server that announced its departure is deleted, in
/// milliseconds.
const ROW_DELETE_DELAY_MS: std::ops::Range<u64> = 500..6000;
/// Range of the delay until the store applies a heartbeat that was sent before the departure, in
/// milliseconds.
const LATE_HEARTBEAT_DELAY_MS: std::ops::Range<u64> = 300..6000;
/// Share of the servers that leave without announcing it.
const UNANNOUNCED_SHARE: f64 = 0.5;
/// Interval between the heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time without heartbeats after which a row expires.
pub(crate) const ROW_EXPIRY: Duration = Duration::from_millis(4500);

/// Lets servers leave and starts replacements. For some departed servers an earlier heartbeat is
/// applied late.
pub(crate) async fn replace_servers(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ u64::MAX);
    loop {
        sleep(Duration::from_millis(rng.random_range(LEAVE_INTERVAL_MS))).await;
        for _ in 0..rng.random_range(1..=MAX_LEAVING_AT_ONCE) {
            if world.server_pool.live_count() == 0 {
                continue;
            }
            let index = rng.random_range(0..world.server_pool.live_count());
            let kind = if rng.random_bool(UNANNOUNCED_SHARE) {
                LeaveKind::Unannounced
            } else {
                LeaveKind::Announced
            };
            let server = world.server_pool.start_leaving(index, kind);
            let delete_delay_ms =
                (kind == LeaveKind::Announced).then(|| rng.random_range(ROW_DELETE_DELAY_MS));
            let late_delay_ms = rng
                .random_bool(config.late_heartbeats)
                .then(|| rng.random_range(LATE_HEARTBEAT_DELAY_MS));
            tokio::spawn(write_rows(
                Arc::clone(&world),
                server,
                delete_delay_ms,
                late_delay_ms,
            ));
            if let Err(error) = world.server_pool.start_server().await {
                eprintln!("failed to start a replacement server: {error}");
            }
        }
    }
}

/// Applies the writes to the row of a departed server: a late heartbeat and the deletion.
async fn write_rows(
    world: Arc<World>,
    server: SoakServer,
    delete_delay_ms: Option<u64>,
    late_delay_ms: Option<u64>,
) {
    let deletion = async {
        if let Some(delete_delay_ms) = delete_delay_ms {
            sleep(Duration::from_millis(delete_delay_ms)).await;
            world.server_pool.delete_row(&server);
        }
    };
    let late_writes = async {
        if let Some(late_delay_ms) = late_delay_ms {
            sleep(Duration::from_millis(late_delay_ms)).await;
            world.server_pool.write_late_heartbeat(&server);
            if let Some(remaining_ms) = delete_delay_ms
                .and_then(|delete_delay_ms| delete_delay_ms.checked_sub(late_delay_ms))
            {
                // A server that is still running repeats with its next heartbeat that it is draining.
                if Duration::from_millis(remaining_ms) > HEARTBEAT_INTERVAL {
                    sleep(HEARTBEAT_INTERVAL).await;
                    world.server_pool.write_draining(&server);
                }
                return;
            }
            sleep(ROW_EXPIRY).await;
            world.server_pool.delete_row(&server);
        }
    };
    tokio::join!(deletion, late_writes);
}

//! Servers that leave and others that come in their place.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::config::SoakConfig;
use crate::servers::{LeaveKind, SoakServer};
use crate::world::World;

/// Shortest and longest time between two servers that leave, in milliseconds.
const LEAVE_INTERVAL_MS: std::ops::Range<u64> = 150..1500;
/// Most servers that leave at once.
const MAX_LEAVING_AT_ONCE: usize = 4;
/// Time until the row of a server that said it leaves is dropped, in milliseconds.
const ROW_DELETE_DELAY_MS: std::ops::Range<u64> = 500..6000;
/// Time after which a heartbeat is performed that was sent before, in milliseconds.
const LATE_HEARTBEAT_DELAY_MS: std::ops::Range<u64> = 300..6000;
/// Part of the servers that leave without saying so.
const UNANNOUNCED_SHARE: f64 = 0.5;
/// Time between two heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time without heartbeats after which a row lapses.
const ROW_EXPIRY: Duration = Duration::from_millis(4500);

/// Servers leave, others come in their place; heartbeats of some that left are performed late.
pub(crate) async fn replace_servers(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ u64::MAX);
    loop {
        sleep(Duration::from_millis(rng.random_range(LEAVE_INTERVAL_MS))).await;
        for _ in 0..rng.random_range(1..=MAX_LEAVING_AT_ONCE) {
            let index = rng.random_range(0..world.server_pool.live_count());
            let kind = if rng.random_bool(UNANNOUNCED_SHARE) {
                LeaveKind::Unannounced
            } else {
                LeaveKind::Announced
            };
            let server = world.server_pool.start_leaving(index, kind);
            let row = (kind == LeaveKind::Announced).then(|| rng.random_range(ROW_DELETE_DELAY_MS));
            let late = rng
                .random_bool(config.late_heartbeats)
                .then(|| rng.random_range(LATE_HEARTBEAT_DELAY_MS));
            tokio::spawn(write_rows(Arc::clone(&world), server, row, late));
            if let Err(error) = world.server_pool.start_server().await {
                eprintln!("no server in place of one that left: {error}");
            }
        }
    }
}

/// What the store does with the row of a server that has left.
async fn write_rows(world: Arc<World>, server: SoakServer, row: Option<u64>, late: Option<u64>) {
    let drops = async {
        if let Some(row) = row {
            sleep(Duration::from_millis(row)).await;
            world.server_pool.delete_row(&server);
        }
    };
    let writes = async {
        if let Some(late) = late {
            sleep(Duration::from_millis(late)).await;
            world.server_pool.write_late_heartbeat(&server);
            if let Some(remaining_ms) = row.and_then(|row| row.checked_sub(late)) {
                // The next heartbeat of a server that still lives says again that it leaves.
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
    tokio::join!(drops, writes);
}

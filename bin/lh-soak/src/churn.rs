//! Servers that leave and others that come in their place.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::config::SoakConfig;
use crate::servers::{Leaving, SoakServer};
use crate::world::World;

/// Shortest and longest time between two servers that leave, in milliseconds.
const LEAVE_MS: std::ops::Range<u64> = 150..1500;
/// Most servers that leave at once.
const LEAVE_MOST: usize = 4;
/// Time until the row of a server that said it leaves is dropped, in milliseconds.
const ROW_MS: std::ops::Range<u64> = 500..6000;
/// Time after which a heartbeat is performed that was sent before, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 300..6000;
/// Part of the servers that leave without saying so.
const SILENT_SHARE: f64 = 0.5;
/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time without heartbeats after which a row lapses.
const LAPSE_TIME: Duration = Duration::from_millis(4500);

/// Servers leave, others come in their place; heartbeats of some that left are performed late.
pub(crate) async fn replace_servers(world: Arc<World>, config: SoakConfig) {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ u64::MAX);
    loop {
        sleep(Duration::from_millis(rng.random_range(LEAVE_MS))).await;
        for _ in 0..rng.random_range(1..=LEAVE_MOST) {
            let index = rng.random_range(0..world.park.live_count());
            let leaving = if rng.random_bool(SILENT_SHARE) {
                Leaving::Silent
            } else {
                Leaving::Announced
            };
            let server = world.park.leave(index, leaving);
            let row = (leaving == Leaving::Announced).then(|| rng.random_range(ROW_MS));
            let late = rng
                .random_bool(config.late_words)
                .then(|| rng.random_range(LATE_MS));
            tokio::spawn(write_rows(Arc::clone(&world), server, row, late));
            if let Err(error) = world.park.start_one().await {
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
            world.park.drop_row(&server);
        }
    };
    let writes = async {
        if let Some(late) = late {
            sleep(Duration::from_millis(late)).await;
            world.park.write_late(&server);
            if let Some(lives_on) = row.and_then(|row| row.checked_sub(late)) {
                // The next heartbeat of a server that still lives says again that it leaves.
                if Duration::from_millis(lives_on) > HEARTBEAT {
                    sleep(HEARTBEAT).await;
                    world.park.write_leaving(&server);
                }
                return;
            }
            sleep(LAPSE_TIME).await;
            world.park.drop_row(&server);
        }
    };
    tokio::join!(drops, writes);
}

//! Losses of power: all entries and backend servers end at once and come back one after the other.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use platform_standin::FaultPlan;
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::churn::ROW_EXPIRY;
use crate::error::Result;
use crate::history::{RunEvent, millis};
use crate::servers::SoakServer;
use crate::world::World;

/// Makes the draws independent of those of faults and departures.
const SEED_MASK: u64 = 0x0b1a_c000;
/// Largest number of losses in a series.
const MAX_LOSSES: usize = 3;
/// The same for the order in which servers come back.
const ORDER_SEED_MASK: u64 = 0x0b1a_c001;
/// Range of the time between two losses of a series, from the return, in milliseconds.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 200..4000;
/// Range of the time for which the power is lost, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 500..3000;
/// Largest time between the ends of the entries and of the servers, in milliseconds.
const MAX_END_GAP_MS: u64 = 800;
/// Ranges of the time over which entries, and servers, come back, in milliseconds. The second one
/// is that of slow returns.
const RETURN_MS: std::ops::Range<u64> = 100..2500;
const SLOW_RETURN_MS: std::ops::Range<u64> = 6000..10_000;
/// Share of the returns that are slow.
const SLOW_SHARE: f64 = 0.2;
/// Share of the losses after which servers are silent at first, and the range of that time in
/// milliseconds.
const SILENCE_SHARE: f64 = 0.3;
const SILENCE_MS: std::ops::Range<u64> = 500..4000;
/// Share of the losses that some entries survive, and the range of the entries of which one does.
const SURVIVAL_SHARE: f64 = 0.3;
const SURVIVING: std::ops::Range<usize> = 4..20;
/// Share of the losses in which the store has a fault, and the ranges of its duration and of the
/// delay of a slow store, in milliseconds.
const STORE_FAULT_SHARE: f64 = 0.4;
const STORE_FAULT_MS: std::ops::Range<u64> = 1000..9000;
const STORE_DELAY_MS: std::ops::Range<u64> = 100..1200;
/// Name of the fault, as recorded in the history.
const POWER_FAULT: &str = "power-lost";
/// Delay after which a server that crashed starts again.
const CRASH_RESTART_DELAY: Duration = Duration::from_secs(1);
/// Interval between two looks for servers that have crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts to start a server whose address another socket holds, and the pause between them. Then
/// it starts at another address.
const START_ATTEMPTS: usize = 10;
const START_RETRY_DELAY: Duration = Duration::from_millis(100);
const ANY_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One loss of power and the return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PowerLoss {
    /// Time since the return from the loss before, or since the start of the series.
    pub after: Duration,
    /// Whether the servers end before the entries.
    pub servers_first: bool,
    /// Time between the ends of the two.
    pub end_gap: Duration,
    /// Time without power.
    pub down: Duration,
    /// Time over which the entries come back.
    pub entry_return: Duration,
    /// Time over which the servers come back.
    pub server_return: Duration,
    /// Seed of the order in which the servers come back.
    pub order_seed: u64,
    /// Time for which servers that came back accept connections and answer nothing.
    pub server_silence: Duration,
    /// One in this many entries keeps its process, which stands still meanwhile; 0 for none.
    pub surviving: usize,
    /// Fault of the store, and how long it lasts from the loss on.
    pub store_fault: Option<(StoreFault, Duration)>,
}

/// Fault of the store while machines come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It rejects all requests.
    Down,
    /// It answers nothing.
    Silent,
    /// Its answers are lost.
    LosesAnswers,
    /// Its answers are late by this time.
    Slow(Duration),
}

/// Draws a series of losses of power.
pub fn draw_losses(seed: u64) -> Vec<PowerLoss> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK);
    let count = rng.random_range(1..=MAX_LOSSES);
    let mut order_rng = ChaCha8Rng::seed_from_u64(seed ^ ORDER_SEED_MASK);
    let mut draw = || PowerLoss {
        after: Duration::from_millis(rng.random_range(SERIES_INTERVAL_MS)),
        servers_first: rng.random(),
        end_gap: Duration::from_millis(rng.random_range(0..MAX_END_GAP_MS)),
        down: Duration::from_millis(rng.random_range(DOWN_MS)),
        entry_return: draw_return(&mut rng),
        server_return: draw_return(&mut rng),
        order_seed: order_rng.random(),
        server_silence: Duration::ZERO,
        surviving: 0,
        store_fault: None,
    };
    let mut losses: Vec<PowerLoss> = (0..count).map(|_| draw()).collect();
    for loss in &mut losses {
        if rng.random_bool(SILENCE_SHARE) {
            loss.server_silence = Duration::from_millis(rng.random_range(SILENCE_MS));
        }
        if rng.random_bool(SURVIVAL_SHARE) {
            loss.surviving = rng.random_range(SURVIVING);
        }
        if rng.random_bool(STORE_FAULT_SHARE) {
            loss.store_fault = Some(draw_store_fault(&mut rng));
        }
    }
    losses
}

fn draw_store_fault(rng: &mut ChaCha8Rng) -> (StoreFault, Duration) {
    let fault = match rng.random_range(0..4) {
        0 => StoreFault::Down,
        1 => StoreFault::Silent,
        2 => StoreFault::LosesAnswers,
        _ => StoreFault::Slow(Duration::from_millis(rng.random_range(STORE_DELAY_MS))),
    };
    (
        fault,
        Duration::from_millis(rng.random_range(STORE_FAULT_MS)),
    )
}

fn draw_return(rng: &mut ChaCha8Rng) -> Duration {
    let range = if rng.random_bool(SLOW_SHARE) {
        SLOW_RETURN_MS
    } else {
        RETURN_MS
    };
    Duration::from_millis(rng.random_range(range))
}

/// Plays a series of losses. Returns when all machines are back from the last one.
pub(crate) async fn lose_power(world: Arc<World>, losses: &[PowerLoss]) -> Result<()> {
    for loss in losses {
        sleep(loss.after).await;
        world.set_power(false);
        world.recorder.record(RunEvent::Power { is_back: false });
        for entry in 0..world.entries.len() {
            world.record_fault(POWER_FAULT, Some(entry));
        }
        let store_fault = tokio::spawn(disturb_store(Arc::clone(&world), loss.store_fault));
        let servers = cut(&world, loss).await?;
        tokio::spawn(expire_rows(Arc::clone(&world), servers.clone()));
        sleep(loss.down).await;
        let (entries, servers) = tokio::join!(
            return_entries(&world, loss.entry_return),
            return_servers(&world, &servers, loss),
        );
        entries?;
        servers?;
        sleep(loss.server_silence).await;
        store_fault.await.map_err(std::io::Error::other)?;
        for entry in 0..world.entries.len() {
            world.record_fault_end(Some(entry));
        }
        world.recorder.record(RunEvent::Power { is_back: true });
        world.set_power(true);
    }
    Ok(())
}

async fn disturb_store(world: Arc<World>, fault: Option<(StoreFault, Duration)>) {
    let Some((fault, duration)) = fault else {
        return;
    };
    let plan = match fault {
        StoreFault::Down => FaultPlan::outage(),
        StoreFault::Silent => FaultPlan::silence(),
        StoreFault::LosesAnswers => FaultPlan {
            lose_answers: true,
            ..FaultPlan::default()
        },
        StoreFault::Slow(delay) => FaultPlan {
            delay_ms: millis(delay),
            ..FaultPlan::default()
        },
    };
    world.record_fault(POWER_FAULT, None);
    world.store.set_faults(plan);
    sleep(duration).await;
    world.restore_store();
    world.record_fault_end(None);
}

async fn cut(world: &World, loss: &PowerLoss) -> Result<Vec<SoakServer>> {
    if loss.servers_first {
        let servers = world.server_pool.cut_power();
        sleep(loss.end_gap).await;
        end_entries(world, loss)?;
        return Ok(servers);
    }
    end_entries(world, loss)?;
    sleep(loss.end_gap).await;
    Ok(world.server_pool.cut_power())
}

fn end_entries(world: &World, loss: &PowerLoss) -> Result<()> {
    for index in 0..world.entries.len() {
        if loss.surviving > 0 && index.is_multiple_of(loss.surviving) {
            world.entry(index).signal(Signal::STOP)?;
        } else {
            world.entry(index).kill()?;
        }
    }
    Ok(())
}

/// Expires the rows of `servers`, which have just ended, unless they come back in time.
async fn expire_rows(world: Arc<World>, servers: Vec<SoakServer>) {
    sleep(ROW_EXPIRY).await;
    for server in &servers {
        world.server_pool.expire_row(server);
    }
}

async fn return_entries(world: &World, spread: Duration) -> Result<()> {
    let count = world.entries.len();
    let step = spread / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
    for index in 0..count {
        sleep(step).await;
        world.entry(index).signal(Signal::CONT)?;
        world.entry(index).start()?;
    }
    Ok(())
}

async fn return_servers(world: &World, servers: &[SoakServer], loss: &PowerLoss) -> Result<()> {
    let step = loss.server_return / u32::try_from(servers.len().max(1)).unwrap_or(u32::MAX);
    let mut order: Vec<&SoakServer> = servers.iter().collect();
    order.shuffle(&mut ChaCha8Rng::seed_from_u64(loss.order_seed));
    for server in order {
        sleep(step).await;
        restart(world, server, loss.server_silence).await?;
    }
    Ok(())
}

async fn restart(world: &World, server: &SoakServer, silence: Duration) -> Result<()> {
    if server.is_draining || world.server_pool.statements.get(&server.id).is_stopped {
        return Ok(());
    }
    let pool = &world.server_pool;
    for _ in 0..START_ATTEMPTS {
        let restarted = pool.restart_server(server, server.address, silence).await;
        if restarted.is_ok() {
            return Ok(());
        }
        sleep(START_RETRY_DELAY).await;
    }
    pool.restart_server(server, ANY_ADDRESS, silence).await
}

/// Starts servers again that got too many requests while they were cold.
pub(crate) async fn restart_crashed(world: Arc<World>) {
    loop {
        sleep(CRASH_POLL_INTERVAL).await;
        if !world.has_power() {
            continue;
        }
        for server in world.server_pool.take_ended() {
            let world = Arc::clone(&world);
            tokio::spawn(async move {
                sleep(CRASH_RESTART_DELAY).await;
                if let Err(error) = restart(&world, &server, Duration::ZERO).await {
                    eprintln!("server {} can't start again: {error}", server.id);
                }
            });
        }
    }
}

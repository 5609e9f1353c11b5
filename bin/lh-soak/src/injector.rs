//! Fault injection.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform_standin::FaultPlan;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::error::Result;
use crate::faults::{FaultKind, FaultTarget, PlannedFault};
use crate::history::millis;
use crate::proxy::LinkFault;
use crate::world::World;

/// Time over which expired servers register again after an outage of the store.
const REREGISTER_DURATION: Duration = Duration::from_millis(1900);
/// Tables whose rows are written again after the store lost them.
const REWRITTEN_TABLES: [&str; 2] = ["op", "servers"];
/// Alternating running and stopped times of a starved entry.
const STARVED_RUN_TIME: Duration = Duration::from_millis(40);
const STARVED_STOP_TIME: Duration = Duration::from_millis(360);
/// Delay between the end of an entry's process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Time after SIGTERM after which a process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);
/// Interval between two checks whether stopped processes have exited.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Period in which an entry gets its share of a processor.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// Time for which a broken link refuses connections.
const LINK_BREAK_DURATION: Duration = Duration::from_millis(30);

/// Injects `fault`, waits for its duration and removes it.
pub(crate) async fn inject(world: Arc<World>, fault: PlannedFault) -> Result<()> {
    let targets = world.targets(&fault.target);
    let name = fault.kind.name();
    if fault.target == FaultTarget::Store {
        world.record_fault(name, None);
        inject_store_fault(&world, fault.kind, fault.duration).await;
        world.record_fault_end(None);
        return Ok(());
    }
    for index in &targets {
        world.record_fault(name, Some(*index));
    }
    let result = match fault.kind {
        FaultKind::Partitioned => {
            separate(&world, &targets, fault.duration).await;
            Ok(())
        }
        FaultKind::Frozen => freeze(&world, &targets, fault.duration).await,
        FaultKind::Starved => starve(&world, &targets, fault.duration).await,
        FaultKind::Killed => kill(&world, &targets).await,
        FaultKind::Stopped => stop(&world, &targets).await,
        kind => {
            inject_link_fault(&world, &targets, kind, fault.duration).await;
            Ok(())
        }
    };
    for index in &targets {
        world.record_fault_end(Some(*index));
    }
    result
}

async fn inject_link_fault(world: &World, targets: &[usize], kind: FaultKind, duration: Duration) {
    let set = |fault: LinkFault| {
        for index in targets {
            world.entry(*index).proxy().set(fault);
        }
    };
    let end = Instant::now() + duration;
    match kind {
        FaultKind::LinkBreaks(gap) => {
            while Instant::now() < end {
                set(LinkFault::Refuse);
                sleep(LINK_BREAK_DURATION).await;
                set(LinkFault::None);
                sleep(gap).await;
            }
        }
        FaultKind::LinkSilent => set(LinkFault::Stall),
        FaultKind::LinkLosesAnswers => set(LinkFault::DropResponses),
        FaultKind::LinkDelayed(delay) => set(LinkFault::DelayResponses(delay)),
        _ => set(LinkFault::Refuse),
    }
    sleep(end.saturating_duration_since(Instant::now())).await;
    // Close all connections, so that data that was held back is never delivered.
    set(LinkFault::Reset);
    set(LinkFault::None);
}

/// Separates the entries from the backend servers.
async fn separate(world: &World, targets: &[usize], duration: Duration) {
    let addresses = targets.iter().map(|index| world.entry(*index).ip());
    let addresses: Vec<IpAddr> = addresses.collect();
    world.server_pool.partition.separate(&addresses);
    sleep(duration).await;
    world.server_pool.partition.reconnect(&addresses);
}

async fn freeze(world: &World, targets: &[usize], duration: Duration) -> Result<()> {
    signal_all(world, targets, Signal::STOP)?;
    sleep(duration).await;
    signal_all(world, targets, Signal::CONT)
}

async fn starve(world: &World, targets: &[usize], duration: Duration) -> Result<()> {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        signal_all(world, targets, Signal::STOP)?;
        sleep(STARVED_STOP_TIME).await;
        signal_all(world, targets, Signal::CONT)?;
        sleep(STARVED_RUN_TIME).await;
    }
    Ok(())
}

fn signal_all(world: &World, targets: &[usize], signal: Signal) -> Result<()> {
    for index in targets {
        world.entry(*index).signal(signal)?;
    }
    Ok(())
}

async fn kill(world: &World, targets: &[usize]) -> Result<()> {
    for index in targets {
        world.entry(*index).kill()?;
    }
    sleep(RESTART_DELAY).await;
    for index in targets {
        world.entry(*index).start()?;
    }
    Ok(())
}

async fn stop(world: &World, targets: &[usize]) -> Result<()> {
    signal_all(world, targets, Signal::CONT)?;
    signal_all(world, targets, Signal::TERM)?;
    let end = Instant::now() + STOP_TIMEOUT;
    let is_any_running = || targets.iter().any(|index| world.entry(*index).is_running());
    while Instant::now() < end && is_any_running() {
        sleep(STOP_POLL_INTERVAL).await;
    }
    kill(world, targets).await
}

async fn inject_store_fault(world: &World, kind: FaultKind, duration: Duration) {
    match kind {
        FaultKind::StoreForgets => world.store.discard_history(),
        FaultKind::StoreSlow(delay) => {
            world.store.set_faults(FaultPlan {
                delay_ms: millis(delay),
                ..FaultPlan::default()
            });
            sleep(duration).await;
            world.store.set_faults(FaultPlan::default());
        }
        FaultKind::StoreRestored(age) => restore_store(world, age, duration).await,
        FaultKind::StoreLapses(percent) => {
            world.store.set_faults(FaultPlan::outage());
            let expired = world.server_pool.expire_rows(f64::from(percent) / 100.0);
            sleep(duration).await;
            world.store.set_faults(FaultPlan::default());
            reregister(world, expired).await;
        }
        _ => {
            world.store.set_faults(FaultPlan::outage());
            sleep(duration).await;
            world.store.set_faults(FaultPlan::default());
        }
    }
}

/// Lets the store come back from a copy that is `age` old after it was down for `duration`. The
/// operator and the servers then write again what was lost.
async fn restore_store(world: &World, age: Duration, duration: Duration) {
    let copy = world.store.copy();
    sleep(age).await;
    world.store.set_faults(FaultPlan::outage());
    sleep(duration).await;
    let lost = world.store.changed_since(&copy, &REWRITTEN_TABLES);
    world.store.restore(&copy);
    world.store.set_faults(FaultPlan::default());
    let step = REREGISTER_DURATION / u32::try_from(lost.len().max(1)).unwrap_or(1);
    for row in lost {
        sleep(step).await;
        world.store.write_again(&row);
    }
}

/// Registers the servers whose rows expired again, one after the other.
async fn reregister(world: &World, expired: Vec<String>) {
    let step = REREGISTER_DURATION / u32::try_from(expired.len().max(1)).unwrap_or(1);
    for id in expired {
        sleep(step).await;
        world.server_pool.reregister(&[id]);
    }
}

/// Lets each entry run only in the share `share` of each [`QUOTA_PERIOD`], as if it had used up a
/// processor quota.
pub(crate) async fn limit_processor(world: Arc<World>, share: f64) {
    let run_time = QUOTA_PERIOD.mul_f64(share);
    let count = world.entries.len();
    let step = QUOTA_PERIOD / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
    for index in 0..count {
        let world = Arc::clone(&world);
        tokio::spawn(async move {
            loop {
                let result = world.entry(index).signal(Signal::CONT);
                sleep(run_time).await;
                let result = result.and(world.entry(index).signal(Signal::STOP));
                if let Err(error) = result {
                    eprintln!("the processor share of entry {index} isn't limited: {error}");
                }
                sleep(QUOTA_PERIOD - run_time).await;
            }
        });
        sleep(step).await;
    }
}

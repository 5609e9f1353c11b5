//! Causes faults and ends them.

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

/// Time within which servers are listed again after an outage of the store.
const RELIST_TIME: Duration = Duration::from_millis(1900);
/// A starved entry runs and stands still in turn.
const STARVED_RUN: Duration = Duration::from_millis(40);
const STARVED_STOP: Duration = Duration::from_millis(360);
/// Pause of an entry between its end and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(400);
/// Time in which a planned stop must end.
const STOP_TIME: Duration = Duration::from_secs(7);
/// Time between two looks at whether stopped entries have ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// A link that breaks is closed for this long.
const BREAK_TIME: Duration = Duration::from_millis(30);

/// Causes `fault` and ends it.
pub(crate) async fn cause(world: Arc<World>, fault: PlannedFault) -> Result<()> {
    let targets = world.targets(&fault.target);
    let name = fault.kind.name();
    if fault.target == FaultTarget::Store {
        world.fault(name, None);
        trouble_store(&world, fault.kind, fault.span).await;
        world.calm(None);
        return Ok(());
    }
    for index in &targets {
        world.fault(name, Some(*index));
    }
    let result = match fault.kind {
        FaultKind::Frozen => freeze(&world, &targets, fault.span).await,
        FaultKind::Starved => starve(&world, &targets, fault.span).await,
        FaultKind::Killed => kill(&world, &targets).await,
        FaultKind::Stopped => stop(&world, &targets).await,
        kind => {
            trouble_links(&world, &targets, kind, fault.span).await;
            Ok(())
        }
    };
    for index in &targets {
        world.calm(Some(*index));
    }
    result
}

async fn trouble_links(world: &World, targets: &[usize], kind: FaultKind, span: Duration) {
    let set = |fault: LinkFault| {
        for index in targets {
            world.entry(*index).proxy().set(fault);
        }
    };
    let ends = Instant::now() + span;
    match kind {
        FaultKind::LinkBreaks(gap) => {
            while Instant::now() < ends {
                set(LinkFault::Refuse);
                sleep(BREAK_TIME).await;
                set(LinkFault::None);
                sleep(gap).await;
            }
        }
        FaultKind::LinkSilent => set(LinkFault::Silence),
        FaultKind::LinkLosesAnswers => set(LinkFault::LoseAnswers),
        FaultKind::LinkDelayed(delay) => set(LinkFault::Delay(delay)),
        _ => set(LinkFault::Refuse),
    }
    sleep(ends.saturating_duration_since(Instant::now())).await;
    // What was held back is lost: connections are new.
    set(LinkFault::Reset);
    set(LinkFault::None);
}

async fn freeze(world: &World, targets: &[usize], span: Duration) -> Result<()> {
    signal_all(world, targets, Signal::STOP)?;
    sleep(span).await;
    signal_all(world, targets, Signal::CONT)
}

async fn starve(world: &World, targets: &[usize], span: Duration) -> Result<()> {
    let ends = Instant::now() + span;
    while Instant::now() < ends {
        signal_all(world, targets, Signal::STOP)?;
        sleep(STARVED_STOP).await;
        signal_all(world, targets, Signal::CONT)?;
        sleep(STARVED_RUN).await;
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
    sleep(RESTART_PAUSE).await;
    for index in targets {
        world.entry(*index).start()?;
    }
    Ok(())
}

async fn stop(world: &World, targets: &[usize]) -> Result<()> {
    signal_all(world, targets, Signal::CONT)?;
    signal_all(world, targets, Signal::TERM)?;
    let ends = Instant::now() + STOP_TIME;
    let is_any_running = || targets.iter().any(|index| world.entry(*index).is_running());
    while Instant::now() < ends && is_any_running() {
        sleep(LOOK_EVERY).await;
    }
    kill(world, targets).await
}

async fn trouble_store(world: &World, kind: FaultKind, span: Duration) {
    match kind {
        FaultKind::StoreForgets => world.store.forget_history(),
        FaultKind::StoreSlow(delay) => {
            world.store.set_faults(FaultPlan {
                delay_ms: millis(delay),
                ..FaultPlan::default()
            });
            sleep(span).await;
            world.store.set_faults(FaultPlan::default());
        }
        FaultKind::StoreLapses(percent) => {
            world.store.set_faults(FaultPlan::outage());
            let lapsed = world.park.lapse(f64::from(percent) / 100.0);
            sleep(span).await;
            world.store.set_faults(FaultPlan::default());
            relist(world, lapsed).await;
        }
        _ => {
            world.store.set_faults(FaultPlan::outage());
            sleep(span).await;
            world.store.set_faults(FaultPlan::default());
        }
    }
}

/// Servers whose rows lapsed are listed again one after the other.
async fn relist(world: &World, lapsed: Vec<String>) {
    let step = RELIST_TIME / u32::try_from(lapsed.len().max(1)).unwrap_or(1);
    for id in lapsed {
        sleep(step).await;
        world.park.relist(&[id]);
    }
}

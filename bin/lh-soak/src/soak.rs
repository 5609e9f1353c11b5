//! The course of a run; see [`run_soak`].

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use platform_standin::FaultPlan;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::churn::replace_servers;
use crate::config::{REGIONS, SoakConfig};
use crate::error::{Error, Result};
use crate::faults;
use crate::history::{RunEvent, RunHistory, RunRecorder, millis};
use crate::injector::{inject, limit_processor};
use crate::judge;
use crate::operator::{change_desired, evacuate_domains};
use crate::power::{draw_losses, lose_power, restart_crashed};
use crate::rollouts::roll_out;
use crate::statements::{ask_for_rest, leave_by_responses, state_limits};
use crate::world::World;

/// Time without faults after the last return of power, in which the recovery is judged.
const CALM_AFTER_RETURN: Duration = Duration::from_secs(22);
/// Interval between two measurements of the scheduling delay of this process.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Executes a run and returns its history.
///
/// # Errors
/// If sockets, files or processes fail, the entries don't start, or a signal interrupts the run.
pub(crate) fn run_soak(config: &SoakConfig) -> Result<RunHistory> {
    let busy = BusyThreads::start(config.busy_threads);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(async {
        tokio::select! {
            result = run(config) => result,
            stopped = stop_signal() => Err(stopped),
        }
    });
    // Kills the entries of an interrupted run, by dropping its tasks.
    drop(runtime);
    drop(busy);
    result
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> Error {
    let sigterm = signal(SignalKind::terminate());
    let mut terminate = match sigterm {
        Ok(terminate) => terminate,
        Err(error) => return error.into(),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Error::Stopped
}

async fn run(config: &SoakConfig) -> Result<RunHistory> {
    let temp_folder = tempfile::tempdir()?;
    let folder = config.keep.as_deref().unwrap_or(temp_folder.path());
    std::fs::create_dir_all(folder)?;
    let world = Arc::new(World::start(config, folder).await?);
    tokio::spawn(measure_lag(world.recorder.clone()));
    let callers = world.start_callers();
    let churn = tokio::spawn(replace_servers(Arc::clone(&world), config.clone()));
    let limits = tokio::spawn(state_limits(Arc::clone(&world), config.clone()));
    let leaving = tokio::spawn(leave_by_responses(Arc::clone(&world), config.clone()));
    let rests = tokio::spawn(ask_for_rest(Arc::clone(&world), config.clone()));
    let desired = tokio::spawn(change_desired(Arc::clone(&world), config.clone()));
    let evacuations = tokio::spawn(evacuate_domains(Arc::clone(&world), config.clone()));
    let rolling = tokio::spawn(roll_out(Arc::clone(&world), config.clone()));
    let fault_seconds = if config.power_losses {
        tokio::spawn(restart_crashed(Arc::clone(&world)));
        config.seconds.saturating_sub(CALM_AFTER_RETURN.as_secs())
    } else {
        config.seconds
    };
    if config.processor_share < 1.0 {
        tokio::spawn(limit_processor(Arc::clone(&world), config.processor_share));
    }
    let started = Instant::now();
    let mut injections = Vec::new();
    let mut planned =
        faults::draw_faults(config.seed, fault_seconds, config.entries, REGIONS.len());
    if config.partitions {
        planned.extend(faults::draw_partitions(
            config.seed,
            fault_seconds,
            config.entries,
        ));
    }
    if config.restorations {
        planned.extend(faults::draw_restorations(config.seed, fault_seconds));
    }
    planned.sort_by_key(|fault| fault.at);
    for fault in planned {
        sleep(fault.at.saturating_sub(started.elapsed())).await;
        injections.push(tokio::spawn(inject(Arc::clone(&world), fault)));
    }
    for injection in injections {
        injection.await.map_err(std::io::Error::other)??;
    }
    if config.power_losses {
        limits.abort();
        leaving.abort();
        rests.abort();
        if config.store_plan != FaultPlan::default() {
            world.slow_store(config.store_plan);
        }
        lose_power(Arc::clone(&world), &draw_losses(config.seed)).await?;
        sleep(CALM_AFTER_RETURN).await;
    }
    let run_time = Duration::from_secs(config.seconds);
    sleep(run_time.saturating_sub(started.elapsed())).await;
    churn.abort();
    limits.abort();
    leaving.abort();
    rests.abort();
    desired.abort();
    evacuations.abort();
    rolling.abort();
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    let history = world.recorder.history(config.seed);
    world.stop_entries()?;
    save_results(config, &history, temp_folder)?;
    Ok(history)
}

/// Saves the history and the logs if `--keep` was given or a guarantee was violated.
fn save_results(
    config: &SoakConfig,
    history: &RunHistory,
    temp_folder: tempfile::TempDir,
) -> Result<()> {
    if let Some(folder) = &config.keep {
        return history.write(&folder.join("history.json"));
    }
    if judge::judge(history).violation_count() > 0 {
        let folder: PathBuf = temp_folder.keep();
        history.write(&folder.join("history.json"))?;
        eprintln!("history and logs kept in {}", folder.display());
    }
    Ok(())
}

/// Records the scheduling delay of this process whenever it reaches a new maximum.
async fn measure_lag(recorder: RunRecorder) {
    let mut worst = Duration::ZERO;
    loop {
        let started = Instant::now();
        sleep(LAG_CHECK_INTERVAL).await;
        let lag = started.elapsed().saturating_sub(LAG_CHECK_INTERVAL);
        if lag > worst + LAG_CHECK_INTERVAL {
            worst = lag;
            recorder.record(RunEvent::Lag { ms: millis(lag) });
        }
    }
}

/// Threads that spin until dropped, to generate CPU load.
struct BusyThreads {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl BusyThreads {
    fn start(count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spin = |_| {
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            })
        };
        let threads = (0..count).map(spin).collect();
        Self { stop, threads }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

//! One run, read from top to bottom in [`play`].

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::churn::replace_servers;
use crate::config::{REGIONS, SoakConfig};
use crate::error::{Error, Result};
use crate::faults;
use crate::history::{RunEvent, RunHistory, RunRecorder, millis};
use crate::judge;
use crate::trouble::cause;
use crate::world::World;

/// Time between two looks at whether the run's own threads are late.
const LAG_EVERY: Duration = Duration::from_millis(20);

/// Plays a run and returns what happened.
///
/// # Errors
/// Where sockets, files or processes fail, or the entries don't start.
pub(crate) fn play(config: &SoakConfig) -> Result<RunHistory> {
    let busy = BusyThreads::start(config.busy);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(async {
        tokio::select! {
            result = run(config) => result,
            stopped = stop_signal() => Err(stopped),
        }
    });
    // Ends the entries of a run that was stopped.
    drop(runtime);
    drop(busy);
    result
}

/// Waits for a signal that ends the run.
async fn stop_signal() -> Error {
    let waiting = signal(SignalKind::terminate());
    let mut terminate = match waiting {
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
    let scratch = tempfile::tempdir()?;
    let folder = config.keep.as_deref().unwrap_or(scratch.path());
    std::fs::create_dir_all(folder)?;
    let world = Arc::new(World::start(config, folder).await?);
    tokio::spawn(measure_lag(world.recorder.clone()));
    let calling = world.start_callers();
    let leaving = tokio::spawn(replace_servers(Arc::clone(&world), config.clone()));
    let begun = Instant::now();
    let mut running = Vec::new();
    for fault in faults::draw(config.seed, config.seconds, config.entries, REGIONS.len()) {
        sleep(fault.at.saturating_sub(begun.elapsed())).await;
        running.push(tokio::spawn(cause(Arc::clone(&world), fault)));
    }
    for fault in running {
        fault.await.map_err(std::io::Error::other)??;
    }
    let length = Duration::from_secs(config.seconds);
    sleep(length.saturating_sub(begun.elapsed())).await;
    leaving.abort();
    calling.iter().for_each(tokio::task::JoinHandle::abort);
    let history = world.recorder.history(config.seed);
    world.end()?;
    keep(config, &history, scratch)?;
    Ok(history)
}

/// Keeps history and lines where they were asked for or a promise was broken.
fn keep(config: &SoakConfig, history: &RunHistory, scratch: tempfile::TempDir) -> Result<()> {
    if let Some(folder) = &config.keep {
        return history.write(&folder.join("history.json"));
    }
    if judge::judge(history).broken() > 0 {
        let folder: PathBuf = scratch.keep();
        history.write(&folder.join("history.json"))?;
        eprintln!("kept in {}", folder.display());
    }
    Ok(())
}

/// Takes down how late this process's own tasks run.
async fn measure_lag(recorder: RunRecorder) {
    let mut worst = Duration::ZERO;
    loop {
        let begun = Instant::now();
        sleep(LAG_EVERY).await;
        let lag = begun.elapsed().saturating_sub(LAG_EVERY);
        if lag > worst + LAG_EVERY {
            worst = lag;
            recorder.record(RunEvent::Lag { ms: millis(lag) });
        }
    }
}

/// Threads that keep processors busy.
struct BusyThreads {
    ends: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl BusyThreads {
    fn start(count: usize) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let spin = |_| {
            let ends = Arc::clone(&ends);
            std::thread::spawn(move || {
                while !ends.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            })
        };
        let threads = (0..count).map(spin).collect();
        Self { ends, threads }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

//! One run, read from top to bottom in [`play`].

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use platform_standin::{FakeStore, FaultPlan, RouteText, desired_state};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::callers;
use crate::config::{REGIONS, SoakConfig, place};
use crate::error::{Error, Result};
use crate::faults::{self, FaultKind, FaultTarget, PlannedFault};
use crate::fleet::{self, SoakEntry};
use crate::history::{RunEvent, RunHistory, RunRecorder, millis};
use crate::judge;
use crate::proxy::{LinkFault, StoreProxy};
use crate::servers::{Leaving, SERVICE, ServerPark};

/// Longest wait for all entries to become ready.
const START_PATIENCE: Duration = Duration::from_secs(60);
/// Callers of each entry.
const CALLERS: usize = 2;
/// Time between two looks at whether the run's own threads are late.
const LAG_EVERY: Duration = Duration::from_millis(20);
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
/// Time within which servers are listed again after an outage of the store.
const RELIST_MS: std::ops::Range<u64> = 50..1900;
/// A starved entry runs and stands still in turn.
const STARVED_RUN: Duration = Duration::from_millis(40);
const STARVED_STOP: Duration = Duration::from_millis(360);
/// Pause of an entry between its end and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(400);
/// Time in which a planned stop must end.
const STOP_TIME: Duration = Duration::from_secs(7);
/// A link that breaks is closed for this long.
const BREAK_TIME: Duration = Duration::from_millis(30);

const BOARD: RouteText<'static> = RouteText {
    name: SERVICE,
    prefix: "/board/",
    kind: "idempotent",
    service: SERVICE,
    timeout: "3s",
};

/// Plays a run and returns what happened.
///
/// # Errors
/// Where sockets, files or processes fail, or the entries don't start.
pub(crate) fn play(config: &SoakConfig) -> Result<RunHistory> {
    let busy = BusyThreads::start(config.busy);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(run(config));
    drop(busy);
    result
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

/// Everything that runs.
struct World {
    store: FakeStore,
    park: ServerPark,
    entries: Vec<Mutex<SoakEntry>>,
    recorder: RunRecorder,
}

impl World {
    async fn start(config: &SoakConfig, folder: &Path) -> Result<Self> {
        let recorder = RunRecorder::new();
        let store = FakeStore::start().await;
        store.put("op", "config", &desired_state(5, &[BOARD]));
        let park = ServerPark::new(store.clone(), recorder.clone());
        for _ in 0..config.servers {
            park.start_one().await?;
        }
        let seeds = fleet::seeds(config.entries);
        let mut entries = Vec::new();
        for index in 0..config.entries {
            let proxy = StoreProxy::start(store.address()).await?;
            let paths = (config.program.as_path(), folder);
            let mut entry = SoakEntry::new(index, paths, proxy, &seeds, recorder.clone())?;
            entry.start()?;
            entries.push(Mutex::new(entry));
        }
        let world = Self {
            store,
            park,
            entries,
            recorder,
        };
        world.wait_ready().await?;
        Ok(world)
    }

    async fn wait_ready(&self) -> Result<()> {
        let begun = Instant::now();
        for index in 0..self.entries.len() {
            let address = self.entry(index).ready();
            while !is_ready(address).await {
                if begun.elapsed() > START_PATIENCE {
                    let text = format!("entry {index} isn't ready after {START_PATIENCE:?}");
                    return Err(Error::Start(text));
                }
                sleep(LAG_EVERY).await;
            }
        }
        Ok(())
    }

    fn start_callers(&self) -> Vec<tokio::task::JoinHandle<()>> {
        let mut callers = Vec::new();
        for index in 0..self.entries.len() {
            let address = self.entry(index).callers();
            for caller in 0..CALLERS {
                let calling = callers::call(index, caller, address, self.recorder.clone());
                callers.push(tokio::spawn(calling));
            }
        }
        callers
    }

    fn entry(&self, index: usize) -> MutexGuard<'_, SoakEntry> {
        let entry = self.entries[index].lock();
        entry.unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self) -> Result<()> {
        for index in 0..self.entries.len() {
            self.entry(index).kill()?;
        }
        Ok(())
    }

    /// The entries that `target` names now.
    fn targets(&self, target: &FaultTarget) -> Vec<usize> {
        let all = 0..self.entries.len();
        let is_in = |index: &usize, region: usize| place(*index).0 == REGIONS[region];
        match target {
            FaultTarget::Store => Vec::new(),
            FaultTarget::All => all.collect(),
            FaultTarget::Entries(entries) => entries.clone(),
            FaultTarget::Region(region) => all.filter(|index| is_in(index, *region)).collect(),
            FaultTarget::Leads(region) => all
                .filter(|index| is_in(index, *region) && self.entry(*index).leads())
                .collect(),
        }
    }

    fn fault(&self, name: &str, entry: Option<usize>) {
        let name = name.to_owned();
        self.recorder.record(RunEvent::Fault { name, entry });
    }

    fn calm(&self, entry: Option<usize>) {
        self.recorder.record(RunEvent::Calm { entry });
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    callers::status(address, "/ready").await == Some(200)
}

/// Causes `fault` and ends it.
async fn cause(world: Arc<World>, fault: PlannedFault) -> Result<()> {
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
        sleep(LAG_EVERY).await;
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
    let step =
        Duration::from_millis(RELIST_MS.end) / u32::try_from(lapsed.len().max(1)).unwrap_or(1);
    for id in lapsed {
        sleep(step).await;
        world.park.relist(&[id]);
    }
}

/// Servers leave, others come in their place; heartbeats of some that left are performed late.
async fn replace_servers(world: Arc<World>, config: SoakConfig) {
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
async fn write_rows(
    world: Arc<World>,
    server: crate::servers::SoakServer,
    row: Option<u64>,
    late: Option<u64>,
) {
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

//! Setup of a run: the store, the backend servers, the entries and their callers.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use platform_standin::{FakeStore, FaultPlan};
use tokio::time::sleep;

use crate::callers;
use crate::config::{REGIONS, SoakConfig, region_and_domain};
use crate::error::{Error, Result};
use crate::faults::FaultTarget;
use crate::fleet::{self, EntryProcess};
use crate::history::{RunEvent, RunRecorder};
use crate::operator::{DesiredStep, FIRST_VERSION, write_step};
use crate::proxy::StoreProxy;
use crate::servers::ServerPool;
use crate::{lookups, pipelines, probes, rollouts};

/// Time within which all entries must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two readiness checks of an entry.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of callers per entry.
const CALLERS_PER_ENTRY: usize = 2;

/// All components of a run.
pub(crate) struct World {
    pub(crate) store: FakeStore,
    pub(crate) server_pool: ServerPool,
    pub(crate) entries: Vec<Mutex<EntryProcess>>,
    pub(crate) recorder: RunRecorder,
    /// The newest desired state.
    pub(crate) step: DesiredStep,
    /// Number of active faults of the store.
    store_faults: AtomicU32,
    has_power: AtomicBool,
    /// Faults of the store while it has no other.
    store_plan: Mutex<FaultPlan>,
}

impl World {
    pub(crate) async fn start(config: &SoakConfig, folder: &Path) -> Result<Self> {
        let recorder = RunRecorder::new();
        let store = FakeStore::start().await;
        let step = DesiredStep::default();
        write_step(&store, &step, 1, FIRST_VERSION);
        recorder.record(RunEvent::Desired { step: 1 });
        let server_pool = ServerPool::new(store.clone(), recorder.clone(), config);
        for _ in 0..config.servers {
            server_pool.start_server().await?;
        }
        let seed_addresses = fleet::seed_addresses(config.entries);
        let mut entries = Vec::new();
        for index in 0..config.entries {
            let proxy = StoreProxy::start(store.address()).await?;
            let paths = (config.entry_program.as_path(), folder);
            let mut entry =
                EntryProcess::new(index, paths, proxy, &seed_addresses, recorder.clone())?;
            entry.start()?;
            entries.push(Mutex::new(entry));
        }
        let world = Self {
            store,
            server_pool,
            entries,
            recorder,
            step,
            store_faults: AtomicU32::default(),
            has_power: AtomicBool::new(true),
            store_plan: Mutex::default(),
        };
        world.wait_ready().await?;
        Ok(world)
    }

    async fn wait_ready(&self) -> Result<()> {
        let started = Instant::now();
        for index in 0..self.entries.len() {
            let address = self.entry(index).ready_address();
            while !is_ready(address).await {
                if started.elapsed() > START_TIMEOUT {
                    let text = format!("entry {index} is not ready after {START_TIMEOUT:?}");
                    return Err(Error::Start(text));
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    pub(crate) fn start_callers(&self) -> Vec<tokio::task::JoinHandle<()>> {
        let mut callers = Vec::new();
        for index in 0..self.entries.len() {
            let address = self.entry(index).caller_address();
            for caller in 0..CALLERS_PER_ENTRY {
                let calling = callers::run_caller(index, caller, address, self.recorder.clone());
                callers.push(tokio::spawn(calling));
            }
            let recorder = self.recorder.clone();
            let probing = probes::run_prober(index, address, self.step.clone(), recorder.clone());
            callers.push(tokio::spawn(probing));
            let pipelining = pipelines::run_pipeline(index, address, recorder.clone());
            callers.push(tokio::spawn(pipelining));
            callers.push(tokio::spawn(rollouts::run_caller(index, address, recorder)));
        }
        callers.extend(lookups::start_callers(self));
        callers
    }

    pub(crate) fn entry(&self, index: usize) -> MutexGuard<'_, EntryProcess> {
        let entry = self.entries[index].lock();
        entry.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn stop_entries(&self) -> Result<()> {
        for index in 0..self.entries.len() {
            self.entry(index).kill()?;
        }
        Ok(())
    }

    /// Resolves `target` to entry numbers. Leads are those at the time of the call.
    pub(crate) fn targets(&self, target: &FaultTarget) -> Vec<usize> {
        let all = 0..self.entries.len();
        let is_in = |index: &usize, region: usize| region_and_domain(*index).0 == REGIONS[region];
        match target {
            FaultTarget::Store => Vec::new(),
            FaultTarget::All => all.collect(),
            FaultTarget::Entries(entries) => entries.clone(),
            FaultTarget::Region(region) => all.filter(|index| is_in(index, *region)).collect(),
            FaultTarget::Leads(region) => all
                .filter(|index| is_in(index, *region) && self.entry(*index).is_lead())
                .collect(),
        }
    }

    /// Lets the store have the faults `plan` until the end of the run.
    pub(crate) fn slow_store(&self, plan: FaultPlan) {
        *self.store_plan() = plan;
        self.store.set_faults(plan);
        self.record_fault("store-slow", None);
    }

    /// Ends a fault of the store.
    pub(crate) fn restore_store(&self) {
        self.store.set_faults(*self.store_plan());
    }

    fn store_plan(&self) -> MutexGuard<'_, FaultPlan> {
        let plan = self.store_plan.lock();
        plan.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_fault(&self, name: &str, entry: Option<usize>) {
        if entry.is_none() {
            self.store_faults.fetch_add(1, Ordering::Relaxed);
        }
        let name = name.to_owned();
        self.recorder.record(RunEvent::Fault { name, entry });
    }

    pub(crate) fn record_fault_end(&self, entry: Option<usize>) {
        if entry.is_none() {
            self.store_faults.fetch_sub(1, Ordering::Relaxed);
        }
        self.recorder.record(RunEvent::Calm { entry });
    }

    /// Sets whether entries and servers have power.
    pub(crate) fn set_power(&self, has_power: bool) {
        self.has_power.store(has_power, Ordering::Relaxed);
    }

    pub(crate) fn has_power(&self) -> bool {
        self.has_power.load(Ordering::Relaxed)
    }

    pub(crate) fn is_store_faulty(&self) -> bool {
        self.store_faults.load(Ordering::Relaxed) > 0
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    matches!(callers::get(address, "/ready").await, Some((200, _)))
}

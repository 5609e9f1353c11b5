//! Everything that runs: the store, the servers, the entries and their callers.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use platform_standin::{FakeStore, RouteText, desired_state};
use tokio::time::sleep;

use crate::callers;
use crate::config::{REGIONS, SoakConfig, place};
use crate::error::{Error, Result};
use crate::faults::FaultTarget;
use crate::fleet::{self, SoakEntry};
use crate::history::{RunEvent, RunRecorder};
use crate::proxy::StoreProxy;
use crate::servers::{SERVICE, ServerPark};

/// Longest wait for all entries to become ready.
const START_PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks at whether an entry is ready.
const READY_EVERY: Duration = Duration::from_millis(20);
/// Callers of each entry.
const CALLERS: usize = 2;

const BOARD: RouteText<'static> = RouteText {
    name: SERVICE,
    prefix: "/board/",
    kind: "idempotent",
    service: SERVICE,
    timeout: "3s",
};

const DESK: RouteText<'static> = RouteText {
    name: "desk",
    prefix: "/desk/",
    kind: "non_idempotent",
    ..BOARD
};

/// Everything that runs.
pub(crate) struct World {
    pub(crate) store: FakeStore,
    pub(crate) park: ServerPark,
    pub(crate) entries: Vec<Mutex<SoakEntry>>,
    pub(crate) recorder: RunRecorder,
}

impl World {
    pub(crate) async fn start(config: &SoakConfig, folder: &Path) -> Result<Self> {
        let recorder = RunRecorder::new();
        let store = FakeStore::start().await;
        store.put("op", "config", &desired_state(5, &[BOARD, DESK]));
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
                sleep(READY_EVERY).await;
            }
        }
        Ok(())
    }

    pub(crate) fn start_callers(&self) -> Vec<tokio::task::JoinHandle<()>> {
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

    pub(crate) fn entry(&self, index: usize) -> MutexGuard<'_, SoakEntry> {
        let entry = self.entries[index].lock();
        entry.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn end(&self) -> Result<()> {
        for index in 0..self.entries.len() {
            self.entry(index).kill()?;
        }
        Ok(())
    }

    /// The entries that `target` names now.
    pub(crate) fn targets(&self, target: &FaultTarget) -> Vec<usize> {
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

    pub(crate) fn fault(&self, name: &str, entry: Option<usize>) {
        let name = name.to_owned();
        self.recorder.record(RunEvent::Fault { name, entry });
    }

    pub(crate) fn calm(&self, entry: Option<usize>) {
        self.recorder.record(RunEvent::Calm { entry });
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    callers::status(address, "/ready").await == Some(200)
}

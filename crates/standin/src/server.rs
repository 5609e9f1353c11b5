//! Simulated backend server: slots, a short queue, cold start, drain and load shedding.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Factor by which service times are longer during a cold start.
const COLD_START_FACTOR: f64 = 3.0;
/// Length of the queue, as a multiple of the slots.
const QUEUE_SLOTS_RATIO: usize = 2;
/// Requests that arrive later than this after a server started to leave are counted as late.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

base::common! {
    /// Mode of a server.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServerMode {
        /// It accepts requests.
        Ready,
        /// It is draining: running requests are finished, and no new ones should arrive.
        Leaving,
        /// It does not respond.
        Down,
    }

    /// State of a server, as returned by the control interface.
    pub struct ServerView {
        /// Address of the server.
        pub address: String,
        /// Current mode.
        pub mode: ServerMode,
        /// Number of running requests.
        pub in_use: u16,
        /// Largest number of requests that ran at the same time.
        pub peak: u16,
        /// Number of slots.
        pub slots: u16,
        /// Number of requests that were shed because slots and queue were full.
        pub shed: u64,
        /// Number of requests that arrived late while it was leaving.
        pub while_leaving: u64,
        /// Number of executed requests.
        pub runs: u64,
    }
}

/// Configuration of a server.
#[derive(Debug, Clone)]
pub struct BackendSpec {
    /// Address of the server.
    pub address: String,
    /// Number of requests that can run at the same time.
    pub slots: u16,
    /// Mean service time of a warm server. Service times are exponentially distributed.
    pub service_time: Duration,
    /// Duration of the cold start.
    pub cold_time: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

#[derive(Debug)]
struct BackendState {
    mode: ServerMode,
    incarnation: u64,
    started: Instant,
    in_use: u16,
    waiting: usize,
    peak: u16,
    shed: u64,
    while_leaving: u64,
    leaving_since: Option<Instant>,
    runs: HashMap<String, u32>,
    rng: ChaCha8Rng,
}

/// A simulated backend server without sockets.
#[derive(Debug, Clone)]
pub struct BackendSim {
    spec: Arc<BackendSpec>,
    state: Arc<Mutex<BackendState>>,
    slots: Arc<Semaphore>,
}

/// State that a server reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendReport {
    /// Number of the run; incremented with each start.
    pub incarnation: u64,
    /// Current mode.
    pub mode: ServerMode,
    /// Remaining time of the cold start.
    pub cold_remaining: Duration,
    /// Number of running requests.
    pub running: u16,
    /// Number of queued requests.
    pub waiting: usize,
}

/// A place in the queue, released on drop.
struct QueueGuard(BackendSim);

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// A slot in use, released on drop.
#[derive(Debug)]
pub struct SlotGuard {
    backend: BackendSim,
    _permit: OwnedSemaphorePermit,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.backend.lock().in_use -= 1;
    }
}

impl BackendSim {
    /// Creates a server that has just started.
    pub fn new(spec: BackendSpec) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(spec.seed);
        Self {
            state: Arc::new(Mutex::new(BackendState {
                mode: ServerMode::Ready,
                incarnation: 1,
                started: Instant::now(),
                in_use: 0,
                waiting: 0,
                peak: 0,
                shed: 0,
                while_leaving: 0,
                leaving_since: None,
                runs: HashMap::new(),
                rng,
            })),
            slots: Arc::new(Semaphore::new(usize::from(spec.slots))),
            spec: Arc::new(spec),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Configuration of the server.
    pub fn spec(&self) -> &BackendSpec {
        &self.spec
    }

    /// Current mode.
    pub fn mode(&self) -> ServerMode {
        self.lock().mode
    }

    /// Sets the mode. A change from [`ServerMode::Down`] to [`ServerMode::Ready`] is a new start.
    pub fn set_mode(&self, mode: ServerMode) {
        let mut state = self.lock();
        if state.mode == ServerMode::Down && mode == ServerMode::Ready {
            state.incarnation += 1;
            state.started = Instant::now();
        }
        state.leaving_since = (mode == ServerMode::Leaving).then(Instant::now);
        state.mode = mode;
    }

    /// State that the server reports about itself.
    pub fn report(&self) -> BackendReport {
        let state = self.lock();
        BackendReport {
            incarnation: state.incarnation,
            mode: state.mode,
            cold_remaining: self.spec.cold_time.saturating_sub(state.started.elapsed()),
            running: state.in_use,
            waiting: state.waiting,
        }
    }

    /// Waits for a free slot and starts the request `id`. Returns the slot and the service time,
    /// or `None` if the request was shed, and not executed, because slots and queue are full.
    pub async fn start(&self, id: &str) -> Option<(SlotGuard, Duration)> {
        let queue_guard = self.enqueue()?;
        let permit = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        drop(queue_guard);
        let mut state = self.lock();
        state.in_use += 1;
        state.peak = state.peak.max(state.in_use);
        *state.runs.entry(id.to_owned()).or_default() += 1;
        let is_cold = state.started.elapsed() < self.spec.cold_time;
        let factor = if is_cold { COLD_START_FACTOR } else { 1.0 };
        let draw: f64 = state.rng.random();
        let service_time = self.spec.service_time.mul_f64(-(1.0 - draw).ln() * factor);
        drop(state);
        let slot = SlotGuard {
            backend: self.clone(),
            _permit: permit,
        };
        Some((slot, service_time))
    }

    fn enqueue(&self) -> Option<QueueGuard> {
        let mut state = self.lock();
        let is_late = state
            .leaving_since
            .is_some_and(|since| since.elapsed() > LEAVING_GRACE);
        state.while_leaving += u64::from(is_late);
        let slots = usize::from(self.spec.slots);
        if usize::from(state.in_use) + state.waiting >= slots * (1 + QUEUE_SLOTS_RATIO) {
            state.shed += 1;
            return None;
        }
        state.waiting += 1;
        Some(QueueGuard(self.clone()))
    }

    /// Number of executions by request id.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().runs.clone()
    }

    /// State for the control interface.
    pub fn view(&self) -> ServerView {
        let state = self.lock();
        ServerView {
            address: self.spec.address.clone(),
            mode: state.mode,
            in_use: state.in_use,
            peak: state.peak,
            slots: self.spec.slots,
            shed: state.shed,
            while_leaving: state.while_leaving,
            runs: state.runs.values().map(|count| u64::from(*count)).sum(),
        }
    }
}

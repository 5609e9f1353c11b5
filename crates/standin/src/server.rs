//! A backend server: slots, a short queue, cold start, drain, and shedding.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Factor on service times right after a start.
const COLD_START_FACTOR: f64 = 3.0;
/// Requests that wait at most, as a multiple of the slots.
const QUEUE_SLOTS_RATIO: usize = 2;
/// Requests that come this long after a server began to leave count as late.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

base::common! {
    /// What a server is doing.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServerMode {
        /// It takes work.
        Ready,
        /// It finishes its work and takes none.
        Leaving,
        /// It answers nothing.
        Down,
    }

    /// What is told of a server to whoever judges a run.
    pub struct ServerView {
        /// Its address.
        pub address: String,
        /// What it is doing.
        pub mode: ServerMode,
        /// Requests it is running.
        pub in_use: u16,
        /// Most requests it ever ran at once.
        pub peak: u16,
        /// Its slots.
        pub slots: u16,
        /// Requests that were shed, since slots and queue were full.
        pub shed: u64,
        /// Requests that came while it was leaving.
        pub while_leaving: u64,
        /// Requests that it ran.
        pub runs: u64,
    }
}

/// What a server is like.
#[derive(Debug, Clone)]
pub struct BackendSpec {
    /// Its address.
    pub address: String,
    /// Requests at once.
    pub slots: u16,
    /// Mean service time when warm; times are exponential.
    pub service_time: Duration,
    /// Time after a start in which it is slower.
    pub cold_time: Duration,
    /// Seed of its service times.
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

/// A backend server without its sockets.
#[derive(Debug, Clone)]
pub struct BackendSim {
    spec: Arc<BackendSpec>,
    state: Arc<Mutex<BackendState>>,
    slots: Arc<Semaphore>,
}

/// What a server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendReport {
    /// Its run; rises with each start.
    pub incarnation: u64,
    /// Whether it takes requests.
    pub mode: ServerMode,
    /// How much longer it is slower.
    pub cold_remaining: Duration,
    /// Requests that run.
    pub running: u16,
    /// Requests that wait.
    pub waiting: usize,
}

/// A place in the queue, given up when dropped.
struct QueueGuard(BackendSim);

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// A slot in use, given back when dropped.
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
    /// A server that has just started.
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

    /// What it is like.
    pub fn spec(&self) -> &BackendSpec {
        &self.spec
    }

    /// What it is doing.
    pub fn mode(&self) -> ServerMode {
        self.lock().mode
    }

    /// Changes what it is doing. Coming back from [`ServerMode::Down`] is a new start.
    pub fn set_mode(&self, mode: ServerMode) {
        let mut state = self.lock();
        if state.mode == ServerMode::Down && mode == ServerMode::Ready {
            state.incarnation += 1;
            state.started = Instant::now();
        }
        state.leaving_since = (mode == ServerMode::Leaving).then(Instant::now);
        state.mode = mode;
    }

    /// What it says of itself.
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

    /// Starts running the request `id` when a slot is free; `None` where slots and
    /// queue are full, so that it is shed and was not run. Gives the slot and how long
    /// the work takes.
    pub async fn start(&self, id: &str) -> Option<(SlotGuard, Duration)> {
        let queue_guard = self.enqueue()?;
        let permit = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        drop(queue_guard);
        let mut state = self.lock();
        state.in_use += 1;
        state.peak = state.peak.max(state.in_use);
        *state.runs.entry(id.to_owned()).or_default() += 1;
        let cold = state.started.elapsed() < self.spec.cold_time;
        let factor = if cold { COLD_START_FACTOR } else { 1.0 };
        let draw: f64 = state.rng.random();
        let time = self.spec.service_time.mul_f64(-(1.0 - draw).ln() * factor);
        drop(state);
        let slot = SlotGuard {
            backend: self.clone(),
            _permit: permit,
        };
        Some((slot, time))
    }

    fn enqueue(&self) -> Option<QueueGuard> {
        let mut state = self.lock();
        let late = state
            .leaving_since
            .is_some_and(|since| since.elapsed() > LEAVING_GRACE);
        state.while_leaving += u64::from(late);
        let slots = usize::from(self.spec.slots);
        if usize::from(state.in_use) + state.waiting >= slots * (1 + QUEUE_SLOTS_RATIO) {
            state.shed += 1;
            return None;
        }
        state.waiting += 1;
        Some(QueueGuard(self.clone()))
    }

    /// How often each request was run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().runs.clone()
    }

    /// What is told of it.
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

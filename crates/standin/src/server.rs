//! A backend server: slots, cold start, drain, shedding, and reports that may mislead.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use steer::{ProbeReport, ServerState};
use tokio::time::Instant;

/// Factor on service times right after a start.
const COLD_FACTOR: f64 = 3.0;

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
        /// Requests that came while every slot was taken.
        pub overbooked: u64,
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
    peak: u16,
    overbooked: u64,
    while_leaving: u64,
    leaving_since: Option<Instant>,
    reported_slots: Option<u16>,
    runs: HashMap<String, u32>,
    rng: ChaCha8Rng,
}

/// A backend server without its sockets.
#[derive(Debug, Clone)]
pub struct BackendSim {
    spec: Arc<BackendSpec>,
    state: Arc<Mutex<BackendState>>,
}

/// A slot in use, given back when dropped.
#[derive(Debug)]
pub struct SlotGuard(BackendSim);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.in_use = state.in_use.saturating_sub(1);
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
                peak: 0,
                overbooked: 0,
                while_leaving: 0,
                leaving_since: None,
                reported_slots: None,
                runs: HashMap::new(),
                rng,
            })),
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

    /// Lets the report claim another number of slots.
    pub fn mislead(&self, slots: Option<u16>) {
        self.lock().reported_slots = slots;
    }

    /// The answer to a probe.
    pub fn report(&self) -> ProbeReport {
        let state = self.lock();
        ProbeReport {
            incarnation: state.incarnation,
            state: match state.mode {
                ServerMode::Ready => ServerState::Ready,
                _ => ServerState::Leaving,
            },
            uptime_ms: u64::try_from(state.started.elapsed().as_millis()).unwrap_or(u64::MAX),
            slots: state.reported_slots.unwrap_or(self.spec.slots),
            in_use: state.in_use,
        }
    }

    /// Starts running the request `id`; `None` where every slot is taken, so that it
    /// is shed and was not run.
    pub fn start(&self, id: &str) -> Option<(SlotGuard, Duration)> {
        const LEAVING_GRACE: Duration = Duration::from_secs(2);
        let mut state = self.lock();
        let late = state
            .leaving_since
            .is_some_and(|since| since.elapsed() > LEAVING_GRACE);
        state.while_leaving += u64::from(late);
        if state.in_use >= self.spec.slots {
            state.overbooked += 1;
            return None;
        }
        state.in_use += 1;
        state.peak = state.peak.max(state.in_use);
        *state.runs.entry(id.to_owned()).or_default() += 1;
        let cold = state.started.elapsed() < self.spec.cold_time;
        let factor = if cold { COLD_FACTOR } else { 1.0 };
        let draw: f64 = state.rng.random();
        let time = self.spec.service_time.mul_f64(-(1.0 - draw).ln() * factor);
        drop(state);
        Some((SlotGuard(self.clone()), time))
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
            overbooked: state.overbooked,
            while_leaving: state.while_leaving,
            runs: state.runs.values().map(|count| u64::from(*count)).sum(),
        }
    }
}

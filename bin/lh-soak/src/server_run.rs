//! One run of a backend server's process: its end, its slots, and its cold start.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, SemaphorePermit, watch};

use crate::config::{COLD_BURST, COLD_WARMUP};

/// Number of requests that a server with limited slots runs at the same time.
pub(crate) const SLOTS: usize = 4;
/// Number of requests that wait there for a slot; further ones are rejected.
const QUEUE: usize = 8;
/// Factor by which requests take longer on a cold server.
const COLD_FACTOR: u32 = 2;
/// Window over which the requests to a cold server are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// What a server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It executes the request when a slot is free.
    Accepted,
    /// Its slots and its queue are full.
    Full,
    /// It was cold and got too many requests: its process ends.
    Crashed,
}

/// A run of a server's process.
#[derive(Debug)]
pub(crate) struct ServerRun {
    ended: watch::Sender<bool>,
    /// Whether its connections stay open after its end, and carry nothing more.
    leaves_connections: AtomicBool,
    cold_until: Option<Instant>,
    silent_until: Option<Instant>,
    cold_arrivals: Mutex<VecDeque<Instant>>,
    /// `None` if the slots are not limited.
    slots: Option<Semaphore>,
    in_use: AtomicUsize,
}

/// A request that a server executes.
#[derive(Debug)]
pub(crate) struct RunningRequest<'a> {
    run: &'a ServerRun,
    _permit: Option<SemaphorePermit<'a>>,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.run.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerRun {
    /// A run that is warm from the start. `has_slots` tells whether its slots are limited.
    pub(crate) fn new(has_slots: bool) -> Self {
        Self {
            ended: watch::Sender::new(false),
            leaves_connections: AtomicBool::new(false),
            cold_until: None,
            silent_until: None,
            cold_arrivals: Mutex::default(),
            slots: has_slots.then(|| Semaphore::new(SLOTS)),
            in_use: AtomicUsize::default(),
        }
    }

    /// Lets the run be cold for [`COLD_WARMUP`] from now on.
    pub(crate) fn with_cold_start(mut self) -> Self {
        self.cold_until = Some(Instant::now() + COLD_WARMUP);
        self
    }

    /// Lets the run answer nothing for `silence` from now on.
    pub(crate) fn with_silence(mut self, silence: Duration) -> Self {
        self.silent_until = Some(Instant::now() + silence);
        self
    }

    /// Waits until the run answers.
    pub(crate) async fn wait_answering(&self) {
        if let Some(until) = self.silent_until {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Ends the run with all its connections.
    pub(crate) fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Ends the run as a loss of power does: nobody closes its connections.
    pub(crate) fn end_silently(&self) {
        self.leaves_connections.store(true, Ordering::Relaxed);
        self.end();
    }

    /// Waits until the connections of the run are closed.
    pub(crate) async fn wait_closed(&self) {
        self.wait_end().await;
        if self.leaves_connections.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Waits until the run ends.
    pub(crate) async fn wait_end(&self) {
        let mut ended = self.ended.subscribe();
        // The sender lives as long as `self`.
        let _ = ended.wait_for(|ended| *ended).await;
    }

    /// Time for which it stays cold.
    pub(crate) fn cold_remaining(&self) -> Duration {
        self.cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Factor by which requests take longer now.
    pub(crate) fn slowdown(&self) -> u32 {
        if self.cold_remaining().is_zero() {
            1
        } else {
            COLD_FACTOR
        }
    }

    /// Running and waiting requests, and slots, as servers state them.
    pub(crate) fn load(&self) -> String {
        let in_use = self.in_use.load(Ordering::Relaxed);
        match self.slots {
            Some(_) => {
                let running = in_use.min(SLOTS);
                format!("{running},{},{SLOTS}", in_use - running)
            }
            None => "0,0,8".to_owned(),
        }
    }

    /// Decides on a request that has just arrived.
    pub(crate) fn admit(&self) -> Admission {
        if !self.cold_remaining().is_zero() {
            let now = Instant::now();
            let arrivals = self.cold_arrivals.lock();
            let mut arrivals = arrivals.unwrap_or_else(PoisonError::into_inner);
            arrivals.retain(|at| now.saturating_duration_since(*at) < COLD_WINDOW);
            arrivals.push_back(now);
            if arrivals.len() > COLD_BURST {
                return Admission::Crashed;
            }
        }
        let is_full = self.slots.is_some() && self.in_use.load(Ordering::Relaxed) >= SLOTS + QUEUE;
        if is_full {
            Admission::Full
        } else {
            Admission::Accepted
        }
    }

    /// Waits for a slot.
    pub(crate) async fn start_request(&self) -> RunningRequest<'_> {
        self.in_use.fetch_add(1, Ordering::Relaxed);
        let mut request = RunningRequest {
            run: self,
            _permit: None,
        };
        if let Some(slots) = &self.slots {
            request._permit = slots.acquire().await.ok();
        }
        request
    }
}

//! The model of a backend server: slots, a queue, and a cache of objects.

use std::collections::VecDeque;
use std::time::Duration;

use place::server::ServerReport;
use place::statement::{LimitStatement, ServerStatement};

use crate::experiment::FaultKind;

/// A request that runs or waits at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    /// Index of the attempt.
    pub(crate) attempt: usize,
    /// The object that the request is for.
    pub(crate) object: u64,
}

/// A server without a clock: the caller decides when work ends.
#[derive(Debug)]
pub(crate) struct ModelServer {
    slots: usize,
    queue: usize,
    cache_size: usize,
    running: usize,
    waiting: VecDeque<Job>,
    cache: VecDeque<u64>,
    pub(crate) down: bool,
    pub(crate) slowdown: f64,
    pub(crate) shed_share: f64,
    pub(crate) limit: Option<f64>,
    pub(crate) rest: Option<Duration>,
    pub(crate) leaving: bool,
}

impl ModelServer {
    /// Applies a fault or ends it.
    pub(crate) fn set_fault(&mut self, kind: FaultKind, is_start: bool) {
        match kind {
            FaultKind::Down if is_start => self.crash(),
            FaultKind::Down => self.down = false,
            FaultKind::Slow(factor) => self.slowdown = if is_start { factor } else { 1.0 },
            FaultKind::Shed(share) => self.shed_share = if is_start { share } else { 0.0 },
            FaultKind::Rest(secs) => self.rest = is_start.then(|| Duration::from_secs_f64(secs)),
            FaultKind::Leaving => self.leaving |= is_start,
            FaultKind::Limit(rate) => self.limit = is_start.then_some(rate),
        }
    }

    pub(crate) fn new(slots: usize, queue: usize, cache_size: usize) -> Self {
        Self {
            slots,
            queue,
            cache_size,
            running: 0,
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            down: false,
            slowdown: 1.0,
            shed_share: 0.0,
            limit: None,
            rest: None,
            leaving: false,
        }
    }

    /// Accepts `job`: `Some(true)` if it runs in a slot, `Some(false)` if it waits in the
    /// queue, `None` if it is rejected.
    pub(crate) fn accept(&mut self, job: Job) -> Option<bool> {
        if self.rest.is_some() {
            return None;
        }
        if self.running < self.slots {
            self.running += 1;
            return Some(true);
        }
        if self.waiting.len() >= self.queue {
            return None;
        }
        self.waiting.push_back(job);
        Some(false)
    }

    /// Frees a slot and returns the queued job that takes it, if any.
    pub(crate) fn release(&mut self) -> Option<Job> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Removes a job from the queue; returns whether it was there.
    pub(crate) fn cancel(&mut self, attempt: usize) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|job| job.attempt != attempt);
        before != self.waiting.len()
    }

    /// Accesses `object` and returns whether it was cached; evicts the least recently used
    /// object if the cache is full.
    pub(crate) fn access(&mut self, object: u64) -> bool {
        let position = self.cache.iter().position(|cached| *cached == object);
        if let Some(position) = position {
            self.cache.remove(position);
        }
        self.cache.push_back(object);
        if self.cache.len() > self.cache_size {
            self.cache.pop_front();
        }
        position.is_some()
    }

    /// Stops the server; it loses its jobs and its cache.
    fn crash(&mut self) {
        self.down = true;
        self.running = 0;
        self.cache.clear();
        self.waiting.clear();
    }

    /// What an answer says of it: that to an accepted request, or that to a rejected one.
    pub(crate) fn statement(&self, is_accepted: bool) -> ServerStatement {
        let limit = self
            .limit
            .map_or(LimitStatement::Unlimited, LimitStatement::Limited);
        ServerStatement {
            limit,
            leaving: self.leaving,
            rest: self.rest.filter(|_| !is_accepted),
        }
    }

    pub(crate) fn report(&self) -> ServerReport {
        ServerReport {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
        }
    }
}

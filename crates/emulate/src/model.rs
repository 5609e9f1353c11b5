//! A backend server: slots, a queue, and the objects that it holds.

use std::collections::VecDeque;

use place::server::ServerReport;

use crate::experiment::FaultKind;

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    /// Index of the attempt.
    pub(crate) attempt: usize,
    /// The object that it concerns.
    pub(crate) object: u64,
}

/// A server without time: whoever runs it says when work ends.
#[derive(Debug)]
pub(crate) struct ModelServer {
    slots: usize,
    queue: usize,
    holds: usize,
    running: usize,
    waiting: VecDeque<Job>,
    held: VecDeque<u64>,
    pub(crate) down: bool,
    pub(crate) slowness: f64,
    pub(crate) shed_share: f64,
}

impl ModelServer {
    /// Lets a fault begin or end.
    pub(crate) fn set_fault(&mut self, kind: FaultKind, begins: bool) {
        match kind {
            FaultKind::Down if begins => self.crash(),
            FaultKind::Down => self.down = false,
            FaultKind::Slow(times) => self.slowness = if begins { times } else { 1.0 },
            FaultKind::Shed(share) => self.shed_share = if begins { share } else { 0.0 },
        }
    }

    pub(crate) fn new(slots: usize, queue: usize, holds: usize) -> Self {
        Self {
            slots,
            queue,
            holds,
            running: 0,
            waiting: VecDeque::new(),
            held: VecDeque::new(),
            down: false,
            slowness: 1.0,
            shed_share: 0.0,
        }
    }

    /// Takes `job` into a slot (`Some(true)`), into the queue, or rejects it.
    pub(crate) fn accept(&mut self, job: Job) -> Option<bool> {
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

    /// A slot is free again; the next job that takes it.
    pub(crate) fn release(&mut self) -> Option<Job> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Drops a job that still waits; whether it did.
    pub(crate) fn cancel(&mut self, attempt: usize) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|job| job.attempt != attempt);
        before != self.waiting.len()
    }

    /// Uses `object`; whether it was held. The one not used for longest leaves.
    pub(crate) fn touch(&mut self, object: u64) -> bool {
        let position = self.held.iter().position(|held| *held == object);
        if let Some(position) = position {
            self.held.remove(position);
        }
        self.held.push_back(object);
        if self.held.len() > self.holds {
            self.held.pop_front();
        }
        position.is_some()
    }

    /// Loses everything.
    fn crash(&mut self) {
        self.down = true;
        self.running = 0;
        self.held.clear();
        self.waiting.clear();
    }

    pub(crate) fn report(&self) -> ServerReport {
        ServerReport {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
        }
    }
}

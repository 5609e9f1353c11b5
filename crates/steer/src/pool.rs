//! One service at a region's door: its rights, its queue and its open asks.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use base::rate::SmoothMean;
use conf::Service;

use crate::event::{Arrival, RequestId};
use crate::message::AskId;
use crate::rights::RightsBook;

/// Weight of one new service time in the mean.
const MEAN_GAIN: f64 = 0.05;
/// Mean service times that must be left of the deadline when a request gets its slot.
const SERVICE_MARGIN: f64 = 3.0;
/// Largest part of the whole deadline that the margin may take.
const MARGIN_SHARE: f64 = 0.6;

/// A request that waits for a right.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) arrival: Arrival,
    pub(crate) since: Instant,
}

/// A peer's ask that waits for a spare right.
#[derive(Debug, Clone)]
pub(crate) struct PeerAsk {
    pub(crate) from: NodeId,
    pub(crate) ask: AskId,
    pub(crate) term: Duration,
    pub(crate) since: Instant,
    pub(crate) until: Instant,
}

/// An ask of ours that may still be granted.
#[derive(Debug, Clone)]
pub(crate) struct OpenAsk {
    pub(crate) lender: NodeId,
    pub(crate) sent: Instant,
    pub(crate) term: Duration,
}

/// A request that a backend server is working on.
#[derive(Debug, Clone)]
pub(crate) struct RunningRequest {
    pub(crate) server: ServerId,
    pub(crate) since: Instant,
}

/// State of one service at one instance.
#[derive(Debug, Clone)]
pub(crate) struct PoolGate {
    pub(crate) service: Service,
    pub(crate) rights: RightsBook,
    pub(crate) queue: VecDeque<WaitingRequest>,
    pub(crate) running: HashMap<RequestId, RunningRequest>,
    pub(crate) asks: HashMap<AskId, OpenAsk>,
    pub(crate) withdrawn: HashMap<AskId, Instant>,
    pub(crate) peer_asks: VecDeque<PeerAsk>,
    mean_seconds: SmoothMean,
}

impl PoolGate {
    pub(crate) fn new(service: &Service) -> Self {
        Self {
            service: service.clone(),
            rights: RightsBook::new(),
            queue: VecDeque::new(),
            running: HashMap::new(),
            asks: HashMap::new(),
            withdrawn: HashMap::new(),
            peer_asks: VecDeque::new(),
            mean_seconds: SmoothMean::new(service.service_time.as_secs_f64(), MEAN_GAIN),
        }
    }

    /// Mean time that a backend server takes.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds.value().max(0.0))
    }

    /// Counts a service time.
    pub(crate) fn record_run(&mut self, held: Duration) {
        self.mean_seconds.record(held.as_secs_f64());
    }

    /// Time that must be left when a request gets its slot, for its answer to be useful.
    pub(crate) fn margin(&self) -> Duration {
        let most = self.service.deadline.mul_f64(MARGIN_SHARE);
        self.mean().mul_f64(SERVICE_MARGIN).min(most)
    }

    /// Expected wait of a request that joins the queue now.
    pub(crate) fn expected_wait(&self) -> Duration {
        let ahead = self.queue.len() + 1;
        let parallel = self.rights.in_flight().max(1);
        self.mean().mul_f64(ahead as f64 / parallel as f64)
    }

    /// Whether a request with `deadline` would still be useful if it joined the queue.
    pub(crate) fn can_wait(&self, now: Instant, deadline: Instant) -> bool {
        self.queue.len() < self.service.queue
            && now + self.expected_wait() + self.margin() <= deadline
    }

    /// Whether a waiting request has become useless.
    pub(crate) fn is_hopeless(&self, now: Instant, waiting: &WaitingRequest) -> bool {
        let margin = self.mean().min(self.service.deadline.mul_f64(MARGIN_SHARE));
        now + margin > waiting.arrival.deadline
    }

    /// Removes `request` from the queue.
    pub(crate) fn abandon(&mut self, request: RequestId) -> bool {
        let before = self.queue.len();
        self.queue
            .retain(|waiting| waiting.arrival.request != request);
        self.queue.len() < before
    }

    /// Whether the first waiting request came before the first ask of a peer.
    pub(crate) fn own_first(&self) -> bool {
        match (self.queue.front(), self.peer_asks.front()) {
            (Some(own), Some(ask)) => own.since <= ask.since,
            (Some(_), None) => true,
            _ => false,
        }
    }
}

//! One service at a region's door: its rights, its queue and its open asks.

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::prelude::*;
use base::rate::SmoothMean;
use conf::{Repeat, Service};

use crate::event::{Arrival, RequestId};
use crate::message::AskId;
use crate::rights::RightsBook;

/// Weight of one new service time in the mean.
const MEAN_GAIN: f64 = 0.05;
/// Mean service times that must be left of the deadline when a request gets its slot.
const SERVICE_MARGIN: f64 = 3.0;
/// The same for requests that must not repeat: one that is late has an unknown outcome.
const ONCE_MARGIN: f64 = 8.0;
/// Largest part of the whole deadline that the margin may take.
const MARGIN_SHARE: f64 = 0.6;

/// Weight of one new wait in the correction of expected waits.
const CORRECTION_GAIN: f64 = 0.05;
/// Bounds of one sample of the correction.
const CORRECTION_RANGE: (f64, f64) = (0.05, 1.5);
/// Part of the margin below which a waiting request is given up.
const HOPELESS_PART: f64 = 0.67;

/// A request that waits for a right.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) arrival: Arrival,
    pub(crate) since: Instant,
    /// The wait that was expected, before correction.
    pub(crate) predicted: Duration,
}

/// A peer's ask that waits for a spare right.
#[derive(Debug, Clone)]
pub(crate) struct PeerAsk {
    pub(crate) from: NodeId,
    pub(crate) ask: AskId,
    pub(crate) term: Duration,
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
    pub(crate) server: BackendServerId,
    pub(crate) since: Instant,
}

/// State of one service at one instance.
#[derive(Debug, Clone)]
pub(crate) struct PoolGate {
    pub(crate) service: Service,
    pub(crate) rights: RightsBook,
    pub(crate) queue: VecDeque<WaitingRequest>,
    pub(crate) running: HashMap<RequestId, RunningRequest>,
    pub(crate) asks: BTreeMap<AskId, OpenAsk>,
    pub(crate) withdrawn: HashMap<AskId, Instant>,
    pub(crate) peer_asks: VecDeque<PeerAsk>,
    /// Aborted runs, whose backend server may notice a little later.
    pub(crate) cooling: VecDeque<(Instant, RequestId)>,
    /// Mean time of an answered run.
    run_seconds: SmoothMean,
    /// Mean time for which any run holds its slot, aborted ones included.
    hold_seconds: SmoothMean,
    /// Real waits as a part of those that own rights alone would give: peers help.
    correction: SmoothMean,
}

impl PoolGate {
    pub(crate) fn new(service: &Service) -> Self {
        Self {
            service: service.clone(),
            rights: RightsBook::new(),
            queue: VecDeque::new(),
            running: HashMap::new(),
            asks: BTreeMap::new(),
            withdrawn: HashMap::new(),
            peer_asks: VecDeque::new(),
            cooling: VecDeque::new(),
            run_seconds: SmoothMean::new(service.service_time.as_secs_f64(), MEAN_GAIN),
            hold_seconds: SmoothMean::new(service.service_time.as_secs_f64(), MEAN_GAIN),
            correction: SmoothMean::new(1.0, CORRECTION_GAIN),
        }
    }

    /// Whether nobody waits here for a right, and nothing is borrowed or asked for.
    pub(crate) fn is_quiet(&self) -> bool {
        self.queue.is_empty()
            && self.peer_asks.is_empty()
            && self.asks.is_empty()
            && !self.rights.is_borrowing()
    }

    /// Mean time that a backend server takes.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.run_seconds.value().max(0.0))
    }

    /// Counts a run that held its slot for `held` and was answered, or not.
    pub(crate) fn record_run(&mut self, held: Duration, answered: bool) {
        self.hold_seconds.record(held.as_secs_f64());
        if answered {
            self.run_seconds.record(held.as_secs_f64());
        }
    }

    /// Time that must be left when a request gets its slot, for its answer to be useful.
    pub(crate) fn margin(&self) -> Duration {
        let most = self.service.deadline.mul_f64(MARGIN_SHARE);
        let factor = match self.service.repeat {
            Repeat::Idempotent => SERVICE_MARGIN,
            Repeat::AtMostOnce => ONCE_MARGIN,
        };
        self.mean().mul_f64(factor).min(most)
    }

    /// Expected wait of a request that joins the queue now.
    pub(crate) fn expected_wait(&self) -> Duration {
        self.predicted_wait().mul_f64(self.correction.value())
    }

    /// Wait behind the queue if only the rights at hand worked through it; as if
    /// there were one where there is none.
    pub(crate) fn predicted_wait(&self) -> Duration {
        let ahead = self.queue.len() + 1;
        let share = ahead as f64 / self.parallel().max(1) as f64;
        Duration::from_secs_f64(self.hold_seconds.value().max(0.0) * share)
    }

    /// Learns from a wait that has ended.
    pub(crate) fn record_wait(&mut self, now: Instant, waiting: &WaitingRequest) {
        let waited = now.saturating_duration_since(waiting.since).as_secs_f64();
        let ratio = waited / waiting.predicted.as_secs_f64().max(1e-6);
        let (least, most) = CORRECTION_RANGE;
        self.correction.record(ratio.clamp(least, most));
    }

    /// Rights that work through the queue: the own ones, or those in use where
    /// borrowed ones make them more.
    fn parallel(&self) -> usize {
        self.rights
            .in_flight()
            .max(usize::from(self.rights.owned()))
    }

    /// Whether a request with `deadline` would still be useful if it joined the queue:
    /// in time, and without a wait that alone breaks the latency objective. Without any
    /// right in sight nothing would ever end its wait.
    pub(crate) fn can_wait(&self, now: Instant, deadline: Instant, peers_spare: bool) -> bool {
        let wait = self.expected_wait();
        (peers_spare || self.parallel() > 0)
            && self.queue.len() < self.service.queue
            && wait <= self.service.objective.latency
            && now + wait + self.margin() <= deadline
    }

    /// Whether a waiting request has become useless.
    pub(crate) fn is_hopeless(&self, now: Instant, waiting: &WaitingRequest) -> bool {
        now + self.margin().mul_f64(HOPELESS_PART) > waiting.arrival.deadline
    }

    /// Gives up asks that nobody granted in time; a grant that still comes is returned.
    pub(crate) fn give_up_asks(&mut self, now: Instant) {
        let age = self.service.deadline;
        let withdrawn = &mut self.withdrawn;
        self.asks.retain(|ask, open| {
            let waits = now.saturating_duration_since(open.sent) < age;
            if !waits {
                withdrawn.insert(*ask, now);
            }
            waits
        });
    }

    /// Frees the slots of aborted runs whose grace is over.
    pub(crate) fn end_cooling(&mut self, now: Instant) {
        while let Some((_, request)) = self.cooling.front().copied().filter(|(at, _)| *at <= now) {
            self.cooling.pop_front();
            self.rights.finish(request);
        }
    }

    /// Removes `request` from the queue.
    pub(crate) fn abandon(&mut self, request: RequestId) -> bool {
        let before = self.queue.len();
        self.queue
            .retain(|waiting| waiting.arrival.request != request);
        self.queue.len() < before
    }
}

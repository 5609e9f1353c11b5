//! Compares the servers that could take a request.

use std::time::Instant;

use crate::catalog::ServerHandle;
use crate::limits::shift::ShiftLimiter;
use crate::placing::candidates::{Candidate, RankScope};
use crate::placing::timing::millis;
use crate::placing::work::RouteWork;
use crate::request::{PlacementReason, PlacementRequest, RefusalReason};
use crate::returns::waits;
use crate::server::ServerRecord;

/// Maximum number of requests at a server that may get more, as a multiple of its slots. Beyond
/// this, queueing makes the requests behind miss their objective.
const MAX_LOAD_FACTOR: f64 = 2.5;
/// The same for resubmitted requests, since callers give up after a second refusal, and for
/// requests restricted by the shift cap.
const RESUBMIT_LOAD_FACTOR: f64 = 3.0;
/// Reduction of the load factor per priority level, which leaves capacity for urgent requests.
const LOAD_FACTOR_PRIORITY_STEP: f64 = 0.15;
/// A new request queues only if its answer is expected within this multiple of its objective.
/// Beyond this, it would make the requests behind it late as well.
const OBJECTIVE_FACTOR: f64 = 1.0;
/// Reduction of the objective factor per priority level.
const OBJECTIVE_PRIORITY_STEP: f64 = 0.1;
/// A resubmitted request queues if its answer is expected within this share of its remaining
/// time. The first value applies while few requests are resubmitted, so that hardly any is
/// refused twice; the second while many are, since they would make every new request late as
/// well (at 1.3 times the servers' capacity, 0.47 of answers are in time instead of 0.06:
/// `lh-load overload`). With 0.4 as the second value callers got 0.806 of their worth instead
/// of 0.821, mean of 15 days with faults.
const RESUBMIT_TIME_SHARES: (f64, f64) = (0.8, 0.25);
/// Shares of resubmitted requests that count as few and as many.
const RESUBMIT_SHARE_RANGE: (f64, f64) = (0.25, 0.45);
/// All larger priority numbers are treated as this one.
const LOWEST_PRIORITY: u32 = 3;
/// Work at a cold server takes this many times as long.
const COLD_WORK_FACTOR: f64 = 2.0;
/// An object has preferred servers in each failure domain if transferring its body and answer
/// between domains costs more than this share of the time that a cached object saves. This
/// reduces bytes between domains from 0.082 to 0.029 GB on a day on which 90 kB answers make up
/// nine tenths of the bytes; their callers get 0.80 of their worth instead of 0.88.
const MAX_BYTE_COST_SHARE: f64 = 0.25;
/// A server that caches the object with at least this likelihood is treated like a preferred
/// one, since the request evicts nothing there.
pub(crate) const MIN_HOLDER_LIKELIHOOD: f64 = 0.5;
/// Latency equivalent of a certain failure, as a multiple of the objective.
const FAILURE_PENALTY: f64 = 3.0;
/// Cost of sending an object to a server that isn't preferred, as a multiple of the time that a
/// cached object saves: another object is evicted there.
const AFFINITY_PENALTY: f64 = 2.0;
/// Share of a server's slots that one object may use before it gets another preferred server.
const MAX_OBJECT_LOAD: f64 = 0.7;

/// Latency equivalent of bytes sent over links, in milliseconds per kilobyte.
#[derive(Debug, Clone, Copy)]
pub struct ByteCosts {
    /// Between failure domains of a region.
    pub domain: f64,
    /// Between regions.
    pub region: f64,
}

/// Location and state of the entry that makes the choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceContext<'a> {
    /// Failure domain of the entry.
    pub domain: &'a str,
    /// Region of the entry.
    pub region: &'a str,
    /// Whether all candidates are in one locality, so that an object would have a single
    /// preferred server.
    pub is_single_locality: bool,
    /// Number of entries in the region, including this one.
    pub entries: usize,
    /// Latency equivalent of sending bytes to other failure domains and regions.
    pub costs: ByteCosts,
    /// Restricts the regions that may be chosen; `None` allows any.
    pub limiter: Option<&'a ShiftLimiter>,
    /// Whether returning callers are recognized by promises.
    pub plans_returns: bool,
    /// Share of the round trip that doesn't count against the time limit, 0 to 1.
    pub travel_credit: f64,
}

/// The best server so far, or the reason why there is none.
#[derive(Debug)]
pub struct ServerChoice<'a> {
    now: Instant,
    request: &'a PlacementRequest<'a>,
    context: ChoiceContext<'a>,
    work: &'a RouteWork,
    time_limit: f64,
    preferred_count: usize,
    best: Option<(f64, ServerHandle, PlacementReason)>,
    block_reason: RefusalReason,
    available_in: Option<f64>,
}

impl<'a> ServerChoice<'a> {
    /// Starts a choice for `request` with no servers considered.
    pub fn new(
        now: Instant,
        request: &'a PlacementRequest<'a>,
        context: ChoiceContext<'a>,
        work: &'a RouteWork,
    ) -> Self {
        Self {
            now,
            request,
            context,
            work,
            time_limit: time_limit(request, &context, work),
            preferred_count: 1,
            best: None,
            block_reason: RefusalReason::Late,
            available_in: None,
        }
    }

    /// Considers the server of `record`; `reason` holds its occupancy, rank and cache
    /// likelihood.
    pub fn consider(
        &mut self,
        candidate: &Candidate,
        record: &ServerRecord,
        reason: PlacementReason,
    ) {
        let slots = f64::from(record.entry.slots.max(1));
        let is_remote = record.region != self.context.region;
        let limiter = self.context.limiter;
        if limiter.is_some_and(|limiter| !limiter.permits(&record.region)) {
            self.note_blocked(RefusalReason::ShiftCap, None);
            return;
        }
        let estimate = self.estimate(record, &reason);
        let queued = (reason.occupancy + 1.0 - slots).max(0.0);
        let wait = queued * estimate.ahead_work / slots;
        let excess = reason.occupancy + 1.0 - slots * self.max_load_factor();
        if excess > 0.0 {
            self.note_blocked(
                RefusalReason::Full,
                Some(excess * estimate.ahead_work / slots),
            );
            return;
        }
        if !self.is_preferred(candidate) && reason.cache_likelihood < MIN_HOLDER_LIKELIHOOD {
            self.note_blocked(RefusalReason::Full, Some(wait));
            return;
        }
        let expected = record.round_trip + wait + estimate.work;
        // An idle server may exceed the limit: there is no queue, and only running the request
        // shows how long the work really takes.
        let time_limit = self.time_limit + self.context.travel_credit * record.round_trip;
        if wait > 0.0 && expected > time_limit {
            self.note_blocked(RefusalReason::Late, Some(expected - time_limit));
            return;
        }
        let cost = expected + self.penalty(candidate, record);
        let reason = PlacementReason {
            expected,
            is_remote,
            has_free_slot: reason.occupancy < slots,
            work: estimate.work,
            ..reason
        };
        if self
            .best
            .as_ref()
            .is_none_or(|(lowest_cost, ..)| cost < *lowest_cost)
        {
            self.best = Some((cost, candidate.handle, reason));
        }
    }

    /// Notes that a server can't take the request, and in how many milliseconds it might.
    pub fn note_blocked(&mut self, reason: RefusalReason, available_in: Option<f64>) {
        if self.block_reason != RefusalReason::Full {
            self.block_reason = reason;
        }
        self.available_in = match (self.available_in, available_in) {
            (Some(known), Some(found)) => Some(known.min(found)),
            (known, found) => known.or(found),
        };
    }

    /// Sets the number of preferred servers to what the object's request rate keeps busy. There
    /// is one more if the shift cap restricts the regions, and one more if there is only one
    /// locality: otherwise the preferred servers of the other localities take the excess.
    pub fn update_preferred_count(&mut self, slots: f64) {
        let Some(object) = self.request.object else {
            return;
        };
        let rate = self.work.demand(self.now, object) * self.context.entries as f64;
        let busy = rate * self.work.warm.value() / 1000.0;
        let extra_for_shift_cap = usize::from(self.context.limiter.is_some());
        let extra_for_single_locality = usize::from(self.context.is_single_locality);
        self.preferred_count = 1
            + extra_for_single_locality
            + extra_for_shift_cap
            + (busy / (slots * MAX_OBJECT_LOAD)).floor() as usize;
    }

    /// Returns the best server with the figures behind the choice.
    ///
    /// # Errors
    /// Returns the refusal reason and the expected time until capacity is free, in seconds, if
    /// no server should get the request.
    pub fn finish(self) -> Result<(ServerHandle, PlacementReason), (RefusalReason, Option<f64>)> {
        match self.best {
            Some((_, handle, reason)) => Ok((handle, reason)),
            None => Err((
                self.block_reason,
                self.available_in.map(|available_in| available_in / 1000.0),
            )),
        }
    }

    fn is_preferred(&self, candidate: &Candidate) -> bool {
        !self.uses_affinity() || candidate.rank < self.preferred_count
    }

    /// Whether servers answer faster for objects that they have cached. Otherwise nothing is
    /// evicted.
    fn uses_affinity(&self) -> bool {
        self.request.object.is_some() && self.request.route.sticky
    }

    fn max_load_factor(&self) -> f64 {
        if self.context.plans_returns {
            return waits::max_load_factor(self.request);
        }
        if self.request.resubmitted || self.context.limiter.is_some() {
            return RESUBMIT_LOAD_FACTOR;
        }
        let priority = self.request.priority.min(LOWEST_PRIORITY);
        MAX_LOAD_FACTOR - LOAD_FACTOR_PRIORITY_STEP * f64::from(priority)
    }

    fn estimate(&self, record: &ServerRecord, reason: &PlacementReason) -> WorkEstimate {
        let (warm, cold) = (self.work.warm.value(), self.work.cold.value());
        let slowness = if reason.cold { COLD_WORK_FACTOR } else { 1.0 };
        let speed = record.speed(self.now) * slowness;
        let work =
            (warm * reason.cache_likelihood + cold * (1.0 - reason.cache_likelihood)) * speed;
        WorkEstimate {
            work,
            ahead_work: warm.midpoint(cold).min(work),
        }
    }

    fn penalty(&self, candidate: &Candidate, record: &ServerRecord) -> f64 {
        let objective = millis(self.request.route.objective);
        let failing = record.failure_rate(self.now) * FAILURE_PENALTY * objective;
        let saved = (self.work.cold.value() - self.work.warm.value()).max(0.0);
        let affinity = if self.uses_affinity() {
            AFFINITY_PENALTY * rank_penalty(candidate.rank) * saved
        } else {
            0.0
        };
        failing + affinity + self.byte_cost(record)
    }

    fn byte_cost(&self, record: &ServerRecord) -> f64 {
        let kilobytes = transfer_kilobytes(self.request, self.work);
        if record.entry.domain == self.context.domain {
            0.0
        } else if record.region == self.context.region {
            kilobytes * self.context.costs.domain
        } else {
            kilobytes * self.context.costs.region
        }
    }
}

/// Maximum number of preferred servers of an object per locality if no server has fewer slots
/// than `slots`; `None` if any server may get the request.
pub(crate) fn max_preferred_count(
    now: Instant,
    request: &PlacementRequest<'_>,
    work: &RouteWork,
    entries: usize,
    slots: u32,
) -> Option<usize> {
    let object = request.object.filter(|_| request.route.sticky)?;
    let rate = work.demand(now, object) * entries as f64;
    let busy = rate * work.warm.value() / 1000.0;
    // The first one, one for a single locality, and one for a restricted region.
    Some(3 + (busy / (f64::from(slots) * MAX_OBJECT_LOAD)).floor() as usize)
}

/// Scope in which the object of `request` has its preferred servers. The request's own body
/// size decides, even though this may split an object's requests between scopes: with the
/// route's average size more bytes crossed failure domains, and callers got 0.610 of their
/// worth instead of 0.623 where these bytes are expensive and bodies vary (mean of five days
/// with faults).
pub fn rank_scope(
    request: &PlacementRequest<'_>,
    work: &RouteWork,
    costs: &ByteCosts,
) -> RankScope {
    let saved = (work.cold.value() - work.warm.value()).max(0.0);
    if transfer_kilobytes(request, work) * costs.domain > MAX_BYTE_COST_SHARE * saved {
        RankScope::Domain
    } else {
        RankScope::Region
    }
}

fn transfer_kilobytes(request: &PlacementRequest<'_>, work: &RouteWork) -> f64 {
    work.answer.value() + request.body_bytes as f64 / 1000.0
}

/// Expected work, in milliseconds.
struct WorkEstimate {
    /// Work of the request itself.
    work: f64,
    /// Average work of a request ahead of it in the queue.
    ahead_work: f64,
}

/// Affinity penalty of a server at `rank` for the object, 0 to 1.
fn rank_penalty(rank: usize) -> f64 {
    const BY_RANK: [f64; 4] = [0.0, 0.3, 0.6, 0.8];
    BY_RANK.get(rank).copied().unwrap_or(1.0)
}

/// Maximum expected response time for which a request may queue, in milliseconds, by what
/// `work` says of the route's latest requests.
fn time_limit(
    request: &PlacementRequest<'_>,
    context: &ChoiceContext<'_>,
    work: &RouteWork,
) -> f64 {
    let (low_share, high_share) = if context.plans_returns {
        waits::RETURN_SHARE_RANGE
    } else {
        RESUBMIT_SHARE_RANGE
    };
    let (long_wait, short_wait) = RESUBMIT_TIME_SHARES;
    let resubmit_level =
        ((work.resubmit_share() - low_share) / (high_share - low_share)).clamp(0.0, 1.0);
    let remaining = millis(request.remaining);
    if context.limiter.is_some() {
        // The shift cap keeps it from a region that could answer at once, so it may queue here
        // as long as a resubmitted request.
        return remaining * long_wait;
    }
    if request.resubmitted {
        return remaining * (long_wait + (short_wait - long_wait) * resubmit_level);
    }
    if context.plans_returns {
        let objective = millis(request.route.objective);
        return (work.wait_limit.factor() * objective).min(remaining * long_wait);
    }
    let step = OBJECTIVE_PRIORITY_STEP * f64::from(request.priority.min(LOWEST_PRIORITY));
    (remaining * long_wait).min((OBJECTIVE_FACTOR - step) * millis(request.route.objective))
}

//! Weighs the servers that could take a request.

use std::time::Instant;

use crate::catalog::ServerHandle;
use crate::limits::shift::ShiftLimiter;
use crate::placing::candidates::{Candidate, RankScope};
use crate::placing::timing::millis;
use crate::placing::work::RouteWork;
use crate::request::{PlacementReason, PlacementRequest, RefusalReason};
use crate::server::ServerRecord;

/// Requests at a server, as a multiple of its slots, up to which it gets more.
/// Beyond, waiting costs the objective of those behind.
const QUEUE_FACTOR: f64 = 2.5;
/// The same for a request that was refused before, since a second refusal is
/// final for its caller, and for one whose region is not free to choose.
const RETURN_FACTOR: f64 = 3.0;
/// Lower factor for each step of priority, so that the urgent find room.
const PRIORITY_STEP: f64 = 0.15;
/// A new request waits only where it is answered within this multiple of its
/// objective: beyond, it would make those behind it late as well.
const OBJECTIVE_FACTOR: f64 = 1.0;
/// Lower factor of the objective for each step of priority.
const OBJECTIVE_STEP: f64 = 0.1;
/// A returning request waits where it is answered within this share of its time:
/// the first where few return, so that hardly any is refused twice; the second
/// where many do, since they would make every new request late as well (at 1.3
/// of what the servers bear, 0.47 of answers are in time instead of 0.06: `lh-load
/// overload`; callers got 0.821 of their worth instead of 0.806 with the second at
/// 0.4, mean of 15 days of trouble).
const RETURN_PATIENCE: (f64, f64) = (0.8, 0.25);
/// Shares of returning requests that count as few and as many.
const RETURNING: (f64, f64) = (0.25, 0.45);
/// Priorities beyond this one are treated alike.
const LAST_PRIORITY: u32 = 3;
/// A cold server works this many times as long.
const COLD_SLOWNESS: f64 = 2.0;
/// An object belongs to a server of each failure domain where moving its answer and
/// body between these costs more than this share of what a held object saves. Bytes
/// between domains 0.082 -> 0.029 GB on a day of which nine tenths of the bytes are
/// answers of 90 kB, whose callers get 0.80 of their worth instead of 0.88.
const MOVE_SHARE: f64 = 0.25;
/// Likelihood of holding an object from which on a server takes it as one to which it
/// belongs: nothing is driven out by that.
pub(crate) const HOLDER: f64 = 0.5;
/// Latency that a certain failure is worth, as a multiple of the objective.
const FAILURE_COST: f64 = 3.0;
/// What it costs to send an object where it doesn't belong, as a multiple of
/// what a held object saves: it drives out another one there.
const AFFINITY_COST: f64 = 2.0;
/// Share of a server's slots that one object may need before it belongs to one
/// server more.
const OBJECT_SHARE: f64 = 0.7;

/// What bytes over links cost, in milliseconds of latency a kilobyte.
#[derive(Debug, Clone, Copy)]
pub struct ByteCosts {
    /// Between failure domains of a region.
    pub domain: f64,
    /// Between regions.
    pub region: f64,
}

/// Where the choosing entry stands.
#[derive(Debug, Clone, Copy)]
pub struct ChoicePlace<'a> {
    /// Its failure domain.
    pub domain: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Whether all candidates are in one place of their order, so that an object would
    /// belong to a single server.
    pub is_only: bool,
    /// Entries of its region, itself included.
    pub entries: usize,
    /// What it costs to send bytes elsewhere.
    pub costs: ByteCosts,
    /// Bounds the regions that may be chosen; `None` where any may.
    pub limiter: Option<&'a ShiftLimiter>,
}

/// The best server so far, or why there is none.
#[derive(Debug)]
pub struct ServerChoice<'a> {
    now: Instant,
    request: &'a PlacementRequest<'a>,
    place: ChoicePlace<'a>,
    work: &'a RouteWork,
    patience: f64,
    width: usize,
    best: Option<(f64, ServerHandle, PlacementReason)>,
    blocked: RefusalReason,
    room_in: Option<f64>,
}

impl<'a> ServerChoice<'a> {
    /// A choice for `request` among no servers yet.
    pub fn new(
        now: Instant,
        request: &'a PlacementRequest<'a>,
        place: ChoicePlace<'a>,
        work: &'a RouteWork,
    ) -> Self {
        Self {
            now,
            request,
            place,
            work,
            patience: patience(request, &place, work.returning_share()),
            width: 1,
            best: None,
            blocked: RefusalReason::Late,
            room_in: None,
        }
    }

    /// Weighs `record`; `likelihood` is that of its holding the object.
    pub fn weigh(&mut self, candidate: &Candidate, record: &ServerRecord, reason: PlacementReason) {
        let slots = f64::from(record.entry.slots.max(1));
        let is_remote = record.region != self.place.region;
        let limiter = self.place.limiter;
        if limiter.is_some_and(|limiter| !limiter.permits(&record.region)) {
            self.block(RefusalReason::ShiftCap, None);
            return;
        }
        let estimate = self.estimate(record, &reason);
        let ahead = (reason.occupancy + 1.0 - slots).max(0.0);
        let wait = ahead * estimate.usual / slots;
        let beyond = reason.occupancy + 1.0 - slots * self.queue_factor();
        if beyond > 0.0 {
            self.block(RefusalReason::Full, Some(beyond * estimate.usual / slots));
            return;
        }
        if !self.belongs(candidate) && reason.warmth < HOLDER {
            self.block(RefusalReason::Full, Some(wait));
            return;
        }
        let expected = record.trip + wait + estimate.work;
        // Where nobody waits, only the work itself can tell how long it takes.
        if wait > 0.0 && expected > self.patience {
            self.block(RefusalReason::Late, Some(expected - self.patience));
            return;
        }
        let cost = expected + self.surcharge(candidate, record);
        let reason = PlacementReason {
            expected,
            is_remote,
            free: reason.occupancy < slots,
            work: estimate.work,
            ..reason
        };
        if self.best.as_ref().is_none_or(|(least, ..)| cost < *least) {
            self.best = Some((cost, candidate.handle, reason));
        }
    }

    /// Notes that a server may not take the request, and in how many
    /// milliseconds it might.
    pub fn block(&mut self, reason: RefusalReason, room_in: Option<f64>) {
        if self.blocked != RefusalReason::Full {
            self.blocked = reason;
        }
        self.room_in = match (self.room_in, room_in) {
            (Some(known), Some(found)) => Some(known.min(found)),
            (known, found) => known.or(found),
        };
    }

    /// Lets the object belong to as many servers as its requests keep busy, and to
    /// one more where its region is not free to choose, or where there is but one place:
    /// elsewhere those of the other places take what doesn't fit.
    pub fn set_width(&mut self, slots: f64) {
        let Some(object) = self.request.object else {
            return;
        };
        let rate = self.work.demand(self.now, object) * self.place.entries as f64;
        let busy = rate * self.work.warm.value() / 1000.0;
        let spare = usize::from(self.place.limiter.is_some());
        let only = usize::from(self.place.is_only);
        self.width = 1 + only + spare + (busy / (slots * OBJECT_SHARE)).floor() as usize;
    }

    /// The best server and why, or the reason for a refusal with the seconds
    /// until room is expected.
    ///
    /// # Errors
    /// The reason, where no server should get the request.
    pub fn finish(self) -> Result<(ServerHandle, PlacementReason), (RefusalReason, Option<f64>)> {
        match self.best {
            Some((_, handle, reason)) => Ok((handle, reason)),
            None => Err((self.blocked, self.room_in.map(|room_in| room_in / 1000.0))),
        }
    }

    fn belongs(&self, candidate: &Candidate) -> bool {
        !self.holds_objects() || candidate.rank < self.width
    }

    /// Whether servers are faster for what they handled: else nothing is driven out.
    fn holds_objects(&self) -> bool {
        self.request.object.is_some() && self.request.route.sticky
    }

    fn queue_factor(&self) -> f64 {
        if self.request.returning || self.place.limiter.is_some() {
            return RETURN_FACTOR;
        }
        let priority = self.request.priority.min(LAST_PRIORITY);
        QUEUE_FACTOR - PRIORITY_STEP * f64::from(priority)
    }

    fn estimate(&self, record: &ServerRecord, reason: &PlacementReason) -> WorkEstimate {
        let (warm, cold) = (self.work.warm.value(), self.work.cold.value());
        let slowness = if reason.cold { COLD_SLOWNESS } else { 1.0 };
        let speed = record.speed(self.now) * slowness;
        let work = (warm * reason.warmth + cold * (1.0 - reason.warmth)) * speed;
        WorkEstimate {
            work,
            usual: warm.midpoint(cold).min(work),
        }
    }

    fn surcharge(&self, candidate: &Candidate, record: &ServerRecord) -> f64 {
        let objective = millis(self.request.route.objective);
        let failing = record.failure_rate(self.now) * FAILURE_COST * objective;
        let saved = (self.work.cold.value() - self.work.warm.value()).max(0.0);
        let strange = if self.holds_objects() {
            AFFINITY_COST * strangeness(candidate.rank) * saved
        } else {
            0.0
        };
        failing + strange + self.byte_cost(record)
    }

    fn byte_cost(&self, record: &ServerRecord) -> f64 {
        let kilobytes = moved_kilobytes(self.request, self.work);
        if record.entry.domain == self.place.domain {
            0.0
        } else if record.region == self.place.region {
            kilobytes * self.place.costs.domain
        } else {
            kilobytes * self.place.costs.region
        }
    }
}

/// Servers of a place that an object can belong to at most, where none has fewer slots than
/// `slots`; `None` where any server may get the request.
pub(crate) fn widest(
    now: Instant,
    request: &PlacementRequest<'_>,
    work: &RouteWork,
    entries: usize,
    slots: u32,
) -> Option<usize> {
    let object = request.object.filter(|_| request.route.sticky)?;
    let rate = work.demand(now, object) * entries as f64;
    let busy = rate * work.warm.value() / 1000.0;
    // One for itself, for where there is but one place, and where the region isn't free.
    Some(3 + (busy / (f64::from(slots) * OBJECT_SHARE)).floor() as usize)
}

/// Among which servers the object of `request` keeps to one. The request's own body
/// decides, not the route's usual one, though it may part an object's requests: with the
/// usual one more bytes crossed failure domains, worth 0.623 -> 0.610 where these are dear
/// and bodies vary (mean of five days of trouble).
pub fn rank_scope(
    request: &PlacementRequest<'_>,
    work: &RouteWork,
    costs: &ByteCosts,
) -> RankScope {
    let saved = (work.cold.value() - work.warm.value()).max(0.0);
    if moved_kilobytes(request, work) * costs.domain > MOVE_SHARE * saved {
        RankScope::Domain
    } else {
        RankScope::Region
    }
}

fn moved_kilobytes(request: &PlacementRequest<'_>, work: &RouteWork) -> f64 {
    work.answer.value() + request.body_bytes as f64 / 1000.0
}

/// Work that is expected, in milliseconds.
struct WorkEstimate {
    /// Of the request.
    work: f64,
    /// Of those ahead of it.
    usual: f64,
}

/// How far a server at `rank` is from where an object belongs, 0 to 1.
fn strangeness(rank: usize) -> f64 {
    const BY_RANK: [f64; 4] = [0.0, 0.3, 0.6, 0.8];
    BY_RANK.get(rank).copied().unwrap_or(1.0)
}

/// The longest expected time to the answer for which a request may wait, in
/// milliseconds, where `returning` of the latest requests were refused before.
fn patience(request: &PlacementRequest<'_>, place: &ChoicePlace<'_>, returning: f64) -> f64 {
    let (few, many) = RETURNING;
    let (long, short) = RETURN_PATIENCE;
    let crowded = ((returning - few) / (many - few)).clamp(0.0, 1.0);
    let remaining = millis(request.remaining);
    if place.limiter.is_some() {
        // It waits here for what it would have had elsewhere at once.
        return remaining * long;
    }
    if request.returning {
        return remaining * (long + (short - long) * crowded);
    }
    let step = OBJECTIVE_STEP * f64::from(request.priority.min(LAST_PRIORITY));
    (remaining * long).min((OBJECTIVE_FACTOR - step) * millis(request.route.objective))
}

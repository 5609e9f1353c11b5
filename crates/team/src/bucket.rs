//! One team's bucket, as an entry reckons it for the whole fleet.

use std::time::{Duration, Instant};

use crate::spec::TeamQuota;

/// Parts of what a team may exceed its quota by: the first covers what isn't heard, the
/// second what was let in before an entry began to count, and as much what entries need
/// that have but a small part.
const UNREPORTED_TOLERANCE: f64 = 0.15;
const UNKNOWN_TOLERANCE: f64 = 0.33;
/// What was let in too much is made up for, but no more than of this time: beyond, those
/// who ask now would pay for others.
const MAX_DEBT_TIME: Duration = Duration::from_millis(1500);
/// Time over which it is counted where a team's callers are.
const RECENT_DECAY_TIME: Duration = Duration::from_secs(2);
/// Requests at each entry as which it counts before that is known.
const SPREAD_PRIOR: f64 = 2.0;
/// Longest time after which a refused caller is asked to come back: a quota that is asked
/// for many times over has room for few of them.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Shortest one.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// How exactly quotas are to be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window in which requests are summed up.
    pub window: Duration,
    /// Part of a quota by which it may be exceeded in a window.
    pub excess: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
}

/// How many of the entries this one hears.
#[derive(Debug, Clone, Copy)]
pub struct FleetShare {
    at: Option<Instant>,
    silent: usize,
    known: usize,
}

/// A team's bucket.
#[derive(Debug, Clone, Copy)]
pub struct TeamBucket {
    quota: TeamQuota,
    /// Requests that may be let in now; below 0 where too many were.
    level: f64,
    /// How far below 0 it may fall.
    max_debt: f64,
    at: Instant,
    /// When the next caller that is refused is asked to come back.
    next_retry_at: Instant,
    /// What this entry and all others let in lately: how the team's callers are spread.
    own: DecayingCount,
    others: DecayingCount,
}

/// A count in which what is old fades.
#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    count: f64,
    at: Instant,
}

impl QuotaBounds {
    /// Requests by which `quota` may be exceeded in a window.
    fn tolerance(&self, quota: TeamQuota) -> f64 {
        let whole = quota.rate * self.window.as_secs_f64() + quota.burst;
        self.excess * whole + self.slack
    }

    /// The part of it that covers what an entry doesn't know of the others.
    fn unknown_tolerance(&self, quota: TeamQuota) -> f64 {
        UNKNOWN_TOLERANCE * self.tolerance(quota)
    }
}

impl Default for FleetShare {
    fn default() -> Self {
        Self {
            at: None,
            silent: 0,
            known: 1,
        }
    }
}

impl FleetShare {
    /// Time between two looks at who is heard.
    pub const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

    /// As of `now`, `silent` of the `known` entries, this one among them, aren't heard.
    pub fn new(now: Instant, silent: usize, known: usize) -> Self {
        Self {
            at: Some(now),
            silent,
            known: known.max(1),
        }
    }

    /// Whether another look is due.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.at
            .is_none_or(|at| now.saturating_duration_since(at) >= Self::REFRESH_INTERVAL)
    }

    /// Part of a quota that those who hear each other have together.
    fn reachable_fraction(&self) -> f64 {
        (self.known - self.silent.min(self.known - 1)) as f64 / self.known as f64
    }

    fn entry_fraction(&self) -> f64 {
        1.0 / self.known as f64
    }
}

impl TeamBucket {
    /// The bucket of a team with `quota` at an entry that has counted for `since`. It fills
    /// from little: what others let in before isn't known.
    pub fn new(
        now: Instant,
        quota: TeamQuota,
        bounds: &QuotaBounds,
        share: FleetShare,
        since: Duration,
    ) -> Self {
        let filled = bounds.unknown_tolerance(quota) * share.entry_fraction()
            + quota.rate * share.reachable_fraction() * since.as_secs_f64();
        Self {
            quota,
            max_debt: max_debt(quota, bounds),
            level: filled.min(capacity(quota, share)),
            at: now,
            next_retry_at: now,
            own: DecayingCount::new(now),
            others: DecayingCount::new(now),
        }
    }

    /// Takes in the team's newest quota.
    pub fn set_quota(
        &mut self,
        now: Instant,
        quota: TeamQuota,
        bounds: &QuotaBounds,
        share: FleetShare,
    ) {
        self.refill(now, share);
        self.quota = quota;
        self.max_debt = max_debt(quota, bounds);
    }

    /// Lets a request in, where the others that are heard let `unreported` more in if each did
    /// as this one does.
    ///
    /// # Errors
    /// The time after which its caller is to come back, where there is no room.
    pub fn try_take(
        &mut self,
        now: Instant,
        bounds: &QuotaBounds,
        share: FleetShare,
        unreported: u32,
    ) -> Result<(), Duration> {
        self.refill(now, share);
        let unreported = f64::from(unreported) * self.spread(now, share);
        let unreported =
            (unreported - UNREPORTED_TOLERANCE * bounds.tolerance(self.quota)).max(0.0);
        let least = if share.silent > 0 {
            1.0 - bounds.unknown_tolerance(self.quota) * share.entry_fraction()
        } else {
            1.0
        };
        let missing = least - (self.level - unreported);
        if missing <= 0.0 {
            self.level -= 1.0;
            self.own.add(now, 1.0);
            return Ok(());
        }
        let rate = self.quota.rate * share.reachable_fraction();
        Err(self.retry_after(now, missing / rate, share))
    }

    /// The others let `added` in: some of the team's callers are there.
    pub fn on_peer_admitted(&mut self, now: Instant, added: f64) {
        self.others.add(now, added.max(0.0));
    }

    /// One of the others fell silent; since it was heard, this entry let `own` in.
    pub fn charge_silent(&mut self, now: Instant, share: FleetShare, own: u32) {
        let likely = f64::from(own) * self.spread(now, share);
        self.debit(likely);
    }

    /// What each other entry lets in for each that this one does: 1 until it is known.
    fn spread(&self, now: Instant, share: FleetShare) -> f64 {
        let others = (share.known - share.silent.min(share.known - 1) - 1) as f64;
        let own = self.own.value(now) + SPREAD_PRIOR;
        let heard = self.others.value(now) + SPREAD_PRIOR * others;
        if others > 0.0 {
            heard / (own * others)
        } else {
            0.0
        }
    }

    /// Takes `added` out.
    pub fn debit(&mut self, added: f64) {
        self.level = (self.level - added).max(-self.max_debt);
    }

    /// What an entry may let in by itself that isn't heard for `period`.
    pub fn entry_allowance(&self, share: FleetShare, period: Duration) -> f64 {
        let quota = self.quota;
        (quota.burst + quota.rate * period.as_secs_f64()) * share.entry_fraction()
    }

    /// Others fell silent or are heard again. What those may let in that aren't heard is
    /// set aside.
    pub fn on_share_change(&mut self, now: Instant, before: FleetShare, share: FleetShare) {
        let (old, new) = (before.reachable_fraction(), share.reachable_fraction());
        if before.at.is_some() && new < old && self.level > 0.0 {
            self.refill(now, before);
            self.level *= new / old;
        }
    }

    fn refill(&mut self, now: Instant, share: FleetShare) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let filled = self.level + self.quota.rate * share.reachable_fraction() * passed;
        self.level = filled.min(capacity(self.quota, share));
    }

    /// When there is room in `after` seconds for one more than those who were told to come
    /// back before.
    fn retry_after(&mut self, now: Instant, after: f64, share: FleetShare) -> Duration {
        let free_at = now + seconds(after);
        let next_retry_at = self.next_retry_at.max(free_at);
        // Each entry refuses its part of all callers.
        self.next_retry_at =
            next_retry_at + seconds(1.0 / (self.quota.rate * share.entry_fraction()));
        let wait = next_retry_at.saturating_duration_since(now);
        if wait > MAX_RETRY_AFTER {
            self.next_retry_at = now + MAX_RETRY_AFTER;
        }
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

impl DecayingCount {
    fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            at: now,
        }
    }

    fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.count * (-age / RECENT_DECAY_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, added: f64) {
        self.count = self.value(now) + added;
        self.at = now;
    }
}

fn max_debt(quota: TeamQuota, bounds: &QuotaBounds) -> f64 {
    quota.rate * MAX_DEBT_TIME.as_secs_f64() + bounds.tolerance(quota)
}

/// What a bucket holds at most: one request at least.
fn capacity(quota: TeamQuota, share: FleetShare) -> f64 {
    (quota.burst * share.reachable_fraction()).max(1.0)
}

fn seconds(period: f64) -> Duration {
    Duration::try_from_secs_f64(period.max(0.0))
        .unwrap_or(MAX_RETRY_AFTER)
        .min(MAX_RETRY_AFTER * 2)
}

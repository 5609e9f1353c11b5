//! One team's bucket, as an entry reckons it for the whole fleet.

use std::time::{Duration, Instant};

use crate::spec::TeamQuota;

/// Parts of what a team may exceed its quota by: the first covers what isn't heard, the
/// second what was let in before an entry began to count, and as much what entries need
/// that have but a small part.
const UNHEARD_SHARE: f64 = 0.15;
const UNKNOWN_SHARE: f64 = 0.33;
/// What was let in too much is made up for, but no more than of this time: beyond, those
/// who ask now would pay for others.
const DEBT: Duration = Duration::from_millis(1500);
/// Time over which it is counted where a team's callers are.
const RECENT: Duration = Duration::from_secs(2);
/// Requests at each entry as which it counts before that is known.
const SPREAD_PRIOR: f64 = 2.0;
/// Longest time after which a refused caller is asked to come back: a quota that is asked
/// for many times over has room for few of them.
const RETURN_MOST: Duration = Duration::from_secs(3);
/// Shortest one.
const RETURN_LEAST: Duration = Duration::from_millis(50);

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
    debt_most: f64,
    at: Instant,
    /// When the next caller that is refused is asked to come back.
    returns: Instant,
    /// What this entry and all others let in lately: how the team's callers are spread.
    own: RecentCount,
    others: RecentCount,
}

/// A count in which what is old fades.
#[derive(Debug, Clone, Copy)]
struct RecentCount {
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
    fn unknown(&self, quota: TeamQuota) -> f64 {
        UNKNOWN_SHARE * self.tolerance(quota)
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
    pub const LOOK_EVERY: Duration = Duration::from_millis(50);

    /// As of `now`, `silent` of the `known` entries, this one among them, aren't heard.
    pub fn new(now: Instant, silent: usize, known: usize) -> Self {
        Self {
            at: Some(now),
            silent,
            known: known.max(1),
        }
    }

    /// Whether another look is due.
    pub fn is_old(&self, now: Instant) -> bool {
        self.at
            .is_none_or(|at| now.saturating_duration_since(at) >= Self::LOOK_EVERY)
    }

    /// Part of a quota that those who hear each other have together.
    fn part(&self) -> f64 {
        (self.known - self.silent.min(self.known - 1)) as f64 / self.known as f64
    }

    fn each(&self) -> f64 {
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
        let filled =
            bounds.unknown(quota) * share.each() + quota.rate * share.part() * since.as_secs_f64();
        Self {
            quota,
            debt_most: debt_most(quota, bounds),
            level: filled.min(room(quota, share)),
            at: now,
            returns: now,
            own: RecentCount::new(now),
            others: RecentCount::new(now),
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
        self.fill(now, share);
        self.quota = quota;
        self.debt_most = debt_most(quota, bounds);
    }

    /// Lets a request in, where the others that are heard let `unheard` more in if each did
    /// as this one does.
    ///
    /// # Errors
    /// The time after which its caller is to come back, where there is no room.
    pub fn take(
        &mut self,
        now: Instant,
        bounds: &QuotaBounds,
        share: FleetShare,
        unheard: u32,
    ) -> Result<(), Duration> {
        self.fill(now, share);
        let unheard = f64::from(unheard) * self.spread(now, share);
        let unheard = (unheard - UNHEARD_SHARE * bounds.tolerance(self.quota)).max(0.0);
        let least = if share.silent > 0 {
            1.0 - bounds.unknown(self.quota) * share.each()
        } else {
            1.0
        };
        let lacks = least - (self.level - unheard);
        if lacks <= 0.0 {
            self.level -= 1.0;
            self.own.add(now, 1.0);
            return Ok(());
        }
        let rate = self.quota.rate * share.part();
        Err(self.returns_in(now, lacks / rate, share))
    }

    /// The others let `added` in: some of the team's callers are there.
    pub fn on_others(&mut self, now: Instant, added: f64) {
        self.others.add(now, added.max(0.0));
    }

    /// One of the others fell silent; since it was heard, this entry let `own` in.
    pub fn charge(&mut self, now: Instant, share: FleetShare, own: u32) {
        let likely = f64::from(own) * self.spread(now, share);
        self.count(likely);
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
    pub fn count(&mut self, added: f64) {
        self.level = (self.level - added).max(-self.debt_most);
    }

    /// What an entry may let in by itself that isn't heard for `span`.
    pub fn part(&self, share: FleetShare, span: Duration) -> f64 {
        let quota = self.quota;
        (quota.burst + quota.rate * span.as_secs_f64()) * share.each()
    }

    /// Others fell silent or are heard again. What those may let in that aren't heard is
    /// set aside.
    pub fn on_share(&mut self, now: Instant, before: FleetShare, share: FleetShare) {
        let (old, new) = (before.part(), share.part());
        if before.at.is_some() && new < old && self.level > 0.0 {
            self.fill(now, before);
            self.level *= new / old;
        }
    }

    fn fill(&mut self, now: Instant, share: FleetShare) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let filled = self.level + self.quota.rate * share.part() * passed;
        self.level = filled.min(room(self.quota, share));
    }

    /// When there is room in `after` seconds for one more than those who were told to come
    /// back before.
    fn returns_in(&mut self, now: Instant, after: f64, share: FleetShare) -> Duration {
        let room = now + seconds(after);
        let returns = self.returns.max(room);
        // Each entry refuses its part of all callers.
        self.returns = returns + seconds(1.0 / (self.quota.rate * share.each()));
        let wait = returns.saturating_duration_since(now);
        if wait > RETURN_MOST {
            self.returns = now + RETURN_MOST;
        }
        wait.clamp(RETURN_LEAST, RETURN_MOST)
    }
}

impl RecentCount {
    fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            at: now,
        }
    }

    fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.count * (-age / RECENT.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, added: f64) {
        self.count = self.value(now) + added;
        self.at = now;
    }
}

fn debt_most(quota: TeamQuota, bounds: &QuotaBounds) -> f64 {
    quota.rate * DEBT.as_secs_f64() + bounds.tolerance(quota)
}

/// What a bucket holds at most: one request at least.
fn room(quota: TeamQuota, share: FleetShare) -> f64 {
    (quota.burst * share.part()).max(1.0)
}

fn seconds(span: f64) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0))
        .unwrap_or(RETURN_MOST)
        .min(RETURN_MOST * 2)
}

//! A team's token bucket, maintained by one entry for the whole fleet.

use std::time::{Duration, Instant};

use crate::spec::TeamQuota;

/// Fractions of the tolerated excess. The first covers requests that peers have not reported
/// yet; the second covers requests admitted before an entry began to count, and the minimum
/// that entries with a small part of the quota need.
const UNREPORTED_TOLERANCE: f64 = 0.15;
const UNKNOWN_TOLERANCE: f64 = 0.33;
/// Upper limit of the debt after an excess, as time at the team's rate. Beyond it, later
/// callers would pay for earlier ones.
const MAX_DEBT_TIME: Duration = Duration::from_millis(1500);
/// Time constant over which the distribution of a team's callers is measured.
const RECENT_DECAY_TIME: Duration = Duration::from_secs(2);
/// Requests assumed at each entry before the distribution is known.
const SPREAD_PRIOR: f64 = 2.0;
/// Largest number of other entries at which they are assumed. In a large fleet a team's callers
/// use few of the entries, and requests assumed at all of them would use up its quota.
const PRIOR_ENTRIES: f64 = 16.0;
/// Maximum retry delay: a quota that is exceeded many times over has room for few of the
/// refused callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Minimum retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// How precisely quotas are enforced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window over which requests are counted.
    pub window: Duration,
    /// Fraction of a quota by which it may be exceeded in a window.
    pub excess: f64,
    /// Number of requests by which it may be exceeded in addition.
    pub slack: f64,
}

/// The number of entries, and how many of them are silent.
#[derive(Debug, Clone, Copy)]
pub struct FleetShare {
    at: Option<Instant>,
    silent: usize,
    entries: usize,
}

/// The token bucket of a team.
#[derive(Debug, Clone, Copy)]
pub struct TeamBucket {
    quota: TeamQuota,
    /// Requests that may be admitted now; negative after an excess.
    level: f64,
    /// Maximum amount by which the level may fall below 0.
    max_debt: f64,
    at: Instant,
    /// Earliest retry time for the next refused caller.
    next_retry_at: Instant,
    /// Recent admissions of this entry and of all others: the distribution of the team's
    /// callers.
    own: DecayingCount,
    others: DecayingCount,
}

/// An exponentially decaying count.
#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    count: f64,
    at: Instant,
}

impl QuotaBounds {
    /// Returns the number of requests by which `quota` may be exceeded in a window.
    fn tolerance(&self, quota: TeamQuota) -> f64 {
        let whole = quota.rate * self.window.as_secs_f64() + quota.burst;
        self.excess * whole + self.slack
    }

    /// Returns the part of the tolerance that covers unknown requests of other entries.
    fn unknown_tolerance(&self, quota: TeamQuota) -> f64 {
        UNKNOWN_TOLERANCE * self.tolerance(quota)
    }
}

impl Default for FleetShare {
    fn default() -> Self {
        Self {
            at: None,
            silent: 0,
            entries: 1,
        }
    }
}

impl FleetShare {
    /// Time between two refreshes of the share.
    pub const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

    /// As of `now`, `silent` of `entries` entries, including this one, are silent.
    pub fn new(now: Instant, silent: usize, entries: usize) -> Self {
        Self {
            at: Some(now),
            silent,
            entries: entries.max(1),
        }
    }

    /// Whether a refresh is due.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.at
            .is_none_or(|at| now.saturating_duration_since(at) >= Self::REFRESH_INTERVAL)
    }

    /// Fraction of a quota that is available to the entries that reach each other.
    fn reachable_fraction(&self) -> f64 {
        (self.entries - self.silent.min(self.entries - 1)) as f64 / self.entries as f64
    }

    /// Number of entries, including this one.
    pub fn entry_count(&self) -> usize {
        self.entries
    }

    /// Number of silent entries.
    pub fn silent_count(&self) -> usize {
        self.silent
    }

    fn entry_fraction(&self) -> f64 {
        1.0 / self.entries as f64
    }
}

impl TeamBucket {
    /// Creates the bucket of a team with `quota` at an entry that has counted for `since`. The
    /// initial level is low because earlier admissions of other entries are unknown.
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

    /// Returns what an entry may admit in the first `age` of its run if all entries have started at
    /// the same time: its part of what is tolerated and of the room since. `None` if one request at
    /// each of the `entries` entries is tolerated.
    pub fn young_part(&self, bounds: &QuotaBounds, entries: usize, age: Duration) -> Option<f64> {
        let entries = entries as f64;
        if entries <= bounds.tolerance(self.quota) {
            return None;
        }
        let room = bounds.unknown_tolerance(self.quota) + self.quota.rate * age.as_secs_f64();
        Some(room / entries)
    }

    /// Updates the team's quota.
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

    /// Admits a request if there is room. `unreported` is the estimated number of requests that
    /// live peers admitted but have not reported, if each admitted as many as this entry.
    ///
    /// # Errors
    /// The time after which the caller should retry, if there is no room.
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

    /// Records `added` requests that other entries admitted, for the distribution of the team's
    /// callers.
    pub fn on_peer_admitted(&mut self, now: Instant, added: f64) {
        self.others.add(now, added.max(0.0));
    }

    /// Charges the estimated admissions of an entry that fell silent; this entry admitted `own`
    /// requests since its last report.
    pub fn charge_silent(&mut self, now: Instant, share: FleetShare, own: u32) {
        let likely = f64::from(own) * self.spread(now, share);
        self.debit(likely);
    }

    /// Returns the estimated admissions of each other entry per admission of this one; 1 until
    /// it is measured.
    fn spread(&self, now: Instant, share: FleetShare) -> f64 {
        let others = (share.entries - share.silent.min(share.entries - 1) - 1) as f64;
        let own = self.own.value(now) + SPREAD_PRIOR;
        let measured = self.others.value(now) + SPREAD_PRIOR * others.min(PRIOR_ENTRIES);
        if others > 0.0 {
            measured / (own * others)
        } else {
            0.0
        }
    }

    /// Removes `added` requests from the level.
    pub fn debit(&mut self, added: f64) {
        self.level = (self.level - added).max(-self.max_debt);
    }

    /// Returns what a silent entry may admit on its own in `period`.
    pub fn entry_allowance(&self, share: FleetShare, period: Duration) -> f64 {
        let quota = self.quota;
        (quota.burst + quota.rate * period.as_secs_f64()) * share.entry_fraction()
    }

    /// Adjusts the level when entries fall silent or report again: what silent entries may
    /// admit is reserved.
    pub fn on_share_change(&mut self, now: Instant, previous: FleetShare, share: FleetShare) {
        let (old, new) = (previous.reachable_fraction(), share.reachable_fraction());
        if previous.at.is_some() && new < old && self.level > 0.0 {
            self.refill(now, previous);
            self.level *= new / old;
        }
    }

    fn refill(&mut self, now: Instant, share: FleetShare) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let filled = self.level + self.quota.rate * share.reachable_fraction() * passed;
        self.level = filled.min(capacity(self.quota, share));
    }

    /// Returns the retry delay for a request that has room in `after` seconds, queued behind
    /// the callers that were refused before.
    fn retry_after(&mut self, now: Instant, after: f64, share: FleetShare) -> Duration {
        let free_at = now + seconds(after);
        let next_retry_at = self.next_retry_at.max(free_at);
        // Each entry refuses its own part of all callers.
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

/// Returns the capacity of a bucket: one request at least.
fn capacity(quota: TeamQuota, share: FleetShare) -> f64 {
    (quota.burst * share.reachable_fraction()).max(1.0)
}

fn seconds(period: f64) -> Duration {
    Duration::try_from_secs_f64(period.max(0.0))
        .unwrap_or(MAX_RETRY_AFTER)
        .min(MAX_RETRY_AFTER * 2)
}

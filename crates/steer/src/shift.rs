//! The shift cap: how much traffic may move between regions per window.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;

use crate::message::ShiftCounts;

/// Parts that a window is counted in.
const BUCKETS_PER_WINDOW: u32 = 20;
/// Part of the cap that is used; the rest covers digests that lag and buckets that are
/// coarse.
const USED_CAP: f64 = 0.9;
/// Parts of the window, counted back from now, in each of which the cap must hold.
/// Moves that are crowded into the end of a window would raise the share later, when
/// the arrivals before them have left the window.
const HELD_PARTS: [u32; 3] = [1, 2, 4];

#[derive(Debug, Clone)]
struct CountBucket {
    start: Instant,
    total: u32,
    moved: HashMap<RegionId, u32>,
}

/// Bounds the rise of the moved share from one window to the next.
///
/// At any instant, with the last window W and the window V before it:
/// `moved(W) / total(W) <= moved(V) / total(V) + cap`, for each other region, where
/// the share in V is the region's as a whole as far as peers have told it, and
/// this instance's own otherwise. If every instance keeps to that, the sum does,
/// however the traffic is spread over them.
///
/// ```
/// use std::time::{Duration, Instant};
/// use base::prelude::*;
/// use steer::ShiftLimiter;
///
/// let mut limiter = ShiftLimiter::new(0.10, Duration::from_secs(10));
/// let south = RegionId::new("south");
/// let mut now = Instant::now();
/// let mut moved = 0;
/// for _ in 0..1000 {
///     now += Duration::from_millis(10);
///     limiter.arrive(now);
///     moved += usize::from(limiter.try_move(now, &south).is_ok());
/// }
/// assert!(moved <= 100, "at most a tenth of a window's arrivals");
/// ```
#[derive(Debug, Clone)]
pub struct ShiftLimiter {
    cap: f64,
    window: Duration,
    buckets: VecDeque<CountBucket>,
    peers: HashMap<NodeId, (Instant, ShiftCounts)>,
}

impl ShiftLimiter {
    /// Allows the moved share to rise by `cap` per `window`.
    pub fn new(cap: f64, window: Duration) -> Self {
        Self {
            cap,
            window,
            buckets: VecDeque::new(),
            peers: HashMap::new(),
        }
    }

    /// Takes over a changed cap and window; the history stays.
    pub fn configure(&mut self, cap: f64, window: Duration) {
        self.cap = cap;
        self.window = window;
    }

    /// Counts an arrival, moved or not.
    pub fn arrive(&mut self, now: Instant) {
        self.bucket(now).total += 1;
    }

    /// Counts an arrival as moved to or from `region`, if the cap allows it.
    ///
    /// # Errors
    /// The time after which the cap allows more.
    pub fn try_move(&mut self, now: Instant, region: &RegionId) -> Result<(), Duration> {
        let allowed = (self.base_share(now, region) + self.cap * USED_CAP).min(1.0);
        for part in HELD_PARTS {
            let recent = self.counts_between(now, Duration::ZERO, self.window / part);
            let moved = f64::from(moved_of(&recent, region) + 1);
            if moved > allowed * f64::from(recent.total) {
                return Err(self.window / BUCKETS_PER_WINDOW * 2);
            }
        }
        *self.bucket(now).moved.entry(region.clone()).or_default() += 1;
        Ok(())
    }

    /// A peer's counts of its window before the present one.
    pub fn on_peer(&mut self, now: Instant, from: &NodeId, counts: &ShiftCounts) {
        self.peers.insert(from.clone(), (now, counts.clone()));
        let window = self.window;
        self.peers
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < window);
    }

    /// Counts of the window before the present one, for the peers.
    pub fn previous_counts(&self, now: Instant) -> ShiftCounts {
        self.counts(now, 1)
    }

    /// The share from which a rise is measured: the region's own as a whole.
    fn base_share(&self, now: Instant, region: &RegionId) -> f64 {
        let own = self.counts(now, 1);
        let fresh = self
            .peers
            .values()
            .filter(|(at, _)| now.saturating_duration_since(*at) < self.window)
            .map(|(_, counts)| counts);
        let all: Vec<&ShiftCounts> = fresh.chain([&own]).collect();
        share(&all, region)
    }

    /// Counts of the window that ended `back` windows ago.
    fn counts(&self, now: Instant, back: u32) -> ShiftCounts {
        self.counts_between(now, self.window * back, self.window * (back + 1))
    }

    /// Counts of the buckets that began between `least` and `most` ago.
    fn counts_between(&self, now: Instant, least: Duration, most: Duration) -> ShiftCounts {
        let mut counts = ShiftCounts::default();
        for bucket in &self.buckets {
            let age = now.saturating_duration_since(bucket.start);
            if age < least || age >= most {
                continue;
            }
            counts.total += bucket.total;
            for (region, moved) in &bucket.moved {
                match counts.moved.iter_mut().find(|(known, _)| known == region) {
                    Some((_, sum)) => *sum += moved,
                    None => counts.moved.push((region.clone(), *moved)),
                }
            }
        }
        counts
    }

    fn bucket(&mut self, now: Instant) -> &mut CountBucket {
        let length = self.window / BUCKETS_PER_WINDOW;
        let fresh = self
            .buckets
            .back()
            .is_none_or(|bucket| now.saturating_duration_since(bucket.start) >= length);
        if fresh {
            self.buckets.push_back(CountBucket {
                start: now,
                total: 0,
                moved: HashMap::new(),
            });
            while self.buckets.front().is_some_and(|bucket| {
                now.saturating_duration_since(bucket.start) >= self.window * 2 + length
            }) {
                self.buckets.pop_front();
            }
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

fn moved_of(counts: &ShiftCounts, region: &RegionId) -> u32 {
    counts
        .moved
        .iter()
        .find(|(known, _)| known == region)
        .map_or(0, |(_, moved)| *moved)
}

fn share(counts: &[&ShiftCounts], region: &RegionId) -> f64 {
    let total: u32 = counts.iter().map(|part| part.total).sum();
    let moved: u32 = counts.iter().map(|part| moved_of(part, region)).sum();
    if total == 0 {
        return 0.0;
    }
    f64::from(moved) / f64::from(total)
}

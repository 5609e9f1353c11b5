//! How long requests have taken lately, by route.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Span of a window. The durations of the current window and of the one before count.
const WINDOW: Duration = Duration::from_secs(10);
/// Upper bound of the first bucket, and the factor from one bucket to the next. The last one ends
/// above four minutes.
const FIRST_BUCKET: Duration = Duration::from_millis(16);
const BUCKET_FACTOR: f64 = 1.25;
const BUCKETS: usize = 45;

/// Number of requests by duration.
type Histogram = [u32; BUCKETS];

/// Durations of finished requests, by route.
#[derive(Debug, Default)]
pub struct DurationTable {
    turned_at: Option<Instant>,
    current: HashMap<String, Histogram>,
    former: HashMap<String, Histogram>,
}

impl DurationTable {
    /// Records that a request on `route` took `duration`, whatever its outcome.
    pub fn on_finished(&mut self, now: Instant, route: &str, duration: Duration) {
        self.turn(now);
        let bucket = bucket_of(duration);
        if let Some(histogram) = self.current.get_mut(route) {
            histogram[bucket] = histogram[bucket].saturating_add(1);
            return;
        }
        let mut histogram = [0; BUCKETS];
        histogram[bucket] = 1;
        self.current.insert(route.to_owned(), histogram);
    }

    /// Returns the time in which the share `share` of the recent requests on `route` finished,
    /// rounded up; `None` if there were none.
    pub fn finished_within(&mut self, now: Instant, route: &str, share: f64) -> Option<Duration> {
        self.turn(now);
        let windows = [self.current.get(route), self.former.get(route)];
        let count = |bucket: usize| -> u64 {
            let windows = windows.iter().flatten();
            windows.map(|histogram| u64::from(histogram[bucket])).sum()
        };
        let total: u64 = (0..BUCKETS).map(count).sum();
        let needed = (total as f64 * share).ceil().max(1.0) as u64;
        let mut finished = 0;
        for bucket in 0..BUCKETS {
            finished += count(bucket);
            if finished >= needed {
                return Some(upper_bound(bucket));
            }
        }
        None
    }

    fn turn(&mut self, now: Instant) {
        let turned_at = *self.turned_at.get_or_insert(now);
        let age = now.saturating_duration_since(turned_at);
        if age < WINDOW {
            return;
        }
        self.former = std::mem::take(&mut self.current);
        if age >= 2 * WINDOW {
            self.former.clear();
        }
        self.turned_at = Some(now);
    }
}

fn bucket_of(duration: Duration) -> usize {
    let ratio = duration.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    // Rounds up, so that the bound of the bucket is no less than the duration.
    let bucket = ratio.max(1.0).log(BUCKET_FACTOR).ceil();
    (bucket as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    FIRST_BUCKET.mul_f64(BUCKET_FACTOR.powi(bucket as i32))
}

//! Recognizes callers that return after a refusal by the promises of all entries.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::rank::stable_hash;
use crate::returns::message::{ReturnPromise, ReturnReport};

/// Maximum difference between the deadline in a promise and that of the returning request. Covers
/// the way of both requests and of the promise, which may cross regions.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);
/// Callers may return this much before they are due. Those that return earlier did not wait as
/// asked and count as new.
const EARLY_TOLERANCE: Duration = Duration::from_millis(30);
/// Callers wait for at most their remaining time divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;
/// A promise lapses this long after its caller was due.
const LAPSE_TIME: Duration = Duration::from_millis(500);
/// Interval at which lapsed promises are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of promises that are held.
const MAX_PROMISES: usize = 16_384;
/// Maximum number of promises in a report, which fits into a datagram.
const MAX_REPORTED: usize = 512;

/// A promise with its times at this entry.
#[derive(Debug, Clone, Copy)]
struct HeldPromise {
    due: Instant,
    deadline: Instant,
}

/// The promises of this entry and those that others reported.
#[derive(Debug, Default)]
pub struct PromiseLedger {
    held: HashMap<u32, Vec<HeldPromise>>,
    count: usize,
    /// Keys of own promises that were not reported yet.
    unreported: Vec<(u32, HeldPromise)>,
    next_expiry: Option<Instant>,
}

/// Short hash of a request's route and object.
pub fn promise_key(route: &str, object: Option<u64>) -> u32 {
    let hash = stable_hash(route.as_bytes()) ^ object.unwrap_or_default().rotate_left(17);
    (hash ^ (hash >> 32)) as u32
}

impl PromiseLedger {
    /// Promises a refused caller room in `retry_after`; its deadline is in `remaining`.
    pub fn promise(&mut self, now: Instant, key: u32, retry_after: Duration, remaining: Duration) {
        let promise = HeldPromise {
            due: now + retry_after.min(remaining / MAX_WAIT_DIVISOR),
            deadline: now + remaining,
        };
        self.hold(now, key, promise);
        if self.unreported.len() < MAX_REPORTED {
            self.unreported.push((key, promise));
        }
    }

    /// Applies the report of another entry.
    pub fn on_report(&mut self, received_at: Instant, report: &ReturnReport) {
        for reported in &report.promises {
            let promise = HeldPromise {
                due: received_at + Duration::from_millis(reported.due_in_ms.into()),
                deadline: received_at + Duration::from_millis(reported.remaining_ms.into()),
            };
            self.hold(received_at, reported.key, promise);
        }
    }

    /// Returns the promises since the last report, in times from now.
    pub fn take_report(&mut self, now: Instant) -> ReturnReport {
        let millis_until = |at: Instant| {
            let span = at.saturating_duration_since(now).as_millis();
            u32::try_from(span).unwrap_or(u32::MAX)
        };
        let promises = self.unreported.drain(..);
        let promises = promises.map(|(key, promise)| ReturnPromise {
            key,
            due_in_ms: millis_until(promise.due),
            remaining_ms: millis_until(promise.deadline),
        });
        ReturnReport {
            promises: promises.collect(),
        }
    }

    /// Whether the request was promised room: it is for the same object, ends at the same time
    /// and waited as asked. The promise is kept with this and removed.
    pub fn redeem(&mut self, now: Instant, key: u32, remaining: Duration) -> bool {
        self.expire(now);
        let Some(promises) = self.held.get_mut(&key) else {
            return false;
        };
        let deadline = now + remaining;
        let distance = |promise: &HeldPromise| {
            let later = promise.deadline.max(deadline);
            later - promise.deadline.min(deadline)
        };
        let matching = promises.iter().enumerate().filter(|(_, promise)| {
            distance(promise) <= DEADLINE_TOLERANCE && now + EARLY_TOLERANCE >= promise.due
        });
        let closest = matching.min_by_key(|(_, promise)| distance(promise));
        let Some(index) = closest.map(|(index, _)| index) else {
            return false;
        };
        promises.swap_remove(index);
        if promises.is_empty() {
            self.held.remove(&key);
        }
        self.count -= 1;
        true
    }

    /// Number of promises whose callers are still expected.
    pub fn expected(&self) -> usize {
        self.count
    }

    fn hold(&mut self, now: Instant, key: u32, promise: HeldPromise) {
        self.expire(now);
        if self.count < MAX_PROMISES {
            self.held.entry(key).or_default().push(promise);
            self.count += 1;
        }
    }

    fn expire(&mut self, now: Instant) {
        if self.next_expiry.is_some_and(|at| now < at) {
            return;
        }
        self.next_expiry = Some(now + EXPIRY_INTERVAL);
        self.held.retain(|_, promises| {
            promises.retain(|promise| now < (promise.due + LAPSE_TIME).min(promise.deadline));
            !promises.is_empty()
        });
        self.count = self.held.values().map(Vec::len).sum();
    }
}

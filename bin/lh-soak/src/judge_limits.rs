//! Checks that entries keep the rate limits that servers name.

use std::collections::{HashMap, VecDeque};

/// Window in which the requests of a server are counted, in milliseconds.
const WINDOW_MS: u64 = 4000;
/// Time that entries have to come within a limit that was not named before, in milliseconds.
const SETTLE_MS: u64 = 4000;
/// Time from a response that names the limit until its entry must keep it, in milliseconds.
const LEARN_MS: u64 = 500;
/// Requests that a server tolerates in a window: this multiple of its limit, and some more.
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;

/// The limit of a server.
#[derive(Debug)]
struct NamedLimit {
    milli: u32,
    named_at: u64,
    /// Requests of all entries after they had settled.
    used: usize,
    /// Requests by entries that knew the limit.
    arrivals: VecDeque<u64>,
}

/// Counts the requests of servers with limits.
#[derive(Debug, Default)]
pub(crate) struct LimitJudge {
    limits: HashMap<String, NamedLimit>,
    /// When each run of an entry first knew the limit of a server.
    known_at: HashMap<(usize, u32, String), u64>,
    /// Requests that the ended limits allowed after the entries had settled, and those that came.
    pub(crate) room: f64,
    pub(crate) used: usize,
}

impl LimitJudge {
    /// Handles that `server` names a limit, or no longer names one.
    pub(crate) fn on_limit(&mut self, at: u64, server: &str, milli: Option<u32>) {
        if let Some(before) = self.limits.remove(server) {
            let settled_ms = at.saturating_sub(before.named_at + SETTLE_MS);
            self.room += f64::from(before.milli) * settled_ms as f64 / 1e6;
            self.used += before.used;
        }
        self.known_at.retain(|(_, _, limited), _| limited != server);
        if let Some(milli) = milli {
            let limit = NamedLimit {
                milli,
                named_at: at,
                used: 0,
                arrivals: VecDeque::new(),
            };
            self.limits.insert(server.to_owned(), limit);
        }
    }

    /// Handles that the run `run` of `entry` passed on a response with the limit of `server`.
    pub(crate) fn on_limit_known(&mut self, at: u64, (entry, run): (usize, u32), server: &str) {
        let key = (entry, run, server.to_owned());
        self.known_at.entry(key).or_insert(at);
    }

    /// Handles a request from the run `run` of `entry`. Returns a violation. `lag_ms` is the
    /// delay of the soak process, and a faulty entry is excused.
    pub(crate) fn on_arrived(
        &mut self,
        at: u64,
        (entry, run): (usize, u32),
        server: &str,
        lag_ms: u64,
        is_faulty: bool,
    ) -> Option<String> {
        let limit = self.limits.get_mut(server)?;
        if at < limit.named_at + SETTLE_MS {
            return None;
        }
        limit.used += 1;
        let known_at = self.known_at.get(&(entry, run, server.to_owned()))?;
        if is_faulty || at < known_at + LEARN_MS + lag_ms {
            return None;
        }
        limit.arrivals.push_back(at);
        let window_ms = WINDOW_MS.saturating_sub(lag_ms);
        while limit
            .arrivals
            .front()
            .is_some_and(|first| first + window_ms <= at)
        {
            limit.arrivals.pop_front();
        }
        let rate = f64::from(limit.milli) / 1000.0;
        let tolerated = TOLERANCE_FACTOR * rate * WINDOW_MS as f64 / 1000.0 + TOLERANCE_REQUESTS;
        let count = limit.arrivals.len();
        if count as f64 <= tolerated {
            return None;
        }
        limit.arrivals.clear();
        Some(format!(
            "limit: {server}, which takes {rate} requests a second, got {count} in {WINDOW_MS} ms \
             until {at} ms from entries that knew this; {tolerated:.0} are tolerated"
        ))
    }
}

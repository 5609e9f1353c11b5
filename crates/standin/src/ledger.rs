//! What callers sent and got, held against what backend servers ran.

use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;
use hdrhistogram::Histogram;

/// Header that carries a request's name from the caller to the backend server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Lines of an answer's body.
const RESPONSE_LINES: usize = 20;

/// Longest time that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// How often each request was run, by name.
pub type RunCounts = HashMap<String, u32>;

/// Adds `data` to a checksum.
pub fn checksum(sum: u64, data: &[u8]) -> u64 {
    data.iter().fold(sum, |sum, byte| {
        sum.wrapping_mul(1_099_511_628_211)
            .wrapping_add(u64::from(*byte) + 1)
    })
}

/// The answer to request `id` whose body had `length` bytes with the checksum `sum`.
pub fn response_body(id: &str, length: u64, sum: u64) -> String {
    let mut text = String::new();
    for line in 0..RESPONSE_LINES {
        text.push_str(&format!("{id} {line} {length} {sum:016x}\n"));
    }
    text
}

base::common! {
    /// One request of a caller.
    pub struct LedgerEntry {
        /// Its name, also the name of its key.
        pub id: String,
        /// The service.
        pub service: String,
        /// Whether it must not repeat.
        pub at_most_once: bool,
        /// What the caller was told in the end; `None` where no answer came.
        pub outcome: Option<Outcome>,
        /// The reason of a refusal, or what broke.
        pub detail: String,
        /// Whether the answer was another than the right one.
        pub wrong: bool,
        /// Time to the end of the answer.
        pub took: Duration,
    }
}

/// What came of a phase.
#[derive(Debug, Clone, PartialEq)]
pub struct PhaseReport {
    /// Requests.
    pub requests: usize,
    /// Requests done.
    pub done: usize,
    /// Requests refused without having been run.
    pub refused: usize,
    /// Requests whose outcome is unknown.
    pub unknown: usize,
    /// Requests without any answer.
    pub unanswered: usize,
    /// Requests done according to the caller that no server ran.
    pub lost: usize,
    /// At-most-once requests that were run more than once.
    pub doubled: usize,
    /// Requests refused as "not run" that were run.
    pub false_refusals: usize,
    /// Answers that were cut, wrong or someone else's.
    pub wrong: usize,
    /// Median time of the requests done.
    pub p50: Duration,
    /// 99th percentile of the requests done.
    pub p99: Duration,
}

impl PhaseReport {
    /// Whether a promise was broken.
    pub fn has_violations(&self) -> bool {
        self.lost + self.doubled + self.false_refusals + self.wrong > 0
    }
}

/// Holds the callers' ledger against what was run.
pub fn verify_ledger(entries: &[LedgerEntry], runs: &RunCounts) -> PhaseReport {
    let times_run = |entry: &LedgerEntry| runs.get(&entry.id).copied().unwrap_or(0);
    let with = |outcome: Outcome| entries.iter().filter(move |e| e.outcome == Some(outcome));
    let mut times = Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3)
        .unwrap_or_else(|_| unreachable!("3 digits are valid"));
    for entry in with(Outcome::Done) {
        let micros = u64::try_from(entry.took.as_micros()).unwrap_or(u64::MAX);
        times.saturating_record(micros);
    }
    PhaseReport {
        requests: entries.len(),
        done: with(Outcome::Done).count(),
        refused: with(Outcome::NotRun).count(),
        unknown: with(Outcome::Unknown).count(),
        unanswered: entries.iter().filter(|e| e.outcome.is_none()).count(),
        lost: with(Outcome::Done).filter(|e| times_run(e) == 0).count(),
        doubled: entries
            .iter()
            .filter(|e| e.at_most_once && times_run(e) > 1)
            .count(),
        false_refusals: with(Outcome::NotRun)
            .filter(|e| e.at_most_once && times_run(e) > 0)
            .count(),
        wrong: entries.iter().filter(|e| e.wrong).count(),
        p50: Duration::from_micros(times.value_at_quantile(0.5)),
        p99: Duration::from_micros(times.value_at_quantile(0.99)),
    }
}

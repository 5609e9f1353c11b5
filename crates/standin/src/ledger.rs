//! Ledger of the callers' requests, and its comparison with what backend servers executed.

use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;
use hdrhistogram::Histogram;

/// Header with the request id, passed from the caller to the backend server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Number of lines of a response body.
const RESPONSE_LINES: usize = 20;

/// Largest latency that the histogram can record, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Number of executions by request id.
pub type RunCounts = HashMap<String, u32>;

/// Updates a checksum with `data`.
pub fn checksum(sum: u64, data: &[u8]) -> u64 {
    data.iter().fold(sum, |sum, byte| {
        sum.wrapping_mul(1_099_511_628_211)
            .wrapping_add(u64::from(*byte) + 1)
    })
}

/// Returns the response body for the request `id`, whose body had `length` bytes with the
/// checksum `sum`.
pub fn response_body(id: &str, length: u64, sum: u64) -> String {
    let mut text = String::new();
    for line in 0..RESPONSE_LINES {
        text.push_str(&format!("{id} {line} {length} {sum:016x}\n"));
    }
    text
}

base::common! {
    /// Ledger entry of a caller's request.
    pub struct LedgerEntry {
        /// Request id.
        pub id: String,
        /// Service that was called.
        pub service: String,
        /// Whether the request must be executed at most once.
        pub at_most_once: bool,
        /// Outcome that the caller received; `None` without a response.
        pub outcome: Option<Outcome>,
        /// Reason of a refusal, or the connection error.
        pub detail: String,
        /// Whether the response body differed from the expected one.
        pub wrong: bool,
        /// Time until the end of the response.
        pub took: Duration,
    }
}

/// Summary of a load phase.
#[derive(Debug, Clone, PartialEq)]
pub struct PhaseReport {
    /// Number of requests.
    pub requests: usize,
    /// Requests with the outcome done.
    pub done: usize,
    /// Requests that were refused as not run.
    pub refused: usize,
    /// Requests with an unknown outcome.
    pub unknown: usize,
    /// Requests without a response.
    pub unanswered: usize,
    /// Requests with the outcome done that no server executed.
    pub lost: usize,
    /// At-most-once requests that were executed more than once.
    pub doubled: usize,
    /// At-most-once requests that were refused as not run, but were executed.
    pub false_refusals: usize,
    /// Responses with an unexpected body.
    pub wrong: usize,
    /// Median latency of the requests with the outcome done.
    pub p50: Duration,
    /// 99th percentile of their latency.
    pub p99: Duration,
}

impl PhaseReport {
    /// Whether a guarantee was violated.
    pub fn has_violations(&self) -> bool {
        self.lost + self.doubled + self.false_refusals + self.wrong > 0
    }
}

/// Compares the callers' ledger with the executions.
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

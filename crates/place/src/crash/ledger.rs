//! Finds the request that ended servers, from all that were at them.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::message::{CrashReport, RequestStatus};
use crate::crash::quarantine::QuarantineTable;

/// Servers that a request may end before it is put into quarantine. Two may be chance: a
/// request and its repeat that each met a server on its way down.
const QUARANTINE_CRASHES: usize = 3;
/// Ends after which a request is a suspect everywhere: all entries look out for a good
/// answer to it.
const SUSPECT_CRASHES: usize = 2;
/// Ends from which a request counts as a cause although another was at the same servers:
/// two that never part can't be told from each other.
const INSEPARABLE_CRASHES: usize = 5;
/// Requests in quarantine at once. Where more seem to end servers, it is the servers that
/// crash, whatever they run, and refusing callers would only add to it.
const MAX_QUARANTINED: usize = 8;
/// Time from the first news until the cause is looked for, so that the words of all entries that had
/// requests at the server are in: several trips between regions.
const REVIEW_DELAY: Duration = Duration::from_millis(300);
/// How long an end counts: a request that comes every few minutes is found out as well.
const CRASH_TTL: Duration = Duration::from_secs(1800);
/// How long after the last news good answers are compared with the suspects: the longest
/// time that a repeat takes.
const RECENT_REPORTS_TIME: Duration = Duration::from_secs(10);
/// Ends kept at most; with all suspects 0.6 MB.
const MAX_CRASHES: usize = 512;
/// Suspects of one crash: all that a server runs and queues.
const MAX_SUSPECTS_PER_CRASH: usize = 64;

/// The end of a server.
#[derive(Debug)]
struct ServerCrash {
    run: u64,
    at: Instant,
    suspects: Vec<RequestFingerprint>,
    /// Those that were answered well since.
    cleared: Vec<RequestFingerprint>,
}

/// The ends of servers that are known, and the requests that were at them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: VecDeque<ServerCrash>,
    /// Ends for each suspect.
    totals: HashMap<RequestFingerprint, usize>,
    /// When suspects were last put into quarantine.
    quarantined_at: HashMap<RequestFingerprint, Instant>,
    review_due: Option<Instant>,
    newest: Option<Instant>,
}

impl CrashLedger {
    /// Takes in that a request was at a server when it ended; whether that is news.
    pub fn on_report(&mut self, now: Instant, report: CrashReport) -> bool {
        self.drop_expired(now);
        let found = self
            .crashes
            .iter()
            .position(|crash| crash.run == report.run);
        let index = found.unwrap_or_else(|| {
            self.crashes.push_back(ServerCrash {
                run: report.run,
                at: now,
                suspects: Vec::new(),
                cleared: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let fingerprint = report.print;
        let is_known =
            crash.suspects.contains(&fingerprint) || crash.cleared.contains(&fingerprint);
        if is_known || crash.suspects.len() >= MAX_SUSPECTS_PER_CRASH {
            return false;
        }
        crash.suspects.push(fingerprint);
        *self.totals.entry(fingerprint).or_default() += 1;
        self.newest = Some(now);
        self.review_due = self.review_due.or(Some(now + REVIEW_DELAY));
        true
    }

    /// The request was answered well: it is no suspect of the ends that are known. Whether
    /// it was one.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> bool {
        if self.totals.remove(&fingerprint).is_none() {
            return false;
        }
        self.quarantined_at.remove(&fingerprint);
        for crash in &mut self.crashes {
            if let Some(index) = crash
                .suspects
                .iter()
                .position(|known| *known == fingerprint)
            {
                crash.suspects.swap_remove(index);
                crash.cleared.push(fingerprint);
            }
        }
        true
    }

    /// Whether the request is a suspect.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.totals.contains_key(&fingerprint)
    }

    /// Whether there were news lately.
    pub fn has_recent_reports(&self, now: Instant) -> bool {
        let age = self.newest.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < RECENT_REPORTS_TIME)
    }

    /// When the cause is to be looked for next.
    pub fn review_due(&self) -> Option<Instant> {
        self.review_due
    }

    /// Leaves what is known so far to others.
    pub fn cancel_review(&mut self) {
        self.review_due = None;
    }

    /// Looks for the cause of the ends; raises the status of requests in `book` and returns
    /// those that it raised.
    pub fn review(
        &mut self,
        now: Instant,
        book: &mut QuarantineTable,
    ) -> Vec<(RequestFingerprint, RequestStatus)> {
        self.review_due = None;
        self.drop_expired(now);
        let mut raised = Vec::new();
        for fingerprint in self.frequent_suspects() {
            let room = book.quarantines().count() < MAX_QUARANTINED;
            let status = if room && self.is_cause(fingerprint) {
                self.quarantined_at.insert(fingerprint, now);
                RequestStatus::Quarantined
            } else if !book.contains(fingerprint) {
                RequestStatus::Suspect
            } else {
                continue;
            };
            if book.raise(fingerprint, status, now) {
                raised.push((fingerprint, status));
            }
        }
        raised
    }

    /// Requests that were at several servers when these ended, those at most of them first.
    fn frequent_suspects(&self) -> Vec<RequestFingerprint> {
        let totals = self.totals.iter();
        let often = totals.filter(|(_, total)| **total >= SUSPECT_CRASHES);
        let mut fingerprints: Vec<RequestFingerprint> =
            often.map(|(fingerprint, _)| *fingerprint).collect();
        fingerprints
            .sort_unstable_by_key(|fingerprint| (Reverse(self.total(*fingerprint)), *fingerprint));
        fingerprints
    }

    /// Whether the request alone explains enough ends, one of them since it was last put
    /// into quarantine.
    fn is_cause(&self, fingerprint: RequestFingerprint) -> bool {
        let explained_crashes: Vec<&ServerCrash> = self
            .crashes
            .iter()
            .filter(|crash| {
                crash.suspects.contains(&fingerprint) && self.explains(fingerprint, crash)
            })
            .collect();
        let since = self.quarantined_at.get(&fingerprint);
        let is_new = explained_crashes
            .iter()
            .any(|crash| since.is_none_or(|at| crash.at > *at));
        explained_crashes.len() >= QUARANTINE_CRASHES && is_new
    }

    /// Whether no other request that was there has been at as many ends.
    fn explains(&self, fingerprint: RequestFingerprint, crash: &ServerCrash) -> bool {
        let total = self.total(fingerprint);
        let most = if total >= INSEPARABLE_CRASHES {
            total
        } else {
            total - 1
        };
        let mut others = crash.suspects.iter().filter(|other| **other != fingerprint);
        others.all(|other| self.total(*other) <= most)
    }

    fn total(&self, fingerprint: RequestFingerprint) -> usize {
        self.totals.get(&fingerprint).copied().unwrap_or(0)
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.crashes.front() {
            let age = now.saturating_duration_since(oldest.at);
            if age < CRASH_TTL && self.crashes.len() <= MAX_CRASHES {
                return;
            }
            let Some(oldest) = self.crashes.pop_front() else {
                return;
            };
            for fingerprint in oldest.suspects {
                if let Some(total) = self.totals.get_mut(&fingerprint) {
                    *total -= 1;
                    if *total == 0 {
                        self.totals.remove(&fingerprint);
                        self.quarantined_at.remove(&fingerprint);
                    }
                }
            }
        }
    }
}

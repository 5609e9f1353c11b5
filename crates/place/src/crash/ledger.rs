//! Correlates server crashes with the requests that were in flight, to find the request that
//! causes them.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::message::{CrashReport, RequestStatus};
use crate::crash::quarantine::QuarantineTable;

/// Crashes after which a request is quarantined. Two may be a coincidence: a request and its
/// retry can each reach a server that was already failing.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes after which a request is a suspect: all entries then watch for a successful answer
/// to it.
const SUSPECT_CRASHES: usize = 2;
/// Crashes after which a request counts as a cause even though another request was present at
/// the same servers: two requests that always occur together can't be distinguished.
const INSEPARABLE_CRASHES: usize = 5;
/// Maximum number of requests in quarantine at once. When more requests seem to crash servers,
/// the servers fail regardless of what they run, and refusing callers would only add to the
/// outage.
const MAX_QUARANTINED: usize = 8;
/// Delay from the first report until the cause is determined. It leaves time for the reports of
/// all entries that had requests at the server: several round trips between regions.
const REVIEW_DELAY: Duration = Duration::from_millis(300);
/// How long a crash counts as evidence: long enough to detect a request that arrives only every
/// few minutes.
const CRASH_TTL: Duration = Duration::from_secs(1800);
/// How long after the latest report successful answers are compared with the suspects: the
/// longest time that a retry takes.
const RECENT_REPORTS_TIME: Duration = Duration::from_secs(10);
/// Maximum number of recorded crashes; with all suspects they take 0.6 MB.
const MAX_CRASHES: usize = 512;
/// Maximum number of suspects per crash: all requests that a server runs and queues.
const MAX_SUSPECTS_PER_CRASH: usize = 64;

/// A crash of a server run.
#[derive(Debug)]
struct ServerCrash {
    run: u64,
    at: Instant,
    suspects: Vec<RequestFingerprint>,
    /// Suspects that were answered successfully afterwards.
    cleared: Vec<RequestFingerprint>,
}

/// The known server crashes and the requests that were in flight at each.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: VecDeque<ServerCrash>,
    /// Number of crashes per suspect.
    totals: HashMap<RequestFingerprint, usize>,
    /// When each suspect was last put into quarantine.
    quarantined_at: HashMap<RequestFingerprint, Instant>,
    review_due: Option<Instant>,
    last_report_at: Option<Instant>,
}

impl CrashLedger {
    /// Records that a request was in flight at a server when it crashed. Returns whether this
    /// is new.
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
        self.last_report_at = Some(now);
        self.review_due = self.review_due.or(Some(now + REVIEW_DELAY));
        true
    }

    /// Clears a request after a successful answer: it no longer counts as a suspect of any
    /// known crash. Returns whether it was a suspect.
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

    /// Returns whether the request is a suspect.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.totals.contains_key(&fingerprint)
    }

    /// Returns whether a new report arrived within `RECENT_REPORTS_TIME`.
    pub fn has_recent_reports(&self, now: Instant) -> bool {
        let age = self
            .last_report_at
            .map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < RECENT_REPORTS_TIME)
    }

    /// Returns when the next review is due.
    pub fn review_due(&self) -> Option<Instant> {
        self.review_due
    }

    /// Cancels the pending review; other entries decide on the reports so far.
    pub fn cancel_review(&mut self) {
        self.review_due = None;
    }

    /// Determines the causes of the known crashes, raises the status of requests in `statuses`, and
    /// returns the requests whose status it raised.
    pub fn review(
        &mut self,
        now: Instant,
        statuses: &mut QuarantineTable,
    ) -> Vec<(RequestFingerprint, RequestStatus)> {
        self.review_due = None;
        self.drop_expired(now);
        let mut raised = Vec::new();
        for fingerprint in self.frequent_suspects() {
            let room = statuses.quarantines().count() < MAX_QUARANTINED;
            let status = if room && self.is_cause(fingerprint) {
                self.quarantined_at.insert(fingerprint, now);
                RequestStatus::Quarantined
            } else if !statuses.contains(fingerprint) {
                RequestStatus::Suspect
            } else {
                continue;
            };
            if statuses.raise(fingerprint, status, now) {
                raised.push((fingerprint, status));
            }
        }
        raised
    }

    /// Returns requests that were present at several crashes, the most frequent first.
    fn frequent_suspects(&self) -> Vec<RequestFingerprint> {
        let totals = self.totals.iter();
        let often = totals.filter(|(_, total)| **total >= SUSPECT_CRASHES);
        let mut fingerprints: Vec<RequestFingerprint> =
            often.map(|(fingerprint, _)| *fingerprint).collect();
        fingerprints
            .sort_unstable_by_key(|fingerprint| (Reverse(self.total(*fingerprint)), *fingerprint));
        fingerprints
    }

    /// Returns whether the request alone explains enough crashes, including one since it was
    /// last put into quarantine.
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

    /// Returns whether no other suspect of this crash has been present at as many crashes.
    fn explains(&self, fingerprint: RequestFingerprint, crash: &ServerCrash) -> bool {
        let total = self.total(fingerprint);
        let max_total = if total >= INSEPARABLE_CRASHES {
            total
        } else {
            total - 1
        };
        let mut others = crash.suspects.iter().filter(|other| **other != fingerprint);
        others.all(|other| self.total(*other) <= max_total)
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

//! Finds the request that ended servers, from all that were at them.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::crash::print::RequestFingerprint;
use crate::crash::quarantine::QuarantineTable;
use crate::crash::word::{CrashReport, RequestStatus};

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
/// end, whatever they run, and refusing callers would only add to it.
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
/// Suspects of one end: all that a server runs and queues.
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
    ends: VecDeque<ServerCrash>,
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
        self.forget(now);
        let found = self.ends.iter().position(|end| end.run == report.run);
        let index = found.unwrap_or_else(|| {
            self.ends.push_back(ServerCrash {
                run: report.run,
                at: now,
                suspects: Vec::new(),
                cleared: Vec::new(),
            });
            self.ends.len() - 1
        });
        let end = &mut self.ends[index];
        let print = report.print;
        let is_known = end.suspects.contains(&print) || end.cleared.contains(&print);
        if is_known || end.suspects.len() >= MAX_SUSPECTS_PER_CRASH {
            return false;
        }
        end.suspects.push(print);
        *self.totals.entry(print).or_default() += 1;
        self.newest = Some(now);
        self.review_due = self.review_due.or(Some(now + REVIEW_DELAY));
        true
    }

    /// The request was answered well: it is no suspect of the ends that are known. Whether
    /// it was one.
    pub fn clear(&mut self, print: RequestFingerprint) -> bool {
        if self.totals.remove(&print).is_none() {
            return false;
        }
        self.quarantined_at.remove(&print);
        for end in &mut self.ends {
            if let Some(index) = end.suspects.iter().position(|known| *known == print) {
                end.suspects.swap_remove(index);
                end.cleared.push(print);
            }
        }
        true
    }

    /// Whether the request is a suspect.
    pub fn suspects(&self, print: RequestFingerprint) -> bool {
        self.totals.contains_key(&print)
    }

    /// Whether there were news lately.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = self.newest.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < RECENT_REPORTS_TIME)
    }

    /// When the cause is to be looked for next.
    pub fn review_due(&self) -> Option<Instant> {
        self.review_due
    }

    /// Leaves what is known so far to others.
    pub fn leave(&mut self) {
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
        self.forget(now);
        let mut raised = Vec::new();
        for print in self.often_seen() {
            let room = book.quarantines().count() < MAX_QUARANTINED;
            let status = if room && self.is_cause(print) {
                self.quarantined_at.insert(print, now);
                RequestStatus::Quarantined
            } else if !book.contains(print) {
                RequestStatus::Suspect
            } else {
                continue;
            };
            if book.raise(print, status, now) {
                raised.push((print, status));
            }
        }
        raised
    }

    /// Requests that were at several servers when these ended, those at most of them first.
    fn often_seen(&self) -> Vec<RequestFingerprint> {
        let totals = self.totals.iter();
        let often = totals.filter(|(_, total)| **total >= SUSPECT_CRASHES);
        let mut prints: Vec<RequestFingerprint> = often.map(|(print, _)| *print).collect();
        prints.sort_unstable_by_key(|print| (Reverse(self.total(*print)), *print));
        prints
    }

    /// Whether the request alone explains enough ends, one of them since it was last put
    /// into quarantine.
    fn is_cause(&self, print: RequestFingerprint) -> bool {
        let explained: Vec<&ServerCrash> = self
            .ends
            .iter()
            .filter(|end| end.suspects.contains(&print) && self.explains(print, end))
            .collect();
        let since = self.quarantined_at.get(&print);
        let is_new = explained
            .iter()
            .any(|end| since.is_none_or(|at| end.at > *at));
        explained.len() >= QUARANTINE_CRASHES && is_new
    }

    /// Whether no other request that was there has been at as many ends.
    fn explains(&self, print: RequestFingerprint, end: &ServerCrash) -> bool {
        let total = self.total(print);
        let most = if total >= INSEPARABLE_CRASHES {
            total
        } else {
            total - 1
        };
        let mut others = end.suspects.iter().filter(|other| **other != print);
        others.all(|other| self.total(*other) <= most)
    }

    fn total(&self, print: RequestFingerprint) -> usize {
        self.totals.get(&print).copied().unwrap_or(0)
    }

    fn forget(&mut self, now: Instant) {
        while let Some(oldest) = self.ends.front() {
            let age = now.saturating_duration_since(oldest.at);
            if age < CRASH_TTL && self.ends.len() <= MAX_CRASHES {
                return;
            }
            let Some(oldest) = self.ends.pop_front() else {
                return;
            };
            for print in oldest.suspects {
                if let Some(total) = self.totals.get_mut(&print) {
                    *total -= 1;
                    if *total == 0 {
                        self.totals.remove(&print);
                        self.quarantined_at.remove(&print);
                    }
                }
            }
        }
    }
}

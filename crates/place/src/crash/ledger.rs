//! Judges which request ended servers, from all that were at them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::crash::print::RequestPrint;
use crate::crash::verdict::VerdictBook;
use crate::crash::word::{CrashSighting, VerdictKind};

/// Servers that a request may end before it is put into quarantine. Two may be chance: a
/// request and its repeat that each met a server on its way down.
const FREE_ENDS: usize = 3;
/// Ends after which a request is accused: all entries look out for a good answer to it.
const ACCUSED_ENDS: usize = 2;
/// Ends from which a request is to blame although another was at the same servers: two
/// that never part can't be told from each other.
const INSEPARABLE_ENDS: usize = 5;
/// Time from the first news until it is judged, so that the words of all entries that had
/// requests at the server are in: several trips between regions.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How long an end counts: a request that comes every few minutes is found out as well.
const EVIDENCE_TIME: Duration = Duration::from_secs(1800);
/// How long after the last news good answers are compared with the suspects: the longest
/// time that a repeat takes.
const FRESH_TIME: Duration = Duration::from_secs(10);
/// Ends kept at most; with all suspects 0.6 MB.
const ENDS_KEPT: usize = 512;
/// Suspects of one end: all that a server runs and queues.
const SUSPECTS_MOST: usize = 64;

/// The end of a server.
#[derive(Debug)]
struct ServerEnd {
    run: u64,
    at: Instant,
    suspects: Vec<RequestPrint>,
    /// Those that were answered well since.
    cleared: Vec<RequestPrint>,
}

/// The ends of servers that are known, and the requests that were at them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    ends: VecDeque<ServerEnd>,
    /// Ends for each suspect.
    totals: HashMap<RequestPrint, usize>,
    /// When suspects were last put into quarantine.
    sentenced: HashMap<RequestPrint, Instant>,
    judge_due: Option<Instant>,
    newest: Option<Instant>,
}

impl CrashLedger {
    /// Takes in that a request was at a server when it ended; whether that is news.
    pub fn on_sighting(&mut self, now: Instant, sighting: CrashSighting) -> bool {
        self.forget(now);
        let found = self.ends.iter().position(|end| end.run == sighting.run);
        let index = found.unwrap_or_else(|| {
            self.ends.push_back(ServerEnd {
                run: sighting.run,
                at: now,
                suspects: Vec::new(),
                cleared: Vec::new(),
            });
            self.ends.len() - 1
        });
        let end = &mut self.ends[index];
        let print = sighting.print;
        let is_known = end.suspects.contains(&print) || end.cleared.contains(&print);
        if is_known || end.suspects.len() >= SUSPECTS_MOST {
            return false;
        }
        end.suspects.push(print);
        *self.totals.entry(print).or_default() += 1;
        self.newest = Some(now);
        self.judge_due = self.judge_due.or(Some(now + SETTLE_TIME));
        true
    }

    /// The request was answered well: it is no suspect of the ends that are known. Whether
    /// it was one.
    pub fn clear(&mut self, print: RequestPrint) -> bool {
        if self.totals.remove(&print).is_none() {
            return false;
        }
        self.sentenced.remove(&print);
        for end in &mut self.ends {
            if let Some(index) = end.suspects.iter().position(|known| *known == print) {
                end.suspects.swap_remove(index);
                end.cleared.push(print);
            }
        }
        true
    }

    /// Whether the request is a suspect.
    pub fn suspects(&self, print: RequestPrint) -> bool {
        self.totals.contains_key(&print)
    }

    /// Whether there were news lately.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = self.newest.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < FRESH_TIME)
    }

    /// When it is to be judged next.
    pub fn judge_due(&self) -> Option<Instant> {
        self.judge_due
    }

    /// Leaves the judging of what is known so far to others.
    pub fn leave(&mut self) {
        self.judge_due = None;
    }

    /// Judges the suspects; adds to `verdicts` and returns what is new.
    pub fn judge(
        &mut self,
        now: Instant,
        verdicts: &mut VerdictBook,
    ) -> Vec<(RequestPrint, VerdictKind)> {
        self.judge_due = None;
        self.forget(now);
        let mut news = Vec::new();
        for (print, total) in &self.totals {
            let kind = if *total >= FREE_ENDS && self.is_to_blame(*print) {
                self.sentenced.insert(*print, now);
                VerdictKind::Quarantined
            } else if *total >= ACCUSED_ENDS && !verdicts.contains(*print) {
                VerdictKind::Accused
            } else {
                continue;
            };
            if verdicts.judge(*print, kind, now) {
                news.push((*print, kind));
            }
        }
        news.sort_unstable();
        news
    }

    /// Whether the request alone explains enough ends, one of them since it was last put
    /// into quarantine.
    fn is_to_blame(&self, print: RequestPrint) -> bool {
        let blamed: Vec<&ServerEnd> = self
            .ends
            .iter()
            .filter(|end| end.suspects.contains(&print) && self.explains(print, end))
            .collect();
        let since = self.sentenced.get(&print);
        let is_new = blamed.iter().any(|end| since.is_none_or(|at| end.at > *at));
        blamed.len() >= FREE_ENDS && is_new
    }

    /// Whether no other request that was there has ended as many servers.
    fn explains(&self, print: RequestPrint, end: &ServerEnd) -> bool {
        let total = self.total(print);
        let mut others = end.suspects.iter().filter(|other| **other != print);
        total >= INSEPARABLE_ENDS || others.all(|other| self.total(*other) < total)
    }

    fn total(&self, print: RequestPrint) -> usize {
        self.totals.get(&print).copied().unwrap_or(0)
    }

    fn forget(&mut self, now: Instant) {
        while let Some(oldest) = self.ends.front() {
            let age = now.saturating_duration_since(oldest.at);
            if age < EVIDENCE_TIME && self.ends.len() <= ENDS_KEPT {
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
                        self.sentenced.remove(&print);
                    }
                }
            }
        }
    }
}

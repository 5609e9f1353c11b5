//! Which promises a run has broken.
//!
//! - **Drain.** No request reaches a server later than [`DRAIN`] after the store acknowledged
//!   its leaving, from an entry without faults for [`STABLE_WINDOW`] and of a store without
//!   faults for as long. Where the store lists an older word of it and no process that had
//!   seen the server leave before runs any more, the store's word is all that there is: counted
//!   apart.
//! - **Return.** An entry that has written that a server left doesn't take it in again in the
//!   same run, and sends it nothing [`DRAIN`] later; this holds under all faults.
//! - **Once.** A request that must not repeat runs once at most, one that was answered as not run
//!   has not run, and a good answer is the whole one of a server that ran the request; under all
//!   faults.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use crate::config::{DRAIN, STABLE_WINDOW};
use crate::history::{RunEvent, RunHistory, ServerChange, millis};
use crate::{callers, servers};

/// Status of a good answer.
const GOOD: u16 = 200;
/// Statuses which promise that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Broken promises that are told one by one.
const TOLD_MOST: usize = 12;

/// What came of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunVerdict {
    /// Seed of the faults.
    pub seed: u64,
    /// Requests that reached servers.
    pub arrivals: usize,
    /// Servers that have left.
    pub left: usize,
    /// Faults by name.
    pub faults: BTreeMap<String, usize>,
    /// Late requests by entries without faults.
    pub drain: Vec<String>,
    /// Servers that were taken in again by entries that had written of their leaving.
    pub returned: Vec<String>,
    /// Requests that ran twice, were run though refused, or got another answer than their own.
    pub once: Vec<String>,
    /// Late requests to servers that the store lists by an older word, and whose leaving no
    /// process has seen that runs.
    pub forgotten: usize,
    /// Late requests by entries or of a store with faults, and the latest of them in
    /// milliseconds; no promise binds there.
    pub excused: (usize, u64),
    /// Answers of status 200 and others.
    pub answers: (usize, usize),
}

impl RunVerdict {
    /// Number of broken promises.
    pub fn broken(&self) -> usize {
        self.drain.len() + self.returned.len() + self.once.len()
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(k, v)| format!("{k} {v}"))
            .collect();
        write!(
            f,
            "seed {}: {} arrivals, {} servers left, answers {} good {} other, faults [{}]; \
             drain {}, returned {}, once {}, forgotten by all {}, late under faults {} (latest {} ms)",
            self.seed,
            self.arrivals,
            self.left,
            self.answers.0,
            self.answers.1,
            faults.join(", "),
            self.drain.len(),
            self.returned.len(),
            self.once.len(),
            self.forgotten,
            self.excused.0,
            self.excused.1,
        )?;
        let breaches = self.drain.iter().chain(&self.returned).chain(&self.once);
        for breach in breaches.take(TOLD_MOST) {
            write!(f, "\n  {breach}")?;
        }
        Ok(())
    }
}

/// Times without faults of an entry or of the store.
#[derive(Debug, Default, Clone, Copy)]
struct FaultClock {
    faulty: u32,
    calm_since: u64,
}

impl FaultClock {
    fn begin(&mut self) {
        self.faulty += 1;
    }

    fn end(&mut self, at: u64) {
        self.faulty = self.faulty.saturating_sub(1);
        self.calm_since = at;
    }

    /// Whether there was no fault for the stable window at `at`.
    fn is_stable(&self, at: u64) -> bool {
        self.faulty == 0 && at >= self.calm_since + millis(STABLE_WINDOW)
    }
}

/// An entry and the number of its run.
type EntryRun = (usize, u32);

#[derive(Debug, Default)]
struct RunJudge {
    store: FaultClock,
    entries: HashMap<usize, FaultClock>,
    /// When each leaving was acknowledged.
    left: HashMap<String, u64>,
    /// When each run of an entry wrote that a server left.
    known: HashMap<(usize, u32, String), u64>,
    runs: HashMap<usize, u32>,
    lag: u64,
    /// When an older word of a server was written, and the runs of entries that had seen the
    /// server leave.
    late_words: HashMap<String, (u64, Vec<EntryRun>)>,
    /// The servers that ran each request.
    ran: HashMap<String, Vec<String>>,
    /// Requests that were answered as not run.
    refused: HashSet<String>,
}

/// Judges `history`.
pub fn judge(history: &RunHistory) -> RunVerdict {
    let mut verdict = RunVerdict {
        seed: history.seed,
        arrivals: 0,
        left: 0,
        faults: BTreeMap::new(),
        drain: Vec::new(),
        returned: Vec::new(),
        once: Vec::new(),
        forgotten: 0,
        excused: (0, 0),
        answers: (0, 0),
    };
    let mut judge = RunJudge::default();
    for timed in &history.events {
        judge.on_event(timed.at, &timed.event, &mut verdict);
    }
    verdict.left = judge.left.len();
    verdict
}

impl RunJudge {
    fn on_event(&mut self, at: u64, event: &RunEvent, verdict: &mut RunVerdict) {
        match event {
            RunEvent::Left { server } => {
                self.left.entry(server.clone()).or_insert(at);
            }
            RunEvent::LateWord { server } => {
                let knowing = self.knowing(server);
                self.late_words.insert(server.clone(), (at, knowing));
            }
            RunEvent::Arrived {
                server,
                entry,
                request,
            } => {
                verdict.arrivals += 1;
                self.on_ran(server, request, verdict);
                self.on_arrived(at, server, *entry, verdict);
            }
            RunEvent::Started { entry, run } => {
                self.runs.insert(*entry, *run);
            }
            RunEvent::Ended { entry } => {
                self.runs.remove(entry);
            }
            RunEvent::Line {
                entry,
                run,
                server,
                change,
            } => {
                self.on_line(at, (*entry, *run, server), *change, verdict);
            }
            RunEvent::Fault { name, entry } => {
                *verdict.faults.entry(name.clone()).or_default() += 1;
                self.clock(*entry).begin();
            }
            RunEvent::Calm { entry } => self.clock(*entry).end(at),
            RunEvent::Lag { ms } => self.lag = self.lag.max(*ms),
            RunEvent::Answered {
                request,
                status,
                body,
            } => self.on_answered(request, *status, body, verdict),
        }
    }

    fn clock(&mut self, entry: Option<usize>) -> &mut FaultClock {
        match entry {
            None => &mut self.store,
            Some(entry) => self.entries.entry(entry).or_default(),
        }
    }

    fn on_arrived(&mut self, at: u64, server: &str, entry: usize, verdict: &mut RunVerdict) {
        let Some(left) = self.left.get(server).copied() else {
            return;
        };
        let bound = millis(DRAIN) + self.lag;
        let run = self.runs.get(&entry).copied().unwrap_or_default();
        let known = self.known.get(&(entry, run, server.to_owned()));
        if known.is_some_and(|known| at > known + bound) {
            let text = format!(
                "returned: {server} got a request at {at} ms from entry {entry}, which knew of its leaving; left {left} ms"
            );
            verdict.returned.push(text);
            return;
        }
        if at <= left + bound {
            return;
        }
        let late = at - left;
        let is_stable = self.clock(Some(entry)).is_stable(at) && self.store.is_stable(at);
        // A leaving in a disturbance counts from the time when the store was stable again.
        let counted = left.max(self.store.calm_since + millis(STABLE_WINDOW));
        let word = self.late_words.get(server);
        if !is_stable || at <= counted + bound {
            verdict.excused.0 += 1;
            verdict.excused.1 = verdict.excused.1.max(late);
        } else if word.is_some_and(|(_, knowing)| !self.is_any_running(knowing)) {
            verdict.forgotten += 1;
        } else {
            let word = word.map(|(at, _)| at);
            verdict.drain.push(format!(
                "drain: {server} got a request at {at} ms from entry {entry}, {late} ms after its \
                 leaving; older word written at {word:?}"
            ));
        }
    }

    fn on_ran(&mut self, server: &str, request: &str, verdict: &mut RunVerdict) {
        let servers = self.ran.entry(request.to_owned()).or_default();
        servers.push(server.to_owned());
        if !callers::is_once(request) {
            return;
        }
        if servers.len() > 1 {
            let text = format!("once: {request} ran at {}", servers.join(" and "));
            verdict.once.push(text);
        }
        if self.refused.contains(request) {
            let text = format!("once: {request} was refused and ran later");
            verdict.once.push(text);
        }
    }

    fn on_answered(&mut self, request: &str, status: u16, body: &str, verdict: &mut RunVerdict) {
        let ran = self.ran.get(request);
        match status {
            GOOD => {
                verdict.answers.0 += 1;
                let mut servers = ran.into_iter().flatten();
                if !servers.any(|server| servers::body_of(request, server) == body) {
                    let text = format!("once: {request} was answered with '{body}'");
                    verdict.once.push(text);
                }
            }
            _ => {
                verdict.answers.1 += 1;
                let is_promise = NOT_RUN.contains(&status) && callers::is_once(request);
                if is_promise && ran.is_some() {
                    let text = format!("once: {request} ran and was answered {status}");
                    verdict.once.push(text);
                }
                if is_promise {
                    self.refused.insert(request.to_owned());
                }
            }
        }
    }

    /// The runs that have seen `server` leave.
    fn knowing(&self, server: &str) -> Vec<EntryRun> {
        let runs = self.runs.iter().map(|(entry, run)| (*entry, *run));
        let knows = |(entry, run): &EntryRun| {
            let key = (*entry, *run, server.to_owned());
            self.known.contains_key(&key)
        };
        runs.filter(knows).collect()
    }

    fn is_any_running(&self, runs: &[EntryRun]) -> bool {
        let mut runs = runs.iter();
        runs.any(|(entry, run)| self.runs.get(entry) == Some(run))
    }

    fn on_line(
        &mut self,
        at: u64,
        (entry, run, server): (usize, u32, &str),
        change: ServerChange,
        verdict: &mut RunVerdict,
    ) {
        let has_left = self.left.contains_key(server);
        let key = (entry, run, server.to_owned());
        match change {
            ServerChange::Left if has_left => {
                self.known.entry(key).or_insert(at);
            }
            ServerChange::Joined if self.known.contains_key(&key) => {
                let text = format!(
                    "returned: entry {entry} took {server} in again at {at} ms, having written that it left"
                );
                verdict.returned.push(text);
            }
            _ => {}
        }
    }
}

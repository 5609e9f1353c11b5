//! Checks the guarantees against a recorded history.
//!
//! - **Drain.** No request reaches a server later than [`DRAIN_TIMEOUT`] after the store
//!   acknowledged its departure, if the entry and the store have been free of faults for
//!   [`STABLE_WINDOW`](crate::config::STABLE_WINDOW). Late requests are counted separately if the store lists an earlier
//!   heartbeat of the server and every process that had seen it leave before that has ended:
//!   then no entry can know better.
//! - **Return.** An entry that logged the departure of a server does not take it in again in the
//!   same run, and sends it no request [`DRAIN_TIMEOUT`] later. This holds under all faults.
//! - **Leaving.** No request reaches a server later than [`DRAIN_TIMEOUT`] after its entry passed on
//!   a response in which the server says that it leaves. Only a restart or a freeze of the entry
//!   since then excuses it.
//! - **Rest.** A server that turned a request of an entry away and asked it for rest gets two
//!   requests at most from it in that time, but for the first half second. Any fault of the entry
//!   since then excuses it.
//! - **Limit.** A server that names a rate limit gets no more than it tolerates, beginning with
//!   [`STABLE_WINDOW`](crate::config::STABLE_WINDOW) after that, from entries that know of it and that had no fault.
//! - **Once.** An at-most-once request is executed at most once. A request that was answered as
//!   not run has not been executed. A successful response is the complete response of a server
//!   that executed the request. This holds under all faults.
//!
//! Those about what the operator orders are in `judge_promises`.

use std::collections::{HashMap, HashSet};

use crate::config::DRAIN_TIMEOUT;
use crate::faults::PARTITION_FAULT;
use crate::history::{RunEvent, RunHistory, ServerChange, Statement, millis};
use crate::judge_desired::EntryState;
use crate::judge_faults::FaultState;
use crate::judge_limits::LimitJudge;
use crate::judge_paths::PathJudge;
use crate::judge_promises::PromiseJudge;
use crate::judge_recovery::RecoveryJudge;
use crate::judge_rests::RestJudge;
use crate::judge_statements::StatementJudge;
pub use crate::report::SoakReport;
use crate::{callers, server_connections};

/// Status code of a successful response.
const STATUS_OK: u16 = 200;
/// Status codes which guarantee that the request was not executed and never will be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Name of the fault in which an entry is suspended.
const FREEZE_FAULT: &str = "frozen";

/// Entry number and run number.
type EntryRun = (usize, u32);

#[derive(Debug, Default)]
struct RunJudge {
    store: FaultState,
    entries: HashMap<usize, FaultState>,
    /// Time at which the store acknowledged the departure of each server.
    left_at: HashMap<String, u64>,
    /// Time at which each run of an entry logged the departure of a server.
    seen_leaving_at: HashMap<(usize, u32, String), u64>,
    runs: HashMap<usize, u32>,
    max_lag_ms: u64,
    /// For each server, when an earlier heartbeat was written late, and the runs that had seen
    /// the departure by then.
    late_heartbeats: HashMap<String, (u64, Vec<EntryRun>)>,
    /// The servers that executed each request.
    servers_by_request: HashMap<String, Vec<String>>,
    /// At-most-once requests that were answered as not run.
    refused: HashSet<String>,
    limits: LimitJudge,
    rests: RestJudge,
    paths: PathJudge,
    promises: PromiseJudge,
    recovery: RecoveryJudge,
    statements: StatementJudge,
}

/// Checks `history` against the guarantees.
pub fn judge(history: &RunHistory) -> SoakReport {
    let mut report = SoakReport {
        seed: history.seed,
        ..SoakReport::default()
    };
    let mut judge = RunJudge::default();
    for timed in &history.events {
        judge.on_event(timed.at, &timed.event, &mut report);
    }
    judge.promises.finish(&mut report);
    report.path_violations.extend(judge.paths.violation());
    report
        .recovery_violations
        .extend(judge.recovery.violations());
    report.served_percent = judge.recovery.served_percent();
    report.servers_left = judge.left_at.len();
    if judge.limits.room > 0.0 {
        let share = judge.limits.used as f64 / judge.limits.room;
        report.limits_used_percent = (100.0 * share).round() as u32;
    }
    report
}

impl RunJudge {
    fn on_event(&mut self, at: u64, event: &RunEvent, report: &mut SoakReport) {
        match event {
            RunEvent::Left { server } => {
                self.left_at.entry(server.clone()).or_insert(at);
            }
            RunEvent::LateHeartbeat { server } => {
                let aware_runs = self.runs_aware_of(server);
                self.late_heartbeats
                    .insert(server.clone(), (at, aware_runs));
            }
            RunEvent::Arrived {
                server,
                entry,
                request,
            } => {
                report.arrivals += 1;
                self.on_executed(server, request, report);
                self.on_arrived(at, server, *entry, report);
                self.check_limit(at, server, *entry, report);
                self.check_leaving(at, server, *entry, report);
                // A relayed request binds the entry that its caller asked, too.
                let asked = server_connections::entry_of(request).filter(|asked| asked != entry);
                if let Some(asked) = asked {
                    self.check_leaving(at, server, asked, report);
                }
                self.check_rest(at, server, *entry, report);
                let entry = self.entry_state(at, *entry);
                self.promises.on_arrived(at, server, request, entry, report);
            }
            RunEvent::TurnedAway {
                server,
                entry,
                rest_ms,
            } => {
                self.check_rest(at, server, *entry, report);
                let run = self.runs.get(entry).copied().unwrap_or_default();
                self.rests.on_asked(at, (*entry, run), server, *rest_ms);
            }
            RunEvent::Limit { server, milli } => self.limits.on_limit(at, server, *milli),
            RunEvent::Stated {
                server,
                request,
                statement,
            } => self.statements.on_stated(server, request, *statement),
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
                self.on_line(at, (*entry, *run, server), *change, report);
            }
            RunEvent::Fault { name, entry } => {
                *report.faults.entry(name.clone()).or_default() += 1;
                if name == FREEZE_FAULT {
                    self.statements.excuse(*entry);
                }
                match entry {
                    Some(entry) => {
                        self.rests.excuse(*entry);
                        if name == PARTITION_FAULT {
                            self.paths.on_separated(at, *entry);
                        }
                    }
                    None => self.promises.on_store_fault(),
                }
                self.fault_state(*entry).begin();
            }
            RunEvent::Calm { entry } => {
                if let Some(entry) = entry {
                    self.paths.on_calm(*entry);
                }
                self.fault_state(*entry).end(at);
            }
            RunEvent::Desired { .. }
            | RunEvent::Sent { .. }
            | RunEvent::Evacuation { .. }
            | RunEvent::Pipelined { .. }
            | RunEvent::Ordered { .. }
            | RunEvent::BadResponse { .. }
            | RunEvent::RolloutState { .. } => {
                let is_store_stable = self.store.is_stable(at);
                self.promises.on_event(at, event, is_store_stable, report);
            }
            RunEvent::Power { is_back } => self.recovery.on_power(at, *is_back),
            RunEvent::Crashed { server } => {
                let text = format!("cold: {server} got more requests than it bears at {at} ms");
                report.cold_violations.push(text);
            }
            RunEvent::Unconnected { request } => self.recovery.on_ended(at, request, false),
            RunEvent::Lag { ms } => self.max_lag_ms = self.max_lag_ms.max(*ms),
            RunEvent::Answered {
                request,
                status,
                body,
            } => {
                self.recovery.on_ended(at, request, *status == STATUS_OK);
                self.on_passed_on(at, request, *status);
                if let Some(entry) = server_connections::entry_of(request) {
                    let state = *self.fault_state(Some(entry));
                    let faults = (state.active_faults, state.is_stable(at));
                    let is_served = *status == STATUS_OK;
                    self.paths.on_answered(at, entry, is_served, faults);
                    let entry = self.entry_state(at, entry);
                    self.promises.on_answered(request, *status, entry, report);
                }
                self.on_answered(request, *status, body, report);
            }
        }
    }

    fn fault_state(&mut self, entry: Option<usize>) -> &mut FaultState {
        match entry {
            None => &mut self.store,
            Some(entry) => self.entries.entry(entry).or_default(),
        }
    }

    fn on_arrived(&mut self, at: u64, server: &str, entry: usize, report: &mut SoakReport) {
        let Some(left_at) = self.left_at.get(server).copied() else {
            return;
        };
        let bound = millis(DRAIN_TIMEOUT) + self.max_lag_ms;
        let run = self.runs.get(&entry).copied().unwrap_or_default();
        let seen_leaving_at = self.seen_leaving_at.get(&(entry, run, server.to_owned()));
        if seen_leaving_at.is_some_and(|seen_at| at > seen_at + bound) {
            let text = format!(
                "returned: {server} got a request at {at} ms from entry {entry}, which knew that it left at {left_at} ms"
            );
            report.readmissions.push(text);
            return;
        }
        if at <= left_at + bound {
            return;
        }
        let late = at - left_at;
        let is_stable = self.fault_state(Some(entry)).is_stable(at) && self.store.is_stable(at);
        // If the store was faulty at the departure, the bound starts when it is stable again.
        let bound_start = left_at.max(self.store.stable_since());
        let late_heartbeat = self.late_heartbeats.get(server);
        if !is_stable || at <= bound_start + bound {
            report.late_under_faults.0 += 1;
            report.late_under_faults.1 = report.late_under_faults.1.max(late);
        } else if late_heartbeat.is_some_and(|(_, aware_runs)| !self.is_any_running(aware_runs)) {
            report.forgotten += 1;
        } else {
            let written_at = late_heartbeat.map(|(at, _)| at);
            report.drain_violations.push(format!(
                "drain: {server} got a request at {at} ms from entry {entry}, {late} ms after its \
                 departure; earlier heartbeat written at {written_at:?}"
            ));
        }
    }

    fn entry_state(&mut self, at: u64, entry: usize) -> EntryState {
        let run = self.runs.get(&entry).copied().unwrap_or_default();
        let is_stable = self.fault_state(Some(entry)).is_stable(at) && self.store.is_stable(at);
        EntryState {
            run: (entry, run),
            is_stable,
            store_stable_since: self.store.stable_since(),
            lag_ms: self.max_lag_ms,
        }
    }

    fn check_limit(&mut self, at: u64, server: &str, entry: usize, report: &mut SoakReport) {
        let run = self.runs.get(&entry).copied().unwrap_or_default();
        let is_faulty = !self.fault_state(Some(entry)).is_stable(at);
        let lag_ms = self.max_lag_ms;
        let violation = self
            .limits
            .on_arrived(at, (entry, run), server, lag_ms, is_faulty);
        report.limit_violations.extend(violation);
    }

    fn check_leaving(&mut self, at: u64, server: &str, entry: usize, report: &mut SoakReport) {
        let run = self.runs.get(&entry).copied().unwrap_or_default();
        let bound_ms = millis(DRAIN_TIMEOUT) + self.max_lag_ms;
        let violation = self.statements.check(at, (entry, run), server, bound_ms);
        report.leaving_violations.extend(violation);
    }

    fn check_rest(&mut self, at: u64, server: &str, entry: usize, report: &mut SoakReport) {
        let run = self.runs.get(&entry).copied().unwrap_or_default();
        let lag_ms = self.max_lag_ms;
        let violation = self.rests.on_reached(at, (entry, run), server, lag_ms);
        report.rest_violations.extend(violation);
    }

    /// Handles that an entry passed on what servers said in their responses to `request`.
    fn on_passed_on(&mut self, at: u64, request: &str, status: u16) {
        let statements = self.statements.take(request);
        let Some(entry) = server_connections::entry_of(request).filter(|_| status != 0) else {
            return;
        };
        let run = self.runs.get(&entry).copied().unwrap_or_default();
        for (server, statement) in statements {
            let run = (entry, run);
            match statement {
                Statement::Limited => self.limits.on_limit_known(at, run, &server),
                Statement::Leaving => self.statements.on_leaving_known(at, run, server),
            }
        }
    }

    fn on_executed(&mut self, server: &str, request: &str, report: &mut SoakReport) {
        let servers = self
            .servers_by_request
            .entry(request.to_owned())
            .or_default();
        servers.push(server.to_owned());
        if !callers::is_at_most_once(request) {
            return;
        }
        if servers.len() > 1 {
            let text = format!("once: {request} ran at {}", servers.join(" and "));
            report.once_violations.push(text);
        }
        if self.refused.contains(request) {
            let text = format!("once: {request} was refused and ran later");
            report.once_violations.push(text);
        }
    }

    fn on_answered(&mut self, request: &str, status: u16, body: &str, report: &mut SoakReport) {
        let ran_on = self.servers_by_request.get(request);
        match status {
            STATUS_OK => {
                report.responses.0 += 1;
                let mut servers = ran_on.into_iter().flatten();
                if !servers.any(|server| server_connections::response_body(request, server) == body)
                {
                    let text = format!("once: {request} was answered with '{body}'");
                    report.once_violations.push(text);
                }
            }
            _ => {
                report.responses.1 += 1;
                let says_not_run =
                    NOT_RUN_STATUSES.contains(&status) && callers::is_at_most_once(request);
                if says_not_run && ran_on.is_some() {
                    let text = format!("once: {request} ran and was answered {status}");
                    report.once_violations.push(text);
                }
                if says_not_run {
                    self.refused.insert(request.to_owned());
                }
            }
        }
    }

    /// Returns the running processes that have logged the departure of `server`.
    fn runs_aware_of(&self, server: &str) -> Vec<EntryRun> {
        let runs = self.runs.iter().map(|(entry, run)| (*entry, *run));
        let is_aware = |(entry, run): &EntryRun| {
            let key = (*entry, *run, server.to_owned());
            self.seen_leaving_at.contains_key(&key)
        };
        runs.filter(is_aware).collect()
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
        report: &mut SoakReport,
    ) {
        let has_left = self.left_at.contains_key(server);
        let key = (entry, run, server.to_owned());
        match change {
            ServerChange::Left if has_left => {
                self.seen_leaving_at.entry(key).or_insert(at);
            }
            ServerChange::Joined if self.seen_leaving_at.contains_key(&key) => {
                let text = format!(
                    "returned: entry {entry} took {server} in again at {at} ms, after it had logged its departure"
                );
                report.readmissions.push(text);
            }
            _ => {}
        }
    }
}

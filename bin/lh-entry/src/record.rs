//! Collects what happens to a request, and logs it as one line when the request ends.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::Outcome;
use hyper::StatusCode;
use place::crash::fingerprint::RequestFingerprint;
use place::desired::RouteSpec;
use place::request::{Placement, Refusal};
use place::server::ServerReport;
use team::spec::TeamSpec;

use crate::problem::Problem;
use crate::state::InstanceState;

/// The log record of a request. If it is dropped unfinished, the caller has disconnected.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    state: Rc<InstanceState>,
    pub(crate) started_at: Instant,
    pub(crate) id: String,
    pub(crate) route: Option<Rc<RouteSpec>>,
    /// The team that sent the request.
    pub(crate) team: Option<Rc<TeamSpec>>,
    pub(crate) returning: bool,
    /// The request's fingerprint, if it was needed.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    attempts: String,
    attempt_count: u32,
    refusal: Option<Refusal>,
    /// Time after which the caller is asked to retry.
    retry_after: Duration,
    /// Why the entry responded itself, unless placement refused the request.
    reason: &'static str,
    finished: bool,
}

/// The outcome of a request as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The response of a server was forwarded.
    Answered,
    /// The request did not and will not run.
    NotRun,
    /// The request was invalid or not allowed.
    Rejected,
    /// The request may have run.
    Unknown,
    /// The caller disconnected.
    CallerLeft,
}

impl RequestOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Rejected => "rejected",
            Self::Unknown => "unknown",
            Self::CallerLeft => "caller-left",
        }
    }
}

impl RequestRecord {
    /// Creates the record of a request whose headers have just arrived.
    pub(crate) fn new(state: &Rc<InstanceState>, id: &str) -> Self {
        Self {
            state: Rc::clone(state),
            started_at: Instant::now(),
            id: id.to_owned(),
            route: None,
            team: None,
            returning: false,
            fingerprint: None,
            attempts: String::new(),
            attempt_count: 0,
            refusal: None,
            retry_after: Duration::ZERO,
            reason: "",
            finished: false,
        }
    }

    /// Records the server that was chosen, and why.
    pub(crate) fn on_placed(&mut self, placement: &Placement) {
        self.attempt_count += 1;
        let reason = &placement.reason;
        if reason.cold {
            self.state.metrics.on_limit("cold", true);
        }
        if reason.is_remote {
            self.state.metrics.on_limit("shift-cap", true);
        }
        let age = self.registry_age();
        let at = self.started_at.elapsed().as_millis();
        let _ = write!(
            self.attempts,
            "{}{}(expected {:.0}ms occupancy {:.1} warmth {:.2} rank {}{}{} at {at}ms by registry of {age}ms)",
            if self.attempt_count > 1 { "; " } else { "" },
            placement.id,
            reason.expected,
            reason.occupancy,
            reason.cache_likelihood,
            reason.rank,
            if reason.cold { " cold" } else { "" },
            if reason.is_remote { " away" } else { "" },
        );
    }

    /// Records that the request is relayed through the peer at `address`.
    pub(crate) fn on_relayed(&mut self, address: SocketAddr) {
        self.attempt_count += 1;
        let separator = if self.attempt_count > 1 { "; " } else { "" };
        let at = self.started_at.elapsed().as_millis();
        let _ = write!(
            self.attempts,
            "{separator}through entry {address} at {at}ms"
        );
    }

    /// Records that the latest attempt was sent, if it had to wait for a connection.
    pub(crate) fn on_sent(&mut self, wait_time: Duration) {
        let wait_time = wait_time.as_millis();
        if wait_time > 0 {
            let _ = write!(self.attempts, " sent after {wait_time}ms");
        }
    }

    /// Returns the age of the latest registry snapshot in milliseconds; -1 if there is none.
    fn registry_age(&self) -> i64 {
        let read_at = self.state.placer.borrow().catalog.read_at();
        read_at.map_or(-1, |at| at.elapsed().as_millis() as i64)
    }

    /// Records the result of the latest attempt.
    pub(crate) fn on_attempt_result(&mut self, result: &str) {
        let at = self.started_at.elapsed().as_millis();
        let _ = write!(self.attempts, " -> {result} at {at}ms");
    }

    /// Records the status of a server's response and the load that the server reported with it.
    pub(crate) fn on_response(&mut self, status: StatusCode, report: Option<&ServerReport>) {
        let load = report.map_or(String::new(), |report| {
            format!(
                " (load {}+{}/{})",
                report.running, report.waiting, report.slots
            )
        });
        self.on_attempt_result(&format!("status {}{load}", status.as_u16()));
    }

    /// Records that placement refused the request.
    pub(crate) fn on_refused(&mut self, refusal: Refusal) {
        self.refusal = Some(refusal);
        self.retry_after = refusal.retry_after;
    }

    /// Finishes the record with a response by this entry.
    pub(crate) fn finish_with_problem(&mut self, problem: &Problem) {
        if self.refusal.is_none() {
            self.reason = problem.kind;
            self.retry_after = problem.retry_after.unwrap_or_default();
        }
        let outcome = match problem.outcome {
            Outcome::Done => RequestOutcome::Answered,
            Outcome::Unknown => RequestOutcome::Unknown,
            Outcome::NotRun if problem.retry_after.is_none() => RequestOutcome::Rejected,
            Outcome::NotRun => RequestOutcome::NotRun,
        };
        self.finish(outcome, problem.status.as_u16());
    }

    /// Finishes the record with the response of the entry that the ticket names.
    pub(crate) fn finish_forwarded(&mut self, outcome: Outcome, status: u16) {
        self.reason = "passed-on";
        let outcome = match outcome {
            Outcome::Done => RequestOutcome::Answered,
            Outcome::NotRun => RequestOutcome::NotRun,
            Outcome::Unknown => RequestOutcome::Unknown,
        };
        self.finish(outcome, status);
    }

    /// Finishes the record with `outcome` and the `status` sent to the caller, and logs it. Calls
    /// after the first are ignored.
    pub(crate) fn finish(&mut self, outcome: RequestOutcome, status: u16) {
        if self.finished {
            return;
        }
        self.finished = true;
        let elapsed = self.started_at.elapsed();
        let route = self.route.as_ref().map_or("none", |route| &route.name);
        if self.attempt_count > 0 {
            let mut durations = self.state.durations.borrow_mut();
            durations.on_finished(Instant::now(), route, elapsed);
        }
        let metrics = &self.state.metrics;
        metrics.on_request(route, outcome.as_str(), elapsed.as_secs_f64());
        let objective = self.route.as_ref().map(|route| route.objective);
        if outcome == RequestOutcome::Answered
            && objective.is_some_and(|objective| elapsed <= objective)
        {
            metrics.on_good(route);
        }
        let servers_age_ms = self.registry_age();
        let state_age = self.state.proof_age();
        let state_age_ms = state_age.map_or(-1, |age| age.as_millis() as i64);
        let refused = self
            .refusal
            .map_or(self.reason, |refusal| refusal.reason.as_str());
        let back_in_ms = self.retry_after.as_millis() as u64;
        if matches!(outcome, RequestOutcome::NotRun | RequestOutcome::Rejected) {
            metrics.on_refusal(refused);
            let mut refusals = self.state.refusals.borrow_mut();
            refusals.on_refused(Instant::now(), route, refused, self.retry_after);
        }
        let team = self.team.as_ref().map(|team| team.name.as_str());
        if team.is_some() || !self.state.teams.borrow().is_empty() {
            metrics.teams.on_request(team, outcome.as_str());
        }
        self.refund_quota(outcome);
        if outcome == RequestOutcome::Rejected && !self.state.denial_log_limit.take(Instant::now())
        {
            return;
        }
        if matches!(refused, "cold" | "shift-cap") {
            self.state.metrics.on_limit(refused, false);
        }
        let may_repeat = self
            .route
            .as_ref()
            .is_none_or(|route| route.kind.may_repeat());
        let lost = outcome == RequestOutcome::Unknown && !may_repeat;
        let print = self.fingerprint.map(|fingerprint| fingerprint.to_string());
        let team = team.unwrap_or_default();
        let level = if lost {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            request = self.id.as_str(),
            route,
            team,
            outcome = outcome.as_str(),
            status,
            took_ms = elapsed.as_millis() as u64,
            attempts = self.attempts.as_str(),
            reason = refused,
            back_in_ms,
            returning = self.returning,
            print = print.as_deref().unwrap_or_default(),
            version = self.state.version(),
            state_age_ms,
            servers_age_ms;
            "request"
        );
    }
}

impl RequestRecord {
    /// Refunds the team's quota if the request did not run here.
    fn refund_quota(&self, outcome: RequestOutcome) {
        let has_run = outcome != RequestOutcome::NotRun && self.attempt_count > 0;
        if let Some(team) = self.team.as_ref().filter(|_| !has_run) {
            let mut quota = self.state.quota.borrow_mut();
            quota.refund(Instant::now(), &team.name);
        }
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.finish(RequestOutcome::CallerLeft, 0);
    }
}

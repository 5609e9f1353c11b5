//! The story of one request, told in one log line when it ends.

use std::fmt::Write as _;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::Outcome;
use hyper::StatusCode;
use place::crash::print::RequestFingerprint;
use place::desired::RouteSpec;
use place::request::{Placement, Refusal};
use place::server::ServerReport;
use team::spec::TeamSpec;

use crate::problem::Problem;
use crate::state::InstanceState;

/// What is known of a request, until it is answered or its caller has left.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    state: Rc<InstanceState>,
    pub(crate) begun: Instant,
    pub(crate) id: String,
    pub(crate) route: Option<Rc<RouteSpec>>,
    /// The team whose request it is.
    pub(crate) team: Option<Rc<TeamSpec>>,
    pub(crate) returning: bool,
    /// The request's print, where it was needed.
    pub(crate) print: Option<RequestFingerprint>,
    attempts: String,
    count: u32,
    refusal: Option<Refusal>,
    /// When the caller is asked to come back.
    back_in: Duration,
    /// Why the entry answered itself, where no server refused.
    reason: &'static str,
    done: bool,
}

/// How a request ended, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// A server's answer was passed on.
    Answered,
    /// It has not run and never will.
    NotRun,
    /// It was not proper or not allowed.
    Rejected,
    /// It may have run; nobody knows.
    Unknown,
    /// The caller left.
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
    /// The record of a request that has just been read.
    pub(crate) fn new(state: &Rc<InstanceState>, id: &str) -> Self {
        Self {
            state: Rc::clone(state),
            begun: Instant::now(),
            id: id.to_owned(),
            route: None,
            team: None,
            returning: false,
            print: None,
            attempts: String::new(),
            count: 0,
            refusal: None,
            back_in: Duration::ZERO,
            reason: "",
            done: false,
        }
    }

    /// Notes where the request is sent, and why there.
    pub(crate) fn on_placed(&mut self, placement: &Placement) {
        self.count += 1;
        let reason = &placement.reason;
        if reason.cold {
            self.state.metrics.on_limit("cold", true);
        }
        if reason.is_remote {
            self.state.metrics.on_limit("shift-cap", true);
        }
        let age = self.registry_age();
        let at = self.begun.elapsed().as_millis();
        let _ = write!(
            self.attempts,
            "{}{}(expected {:.0}ms occupancy {:.1} warmth {:.2} rank {}{}{} at {at}ms by registry of {age}ms)",
            if self.count > 1 { "; " } else { "" },
            placement.id,
            reason.expected,
            reason.occupancy,
            reason.warmth,
            reason.rank,
            if reason.cold { " cold" } else { "" },
            if reason.is_remote { " away" } else { "" },
        );
    }

    /// Notes that the newest attempt leaves for its server, where it was held up.
    pub(crate) fn on_sent(&mut self, waited: Duration) {
        let waited = waited.as_millis();
        if waited > 0 {
            let _ = write!(self.attempts, " sent after {waited}ms");
        }
    }

    /// Milliseconds since the newest reading of the registry; -1 before the first.
    fn registry_age(&self) -> i64 {
        let read_at = self.state.placer.borrow().catalog.read_at();
        read_at.map_or(-1, |at| at.elapsed().as_millis() as i64)
    }

    /// Notes what came of the newest attempt.
    pub(crate) fn on_result(&mut self, result: &str) {
        let at = self.begun.elapsed().as_millis();
        let _ = write!(self.attempts, " -> {result} at {at}ms");
    }

    /// Notes the server's answer and the load that it reported with it.
    pub(crate) fn on_answer(&mut self, status: StatusCode, report: Option<&ServerReport>) {
        let load = report.map_or(String::new(), |report| {
            format!(
                " (load {}+{}/{})",
                report.running, report.waiting, report.slots
            )
        });
        self.on_result(&format!("status {}{load}", status.as_u16()));
    }

    /// Notes that no server should get the request.
    pub(crate) fn on_refused(&mut self, refusal: Refusal) {
        self.refusal = Some(refusal);
        self.back_in = refusal.retry_after;
    }

    /// Ends the record with an answer of the entry's own.
    pub(crate) fn finish_with(&mut self, problem: &Problem) {
        if self.refusal.is_none() {
            self.reason = problem.kind;
            self.back_in = problem.retry_after.unwrap_or_default();
        }
        let outcome = match problem.outcome {
            Outcome::Done => RequestOutcome::Answered,
            Outcome::Unknown => RequestOutcome::Unknown,
            Outcome::NotRun if problem.retry_after.is_none() => RequestOutcome::Rejected,
            Outcome::NotRun => RequestOutcome::NotRun,
        };
        self.finish(outcome, problem.status.as_u16());
    }

    /// Ends the record with the answer of the entry that its ticket names.
    pub(crate) fn finish_passed(&mut self, outcome: Outcome, status: u16) {
        self.reason = "passed-on";
        let outcome = match outcome {
            Outcome::Done => RequestOutcome::Answered,
            Outcome::NotRun => RequestOutcome::NotRun,
            Outcome::Unknown => RequestOutcome::Unknown,
        };
        self.finish(outcome, status);
    }

    /// Ends the record with `outcome` and the `status` that the caller gets.
    pub(crate) fn finish(&mut self, outcome: RequestOutcome, status: u16) {
        if self.done {
            return;
        }
        self.done = true;
        let took = self.begun.elapsed();
        let route = self.route.as_ref().map_or("none", |route| &route.name);
        let metrics = &self.state.metrics;
        metrics.on_request(route, outcome.as_str(), took.as_secs_f64());
        let objective = self.route.as_ref().map(|route| route.objective);
        if outcome == RequestOutcome::Answered && objective.is_some_and(|most| took <= most) {
            metrics.on_good(route);
        }
        let servers_age_ms = self.registry_age();
        let state_age = self.state.proof_age();
        let state_age_ms = state_age.map_or(-1, |age| age.as_millis() as i64);
        let refused = self
            .refusal
            .map_or(self.reason, |refusal| refusal.reason.as_str());
        let back_in_ms = self.back_in.as_millis() as u64;
        if matches!(outcome, RequestOutcome::NotRun | RequestOutcome::Rejected) {
            metrics.on_refusal(refused);
        }
        let team = self.team.as_ref().map(|team| team.name.as_str());
        if team.is_some() || !self.state.teams.borrow().is_empty() {
            metrics.teams.on_request(team, outcome.as_str());
        }
        self.give_back(outcome);
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
        let print = self.print.map(|print| print.to_string());
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
            took_ms = took.as_millis() as u64,
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
    /// What a team asked for that hasn't run here doesn't count against it.
    fn give_back(&self, outcome: RequestOutcome) {
        let has_run = outcome != RequestOutcome::NotRun && self.count > 0;
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

//! Tracks requests in flight during rollouts and classifies their outcomes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::evidence::AnswerKind;

/// Multiple of the expected response time from which on an answer is slow.
const SLOW_FACTOR: f64 = 2.2;
/// Delay beyond the expected response time that never counts as slow, since networks and
/// schedulers alone may cause it.
const MIN_SLOW_DELAY: Duration = Duration::from_millis(150);

/// Interval at which the entry looks for overdue requests while a rollout is active.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of such a check from which on the entry counts as having stood still.
const MIN_STANDSTILL: Duration = Duration::from_millis(100);

/// A request that is sent to a server.
#[derive(Debug, Clone, Copy)]
pub struct VersionSend<'a> {
    /// The service.
    pub service: &'a str,
    /// The server's version.
    pub version: &'a str,
    /// Hash of the route's name.
    pub route: u64,
    /// Hash of the server's run.
    pub server: u64,
    /// Whether the server is cold, and therefore expected to be slow.
    pub is_cold: bool,
    /// The expected response time.
    pub expected: Duration,
}

/// Identifies a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SendToken(pub(crate) u64);

/// The result of a request at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// A complete answer.
    Answered,
    /// The server failed or broke the connection.
    Failed,
    /// No answer before the deadline of the request.
    TimedOut,
    /// No evidence for or against the version: the request was not run, or its caller gave up.
    Inconclusive,
}

#[derive(Debug)]
struct InFlightSend {
    service: String,
    route: u64,
    server: u64,
    is_new: bool,
    is_cold: bool,
    due: Instant,
    is_classified: bool,
}

/// A request with its classified outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassifiedSend {
    /// The service.
    pub service: String,
    /// Hash of the route's name.
    pub route: u64,
    /// Hash of the server's run.
    pub server: u64,
    /// Whether the new version ran the request.
    pub is_new: bool,
    /// The outcome.
    pub kind: AnswerKind,
}

/// The requests in flight.
#[derive(Debug, Default)]
pub struct SendTracker {
    next: u64,
    in_flight: HashMap<u64, InFlightSend>,
    /// When this entry was last known to run.
    ran_at: Option<Instant>,
}

impl SendTracker {
    /// Records that a request is sent to a server, of the new version if `is_new`.
    pub fn start(&mut self, now: Instant, send: &VersionSend<'_>, is_new: bool) -> SendToken {
        self.note_time(now);
        let slack = send.expected.mul_f64(SLOW_FACTOR - 1.0).max(MIN_SLOW_DELAY);
        let id = self.next;
        self.next += 1;
        self.in_flight.insert(
            id,
            InFlightSend {
                service: send.service.to_owned(),
                route: send.route,
                server: send.server,
                is_new,
                is_cold: send.is_cold,
                due: now + send.expected + slack,
                is_classified: false,
            },
        );
        SendToken(id)
    }

    /// Records the result of a request. Returns its classification unless the result is no
    /// evidence or the request was classified before.
    pub fn finish(
        &mut self,
        now: Instant,
        token: SendToken,
        outcome: SendOutcome,
    ) -> Option<ClassifiedSend> {
        self.note_time(now);
        let send = self.in_flight.remove(&token.0)?;
        if send.is_classified {
            return None;
        }
        let is_slow = now >= send.due && !send.is_cold;
        let kind = match outcome {
            SendOutcome::Inconclusive => return None,
            SendOutcome::Failed => AnswerKind::Failed,
            // The short deadline of a caller is no evidence against the version.
            SendOutcome::TimedOut if !is_slow => return None,
            SendOutcome::TimedOut => AnswerKind::Slow,
            SendOutcome::Answered if is_slow => AnswerKind::Slow,
            SendOutcome::Answered => AnswerKind::Good,
        };
        Some(send.classify(kind))
    }

    /// Classifies requests that are overdue as slow, each only once. Waiting for the answers of
    /// a slow version would expose more requests to it.
    pub fn overdue(&mut self, now: Instant) -> Vec<ClassifiedSend> {
        self.note_time(now);
        let mut classified = Vec::new();
        for send in self.in_flight.values_mut() {
            if send.is_classified || send.is_cold || now < send.due {
                continue;
            }
            send.is_classified = true;
            classified.push(send.classify(AnswerKind::Slow));
        }
        classified
    }

    /// Notes that this entry runs at `now`. If it stood still before, because its process was
    /// suspended or got no processor time, answers that arrived in time have waited unread: all
    /// requests in flight get that much longer.
    fn note_time(&mut self, now: Instant) {
        let ran_at = self.ran_at.replace(now).unwrap_or(now);
        let gap = now.saturating_duration_since(ran_at);
        let standstill = gap.saturating_sub(CHECK_INTERVAL);
        if standstill < MIN_STANDSTILL {
            return;
        }
        for send in self.in_flight.values_mut() {
            send.due += standstill;
        }
    }

    /// Returns the number of requests of `service` in flight at its old versions.
    pub fn in_flight_on_old(&self, service: &str) -> u32 {
        let in_flight = self.in_flight.values();
        let old = in_flight.filter(|send| !send.is_new && send.service == service);
        old.count() as u32
    }
}

impl InFlightSend {
    fn classify(&self, kind: AnswerKind) -> ClassifiedSend {
        ClassifiedSend {
            service: self.service.clone(),
            route: self.route,
            server: self.server,
            is_new: self.is_new,
            kind,
        }
    }
}

//! Requests of a rollout that are at servers, and how they fare.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::evidence::AnswerKind;

/// An answer that takes this many times what was expected is slow.
const SLOW_FACTOR: f64 = 2.2;
/// Time beyond the expected one that is never slow: networks and schedulers take as much.
const MIN_SLOW_DELAY: Duration = Duration::from_millis(150);

/// A request that goes to a server.
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
    /// Whether the server is cold, and slow for that.
    pub is_cold: bool,
    /// Time in which an answer is expected.
    pub expected: Duration,
}

/// Names a request at a server until its outcome is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SendToken(pub(crate) u64);

/// What became of a request at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// A whole answer.
    Answered,
    /// A failure of the server's, or a connection that it broke off.
    Failed,
    /// No answer before the end of the request's time.
    TimedOut,
    /// Nothing that speaks for or against the version: not run, or given up by the caller.
    Inconclusive,
}

#[derive(Debug)]
struct OpenSend {
    service: String,
    route: u64,
    server: u64,
    is_new: bool,
    is_cold: bool,
    due: Instant,
    is_classified: bool,
}

/// How one request fared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassifiedSend {
    /// The service.
    pub service: String,
    /// Hash of the route's name.
    pub route: u64,
    /// Hash of the server's run.
    pub server: u64,
    /// Whether the new version ran it.
    pub is_new: bool,
    /// How it fared.
    pub kind: AnswerKind,
}

/// The requests at servers.
#[derive(Debug, Default)]
pub struct SendTracker {
    next: u64,
    open: HashMap<u64, OpenSend>,
}

impl SendTracker {
    /// A request goes to a server, of the new version where `is_new`.
    pub fn open(&mut self, now: Instant, send: &VersionSend<'_>, is_new: bool) -> SendToken {
        let slack = send.expected.mul_f64(SLOW_FACTOR - 1.0).max(MIN_SLOW_DELAY);
        let id = self.next;
        self.next += 1;
        self.open.insert(
            id,
            OpenSend {
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

    /// Takes in what became of a request; how it fared, where that tells something new.
    pub fn close(
        &mut self,
        now: Instant,
        token: SendToken,
        outcome: SendOutcome,
    ) -> Option<ClassifiedSend> {
        let send = self.open.remove(&token.0)?;
        if send.is_classified {
            return None;
        }
        let is_slow = now >= send.due && !send.is_cold;
        let kind = match outcome {
            SendOutcome::Inconclusive => return None,
            SendOutcome::Failed => AnswerKind::Failed,
            // A caller in a hurry says nothing of the version.
            SendOutcome::TimedOut if !is_slow => return None,
            SendOutcome::TimedOut => AnswerKind::Slow,
            SendOutcome::Answered if is_slow => AnswerKind::Slow,
            SendOutcome::Answered => AnswerKind::Good,
        };
        Some(send.classify(kind))
    }

    /// Requests that have taken too long by now, each once: waiting for the answers of a slow
    /// version would let it have more.
    pub fn overdue(&mut self, now: Instant) -> Vec<ClassifiedSend> {
        let mut classified = Vec::new();
        for send in self.open.values_mut() {
            if send.is_classified || send.is_cold || now < send.due {
                continue;
            }
            send.is_classified = true;
            classified.push(send.classify(AnswerKind::Slow));
        }
        classified
    }

    /// Requests of `service` at servers of its old versions.
    pub fn in_flight_on_old(&self, service: &str) -> u32 {
        let open = self.open.values();
        let old = open.filter(|send| !send.is_new && send.service == service);
        old.count() as u32
    }
}

impl OpenSend {
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

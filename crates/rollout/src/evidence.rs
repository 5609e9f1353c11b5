//! Outcomes of requests on the old and the new version of a service, over all entries.

use std::collections::HashMap;

use crate::detector::{DELAY_BOUNDS, FAILURE_BOUNDS, RateDetector};

/// Stands for all routes of a service together, since a single route may have too few requests.
pub const ALL_ROUTES: u64 = 0;
/// Number of servers with bad answers that is needed to blame the version, or all of its servers
/// if it has fewer. Below that the servers themselves may be faulty.
const MIN_BAD_SERVERS: u32 = 3;
/// Good answers assumed for the old version at the start, so that its first bad answers don't
/// result in a high baseline.
const PRIOR_ANSWERS: f64 = 20.0;

base::common! {
    /// The outcome of a request.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum AnswerKind {
        /// Answered in about the expected time.
        Good,
        /// Answered with a failure, or the server broke the connection.
        Failed,
        /// Answered several times later than expected, or not answered by then.
        Slow,
    }

    /// The key of a counter in reports between entries.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct AnswerKey {
        /// Revision of the order.
        pub revision: u64,
        /// Hash of the route's name.
        pub route: u64,
        /// Whether the new version ran the request.
        pub is_new: bool,
        /// The outcome.
        pub kind: AnswerKind,
    }
}

/// Number of answers by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers in time.
    pub good: u32,
    /// Failures.
    pub failed: u32,
    /// Slow answers.
    pub slow: u32,
}

/// A set of servers as a bit mask; the bit is given by the server's hash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerMask(pub u64);

/// The evidence against a version, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BadVersion {
    /// Hash of the route's name, or [`ALL_ROUTES`].
    pub route: u64,
    /// Whether requests failed; otherwise they were slow.
    pub fails: bool,
    /// Answers of the new version on the route.
    pub new: AnswerCounts,
    /// Answers of the old versions on the route.
    pub old: AnswerCounts,
}

#[derive(Debug, Default)]
struct RouteEvidence {
    new: AnswerCounts,
    old: AnswerCounts,
    failures: RateDetector,
    delays: RateDetector,
}

/// The outcomes of a rollout.
#[derive(Debug, Default)]
pub struct VersionEvidence {
    routes: HashMap<u64, RouteEvidence>,
    /// Servers of the new version that answered.
    answered: ServerMask,
    /// Servers of the new version with bad answers.
    bad: ServerMask,
}

impl AnswerCounts {
    /// Adds `count` answers of the given kind.
    pub fn add(&mut self, kind: AnswerKind, count: u32) {
        match kind {
            AnswerKind::Good => self.good += count,
            AnswerKind::Failed => self.failed += count,
            AnswerKind::Slow => self.slow += count,
        }
    }

    /// Returns the number of all answers.
    pub fn total(&self) -> u32 {
        self.good + self.failed + self.slow
    }

    fn rate(&self, bad: u32) -> f64 {
        f64::from(bad) / (f64::from(self.total()) + PRIOR_ANSWERS)
    }
}

impl ServerMask {
    /// Adds the server with the hash `server`.
    pub fn add(&mut self, server: u64) {
        self.0 |= 1 << (server % 64);
    }

    fn count(self) -> u32 {
        self.0.count_ones()
    }
}

impl VersionEvidence {
    /// Adds answers to requests on `route`.
    pub fn add(&mut self, route: u64, is_new: bool, counts: AnswerCounts) {
        let evidence = self.routes.entry(route).or_default();
        if !is_new {
            add_counts(&mut evidence.old, counts);
            return;
        }
        add_counts(&mut evidence.new, counts);
        let old = evidence.old;
        let not_failed = counts.good + counts.slow;
        evidence.failures.on_outcomes(
            &FAILURE_BOUNDS,
            old.rate(old.failed),
            not_failed,
            counts.failed,
        );
        evidence
            .delays
            .on_outcomes(&DELAY_BOUNDS, old.rate(old.slow), counts.good, counts.slow);
    }

    /// Adds servers of the new version that answered, and those with bad answers.
    pub fn add_servers(&mut self, answered: ServerMask, bad: ServerMask) {
        self.answered.0 |= answered.0;
        self.bad.0 |= bad.0;
    }

    /// Returns the servers of the new version that answered, and those with bad answers.
    pub fn servers(&self) -> (ServerMask, ServerMask) {
        (self.answered, self.bad)
    }

    /// Returns the number of answers of the new version.
    pub fn answers(&self) -> u32 {
        let all = self.routes.get(&ALL_ROUTES);
        all.map_or(0, |evidence| evidence.new.total())
    }

    /// Returns the evidence that the version is bad, if there is any.
    pub fn verdict(&self) -> Option<BadVersion> {
        if self.bad.count() < MIN_BAD_SERVERS.min(self.answered.count()) {
            return None;
        }
        let find_bad = |(route, evidence): (&u64, &RouteEvidence)| {
            let fails = evidence.failures.has_alarm();
            (fails || evidence.delays.has_alarm()).then_some(BadVersion {
                route: *route,
                fails,
                new: evidence.new,
                old: evidence.old,
            })
        };
        let candidates = self.routes.iter().filter_map(find_bad);
        candidates.max_by_key(|bad| bad.new.failed + bad.new.slow)
    }
}

fn add_counts(sum: &mut AnswerCounts, counts: AnswerCounts) {
    sum.good += counts.good;
    sum.failed += counts.failed;
    sum.slow += counts.slow;
}

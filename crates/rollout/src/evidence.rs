//! How requests fare on the old and the new version of a service, over all entries.

use std::collections::HashMap;

use crate::detector::{DELAY_BOUNDS, FAILURE_BOUNDS, RateDetector};

/// Stands for all routes of a service together: each alone may have too few requests.
pub const ALL_ROUTES: u64 = 0;
/// Servers that must have given bad answers before the version is to blame, where there are
/// as many: fewer may be faulty themselves.
const MIN_BAD_SERVERS: u32 = 3;
/// Answers of the old version that are taken to have been good before any came, so that the
/// first bad ones don't count as usual.
const PRIOR_ANSWERS: f64 = 20.0;

base::common! {
    /// How a request fared.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum AnswerKind {
        /// Answered in about the time that was expected.
        Good,
        /// Answered with a failure, or broken off by the server.
        Failed,
        /// Answered several times later than expected, or not yet by then.
        Slow,
    }

    /// What entries count for each other.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct AnswerKey {
        /// Revision of the order.
        pub revision: u64,
        /// Hash of the route's name.
        pub route: u64,
        /// Whether the new version ran the request.
        pub is_new: bool,
        /// How it fared.
        pub kind: AnswerKind,
    }
}

/// Numbers of answers by how they fared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// In time.
    pub good: u32,
    /// Failures.
    pub failed: u32,
    /// Slow ones.
    pub slow: u32,
}

/// Sets of servers, by a few bits of their hashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerMask(pub u64);

/// What speaks against a version, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BadVersion {
    /// The route's hash; [`ALL_ROUTES`] where it shows over all.
    pub route: u64,
    /// Whether answers failed; else they were slow.
    pub fails: bool,
    /// The new version's answers there.
    pub new: AnswerCounts,
    /// The old versions' answers there.
    pub old: AnswerCounts,
}

#[derive(Debug, Default)]
struct RouteEvidence {
    new: AnswerCounts,
    old: AnswerCounts,
    failures: RateDetector,
    delays: RateDetector,
}

/// What is known of a version in a rollout.
#[derive(Debug, Default)]
pub struct VersionEvidence {
    routes: HashMap<u64, RouteEvidence>,
    /// Servers of the new version that answered.
    answered: ServerMask,
    /// Those among them that gave bad answers.
    bad: ServerMask,
}

impl AnswerCounts {
    /// Adds `count` answers that fared as `kind`.
    pub fn add(&mut self, kind: AnswerKind, count: u32) {
        match kind {
            AnswerKind::Good => self.good += count,
            AnswerKind::Failed => self.failed += count,
            AnswerKind::Slow => self.slow += count,
        }
    }

    /// All answers.
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
    /// Adds what became known of the answers to requests on `route`.
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

    /// Adds servers of the new version that answered, and those that gave bad answers.
    pub fn add_servers(&mut self, answered: ServerMask, bad: ServerMask) {
        self.answered.0 |= answered.0;
        self.bad.0 |= bad.0;
    }

    /// The servers of the new version that answered, and those that gave bad answers.
    pub fn servers(&self) -> (ServerMask, ServerMask) {
        (self.answered, self.bad)
    }

    /// Answers of the new version.
    pub fn answers(&self) -> u32 {
        let all = self.routes.get(&ALL_ROUTES);
        all.map_or(0, |evidence| evidence.new.total())
    }

    /// What shows that the version is bad, if anything does.
    pub fn verdict(&self) -> Option<BadVersion> {
        if self.bad.count() < MIN_BAD_SERVERS.min(self.answered.count()) {
            return None;
        }
        let risen = |(route, evidence): (&u64, &RouteEvidence)| {
            let fails = evidence.failures.has_alarm();
            (fails || evidence.delays.has_alarm()).then_some(BadVersion {
                route: *route,
                fails,
                new: evidence.new,
                old: evidence.old,
            })
        };
        let found = self.routes.iter().filter_map(risen);
        found.max_by_key(|bad| bad.new.failed + bad.new.slow)
    }
}

fn add_counts(sum: &mut AnswerCounts, counts: AnswerCounts) {
    sum.good += counts.good;
    sum.failed += counts.failed;
    sum.slow += counts.slow;
}

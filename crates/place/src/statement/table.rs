//! The statements of all runs that an entry knows of.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::placing::load::short_id;
use crate::statement::bucket::{BucketTiming, LimitBucket};
use crate::statement::message::{LimitClaim, LimitReport, StatementReport, rounded};
use crate::statement::rest::{RestVerdict, ServerRest};
use crate::statement::{LimitStatement, SendVerdict, ServerStatement};

/// Maximum number of runs: more than the servers of a large fleet.
const MAX_RUNS: usize = 16_384;
/// How long the statements of a run are kept that is not registered, sends no answers and has
/// asked for no longer rest.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of runs of each kind in a report, which fit into one datagram.
const MAX_REPORTED_RUNS: usize = 64;

/// A change of what is known of a run, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatementChange {
    /// The run named a limit, in requests per second.
    Limited(f64),
    /// The run no longer names a limit.
    Unlimited,
    /// The run is leaving.
    Leaving,
}

/// What is known of the limit of a run.
#[derive(Debug)]
struct KnownLimit {
    /// `None` if the run no longer names a limit.
    bucket: Option<LimitBucket>,
    /// When the answer arrived that said so, at whichever entry.
    stated_at: Instant,
    /// Whether the answer was one to this entry.
    is_first_hand: bool,
    /// When the limit last changed here.
    changed_at: Instant,
}

#[derive(Debug)]
struct RunStatements {
    updated_at: Instant,
    limit: Option<KnownLimit>,
    leaving: Option<KnownLeaving>,
    /// The rest that the run asked this entry for, until it takes requests again.
    rest: Option<ServerRest>,
}

/// How it is known that a run is leaving.
#[derive(Debug, Clone, Copy)]
struct KnownLeaving {
    since: Instant,
    /// Whether the run said so in a response to this entry.
    is_first_hand: bool,
}

/// The statements by run.
#[derive(Debug)]
pub struct StatementTable {
    own: u64,
    runs: HashMap<u64, RunStatements>,
    /// Number of runs with a limit.
    limited: usize,
    /// Runs with a limit that this entry has used since its last urgent report.
    unreported: Vec<u64>,
    timing: BucketTiming,
    /// Whether the others send their reports to this entry.
    is_informed: bool,
}

impl StatementTable {
    /// Creates the table of the entry with the hash `own`, which reports to no others.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            runs: HashMap::new(),
            limited: 0,
            unreported: Vec::new(),
            timing: BucketTiming::new(0, Duration::ZERO),
            is_informed: true,
        }
    }

    /// Sets the number of other entries, and the interval at which all of them get this entry's
    /// reports.
    pub fn set_others(&mut self, others: usize, report_interval: Duration) {
        self.timing = BucketTiming::new(others, report_interval);
    }

    /// Sets whether the others send their reports to this entry. Otherwise it doesn't use
    /// servers with a limit.
    pub fn set_informed(&mut self, is_informed: bool) {
        self.is_informed = is_informed;
    }

    /// Whether a request may be sent to `run` now.
    pub fn verdict(&self, now: Instant, run: u64) -> SendVerdict {
        let Some(statements) = self.runs.get(&run) else {
            return SendVerdict::Allowed;
        };
        if statements.leaving.is_some() {
            return SendVerdict::Leaving;
        }
        match statements.rest.map(|rest| rest.verdict(now)) {
            Some(RestVerdict::Resting(wait)) => return SendVerdict::Resting(wait),
            Some(RestVerdict::Probing(wait)) => return SendVerdict::NoRoom(wait),
            Some(RestVerdict::Probe) | None => {}
        }
        let Some(bucket) = statements.bucket() else {
            return SendVerdict::Allowed;
        };
        if !self.is_informed {
            return SendVerdict::NoRoom(self.timing.want_time);
        }
        let wait = bucket.wait(now, &self.timing);
        wait.map_or(SendVerdict::Allowed, SendVerdict::NoRoom)
    }

    /// The limit of `run` in requests per second, if it has one.
    pub fn limit(&self, run: u64) -> Option<f64> {
        self.bucket(run).map(LimitBucket::rate)
    }

    /// Number of runs with a limit.
    pub fn limited_count(&self) -> usize {
        self.limited
    }

    /// Records what an answer of `run` said, and returns the changes.
    pub fn on_answer(
        &mut self,
        now: Instant,
        run: u64,
        statement: &ServerStatement,
    ) -> Vec<StatementChange> {
        let limit = self.on_limit_statement(now, run, statement);
        let leaving = statement.leaving && self.set_leaving(now, run, true);
        let leaving = leaving.then_some(StatementChange::Leaving);
        self.on_rest_statement(now, run, statement.rest);
        limit.into_iter().chain(leaving).collect()
    }

    /// Records that another entry reported that `run` is leaving. Returns
    /// whether that is new.
    pub fn on_peer_leaving(&mut self, now: Instant, run: u64) -> bool {
        self.set_leaving(now, run, false)
    }

    /// Handles that an answer of `run` asked for a rest of `span`, or didn't ask for one.
    fn on_rest_statement(&mut self, now: Instant, run: u64, span: Option<Duration>) {
        let own = self.own;
        if let Some(span) = span {
            let rest = &mut self.statements_mut(now, run).rest;
            let rest = rest.get_or_insert_with(|| ServerRest::new(now, run, own, span));
            rest.extend(now, span);
            self.remove_excess();
            return;
        }
        let Some(statements) = self.runs.get_mut(&run) else {
            return;
        };
        statements.rest.take_if(|rest| rest.ends_with_answer(now));
    }

    fn on_limit_statement(
        &mut self,
        now: Instant,
        run: u64,
        statement: &ServerStatement,
    ) -> Option<StatementChange> {
        let rate = match statement.limit {
            LimitStatement::Unknown => return None,
            LimitStatement::Unlimited if self.bucket(run).is_none() => return None,
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => Some(rounded(rate)),
        };
        self.set_limit(now, (now, true), run, rate)
    }

    /// Records what the entry `entry` reported of `run`, and returns the change.
    pub fn on_peer_report(
        &mut self,
        now: Instant,
        entry: u64,
        run: u64,
        report: &LimitReport,
    ) -> Option<StatementChange> {
        let mut change = None;
        if let Some(claim) = &report.claim {
            let stated_at = claim.stated_at(now)?;
            let known = self.runs.get(&run).and_then(|known| known.limit.as_ref());
            let is_newer = known.is_none_or(|limit| limit.stated_at < stated_at);
            if is_newer && (known.is_some() || claim.rate.is_some()) {
                change = self.set_limit(now, (stated_at, false), run, claim.per_second());
            }
        }
        if let Some(bucket) = self.bucket_mut(run) {
            bucket.on_peer_use(now, entry, report.own_use());
        }
        change
    }

    /// Records that this entry has a request for `run`, but the run's limit leaves no room.
    pub fn on_wanted(&mut self, now: Instant, run: u64) {
        if let Some(bucket) = self.bucket_mut(run) {
            bucket.on_wanted(now);
        }
    }

    /// Counts a request that is sent to `run`. Returns whether it takes a part of the room that
    /// the run left.
    pub fn on_sent(&mut self, now: Instant, run: u64) -> bool {
        let Some(statements) = self.runs.get_mut(&run) else {
            return false;
        };
        if let Some(rest) = &mut statements.rest {
            rest.on_sent(now);
        }
        let takes_room = statements.rest.is_some();
        let Some(bucket) = self.bucket_mut(run) else {
            return takes_room;
        };
        bucket.on_sent(now);
        if !self.unreported.contains(&run) {
            self.unreported.push(run);
        }
        true
    }

    /// Returns the report on requests that must be reported to the others at once.
    pub fn urgent_report(&mut self, now: Instant) -> StatementReport {
        let runs = std::mem::take(&mut self.unreported);
        let limits = runs.iter().filter_map(|run| {
            let limit = self.runs.get(run)?.limit.as_ref()?;
            limit.bucket.as_ref()?;
            Some(limit.report(now, *run))
        });
        StatementReport {
            limits: limits.take(MAX_REPORTED_RUNS).collect(),
            leaving: Vec::new(),
        }
    }

    /// Returns this entry's periodic report. It repeats what the others may have missed, and may
    /// reach some of them only, so that it doesn't take the place of an urgent one.
    /// `is_registered` tells whether a run is registered.
    pub fn report(&mut self, now: Instant, is_registered: impl Fn(u64) -> bool) -> StatementReport {
        let timing = self.timing;
        let (mut limits, mut leaving) = (Vec::new(), Vec::new());
        for (run, statements) in &mut self.runs {
            if statements.is_leaving_reported(now, &timing) && leaving.len() < MAX_REPORTED_RUNS {
                leaving.push(*run);
            }
            let Some(limit) = &mut statements.limit else {
                continue;
            };
            if let Some(bucket) = &mut limit.bucket {
                bucket.expire(now, &timing);
            }
            if limit.is_reported(now, &timing) && limits.len() < MAX_REPORTED_RUNS {
                limits.push(limit.report(now, *run));
            }
        }
        self.remove_obsolete(now, is_registered);
        StatementReport { limits, leaving }
    }

    fn set_leaving(&mut self, now: Instant, run: u64, is_first_hand: bool) -> bool {
        let statements = self.statements_mut(now, run);
        let is_new = statements.leaving.is_none();
        let since = now;
        statements.leaving.get_or_insert(KnownLeaving {
            since,
            is_first_hand,
        });
        self.remove_excess();
        is_new
    }

    /// The statements of `run`, which said something now.
    fn statements_mut(&mut self, now: Instant, run: u64) -> &mut RunStatements {
        let statements = self.runs.entry(run).or_insert(RunStatements {
            updated_at: now,
            limit: None,
            leaving: None,
            rest: None,
        });
        statements.updated_at = now;
        statements
    }

    fn set_limit(
        &mut self,
        now: Instant,
        (stated_at, is_first_hand): (Instant, bool),
        run: u64,
        rate: Option<f64>,
    ) -> Option<StatementChange> {
        let own = self.own;
        let statements = self.statements_mut(now, run);
        let limit = statements.limit.get_or_insert(KnownLimit {
            bucket: None,
            stated_at,
            is_first_hand,
            changed_at: now,
        });
        (limit.stated_at, limit.is_first_hand) = (stated_at, is_first_hand);
        let before = limit.bucket.as_ref().map(LimitBucket::rate);
        match (&mut limit.bucket, rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(now, rate),
            (bucket, rate) => *bucket = rate.map(|rate| LimitBucket::new(now, run, own, rate)),
        }
        if before == rate {
            return None;
        }
        limit.changed_at = now;
        self.remove_excess();
        self.count_limits();
        Some(rate.map_or(StatementChange::Unlimited, StatementChange::Limited))
    }

    fn remove_obsolete(&mut self, now: Instant, is_registered: impl Fn(u64) -> bool) {
        self.runs.retain(|run, statements| {
            let age = now.saturating_duration_since(statements.updated_at);
            // A row may lapse and come back within a rest.
            let is_resting = statements.rest.is_some_and(|rest| rest.is_running(now));
            age < RETENTION || is_resting || is_registered(*run)
        });
        self.count_limits();
    }

    fn remove_excess(&mut self) {
        if self.runs.len() <= MAX_RUNS {
            return;
        }
        let runs = self.runs.iter();
        let oldest = runs.min_by_key(|(_, statements)| statements.updated_at);
        if let Some(run) = oldest.map(|(run, _)| *run) {
            self.runs.remove(&run);
        }
    }

    fn count_limits(&mut self) {
        let runs = self.runs.values();
        self.limited = runs.filter(|run| run.bucket().is_some()).count();
    }

    fn bucket(&self, run: u64) -> Option<&LimitBucket> {
        self.runs.get(&run)?.bucket()
    }

    fn bucket_mut(&mut self, run: u64) -> Option<&mut LimitBucket> {
        self.runs.get_mut(&run)?.limit.as_mut()?.bucket.as_mut()
    }
}

impl RunStatements {
    fn bucket(&self) -> Option<&LimitBucket> {
        self.limit.as_ref()?.bucket.as_ref()
    }

    /// Whether reports to the others say that the run is leaving: some time after it said so here.
    fn is_leaving_reported(&self, now: Instant, timing: &BucketTiming) -> bool {
        self.leaving.is_some_and(|known| {
            let age = now.saturating_duration_since(known.since);
            known.is_first_hand && age < timing.want_time
        })
    }
}

impl KnownLimit {
    /// Whether the limit is part of the periodic report: while this entry uses it, and some
    /// time after a change that it knows first-hand.
    fn is_reported(&self, now: Instant, timing: &BucketTiming) -> bool {
        let has_changed = now.saturating_duration_since(self.changed_at) < timing.want_time;
        let bucket = self.bucket.as_ref();
        let is_wanted = bucket.is_some_and(|bucket| bucket.is_wanted(now, timing));
        is_wanted || has_changed && self.is_first_hand
    }

    fn report(&self, now: Instant, run: u64) -> LimitReport {
        let bucket = self.bucket.as_ref();
        let rate = bucket.map(LimitBucket::rate);
        let claim = self
            .is_first_hand
            .then(|| LimitClaim::new(now, self.stated_at, rate));
        let own_use = bucket.map(|bucket| bucket.own_use(now)).unwrap_or_default();
        LimitReport::new(short_id(run), claim, own_use)
    }
}

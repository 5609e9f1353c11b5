//! The rollouts of one entry: chooses the version for each request, counts outcomes and decides
//! when a rollout enters its next phase.

mod exclusions;
mod reports;
mod service;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use tally::PeerTally;

use crate::controller::exclusions::VersionExclusions;
use crate::controller::service::ServiceRollout;
use crate::evidence::{ALL_ROUTES, AnswerCounts, AnswerKey, AnswerKind, BadVersion, ServerMask};
use crate::filter::{VersionChoice, VersionFilter};
use crate::order::{RolloutOrder, RolloutPhase, RolloutRecord};
use crate::schedule::{CanarySchedule, RolloutStage, ShareSchedule};
use crate::sends::{ClassifiedSend, SendOutcome, SendToken, SendTracker, VersionSend};
use crate::versions::VersionHistory;

pub use service::ServerCounts;

/// Age of the operator's rows from which on an entry sends requests to the old versions only,
/// since a rollback may not reach it. Longer than an idle feed stays open.
const OPERATOR_STALE_AFTER: Duration = Duration::from_secs(4);
/// Time for which a peer's last report is used.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Fraction of the exposure slack that all entries together may use at the start, so that
/// services with few requests get early answers.
const INITIAL_SLACK_FRACTION: f64 = 0.4;
/// Time for which a verdict against a version is included in reports.
const VERDICT_REPORT_TIME: Duration = Duration::from_secs(10);

/// Settings of a [`RolloutController`].
#[derive(Debug, Clone, Copy)]
pub struct RolloutConfig {
    /// Fraction of a service's requests that a bad version may get between order and deadline.
    pub exposure_share: f64,
    /// Number of requests that a bad version may get in addition.
    pub exposure_slack: f64,
    /// Identifies one run of the entry's process.
    pub run: u64,
}

/// A change of a rollout's phase, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEvent {
    /// The service.
    pub service: String,
    /// The version of the order.
    pub version: String,
    /// The new phase.
    pub phase: RolloutPhase,
    /// The evidence against the version, if this entry found it.
    pub verdict: Option<BadVersion>,
}

/// The rollouts of all services as known to one entry.
#[derive(Debug)]
pub struct RolloutController<S = CanarySchedule> {
    config: RolloutConfig,
    schedule: S,
    rollouts: BTreeMap<String, ServiceRollout>,
    exclusions: HashMap<String, VersionExclusions>,
    history: VersionHistory,
    tally: PeerTally<AnswerKey>,
    sends: SendTracker,
    /// Number of entries in service, including this one.
    entries: usize,
    /// Whether this entry is in service. Only such entries receive reports.
    is_listed: bool,
    events: Vec<RolloutEvent>,
    /// Whether this entry found a version to be bad and has not yet reported it to the others.
    has_verdict: bool,
}

impl<S: ShareSchedule> RolloutController<S> {
    /// Creates a controller without rollouts.
    pub fn new(now: Instant, config: RolloutConfig, schedule: S) -> Self {
        Self {
            config,
            schedule,
            rollouts: BTreeMap::new(),
            exclusions: HashMap::new(),
            history: VersionHistory::default(),
            tally: PeerTally::new(REPORT_TTL).with_start(now),
            sends: SendTracker::default(),
            entries: 1,
            is_listed: true,
            events: Vec::new(),
            has_verdict: false,
        }
    }

    /// Sets the number of entries in service, and whether this one is among them.
    pub fn set_entries(&mut self, entries: usize, is_listed: bool) {
        self.entries = entries.max(1);
        self.is_listed = is_listed;
    }

    /// Records that a server of `service` runs `version`. `is_initial` is set for servers in the
    /// first list that this entry received.
    pub fn on_server(&mut self, now: Instant, service: &str, version: &str, is_initial: bool) {
        self.history.on_server(now, service, version, is_initial);
        if !self.history.held_versions(now, service).is_empty() {
            self.refresh_exclusions(now, service);
        }
    }

    /// Records an operator's order for a rollout.
    pub fn on_order(&mut self, now: Instant, order: &RolloutOrder) {
        let known = self.rollouts.get(&order.service);
        if known.is_some_and(|known| known.record.order.revision >= order.revision) {
            return;
        }
        let before = known.map(|known| &known.record);
        let record = RolloutRecord::new(order.clone(), before);
        self.replace(now, record, None, false);
    }

    /// Records that the operator withdrew the order for `service`: its rollout is rolled back
    /// unless it has finished.
    pub fn on_withdrawn(&mut self, now: Instant, service: &str) {
        let is_unfinished = |rollout: &&mut ServiceRollout| !rollout.record.phase.is_final();
        if let Some(rollout) = self.rollouts.get_mut(service).filter(is_unfinished) {
            rollout.set_phase(RolloutPhase::RolledBack);
            self.push_event(service, None);
            self.refresh_exclusions(now, service);
        }
    }

    /// Records a rollout from the store or another entry. `begun` is its start by this entry's
    /// clock; `is_stored` tells whether the store is known to hold this record.
    pub fn on_record(
        &mut self,
        now: Instant,
        record: &RolloutRecord,
        begun: Option<Instant>,
        is_stored: bool,
    ) {
        let service = record.order.service.as_str();
        let Some(known) = self.rollouts.get_mut(service) else {
            self.replace(now, record.clone(), begun, is_stored);
            return;
        };
        if known.record.order.revision < record.order.revision {
            self.replace(now, record.clone(), begun, is_stored);
        } else if record.is_newer(&known.record) {
            known.record = record.clone();
            known.begun = begun.or(known.begun);
            known.is_stored = is_stored;
            self.push_event(service, None);
            self.refresh_exclusions(now, service);
        } else if *record == known.record {
            known.is_stored |= is_stored;
            known.begun = known.begun.or(begun);
        }
    }

    /// Records that the store came back from an older copy: it may lack any record, which is then
    /// written again.
    pub fn on_store_restored(&mut self) {
        for rollout in self.rollouts.values_mut() {
            rollout.is_stored = false;
        }
    }

    /// Returns all known rollouts.
    pub fn records(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.rollouts.values().map(|rollout| &rollout.record)
    }

    /// Returns the rollout of `service`.
    pub fn record(&self, service: &str) -> Option<&RolloutRecord> {
        self.rollouts.get(service).map(|rollout| &rollout.record)
    }

    /// Returns the services whose rollout is unfinished or not yet stored in its current state.
    pub fn unfinished_services(&self) -> Vec<String> {
        let open = self.rollouts.iter();
        let open = open.filter(|(_, rollout)| rollout.is_unfinished());
        open.map(|(service, _)| service.clone()).collect()
    }

    /// Whether any rollout is unfinished or not yet stored in its current state.
    pub fn is_active(&self) -> bool {
        self.rollouts.values().any(ServiceRollout::is_unfinished)
    }

    /// Chooses the versions for a request of `service`. `is_repeat` is set for a request that
    /// was sent to a server before; `age` is the age of the operator's rows, `None` if unknown.
    pub fn choose(
        &mut self,
        now: Instant,
        service: &str,
        is_repeat: bool,
        age: Option<Duration>,
    ) -> VersionChoice {
        let Some(excluded) = self.exclusions.get(service) else {
            return VersionChoice::NoRollout;
        };
        if excluded.until.is_some_and(|until| now >= until) {
            self.refresh_exclusions(now, service);
        }
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return VersionChoice::NoRollout;
        };
        match rollout.record.phase {
            RolloutPhase::Ordered => return VersionChoice::Old,
            RolloutPhase::Running => {}
            RolloutPhase::RolledBack | RolloutPhase::Completed => return VersionChoice::NoRollout,
        }
        if rollout.is_overdue(now) || age.is_none_or(|age| age > OPERATOR_STALE_AFTER) {
            return VersionChoice::Old;
        }
        let stage = rollout.stage(now, &self.schedule, self.is_listed);
        match stage {
            RolloutStage::Exclusive => VersionChoice::NewOnly,
            _ if is_repeat => VersionChoice::Old,
            RolloutStage::Preferred => VersionChoice::New,
            RolloutStage::Share(share) if self.is_listed && rollout.limiter.try_take(share) => {
                VersionChoice::New
            }
            RolloutStage::Share(_) => VersionChoice::Old,
        }
    }

    /// Returns the filter for `choice` and a fallback for requests that it refuses. The
    /// fallback's flag tells whether it applies only if the first filter finds no server at
    /// all.
    pub fn filters(
        &self,
        service: &str,
        choice: VersionChoice,
    ) -> (VersionFilter<'_>, Option<(VersionFilter<'_>, bool)>) {
        let Some(excluded) = self.exclusions.get(service) else {
            return (VersionFilter::Any, None);
        };
        let others = VersionFilter::Except(&excluded.versions);
        let rollout = self.rollouts.get(service);
        let Some(version) = rollout.map(|rollout| rollout.record.order.version.as_str()) else {
            return (others, Some((VersionFilter::Any, true)));
        };
        let only = VersionFilter::Only(version);
        match choice {
            VersionChoice::NoRollout => (
                others,
                Some((VersionFilter::Except(&excluded.rejected), true)),
            ),
            VersionChoice::Old => (others, Some((only, true))),
            VersionChoice::New => (only, Some((others, false))),
            VersionChoice::NewOnly => (only, Some((others, true))),
        }
    }

    /// Records that a request meant for the new version of `service` was sent to another
    /// version.
    pub fn on_diverted(&mut self, service: &str) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.limiter.refund();
        }
    }

    /// Records that a request is sent to a server. If a rollout of its service is running,
    /// returns the token of the request and whether the new version runs it.
    pub fn on_sent(&mut self, now: Instant, send: &VersionSend<'_>) -> Option<(SendToken, bool)> {
        let rollout = self.rollouts.get_mut(send.service)?;
        if rollout.record.phase != RolloutPhase::Running {
            return None;
        }
        rollout.update_response_time(send.expected);
        let is_new = rollout.record.order.version == send.version;
        Some((self.sends.start(now, send, is_new), is_new))
    }

    /// Records the outcome of a request.
    pub fn on_outcome(&mut self, now: Instant, token: SendToken, outcome: SendOutcome) {
        if let Some(classified) = self.sends.finish(now, token, outcome) {
            self.count(now, &classified);
            self.check_verdict(now, &classified.service);
        }
    }

    /// Counts requests that are overdue as slow. Call it every
    /// [`CHECK_INTERVAL`](crate::sends::CHECK_INTERVAL) while
    /// [`Self::is_active`]: a longer gap counts as a standstill of this entry.
    pub fn check_overdue(&mut self, now: Instant) {
        for classified in self.sends.overdue(now) {
            self.count(now, &classified);
            self.check_verdict(now, &classified.service);
        }
    }

    /// Returns the record that the store should hold for `service`, given the `servers` that a
    /// lead sees; `None` if nothing has to be written. `store_now` is the time of the store's
    /// clock.
    pub fn next_record(
        &self,
        now: Instant,
        service: &str,
        servers: ServerCounts,
        store_now: u64,
    ) -> Option<RolloutRecord> {
        let rollout = self.rollouts.get(service)?;
        let phase = match rollout.record.phase {
            RolloutPhase::Ordered => RolloutPhase::Running,
            RolloutPhase::Running => {
                match rollout.final_phase(now, servers, self.in_flight_on_old(now, rollout)) {
                    // The other entries may have found the version to be bad.
                    Some(RolloutPhase::Completed) if !self.has_quorum(now) => return None,
                    Some(phase) => phase,
                    None if rollout.is_stored => return None,
                    None => RolloutPhase::Running,
                }
            }
            _ if rollout.is_stored => return None,
            phase => phase,
        };
        let mut record = RolloutRecord {
            phase,
            ..rollout.record.clone()
        };
        if record.begun == 0 && phase == RolloutPhase::Running {
            let since = now.saturating_duration_since(rollout.learned_at);
            record.begun = store_now.saturating_sub(since.as_millis() as u64).max(1);
        }
        if phase == RolloutPhase::Completed {
            record.bar_replaced(self.history.others(service, &record.order.version));
        }
        Some(record)
    }

    /// Returns the phase changes since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this entry found a version to be bad since the last call. The others must be
    /// informed at once because they send it requests until then.
    pub fn take_verdict(&mut self) -> bool {
        std::mem::take(&mut self.has_verdict)
    }

    /// Returns the share of new requests that the version gets now, for operators.
    pub fn share(&self, now: Instant, service: &str) -> f64 {
        let Some(rollout) = self.rollouts.get(service) else {
            return 0.0;
        };
        match rollout.record.phase {
            RolloutPhase::Ordered | RolloutPhase::RolledBack => 0.0,
            RolloutPhase::Completed => 1.0,
            RolloutPhase::Running => match rollout.stage(now, &self.schedule, self.is_listed) {
                RolloutStage::Share(share) => share,
                RolloutStage::Preferred | RolloutStage::Exclusive => 1.0,
            },
        }
    }

    fn replace(
        &mut self,
        now: Instant,
        record: RolloutRecord,
        begun: Option<Instant>,
        is_stored: bool,
    ) {
        let service = record.order.service.clone();
        let bonus = INITIAL_SLACK_FRACTION * self.config.exposure_slack / self.entries as f64;
        let rollout = ServiceRollout {
            begun,
            is_stored,
            ..ServiceRollout::new(now, record, bonus)
        };
        self.rollouts.insert(service.clone(), rollout);
        self.push_event(&service, None);
        self.refresh_exclusions(now, &service);
    }

    fn refresh_exclusions(&mut self, now: Instant, service: &str) {
        let held = self.history.held_versions(now, service);
        match VersionExclusions::new(self.record(service), held) {
            Some(excluded) => {
                self.exclusions.insert(service.to_owned(), excluded);
            }
            None => {
                self.exclusions.remove(service);
            }
        }
    }

    fn count(&mut self, now: Instant, classified: &ClassifiedSend) {
        let Some(rollout) = self.rollouts.get_mut(&classified.service) else {
            return;
        };
        if rollout.record.phase != RolloutPhase::Running {
            return;
        }
        let mut counts = AnswerCounts::default();
        counts.add(classified.kind, 1);
        for route in [classified.route, ALL_ROUTES] {
            let key = AnswerKey {
                revision: rollout.record.order.revision,
                route,
                is_new: classified.is_new,
                kind: classified.kind,
            };
            self.tally.add(now, key);
            rollout.evidence.add(route, classified.is_new, counts);
        }
        if classified.is_new {
            let mut server = ServerMask::default();
            server.add(classified.server);
            let bad = match classified.kind {
                AnswerKind::Good => ServerMask::default(),
                AnswerKind::Failed | AnswerKind::Slow => server,
            };
            rollout.evidence.add_servers(server, bad);
        }
    }

    fn check_verdict(&mut self, now: Instant, service: &str) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        if rollout.record.phase != RolloutPhase::Running {
            return;
        }
        let Some(verdict) = rollout.evidence.verdict() else {
            return;
        };
        rollout.verdict_at = Some(now);
        rollout.set_phase(RolloutPhase::RolledBack);
        self.has_verdict = true;
        self.push_event(service, Some(verdict));
        self.refresh_exclusions(now, service);
    }

    fn push_event(&mut self, service: &str, verdict: Option<BadVersion>) {
        let Some(record) = self.record(service) else {
            return;
        };
        let event = RolloutEvent {
            service: service.to_owned(),
            version: record.order.version.clone(),
            phase: record.phase,
            verdict,
        };
        self.events.push(event);
    }
}

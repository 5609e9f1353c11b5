//! One entry's part in rollouts: which version a request runs on, what is counted, and when
//! a rollout goes on to its next phase.

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

/// An entry that heard nothing of the operator's rows for this long uses the old versions: a
/// verdict may not reach it. Longer than a feed that is quiet stays open.
const OPERATOR_STALE_AFTER: Duration = Duration::from_secs(4);
/// An entry's word counts as its present for this long.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Part of the exposure slack that entries use at once: more answers early on, where few
/// requests come.
const INITIAL_SLACK_FRACTION: f64 = 0.4;
/// A version that was found bad is told to be so for this long.
const VERDICT_REPORT_TIME: Duration = Duration::from_secs(10);

/// What the book must know of its entry and bounds.
#[derive(Debug, Clone, Copy)]
pub struct RolloutConfig {
    /// Part of a service's requests that a bad version may get from order to deadline.
    pub exposure_share: f64,
    /// Requests that it may get besides.
    pub exposure_slack: f64,
    /// One run of the entry's process.
    pub run: u64,
}

/// What changed in a rollout, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEvent {
    /// The service.
    pub service: String,
    /// The version that was ordered.
    pub version: String,
    /// The phase from now on.
    pub phase: RolloutPhase,
    /// What shows that the version is bad, where this entry found it.
    pub verdict: Option<BadVersion>,
}

/// The rollouts of all services, as one entry knows them.
#[derive(Debug)]
pub struct RolloutController<S = CanarySchedule> {
    config: RolloutConfig,
    schedule: S,
    rollouts: BTreeMap<String, ServiceRollout>,
    exclusions: HashMap<String, VersionExclusions>,
    history: VersionHistory,
    tally: PeerTally<AnswerKey>,
    sends: SendTracker,
    /// Entries that get requests, this one included.
    entries: usize,
    /// Whether this entry is one of them. Others hear no words.
    is_listed: bool,
    events: Vec<RolloutEvent>,
    /// Whether this entry found a version to be bad that the others haven't been told of.
    has_verdict: bool,
}

impl<S: ShareSchedule> RolloutController<S> {
    /// A book that knows no rollout, at `now`.
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

    /// Sets how many entries get requests, and whether this one is among them.
    pub fn set_entries(&mut self, entries: usize, is_listed: bool) {
        self.entries = entries.max(1);
        self.is_listed = is_listed;
    }

    /// A server of `service` has `version`; `is_first` where no server was known before the
    /// reading that tells so.
    pub fn on_server(&mut self, now: Instant, service: &str, version: &str, is_first: bool) {
        self.history.on_server(now, service, version, is_first);
        if !self.history.held_versions(now, service).is_empty() {
            self.refresh_exclusions(now, service);
        }
    }

    /// The operator ordered a rollout.
    pub fn on_order(&mut self, now: Instant, order: &RolloutOrder) {
        let known = self.rollouts.get(&order.service);
        if known.is_some_and(|known| known.record.order.revision >= order.revision) {
            return;
        }
        let before = known.map(|known| &known.record);
        let record = RolloutRecord::new(order.clone(), before);
        self.replace(now, record, None, false);
    }

    /// The operator took the order for `service` back.
    pub fn on_withdrawn(&mut self, now: Instant, service: &str) {
        let is_open = |rollout: &&mut ServiceRollout| !rollout.record.phase.is_final();
        if let Some(rollout) = self.rollouts.get_mut(service).filter(is_open) {
            rollout.set_phase(RolloutPhase::RolledBack);
            self.push_event(service, None);
            self.refresh_exclusions(now, service);
        }
    }

    /// Takes in a rollout as the store or another entry has it; `begun` is its start by this
    /// entry's clock, `is_stored` whether the store is known to have it so.
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
        }
    }

    /// The rollouts that are known, with their starts by this entry's clock.
    pub fn records(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.rollouts.values().map(|rollout| &rollout.record)
    }

    /// The rollout of `service`.
    pub fn record(&self, service: &str) -> Option<&RolloutRecord> {
        self.rollouts.get(service).map(|rollout| &rollout.record)
    }

    /// Services with a rollout that isn't over or not yet in the store as it is known here.
    pub fn open_services(&self) -> Vec<String> {
        let open = self.rollouts.iter();
        let open = open.filter(|(_, rollout)| rollout.is_open());
        open.map(|(service, _)| service.clone()).collect()
    }

    /// Whether any rollout is open.
    pub fn is_active(&self) -> bool {
        self.rollouts.values().any(ServiceRollout::is_open)
    }

    /// What a request of `service` should run on. `is_repeat` where it was sent to a server
    /// before; `age` is that of what is known of the operator's rows, `None` where that can't
    /// be told.
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

    /// The filter for `choice`, and the one to try where that refuses the request, with
    /// whether only where it finds no server at all.
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
                Some((VersionFilter::Except(&excluded.barred), true)),
            ),
            VersionChoice::Old => (others, Some((only, true))),
            VersionChoice::New => (only, Some((others, false))),
            VersionChoice::NewOnly => (only, Some((others, true))),
        }
    }

    /// A request that was to go to the new version of `service` went to another.
    pub fn on_diverted(&mut self, service: &str) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.limiter.refund();
        }
    }

    /// A request goes to a server; the token that names it, and whether the new version runs
    /// it, where a rollout of its service runs.
    pub fn on_sent(&mut self, now: Instant, send: &VersionSend<'_>) -> Option<(SendToken, bool)> {
        let rollout = self.rollouts.get_mut(send.service)?;
        if rollout.record.phase != RolloutPhase::Running {
            return None;
        }
        rollout.update_response_time(send.expected);
        let is_new = rollout.record.order.version == send.version;
        Some((self.sends.open(now, send, is_new), is_new))
    }

    /// Takes in what became of a request.
    pub fn on_outcome(&mut self, now: Instant, token: SendToken, outcome: SendOutcome) {
        if let Some(classified) = self.sends.close(now, token, outcome) {
            self.count(now, &classified);
            self.check_verdict(now, &classified.service);
        }
    }

    /// Looks for requests that take too long. Call it several times a second while
    /// [`Self::is_active`].
    pub fn review(&mut self, now: Instant) {
        for classified in self.sends.overdue(now) {
            self.count(now, &classified);
            self.check_verdict(now, &classified.service);
        }
    }

    /// What the store should say of the rollout of `service`, as a lead that sees `servers` of
    /// its servers finds; `None` where it says so or nothing changes. `store_now` is the time
    /// by the store's clock.
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
                    // Others may know better.
                    Some(RolloutPhase::Completed) if !self.hears_majority(now) => return None,
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
            let old = self.history.others(service, &record.order.version);
            record.barred.extend(old);
            record.barred.sort_unstable();
            record.barred.dedup();
        }
        Some(record)
    }

    /// What changed since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this entry found a version to be bad since the last call: the others are to be
    /// told at once, since all of them send it requests until then.
    pub fn take_verdict(&mut self) -> bool {
        std::mem::take(&mut self.has_verdict)
    }

    /// The share of new requests that go to the version now, for operators.
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

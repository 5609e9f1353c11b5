//! State machine of an entry in the fleet: its connections to leads, its own role, what
//! it publishes and when it calls the store.
//!
//! It consumes [`FleetEvent`]s and emits [`FleetAction`]s. [`FleetMember::run_due_tasks`]
//! lists the periodic tasks in order; the submodules implement them.

mod announce;
mod crashes;
mod fetch;
mod receive;
mod role;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::ledger::CrashLedger;
use crate::crash::message::{CrashReport, StoredQuarantine};
use crate::crash::outbox::CrashOutbox;
use crate::crash::quarantine::QuarantineTable;
use crate::fleet::candidate::LeadCandidate;
use crate::fleet::clock::{StoreClock, StoreTime};
use crate::fleet::conflict::ContentConflict;
use crate::fleet::leads::LeadTable;
use crate::fleet::list::EntryList;
use crate::fleet::message::PeerMessage;
use crate::fleet::position::StorePosition;
use crate::fleet::pull::{PullState, PullTarget};
use crate::fleet::read_intervals::ReadIntervals;
use crate::fleet::reading::{ReadOutcome, ReadScheduler, RegistryRead};
use crate::fleet::regions::RegionTable;
use crate::fleet::roster::EntryRoster;
use crate::fleet::search::LeadSearch;
use crate::fleet::store_progress::StoreProgress;
use crate::rank::stable_hash;

/// Interval of heartbeats and of a lead's digests. Four of them fit into the time after
/// which a silent entry counts as lost.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of the periodic tasks while something is pending.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the periodic tasks while no lead is reachable. Short, because after a
/// loss of all entries every delay in finding a lead delays answers to callers.
const SEARCH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// An answer within this time is no reason to pause.
const PROMPT_ANSWER: Duration = Duration::from_secs(1);
/// An entry that has leads pauses this many times as long as the store took for the last answer.
const CALL_SPACING: f64 = 1.5;
/// Additional times over which entries are spread.
const CALL_SPACING_SPREAD: f64 = 2.0;
/// Maximum pause. Entries whose leads are refused by the store rely on their own calls.
const MAX_CALL_PAUSE: Duration = Duration::from_secs(16);

/// Static configuration of an entry.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// Process incarnation.
    pub incarnation: u64,
    /// The entry as a lead candidate.
    pub candidate: LeadCandidate,
    /// The entry's region.
    pub region: String,
    /// Address on which it accepts callers.
    pub caller_address: SocketAddr,
    /// All regions.
    pub regions: Vec<String>,
    /// Datagram addresses of a few other entries; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Time within which a draining server must stop receiving requests.
    pub drain: Duration,
}

/// Variable state of the local entry that is published to others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LocalEntryState {
    /// Whether it currently accepts callers.
    pub ready: bool,
    /// Whether its process is shutting down.
    pub leaving: bool,
    /// Requests per second it receives.
    pub rate: u32,
    /// Its stamp for tickets; empty if no caller uses tickets.
    pub stamp: String,
    /// Maximum age of the proof that its copy of the operator's rows is current; `None`
    /// if nothing depends on that.
    pub proof_within: Option<Duration>,
}

/// Input to the state machine.
#[derive(Debug)]
pub enum FleetEvent {
    /// Time has passed.
    Tick,
    /// A datagram was received.
    Message(PeerMessage),
    /// The local entry's state changed.
    LocalState(LocalEntryState),
    /// The state of the store known here changed, from any source.
    StoreProgress(StoreProgress),
    /// Upper bound of the store's clock, with the local time at which the call began. It
    /// comes from another entry.
    StoreTime(Instant, StoreTime),
    /// Time of the store's clock in an answer of the store, with the local time at which the call
    /// began.
    StoreAnswered(Instant, StoreTime),
    /// The process was suspended for this long without its clock advancing.
    Suspended(Duration),
    /// Result of a registry read requested by [`FleetAction::ReadRegistry`].
    RegistryRead(ReadOutcome),
    /// A read of the registry showed all rows instead of the changes since the last one.
    HistoryMissed,
    /// Time at which servers missing from the registry become final removals, if there
    /// are any.
    NextRemovalAt(Option<Instant>),
    /// A watch of the operator's rows ended.
    WatchFinished(WatchOutcome),
    /// Lists of entries were pulled.
    Lists(Vec<EntryList>),
    /// A pull from the lead at this address ended; whether it succeeded.
    PullFinished(SocketAddr, bool),
    /// Leads stored in the store, as regions and addresses.
    LeadRows(Vec<(String, SocketAddr)>),
    /// Quarantined requests stored in the store.
    QuarantineRows(Vec<StoredQuarantine>),
    /// Requests of this entry that were in progress at a server when it crashed.
    Crashed(Vec<CrashReport>),
    /// A server successfully answered a request that had been in progress at a crash.
    Cleared(RequestFingerprint),
}

/// How a watch of the operator's rows ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchOutcome {
    /// Whether the store answered in time.
    pub is_timely: bool,
    /// How long the store took, without the time for which it was allowed to wait for changes. If
    /// it didn't answer, the time since the first call without an answer.
    pub took: Duration,
}

/// Output of the state machine.
#[derive(Debug)]
pub enum FleetAction {
    /// Send a datagram to these addresses.
    Send(Vec<SocketAddr>, PeerMessage),
    /// Pull newer data from a lead.
    Pull(PullTarget),
    /// Read the registry, and report the result as [`FleetEvent::RegistryRead`].
    ReadRegistry(RegistryRead),
    /// Start or stop watching the operator's rows.
    WatchOperator(bool),
    /// Read the leads stored in the store.
    ReadLeadRows,
    /// Write the region's leads to the store.
    WriteLeadRow(Vec<SocketAddr>),
    /// Write quarantined requests to the store, each with the age of its quarantine.
    WriteQuarantineRows(Vec<(RequestFingerprint, Duration)>),
    /// Delete requests that are no longer quarantined from the store.
    DeleteQuarantineRows(Vec<RequestFingerprint>),
    /// The local copy of the registry was confirmed to be current as of this time, at this
    /// position of the store.
    ConfirmRegistry(Instant, StorePosition),
    /// The store answered another entry's read of the registry that began at this time.
    RegistryAnswered(Instant),
    /// The set of entries that receive requests changed.
    ListsChanged,
    /// Log a change.
    Log(FleetChange),
}

/// Changes in the fleet to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// This entry became a lead, for this reason.
    StartedLeading(&'static str),
    /// This entry stopped being a lead in favor of the named one.
    StoppedLeading(String),
    /// A request was in progress at two servers when they crashed.
    Suspected(RequestFingerprint),
    /// A request crashed servers and is rejected from now on.
    Quarantined(RequestFingerprint),
    /// A suspected or quarantined request was answered successfully.
    Cleared(RequestFingerprint),
    /// The names of the region's reader and deputy changed.
    LeadsChanged(Vec<String>),
    /// No lead of the region is reachable any more.
    LeadsLost,
    /// This entry published a new list with this number of entries, and this number of
    /// entries advertised to callers.
    ListPublished(usize, usize),
    /// The named lead holds different registry content, although both it and this entry
    /// have read that version.
    ConflictingLead(String),
    /// The local copy of the registry may be wrong and is refetched.
    RefetchingRegistry,
    /// The local state was ahead of the store and is refetched.
    RefetchingAll,
}

/// State machine of an entry in the fleet.
#[derive(Debug)]
pub struct FleetMember {
    config: MemberConfig,
    hash: u64,
    started_at: Instant,
    last_run: Instant,
    local_state: LocalEntryState,
    store_reachable: bool,
    store_progress: StoreProgress,
    clock: StoreClock,
    roster: EntryRoster,
    leads: LeadTable,
    regions: RegionTable,
    search: LeadSearch,
    pulls: PullState,
    conflict: ContentConflict,
    read_scheduler: ReadScheduler,
    /// Time at which this entry became a lead; `None` if it is not one.
    lead_since: Option<Instant>,
    /// Current leads and substitutes of the region.
    candidates: Vec<LeadCandidate>,
    listed_regions: Vec<String>,
    /// Since when the leads' proof that the operator's rows are current has been unusable.
    proof_unusable_since: Option<Instant>,
    /// When this entry may call the store while it has leads.
    own_calls_due: Instant,
    /// The latest proof whose delay is known.
    timed_proof: StoreTime,
    is_isolated: bool,
    is_watching: bool,
    heartbeat_due: Instant,
    digest_due: Instant,
    last_digest_at: Option<Instant>,
    list_due: Instant,
    role_check_due: Instant,
    row_lookup_due: Instant,
    lead_row: Vec<SocketAddr>,
    /// Era of the store in which that row was written.
    lead_row_era: u64,
    /// Requests in progress at server crashes.
    ledger: CrashLedger,
    quarantine: QuarantineTable,
    outbox: CrashOutbox,
    statuses_due: Instant,
}

impl FleetMember {
    /// Creates an entry that starts at `now` without any knowledge of others.
    pub fn new(now: Instant, config: MemberConfig) -> Self {
        let hash = stable_hash(config.candidate.node.as_bytes());
        Self {
            hash,
            started_at: now,
            last_run: now,
            local_state: LocalEntryState::default(),
            store_reachable: true,
            store_progress: StoreProgress::default(),
            clock: StoreClock::default(),
            roster: EntryRoster::default(),
            leads: LeadTable::default(),
            regions: RegionTable::new(&config.region, &config.regions),
            search: LeadSearch::new(&config.seeds, hash),
            pulls: PullState::default(),
            conflict: ContentConflict::default(),
            read_scheduler: ReadScheduler::new(now, ReadIntervals::new(config.drain), hash),
            lead_since: None,
            candidates: Vec::new(),
            listed_regions: Vec::new(),
            proof_unusable_since: None,
            own_calls_due: now,
            timed_proof: StoreTime::default(),
            is_isolated: true,
            is_watching: false,
            heartbeat_due: now,
            digest_due: now,
            last_digest_at: None,
            list_due: now,
            role_check_due: now,
            row_lookup_due: now,
            lead_row: Vec::new(),
            lead_row_era: 0,
            ledger: CrashLedger::default(),
            quarantine: QuarantineTable::default(),
            outbox: CrashOutbox::default(),
            statuses_due: now,
            config,
        }
    }

    /// Processes `event`, appending the resulting actions to `actions`.
    pub fn on_event(&mut self, now: Instant, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::Tick => {}
            FleetEvent::Message(message) => self.on_message(now, message, actions),
            FleetEvent::LocalState(own) => self.on_local_state(now, own),
            FleetEvent::StoreProgress(known) => self.on_store_progress(now, known),
            FleetEvent::StoreTime(started_at, time) => {
                self.clock.on_answer(started_at, time);
                self.drop_unusable_proof(now);
            }
            FleetEvent::StoreAnswered(started_at, time) => {
                self.clock.on_store_answer(now, started_at, time);
                self.drop_unusable_proof(now);
            }
            FleetEvent::Suspended(span) => {
                self.clock.on_suspended(now, span);
                self.store_progress.on_suspended(span);
            }
            FleetEvent::RegistryRead(outcome) => {
                let is_answered = outcome != ReadOutcome::Failed;
                if is_answered && !self.store_reachable {
                    self.pulls.on_departures_missed();
                }
                self.store_reachable = is_answered;
                self.read_scheduler.on_read_finished(now, outcome);
            }
            FleetEvent::HistoryMissed => self.pulls.on_departures_missed(),
            FleetEvent::NextRemovalAt(at) => self.read_scheduler.set_next_removal(at),
            FleetEvent::WatchFinished(outcome) => {
                self.store_reachable = outcome.is_timely;
                self.own_calls_due = now + self.call_pause(outcome.took);
            }
            FleetEvent::Lists(lists) => {
                let newer = lists
                    .into_iter()
                    .filter(|list| !list.region.is_empty())
                    .map(|list| self.regions.on_list(list));
                if newer.fold(false, |any, newer| any | newer) {
                    self.digest_due = now;
                    actions.push(FleetAction::ListsChanged);
                }
            }
            FleetEvent::PullFinished(lead, done) => self.pulls.on_pull_finished(now, lead, done),
            FleetEvent::LeadRows(rows) => self.on_lead_rows(now, &rows),
            FleetEvent::QuarantineRows(rows) => self.on_quarantine_rows(now, &rows, actions),
            FleetEvent::Crashed(reports) => self.on_crashed(now, &reports),
            FleetEvent::Cleared(fingerprint) => self.on_cleared(now, fingerprint, actions),
        }
        self.run_due_tasks(now, actions);
    }

    /// Returns when the periodic tasks must run if no event arrives before. The value
    /// does not move as time passes: otherwise an entry woken by other events more often
    /// than this would never run them.
    pub fn due(&self, now: Instant) -> Instant {
        let silent = self.leads.timeout_at(&self.config.region);
        let waits = self.lead_since.is_some() || self.pulls.is_behind();
        let due = match silent.filter(|at| !waits && *at > now) {
            Some(at) => self.heartbeat_due.min(at).max(now),
            None if self.lead_since.is_none() => self.last_run + SEARCH_POLL_INTERVAL,
            None => self.last_run + POLL_INTERVAL,
        };
        let others = [
            self.crashes_due(),
            self.conflict.due().filter(|at| *at > now),
            self.next_digest(),
        ];
        let others = others.into_iter().flatten().map(|at| at.max(now));
        others.fold(due, Instant::min)
    }

    /// Returns the state of all regions.
    pub fn regions(&self) -> &RegionTable {
        &self.regions
    }

    /// Returns the state of the store known to this entry.
    pub fn store_progress(&self) -> &StoreProgress {
        &self.store_progress
    }

    /// Returns the maximum time since the store confirmed that the local copy of the
    /// operator's rows is current; `None` if unknown.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.clock.age(now, self.store_progress.proved)
    }

    /// Returns an upper bound of the store's clock, as known to this entry.
    pub fn latest_store_time(&self, now: Instant) -> StoreTime {
        self.clock.latest(now).unwrap_or_default()
    }

    /// Whether this entry is a lead of its region.
    pub fn leads(&self) -> bool {
        self.lead_since.is_some()
    }

    /// Whether this entry is listed as receiving requests.
    pub fn is_listed(&self) -> bool {
        let list = self.regions.list(&self.config.region);
        list.is_some_and(|list| list.find(&self.config.candidate.node).is_some())
    }

    /// Whether this entry has received nothing from other entries since startup, in which case it
    /// advertises itself to callers once it is ready.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    fn on_local_state(&mut self, now: Instant, own: LocalEntryState) {
        let is_urgent =
            own.ready != self.local_state.ready || own.leaving != self.local_state.leaving;
        self.local_state = own;
        if is_urgent {
            self.heartbeat_due = now;
            self.list_due = self.list_due.min(now);
            self.digest_due = self.digest_due.min(now);
        }
    }

    fn on_store_progress(&mut self, now: Instant, known: StoreProgress) {
        let versions = |progress: &StoreProgress| {
            (
                progress.registry,
                progress.operator,
                progress.rollouts,
                progress.desired,
            )
        };
        let is_changed = versions(&known) != versions(&self.store_progress);
        let is_read = known.registry_at > self.store_progress.registry_at;
        self.store_progress = known;
        if is_changed || is_read {
            self.digest_due = self.digest_due.min(now);
        }
    }

    /// Pauses after a proof that was old when it arrived: the store is as slow for its leads.
    fn note_proof_delay(&mut self, now: Instant) {
        let proved = self.store_progress.proved;
        if proved <= self.timed_proof {
            return;
        }
        self.timed_proof = proved;
        if let Some(delay) = self.proof_age(now) {
            self.own_calls_due = self.own_calls_due.max(now + self.call_pause(delay));
        }
    }

    /// Returns how long an entry that has leads leaves a store alone that took `delay` for an
    /// answer.
    fn call_pause(&self, delay: Duration) -> Duration {
        if delay <= PROMPT_ANSWER {
            return Duration::ZERO;
        }
        let spread = self.search.jitter(delay.mul_f64(CALL_SPACING_SPREAD));
        (delay.mul_f64(CALL_SPACING) + spread).min(MAX_CALL_PAUSE)
    }

    /// Drops the proof if the store's clock can't have shown its time: the clock was reset.
    fn drop_unusable_proof(&mut self, now: Instant) {
        if self.proof_age(now).is_none() {
            self.store_progress.proved = StoreTime::default();
        }
    }

    fn run_due_tasks(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.last_run = now;
        self.note_proof_delay(now);
        if now >= self.role_check_due {
            self.role_check_due = now + SEARCH_POLL_INTERVAL;
            self.leads.forget(now);
            self.update_role(now, actions);
            self.update_regions(now, actions);
        }
        self.update_list(now, actions);
        self.send_due_heartbeat(now, actions);
        self.send_due_digest(now, actions);
        self.maintain_lead_rows(now, actions);
        self.check_conflict(now, actions);
        self.start_due_pull(now, actions);
        self.start_due_reading(now, actions);
        self.process_crashes(now, actions);
    }
}

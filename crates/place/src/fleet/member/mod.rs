//! One entry's part in the fleet: whom it hears, whether it leads its region, what it
//! tells, and when it asks the store.
//!
//! Events in, actions out; [`FleetMember::run_due_tasks`] reads top to bottom. What it hears, who
//! leads, what it tells and whom it asks are the modules below.

mod announce;
mod crashes;
mod fetch;
mod receive;
mod role;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::crash::ledger::CrashLedger;
use crate::crash::outbox::CrashOutbox;
use crate::crash::print::RequestPrint;
use crate::crash::quarantine::QuarantineBook;
use crate::crash::word::{CrashReport, KeptQuarantine};
use crate::fleet::candidate::LeadCandidate;
use crate::fleet::clock::{StoreClock, StoreTime};
use crate::fleet::conflict::ContentConflict;
use crate::fleet::known::KnownStore;
use crate::fleet::leads::LeadTable;
use crate::fleet::list::EntryList;
use crate::fleet::message::PeerMessage;
use crate::fleet::pace::ReadPace;
use crate::fleet::pull::{PullState, PullTarget};
use crate::fleet::reading::{ReadOutcome, ReadingPlan, RegistryCall};
use crate::fleet::regions::RegionTable;
use crate::fleet::roster::EntryRoster;
use crate::fleet::search::LeadSearch;
use crate::rank::stable_hash;

/// Time between beats, and between digests of a lead: four in the time after which a
/// silent entry is taken as gone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two looks while something is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same for an entry that hears no lead: each part of a second without one costs
/// callers answers in time after a loss of all entries.
const SEARCH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// What an entry must know of itself and its place.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// This run of its process.
    pub incarnation: u64,
    /// The entry as one that may lead.
    pub candidate: LeadCandidate,
    /// Its region.
    pub region: String,
    /// Where it takes callers.
    pub front: SocketAddr,
    /// All regions.
    pub regions: Vec<String>,
    /// Where a few other entries take datagrams; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Time within which a leaving server must get no more requests.
    pub drain: Duration,
}

/// What changes in an entry and is told to others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LocalEntryState {
    /// Whether it takes callers now.
    pub ready: bool,
    /// Whether its process is about to end.
    pub leaving: bool,
    /// Requests a second that it gets.
    pub rate: u32,
    /// Its stamp for tickets; empty where no caller uses tickets.
    pub stamp: String,
    /// How old the store's word on the operator's rows may become here; `None` where
    /// nothing depends on that.
    pub proof_within: Option<Duration>,
}

/// What an entry hears or does.
#[derive(Debug)]
pub enum FleetEvent {
    /// Time has passed.
    Tick,
    /// A datagram came.
    Message(PeerMessage),
    /// Something of its own changed.
    LocalState(LocalEntryState),
    /// It knows more of the store, by whatever way.
    Known(KnownStore),
    /// The store answered a call that began then with its own time; or another entry told
    /// the latest time that the store's clock can show.
    StoreTime(Instant, StoreTime),
    /// The process stood still for so long without its clock moving.
    Suspended(Duration),
    /// What came of a reading of the registry that this entry was to make.
    RegistryRead(ReadOutcome),
    /// Servers that are missing in the registry are gone at this time, where there are such.
    RemovalsFinalAt(Option<Instant>),
    /// The store has answered a watch of the operator's rows, or not.
    WatchFinished(bool),
    /// Lists of entries were told.
    Lists(Vec<EntryList>),
    /// The lead at the address has answered a question, or not.
    PullFinished(SocketAddr, bool),
    /// The store's rows of leads: regions and addresses.
    LeadRows(Vec<(String, SocketAddr)>),
    /// The store's rows of requests in quarantine.
    QuarantineRows(Vec<KeptQuarantine>),
    /// Requests of this entry that were at a server when it ended.
    Crashed(Vec<CrashReport>),
    /// A server answered a request well that had been at one that ended.
    Cleared(RequestPrint),
}

/// What the entry is to do.
#[derive(Debug)]
pub enum FleetAction {
    /// Send a datagram.
    Send(Vec<SocketAddr>, PeerMessage),
    /// Ask a lead for what it knows more.
    Pull(PullTarget),
    /// Read the registry, and tell the outcome.
    ReadRegistry(RegistryCall),
    /// Watch the operator's rows from now on, or no longer.
    WatchOperator(bool),
    /// Look at the store's rows of leads.
    ReadLeadRows,
    /// Write the region's row of leads.
    WriteLeadRow(Vec<SocketAddr>),
    /// Write rows of requests in quarantine, and how long ago they were put there.
    WriteQuarantineRows(Vec<(RequestPrint, Duration)>),
    /// Delete the rows of requests that are in quarantine no longer.
    DeleteQuarantineRows(Vec<RequestPrint>),
    /// What is known of the registry is as fresh as of this time.
    ConfirmRegistry(Instant),
    /// The entries that get requests have changed.
    ListsChanged,
    /// Something to be logged.
    Log(FleetChange),
}

/// What changed in the fleet, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// This entry leads its region from now on, and why.
    StartedLeading(&'static str),
    /// It leads no longer, for the entry that is named.
    StoppedLeading(String),
    /// A request was at two servers when they ended.
    Suspected(RequestPrint),
    /// A request has ended servers and is refused from now on.
    Quarantined(RequestPrint),
    /// A request that something was held of was answered well.
    Cleared(RequestPrint),
    /// Its region's reader and deputy.
    LeadsChanged(Vec<String>),
    /// The region's leads are silent.
    LeadsLost,
    /// This entry told a new list with so many entries, so many of them named.
    ListPublished(usize, usize),
    /// The lead that is named knows other things of the registry than this entry, though
    /// both have read it.
    ConflictingLead(String),
    /// What is known of the registry is in doubt and is asked for anew.
    RefetchingRegistry,
    /// What was known of the store was ahead of it and is asked for anew.
    RefetchingAll,
}

/// One entry in the fleet.
#[derive(Debug)]
pub struct FleetMember {
    config: MemberConfig,
    hash: u64,
    started: Instant,
    last_run: Instant,
    own: LocalEntryState,
    reads: bool,
    known: KnownStore,
    clock: StoreClock,
    roster: EntryRoster,
    leads: LeadTable,
    regions: RegionTable,
    search: LeadSearch,
    pulls: PullState,
    conflict: ContentConflict,
    readings: ReadingPlan,
    /// Since when it leads its region.
    leading: Option<Instant>,
    /// Leads and substitutes of the region as known now.
    candidates: Vec<LeadCandidate>,
    counted: Vec<String>,
    is_lone: bool,
    watches: bool,
    heartbeat_due: Instant,
    digest_due: Instant,
    digest_at: Option<Instant>,
    list_due: Instant,
    role_check_due: Instant,
    row_lookup_due: Instant,
    lead_row: Vec<SocketAddr>,
    /// Which requests were at servers when these ended.
    ledger: CrashLedger,
    quarantine: QuarantineBook,
    outbox: CrashOutbox,
    statuses_due: Instant,
}

impl FleetMember {
    /// An entry that starts at `now` and knows nobody.
    pub fn new(now: Instant, config: MemberConfig) -> Self {
        let hash = stable_hash(config.candidate.node.as_bytes());
        Self {
            hash,
            started: now,
            last_run: now,
            own: LocalEntryState::default(),
            reads: true,
            known: KnownStore::default(),
            clock: StoreClock::default(),
            roster: EntryRoster::default(),
            leads: LeadTable::default(),
            regions: RegionTable::new(&config.region, &config.regions),
            search: LeadSearch::new(&config.seeds, hash),
            pulls: PullState::default(),
            conflict: ContentConflict::default(),
            readings: ReadingPlan::new(now, ReadPace::new(config.drain), hash),
            leading: None,
            candidates: Vec::new(),
            counted: Vec::new(),
            is_lone: true,
            watches: false,
            heartbeat_due: now,
            digest_due: now,
            digest_at: None,
            list_due: now,
            role_check_due: now,
            row_lookup_due: now,
            lead_row: Vec::new(),
            ledger: CrashLedger::default(),
            quarantine: QuarantineBook::default(),
            outbox: CrashOutbox::default(),
            statuses_due: now,
            config,
        }
    }

    /// Takes in `event`; what is to be done is added to `actions`.
    pub fn on_event(&mut self, now: Instant, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::Tick => {}
            FleetEvent::Message(message) => self.on_message(now, message, actions),
            FleetEvent::LocalState(own) => self.on_own(now, own),
            FleetEvent::Known(known) => self.on_known(now, known),
            FleetEvent::StoreTime(begun, time) => self.on_store_time(now, begun, time),
            FleetEvent::Suspended(span) => {
                self.clock.on_suspended(now, span);
                self.known.on_suspended(span);
            }
            FleetEvent::RegistryRead(outcome) => {
                self.reads = outcome != ReadOutcome::Failed;
                self.readings.on_read(now, outcome);
            }
            FleetEvent::RemovalsFinalAt(at) => self.readings.set_settles(at),
            FleetEvent::WatchFinished(done) => self.reads = done,
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
            FleetEvent::PullFinished(view, done) => self.pulls.on_pull_finished(now, view, done),
            FleetEvent::LeadRows(rows) => self.on_rows(now, &rows),
            FleetEvent::QuarantineRows(rows) => self.on_quarantine_rows(now, &rows, actions),
            FleetEvent::Crashed(reports) => self.on_crashed(now, &reports),
            FleetEvent::Cleared(print) => self.on_cleared(now, print, actions),
        }
        self.run_due_tasks(now, actions);
    }

    /// When to look again if nothing happens before. It doesn't move while time passes: an
    /// entry that is woken by other things more often than it looks would never look.
    pub fn due(&self, now: Instant) -> Instant {
        let silent = self.leads.timeout_at(&self.config.region);
        let waits = self.leading.is_some() || self.pulls.is_behind();
        let due = match silent.filter(|at| !waits && *at > now) {
            Some(at) => self.heartbeat_due.min(at).max(now),
            None if self.leading.is_none() => self.last_run + SEARCH_POLL_INTERVAL,
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

    /// What is known of all regions.
    pub fn regions(&self) -> &RegionTable {
        &self.regions
    }

    /// What this entry knows of the store.
    pub fn known(&self) -> &KnownStore {
        &self.known
    }

    /// How long ago the store may have shown, at most, that nothing newer was set than what
    /// this entry knows of the operator's rows; `None` where that can't be told.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.clock.age(now, self.known.proved)
    }

    /// The store's time that its clock has not passed, as far as this entry can tell.
    pub fn latest_store_time(&self, now: Instant) -> StoreTime {
        self.clock.latest(now).unwrap_or_default()
    }

    /// Whether it leads its region.
    pub fn leads(&self) -> bool {
        self.leading.is_some()
    }

    /// Whether it is listed as one that gets requests.
    pub fn is_listed(&self) -> bool {
        let list = self.regions.list(&self.config.region);
        list.is_some_and(|list| list.find(&self.config.candidate.node).is_some())
    }

    /// Whether it has heard of nobody since its start, so that callers are its own.
    pub fn is_lone(&self) -> bool {
        self.is_lone
    }

    fn on_own(&mut self, now: Instant, own: LocalEntryState) {
        let is_urgent = own.ready != self.own.ready || own.leaving != self.own.leaving;
        self.own = own;
        if is_urgent {
            self.heartbeat_due = now;
            self.list_due = self.list_due.min(now);
            self.digest_due = self.digest_due.min(now);
        }
    }

    fn on_known(&mut self, now: Instant, known: KnownStore) {
        let is_news = (known.registry, known.operator, known.desired)
            != (self.known.registry, self.known.operator, self.known.desired);
        let is_read = known.registry_at > self.known.registry_at;
        self.known = known;
        if is_news || is_read {
            self.digest_due = self.digest_due.min(now);
        }
    }

    fn on_store_time(&mut self, now: Instant, begun: Instant, time: StoreTime) {
        self.clock.on_answer(begun, time);
        if self.proof_age(now).is_none() {
            // The store's clock has begun anew.
            self.known.proved = StoreTime::default();
        }
    }

    fn run_due_tasks(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.last_run = now;
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

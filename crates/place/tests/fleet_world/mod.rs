//! Simulation of a fleet in virtual time: the state machines of its entries, a network
//! with latency and partitions, and a store reduced to version numbers.
#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod histories;
mod reads;
pub mod rows;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::crash::fingerprint::RequestFingerprint;
use place::crash::message::StoredQuarantine;
use place::fleet::candidate::LeadCandidate;
use place::fleet::clock::StoreTime;
use place::fleet::content_hash::ContentHash;
use place::fleet::log::log_version;
use place::fleet::member::MemberConfig;
use place::fleet::message::PeerMessage;
use place::fleet::pull::{PullScope, PullTarget};
use place::fleet::reading::{ReadOutcome, RegistryRead};
use place::prelude::*;
use rows::{RowsAnswer, SimRegistry, StoreRows, WaitingRead};

/// One-way latency within a region and between regions.
const LOCAL_LATENCY: Duration = Duration::from_millis(1);
const REMOTE_LATENCY: Duration = Duration::from_millis(35);
/// Latency of a store call.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// Time for which a watch of the operator's rows stays open.
const WATCH_DURATION: Duration = Duration::from_millis(2000);
/// Time after which an entry gives up on a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a watch without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(600);
/// Maximum number of queued messages. A fleet whose entries answer each other endlessly
/// exceeds it.
const MAX_QUEUED_MESSAGES: usize = 500_000;
/// Time within which a draining server must stop receiving requests.
pub const DRAIN: Duration = Duration::from_millis(2500);
pub const REGIONS: usize = 3;
const DOMAINS: usize = 3;
/// One entry in this many has a high capacity.
const LARGE_ENTRY_INTERVAL: usize = 11;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A scheduled event.
#[derive(Debug)]
enum Delivery {
    Datagram(PeerMessage),
    Timer,
    ReadFinished {
        started_at: Instant,
        call: RegistryRead,
    },
    /// The wait of a read of the store's rows is over.
    WaitOver {
        number: u64,
    },
    /// A read of the store's rows ended; without an answer if it failed.
    RowsRead {
        read: WaitingRead,
        answer: Option<RowsAnswer>,
    },
    PullAnswered {
        from: usize,
        scope: PullScope,
        started_at: Instant,
    },
    WatchAnswered,
    /// A watch answer that was queued while the process stood still: the version of the
    /// operator's rows and the store's time at that moment.
    LateWatch {
        operator: u64,
        time: StoreTime,
    },
    /// The busy store worked on the watch with this number.
    BusyAnswered {
        number: u64,
        started_at: Instant,
    },
    /// The watch with this number isn't waited for any longer.
    WatchTimedOut {
        number: u64,
    },
    /// The pause after a failed watch is over.
    WatchAgain,
    Resume {
        span: Duration,
        suspended: bool,
    },
    StoreRows,
}

#[derive(Debug)]
struct Arrival {
    at: Instant,
    number: u64,
    to: usize,
    run: u64,
    delivery: Delivery,
}

impl PartialEq for Arrival {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Arrival {}
impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A simulated entry process.
#[derive(Debug)]
pub struct SimEntry {
    pub member: FleetMember,
    pub alive: bool,
    pub run: u64,
    /// Whether the store rejects its calls.
    pub store_rejects: bool,
    /// Whether its store calls time out.
    pub store_times_out: bool,
    /// Delay of the store's answers to it.
    pub store_delay: Duration,
    /// Its copy of the store's rows.
    pub registry: SimRegistry,
    /// Whether its pulls from leads fail although datagrams arrive.
    pub pulls_fail: bool,
    /// Entries of different groups cannot reach each other.
    pub group: u32,
    pub datagrams: u64,
    /// Number of these datagrams that are about requests that crash servers.
    pub crash_datagrams: u64,
    pub own: LocalEntryState,
    pub notes: Vec<FleetChange>,
    /// Registry changes known to the entry: the store's version of each, with the version
    /// of the entry's log at which it learned of the change.
    pub servers: BTreeMap<u64, u64>,
    clock: Option<Instant>,
    watches: bool,
    watching: bool,
    watch_started_at: Instant,
    /// Number of the latest watch.
    watch_number: u64,
    /// Since when watches have had no answer in time.
    unanswered_since: Option<Instant>,
    /// The process stands still until this time.
    paused_until: Option<Instant>,
    /// How far its clock is behind virtual time.
    behind: Duration,
}

pub struct FleetWorld {
    pub start: Instant,
    pub now: Instant,
    pub entries: Vec<SimEntry>,
    /// The store's version, and the versions at which the registry and the operator's
    /// rows last changed.
    pub version: u64,
    pub registry: u64,
    /// Versions of all registry changes.
    pub servers: BTreeSet<u64>,
    pub operator: u64,
    pub store_down: bool,
    /// Time that the store works on each call, one after the other; zero if it doesn't count.
    pub store_work: Duration,
    /// When the store will have worked on all calls so far.
    store_free_at: Instant,
    pub calls: u64,
    /// One datagram in this many is lost.
    pub loss_interval: Option<u64>,
    /// One datagram in this many is delayed by this time.
    pub delays: Option<(u64, Duration)>,
    /// Maximum proof age at entries that receive requests.
    pub proof_within: Option<Duration>,
    /// Times at which the operator's rows changed, with the versions.
    pub changes: Vec<(Instant, u64)>,
    /// Rows of servers; without them the registry is reduced to version numbers.
    pub rows: Option<StoreRows>,
    sent: u64,
    row: Vec<(String, SocketAddr)>,
    /// Quarantined requests in the store: when the quarantine began, and whether it was
    /// lifted.
    pub quarantine_rows: BTreeMap<RequestFingerprint, (Instant, bool)>,
    queue: BinaryHeap<Reverse<Arrival>>,
    number: u64,
    seeds: Vec<usize>,
}

pub fn region_of(entry: usize) -> usize {
    entry % REGIONS
}

pub fn domain_of(entry: usize) -> String {
    format!("d{}-{}", region_of(entry), entry / REGIONS % DOMAINS)
}

fn address(entry: usize) -> SocketAddr {
    let bytes = (entry as u32).to_be_bytes();
    SocketAddr::from(([10, bytes[1], bytes[2], bytes[3]], 7000))
}

fn entry_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("not an address of the simulated fleet");
    };
    u32::from_be_bytes(address.ip().octets()) as usize & 0x00ff_ffff
}

impl FleetWorld {
    /// Creates `count` entries that all start within 0.3 s.
    pub fn new(count: usize) -> Self {
        Self::with_seeds(count, &[0, 1, 5])
    }

    pub fn with_seeds(count: usize, seeds: &[usize]) -> Self {
        let start = Instant::now();
        let mut world = Self {
            start,
            now: start,
            entries: Vec::new(),
            version: 10,
            registry: 10,
            servers: [10].into(),
            operator: 10,
            store_down: false,
            store_work: Duration::ZERO,
            store_free_at: start,
            calls: 0,
            loss_interval: None,
            delays: None,
            proof_within: None,
            changes: Vec::new(),
            rows: None,
            sent: 0,
            row: Vec::new(),
            quarantine_rows: BTreeMap::new(),
            queue: BinaryHeap::new(),
            number: 0,
            seeds: seeds.to_vec(),
        };
        for entry in 0..count {
            let at = start + ms((entry as u64 * 37) % 300);
            let member = FleetMember::new(at, world.config(entry, 1));
            world.entries.push(SimEntry {
                member,
                alive: true,
                run: 1,
                store_rejects: false,
                store_times_out: false,
                store_delay: Duration::ZERO,
                registry: SimRegistry::new(),
                pulls_fail: false,
                group: 0,
                datagrams: 0,
                crash_datagrams: 0,
                own: LocalEntryState::default(),
                notes: Vec::new(),
                servers: BTreeMap::new(),
                clock: None,
                watches: false,
                watching: false,
                watch_started_at: at,
                watch_number: 0,
                unanswered_since: None,
                paused_until: None,
                behind: Duration::ZERO,
            });
            world.push(at, entry, Delivery::Timer);
        }
        world
    }

    fn config(&self, entry: usize, run: u64) -> MemberConfig {
        let is_able = (entry / REGIONS).is_multiple_of(LARGE_ENTRY_INTERVAL);
        MemberConfig {
            incarnation: run,
            candidate: LeadCandidate {
                node: format!("n{entry}"),
                domain: domain_of(entry),
                peer_address: address(entry),
                view_address: address(entry),
                capacity: if is_able { 1000 } else { 100 },
                has_store_access: true,
                leads: false,
            },
            region: format!("r{}", region_of(entry)),
            caller_address: address(entry),
            regions: (0..REGIONS).map(|region| format!("r{region}")).collect(),
            seeds: self.seeds.iter().map(|seed| address(*seed)).collect(),
            drain: DRAIN,
        }
    }

    /// Returns `entry` as a lead candidate.
    pub fn candidate(&self, entry: usize) -> LeadCandidate {
        self.config(entry, 1).candidate
    }

    fn push(&mut self, at: Instant, to: usize, delivery: Delivery) {
        let waiting = self.queue.len();
        assert!(
            waiting < MAX_QUEUED_MESSAGES,
            "{waiting} messages are queued"
        );
        self.number += 1;
        let run = self.entries.get(to).map_or(1, |entry| entry.run);
        self.queue.push(Reverse(Arrival {
            at,
            number: self.number,
            to,
            run,
            delivery,
        }));
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse(arrival)) = self.queue.peek() {
            if arrival.at > until {
                break;
            }
            let Some(Reverse(arrival)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(arrival.at);
            self.deliver(arrival);
        }
        self.now = until;
    }

    fn deliver(&mut self, arrival: Arrival) {
        let to = arrival.to;
        if !self.entries[to].alive || self.entries[to].run != arrival.run {
            return;
        }
        if let Some(until) = self.entries[to]
            .paused_until
            .filter(|until| *until > self.now)
        {
            // The event waits in the process's queues.
            let waits = match arrival.delivery {
                Delivery::WatchAnswered if self.is_served(to) => Delivery::LateWatch {
                    operator: self.operator,
                    time: self.store_time(),
                },
                Delivery::Datagram(PeerMessage::Digest(mut digest)) => {
                    digest.store = digest.store.delayed_by(until - self.now);
                    Delivery::Datagram(PeerMessage::Digest(digest))
                }
                other => other,
            };
            self.push(until, to, waits);
            return;
        }
        match arrival.delivery {
            Delivery::Datagram(message) => {
                self.entries[to].datagrams += 1;
                let is_crash = matches!(message, PeerMessage::Crash(_));
                self.entries[to].crash_datagrams += u64::from(is_crash);
                self.deliver_event(to, FleetEvent::Message(message));
            }
            Delivery::Timer => {
                if self.entries[to].clock.is_some_and(|due| due > self.now) {
                    return;
                }
                self.entries[to].clock = None;
                self.deliver_event(to, FleetEvent::Tick);
            }
            Delivery::ReadFinished { started_at, call } => self.end_read(to, started_at, call),
            Delivery::WaitOver { number } => self.end_wait(to, number),
            Delivery::RowsRead { read, answer } => self.end_rows_read(to, &read, answer.as_ref()),
            Delivery::PullAnswered {
                from,
                scope,
                started_at,
            } => self.end_pull(to, from, scope, started_at),
            Delivery::BusyAnswered { number, started_at } => {
                self.end_busy_watch(to, number, started_at);
            }
            Delivery::WatchTimedOut { number } => self.time_out_watch(to, number),
            Delivery::WatchAgain => {
                if self.entries[to].watches && !self.entries[to].watching {
                    self.begin_watch(to, Duration::ZERO);
                }
            }
            Delivery::Resume { span, suspended } => {
                if suspended {
                    self.entries[to].behind += span;
                    self.deliver_event(to, FleetEvent::Suspended(span));
                }
            }
            Delivery::WatchAnswered => {
                let (operator, time) = (self.operator, self.store_time());
                self.end_watch(to, self.is_served(to).then_some((operator, time)));
            }
            Delivery::LateWatch { operator, time } => self.end_watch(to, Some((operator, time))),
            Delivery::StoreRows => {
                let quarantine_rows = self.quarantine_rows.iter();
                let quarantine_rows =
                    quarantine_rows.map(|(print, (at, lifted))| StoredQuarantine {
                        print: *print,
                        age: self.now - *at,
                        lifted: *lifted,
                    });
                let quarantine_rows = quarantine_rows.collect();
                self.deliver_event(to, FleetEvent::QuarantineRows(quarantine_rows));
                let rows = self.row.clone();
                self.deliver_event(to, FleetEvent::LeadRows(rows));
            }
        }
    }

    /// Delivers `event` to an entry and performs the resulting actions.
    pub fn deliver_event(&mut self, entry: usize, event: FleetEvent) {
        let mut actions = Vec::new();
        let now = self.local_time(entry, self.now);
        self.entries[entry]
            .member
            .on_event(now, event, &mut actions);
        for action in actions {
            self.act(entry, action);
        }
        let known = *self.entries[entry].member.store_progress();
        let own = LocalEntryState {
            ready: known.is_complete() && !self.entries[entry].own.leaving,
            proof_within: self.proof_within,
            ..self.entries[entry].own.clone()
        };
        if own != self.entries[entry].own {
            self.set_own(entry, own);
        }
        let behind = self.entries[entry].behind;
        let due = self.entries[entry].member.due(now) + behind;
        if self.entries[entry].clock.is_none_or(|clock| clock > due) {
            self.entries[entry].clock = Some(due);
            self.push(due, entry, Delivery::Timer);
        }
    }

    pub fn set_own(&mut self, entry: usize, own: LocalEntryState) {
        self.entries[entry].own = own.clone();
        self.deliver_event(entry, FleetEvent::LocalState(own));
    }

    fn act(&mut self, entry: usize, action: FleetAction) {
        match action {
            FleetAction::Send(targets, message) => {
                for target in targets {
                    self.send(entry, entry_at(target), message.clone());
                }
            }
            FleetAction::Pull(PullTarget {
                view_address,
                scope,
            }) => {
                let from = entry_at(view_address);
                let delay = 2 * self.delay(entry, from);
                let started_at = self.local_time(entry, self.now);
                let ends = Delivery::PullAnswered {
                    from,
                    scope,
                    started_at,
                };
                self.push(self.now + delay, entry, ends);
            }
            FleetAction::ReadRegistry(call) if self.rows.is_some() => {
                self.calls += 1;
                self.begin_rows_read(entry, call);
            }
            FleetAction::ReadRegistry(call) => {
                self.calls += 1;
                let wait = call.wait;
                let started_at = self.local_time(entry, self.now);
                let span = if self.is_served(entry) {
                    wait
                } else if self.entries[entry].store_times_out {
                    wait + STORE_TIMEOUT
                } else {
                    Duration::ZERO
                };
                let at = self.call_end(span);
                self.push(at, entry, Delivery::ReadFinished { started_at, call });
            }
            FleetAction::WatchOperator(watches) => {
                self.entries[entry].watches = watches;
                if watches && !self.entries[entry].watching {
                    self.begin_watch(entry, Duration::ZERO);
                }
            }
            FleetAction::ReadLeadRows => {
                self.calls += 1;
                if self.is_served(entry) {
                    self.push(self.now + STORE_LATENCY, entry, Delivery::StoreRows);
                }
            }
            FleetAction::WriteQuarantineRows(quarantines) => {
                self.calls += 1;
                if self.is_served(entry) {
                    for (print, age) in quarantines {
                        self.quarantine_rows.insert(print, (self.now - age, false));
                    }
                }
            }
            FleetAction::DeleteQuarantineRows(prints) => {
                self.calls += 1;
                if self.is_served(entry) {
                    self.quarantine_rows
                        .retain(|print, _| !prints.contains(print));
                }
            }
            FleetAction::WriteLeadRow(leads) => {
                self.calls += 1;
                if self.is_served(entry) {
                    let region = format!("r{}", region_of(entry));
                    self.row.retain(|(known, _)| *known != region);
                    let rows = leads.into_iter().map(|lead| (region.clone(), lead));
                    self.row.extend(rows);
                }
            }
            FleetAction::Log(note) => self.entries[entry].notes.push(note),
            FleetAction::ConfirmRegistry(at, position) => {
                self.confirm_rows(entry, at, position);
            }
            FleetAction::RegistryAnswered(at) => {
                self.entries[entry].registry.catalog.on_peer_read(at);
            }
            FleetAction::ListsChanged => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        self.entries[from].datagrams += 1;
        self.sent += 1;
        let is_lost = self
            .loss_interval
            .is_some_and(|each| self.sent.is_multiple_of(each));
        if to < self.entries.len() && self.reaches(from, to) && !is_lost {
            let late = self
                .delays
                .filter(|(each, _)| self.sent.is_multiple_of(*each))
                .map_or(Duration::ZERO, |(_, late)| late);
            let at = self.now + self.delay(from, to) + late;
            self.push(at, to, Delivery::Datagram(message));
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.entries[to].alive && self.entries[from].group == self.entries[to].group
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        if region_of(from) == region_of(to) {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    fn is_served(&self, entry: usize) -> bool {
        !self.store_down
            && !self.entries[entry].store_rejects
            && !self.entries[entry].store_times_out
    }

    fn end_read(&mut self, entry: usize, started_at: Instant, call: RegistryRead) {
        if !self.is_served(entry) {
            self.deliver_event(entry, FleetEvent::RegistryRead(ReadOutcome::Failed));
            return;
        }
        let mut known = *self.entries[entry].member.store_progress();
        let before = known.content;
        if known.registry >= log_version(StorePosition::new(0, self.version + 1)) {
            // No read can have returned that version, so the log is reset.
            self.entries[entry].servers.clear();
            known.registry = 0;
        }
        let first = if call.whole || known.registry_listed.version() > self.version {
            0
        } else {
            known.registry_listed.version() + 1
        };
        // Changes since the last read.
        let changes: Vec<u64> = self.servers.range(first..).copied().collect();
        let stamp = log_version(StorePosition::new(0, self.registry)).max(known.registry + 1);
        for change in changes {
            self.entries[entry].servers.entry(change).or_insert(stamp);
        }
        known.content = self.content(entry);
        let is_changed = known.registry_at.is_none() || known.content != before;
        if is_changed {
            known.registry = stamp;
        }
        known.registry_read = StorePosition::new(0, self.version);
        known.registry_listed = StorePosition::new(0, self.version);
        known.registry_at = Some(started_at + call.wait);
        self.deliver_event(entry, FleetEvent::StoreProgress(known));
        let outcome = if is_changed {
            ReadOutcome::Changed
        } else {
            ReadOutcome::Unchanged
        };
        self.deliver_event(entry, FleetEvent::RegistryRead(outcome));
    }

    fn end_pull(&mut self, entry: usize, from: usize, scope: PullScope, started_at: Instant) {
        if !self.reaches(entry, from) || self.entries[entry].pulls_fail {
            self.deliver_event(entry, FleetEvent::PullFinished(address(from), false));
            return;
        }
        let peer_progress = *self.entries[from].member.store_progress();
        let answered = self.local_time(from, self.now) - self.delay(entry, from);
        let latest = self.entries[from].member.latest_store_time(answered);
        self.deliver_event(entry, FleetEvent::StoreTime(started_at, latest));
        let mut known = *self.entries[entry].member.store_progress();
        let whole = scope.is_whole();
        if self.rows.is_some() {
            self.pull_rows(entry, from, scope, &mut known);
        } else if whole || known.is_behind_registry(&peer_progress) {
            let peer_servers = self.entries[from].servers.clone();
            let servers = &mut self.entries[entry].servers;
            if whole {
                servers.clear();
            }
            let is_newer = |stamp: u64| whole || stamp > known.registry;
            let changes = peer_servers
                .into_iter()
                .filter(|(_, stamp)| is_newer(*stamp));
            servers.extend(changes.map(|(change, _)| (change, peer_progress.registry)));
            known.registry = peer_progress.registry;
            known.content = self.content(entry);
            known.registry_read = peer_progress.registry_read;
            known.registry_listed = peer_progress.registry_listed;
            known.registry_at = peer_progress.registry_at;
        }
        if scope == PullScope::All || known.is_behind_operator(&peer_progress) {
            known.replace_operator(&peer_progress);
            known.desired = peer_progress.desired;
        }
        known.confirm_operator(&peer_progress);
        let versions = self.entries[entry].member.regions().versions();
        let lists = self.entries[from].member.regions().lists_since(&versions);
        self.deliver_event(entry, FleetEvent::StoreProgress(known));
        self.deliver_event(entry, FleetEvent::Lists(lists));
        self.deliver_event(entry, FleetEvent::PullFinished(address(from), true));
    }

    fn begin_watch(&mut self, entry: usize, wait: Duration) {
        self.calls += 1;
        self.entries[entry].watching = true;
        let started_at = self.local_time(entry, self.now);
        self.entries[entry].watch_started_at = started_at;
        let at = self.call_end(wait);
        if self.store_work.is_zero() {
            self.push(at, entry, Delivery::WatchAnswered);
            return;
        }
        self.entries[entry].watch_number += 1;
        let number = self.entries[entry].watch_number;
        self.push(at, entry, Delivery::BusyAnswered { number, started_at });
        let until = self.now + wait + STORE_TIMEOUT;
        self.push(until, entry, Delivery::WatchTimedOut { number });
    }

    /// Ends a watch of a busy store. A late answer counts as of its own call.
    fn end_busy_watch(&mut self, entry: usize, number: u64, started_at: Instant) {
        let is_timely = self.entries[entry].watching && number == self.entries[entry].watch_number;
        self.entries[entry].watching = false;
        self.entries[entry].watch_started_at = started_at;
        self.entries[entry].unanswered_since = None;
        let (operator, time) = (self.operator, self.store_time());
        self.learn_operator(entry, operator, time);
        let took = self.local_time(entry, self.now) - started_at;
        self.deliver_event(
            entry,
            FleetEvent::WatchFinished(WatchOutcome { is_timely, took }),
        );
        if self.entries[entry].watches && !self.entries[entry].watching {
            let age = self.proof_age(entry).unwrap_or(WATCH_DURATION);
            self.begin_watch(entry, WATCH_DURATION.saturating_sub(age));
        }
    }

    fn time_out_watch(&mut self, entry: usize, number: u64) {
        if !self.entries[entry].watching || number != self.entries[entry].watch_number {
            return;
        }
        self.entries[entry].watching = false;
        let started_at = self.entries[entry].watch_started_at;
        let since = self.entries[entry].unanswered_since;
        let since = since.unwrap_or(started_at);
        self.entries[entry].unanswered_since = Some(since);
        let outcome = WatchOutcome {
            is_timely: false,
            took: self.local_time(entry, self.now) - since,
        };
        self.deliver_event(entry, FleetEvent::WatchFinished(outcome));
        self.push(self.now + RETRY_DELAY, entry, Delivery::WatchAgain);
    }

    /// Returns when a call that begins now ends, if the store may delay its answer by `wait`.
    fn call_end(&mut self, wait: Duration) -> Instant {
        if self.store_work.is_zero() {
            return self.now + wait + STORE_LATENCY;
        }
        self.store_free_at = self.store_free_at.max(self.now) + self.store_work;
        self.store_free_at + wait + STORE_LATENCY
    }

    fn end_watch(&mut self, entry: usize, answer: Option<(u64, StoreTime)>) {
        self.entries[entry].watching = false;
        match answer {
            Some((operator, time)) => self.learn_operator(entry, operator, time),
            None => {
                let now = self.local_time(entry, self.now);
                self.entries[entry].registry.catalog.on_read_failed(now);
            }
        }
        let now = self.local_time(entry, self.now);
        let since = match answer {
            Some(_) => self.entries[entry].unanswered_since.take(),
            None => Some(
                *self.entries[entry]
                    .unanswered_since
                    .get_or_insert(now - STORE_LATENCY),
            ),
        };
        let outcome = WatchOutcome {
            is_timely: answer.is_some(),
            took: since.map_or(STORE_LATENCY, |since| now - since),
        };
        self.deliver_event(entry, FleetEvent::WatchFinished(outcome));
        if self.entries[entry].watches && !self.entries[entry].watching {
            let age = self.proof_age(entry).unwrap_or_default();
            let wait = WATCH_DURATION.saturating_sub(age);
            self.begin_watch(entry, if answer.is_some() { wait } else { ms(1200) });
        }
    }

    fn learn_operator(&mut self, entry: usize, operator: u64, time: StoreTime) {
        let started_at = self.entries[entry].watch_started_at;
        self.deliver_event(entry, FleetEvent::StoreAnswered(started_at, time));
        let mut known = *self.entries[entry].member.store_progress();
        known.operator = known.operator.max(StorePosition::new(0, operator));
        known.operator_read = StorePosition::new(0, self.version);
        known.operator_at = Some(self.local_time(entry, self.now));
        known.desired = known.desired.max(operator);
        known.proved = known.proved.max(time);
        self.deliver_event(entry, FleetEvent::StoreProgress(known));
    }

    /// Returns the store's clock, which did not start at zero.
    pub fn store_time(&self) -> StoreTime {
        StoreTime(50_000 + (self.now - self.start).as_millis() as u64)
    }

    /// Converts virtual time to the clock of `entry`.
    pub fn local_time(&self, entry: usize, at: Instant) -> Instant {
        at - self.entries[entry].behind
    }

    /// Stops `entry` for `span`; if `suspended`, its clock stops as well.
    pub fn pause(&mut self, entry: usize, span: Duration, suspended: bool) {
        let until = self.now + span;
        self.entries[entry].paused_until = Some(until);
        self.push(until, entry, Delivery::Resume { span, suspended });
    }

    /// Whether the process stands still now.
    pub fn is_paused(&self, entry: usize) -> bool {
        let until = self.entries[entry].paused_until;
        until.is_some_and(|until| until > self.now)
    }

    /// Returns how long ago the operator made the oldest change that `entry` does not
    /// know; `None` if it knows all.
    pub fn oldest_missed_change_age(&self, entry: usize) -> Option<Duration> {
        let known = self.entries[entry]
            .member
            .store_progress()
            .operator
            .version();
        let missed = self.changes.iter().find(|(_, version)| *version > known);
        missed.map(|(at, _)| self.now - *at)
    }

    /// Returns the age of the proof on the operator's rows, as estimated by `entry`.
    pub fn proof_age(&self, entry: usize) -> Option<Duration> {
        let now = self.local_time(entry, self.now);
        self.entries[entry].member.proof_age(now)
    }

    /// Returns the content mark of the registry as known to `entry`.
    fn content(&self, entry: usize) -> ContentHash {
        let marks = self.entries[entry].servers.keys();
        let marks = marks.map(|change| ContentHash::of_foreign(&change.to_string()));
        marks.fold(ContentHash::default(), ContentHash::with)
    }

    /// Makes `entry` take the current registry version without its changes.
    pub fn skip_changes(&mut self, entry: usize) {
        self.claim_version(entry, self.version);
    }

    /// Makes `entry` believe it knows the registry as of `version`, without learning any
    /// change.
    pub fn claim_version(&mut self, entry: usize, version: u64) {
        let mut known = *self.entries[entry].member.store_progress();
        known.registry = log_version(StorePosition::new(0, version));
        known.registry_read = StorePosition::new(0, version);
        known.registry_listed = StorePosition::new(0, version);
        known.registry_at = Some(self.local_time(entry, self.now));
        self.deliver_event(entry, FleetEvent::StoreProgress(known));
    }

    /// Returns live entries that lack registry changes, whatever version they claim.
    pub fn missing_changes(&self) -> Vec<usize> {
        let mut live = self.live();
        live.retain(|entry| !self.entries[*entry].servers.keys().eq(&self.servers));
        live
    }

    /// Changes the registry and the operator's rows without notifying open watches.
    pub fn change_unseen(&mut self) {
        self.version += 1;
        self.registry = self.version;
        self.servers.insert(self.version);
        self.operator = self.version;
    }

    /// Changes the registry and the operator's rows, and notifies open watches.
    pub fn change(&mut self) {
        self.change_unseen();
        self.changes.push((self.now, self.version));
        for entry in 0..self.entries.len() {
            let is_answered = self.entries[entry].alive && !self.is_paused(entry);
            if is_answered && self.entries[entry].watching && self.is_served(entry) {
                let (operator, time) = (self.operator, self.store_time());
                self.learn_operator(entry, operator, time);
            }
        }
    }

    /// Ends the process of `entry` without a farewell message.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].alive = false;
    }

    /// Restarts the process of `entry`.
    pub fn restart(&mut self, entry: usize) {
        let run = self.entries[entry].run + 1;
        let member = FleetMember::new(self.now, self.config(entry, run));
        let known = &mut self.entries[entry];
        known.member = member;
        known.run = run;
        known.alive = true;
        known.own = LocalEntryState::default();
        known.notes.clear();
        known.servers.clear();
        known.registry = SimRegistry::new();
        known.clock = None;
        known.watches = false;
        known.watching = false;
        known.paused_until = None;
        known.behind = Duration::ZERO;
        self.push(self.now, entry, Delivery::Timer);
    }

    /// Returns the live entries.
    pub fn live(&self) -> Vec<usize> {
        let count = self.entries.len();
        (0..count)
            .filter(|entry| self.entries[*entry].alive)
            .collect()
    }

    /// Returns the leads of `region`.
    pub fn leads(&self, region: usize) -> Vec<usize> {
        let live = self.live().into_iter();
        live.filter(|entry| region_of(*entry) == region)
            .filter(|entry| self.entries[*entry].member.leads())
            .collect()
    }

    /// Whether every region has exactly two leads.
    pub fn is_settled(&self) -> bool {
        (0..REGIONS).all(|region| self.leads(region).len() == 2)
    }

    /// Returns live entries that do not know the newest change.
    pub fn behind(&self) -> Vec<usize> {
        let mut live = self.live();
        live.retain(|entry| {
            let known = self.entries[*entry].member.store_progress();
            !known.is_complete()
                || known.registry < log_version(StorePosition::new(0, self.registry))
                || known.operator.version() < self.operator
        });
        live
    }

    /// Runs until no entry is behind, for at most `most`; returns the time that took.
    pub fn until_known(&mut self, most: Duration) -> Duration {
        let started_at = self.now;
        while !self.behind().is_empty() && self.now < started_at + most {
            self.run(ms(10));
        }
        self.now - started_at
    }

    /// Returns the number of store calls made while running for `span`.
    pub fn calls_in(&mut self, span: Duration) -> u64 {
        let before = self.calls;
        self.run(span);
        self.calls - before
    }
}

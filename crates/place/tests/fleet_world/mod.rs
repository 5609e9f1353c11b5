//! A fleet in virtual time: the entries' decisions, a network that delays and cuts, and a
//! store that is only versions.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::crash::print::RequestFingerprint;
use place::crash::word::StoredQuarantine;
use place::fleet::clock::StoreTime;
use place::fleet::content_hash::ContentHash;
use place::fleet::follow::{PullScope, PullTarget};
use place::fleet::log::log_version;
use place::fleet::member::MemberConfig;
use place::fleet::message::PeerMessage;
use place::fleet::reading::{ReadOutcome, RegistryRead};
use place::fleet::seat::LeadSeat;
use place::prelude::*;

/// One way within a region, and between two.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(35);
/// An answer of the store.
const STORE: Duration = Duration::from_millis(5);
/// How long a watch of the operator's rows stays open.
const WATCH: Duration = Duration::from_millis(2000);
/// How long an entry waits for an answer of the store.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Messages on their way at once in a fleet that isn't answering itself without end.
const WAITING_MOST: usize = 500_000;
/// Within this time a leaving server must get no more requests.
pub const DRAIN: Duration = Duration::from_millis(2500);
pub const REGIONS: usize = 3;
const DOMAINS: usize = 3;
/// One entry in so many is able.
const ABLE_EACH: usize = 11;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What is on its way.
#[derive(Debug)]
enum Delivery {
    Datagram(PeerMessage),
    Clock,
    ReadEnds {
        begun: Instant,
        call: RegistryRead,
    },
    PullEnds {
        from: usize,
        scope: PullScope,
        begun: Instant,
    },
    WatchEnds,
    /// An answer of a watch that waited at the process: the rows' version then, and when.
    WatchTold {
        operator: u64,
        time: StoreTime,
    },
    Wakes {
        span: Duration,
        suspended: bool,
    },
    Rows,
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

/// One entry's process.
#[derive(Debug)]
pub struct SimEntry {
    pub member: FleetMember,
    pub alive: bool,
    pub run: u64,
    /// Whether the store refuses it.
    pub refused: bool,
    /// Whether its calls to the store get no answer.
    pub silent: bool,
    /// Whether its questions to leads get no answer, though datagrams pass.
    pub deaf: bool,
    /// Entries of different groups don't reach each other.
    pub group: u32,
    pub datagrams: u64,
    /// Those of them about requests that end servers.
    pub crash_datagrams: u64,
    pub own: OwnState,
    pub notes: Vec<FleetNote>,
    /// The changes of the registry that it knows, by the store's version, with the version of
    /// its log at which it learned of each.
    pub servers: BTreeMap<u64, u64>,
    clock: Option<Instant>,
    watches: bool,
    watching: bool,
    watch_begun: Instant,
    /// Stands still until then.
    still_until: Option<Instant>,
    /// What its clock lacks of the world's.
    behind: Duration,
}

pub struct FleetWorld {
    pub start: Instant,
    pub now: Instant,
    pub entries: Vec<SimEntry>,
    /// The store's version, and those at which registry and operator's rows changed.
    pub version: u64,
    pub registry: u64,
    /// All changes of the registry.
    pub servers: BTreeSet<u64>,
    pub operator: u64,
    pub store_down: bool,
    pub calls: u64,
    /// One datagram in so many is lost.
    pub loses: Option<u64>,
    /// One datagram in so many comes so late.
    pub delays: Option<(u64, Duration)>,
    /// How old the store's word may become at entries that get requests.
    pub proof_within: Option<Duration>,
    /// When the operator's rows changed, with their versions.
    pub changes: Vec<(Instant, u64)>,
    sent: u64,
    row: Vec<(String, SocketAddr)>,
    /// The store's rows of requests in quarantine: since when, and whether lifted.
    pub kept: BTreeMap<RequestFingerprint, (Instant, bool)>,
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
        panic!("an address of the fleet");
    };
    u32::from_be_bytes(address.ip().octets()) as usize & 0x00ff_ffff
}

impl FleetWorld {
    /// `count` entries that all start within 0.3 s.
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
            calls: 0,
            loses: None,
            delays: None,
            proof_within: None,
            changes: Vec::new(),
            sent: 0,
            row: Vec::new(),
            kept: BTreeMap::new(),
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
                refused: false,
                silent: false,
                deaf: false,
                group: 0,
                datagrams: 0,
                crash_datagrams: 0,
                own: OwnState::default(),
                notes: Vec::new(),
                servers: BTreeMap::new(),
                clock: None,
                watches: false,
                watching: false,
                watch_begun: at,
                still_until: None,
                behind: Duration::ZERO,
            });
            world.push(at, entry, Delivery::Clock);
        }
        world
    }

    fn config(&self, entry: usize, run: u64) -> MemberConfig {
        let is_able = (entry / REGIONS).is_multiple_of(ABLE_EACH);
        MemberConfig {
            incarnation: run,
            seat: LeadSeat {
                node: format!("n{entry}"),
                domain: domain_of(entry),
                beat: address(entry),
                view: address(entry),
                capacity: if is_able { 1000 } else { 100 },
                reads: true,
                leads: false,
            },
            region: format!("r{}", region_of(entry)),
            front: address(entry),
            regions: (0..REGIONS).map(|region| format!("r{region}")).collect(),
            seeds: self.seeds.iter().map(|seed| address(*seed)).collect(),
            drain: DRAIN,
        }
    }

    /// `entry` as one that may lead.
    pub fn seat(&self, entry: usize) -> LeadSeat {
        self.config(entry, 1).seat
    }

    fn push(&mut self, at: Instant, to: usize, delivery: Delivery) {
        let waiting = self.queue.len();
        assert!(
            waiting < WAITING_MOST,
            "{waiting} messages are on their way at once"
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

    /// Plays on for `span`.
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
            .still_until
            .filter(|until| *until > self.now)
        {
            // It waits in the process's queues.
            let waits = match arrival.delivery {
                Delivery::WatchEnds if self.is_served(to) => Delivery::WatchTold {
                    operator: self.operator,
                    time: self.store_time(),
                },
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
                self.tell(to, FleetEvent::Message(message));
            }
            Delivery::Clock => {
                if self.entries[to].clock.is_some_and(|due| due > self.now) {
                    return;
                }
                self.entries[to].clock = None;
                self.tell(to, FleetEvent::Clock);
            }
            Delivery::ReadEnds { begun, call } => self.end_read(to, begun, call),
            Delivery::PullEnds { from, scope, begun } => self.end_pull(to, from, scope, begun),
            Delivery::Wakes { span, suspended } => {
                if suspended {
                    self.entries[to].behind += span;
                    self.tell(to, FleetEvent::Suspended(span));
                }
            }
            Delivery::WatchEnds => {
                let (operator, time) = (self.operator, self.store_time());
                self.end_watch(to, self.is_served(to).then_some((operator, time)));
            }
            Delivery::WatchTold { operator, time } => self.end_watch(to, Some((operator, time))),
            Delivery::Rows => {
                let kept = self.kept.iter();
                let kept = kept.map(|(print, (at, lifted))| StoredQuarantine {
                    print: *print,
                    age: self.now - *at,
                    lifted: *lifted,
                });
                let kept = kept.collect();
                self.tell(to, FleetEvent::Kept(kept));
                let rows = self.row.clone();
                self.tell(to, FleetEvent::Rows(rows));
            }
        }
    }

    /// Gives `event` to an entry and does what it wants done.
    pub fn tell(&mut self, entry: usize, event: FleetEvent) {
        let mut actions = Vec::new();
        let now = self.local(entry, self.now);
        self.entries[entry]
            .member
            .on_event(now, event, &mut actions);
        for action in actions {
            self.act(entry, action);
        }
        let known = *self.entries[entry].member.known();
        let own = OwnState {
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
            self.push(due, entry, Delivery::Clock);
        }
    }

    pub fn set_own(&mut self, entry: usize, own: OwnState) {
        self.entries[entry].own = own.clone();
        self.tell(entry, FleetEvent::Own(own));
    }

    fn act(&mut self, entry: usize, action: FleetAction) {
        match action {
            FleetAction::Send(targets, message) => {
                for target in targets {
                    self.send(entry, entry_at(target), message.clone());
                }
            }
            FleetAction::Pull(PullTarget { view, scope }) => {
                let from = entry_at(view);
                let delay = 2 * self.delay(entry, from);
                let begun = self.local(entry, self.now);
                let ends = Delivery::PullEnds { from, scope, begun };
                self.push(self.now + delay, entry, ends);
            }
            FleetAction::ReadRegistry(call) => {
                self.calls += 1;
                let wait = call.wait;
                let begun = self.local(entry, self.now);
                let span = if self.is_served(entry) {
                    wait
                } else if self.entries[entry].silent {
                    wait + PATIENCE
                } else {
                    Duration::ZERO
                };
                self.push(
                    self.now + span + STORE,
                    entry,
                    Delivery::ReadEnds { begun, call },
                );
            }
            FleetAction::WatchOperator(watches) => {
                self.entries[entry].watches = watches;
                if watches && !self.entries[entry].watching {
                    self.begin_watch(entry, Duration::ZERO);
                }
            }
            FleetAction::ReadRows => {
                self.calls += 1;
                if self.is_served(entry) {
                    self.push(self.now + STORE, entry, Delivery::Rows);
                }
            }
            FleetAction::KeepQuarantines(quarantines) => {
                self.calls += 1;
                if self.is_served(entry) {
                    for (print, age) in quarantines {
                        self.kept.insert(print, (self.now - age, false));
                    }
                }
            }
            FleetAction::DropQuarantines(prints) => {
                self.calls += 1;
                if self.is_served(entry) {
                    self.kept.retain(|print, _| !prints.contains(print));
                }
            }
            FleetAction::WriteRow(leads) => {
                self.calls += 1;
                if self.is_served(entry) {
                    let region = format!("r{}", region_of(entry));
                    self.row.retain(|(known, _)| *known != region);
                    let rows = leads.into_iter().map(|lead| (region.clone(), lead));
                    self.row.extend(rows);
                }
            }
            FleetAction::Note(note) => self.entries[entry].notes.push(note),
            FleetAction::Confirm(_) | FleetAction::ListsChanged => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        self.entries[from].datagrams += 1;
        self.sent += 1;
        let is_lost = self
            .loses
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
            NEAR
        } else {
            FAR
        }
    }

    fn is_served(&self, entry: usize) -> bool {
        !self.store_down && !self.entries[entry].refused && !self.entries[entry].silent
    }

    fn end_read(&mut self, entry: usize, begun: Instant, call: RegistryRead) {
        if !self.is_served(entry) {
            self.tell(entry, FleetEvent::Read(ReadOutcome::Failed));
            return;
        }
        let mut known = *self.entries[entry].member.known();
        let before = known.content;
        if known.registry >= log_version(self.version + 1) {
            // No reading gave that: the log begins anew.
            self.entries[entry].servers.clear();
            known.registry = 0;
        }
        let first = if call.whole || known.registry_read > self.version {
            0
        } else {
            known.registry_read + 1
        };
        // What changed after the reading that it goes on from.
        let news: Vec<u64> = self.servers.range(first..).copied().collect();
        let stamp = log_version(self.registry).max(known.registry + 1);
        for change in news {
            self.entries[entry].servers.entry(change).or_insert(stamp);
        }
        known.content = self.content(entry);
        let is_news = known.registry_at.is_none() || known.content != before;
        if is_news {
            known.registry = stamp;
        }
        known.registry_read = self.version;
        known.registry_at = Some(begun + call.wait);
        self.tell(entry, FleetEvent::Known(known));
        let outcome = if is_news {
            ReadOutcome::Changed
        } else {
            ReadOutcome::Unchanged
        };
        self.tell(entry, FleetEvent::Read(outcome));
    }

    fn end_pull(&mut self, entry: usize, from: usize, scope: PullScope, begun: Instant) {
        if !self.reaches(entry, from) || self.entries[entry].deaf {
            self.tell(entry, FleetEvent::Pulled(address(from), false));
            return;
        }
        let told = *self.entries[from].member.known();
        let answered = self.local(from, self.now) - self.delay(entry, from);
        let latest = self.entries[from].member.latest_store_time(answered);
        self.tell(entry, FleetEvent::StoreTime(begun, latest));
        let mut known = *self.entries[entry].member.known();
        let whole = scope.is_whole();
        if whole || known.is_behind_registry(&told) {
            let teller = self.entries[from].servers.clone();
            let servers = &mut self.entries[entry].servers;
            if whole {
                servers.clear();
            }
            let is_news = |stamp: u64| whole || stamp > known.registry;
            let news = teller.into_iter().filter(|(_, stamp)| is_news(*stamp));
            servers.extend(news.map(|(change, _)| (change, told.registry)));
            known.registry = told.registry;
            known.content = self.content(entry);
            known.registry_read = told.registry_read;
            known.registry_at = told.registry_at;
        }
        if scope == PullScope::All || known.is_behind_operator(&told) {
            known.replace_operator(&told);
            known.desired = told.desired;
        }
        known.confirm_operator(&told);
        let versions = self.entries[entry].member.regions().versions();
        let lists = self.entries[from].member.regions().lists_since(&versions);
        self.tell(entry, FleetEvent::Known(known));
        self.tell(entry, FleetEvent::Lists(lists));
        self.tell(entry, FleetEvent::Pulled(address(from), true));
    }

    fn begin_watch(&mut self, entry: usize, wait: Duration) {
        self.calls += 1;
        self.entries[entry].watching = true;
        self.entries[entry].watch_begun = self.local(entry, self.now);
        self.push(self.now + wait + STORE, entry, Delivery::WatchEnds);
    }

    fn end_watch(&mut self, entry: usize, told: Option<(u64, StoreTime)>) {
        self.entries[entry].watching = false;
        if let Some((operator, time)) = told {
            self.learn_operator(entry, operator, time);
        }
        self.tell(entry, FleetEvent::Watched(told.is_some()));
        if self.entries[entry].watches && !self.entries[entry].watching {
            let age = self.proof_age(entry).unwrap_or_default();
            let wait = WATCH.saturating_sub(age);
            self.begin_watch(entry, if told.is_some() { wait } else { ms(1200) });
        }
    }

    fn learn_operator(&mut self, entry: usize, operator: u64, time: StoreTime) {
        let begun = self.entries[entry].watch_begun;
        self.tell(entry, FleetEvent::StoreTime(begun, time));
        let mut known = *self.entries[entry].member.known();
        known.operator = known.operator.max(operator);
        known.operator_read = self.version;
        known.operator_at = Some(self.local(entry, self.now));
        known.desired = known.desired.max(operator);
        known.proved = known.proved.max(time);
        self.tell(entry, FleetEvent::Known(known));
    }

    /// The store's own clock, which has run for a while.
    pub fn store_time(&self) -> StoreTime {
        StoreTime(50_000 + (self.now - self.start).as_millis() as u64)
    }

    /// The time `at` by the clock of `entry`.
    pub fn local(&self, entry: usize, at: Instant) -> Instant {
        at - self.entries[entry].behind
    }

    /// `entry` stands still for `span`; its clock does too where `suspended`.
    pub fn stand_still(&mut self, entry: usize, span: Duration, suspended: bool) {
        let until = self.now + span;
        self.entries[entry].still_until = Some(until);
        self.push(until, entry, Delivery::Wakes { span, suspended });
    }

    /// Whether it stands still now.
    pub fn is_still(&self, entry: usize) -> bool {
        let until = self.entries[entry].still_until;
        until.is_some_and(|until| until > self.now)
    }

    /// How long ago the operator changed what `entry` doesn't know, where there is such.
    pub fn lacks_since(&self, entry: usize) -> Option<Duration> {
        let known = self.entries[entry].member.known().operator;
        let missed = self.changes.iter().find(|(_, version)| *version > known);
        missed.map(|(at, _)| self.now - *at)
    }

    /// Age of the store's word on the operator's rows at `entry`, by its own reckoning.
    pub fn proof_age(&self, entry: usize) -> Option<Duration> {
        let now = self.local(entry, self.now);
        self.entries[entry].member.proof_age(now)
    }

    /// The mark of what `entry` knows of the registry.
    fn content(&self, entry: usize) -> ContentHash {
        let marks = self.entries[entry].servers.keys();
        let marks = marks.map(|change| ContentHash::of_foreign(&change.to_string()));
        marks.fold(ContentHash::default(), ContentHash::with)
    }

    /// The registry changes, and `entry` takes the version of the change without the change.
    pub fn miss(&mut self, entry: usize) {
        self.claim(entry, self.version);
    }

    /// `entry` is sure to know the registry as of `version`, and learns nothing.
    pub fn claim(&mut self, entry: usize, version: u64) {
        let mut known = *self.entries[entry].member.known();
        known.registry = log_version(version);
        known.registry_read = version;
        known.registry_at = Some(self.local(entry, self.now));
        self.tell(entry, FleetEvent::Known(known));
    }

    /// Live entries that don't know all of the registry, whatever they think.
    pub fn lacking(&self) -> Vec<usize> {
        let mut live = self.live();
        live.retain(|entry| !self.entries[*entry].servers.keys().eq(&self.servers));
        live
    }

    /// The registry and the operator's rows change, and no open watch is told.
    pub fn change_unseen(&mut self) {
        self.version += 1;
        self.registry = self.version;
        self.servers.insert(self.version);
        self.operator = self.version;
    }

    /// The registry and the operator's rows change; open watches are told.
    pub fn change(&mut self) {
        self.change_unseen();
        self.changes.push((self.now, self.version));
        for entry in 0..self.entries.len() {
            let entry_is_told = self.entries[entry].alive && !self.is_still(entry);
            if entry_is_told && self.entries[entry].watching && self.is_served(entry) {
                let (operator, time) = (self.operator, self.store_time());
                self.learn_operator(entry, operator, time);
            }
        }
    }

    /// The process of `entry` ends without a word.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].alive = false;
    }

    /// The process of `entry` starts anew.
    pub fn restart(&mut self, entry: usize) {
        let run = self.entries[entry].run + 1;
        let member = FleetMember::new(self.now, self.config(entry, run));
        let known = &mut self.entries[entry];
        known.member = member;
        known.run = run;
        known.alive = true;
        known.own = OwnState::default();
        known.notes.clear();
        known.servers.clear();
        known.clock = None;
        known.watches = false;
        known.watching = false;
        known.still_until = None;
        known.behind = Duration::ZERO;
        self.push(self.now, entry, Delivery::Clock);
    }

    /// Numbers of the live entries.
    pub fn live(&self) -> Vec<usize> {
        let count = self.entries.len();
        (0..count)
            .filter(|entry| self.entries[*entry].alive)
            .collect()
    }

    /// Numbers of the entries that lead `region`.
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

    /// Live entries that don't know the newest change.
    pub fn behind(&self) -> Vec<usize> {
        let mut live = self.live();
        live.retain(|entry| {
            let known = self.entries[*entry].member.known();
            !known.is_complete()
                || known.registry < log_version(self.registry)
                || known.operator < self.operator
        });
        live
    }

    /// Plays until nobody is behind; how long that took, at most `most`.
    pub fn until_known(&mut self, most: Duration) -> Duration {
        let begun = self.now;
        while !self.behind().is_empty() && self.now < begun + most {
            self.run(ms(10));
        }
        self.now - begun
    }

    /// Calls to the store while `span` is played.
    pub fn calls_in(&mut self, span: Duration) -> u64 {
        let before = self.calls;
        self.run(span);
        self.calls - before
    }
}

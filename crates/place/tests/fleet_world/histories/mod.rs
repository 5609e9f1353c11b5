//! Histories of a fleet, drawn from a seed: servers that leave and are listed again by late
//! heartbeats, and faults of entries and of the store. The judge checks what the entries would
//! send.

mod faults;
mod judge;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use place::prelude::*;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use self::faults::{Fault, FaultState};
use super::{FleetWorld, domain_of, ms};

const STEP: Duration = ms(20);
const SETTLE_TIME: Duration = ms(6000);
const HEARTBEAT_INTERVAL: Duration = ms(1500);
const ROW_EXPIRY: Duration = ms(4500);

/// What a history consists of.
#[derive(Debug, Clone, Copy)]
pub struct HistoryConfig {
    pub entries: usize,
    pub servers: usize,
    pub span: Duration,
    pub restorations: bool,
}

impl Default for HistoryConfig {
    fn default() -> Self {
        Self {
            entries: 15,
            servers: 24,
            span: ms(36_000),
            restorations: true,
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Churn,
    DeleteRow(String),
    LateHeartbeat(String),
    Draining(String),
    Register(String),
    WriteAgain(String, Option<ServerEntry>),
    Fault,
    Restoration,
    Down,
    FaultEnd(Fault),
    Break(usize, bool),
    Restart(usize),
}

#[derive(Debug)]
struct Departed {
    at: Instant,
    last: ServerEntry,
    /// The runs that knew of the departure when an earlier heartbeat was written late.
    aware: Option<Vec<(usize, u64)>>,
}

/// A history and what its judge found.
pub struct History {
    pub world: FleetWorld,
    rng: ChaCha8Rng,
    config: HistoryConfig,
    agenda: BTreeMap<(Instant, u64), Event>,
    number: u64,
    live: BTreeMap<String, ServerEntry>,
    /// Since when each live server's row has been there.
    listed_since: BTreeMap<String, Instant>,
    departed: BTreeMap<String, Departed>,
    started: usize,
    faults: Vec<FaultState>,
    store: FaultState,
    /// Number of faults that keep the store down.
    outages: u32,
    pub log: Vec<(Instant, String)>,
    pub violations: BTreeSet<(String, usize, &'static str)>,
    first_violations: Vec<(Instant, String, usize, &'static str)>,
}

impl History {
    /// Plays the history of `seed`.
    pub fn play(seed: u64, config: HistoryConfig) -> Self {
        let world = FleetWorld::new(config.entries).with_rows();
        let start = world.start;
        let calm = FaultState {
            active: 0,
            calm_since: start,
        };
        let mut history = Self {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            config,
            agenda: BTreeMap::new(),
            number: 0,
            live: BTreeMap::new(),
            listed_since: BTreeMap::new(),
            departed: BTreeMap::new(),
            started: 0,
            faults: vec![calm; config.entries],
            store: calm,
            outages: 0,
            log: Vec::new(),
            violations: BTreeSet::new(),
            first_violations: Vec::new(),
        };
        for _ in 0..config.servers {
            history.start_server();
        }
        history.world.run(SETTLE_TIME);
        let now = history.world.now;
        history.plan(now, Event::Churn);
        history.plan(now, Event::Fault);
        if config.restorations {
            let after = history.rng.random_range(1000..8000);
            history.plan(now + ms(after), Event::Restoration);
        }
        let end = now + config.span;
        while history.world.now < end {
            history.step(end);
        }
        history
    }

    fn step(&mut self, end: Instant) {
        let until = self.world.now + STEP;
        while let Some(entry) = self.agenda.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.world.run(at.saturating_duration_since(self.world.now));
            self.perform(event, end);
            self.judge();
        }
        self.world
            .run(until.saturating_duration_since(self.world.now));
        self.judge();
    }

    fn plan(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.agenda.insert((at, self.number), event);
    }

    fn note(&mut self, text: String) {
        self.log.push((self.world.now, text));
    }

    fn start_server(&mut self) {
        let id = format!("i-{:03}", self.started);
        let entry = ServerEntry {
            id: id.clone(),
            started: None,
            service: "board".to_owned(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + self.started as u16)),
            domain: domain_of(self.started),
            version: "v1".to_owned(),
            slots: 4,
            state: EntryState::Ready,
            cold_remaining: Duration::ZERO,
            seq: 1,
        };
        self.started += 1;
        self.live.insert(id.clone(), entry.clone());
        self.write(&id, Some(entry));
    }

    fn write(&mut self, id: &str, row: Option<ServerEntry>) {
        let now = self.world.now;
        if row.is_none() {
            self.listed_since.remove(id);
        } else {
            self.listed_since.entry(id.to_owned()).or_insert(now);
        }
        let text = row.as_ref().map_or("deleted".to_owned(), |row| {
            format!("written, {} {}", row.state.as_str(), row.seq)
        });
        self.note(format!("{id} {text}"));
        self.world.set_row(id, row);
    }

    fn perform(&mut self, event: Event, end: Instant) {
        let now = self.world.now;
        match event {
            Event::Churn => self.churn(),
            Event::DeleteRow(id) => self.write(&id, None),
            Event::LateHeartbeat(id) => self.write_late(&id),
            Event::Draining(id) => {
                if let Some(departed) = self.departed.get(&id) {
                    let mut row = departed.last.clone();
                    (row.seq, row.state) = (row.seq + 2, EntryState::Draining);
                    self.write(&id, Some(row));
                }
            }
            Event::Register(id) => {
                if let Some(entry) = self.live.get_mut(&id) {
                    entry.seq += 1;
                    let row = entry.clone();
                    self.write(&id, Some(row));
                }
            }
            Event::WriteAgain(id, row) => {
                self.note(format!("{id} written again: {}", row.is_some()));
                if row.is_some() {
                    self.listed_since.entry(id.clone()).or_insert(now);
                }
                self.world.write_again(&id, row);
            }
            Event::Fault => self.start_fault(end),
            Event::Restoration => self.start_restoration(end),
            Event::Down => {
                self.note("store down, to be restored".to_owned());
                self.store.active += 1;
                self.set_store_down(true);
            }
            Event::FaultEnd(fault) => self.end_fault(&fault),
            Event::Break(entry, is_broken) => {
                self.world.entries[entry].store_rejects = is_broken;
                if is_broken {
                    self.world.fail_read(entry);
                }
            }
            Event::Restart(entry) => {
                if !self.world.entries[entry].alive {
                    self.world.restart(entry);
                    self.world.entries[entry].store_rejects = false;
                }
            }
        }
    }

    fn churn(&mut self) {
        let now = self.world.now;
        for _ in 0..self.rng.random_range(1..=2) {
            let ids: Vec<String> = self.live.keys().cloned().collect();
            let Some(id) = ids.choose(&mut self.rng).cloned() else {
                break;
            };
            self.leave(&id);
            self.start_server();
        }
        let next = self.rng.random_range(150..1500);
        self.plan(now + ms(next), Event::Churn);
    }

    fn leave(&mut self, id: &str) {
        let now = self.world.now;
        let Some(last) = self.live.remove(id) else {
            return;
        };
        let announced = self.rng.random_bool(0.5);
        let departed = Departed {
            at: now,
            last: last.clone(),
            aware: None,
        };
        self.departed.insert(id.to_owned(), departed);
        for sim in &mut self.world.entries {
            // What entries thought of it while it was alive breaks no promise.
            sim.registry.seen_leaving.remove(id);
            sim.registry.taken_in_again.remove(id);
        }
        self.note(format!("{id} leaves"));
        let delete_after = announced.then(|| self.rng.random_range(500..6000));
        if announced {
            let mut row = last;
            (row.seq, row.state) = (row.seq + 1, EntryState::Draining);
            self.write(id, Some(row));
        } else {
            self.write(id, None);
        }
        if let Some(after) = delete_after {
            self.plan(now + ms(after), Event::DeleteRow(id.to_owned()));
        }
        if self.rng.random_bool(0.35) {
            let late = self.rng.random_range(300..6000);
            self.plan(now + ms(late), Event::LateHeartbeat(id.to_owned()));
            match delete_after.and_then(|after: u64| after.checked_sub(late)) {
                Some(left) if ms(left) > HEARTBEAT_INTERVAL => {
                    let at = now + ms(late) + HEARTBEAT_INTERVAL;
                    self.plan(at, Event::Draining(id.to_owned()));
                }
                Some(_) => {}
                None => {
                    let at = now + ms(late) + ROW_EXPIRY;
                    self.plan(at, Event::DeleteRow(id.to_owned()));
                }
            }
        }
    }

    fn write_late(&mut self, id: &str) {
        let runs = self.world.live().into_iter();
        let aware = runs.filter(|entry| {
            let registry = &self.world.entries[*entry].registry;
            registry.seen_leaving.contains(id)
        });
        let aware = aware
            .map(|entry| (entry, self.world.entries[entry].run))
            .collect();
        if let Some(departed) = self.departed.get_mut(id) {
            departed.aware = Some(aware);
            let row = departed.last.clone();
            self.write(id, Some(row));
        }
    }
}

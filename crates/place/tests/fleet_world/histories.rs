//! Histories of a fleet, drawn from a seed: servers that leave and are listed again by late
//! heartbeats, and faults of entries and of the store. The judge checks what the entries would
//! send.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use place::prelude::*;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::rows::StoreRows;
use super::{DRAIN, FleetWorld, REGIONS, domain_of, ms, region_of};

/// Time until a placed request reaches a server of another region over a new connection.
const FAR_SEND: Duration = ms(3 * 35);
/// Time without faults after which the time bounds apply.
const STABLE_WINDOW: Duration = ms(4000);
/// Time after its row was written within which a live server must be in use: a row that is
/// listed again after a departure has to outlast a late heartbeat first.
const ADMISSION_TIME: Duration = ms(9000);
const STEP: Duration = ms(20);
const SETTLE_TIME: Duration = ms(6000);
const HEARTBEAT_INTERVAL: Duration = ms(1500);
const ROW_EXPIRY: Duration = ms(4500);
/// Time over which servers register again after an outage.
const REGISTER_TIME: u64 = 1900;
/// Shortest outage in which rows expire.
const MIN_EXPIRING_OUTAGE: u64 = 2500;

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

#[derive(Debug, Clone)]
struct Fault {
    kind: FaultKind,
    entries: Vec<usize>,
}

#[derive(Debug, Clone)]
enum FaultKind {
    Rejected,
    TimesOut,
    Delayed(Duration),
    Breaks(Instant, Duration),
    Frozen(Duration),
    Killed,
    Separated,
    PullsFail,
    StoreDown,
    Expiry(Vec<String>),
    StoreSlow(Duration),
    Forgets,
    Restored(Box<StoreRows>),
}

#[derive(Debug, Clone, Copy)]
struct FaultState {
    active: u32,
    calm_since: Instant,
}

impl FaultState {
    fn is_stable(&self, now: Instant) -> bool {
        self.active == 0 && now >= self.stable_since()
    }

    fn stable_since(&self) -> Instant {
        self.calm_since + STABLE_WINDOW
    }
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

    fn start_fault(&mut self, end: Instant) {
        let now = self.world.now;
        let duration = ms(self.rng.random_range(500..7000));
        let entries = self.draw_target();
        let gap = ms(self.rng.random_range(100..900));
        let delay = ms(self.rng.random_range(200..1400));
        let share = self.rng.random_range(0.3..1.0);
        let mut kind = match self.rng.random_range(0..16) {
            0 | 1 => FaultKind::Rejected,
            2..=4 => FaultKind::TimesOut,
            5 | 6 => FaultKind::Delayed(delay),
            7 => FaultKind::Breaks(now + duration, gap),
            8 => FaultKind::Frozen(duration),
            9 => FaultKind::Killed,
            10 => FaultKind::Separated,
            11 => FaultKind::PullsFail,
            12 => FaultKind::StoreDown,
            13 => FaultKind::Expiry(Vec::new()),
            14 => FaultKind::StoreSlow(delay.min(ms(600))),
            _ => FaultKind::Forgets,
        };
        let mut fault = Fault {
            kind: kind.clone(),
            entries,
        };
        if let FaultKind::Expiry(expired) = &mut kind {
            self.expire(duration, share, expired);
            fault.kind = kind;
        }
        self.begin_fault(&fault);
        self.plan(now + duration, Event::FaultEnd(fault));
        let next = now + ms(self.rng.random_range(300..5000));
        if next + ms(9000) < end {
            self.plan(next, Event::Fault);
        }
    }

    fn draw_target(&mut self) -> Vec<usize> {
        let region = self.rng.random_range(0..REGIONS);
        let all: Vec<usize> = (0..self.config.entries).collect();
        let in_region = |entry: &usize| region_of(*entry) == region;
        match self.rng.random_range(0..8) {
            0..=3 => self.world.leads(region),
            4 => all.into_iter().filter(in_region).collect(),
            _ => {
                let count = self.rng.random_range(1..=3);
                all.choose_multiple(&mut self.rng, count).copied().collect()
            }
        }
    }

    fn expire(&mut self, duration: Duration, share: f64, expired: &mut Vec<String>) {
        if duration < ms(MIN_EXPIRING_OUTAGE) {
            return;
        }
        let count = (self.live.len() as f64 * share) as usize;
        expired.extend(self.live.keys().take(count).cloned());
    }

    fn begin_fault(&mut self, fault: &Fault) {
        let now = self.world.now;
        self.note(format!("fault {:?} of {:?}", fault.kind, fault.entries));
        let is_of_store = matches!(
            fault.kind,
            FaultKind::StoreDown
                | FaultKind::Expiry(_)
                | FaultKind::StoreSlow(_)
                | FaultKind::Forgets
                | FaultKind::Restored(_)
        );
        if is_of_store {
            self.store.active += 1;
        } else {
            for entry in &fault.entries {
                self.faults[*entry].active += 1;
            }
        }
        match &fault.kind {
            FaultKind::StoreDown | FaultKind::Restored(_) => self.set_store_down(true),
            FaultKind::Expiry(expired) => {
                self.set_store_down(true);
                for id in expired.clone() {
                    self.write(&id, None);
                }
            }
            FaultKind::StoreSlow(delay) => self.delay_answers(None, *delay),
            FaultKind::Forgets => self.world.discard_history(),
            FaultKind::Breaks(until, gap) => {
                let mut at = now;
                while at < *until {
                    for entry in &fault.entries {
                        self.plan(at, Event::Break(*entry, true));
                        self.plan(at + ms(30), Event::Break(*entry, false));
                    }
                    at += *gap + ms(30);
                }
            }
            FaultKind::Delayed(delay) => self.delay_answers(Some(&fault.entries), *delay),
            _ => {
                for entry in &fault.entries {
                    self.set_entry_fault(*entry, &fault.kind, true);
                }
            }
        }
    }

    fn set_store_down(&mut self, is_down: bool) {
        if is_down {
            self.outages += 1;
        } else {
            self.outages -= 1;
        }
        self.world.store_down = self.outages > 0;
        if is_down {
            for entry in 0..self.config.entries {
                self.world.fail_read(entry);
            }
        }
    }

    fn delay_answers(&mut self, entries: Option<&[usize]>, delay: Duration) {
        for entry in 0..self.config.entries {
            if entries.is_none_or(|entries| entries.contains(&entry)) {
                self.world.entries[entry].store_delay = delay;
            }
        }
    }

    fn set_entry_fault(&mut self, entry: usize, kind: &FaultKind, begins: bool) {
        let now = self.world.now;
        let sim = &mut self.world.entries[entry];
        match kind {
            FaultKind::Rejected => {
                sim.store_rejects = begins;
                if begins {
                    self.world.fail_read(entry);
                }
            }
            FaultKind::TimesOut => sim.store_times_out = begins,
            FaultKind::Separated => sim.group = if begins { 1 + entry as u32 } else { 0 },
            FaultKind::PullsFail => sim.pulls_fail = begins,
            FaultKind::Frozen(span) if begins => self.world.pause(entry, *span, false),
            FaultKind::Killed if begins => {
                self.world.kill(entry);
                self.plan(now + ms(400), Event::Restart(entry));
            }
            _ => {}
        }
    }

    fn end_fault(&mut self, fault: &Fault) {
        let now = self.world.now;
        self.note(format!("end of {:?} of {:?}", fault.kind, fault.entries));
        let mut is_of_store = true;
        match &fault.kind {
            FaultKind::StoreDown => self.set_store_down(false),
            FaultKind::Expiry(expired) => {
                self.set_store_down(false);
                self.register_again(expired);
            }
            FaultKind::StoreSlow(_) => self.delay_answers(None, Duration::ZERO),
            FaultKind::Forgets => {}
            FaultKind::Restored(copy) => self.restore(copy),
            kind => {
                is_of_store = false;
                if let FaultKind::Delayed(_) = kind {
                    self.delay_answers(Some(&fault.entries), Duration::ZERO);
                }
                for entry in &fault.entries {
                    self.set_entry_fault(*entry, kind, false);
                    self.faults[*entry].active -= 1;
                    self.faults[*entry].calm_since = now;
                }
            }
        }
        if is_of_store {
            self.store.active -= 1;
            self.store.calm_since = now;
        }
    }

    fn register_again(&mut self, expired: &[String]) {
        let now = self.world.now;
        for (index, id) in (0..).zip(expired) {
            let after = REGISTER_TIME * (index + 1) / expired.len() as u64;
            self.plan(now + ms(after), Event::Register(id.clone()));
        }
    }

    fn start_restoration(&mut self, end: Instant) {
        let now = self.world.now;
        let age = ms(self.rng.random_range(1000..6000));
        let down = ms(self.rng.random_range(200..2500));
        let copy = Box::new(self.world.copy_rows());
        let fault = Fault {
            kind: FaultKind::Restored(copy),
            entries: Vec::new(),
        };
        self.begin_fault_later(now + age, fault, down);
        let next = now + ms(self.rng.random_range(11_000..20_000));
        if next + ms(9000) < end {
            self.plan(next, Event::Restoration);
        }
    }

    fn begin_fault_later(&mut self, at: Instant, fault: Fault, down: Duration) {
        self.plan(at, Event::Down);
        self.plan(at + down, Event::FaultEnd(fault));
    }

    fn restore(&mut self, copy: &StoreRows) {
        let now = self.world.now;
        self.set_store_down(false);
        let lost = self.world.restore_rows(copy);
        self.note(format!("restored, {} rows lost", lost.len()));
        for (id, _) in &lost {
            if self
                .world
                .rows
                .as_ref()
                .is_some_and(|rows| rows.row(id).is_none())
            {
                self.listed_since.remove(id);
            } else {
                self.listed_since.entry(id.clone()).or_insert(now);
            }
        }
        let count = lost.len() as u64;
        for (index, (id, row)) in (0..).zip(lost) {
            let after = REGISTER_TIME * (index + 1) / count;
            self.plan(now + ms(after), Event::WriteAgain(id, row));
        }
    }

    fn judge(&mut self) {
        let now = self.world.now;
        let mut found = Vec::new();
        for entry in self.world.live() {
            if self.world.is_paused(entry) {
                continue;
            }
            let open = self.world.entries[entry].registry.open_ids();
            let departed = open.iter().filter(|id| self.departed.contains_key(*id));
            found.extend(departed.filter_map(|id| {
                let what = self.judge_departed(now, entry, id)?;
                Some((id.clone(), entry, what))
            }));
            let kept_out = self.listed_since.iter().filter(|(id, since)| {
                self.live.contains_key(*id)
                    && !open.contains(*id)
                    && self.is_admission_due(now, entry, **since)
            });
            found.extend(kept_out.map(|(id, _)| (id.clone(), entry, "kept out")));
        }
        for (id, entry, what) in found {
            self.report(&id, entry, what);
        }
    }

    /// Returns what is wrong with sending requests from `entry` to the server `id`, which left.
    fn judge_departed(&self, now: Instant, entry: usize, id: &str) -> Option<&'static str> {
        let departed = self.departed.get(id)?;
        if self.world.entries[entry]
            .registry
            .taken_in_again
            .contains(id)
        {
            return Some("returned");
        }
        let bound = departed.at.max(self.store.stable_since()) + DRAIN - FAR_SEND;
        if !self.is_in_touch(now, entry) || now <= bound {
            return None;
        }
        let is_forgotten = departed.aware.as_ref().is_some_and(|runs| {
            let entries = &self.world.entries;
            let mut runs = runs.iter();
            !runs.any(|(entry, run)| entries[*entry].alive && entries[*entry].run == *run)
        });
        (!is_forgotten).then_some("late")
    }

    fn is_in_touch(&self, now: Instant, entry: usize) -> bool {
        self.store.is_stable(now) && self.faults[entry].is_stable(now)
    }

    /// Whether `entry` must use a live server whose row has been there since `since`.
    fn is_admission_due(&self, now: Instant, entry: usize, since: Instant) -> bool {
        let since = since.max(self.store.stable_since());
        self.is_in_touch(now, entry) && now > since + ADMISSION_TIME
    }

    fn report(&mut self, id: &str, entry: usize, what: &'static str) {
        if self.violations.insert((id.to_owned(), entry, what)) {
            self.first_violations
                .push((self.world.now, id.to_owned(), entry, what));
        }
    }

    /// What happened to the server `id` and to the fleet, for whoever reads a failure.
    pub fn story(&self, id: &str) -> String {
        let start = self.world.start;
        let mut lines: Vec<(Instant, String)> = Vec::new();
        let told = self
            .log
            .iter()
            .filter(|(_, text)| text.contains(id) || !text.starts_with("i-"));
        lines.extend(told.cloned());
        for (entry, sim) in self.world.entries.iter().enumerate() {
            let about = sim
                .registry
                .trace
                .iter()
                .filter(|(_, server, _)| server == id);
            lines.extend(about.map(|(at, _, text)| (*at, format!("  n{entry} {text}"))));
        }
        let found = self
            .first_violations
            .iter()
            .filter(|(_, server, ..)| server == id);
        lines.extend(found.map(|(at, _, entry, what)| (*at, format!("VIOLATION n{entry} {what}"))));
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.iter().map(|(at, text)| {
            let text: String = text.chars().take(200).collect();
            format!("{:>6} {text}", (*at - start).as_millis())
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// The violations in the order in which they began.
    pub fn found(&self) -> &[(Instant, String, usize, &'static str)] {
        &self.first_violations
    }
}

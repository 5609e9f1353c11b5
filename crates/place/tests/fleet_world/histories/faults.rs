//! Faults of entries and of the store, drawn for a history.

use std::time::{Duration, Instant};

use rand::Rng as _;
use rand::seq::IndexedRandom as _;

use super::{Event, History};
use crate::fleet_world::rows::StoreRows;
use crate::fleet_world::{REGIONS, ms, region_of};

/// Time without faults after which the time bounds apply.
const STABLE_WINDOW: Duration = ms(4000);
/// Time over which servers register again after an outage.
const REGISTER_TIME: u64 = 1900;
/// Shortest outage in which rows expire.
const MIN_EXPIRING_OUTAGE: u64 = 2500;

#[derive(Debug, Clone)]
pub(super) struct Fault {
    pub(super) kind: FaultKind,
    pub(super) entries: Vec<usize>,
}

#[derive(Debug, Clone)]
pub(super) enum FaultKind {
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
pub(super) struct FaultState {
    pub(super) active: u32,
    pub(super) calm_since: Instant,
}

impl FaultState {
    pub(super) fn is_stable(&self, now: Instant) -> bool {
        self.active == 0 && now >= self.stable_since()
    }

    pub(super) fn stable_since(&self) -> Instant {
        self.calm_since + STABLE_WINDOW
    }
}

impl History {
    pub(super) fn start_fault(&mut self, end: Instant) {
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

    pub(super) fn set_store_down(&mut self, is_down: bool) {
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

    pub(super) fn end_fault(&mut self, fault: &Fault) {
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

    pub(super) fn start_restoration(&mut self, end: Instant) {
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
}

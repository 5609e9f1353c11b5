//! Reads of the simulated store's rows, and what entries send each other of them.

use std::time::Instant;

use place::fleet::pull::PullScope;
use place::fleet::reading::{ReadOutcome, RegistryRead, answer_as_of};
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;

use super::rows::{RowsAnswer, StoreRows, WaitingRead};
use super::{Delivery, FleetWorld, STORE_LATENCY, STORE_TIMEOUT};

impl FleetWorld {
    /// Gives the store rows, and each entry a copy of them.
    pub fn with_rows(mut self) -> Self {
        self.rows = Some(StoreRows::default());
        self
    }

    /// Writes a row, or deletes it, and answers the reads that wait for changes.
    pub fn set_row(&mut self, id: &str, row: Option<ServerEntry>) {
        if let Some(rows) = &mut self.rows {
            rows.set(id, row);
        }
        self.answer_waiting();
    }

    pub fn discard_history(&mut self) {
        if let Some(rows) = &mut self.rows {
            rows.discard_history();
        }
    }

    pub fn copy_rows(&self) -> StoreRows {
        self.rows.clone().unwrap_or_default()
    }

    /// Lets the store come back as `copy`. Returns what was lost.
    pub fn restore_rows(&mut self, copy: &StoreRows) -> Vec<(String, Option<ServerEntry>)> {
        let rows = self.rows.as_mut();
        rows.map(|rows| rows.restore(copy)).unwrap_or_default()
    }

    /// Writes what a restoration lost, unless the row was written or deleted since.
    pub fn write_again(&mut self, id: &str, row: Option<ServerEntry>) {
        let rows = self.rows.as_ref();
        if rows.is_some_and(|rows| !rows.touched.contains(id)) {
            self.set_row(id, row);
        }
    }

    fn answer_waiting(&mut self) {
        for entry in 0..self.entries.len() {
            if self.entries[entry].registry.waiting.is_some() {
                self.answer_read(entry, false);
            }
        }
    }

    /// Starts a read of the store's rows.
    pub(super) fn begin_rows_read(&mut self, entry: usize, call: RegistryRead) {
        let started_at = self.local_time(entry, self.now);
        let listed = self.entries[entry].member.store_progress().registry_listed;
        let registry = &mut self.entries[entry].registry;
        if call.resumes {
            registry.resume(listed);
        } else if registry.is_resumed {
            registry.cached_at = None;
        }
        let after = registry.cached_at.filter(|_| !call.whole);
        self.number += 1;
        let number = self.number;
        self.entries[entry].registry.waiting = Some(WaitingRead {
            number,
            started_at,
            call,
            after,
        });
        if self.is_served(entry) {
            self.push(
                self.now + STORE_LATENCY + call.wait,
                entry,
                Delivery::WaitOver { number },
            );
            self.answer_read(entry, call.wait.is_zero());
        } else {
            self.fail_read(entry);
        }
    }

    /// Ends the waiting read of `entry` because its wait is over.
    pub(super) fn end_wait(&mut self, entry: usize, number: u64) {
        let waiting = &self.entries[entry].registry.waiting;
        if waiting.as_ref().is_some_and(|read| read.number == number) {
            self.answer_read(entry, true);
        }
    }

    /// Fails the waiting read of `entry`, now or once its caller gives up.
    pub fn fail_read(&mut self, entry: usize) {
        let Some(read) = self.entries[entry].registry.waiting.take() else {
            return;
        };
        let times_out = self.entries[entry].store_times_out;
        let gives_up_at = read.started_at + read.call.wait + STORE_TIMEOUT;
        let at = if times_out {
            gives_up_at.max(self.now)
        } else {
            self.now + STORE_LATENCY
        };
        self.push(at, entry, Delivery::RowsRead { read, answer: None });
    }

    /// Answers the waiting read of `entry` if there are changes or its wait is over.
    fn answer_read(&mut self, entry: usize, is_over: bool) {
        if !self.is_served(entry) {
            self.fail_read(entry);
            return;
        }
        let Some(rows) = &self.rows else {
            return;
        };
        let waiting = &mut self.entries[entry].registry.waiting;
        let Some(read) = waiting.as_ref() else {
            return;
        };
        let answer = rows
            .answer(read.after)
            .or(is_over.then(|| rows.unchanged()));
        let Some(answer) = answer else {
            return;
        };
        let Some(read) = waiting.take() else {
            return;
        };
        let gives_up_at = read.started_at + read.call.wait + STORE_TIMEOUT;
        let arrives_at = self.now + STORE_LATENCY + self.entries[entry].store_delay;
        let in_time = arrives_at < gives_up_at;
        let answer = in_time.then_some(answer);
        self.push(
            arrives_at.min(gives_up_at),
            entry,
            Delivery::RowsRead { read, answer },
        );
    }

    pub(super) fn end_rows_read(
        &mut self,
        entry: usize,
        read: &WaitingRead,
        answer: Option<&RowsAnswer>,
    ) {
        let now = self.local_time(entry, self.now);
        let registry = &mut self.entries[entry].registry;
        let Some(answer) = answer else {
            registry.catalog.on_read_failed(now);
            self.finish_read(entry, ReadOutcome::Failed);
            return;
        };
        let has_rows = answer.whole || !answer.changes.is_empty();
        let as_of = answer_as_of(read.started_at, read.call.wait, now, has_rows);
        let before = registry.log.version();
        let (snapshot, scope) = registry.read(answer, as_of);
        let update = registry.copy().apply_snapshot(now, &snapshot, scope);
        let is_same = registry.log.version() == before;
        if let Some(update) = update {
            registry.note(now, &update.changes, "store");
            let mut known = *self.entries[entry].member.store_progress();
            known.on_snapshot(&snapshot, &self.entries[entry].registry.log);
            self.deliver_event(entry, FleetEvent::StoreProgress(known));
            if answer.whole && !update.is_first {
                self.deliver_event(entry, FleetEvent::HistoryMissed);
            }
        }
        let outcome = if is_same {
            ReadOutcome::Unchanged
        } else {
            ReadOutcome::Changed
        };
        self.finish_read(entry, outcome);
    }

    fn finish_read(&mut self, entry: usize, outcome: ReadOutcome) {
        let removal_at = self.entries[entry].registry.catalog.next_removal_at();
        self.deliver_event(entry, FleetEvent::NextRemovalAt(removal_at));
        self.deliver_event(entry, FleetEvent::RegistryRead(outcome));
    }

    /// Applies the registry of the entry `from`, as an answer to a pull. `known` is the progress
    /// of `entry`.
    pub(super) fn pull_rows(
        &mut self,
        entry: usize,
        from: usize,
        scope: PullScope,
        known: &mut StoreProgress,
    ) {
        let now = self.local_time(entry, self.now);
        let peer_progress = *self.entries[from].member.store_progress();
        let whole = scope.is_whole();
        let asked = if whole { 0 } else { known.registry };
        if peer_progress.registry_at.is_some() && peer_progress.registry > asked {
            let delta = self.entries[from].registry.log.since(asked);
            let registry = &mut self.entries[entry].registry;
            let started_at = peer_progress.registry_at.unwrap_or(now);
            if known.accepts(&peer_progress, delta.version, whole) {
                let update = registry.copy().apply_delta(now, started_at, &delta);
                registry.note(now, &update.changes, &format!("n{from}"));
                known.on_delta(&peer_progress, &registry.log);
            }
        }
        if scope == PullScope::Departures {
            let departures = self.entries[from].registry.log.departures();
            let registry = &mut self.entries[entry].registry;
            let changes = registry.copy().apply_departures(now, &departures);
            registry.note(now, &changes, &format!("departures of n{from}"));
            known.on_departures(&registry.log);
        }
        let removal_at = self.entries[entry].registry.catalog.next_removal_at();
        self.deliver_event(entry, FleetEvent::NextRemovalAt(removal_at));
    }

    pub(super) fn confirm_rows(&mut self, entry: usize, at: Instant, position: StorePosition) {
        let now = self.local_time(entry, self.now);
        let registry = &mut self.entries[entry].registry;
        let changes = registry.copy().confirm(now, at, position);
        registry.note(now, &changes, "confirmation");
    }
}

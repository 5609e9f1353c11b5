//! Messages between the entries of a trial.

use crate::policy::EntryPolicy;
use crate::run::{CROSS_REGION_DELAY_US, IN_REGION_DELAY_US, Trial};
use crate::setup::entry_hash;
use crate::timeline::{Event, Micros};

impl<P: EntryPolicy> Trial<'_, P> {
    pub(super) fn send_load(&mut self, entry: usize) {
        let now = self.instant();
        let update = self.policies[entry].load_update(now);
        let shares = self.policies[entry].share_report(now);
        for other in 0..self.policies.len() {
            if other == entry || self.is_cut(entry, other) {
                continue;
            }
            if !shares.is_empty() {
                let delay = self.peer_delay(entry, other);
                let event = Event::ReceiveShares(other, entry_hash(entry), shares.clone());
                self.schedule(self.now + delay, event);
            }
            let is_same_region = other / self.experiment.entries == entry / self.experiment.entries;
            let delay = self.peer_delay(entry, other);
            let update = update.clone();
            let update = if is_same_region {
                update
            } else {
                update.for_other_regions()
            };
            let event = Event::ReceiveLoad(other, entry_hash(entry), update);
            self.schedule(self.now + delay, event);
        }
        self.send_statements(entry, false);
        self.send_returns(entry);
        self.schedule(self.now + self.load_interval(), Event::SendLoad(entry));
    }

    pub(super) fn send_statements(&mut self, entry: usize, is_urgent: bool) {
        let now = self.instant();
        let report = self.policies[entry].statement_report(now, is_urgent);
        if report.is_empty() {
            return;
        }
        for other in 0..self.policies.len() {
            if other == entry || self.is_cut(entry, other) {
                continue;
            }
            let delay = self.peer_delay(entry, other);
            let event = Event::ReceiveStatements(other, entry_hash(entry), report.clone());
            self.schedule(self.now + delay, event);
        }
    }

    pub(super) fn send_returns(&mut self, entry: usize) {
        let now = self.instant();
        let report = self.policies[entry].return_report(now);
        if report.promises.is_empty() {
            return;
        }
        for other in 0..self.policies.len() {
            if other == entry || self.is_cut(entry, other) {
                continue;
            }
            let delay = self.peer_delay(entry, other);
            let event = Event::ReceiveReturns(other, report.clone());
            self.schedule(self.now + delay, event);
        }
    }

    /// Whether messages between two entries are lost.
    pub(super) fn is_cut(&self, entry: usize, other: usize) -> bool {
        let entries = self.experiment.entries;
        let at = self.now as f64 / 1e6;
        self.experiment.is_cut(at, entry / entries, other / entries)
    }

    /// Delay of messages between two entries.
    pub(super) fn peer_delay(&self, entry: usize, other: usize) -> Micros {
        if other / self.experiment.entries == entry / self.experiment.entries {
            IN_REGION_DELAY_US
        } else {
            CROSS_REGION_DELAY_US
        }
    }
}

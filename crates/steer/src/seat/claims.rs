//! Which seats to claim, to take over and to give up.

use base::prelude::*;

use super::{ObservedRow, PendingWrite, SeatAction, SeatKeeper, SeatRow};

/// Leases for which a row must stand still before anybody takes it over.
const LAPSE_LEASES: f64 = 1.25;
/// Age at which a sign of life from a holder says nothing any more.
const HEARD_AGE: Duration = Duration::from_secs(6);
/// Age up to which the platform's list is believed.
const LIST_AGE: Duration = Duration::from_secs(15);
/// Time for which the fair number of seats must be steady before one is given up.
const STEADY_TIME: Duration = Duration::from_secs(3);

impl SeatKeeper {
    pub(super) fn claims_pending(&self) -> usize {
        self.pending
            .keys()
            .filter(|index| !self.held.contains_key(index))
            .count()
    }

    /// The number of seats that this instance should hold: all are spread evenly
    /// over the live instances, the first ones by name getting one more.
    pub(super) fn fair_count(&self, me: &InstanceId) -> usize {
        let mut live = self.live.clone();
        live.insert(me.clone());
        let seats = usize::from(self.settings.seats);
        let rank = live.iter().position(|instance| instance == me).unwrap_or(0);
        seats / live.len() + usize::from(rank < seats % live.len())
    }

    pub(super) fn is_steady(&mut self, now: Instant, fair: usize) -> bool {
        match self.fair_since {
            Some((count, since)) if count == fair => {
                self.stopping || now.saturating_duration_since(since) >= STEADY_TIME
            }
            _ => {
                self.fair_since = Some((fair, now));
                self.stopping
            }
        }
    }

    pub(super) fn mark_vacate(&mut self, fair: usize, steady: bool) {
        let mut excess = self.held.len().saturating_sub(fair);
        if !steady {
            return;
        }
        for tenure in self.held.values_mut().rev() {
            tenure.vacate = excess > 0;
            excess = excess.saturating_sub(1);
        }
    }

    /// Claims the first free seat: one at a time, so that instances that start
    /// together don't take more than they keep.
    pub(super) fn claim(&mut self, now: Instant, node: &NodeId, actions: &mut Vec<SeatAction>) {
        for index in 0..self.settings.seats {
            if self.held.contains_key(&index) || self.pending.contains_key(&index) {
                continue;
            }
            let observed = self.rows.get(&index);
            if !observed.is_none_or(|observed| self.is_free(now, node, observed)) {
                continue;
            }
            let (expect, epoch, contested) = match observed {
                None => (0, 1, false),
                Some(old) => (old.revision, old.row.epoch + 1, !old.row.released),
            };
            self.next_token = self.next_token.wrapping_add(1);
            let row = SeatRow {
                holder: node.clone(),
                epoch,
                token: self.next_token,
                released: false,
            };
            self.pending.insert(
                index,
                PendingWrite {
                    sent: now,
                    expect,
                    row: row.clone(),
                    contested,
                },
            );
            actions.push(SeatAction::Write { index, expect, row });
            return;
        }
    }

    pub(super) fn is_free(&self, now: Instant, node: &NodeId, observed: &ObservedRow) -> bool {
        let row = &observed.row;
        if row.released {
            return true;
        }
        if row.holder.instance == node.instance {
            return row.holder != *node;
        }
        let still = now.saturating_duration_since(observed.since);
        let lapsed = still >= self.settings.lease.mul_f64(LAPSE_LEASES);
        lapsed && self.is_gone(now, &row.holder.instance)
    }

    /// Whether the platform's list, if it is fresh, has dropped `instance` and nobody hears it.
    pub(super) fn is_gone(&self, now: Instant, instance: &InstanceId) -> bool {
        let heard = self
            .heard
            .get(instance)
            .is_some_and(|at| now.saturating_duration_since(*at) < HEARD_AGE);
        let dropped = self.listed.as_ref().is_some_and(|(at, listed)| {
            now.saturating_duration_since(*at) < LIST_AGE && !listed.contains(instance)
        });
        dropped && !heard
    }

    pub(super) fn release(&mut self, now: Instant, vacated: &[u16], actions: &mut Vec<SeatAction>) {
        for index in vacated {
            let Some(tenure) = self.held.get(index) else {
                continue;
            };
            let Some(observed) = self.rows.get(index) else {
                continue;
            };
            if !tenure.vacate
                || self.pending.contains_key(index)
                || observed.row.token != tenure.token
            {
                continue;
            }
            let mut row = observed.row.clone();
            row.released = true;
            self.pending.insert(
                *index,
                PendingWrite {
                    sent: now,
                    expect: observed.revision,
                    row: row.clone(),
                    contested: false,
                },
            );
            actions.push(SeatAction::Write {
                index: *index,
                expect: observed.revision,
                row,
            });
        }
    }
}

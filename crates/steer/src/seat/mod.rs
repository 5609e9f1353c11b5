//! Seats of a region: who holds which, kept as rows of the table service.
//!
//! A seat is taken by compare-and-set with a new epoch and renewed the same way.
//! A lease counts from before its write was sent. Another instance takes a seat
//! over only when the row has stood still for longer than a lease, the platform
//! lists its holder no more, and no peer hears the holder.

mod claims;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use base::prelude::*;

/// Part of the lease after which it is renewed.
const RENEW_SHARE: f64 = 0.33;

base::common! {
    /// A seat's row.
    pub struct SeatRow {
        /// Who holds it.
        pub holder: NodeId,
        /// Rises with every change of holder.
        pub epoch: u64,
        /// Unique to one tenure.
        pub token: u64,
        /// Whether the holder gave it up with its slots empty.
        pub released: bool,
    }
}

/// What the keeper is set up with.
#[derive(Debug, Clone)]
pub struct SeatSettings {
    /// Seats of the region.
    pub seats: u16,
    /// Length of a lease.
    pub lease: Duration,
}

/// Something that the keeper must know.
#[derive(Debug, Clone, PartialEq)]
pub enum SeatEvent {
    /// The entry process asked: this is its run and what it uses.
    Entry {
        /// The entry's run.
        node: NodeId,
        /// Seats in use with their epochs.
        seats: Vec<(u16, u64)>,
        /// Seats that are empty and may be released.
        vacated: Vec<u16>,
        /// Whether it is stopping.
        stopping: bool,
    },
    /// The region's rows, with their revisions; absent ones left out.
    Rows(Vec<(u16, u64, SeatRow)>),
    /// A write took effect.
    Written {
        /// The seat.
        index: u16,
    },
    /// A write did not take effect, or nobody knows; the rows will be read again.
    NotWritten {
        /// The seat.
        index: u16,
        /// Whether it is certain that nothing was written.
        certain: bool,
    },
    /// The platform's list, with every instance that isn't gone.
    Listed(BTreeSet<InstanceId>),
    /// Instances of the region that take part, this one included.
    Live(BTreeSet<InstanceId>),
    /// A sign of life of an instance, heard here or by a peer.
    Heard(InstanceId),
    /// Time passes.
    Tick,
}

/// What the keeper wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum SeatAction {
    /// Write the row where its revision is still `expect`.
    Write {
        /// The seat.
        index: u16,
        /// The revision expected; 0 for an absent row.
        expect: u64,
        /// The row.
        row: SeatRow,
    },
}

#[derive(Debug, Clone)]
struct ObservedRow {
    revision: u64,
    row: SeatRow,
    since: Instant,
}

#[derive(Debug, Clone)]
struct Tenure {
    epoch: u64,
    token: u64,
    /// When the write behind the present lease was sent; `None` for an adopted tenure.
    leased_at: Option<Instant>,
    contested: bool,
    vacate: bool,
}

impl Tenure {
    /// Whether `row` shows that somebody else holds the seat, or nobody.
    fn is_ended_by(&self, row: &SeatRow) -> bool {
        let same = self.token == row.token;
        (same && row.released) || (!same && self.epoch <= row.epoch)
    }
}

#[derive(Debug, Clone)]
struct PendingWrite {
    sent: Instant,
    expect: u64,
    row: SeatRow,
    contested: bool,
}

/// A seat as it is granted to the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldSeatView {
    /// The seat.
    pub index: u16,
    /// Its epoch.
    pub epoch: u64,
    /// Time left of the lease.
    pub remaining: Duration,
    /// Whether a former holder may still have work on its slots.
    pub contested: bool,
    /// Whether it is to be emptied.
    pub vacate: bool,
}

/// Keeps this instance's seats.
#[derive(Debug)]
pub struct SeatKeeper {
    settings: SeatSettings,
    node: Option<NodeId>,
    rows: BTreeMap<u16, ObservedRow>,
    rows_known: bool,
    held: BTreeMap<u16, Tenure>,
    pending: BTreeMap<u16, PendingWrite>,
    listed: Option<(Instant, BTreeSet<InstanceId>)>,
    live: BTreeSet<InstanceId>,
    heard: HashMap<InstanceId, Instant>,
    stopping: bool,
    fair_since: Option<(usize, Instant)>,
    next_token: u64,
}

impl SeatKeeper {
    /// A keeper without seats; `token_seed` must differ between runs.
    pub fn new(settings: SeatSettings, token_seed: u64) -> Self {
        Self {
            settings,
            node: None,
            rows: BTreeMap::new(),
            rows_known: false,
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            listed: None,
            live: BTreeSet::new(),
            heard: HashMap::new(),
            stopping: false,
            fair_since: None,
            next_token: token_seed,
        }
    }

    /// Takes over a changed lease. The number of seats of a region never changes.
    pub fn set_lease(&mut self, lease: Duration) {
        self.settings.lease = lease;
    }

    /// Whether the table's rows have been read and every seat that was taken up from a
    /// former lh-steer has been renewed, so that seats and leases are known.
    pub fn is_informed(&self) -> bool {
        let renewed = self.held.values().all(|tenure| tenure.leased_at.is_some());
        self.rows_known && renewed
    }

    /// The seats held, for the entry.
    pub fn held(&self, now: Instant) -> Vec<HeldSeatView> {
        let lease = self.settings.lease;
        let remaining = |tenure: &Tenure| {
            tenure.leased_at.map_or(Duration::ZERO, |at| {
                (at + lease).saturating_duration_since(now)
            })
        };
        self.held
            .iter()
            .map(|(index, tenure)| HeldSeatView {
                index: *index,
                epoch: tenure.epoch,
                remaining: remaining(tenure),
                contested: tenure.contested,
                vacate: tenure.vacate,
            })
            .collect()
    }

    /// Handles one event and appends the writes that are wanted.
    pub fn on_event(&mut self, now: Instant, event: &SeatEvent, actions: &mut Vec<SeatAction>) {
        match event {
            SeatEvent::Entry {
                node,
                seats,
                vacated,
                stopping,
            } => {
                self.stopping = *stopping;
                self.on_entry(node, seats);
                self.release(now, vacated, actions);
            }
            SeatEvent::Rows(rows) => self.on_rows(now, rows),
            SeatEvent::Written { index } => self.on_written(now, *index),
            SeatEvent::NotWritten { index, certain } => {
                if *certain {
                    self.pending.remove(index);
                }
            }
            SeatEvent::Listed(listed) => self.listed = Some((now, listed.clone())),
            SeatEvent::Live(live) => self.live.clone_from(live),
            SeatEvent::Heard(instance) => {
                self.heard.insert(instance.clone(), now);
            }
            SeatEvent::Tick => self.tick(now, actions),
        }
    }

    fn on_entry(&mut self, node: &NodeId, seats: &[(u16, u64)]) {
        if self.node.as_ref() != Some(node) {
            // Another run of the entry: what the former run held has to be taken anew.
            self.node = Some(node.clone());
            self.held.clear();
            self.pending.clear();
        }
        for (index, epoch) in seats {
            if self.held.contains_key(index) {
                continue;
            }
            self.adopt(node, *index, *epoch);
        }
    }

    /// Takes up a tenure that a former lh-steer of this entry began.
    fn adopt(&mut self, node: &NodeId, index: u16, epoch: u64) {
        let Some(observed) = self.rows.get(&index) else {
            return;
        };
        let row = &observed.row;
        if row.holder != *node || row.epoch != epoch || row.released {
            return;
        }
        self.held.insert(
            index,
            Tenure {
                epoch,
                token: row.token,
                leased_at: None,
                contested: false,
                vacate: false,
            },
        );
    }

    fn on_rows(&mut self, now: Instant, rows: &[(u16, u64, SeatRow)]) {
        self.rows_known = true;
        let present: BTreeSet<u16> = rows.iter().map(|(index, _, _)| *index).collect();
        self.rows.retain(|index, _| present.contains(index));
        for (index, revision, row) in rows {
            let same = self
                .rows
                .get(index)
                .is_some_and(|known| known.revision == *revision);
            if !same {
                let observed = ObservedRow {
                    revision: *revision,
                    row: row.clone(),
                    since: now,
                };
                self.rows.insert(*index, observed);
            }
            self.settle_pending(now, *index, *revision, row);
            let lost = self
                .held
                .get(index)
                .is_some_and(|tenure| tenure.is_ended_by(row));
            if lost {
                self.held.remove(index);
            }
        }
    }

    /// A write whose answer was lost has taken effect if the row is the one written, and
    /// never will if the row has moved past the revision that it expects.
    fn settle_pending(&mut self, now: Instant, index: u16, revision: u64, row: &SeatRow) {
        let Some(pending) = self.pending.get(&index) else {
            return;
        };
        if revision <= pending.expect {
            return;
        }
        if pending.row == *row {
            self.on_written(now, index);
        } else {
            self.pending.remove(&index);
        }
    }

    fn on_written(&mut self, now: Instant, index: u16) {
        let Some(pending) = self.pending.remove(&index) else {
            return;
        };
        // The row as it stands now, so that nothing is decided by the one before.
        let observed = ObservedRow {
            revision: pending.expect + 1,
            row: pending.row.clone(),
            since: now,
        };
        let newer = self
            .rows
            .get(&index)
            .is_none_or(|known| known.revision < observed.revision);
        if newer {
            self.rows.insert(index, observed);
        }
        if pending.row.released {
            self.held.remove(&index);
            return;
        }
        let vacate = self.held.get(&index).is_some_and(|tenure| tenure.vacate);
        self.held.insert(
            index,
            Tenure {
                epoch: pending.row.epoch,
                token: pending.row.token,
                leased_at: Some(pending.sent),
                contested: pending.contested,
                vacate,
            },
        );
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<SeatAction>) {
        let Some(node) = self.node.clone() else {
            return;
        };
        if !self.rows_known {
            return;
        }
        let lease = self.settings.lease;
        self.pending
            .retain(|_, pending| now.saturating_duration_since(pending.sent) < lease * 2);
        self.renew(now, &node, actions);
        let fair = if self.stopping {
            0
        } else {
            self.fair_count(&node.instance)
        };
        let steady = self.is_steady(now, fair);
        self.mark_vacate(fair, steady);
        if self.held.len() + self.claims_pending() < fair {
            self.claim(now, &node, actions);
        }
    }

    fn renew(&mut self, now: Instant, node: &NodeId, actions: &mut Vec<SeatAction>) {
        let due_after = self.settings.lease.mul_f64(RENEW_SHARE);
        for (index, tenure) in &self.held {
            let due = tenure
                .leased_at
                .is_none_or(|at| now.saturating_duration_since(at) >= due_after);
            let Some(observed) = self.rows.get(index) else {
                continue;
            };
            if !due || self.pending.contains_key(index) || observed.row.token != tenure.token {
                continue;
            }
            let row = SeatRow {
                holder: node.clone(),
                epoch: tenure.epoch,
                token: tenure.token,
                released: false,
            };
            self.pending.insert(
                *index,
                PendingWrite {
                    sent: now,
                    expect: observed.revision,
                    row: row.clone(),
                    contested: tenure.contested,
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

//! Seats under store faults: one holder at a time, taken over only when that is safe.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use base::prelude::*;
use standin::{FakePlatform, FaultPlan};
use steer::{SeatAction, SeatEvent, SeatGuard, SeatKeeper, SeatRow, SeatSettings};
use store::{Commit, Error, RowWrite, TableService};

const LEASE: Duration = Duration::from_secs(10);
const SEATS: u16 = 4;

/// A keeper with its guard and its view of the platform.
struct Holder {
    keeper: SeatKeeper,
    guard: SeatGuard,
    node: NodeId,
}

impl Holder {
    fn new(name: &str, run: u64) -> Self {
        let settings = SeatSettings {
            seats: SEATS,
            lease: LEASE,
        };
        Self {
            keeper: SeatKeeper::new(settings, run * 1000),
            guard: SeatGuard::new(),
            node: NodeId::new(&InstanceId::new(name), Incarnation(run)),
        }
    }

    fn event(&mut self, now: Instant, event: &SeatEvent) -> Vec<SeatAction> {
        let mut actions = Vec::new();
        self.keeper.on_event(now, event, &mut actions);
        actions
    }

    /// One round as lh-steer makes it: entry's ask, rows, list, tick, writes.
    async fn round(
        &mut self,
        now: Instant,
        platform: &FakePlatform,
        listed: &[&str],
        live: &[&str],
    ) {
        let held: Vec<(u16, u64)> = self.held(now).iter().map(|s| (s.0, s.1)).collect();
        let entry = SeatEvent::Entry {
            node: self.node.clone(),
            seats: held,
            vacated: self.vacating(now),
            stopping: false,
        };
        let mut writes = self.event(now, &entry);
        self.read(now, platform).await;
        self.event(now, &SeatEvent::Listed(names(listed)));
        self.event(now, &SeatEvent::Live(names(live)));
        writes.extend(self.event(now, &SeatEvent::Tick));
        for SeatAction::Write { index, expect, row } in writes {
            let value = serde_json::to_string(&row).unwrap();
            let write = RowWrite::new("seats", &format!("north.{index}"), expect, &value);
            let event = match platform.commit(&[write]).await {
                Ok(Commit::Done) => SeatEvent::Written { index },
                Ok(Commit::Conflict) | Err(Error::Unavailable(_)) => SeatEvent::NotWritten {
                    index,
                    certain: true,
                },
                Err(_) => SeatEvent::NotWritten {
                    index,
                    certain: false,
                },
            };
            self.event(now, &event);
        }
        let remaining = self
            .keeper
            .held(now)
            .iter()
            .map(|seat| seat.remaining)
            .min();
        match remaining {
            Some(remaining) => self.guard.on_lease(now, remaining),
            None if self.keeper.is_informed() => self.guard.on_lost(),
            None => {}
        }
    }

    async fn read(&mut self, now: Instant, platform: &FakePlatform) {
        let Ok(rows) = platform.list("seats", "north.").await else {
            return;
        };
        let rows = rows.into_iter().map(|wire| {
            let index = wire.key.strip_prefix("north.").unwrap().parse().unwrap();
            let row: SeatRow = serde_json::from_str(&wire.row.value).unwrap();
            (index, wire.row.revision, row)
        });
        let rows = SeatEvent::Rows(rows.collect());
        self.event(now, &rows);
    }

    fn held(&self, now: Instant) -> Vec<(u16, u64)> {
        let held = self.keeper.held(now);
        held.iter().map(|seat| (seat.index, seat.epoch)).collect()
    }

    fn vacating(&self, now: Instant) -> Vec<u16> {
        let held = self.keeper.held(now);
        held.iter()
            .filter(|seat| seat.vacate)
            .map(|seat| seat.index)
            .collect()
    }

    /// Seats that may be used at `now`.
    fn usable(&self, now: Instant) -> BTreeSet<u16> {
        if !self.guard.permits(now) {
            return BTreeSet::new();
        }
        self.held(now).into_iter().map(|(index, _)| index).collect()
    }
}

fn names(names: &[&str]) -> BTreeSet<InstanceId> {
    names.iter().map(InstanceId::new).collect()
}

fn assert_disjoint(holders: &[&Holder], now: Instant) {
    let mut all = BTreeSet::new();
    for holder in holders {
        for seat in holder.usable(now) {
            assert!(
                all.insert(seat),
                "seat {seat} is used twice: {:?}",
                holders
                    .iter()
                    .map(|h| h.keeper.held(now))
                    .collect::<Vec<_>>()
            );
        }
    }
}

const STEP: Duration = Duration::from_millis(500);

/// Two instances that have shared the seats for a while, and the time then.
async fn two_holders(platform: &FakePlatform) -> (Holder, Holder, Instant) {
    let (mut a, mut b) = (Holder::new("a", 1), Holder::new("b", 2));
    let mut now = Instant::now();
    for _ in 0..30 {
        now += STEP;
        for holder in [&mut a, &mut b] {
            holder.round(now, platform, &["a", "b"], &["a", "b"]).await;
        }
    }
    (a, b, now)
}

/// Promise: seats are spread over the live instances, and move without ever being held twice.
#[tokio::test]
async fn seats_spread_when_an_instance_joins() {
    let platform = FakePlatform::new();
    let (mut a, mut b) = (Holder::new("a", 1), Holder::new("b", 2));
    let mut now = Instant::now();
    for step in 0..80 {
        now += STEP;
        let live: &[&str] = if step < 20 { &["a"] } else { &["a", "b"] };
        a.round(now, &platform, &["a", "b"], live).await;
        if step >= 20 {
            b.round(now, &platform, &["a", "b"], live).await;
        }
        assert_disjoint(&[&a, &b], now);
    }
    assert_eq!(a.usable(now).len(), 2);
    assert_eq!(b.usable(now).len(), 2);
}

/// Promise: a dead holder's seats are taken over once it is gone from the list, unheard and lapsed.
#[tokio::test]
async fn seats_are_taken_over_after_a_death_and_not_before() {
    let platform = FakePlatform::new();
    let (mut a, mut b, mut now) = two_holders(&platform).await;
    assert_eq!(b.usable(now).len(), 2);
    // a freezes: no round any more, but the list still shows it for a minute.
    for _ in 0..120 {
        now += STEP;
        b.round(now, &platform, &["a", "b"], &["b"]).await;
        assert_eq!(
            b.usable(now).len(),
            2,
            "taken over although the list shows the holder"
        );
    }
    assert!(
        a.usable(now).is_empty(),
        "a frozen holder's lease must have ended"
    );
    for _ in 0..40 {
        now += STEP;
        b.round(now, &platform, &["b"], &["b"]).await;
        assert_disjoint(&[&a, &b], now);
    }
    assert_eq!(b.usable(now).len(), 4);
    assert!(
        b.keeper
            .held(now)
            .iter()
            .filter(|seat| seat.contested)
            .count()
            == 2
    );
    // a wakes and believes nothing of the past: it asks, and finds its seats gone.
    now += STEP;
    assert!(a.usable(now).is_empty());
    a.round(now, &platform, &["a", "b"], &["a", "b"]).await;
    assert_disjoint(&[&a, &b], now);
}

/// Promise: a holder that is heard isn't taken over, whatever list and leases say.
#[tokio::test]
async fn a_heard_holder_keeps_its_seats_when_the_list_drops_it() {
    let platform = FakePlatform::new();
    let (mut a, mut b, mut now) = two_holders(&platform).await;
    for _ in 0..80 {
        now += STEP;
        // a can't reach the table, but it and b hear each other.
        a.guard.on_peer(now);
        b.event(now, &SeatEvent::Heard(InstanceId::new("a")));
        // By its own view b is alone, so it would want every seat.
        b.round(now, &platform, &["b"], &["b"]).await;
        assert_eq!(a.usable(now).len(), 2, "a goes on");
        assert_disjoint(&[&a, &b], now);
    }
}

/// Promise: an outage of the table stops nobody who hears a peer, and lets nobody take over.
#[tokio::test]
async fn holders_go_on_through_an_outage_while_they_hear_peers() {
    let platform = FakePlatform::new();
    let (mut a, mut b, mut now) = two_holders(&platform).await;
    platform.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    for _ in 0..200 {
        now += STEP;
        a.guard.on_peer(now);
        b.guard.on_peer(now);
        a.round(now, &platform, &["a", "b"], &["a", "b"]).await;
        b.round(now, &platform, &["a", "b"], &["a", "b"]).await;
        assert_eq!((a.usable(now).len(), b.usable(now).len()), (2, 2));
    }
    // Now b hears nobody: it stops within the peer window, and a takes nothing over.
    for _ in 0..20 {
        now += STEP;
        a.guard.on_peer(now);
        a.round(now, &platform, &["a", "b"], &["a"]).await;
    }
    assert!(b.usable(now).is_empty());
    assert_eq!(a.usable(now).len(), 2);
}

/// Promise: a lost answer after the write took effect doesn't cost or double the seat.
#[tokio::test]
async fn lost_answers_are_settled_by_reading_back() {
    let platform = FakePlatform::new();
    let (mut a, mut b) = (Holder::new("a", 1), Holder::new("b", 2));
    let mut now = Instant::now();
    for step in 0..120 {
        now += STEP;
        platform.set_faults(FaultPlan {
            lose_answers: step % 3 != 0,
            ..FaultPlan::default()
        });
        a.round(now, &platform, &["a", "b"], &["a", "b"]).await;
        b.round(now, &platform, &["a", "b"], &["a", "b"]).await;
        assert_disjoint(&[&a, &b], now);
    }
    assert_eq!((a.usable(now).len(), b.usable(now).len()), (2, 2));
}

/// Promise: a new run of the same instance takes its former run's seats at once, as contested.
#[tokio::test]
async fn a_restarted_entry_takes_its_seats_back_as_contested() {
    let platform = FakePlatform::new();
    let mut a = Holder::new("a", 1);
    let mut now = Instant::now();
    for _ in 0..20 {
        now += STEP;
        a.round(now, &platform, &["a"], &["a"]).await;
    }
    let mut again = Holder::new("a", 2);
    for _ in 0..12 {
        now += STEP;
        again.round(now, &platform, &["a"], &["a"]).await;
    }
    assert_eq!(again.usable(now).len(), 4);
    assert!(again.keeper.held(now).iter().all(|seat| seat.contested));
}

/// Promise: a restarted lh-steer takes up what its entry holds, without a new epoch.
#[tokio::test]
async fn a_restarted_steer_adopts_the_seats_in_use() {
    let platform = FakePlatform::new();
    let mut a = Holder::new("a", 1);
    let mut now = Instant::now();
    for _ in 0..20 {
        now += STEP;
        a.round(now, &platform, &["a"], &["a"]).await;
    }
    let in_use = a.held(now);
    let mut fresh = Holder::new("a", 1);
    fresh.keeper = SeatKeeper::new(
        SeatSettings {
            seats: SEATS,
            lease: LEASE,
        },
        77,
    );
    fresh.read(now, &platform).await;
    let entry = SeatEvent::Entry {
        node: fresh.node.clone(),
        seats: in_use.clone(),
        vacated: Vec::new(),
        stopping: false,
    };
    fresh.event(now, &entry);
    assert_eq!(fresh.held(now), in_use);
    for _ in 0..4 {
        now += STEP;
        fresh.round(now, &platform, &["a"], &["a"]).await;
    }
    assert_eq!(fresh.held(now), in_use);
    assert_eq!(fresh.usable(now).len(), 4);
}

/// The naive way, as a baseline: trusting the lease row alone doubles a seat after a pause.
#[test]
fn a_paused_holder_stops_where_a_naive_one_goes_on() {
    let now = Instant::now();
    let mut guard = SeatGuard::new();
    guard.on_lease(now, LEASE);
    let naive_believes = true;
    let woken = now + LEASE * 3;
    assert!(naive_believes && !guard.permits(woken));
    // A peer's message after the pause proves nothing about the time in between.
    guard.on_peer(woken);
    assert!(!guard.permits(woken));
    guard.on_lease(woken, LEASE);
    assert!(guard.permits(woken));
}

/// Promise: no seat is used past its own lease because another seat's lease is longer.
#[test]
fn the_shortest_lease_decides() {
    let now = Instant::now();
    let mut guard = SeatGuard::new();
    guard.on_lease(now, LEASE);
    // A seat came in whose lease ends sooner.
    guard.on_lease(now + STEP, LEASE / 2);
    assert!(guard.permits(now + LEASE / 2));
    assert!(!guard.permits(now + LEASE / 2 + STEP * 2));
}

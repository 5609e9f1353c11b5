//! Tests of what two entries make of the same registry: each of them reads the store or follows
//! the other, and must come to the same servers.

mod common;

use std::time::{Duration, Instant};

use common::{changes, domains, ms, position, reading, server};
use place::catalog::DroppedRow;
use place::fleet::log::{ReadScope, RegistryDelta, RegistryLog};
use place::fleet::registry::RegistryCopy;
use place::prelude::*;

const DRAIN: Duration = Duration::from_millis(3000);

/// An entry's copy of the registry.
struct Entry {
    catalog: ServerCatalog,
    log: RegistryLog,
}

impl Entry {
    fn new() -> Self {
        Self {
            catalog: ServerCatalog::new(domains()).with_drain(DRAIN),
            log: RegistryLog::default(),
        }
    }

    fn copy(&mut self) -> RegistryCopy<'_> {
        RegistryCopy::new(&mut self.catalog, &mut self.log)
    }

    fn read(&mut self, at: Instant, rows: &[ServerEntry], scope: ReadScope) {
        self.copy().apply_snapshot(at, &reading(at, rows), scope);
    }

    fn follow(&mut self, at: Instant, lead: &Self) {
        let delta = lead.log.since(self.log.version());
        self.copy().apply_delta(at, at, &delta);
    }

    fn fail_reads(&mut self, start: Instant, span: std::ops::Range<u64>) {
        for after in span.step_by(500) {
            self.catalog.on_read_failed(start + ms(after));
        }
    }

    fn is_open(&self, id: &str) -> bool {
        let mut open = self.catalog.open_servers("board");
        open.any(|(_, record)| record.entry.id == id)
    }

    fn serves_at(&self, id: &str, port: u16) -> bool {
        let mut open = self.catalog.open_servers("board");
        open.any(|(_, record)| record.entry.id == id && record.entry.address.port() == port)
    }
}

fn ready(id: &str, seq: u64) -> ServerEntry {
    let mut entry = server(id, "a1");
    (entry.started, entry.seq) = (Some(5), seq);
    entry
}

/// The scope of a read of changes at `at` that reports that the row of `entry` was dropped.
fn dropping(at: Instant, entry: &ServerEntry) -> ReadScope {
    let row = DroppedRow {
        last_entry: Some(entry.clone()),
        ..DroppedRow::new(&entry.id, reading(at, &[]).position)
    };
    ReadScope {
        dropped: vec![row],
        ..changes()
    }
}

/// A row that a lead keeps as missing after an outage, and that is listed again by the heartbeat
/// known before: the lead takes its server for gone, and its followers must learn so.
#[test]
fn heartbeat_relisted_in_grace_period_is_obsolete_to_followers() {
    let start = Instant::now();
    let (x, y) = (ready("x", 1), ready("y", 1));
    let (mut lead, mut follower) = (Entry::new(), Entry::new());
    lead.read(start, &[x.clone(), y.clone()], changes());
    follower.follow(start, &lead);
    lead.fail_reads(start, 500..5000);
    let back = start + ms(5000);
    lead.read(back, std::slice::from_ref(&y), dropping(back, &x));
    follower.follow(back, &lead);
    assert!(lead.is_open("x"), "its row may have lapsed");
    let late = back + ms(600);
    lead.read(late, &[x, y], changes());
    follower.follow(late, &lead);
    assert!(!lead.is_open("x"));
    assert!(!follower.is_open("x"), "the follower didn't learn of it");
    assert!(follower.is_open("y"));
}

/// An entry that knows that a listed row is obsolete must not agree with one that takes it for a
/// live server's. Once they exchange departures, they must.
#[test]
fn entries_that_know_of_a_departure_differ_from_others() {
    let start = Instant::now();
    let (x, y) = (ready("x", 1), ready("y", 1));
    let (mut knowing, mut other) = (Entry::new(), Entry::new());
    for entry in [&mut knowing, &mut other] {
        entry.read(start, &[x.clone(), y.clone()], changes());
    }
    let gone = start + ms(1000);
    knowing.read(gone, std::slice::from_ref(&y), dropping(gone, &x));
    let late = start + ms(2000);
    knowing.read(late, &[x.clone(), y.clone()], changes());
    // The store has dropped its history, so the other entry reads all rows.
    let whole = ReadScope {
        whole: true,
        ..changes()
    };
    other.read(late, &[x, y], whole);
    assert!(!knowing.is_open("x") && other.is_open("x"));
    assert_ne!(knowing.log.content(), other.log.content());
    let departures = knowing.log.departures();
    other.copy().apply_departures(late, &departures);
    assert!(!other.is_open("x"));
    assert_eq!(knowing.log.content(), other.log.content());
}

/// A copy from another entry may be the first that an entry learns of a store that came back from an
/// older copy. The rows that this store lacks until they are written again are live servers'.
#[test]
fn copy_of_restored_store_ends_no_live_server() {
    let start = Instant::now();
    let (x, y) = (ready("x", 1), ready("y", 1));
    let (mut lead, mut follower) = (Entry::new(), Entry::new());
    let both = [x, y.clone()];
    for entry in [&mut lead, &mut follower] {
        entry.read(start, &both, changes());
    }
    let restored = |at: Instant, rows: &[ServerEntry], version| {
        reading(at, rows).with_position(StorePosition::new(1, version))
    };
    let whole = || ReadScope {
        whole: true,
        ..changes()
    };
    let at = start + ms(1000);
    // This lead has just started, and knows only what the store lists now.
    let mut lead = Entry::new();
    let listed = restored(at, std::slice::from_ref(&y), 50);
    lead.copy().apply_snapshot(at, &listed, whole());
    let delta = lead.log.since(0);
    follower.copy().apply_delta(at, at, &delta);
    assert!(follower.is_open("x"), "after a copy");
    let at = start + ms(1300);
    let listed = restored(at, std::slice::from_ref(&y), 51);
    follower.copy().apply_snapshot(at, &listed, changes());
    assert!(follower.is_open("x"), "after a read");
    let at = start + ms(2500);
    follower
        .copy()
        .apply_snapshot(at, &restored(at, &both, 60), changes());
    assert!(follower.is_open("x"), "written again");
}

/// A lead that keeps a vanished row and takes over changes from an entry that lists it, as it was
/// read before, must not count it as listed: a read that starts from the listed rows would never
/// show that it is gone.
#[test]
fn row_kept_as_missing_stays_missing_over_a_copy() {
    let start = Instant::now();
    let (x, y) = (ready("x", 1), ready("y", 1));
    let both = [x.clone(), y.clone()];
    let (mut here, mut there) = (Entry::new(), Entry::new());
    for entry in [&mut here, &mut there] {
        entry.read(start, &both, changes());
    }
    here.fail_reads(start, 500..3000);
    let back = start + ms(3000);
    here.read(back, std::slice::from_ref(&y), dropping(back, &x));
    let z = ready("z", 1);
    let delta = RegistryDelta {
        version: here.log.version() + 1,
        entries: vec![z],
        ..RegistryDelta::default()
    };
    here.copy().apply_delta(back + ms(100), back, &delta);
    assert!(here.is_open("x"), "its row may have lapsed");
    let listed: Vec<&str> = here.log.entries().map(|entry| entry.id.as_str()).collect();
    assert_eq!(listed, ["y", "z"]);
}

/// A departure that another entry noticed must not close a server that has registered again since,
/// as after an outage of the store; nor one that proved to be alive, however often that is reported.
#[test]
fn departure_before_a_newer_registration_closes_no_server() {
    let start = Instant::now();
    let mut here = Entry::new();
    here.read(start, &[ready("x", 2)], changes());
    let earlier = place::departure::Departure::of(&ready("x", 1)).with_position(position(1));
    for after in [100, 200, 300] {
        let departures = std::slice::from_ref(&earlier);
        here.copy().apply_departures(start + ms(after), departures);
        assert!(here.is_open("x"));
        assert!(here.log.departures().is_empty());
    }
}

/// A server that restarts on a machine whose clock is behind states an earlier start than the run
/// that it replaces. It is taken in once its row has outlasted a late heartbeat of an earlier run,
/// by the lead and by its followers, whether the former run announced that it leaves or not.
#[test]
fn run_with_an_earlier_start_is_taken_in_by_all() {
    let start = Instant::now();
    for state in [EntryState::Ready, EntryState::Draining] {
        let (mut lead, mut follower) = (Entry::new(), Entry::new());
        let other = ready("other", 1);
        let former = ServerEntry {
            started: Some(9),
            state,
            ..ready("x", 40)
        };
        lead.read(start, &[former, other.clone()], changes());
        follower.follow(start, &lead);
        for after in (1000..9000).step_by(500) {
            let at = start + ms(after);
            let restarted = ServerEntry {
                address: "127.0.0.1:7".parse().unwrap(),
                ..ready("x", after / 500)
            };
            lead.read(at, &[restarted, other.clone()], changes());
            follower.follow(at, &lead);
            for entry in [&lead, &follower] {
                assert!(
                    after >= 6000 || !entry.serves_at("x", 7),
                    "after {after} ms"
                );
            }
        }
        for entry in [&lead, &follower] {
            assert!(entry.serves_at("x", 7), "{state:?}");
        }
        assert_eq!(lead.log.content(), follower.log.content());
        let mut newcomer = Entry::new();
        newcomer.follow(start + ms(9000), &lead);
        assert!(newcomer.serves_at("x", 7));
    }
}

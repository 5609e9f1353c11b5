//! Tests of servers that restart under the same id, and of rows that other writers put into the
//! registry.

mod common;

use std::collections::HashMap;
use std::time::Instant;

use common::{changes, domains, ms, placer, position, reading, request, route, server};
use place::catalog::CatalogChange;
use place::fleet::log::RegistryLog;
use place::placing::load::short_id;
use place::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that every run has the same result.
const SEED: u64 = 11;

fn run(id: &str, started: u64, seq: u64) -> ServerEntry {
    let mut entry = server(id, "a1");
    entry.started = Some(started);
    entry.seq = seq;
    entry
}

fn open(catalog: &ServerCatalog) -> Vec<String> {
    let servers = catalog.open_servers("board");
    let mut ids: Vec<String> = servers.map(|(_, record)| record.entry.id.clone()).collect();
    ids.sort();
    ids
}

/// A server that was leaving and restarts under its id must be used again, with its new address
/// and service, although its sequence numbers start over.
#[test]
fn new_run_of_leaving_server_is_used() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    let mut leaving = run("x", 1000, 40);
    leaving.state = EntryState::Draining;
    catalog.apply_snapshot(now, &reading(now, &[leaving]));
    assert!(open(&catalog).is_empty());
    let later = now + ms(1000);
    let mut fresh = run("x", 2000, 1);
    fresh.address = "127.0.0.1:10".parse().unwrap();
    fresh.slots = 6;
    let changes = catalog.apply_snapshot(later, &reading(later, std::slice::from_ref(&fresh)));
    assert_eq!(changes, [CatalogChange::Restarted("x".to_owned())]);
    let (_, record) = catalog.open_servers("board").next().unwrap();
    assert_eq!(record.entry, fresh);
    let last = later + ms(1000);
    let mut moved = run("x", 3000, 1);
    moved.service = "desk".to_owned();
    catalog.apply_snapshot(last, &reading(last, &[moved]));
    assert!(open(&catalog).is_empty());
    assert_eq!(catalog.open_servers("desk").count(), 1);
}

/// A late registration of an earlier run must change nothing, whatever its sequence number.
#[test]
fn late_registration_of_earlier_run_is_ignored() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    catalog.apply_snapshot(now, &reading(now, &[run("x", 2000, 1)]));
    let mut late = run("x", 1000, 99);
    late.state = EntryState::Draining;
    let changes = catalog.apply_snapshot(now + ms(10), &reading(now + ms(10), &[late]));
    assert!(changes.is_empty());
    assert_eq!(open(&catalog), ["x"]);
}

/// A new run caches no objects and has no requests or history. Reports about the earlier run
/// must not count for it.
#[test]
fn new_run_starts_without_history() {
    let now = Instant::now();
    let board = route("browse", "/");
    let mut placer = placer(now, &[run("x", 1000, 9)]);
    let former = placer.place(now, &request(&board, Some(7))).unwrap();
    placer.on_request(now, &board, Some(7), None);
    let own_report = placer.own_load(now);
    let mut fresh = run("x", 2000, 1);
    fresh.cold_remaining = ms(3000);
    placer
        .catalog
        .apply_snapshot(now + ms(5), &reading(now + ms(5), &[fresh]));
    let later = now + ms(10);
    // Another entry's load report, and an answer, both of the earlier run.
    placer.on_peer_load(later, 5, own_report);
    let report = ServerReport {
        running: 4,
        waiting: 9,
        slots: 4,
    };
    let outcome = ServerOutcome::Unreachable;
    placer.on_outcome(
        later,
        &former,
        &request(&board, Some(7)),
        outcome,
        Some(&report),
    );
    placer.own_load(later);
    let (_, record) = placer.catalog.open_servers("board").next().unwrap();
    assert_eq!(record.occupancy(later), 0.0);
    assert_eq!(record.in_flight, 0);
    assert!(!record.is_backing_off(later));
    assert!(record.is_cold(later));
    assert_ne!(
        short_id(record.hash),
        short_id(run("x", 1000, 9).run_hash())
    );
}

/// The cold rate of a new run must apply from its first request, including at an entry that
/// learns of the run from another entry.
#[test]
fn cold_rate_of_new_run_applies_at_followers() {
    let now = Instant::now();
    let mut log = RegistryLog::default();
    let mut known = 0;
    let mut placer = placer(now, &[]);
    let mut fresh = run("x", 2000, 1);
    fresh.cold_remaining = ms(3000);
    for (step, entry) in [run("x", 1000, 9), fresh].into_iter().enumerate() {
        let at = now + ms(1000 * (step as u64 + 1));
        log.apply_snapshot(
            &reading(at, &[entry]).with_position(position(step as u64 + 1)),
            changes(),
        );
        let delta = log.since(known);
        known = delta.version;
        placer.catalog.apply_delta(at + ms(300), at, &delta);
    }
    let board = route("browse", "/");
    let at = now + ms(2400);
    assert!(placer.place(at, &request(&board, Some(1))).is_ok());
    let refused = placer.place(at + ms(20), &request(&board, Some(1)));
    assert_eq!(refused.unwrap_err().reason, RefusalReason::Cold);
}

/// A row of another writer must take a server out of use only while it exists. The server's
/// next registration restores it, not cold, and other servers aren't affected. Followers must
/// see the same.
#[test]
fn foreign_row_disables_server_while_it_exists() {
    let now = Instant::now();
    let mut own = ServerCatalog::new(domains());
    let mut follower = ServerCatalog::new(domains());
    let mut log = RegistryLog::default();
    let mut known = 0;
    let (x, y) = (run("x", 1000, 5), run("y", 1000, 5));
    let steps = [
        (vec![x.clone(), y.clone()], vec![], vec!["x", "y"]),
        (vec![y.clone()], vec!["x".to_owned()], vec!["y"]),
        (vec![run("x", 1000, 6), y.clone()], vec![], vec!["x", "y"]),
    ];
    for (step, (entries, foreign, expected)) in steps.into_iter().enumerate() {
        let at = now + ms(1000 * step as u64);
        let snapshot = CatalogSnapshot {
            entries,
            foreign,
            started_at: at,
            position: StorePosition::new(0, step as u64 + 1),
        };
        own.apply_snapshot(at, &snapshot);
        log.apply_snapshot(&snapshot, changes());
        let delta = log.since(known);
        known = delta.version;
        follower.apply_delta(at, at, &delta);
        assert_eq!(open(&own), expected, "step {step}");
        assert_eq!(open(&follower), expected, "step {step}, follower");
    }
    let at = now + ms(2500);
    assert!(
        own.open_servers("board")
            .all(|(_, record)| !record.is_cold(at))
    );
}

/// A complete row that moves a run to another service, address or failure domain, or into an
/// unknown domain, must be treated as written by another process.
#[test]
fn row_that_moves_a_run_is_foreign() {
    let now = Instant::now();
    let mut moved = [run("x", 1000, 9), run("x", 1000, 9), run("x", 1000, 9)];
    moved[0].service = "desk".to_owned();
    moved[1].address = "127.0.0.1:10".parse().unwrap();
    moved[2].domain = "nowhere".to_owned();
    for entry in moved {
        let mut catalog = ServerCatalog::new(domains());
        catalog.apply_snapshot(now, &reading(now, &[run("x", 1000, 5)]));
        catalog.apply_snapshot(now + ms(1), &reading(now + ms(1), &[entry]));
        assert!(open(&catalog).is_empty());
        assert_eq!(catalog.open_servers("desk").count(), 0);
        catalog.apply_snapshot(now + ms(2), &reading(now + ms(2), &[run("x", 1000, 6)]));
        assert_eq!(open(&catalog), ["x"]);
    }
}

/// A run's announcement that it leaves must be accepted even if another writer raised its
/// sequence number before.
#[test]
fn drain_is_accepted_at_any_sequence_number() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    catalog.apply_snapshot(now, &reading(now, &[run("x", 1000, 900)]));
    let mut leaving = run("x", 1000, 6);
    leaving.state = EntryState::Draining;
    catalog.apply_snapshot(now + ms(1), &reading(now + ms(1), &[leaving]));
    assert!(open(&catalog).is_empty());
}

#[derive(Debug, Clone)]
struct AnyRow {
    id: usize,
    started: Option<u64>,
    seq: u64,
    leaving: bool,
    foreign: bool,
}

fn any_row() -> impl Strategy<Value = AnyRow> {
    let started = proptest::option::weighted(0.9, 0_u64..4);
    let flags = (prop::bool::weighted(0.2), prop::bool::weighted(0.15));
    (0_usize..3, started, 0_u64..6, flags).prop_map(|(id, started, seq, (leaving, foreign))| {
        AnyRow {
            id,
            started,
            seq,
            leaving,
            foreign,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any rows in any order: a leaving run never returns, a known run is never replaced by
    /// an earlier one, a server under a foreign row isn't used, and a server with unchanged
    /// rows never changes.
    #[test]
    fn any_rows_in_any_order_distinguish_runs(rows in prop::collection::vec(any_row(), 1..40)) {
        let now = Instant::now();
        let mut catalog = ServerCatalog::new(domains());
        let unchanged = run("calm", 1, 1);
        let mut newest: HashMap<String, Option<u64>> = HashMap::new();
        let mut left: Vec<(String, Option<u64>)> = Vec::new();
        for (step, row) in rows.iter().enumerate() {
            let id = format!("s{}", row.id);
            let mut entry = run(&id, 0, row.seq);
            entry.started = row.started;
            if row.leaving {
                entry.state = EntryState::Draining;
            }
            let mut snapshot = reading(now + ms(step as u64), std::slice::from_ref(&unchanged));
            if row.foreign {
                snapshot.foreign.push(id.clone());
            } else {
                snapshot.entries.push(entry);
            }
            // The rows of the other ids are read again as they are known.
            for record in catalog.iter() {
                if record.entry.id != id && record.entry.id != "calm" {
                    snapshot.entries.push(record.entry.clone());
                }
            }
            catalog.apply_snapshot(snapshot.started_at, &snapshot);
            if !row.foreign {
                let best = newest.entry(id.clone()).or_insert(row.started);
                *best = (*best).max(row.started);
                if row.leaving && row.started == *best {
                    left.push((id.clone(), row.started));
                }
            }
            for (_, record) in catalog.open_servers("board") {
                let key = (record.entry.id.clone(), record.entry.started);
                prop_assert!(!left.contains(&key), "a leaving run is used: {key:?}");
                prop_assert!(!(row.foreign && record.entry.id == id), "under a foreign row: {id}");
                if let Some(best) = newest.get(&record.entry.id) {
                    prop_assert_eq!(record.entry.started, *best, "an earlier run is used");
                }
            }
            let kept = catalog.iter().find(|record| record.entry.id == "calm");
            prop_assert_eq!(&kept.unwrap().entry, &unchanged);
        }
    }
}

//! Tests that a departed server isn't brought back by its own last registration, which the
//! reader of its departure may have missed.

mod common;

use std::time::{Duration, Instant};

use common::{changes, domains, ms, position, reading, server};
use place::catalog::DroppedRow;
use place::fleet::log::{ReadScope, RegistryLog};
use place::fleet::registry::RegistryCopy;
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;

const DRAIN: Duration = Duration::from_millis(3000);

fn ready(id: &str, seq: u64) -> ServerEntry {
    let mut entry = server(id, "a1");
    (entry.started, entry.seq) = (Some(5), seq);
    entry
}

fn is_open(catalog: &ServerCatalog, id: &str) -> bool {
    let mut servers = catalog.open_servers("board");
    servers.any(|(_, record)| record.entry.id == id)
}

/// What the feed of the store returns: the rows of the servers as last written, by version.
struct StoreFeed {
    rows: Vec<(u64, ServerEntry, bool)>,
}

impl StoreFeed {
    /// The reading of an entry with the rows `known` that asks for the changes after `version`,
    /// up to `until`.
    fn read(
        &self,
        known: &RegistryLog,
        version: u64,
        started_at: Instant,
    ) -> (CatalogSnapshot, ReadScope) {
        let mut snapshot = reading(started_at, &[]);
        snapshot.entries = known.entries().cloned().collect();
        let mut scope = changes();
        let until = snapshot.position.version();
        let changed = self.rows.iter();
        for (at, row, is_dropped) in changed.filter(|(at, ..)| (version + 1..=until).contains(at)) {
            let before = snapshot.entries.iter().position(|entry| entry.id == row.id);
            let last_entry = before.map(|index| snapshot.entries.remove(index));
            if *is_dropped {
                let dropped = DroppedRow::new(&row.id, position(*at));
                scope.dropped.push(DroppedRow {
                    last_entry,
                    ..dropped
                });
            } else {
                snapshot.entries.push(row.clone());
            }
        }
        (snapshot, scope)
    }
}

/// An entry whose copy was confirmed by content must learn the sequence numbers of rows that
/// were written anew meanwhile when it reads the store itself: otherwise the last heartbeat of a
/// server, applied late, is news to it.
#[test]
fn late_heartbeat_does_not_restore_server_to_entry_confirmed_by_content() {
    let start = Instant::now();
    let both = [ready("x", 1), ready("y", 1)];
    let first = reading(start, &both);
    let (mut reader, mut deputy) = (RegistryLog::default(), RegistryLog::default());
    let mut catalog = ServerCatalog::new(domains()).with_drain(DRAIN);
    reader.apply_snapshot(&first, changes());
    deputy.apply_snapshot(&first, changes());
    catalog.apply_snapshot(start, &first);
    let progress = |log: &RegistryLog, read: u64, at: Instant| StoreProgress {
        registry: log.version(),
        content: log.content(),
        registry_read: position(read),
        registry_listed: position(read),
        registry_at: Some(at),
        ..StoreProgress::default()
    };
    let mut known = progress(&deputy, first.position.version(), start);
    let written = reading(start + ms(1000), &[ready("x", 2), ready("y", 1)]);
    reader.apply_snapshot(&written, changes());
    let confirmed = progress(&reader, written.position.version(), start + ms(1000));
    assert!(known.confirm(&confirmed));
    assert_eq!(known.registry_at, Some(start + ms(1000)));
    let feed = StoreFeed {
        rows: vec![
            (written.position.version(), ready("x", 2), false),
            (written.position.version() + 1000, ready("x", 2), true),
            (written.position.version() + 2000, ready("x", 2), false),
        ],
    };
    let mut version = known.registry_listed.version();
    for at in [1500, 2500, 3500] {
        let at = start + ms(at);
        let (snapshot, scope) = feed.read(&deputy, version, at);
        catalog.note_dropped_rows(at, &scope.dropped);
        catalog.apply_snapshot(at, &snapshot);
        deputy.apply_snapshot(&snapshot, scope);
        version = snapshot.position.version();
    }
    assert!(!is_open(&catalog, "x"));
    assert!(is_open(&catalog, "y"));
}

/// A server whose row was written anew and dropped between two reads may be listed again by
/// that registration, applied late: it must not be taken in before the row has outlasted a late
/// one. Entries that receive the departure from the reader must wait as well.
#[test]
fn late_heartbeat_that_no_reader_saw_does_not_restore_departed_server() {
    // The span between the two reads, and whether the row stays.
    let cases = [
        ("late registration", 2000, 4500, false),
        ("live server", 2000, 20_000, true),
    ];
    for (what, span, listed_ms, is_live) in cases {
        let start = Instant::now();
        let gone_at = start + ms(span);
        let catalog = || ServerCatalog::new(domains()).with_drain(DRAIN);
        let (mut lead, mut log, mut follower) = (catalog(), RegistryLog::default(), catalog());
        let other = ready("y", 1);
        let mut read = |lead: &mut ServerCatalog,
                        follower: &mut ServerCatalog,
                        at,
                        rows: &[ServerEntry],
                        dropped: &[DroppedRow]| {
            let snapshot = reading(at, rows);
            let scope = ReadScope {
                dropped: dropped.to_vec(),
                ..changes()
            };
            let before = log.version();
            RegistryCopy::new(lead, &mut log).apply_snapshot(at, &snapshot, scope);
            if log.version() > before {
                follower.apply_delta(at, at, &log.since(before));
            } else {
                follower.confirm(at);
                follower.admit_relisted(at, at);
            }
        };
        read(
            &mut lead,
            &mut follower,
            start,
            &[ready("x", 1), other.clone()],
            &[],
        );
        let row = DroppedRow {
            last_entry: Some(ready("x", 1)),
            ..DroppedRow::new("x", reading(gone_at, &[]).position)
        };
        read(
            &mut lead,
            &mut follower,
            gone_at,
            std::slice::from_ref(&other),
            &[row],
        );
        let rows = [ready("x", 2), other.clone()];
        for after in (1000..listed_ms).step_by(500) {
            let at = gone_at + ms(after);
            read(&mut lead, &mut follower, at, &rows, &[]);
            if after < 6000 {
                assert!(!is_open(&lead, "x"), "{what}, after {after} ms");
                assert!(
                    !is_open(&follower, "x"),
                    "follower: {what}, after {after} ms"
                );
            }
        }
        if !is_live {
            let at = gone_at + ms(listed_ms);
            let dropped = DroppedRow::new("x", reading(at, &[]).position);
            read(
                &mut lead,
                &mut follower,
                at,
                std::slice::from_ref(&other),
                &[dropped],
            );
        }
        for after in (listed_ms + 500..listed_ms + 9000).step_by(500) {
            let rows = if is_live { &rows[..] } else { &rows[1..] };
            read(&mut lead, &mut follower, gone_at + ms(after), rows, &[]);
        }
        assert_eq!(is_open(&lead, "x"), is_live, "{what}");
        assert_eq!(is_open(&follower, "x"), is_live, "follower: {what}");
        assert!(is_open(&lead, "y") && is_open(&follower, "y"), "{what}");
    }
}

/// A copy of the registry that was encoded before a row was written anew must not be sent on
/// afterwards: whoever tells such copies apart must see the difference.
#[test]
fn log_with_newer_registrations_differs() {
    let start = Instant::now();
    let mut log = RegistryLog::default();
    let mut states = Vec::new();
    for (at, seq) in [(0, 1), (1000, 1), (2000, 2), (3000, 3)] {
        log.apply_snapshot(&reading(start + ms(at), &[ready("x", seq)]), changes());
        states.push(((log.version(), log.content(), log.rewrites()), log.since(0)));
    }
    for pair in states.windows(2) {
        assert_eq!(pair[0].0 == pair[1].0, pair[0].1 == pair[1].1);
    }
    let versions: Vec<u64> = states.iter().map(|(state, _)| state.0).collect();
    assert!(versions.iter().all(|version| *version == versions[0]));
}

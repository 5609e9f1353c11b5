//! Tests of the registry log, by which an entry follows another entry's reads of the registry.

mod common;

use std::collections::BTreeSet;
use std::time::Instant;

use common::{changes, domains, ms, position, reading, server};
use place::catalog::DroppedRow;
use place::fleet::log::{ReadScope, RegistryLog, log_version};
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that every run has the same result.
const SEED: u64 = 7;

/// Heartbeats and the elapsing of a known warm-up time must cause no traffic to followers. The
/// end of the warm-up is sent.
#[test]
fn heartbeats_are_not_forwarded() {
    let now = Instant::now();
    let mut log = RegistryLog::default();
    let mut cold = server("x", "a1");
    cold.cold_remaining = ms(3000);
    log.apply_snapshot(
        &reading(now, &[cold.clone()]).with_position(position(1)),
        changes(),
    );
    cold.seq = 9;
    cold.cold_remaining = ms(1500);
    log.apply_snapshot(
        &reading(now, &[cold.clone()]).with_position(position(2)),
        changes(),
    );
    assert_eq!(log.version(), log_version(position(1)));
    cold.cold_remaining = ms(0);
    log.apply_snapshot(&reading(now, &[cold]).with_position(position(3)), changes());
    assert_eq!(log.since(log_version(position(1))).entries.len(), 1);
}

/// Followers must keep a server whose row disappeared during trouble with the registry until
/// their reader gives it up, including a follower that then reads the registry itself.
#[test]
fn followers_keep_servers_that_their_reader_keeps() {
    let now = Instant::now();
    let (mut reader, mut follower) = (RegistryLog::default(), RegistryLog::default());
    let mut catalog = ServerCatalog::new(domains());
    let both = [server("x", "a1"), server("y", "a1")];
    reader.apply_snapshot(&reading(now, &both).with_position(position(1)), changes());
    let kept = ReadScope {
        dropped: vec![DroppedRow::new("y", position(2))],
        missing: vec!["y".to_owned()],
        ..changes()
    };
    reader.apply_snapshot(&reading(now, &both[..1]).with_position(position(2)), kept);
    let delta = reader.since(0);
    follower.apply_delta(&delta);
    catalog.apply_delta(now, now, &delta);
    assert_eq!(catalog.iter().count(), 2);
    // A read of its own would start from these entries, without the row of the missing server.
    assert_eq!(follower.entries().count(), 1);
    reader.apply_snapshot(
        &reading(now, &both[..1]).with_position(position(3)),
        changes(),
    );
    let delta = reader.since(follower.version());
    catalog.apply_delta(now, now, &delta);
    assert_eq!(catalog.iter().count(), 1);
}

/// A log ahead of the store, as after a corrupted message, must be rebuilt by the next read.
#[test]
fn log_ahead_of_store_is_rebuilt() {
    let now = Instant::now();
    let mut log = RegistryLog::default();
    log.apply_snapshot(
        &reading(now, &[server("x", "a1")]).with_position(position(u64::MAX - 3)),
        changes(),
    );
    log.apply_snapshot(
        &reading(now, &[server("y", "a1")]).with_position(position(40)),
        changes(),
    );
    assert_eq!(log.version(), log_version(position(40)));
    let delta = log.since(0);
    assert!(delta.whole && delta.entries.len() == 1 && delta.departures.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A follower must always end up with the knowledge of the entry that it asked, whether
    /// that is one of two readers or another follower. Servers come, change and go at random,
    /// and answers get lost. This includes the departure of servers that the follower never
    /// saw.
    #[test]
    fn a_follower_catches_up(steps in prop::collection::vec((0u8..40, 0u8..4, any::<bool>()), 1..300)) {
        let now = Instant::now();
        let mut readers = [RegistryLog::default(), RegistryLog::default()];
        let mut relay = RegistryLog::default();
        let mut follower = RegistryLog::default();
        let mut catalog = ServerCatalog::new(domains());
        let mut present: BTreeSet<u8> = BTreeSet::new();
        let mut leaving: BTreeSet<u8> = BTreeSet::new();
        // Rows dropped since each reader's last read; `None` before the first read and after
        // the store's history was lost.
        let mut dropped: [Option<Vec<DroppedRow>>; 2] = [None, None];
        for (version, (number, source_choice, is_second)) in (1..).zip(steps) {
            if !present.insert(number) && !leaving.insert(number) {
                present.remove(&number);
                leaving.remove(&number);
                for dropped in dropped.iter_mut().flatten() {
                    dropped.push(DroppedRow::new(&format!("s{number}"), position(version)));
                }
            }
            if number == 39 {
                dropped = [None, None];
            }
            let entries: Vec<ServerEntry> = present
                .iter()
                .map(|number| {
                    let mut entry = server(&format!("s{number}"), "a1");
                    // A run that left is followed by another run of the same server.
                    entry.started = Some(version);
                    if leaving.contains(number) {
                        entry.state = EntryState::Draining;
                    }
                    entry
                })
                .collect();
            let reader = &mut readers[usize::from(is_second)];
            let since = dropped[usize::from(is_second)].replace(Vec::new());
            let scope = ReadScope {
                whole: since.is_none(),
                dropped: since.unwrap_or_default(),
                ..changes()
            };
            reader.apply_snapshot(&reading(now, &entries).with_position(position(version)), scope);
            let source = match source_choice {
                0 => continue,
                1 => {
                    relay.apply_delta(&reader.since(relay.version()));
                    &relay
                }
                _ => &*reader,
            };
            let delta = source.since(follower.version());
            follower.apply_delta(&delta);
            catalog.apply_delta(now, now, &delta);
            let known: BTreeSet<String> = follower.entries().map(|entry| entry.id.clone()).collect();
            let expected: BTreeSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
            prop_assert_eq!(&known, &expected);
            let listed: BTreeSet<String> = catalog.iter().map(|record| record.entry.id.clone()).collect();
            prop_assert_eq!(&listed, &expected);
        }
    }
}

/// The progress of an entry with this log that has read the store as of the version `read`.
fn known_of(log: &RegistryLog, read: u64, at: Instant) -> StoreProgress {
    StoreProgress {
        registry: log.version(),
        content: log.content(),
        registry_read: position(read),
        registry_at: Some(at),
        ..StoreProgress::default()
    }
}

/// Two entries that each made a local change at the same version of the store must not treat
/// their knowledge as equal.
#[test]
fn local_changes_at_same_version_are_distinguished() {
    let now = Instant::now();
    let (mut here, mut there) = (RegistryLog::default(), RegistryLog::default());
    let both = [server("x", "a1"), server("y", "a1")];
    let kept = ReadScope {
        missing: vec!["y".to_owned()],
        ..changes()
    };
    here.apply_snapshot(
        &reading(now, &both[..1]).with_position(position(100)),
        kept.clone(),
    );
    there.apply_snapshot(&reading(now, &both[..1]).with_position(position(100)), kept);
    // Here a row of another writer appears; there a missing server is given up.
    let mut with_foreign_row = reading(now, &both[..1]);
    with_foreign_row.foreign.push("z".to_owned());
    let kept = ReadScope {
        missing: vec!["y".to_owned()],
        ..changes()
    };
    here.apply_snapshot(&with_foreign_row.with_position(position(100)), kept);
    there.apply_snapshot(
        &reading(now, &both[..1]).with_position(position(100)),
        changes(),
    );
    let mut known = known_of(&here, 100, now);
    let received = known_of(&there, 100, now + ms(20));
    assert!(
        !known.confirm(&received),
        "knowledge was confirmed that this entry lacks"
    );
}

/// An entry must not skip a change that another entry read because its own log advanced by a
/// local change in the meantime.
#[test]
fn local_change_does_not_hide_remote_change() {
    let now = Instant::now();
    let (mut here, mut there) = (RegistryLog::default(), RegistryLog::default());
    let both = [server("x", "a1"), server("y", "a1")];
    here.apply_snapshot(&reading(now, &both).with_position(position(100)), changes());
    there.apply_snapshot(&reading(now, &both).with_position(position(100)), changes());
    // A row of another writer appears only here; the store's version is the same.
    let mut with_foreign_row = reading(now, &both);
    with_foreign_row.foreign.push("z".to_owned());
    here.apply_snapshot(&with_foreign_row.with_position(position(100)), changes());
    let mut known = StoreProgress {
        registry: here.version(),
        registry_read: position(100),
        registry_at: Some(now),
        ..StoreProgress::default()
    };
    // The other entry reads that a server is leaving.
    let mut leaving = both.clone();
    leaving[0].state = EntryState::Draining;
    there.apply_snapshot(
        &reading(now + ms(10), &leaving).with_position(position(101)),
        changes(),
    );
    there.apply_snapshot(
        &reading(now + ms(20), &leaving).with_position(position(102)),
        changes(),
    );
    let received = StoreProgress {
        registry: there.version(),
        registry_read: position(102),
        registry_at: Some(now + ms(20)),
        ..StoreProgress::default()
    };
    assert!(known.is_behind_registry(&received));
    assert!(!known.confirm(&received));
    assert_eq!(
        known.registry_read,
        position(100),
        "the next read would skip the missed change"
    );
}

/// A row that was written anew with the same content, after it had lapsed, and dropped later: an
/// entry that followed meanwhile and then reads the drop itself must know the row's last sequence
/// number. Otherwise the server's last heartbeat, applied late, brings it back.
#[test]
fn late_heartbeat_restores_server_whose_rewritten_row_was_not_sent() {
    let now = Instant::now();
    let row = |seq| ServerEntry {
        seq,
        ..server("x", "a1")
    };
    let other = server("y", "a1");
    let (mut reader, mut follower) = (RegistryLog::default(), RegistryLog::default());
    let mut catalog = ServerCatalog::new(domains());
    let mut follow = |reader: &RegistryLog, catalog: &mut ServerCatalog| {
        let delta = reader.since(follower.version());
        follower.apply_delta(&delta);
        catalog.apply_delta(now, now, &delta);
    };
    reader.apply_snapshot(
        &reading(now, &[row(2)]).with_position(position(1)),
        changes(),
    );
    follow(&reader, &mut catalog);
    reader.apply_snapshot(
        &reading(now, &[row(3)]).with_position(position(2)),
        changes(),
    );
    reader.apply_snapshot(
        &reading(now, &[row(3), other.clone()]).with_position(position(3)),
        changes(),
    );
    follow(&reader, &mut catalog);
    assert_eq!(catalog.entry("x").map(|entry| entry.seq), Some(3));
    catalog.note_dropped_rows(now, &[DroppedRow::new("x", position(4))]);
    catalog.apply_snapshot(
        now,
        &reading(now, std::slice::from_ref(&other)).with_position(position(4)),
    );
    catalog.apply_snapshot(
        now,
        &reading(now, &[row(3), other]).with_position(position(5)),
    );
    assert!(catalog.entry("x").is_none());
}

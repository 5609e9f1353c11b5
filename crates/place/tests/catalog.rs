//! Tests of which servers may get requests, given what the registry lists and how old that is.

mod common;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use common::{domains, ms, position, reading, server};
use place::fleet::log::{RegistryDelta, log_version};
use place::prelude::*;

fn open(catalog: &ServerCatalog) -> Vec<String> {
    let mut ids: Vec<String> = catalog
        .open_servers("board")
        .map(|(_, record)| record.entry.id.clone())
        .collect();
    ids.sort();
    ids
}

/// A draining server, or one that was removed while the registry works, gets no new requests.
#[test]
fn draining_and_removed_servers_get_no_requests() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    catalog.apply_snapshot(
        now,
        &reading(
            now,
            &[server("x", "a1"), server("y", "a1"), server("z", "a1")],
        ),
    );
    let mut leaving = server("y", "a1");
    leaving.state = EntryState::Draining;
    leaving.seq = 2;
    let later = now + ms(1000);
    catalog.apply_snapshot(later, &reading(later, &[server("x", "a1"), leaving]));
    assert_eq!(open(&catalog), ["x"]);
}

/// A heartbeat written before the server started draining, and read after it, does not make the
/// server ready again.
#[test]
fn old_heartbeat_does_not_restore_draining_server() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    let mut leaving = server("x", "a1");
    leaving.state = EntryState::Draining;
    leaving.seq = 5;
    catalog.apply_snapshot(now, &reading(now, &[leaving]));
    for seq in [4, 6] {
        let mut ready = server("x", "a1");
        ready.seq = seq;
        let later = now + ms(500 * seq);
        catalog.apply_snapshot(later, &reading(later, &[ready]));
        assert!(open(&catalog).is_empty(), "seq {seq}");
    }
}

/// Servers whose rows lapsed during a registry outage stay in use until the registry has been
/// back for two seconds. Those that are still missing then are removed.
#[test]
fn lapsed_servers_are_kept_until_grace_period_ends() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    catalog.apply_snapshot(now, &reading(now, &[server("x", "a1"), server("y", "a1")]));
    catalog.on_read_failed(now + ms(100));
    let back = now + Duration::from_secs(5);
    catalog.apply_snapshot(back, &reading(back, &[]));
    assert_eq!(
        open(&catalog),
        ["x", "y"],
        "servers with lapsed rows must be kept"
    );
    let soon = back + ms(1500);
    catalog.apply_snapshot(soon, &reading(soon, &[server("x", "a1")]));
    assert_eq!(open(&catalog), ["x", "y"]);
    let settled = back + ms(2300);
    catalog.apply_snapshot(settled, &reading(settled, &[server("x", "a1")]));
    assert_eq!(
        open(&catalog),
        ["x"],
        "a server that is still missing must be removed"
    );
}

/// An outage that only this entry saw ends when another entry reports a snapshot: a
/// server that leaves later is removed at once. Rows that disappeared during the outage are
/// still kept for two seconds.
#[test]
fn snapshot_of_another_entry_ends_outage() {
    let now = Instant::now();
    let both = [server("x", "a1"), server("y", "a1")];
    for (after, expected) in [(500, &["x", "y"][..]), (9000, &["x"])] {
        let mut catalog = ServerCatalog::new(domains());
        catalog.apply_snapshot(now, &reading(now, &both));
        catalog.on_read_failed(now + ms(1000));
        catalog.confirm(now + ms(1200));
        let later = now + ms(1200 + after);
        catalog.apply_snapshot(later, &reading(later, &both[..1]));
        assert_eq!(open(&catalog), expected, "{after} ms after");
    }
}

/// A snapshot that began before the newest one is ignored.
#[test]
fn older_snapshot_is_ignored() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    catalog.apply_snapshot(now + ms(10), &reading(now + ms(10), &[server("x", "a1")]));
    catalog.apply_snapshot(now + ms(20), &reading(now, &[]));
    assert_eq!(open(&catalog), ["x"]);
}

/// A placement stays valid until its server drains, is removed, restarts, or is closed by a
/// foreign row or an evacuation. A server that other requests could not reach stays valid.
#[test]
fn placement_is_valid_until_server_is_closed() {
    let now = Instant::now();
    let later = now + ms(100);
    let ready = server("x", "a1");
    let row = |change: fn(&mut ServerEntry)| {
        let mut row = server("x", "a1");
        row.seq = 2;
        change(&mut row);
        reading(later, &[row])
    };
    let mut foreign = reading(later, &[]);
    foreign.foreign.push("x".to_owned());
    let cases = [
        ("heartbeat", row(|_| {}), true),
        ("leaves", row(|row| row.state = EntryState::Draining), false),
        ("starts again", row(|row| row.started = Some(9)), false),
        ("is gone", reading(later, &[]), false),
        ("foreign row", foreign, false),
    ];
    for (what, snapshot, stands) in cases {
        let mut catalog = ServerCatalog::new(domains());
        catalog.apply_snapshot(now, &reading(now, std::slice::from_ref(&ready)));
        let (handle, _) = catalog.open_servers("board").next().unwrap();
        catalog.get_mut(handle).unwrap().on_unreachable(now);
        assert!(catalog.may_send(handle), "{what}");
        catalog.apply_snapshot(later, &snapshot);
        assert_eq!(catalog.may_send(handle), stands, "{what}");
        catalog.set_evacuated(later, HashSet::from(["a1".to_owned()]), ms(3000));
        assert!(!catalog.may_send(handle), "{what}, evacuated");
    }
}

/// A version that the store never had, such as from a damaged message, does not block later
/// snapshots.
#[test]
fn version_ahead_of_store_does_not_block_snapshots() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    let both = [server("x", "a1"), server("y", "a1")];
    let first = reading(now, &both);
    let delta = RegistryDelta {
        version: log_version(position(first.position.version() + 700)),
        whole: true,
        entries: both.to_vec(),
        ..RegistryDelta::default()
    };
    catalog.apply_delta(now + ms(10), now, &delta);
    catalog.apply_snapshot(now + ms(30), &reading(now + ms(20), &both[..1]));
    assert_eq!(open(&catalog), ["x"]);
}

/// The answer to a long poll counts, although another entry's read began and ended during
/// the poll.
#[test]
fn long_poll_answer_counts_by_its_version() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    let both = [server("x", "a1"), server("y", "a1")];
    catalog.apply_snapshot(now, &reading(now, &both));
    let started_at = now + ms(100);
    catalog.confirm(now + ms(400));
    let mut leaving = both.clone();
    leaving[1].state = EntryState::Draining;
    leaving[1].seq = 2;
    catalog.apply_snapshot(now + ms(600), &reading(started_at, &leaving));
    assert_eq!(open(&catalog), ["x"]);
}

/// An evacuated failure domain gets no requests. When the evacuation ends, its servers count as
/// cold for the warm-up time.
#[test]
fn evacuated_domain_gets_no_requests_and_returns_cold() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    catalog.apply_snapshot(now, &reading(now, &[server("x", "a1"), server("y", "a2")]));
    catalog.set_evacuated(now, HashSet::from(["a1".to_owned()]), ms(3000));
    assert_eq!(open(&catalog), ["y"]);
    let back = now + Duration::from_secs(9);
    catalog.set_evacuated(back, HashSet::new(), ms(3000));
    assert_eq!(open(&catalog), ["x", "y"]);
    let cold = |at: Instant| -> Vec<bool> {
        let mut records: Vec<_> = catalog.open_servers("board").collect();
        records.sort_by(|left, right| left.1.entry.id.cmp(&right.1.entry.id));
        records
            .iter()
            .map(|(_, record)| record.is_cold(at))
            .collect()
    };
    assert_eq!(cold(back + ms(2900)), [true, false]);
    assert_eq!(cold(back + ms(3100)), [false, false]);
}

/// A handle of a removed server never refers to its successor, even if that one uses the same
/// record index.
#[test]
fn a_handle_is_invalid_after_its_server_is_gone() {
    let now = Instant::now();
    let mut catalog = ServerCatalog::new(domains());
    catalog.apply_snapshot(now, &reading(now, &[server("x", "a1")]));
    let (handle, _) = catalog.open_servers("board").next().unwrap();
    let later = now + ms(1000);
    catalog.apply_snapshot(later, &reading(later, &[server("y", "a1")]));
    assert!(catalog.get(handle).is_none());
}

//! A store that came back from an older copy must not make entries forget what they know, nor
//! take older knowledge for newer.

mod common;

use std::time::Instant;

use common::{domains, ms, reading, server};
use place::catalog::ServerCatalog;
use place::fleet::log::{ReadScope, RegistryLog};
use place::fleet::store_progress::StoreProgress;
use place::prelude::*;

const DRAIN_MS: u64 = 2500;

fn catalog() -> ServerCatalog {
    ServerCatalog::new(domains()).with_drain(ms(DRAIN_MS))
}

fn row(id: &str, seq: u64, state: EntryState) -> ServerEntry {
    let mut entry = server(id, "a1");
    (entry.seq, entry.state) = (seq, state);
    entry
}

/// A read of all rows at `version` of the era `era`.
fn read(at: Instant, era: u64, version: u64, rows: &[ServerEntry]) -> CatalogSnapshot {
    reading(at, rows).with_position(StorePosition::new(era, version))
}

fn apply(catalog: &mut ServerCatalog, at: Instant, snapshot: &CatalogSnapshot) {
    catalog.note_era(at, snapshot.position);
    catalog.apply_snapshot(at, snapshot);
}

fn is_open(catalog: &ServerCatalog, id: &str) -> bool {
    let mut open = catalog.open_servers("board");
    open.any(|(_, record)| record.entry.id == id)
}

#[test]
fn every_position_of_a_later_era_is_newer() {
    let early = StorePosition::new(1, 900_000);
    let late = StorePosition::new(2, 3);
    assert!(early < late && late < late.next());
    assert_eq!((late.era(), late.version()), (2, 3));
    assert!(!StorePosition::new(0, 0).is_known());
}

#[test]
fn a_leaving_that_a_restored_store_lacks_is_remembered() {
    let start = Instant::now();
    let mut catalog = catalog();
    apply(
        &mut catalog,
        start,
        &read(start, 0, 50, &[row("x", 5, EntryState::Draining)]),
    );
    assert!(!is_open(&catalog, "x"));
    let later = start + ms(1000);
    apply(
        &mut catalog,
        later,
        &read(later, 1, 20, &[row("x", 4, EntryState::Ready)]),
    );
    assert!(!is_open(&catalog, "x"));
}

#[test]
fn a_server_that_left_stays_gone_if_a_restored_store_lists_it() {
    let start = Instant::now();
    let (other, x) = (
        row("y", 3, EntryState::Ready),
        row("x", 5, EntryState::Ready),
    );
    let mut catalog = catalog();
    apply(
        &mut catalog,
        start,
        &read(start, 0, 50, &[x.clone(), other.clone()]),
    );
    let gone = start + ms(500);
    apply(
        &mut catalog,
        gone,
        &read(gone, 0, 60, std::slice::from_ref(&other)),
    );
    let later = start + ms(1000);
    apply(&mut catalog, later, &read(later, 1, 55, &[x, other]));
    assert!(!is_open(&catalog, "x") && is_open(&catalog, "y"));
}

#[test]
fn a_live_server_whose_row_was_lost_is_kept_until_it_can_write_again() {
    let start = Instant::now();
    let (other, x) = (
        row("y", 3, EntryState::Ready),
        row("x", 5, EntryState::Ready),
    );
    let mut catalog = catalog();
    apply(
        &mut catalog,
        start,
        &read(start, 0, 50, &[x, other.clone()]),
    );
    for step in [500, 1000, 1500] {
        let at = start + ms(step);
        apply(
            &mut catalog,
            at,
            &read(at, 1, 20 + step, std::slice::from_ref(&other)),
        );
        assert!(is_open(&catalog, "x"), "after {step} ms");
    }
    let late = start + ms(500 + DRAIN_MS);
    apply(&mut catalog, late, &read(late, 1, 9000, &[other]));
    assert!(
        !is_open(&catalog, "x"),
        "it has left and nobody could say so"
    );
}

#[test]
fn an_answer_of_the_former_era_is_left_out() {
    let start = Instant::now();
    let mut catalog = catalog();
    apply(
        &mut catalog,
        start,
        &read(start, 0, 50, &[row("x", 5, EntryState::Ready)]),
    );
    let later = start + ms(1000);
    apply(
        &mut catalog,
        later,
        &read(later, 1, 20, &[row("x", 6, EntryState::Draining)]),
    );
    let late_answer = read(start + ms(500), 0, 70, &[row("x", 5, EntryState::Ready)]);
    assert!(catalog.is_outdated(&late_answer));
}

/// Followers take over what their leads read after a restoration, whatever its version.
#[test]
fn followers_follow_a_lead_into_a_later_era() {
    let start = Instant::now();
    for servers in [10, 100, 1000] {
        let before: Vec<ServerEntry> = (0..servers)
            .map(|number| row(&format!("s{number}"), 5, EntryState::Ready))
            .collect();
        let mut lead = RegistryLog::default();
        let whole = || ReadScope {
            whole: true,
            ..ReadScope::default()
        };
        lead.apply_snapshot(&read(start, 0, 5000, &before), whole());
        let mut follower = RegistryLog::default();
        follower.apply_delta(&lead.since(0));
        let mut after = before.clone();
        after[0] = row("s0", 6, EntryState::Draining);
        lead.apply_snapshot(&read(start + ms(1000), 1, 300, &after), whole());
        let progress = |log: &RegistryLog| StoreProgress {
            registry: log.version(),
            registry_at: Some(start),
            ..StoreProgress::default()
        };
        assert!(progress(&follower).is_behind_registry(&progress(&lead)));
        follower.apply_delta(&lead.since(follower.version()));
        assert_eq!(follower.content(), lead.content(), "{servers} servers");
    }
}

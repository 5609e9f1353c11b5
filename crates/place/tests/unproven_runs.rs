//! Tests of runs that were registered before this entry knew the registry.
//!
//! All entries were lost right after a server had left, and with them what they knew of it. The
//! store then performed an earlier heartbeat of that server, and the entries that had started
//! again took its row for a live server's.

mod common;

use std::time::{Duration, Instant};

use common::{changes, domains, ms, reading, server};
use place::catalog::CatalogChange;
use place::fleet::log::{ReadScope, RegistryDelta, RegistryLog};
use place::fleet::registry::RegistryCopy;
use place::prelude::*;

/// Interval between reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// When the late heartbeat is listed, from the first read on.
const LISTED_AT: Duration = Duration::from_millis(2000);
/// Time after which a row that no server renews expires.
const ROW_LIFETIME: Duration = Duration::from_millis(4500);
/// Time in which a row that is still listed shows that its server is alive, with a margin.
const PROOF_TIME: Duration = Duration::from_millis(7000);

/// An entry that has just started.
struct FreshEntry {
    catalog: ServerCatalog,
    log: RegistryLog,
}

impl FreshEntry {
    fn new() -> Self {
        Self {
            catalog: ServerCatalog::new(domains()).with_drain(ms(3000)),
            log: RegistryLog::default(),
        }
    }

    fn read(&mut self, at: Instant, rows: &[ServerEntry]) -> Vec<CatalogChange> {
        self.read_with(at, rows, changes())
    }

    fn read_with(
        &mut self,
        at: Instant,
        rows: &[ServerEntry],
        scope: ReadScope,
    ) -> Vec<CatalogChange> {
        let update = self.copy().apply_snapshot(at, &reading(at, rows), scope);
        update.map(|update| update.changes).unwrap_or_default()
    }

    fn receive(&mut self, at: Instant, delta: &RegistryDelta) {
        self.copy().apply_delta(at, at, delta);
    }

    fn copy(&mut self) -> RegistryCopy<'_> {
        RegistryCopy::new(&mut self.catalog, &mut self.log)
    }

    fn is_open(&self, id: &str) -> bool {
        let mut servers = self.catalog.open_servers("board");
        servers.any(|(_, record)| record.entry.id == id)
    }

    fn open_count(&self) -> usize {
        self.catalog.open_servers("board").count()
    }
}

fn registration(id: &str, seq: u64) -> ServerEntry {
    let mut entry = server(id, "a1");
    entry.seq = seq;
    entry
}

fn servers(count: usize) -> Vec<ServerEntry> {
    let ids = (0..count).map(|number| format!("s{number}"));
    ids.map(|id| registration(&id, 1)).collect()
}

fn with(rows: &[ServerEntry], further: &[ServerEntry]) -> Vec<ServerEntry> {
    [rows, further].concat()
}

/// A server that left before all entries were lost gets no request by its late heartbeat.
#[test]
fn late_heartbeat_after_loss_of_all_entries_restores_no_server() {
    let start = Instant::now();
    let mut entry = FreshEntry::new();
    let others = servers(5);
    let late = registration("x", 4);
    let mut at = Duration::ZERO;
    while at < LISTED_AT + ROW_LIFETIME {
        let is_listed = at >= LISTED_AT;
        let rows = with(&others, is_listed.then_some(late.clone()).as_slice());
        entry.read(start + at, &rows);
        assert!(!entry.is_open("x"), "at {at:?}");
        assert_eq!(entry.open_count(), others.len(), "at {at:?}");
        at += READ_INTERVAL;
    }
    entry.read(start + at, &others);
    assert_eq!(entry.open_count(), others.len());
}

/// The doubt is told with the row: a follower that starts with this lead's copy knows no more.
#[test]
fn follower_of_fresh_lead_restores_no_server() {
    let start = Instant::now();
    let mut lead = FreshEntry::new();
    let mut follower = FreshEntry::new();
    let others = servers(5);
    lead.read(start, &others);
    follower.receive(start, &lead.log.since(0));
    let version = lead.log.version();
    lead.read(start + LISTED_AT, &with(&others, &[registration("x", 4)]));
    follower.receive(start + LISTED_AT, &lead.log.since(version));
    let mut late_follower = FreshEntry::new();
    late_follower.receive(start + LISTED_AT, &lead.log.since(0));
    for (what, entry) in [("running", &follower), ("started", &late_follower)] {
        assert!(!entry.is_open("x"), "{what}");
        assert_eq!(entry.open_count(), others.len(), "{what}");
        assert_eq!(entry.log.content(), lead.log.content(), "{what}");
    }
}

/// A live server whose row had lapsed is taken in once its row has outlasted a late heartbeat.
#[test]
fn row_that_stays_listed_belongs_to_live_server() {
    let start = Instant::now();
    let mut entry = FreshEntry::new();
    let others = servers(5);
    entry.read(start, &others);
    let rows = with(&others, &[registration("x", 4)]);
    let mut at = LISTED_AT;
    while at < LISTED_AT + PROOF_TIME {
        entry.read(start + at, &rows);
        at += READ_INTERVAL;
    }
    assert!(entry.is_open("x"));
}

/// A server that registers for the first time is taken in at once.
#[test]
fn first_registration_is_accepted_by_fresh_entry() {
    let start = Instant::now();
    let mut entry = FreshEntry::new();
    let others = servers(5);
    entry.read(start, &others);
    entry.read(start + LISTED_AT, &with(&others, &[registration("x", 1)]));
    assert!(entry.is_open("x"));
}

/// Calls from before an entry's first read have all been performed some time later.
#[test]
fn row_is_accepted_when_no_late_heartbeat_can_come() {
    let start = Instant::now();
    let mut entry = FreshEntry::new();
    let others = servers(5);
    let mut at = Duration::ZERO;
    while at < ms(9000) {
        entry.read(start + at, &others);
        at += READ_INTERVAL;
    }
    entry.read(start + at, &with(&others, &[registration("x", 4)]));
    assert!(entry.is_open("x"));
}

/// After an outage of the store live servers write their rows again; they serve at once.
#[test]
fn rows_written_again_after_outage_are_accepted() {
    let start = Instant::now();
    let mut entry = FreshEntry::new();
    entry.catalog.on_read_failed(start - ms(300));
    let others = servers(5);
    entry.read(start, &others);
    let back = [registration("x", 14), registration("y", 14)];
    entry.read(start + ms(1000), &with(&others, &back));
    assert_eq!(entry.open_count(), others.len() + back.len());
}

/// Where most servers of a service are in doubt their rows have lapsed; the service is served.
#[test]
fn service_whose_rows_lapsed_is_served() {
    let start = Instant::now();
    let mut entry = FreshEntry::new();
    let listed = servers(2);
    entry.read(start, &listed);
    let back: Vec<ServerEntry> = (0..4)
        .map(|number| registration(&format!("b{number}"), 14))
        .collect();
    entry.read(start + ms(500), &with(&listed, &back[..1]));
    assert_eq!(entry.open_count(), listed.len());
    let mut changed = entry.read(start + ms(1000), &with(&listed, &back));
    assert_eq!(entry.open_count(), listed.len() + back.len());
    changed.retain(|change| matches!(change, CatalogChange::Joined(_)));
    assert_eq!(changed.len(), back.len());
    let content = entry.log.content();
    let mut follower = FreshEntry::new();
    follower.receive(start + ms(1000), &entry.log.since(0));
    assert_eq!(follower.open_count(), listed.len() + back.len());
    assert_eq!(follower.log.content(), content);
}

/// A live server is taken in after one waiting time, although another lead reports the same
/// presumed departure later.
#[test]
fn doubts_of_other_leads_prolong_no_wait() {
    const OTHER_DELAY: Duration = Duration::from_millis(300);
    const TOLD_AT: Duration = Duration::from_millis(6000);
    let start = Instant::now();
    let (mut lead, mut other) = (FreshEntry::new(), FreshEntry::new());
    let others = servers(5);
    let mut at = Duration::ZERO;
    while at < LISTED_AT + PROOF_TIME {
        let is_listed = at >= LISTED_AT;
        let rows = with(
            &others,
            is_listed.then_some(registration("x", 4)).as_slice(),
        );
        lead.read(start + at, &rows);
        other.read(start + at + OTHER_DELAY, &rows);
        if at == TOLD_AT {
            lead.receive(start + at + OTHER_DELAY, &other.log.since(0));
        }
        at += READ_INTERVAL;
    }
    assert!(lead.is_open("x"));
    assert!(other.is_open("x"));
    assert_eq!(lead.log.content(), other.log.content());
}

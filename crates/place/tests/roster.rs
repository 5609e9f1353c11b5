//! Liveness of entries in a lead's roster.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::ms;
use place::fleet::candidate::LeadCandidate;
use place::fleet::leads::LeadTable;
use place::fleet::message::{EntryHeartbeat, RegionDigest};
use place::fleet::roster::{EntryRoster, HeartbeatOutcome};
use place::fleet::store_progress::StoreProgressReport;

fn heartbeat(incarnation: u64) -> EntryHeartbeat {
    let address = SocketAddr::from(([127, 0, 0, 1], 81));
    EntryHeartbeat {
        incarnation,
        candidate: LeadCandidate {
            node: "n".to_owned(),
            domain: "a1".to_owned(),
            peer_address: address,
            view_address: address,
            capacity: 800,
            has_store_access: true,
            leads: false,
        },
        region: "a".to_owned(),
        caller_address: address,
        rate: 0,
        ready: true,
        leaving: false,
        is_searching: false,
        stamp: String::new(),
    }
}

/// An entry counts as lost after at most three seconds without a heartbeat.
#[test]
fn silent_entry_is_dropped() {
    let now = Instant::now();
    let mut roster = EntryRoster::default();
    roster.on_heartbeat(now, heartbeat(1));
    assert_eq!(roster.live(now + ms(2000), "a").count(), 1);
    assert_eq!(roster.live(now + ms(3000), "a").count(), 0);
}

/// A heartbeat of an earlier incarnation that arrives late does not undo a later shutdown
/// or start.
#[test]
fn heartbeat_of_earlier_run_is_ignored() {
    let now = Instant::now();
    let mut roster = EntryRoster::default();
    let mut stopping = heartbeat(2);
    stopping.leaving = true;
    roster.on_heartbeat(now, stopping);
    assert_eq!(
        roster.on_heartbeat(now + ms(1), heartbeat(1)),
        HeartbeatOutcome::Ignored
    );
    assert!(roster.candidates(now + ms(2), "a").is_empty());
    assert_eq!(
        roster.on_heartbeat(now + ms(3), heartbeat(3)),
        HeartbeatOutcome::Changed
    );
    assert_eq!(roster.candidates(now + ms(4), "a").len(), 1);
    assert_eq!(
        roster.on_heartbeat(now + ms(5), heartbeat(3)),
        HeartbeatOutcome::Unchanged
    );
}

/// An entry that restarts with its clock set back states a lower incarnation. It counts once the
/// former run has been silent for too long to be alive.
#[test]
fn heartbeat_with_a_lower_incarnation_counts_after_silence() {
    let now = Instant::now();
    let mut roster = EntryRoster::default();
    roster.on_heartbeat(now, heartbeat(9));
    let early = roster.on_heartbeat(now + ms(1000), heartbeat(4));
    assert_eq!(early, HeartbeatOutcome::Ignored);
    let late = roster.on_heartbeat(now + ms(3000), heartbeat(4));
    assert_eq!(late, HeartbeatOutcome::Changed);
    assert_eq!(roster.live(now + ms(3001), "a").count(), 1);
}

/// The same for the digests of a lead.
#[test]
fn digest_with_a_lower_incarnation_counts_after_silence() {
    let now = Instant::now();
    let mut leads = LeadTable::default();
    let digest = |incarnation| {
        let heartbeat = heartbeat(incarnation);
        RegionDigest {
            incarnation,
            candidate: LeadCandidate {
                leads: true,
                ..heartbeat.candidate
            },
            region: heartbeat.region,
            leaving: false,
            store: StoreProgressReport::default(),
            regions: Vec::new(),
        }
    };
    assert!(leads.on_digest(now, &digest(9)));
    assert!(!leads.on_digest(now + ms(1000), &digest(4)));
    assert!(leads.on_digest(now + ms(3000), &digest(4)));
    assert_eq!(leads.live_leads(now + ms(3001)).count(), 1);
}

//! Liveness of entries in a lead's roster.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::ms;
use place::fleet::candidate::LeadCandidate;
use place::fleet::message::EntryHeartbeat;
use place::fleet::roster::{EntryRoster, HeartbeatOutcome};

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

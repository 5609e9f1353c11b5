//! Which entries are taken as live.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::ms;
use place::prelude::*;

fn beat(node: &str, incarnation: u64) -> PeerBeat {
    PeerBeat {
        node: node.to_owned(),
        incarnation,
        zone: "a1".to_owned(),
        region: "a".to_owned(),
        front: SocketAddr::from(([127, 0, 0, 1], 80)),
        gossip: SocketAddr::from(([127, 0, 0, 1], 81)),
        view: SocketAddr::from(([127, 0, 0, 1], 82)),
        reads: true,
        ready: true,
        leaving: false,
        version: 1,
        known: vec![SocketAddr::from(([127, 0, 0, 2], 81))],
    }
}

/// Promise: an entry that fell silent is left out within three seconds.
#[test]
fn a_silent_entry_is_left_out() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.on_beat(now, beat("n", 1));
    assert_eq!(peers.live(now + ms(2000)).count(), 1);
    assert_eq!(peers.live(now + ms(3000)).count(), 0);
}

/// Promise: a beat of an earlier run, late on the network, doesn't undo the stop
/// or the start that came after it.
#[test]
fn a_beat_of_an_earlier_run_changes_nothing() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    let mut stopping = beat("n", 2);
    stopping.leaving = true;
    peers.on_beat(now, stopping);
    peers.on_beat(now + ms(1), beat("n", 1));
    assert_eq!(peers.live(now + ms(2)).count(), 0);
    peers.on_beat(now + ms(3), beat("n", 3));
    assert_eq!(peers.live(now + ms(4)).count(), 1);
}

/// Promise: entries are found through each other, and addresses that stay silent
/// are forgotten.
#[test]
fn entries_are_found_through_each_other() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.on_beat(now, beat("n", 1));
    let far = SocketAddr::from(([127, 0, 0, 2], 81));
    assert!(peers.targets(now).contains(&far));
    assert!(peers.targets(now + ms(120_000)).is_empty());
}

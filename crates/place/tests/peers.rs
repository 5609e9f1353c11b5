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
        domain: "a1".to_owned(),
        region: "a".to_owned(),
        front: SocketAddr::from(([127, 0, 0, 1], 80)),
        gossip: SocketAddr::from(([127, 0, 0, 1], 81)),
        view: SocketAddr::from(([127, 0, 0, 1], 82)),
        reads: true,
        ready: true,
        leaving: false,
        capacity: 800,
        rate: 0,
        version: 1,
        stamp: String::new(),
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

/// Promise: entries that know one seed only all find each other within seconds, also
/// when they start one after the other, and a settled beat names nobody.
#[test]
fn a_fleet_finds_itself_through_one_seed() {
    const ENTRIES: u16 = 83;
    const ROUND: u64 = 600;
    let start = Instant::now();
    let address = |entry: u16| SocketAddr::from(([127, 0, 1, entry as u8], 7000));
    let mut tables: Vec<PeerTable> = (0..ENTRIES).map(|_| PeerTable::default()).collect();
    for table in &mut tables {
        table.add_candidate(start, address(0));
    }
    let mut named = 0;
    for round in 0..60_u64 {
        let now = start + ms(round * ROUND);
        let running = |entry: u16| u64::from(entry) / 4 <= round;
        for entry in (0..ENTRIES).filter(|entry| running(*entry)) {
            let mut own = beat(&format!("n{entry}"), 1);
            own.gossip = address(entry);
            let table = &mut tables[usize::from(entry)];
            own.known = table.named(now, round - u64::from(entry) / 4);
            named = own.known.len();
            for target in table.targets(now) {
                let SocketAddr::V4(v4) = target else {
                    continue;
                };
                let other = u16::from(v4.ip().octets()[3]);
                if other != entry && running(other) {
                    tables[usize::from(other)].on_beat(now, own.clone());
                }
            }
        }
        if round >= 21 + 4 {
            for (entry, table) in tables.iter().enumerate() {
                let live = table.live(now).count();
                assert_eq!(
                    live,
                    usize::from(ENTRIES) - 1,
                    "entry {entry}, round {round}"
                );
            }
        }
    }
    assert_eq!(named, 0);
}

/// Promise: all entries of a region agree on one reader as long as the store answers one
/// of them, and follow the same entry elsewhere where it answers none.
#[test]
fn a_region_agrees_on_its_reader() {
    let now = Instant::now();
    let names = ["n1", "n2", "n3", "n4"];
    let region_of = |name: &str| if name < "n3" { "north" } else { "south" };
    for answered in 0u8..16 {
        let reads = |name: &str| answered & (1 << (name.as_bytes()[1] - b'1')) != 0;
        let readers_of = |own: &str| {
            let mut peers = PeerTable::default();
            for (port, name) in (100..).zip(names) {
                let mut beat = beat(name, 1);
                beat.region = region_of(name).to_owned();
                beat.reads = reads(name);
                beat.view = SocketAddr::from(([127, 0, 0, 1], port));
                if name != own {
                    peers.on_beat(now, beat);
                }
            }
            let seat = FollowerSeat {
                node: own,
                region: region_of(own),
                reads: reads(own),
            };
            peers.reader(now, seat)
        };
        for pair in [["n1", "n2"], ["n3", "n4"]] {
            let followed = pair.map(readers_of);
            let answered_near = pair.iter().any(|name| reads(name));
            let answered_far = answered != 0 && !answered_near;
            let reading = followed.iter().filter(|reader| reader.is_none()).count();
            match (answered_near, answered_far) {
                (true, _) => assert_eq!(reading, 1, "{answered:04b}"),
                (false, true) => {
                    assert_eq!(reading, 0, "{answered:04b}");
                    assert_eq!(followed[0], followed[1], "{answered:04b}");
                }
                (false, false) => assert_eq!(reading, 2, "{answered:04b}"),
            }
        }
    }
}

/// Promise: in a region of three or more entries that read, two ask the store for the
/// operator's changes and all others hear of them from both; in smaller ones all ask.
#[test]
fn two_entries_of_a_region_ask_for_the_operators_changes() {
    let now = Instant::now();
    for count in 1..=9_u16 {
        let seat = |name: &str, peers: &PeerTable| {
            let seat = FollowerSeat {
                node: name,
                region: "a",
                reads: true,
            };
            (peers.reader(now, seat), peers.deputy(now, seat))
        };
        let mut told = Vec::new();
        let mut asking = 0;
        for own in 0..count {
            let mut peers = PeerTable::default();
            for other in (0..count).filter(|other| *other != own) {
                let mut beat = beat(&format!("n{other}"), 1);
                beat.view = SocketAddr::from(([127, 0, 0, 1], 100 + other));
                peers.on_beat(now, beat);
            }
            match seat(&format!("n{own}"), &peers) {
                (Some(reader), Some(deputy)) => told.push((reader, deputy)),
                _ => asking += 1,
            }
        }
        assert_eq!(asking, count.min(2));
        told.dedup();
        assert!(told.len() <= 1, "{told:?}");
        assert!(told.iter().all(|(reader, deputy)| reader != deputy));
    }
}

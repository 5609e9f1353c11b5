//! Requests of entries without a path must be spread over peers that can take them.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use common::ms;
use place::paths::relay::{RelayOutcome, RelayPeer, RelayPeers, RelayPlanner, RelayRequest};
use place::rank::stable_hash;

const SERVICE: &str = "board";

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 9))
}

/// `near` peers in the region `a` and `far` ones in `b`; the region `a` has `entries` entries.
fn listed(near: usize, far: usize, entries: usize) -> RelayPeers {
    let peers = (0..near + far).map(|number| RelayPeer {
        address: address(number),
        region: if number < near { "a" } else { "b" }.to_owned(),
    });
    RelayPeers {
        peers: peers.collect(),
        own_region_entries: entries,
    }
}

fn request<'a>(homes: &'a [String], tried: &'a [SocketAddr]) -> RelayRequest<'a> {
    RelayRequest {
        service: SERVICE,
        homes,
        tried,
    }
}

#[test]
fn relayed_requests_are_spread_evenly_over_peers() {
    let now = Instant::now();
    for entries in [10, 100, 1000] {
        let listed = listed(entries / 2, 0, entries);
        let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
        // Half of the entries are cut off, and relay ten requests each at the same time.
        for seed in 0..entries / 2 {
            let mut planner = RelayPlanner::new("a", stable_hash(&seed.to_be_bytes()));
            for _ in 0..10 {
                let peer = planner.choose(now, &request(&[], &[]), &listed).unwrap();
                *counts.entry(peer.address).or_default() += 1;
            }
        }
        let most = counts.values().max().unwrap();
        assert!(
            *most <= 25,
            "{entries} entries: a peer got {most}, the mean is 10"
        );
    }
}

#[test]
fn peers_of_other_regions_help_if_few_of_the_own_region_have_a_path() {
    let now = Instant::now();
    for entries in [10, 100, 1000] {
        let regions = |near: usize| {
            let listed = listed(near, entries, entries);
            let mut planner = RelayPlanner::new("a", 7);
            let chosen = (0..200).map(|_| {
                let peer = planner.choose(now, &request(&[], &[]), &listed).unwrap();
                peer.region.clone()
            });
            chosen.filter(|region| region == "b").count()
        };
        assert_eq!(regions(entries / 2), 0);
        assert!(regions(entries / 10) > 100);
    }
}

#[test]
fn a_request_is_relayed_only_to_its_home_regions() {
    let now = Instant::now();
    let homes = ["a".to_owned()];
    let mut planner = RelayPlanner::new("a", 7);
    let far_only = listed(0, 10, 10);
    assert_eq!(planner.choose(now, &request(&homes, &[]), &far_only), None);
    let both = listed(1, 10, 10);
    let peer = planner.choose(now, &request(&homes, &[]), &both).unwrap();
    assert_eq!(peer.region, "a");
}

#[test]
fn a_request_tries_three_peers_at_most() {
    let now = Instant::now();
    let listed = listed(10, 0, 10);
    let mut planner = RelayPlanner::new("a", 7);
    let mut tried = Vec::new();
    while let Some(peer) = planner.choose(now, &request(&[], &tried), &listed) {
        assert!(!tried.contains(&peer.address));
        tried.push(peer.address);
    }
    assert_eq!(tried.len(), 3);
}

#[test]
fn requests_are_refused_at_once_while_no_peer_has_a_path() {
    let start = Instant::now();
    let listed = listed(100, 0, 100);
    let mut planner = RelayPlanner::new("a", 7);
    let mut asked = 0;
    for step in 0..1000 {
        let now = start + ms(step * 10);
        if let Some(peer) = planner.choose(now, &request(&[], &[]), &listed).cloned() {
            planner.on_outcome(now, peer.address, SERVICE, RelayOutcome::NoPath);
            asked += 1;
        }
    }
    assert!(
        asked <= 12,
        "{asked} of 1000 requests in ten seconds were relayed for nothing"
    );
    let later = start + ms(13_000);
    let peer = planner.choose(later, &request(&[], &[]), &listed).cloned();
    let peer = peer.expect("peers are asked again");
    planner.on_outcome(later, peer.address, SERVICE, RelayOutcome::Passed);
    assert!(!planner.is_paused(later, SERVICE));
}

#[test]
fn a_peer_that_cannot_be_reached_is_avoided_for_a_while() {
    let now = Instant::now();
    let listed = listed(1, 0, 2);
    let mut planner = RelayPlanner::new("a", 7);
    let peer = planner
        .choose(now, &request(&[], &[]), &listed)
        .cloned()
        .unwrap();
    planner.on_outcome(now, peer.address, SERVICE, RelayOutcome::Unreachable);
    assert_eq!(
        planner.choose(now + ms(900), &request(&[], &[]), &listed),
        None
    );
    assert!(
        planner
            .choose(now + ms(1100), &request(&[], &[]), &listed)
            .is_some()
    );
}

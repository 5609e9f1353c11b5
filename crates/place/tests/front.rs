//! Which entries callers are told to use.

use place::fleet::front::{FrontEntry, RateMeter, capacity, named};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that each run gives the same verdict.
const SEED: u64 = 3;

const NODES: [&str; 16] = [
    "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "na", "nb", "nc", "nd", "ne", "nf",
];

fn entry(number: usize, capacity: u32, rate: f64) -> FrontEntry<'static> {
    FrontEntry {
        node: NODES[number],
        domain: if number.is_multiple_of(2) { "a1" } else { "a2" },
        region: "a",
        capacity,
        rate,
    }
}

/// Four able entries and twelve small ones, which get `rate` together.
fn unequal(rate: f64) -> Vec<FrontEntry<'static>> {
    (0..16)
        .map(|number| entry(number, if number < 4 { 1000 } else { 50 }, rate / 16.0))
        .collect()
}

fn nodes(entries: &[FrontEntry<'_>]) -> Vec<String> {
    let mut nodes: Vec<String> = named(entries)
        .iter()
        .map(|one| one.node.to_owned())
        .collect();
    nodes.sort();
    nodes
}

/// Pattern: a region whose entries differ twentyfold. Only able ones are named, more of
/// them where there is more to carry.
#[test]
fn able_entries_take_the_callers() {
    assert_eq!(nodes(&unequal(10.0)).len(), 3);
    assert!(
        nodes(&unequal(700.0))
            .iter()
            .all(|node| NODES[..4].contains(&node.as_str()))
    );
    assert_eq!(nodes(&unequal(900.0)), ["n0", "n1", "n2", "n3"]);
}

/// Pattern: able entries are lost one after the other. Two are still better than the
/// small ones; where only one is left, all share the callers.
#[test]
fn the_others_take_over_when_able_ones_are_lost() {
    let all = unequal(700.0);
    assert_eq!(nodes(&all[2..]), ["n2", "n3"]);
    assert_eq!(nodes(&all[3..]).len(), 13);
    assert_eq!(nodes(&all[4..]).len(), 12);
}

/// Promise: the loss of a failure domain leaves a named entry.
#[test]
fn named_entries_stand_in_two_domains() {
    let mut all = unequal(10.0);
    for entry in &mut all[..4] {
        entry.domain = "a1";
    }
    let domains: Vec<&str> = named(&all).iter().map(|entry| entry.domain).collect();
    assert!(
        domains.contains(&"a1") && domains.contains(&"a2"),
        "{domains:?}"
    );
}

/// Promise: an instance's tighter resource decides.
#[test]
fn the_tighter_resource_decides() {
    assert_eq!(capacity(0.5, 200.0), 1000);
    assert_eq!(capacity(0.1, 10.0), 50);
    assert_eq!(capacity(0.2, 1000.0), 800);
    assert!(capacity(0.0, 0.0) >= 1);
}

/// Promise: a rate follows what arrives within a few measurements.
#[test]
fn a_rate_is_followed() {
    let mut meter = RateMeter::default();
    let mut rate = 0.0;
    for _ in 0..10 {
        for _ in 0..60 {
            meter.on_request();
        }
        rate = meter.measure(0.6);
    }
    assert!((95.0..=100.0).contains(&rate), "{rate}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Promise, for any entries: some are named where there are any, at least two where
    /// there are, none is less able than one that is left out of its domain, and the
    /// order in which they are known doesn't matter.
    #[test]
    fn some_are_named_whatever_they_are(
        entries in prop::collection::vec((1_u32..2000, 0_u32..400), 1..16),
    ) {
        let all: Vec<FrontEntry<'_>> = entries
            .iter()
            .enumerate()
            .map(|(number, (capacity, rate))| entry(number, *capacity, f64::from(*rate)))
            .collect();
        let chosen = nodes(&all);
        prop_assert!(chosen.len() >= all.len().min(2));
        let mut turned = all.clone();
        turned.reverse();
        prop_assert_eq!(&chosen, &nodes(&turned));
        for left in all.iter().filter(|one| !chosen.contains(&one.node.to_owned())) {
            let worse = all.iter().filter(|one| chosen.contains(&one.node.to_owned()));
            let mut worse = worse.filter(|one| one.domain == left.domain);
            prop_assert!(worse.all(|one| one.capacity >= left.capacity));
        }
    }
}

//! Selection of the entries that are advertised to callers.

use place::fleet::advertise::{RateMeter, ServingEntry, capacity, select_advertised};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that runs are reproducible.
const SEED: u64 = 3;

const NODES: [&str; 16] = [
    "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "na", "nb", "nc", "nd", "ne", "nf",
];

fn entry(number: usize, capacity: u32, rate: f64) -> ServingEntry<'static> {
    ServingEntry {
        node: NODES[number],
        domain: if number.is_multiple_of(2) { "a1" } else { "a2" },
        region: "a",
        capacity,
        rate,
    }
}

/// Four large entries and twelve small ones, which receive `rate` in total.
fn unequal(rate: f64) -> Vec<ServingEntry<'static>> {
    (0..16)
        .map(|number| entry(number, if number < 4 { 1000 } else { 50 }, rate / 16.0))
        .collect()
}

fn nodes(entries: &[ServingEntry<'_>]) -> Vec<String> {
    let mut nodes: Vec<String> = select_advertised(entries)
        .iter()
        .map(|one| one.node.to_owned())
        .collect();
    nodes.sort();
    nodes
}

/// In a region whose entries differ twentyfold in capacity only large ones are
/// advertised, and more of them as the load grows.
#[test]
fn large_entries_are_advertised_first() {
    assert_eq!(nodes(&unequal(10.0)).len(), 3);
    assert!(
        nodes(&unequal(700.0))
            .iter()
            .all(|node| NODES[..4].contains(&node.as_str()))
    );
    assert_eq!(nodes(&unequal(900.0)), ["n0", "n1", "n2", "n3"]);
}

/// Large entries are lost one after another. Two of them are still better than all small
/// ones; when only one is left, all entries share the load.
#[test]
fn small_entries_are_advertised_after_loss_of_large_ones() {
    let all = unequal(700.0);
    assert_eq!(nodes(&all[2..]), ["n2", "n3"]);
    assert_eq!(nodes(&all[3..]).len(), 13);
    assert_eq!(nodes(&all[4..]).len(), 12);
}

/// The advertised entries span two failure domains, so the loss of one leaves some.
#[test]
fn advertised_entries_span_two_domains() {
    let mut all = unequal(10.0);
    for entry in &mut all[..4] {
        entry.domain = "a1";
    }
    let domains: Vec<&str> = select_advertised(&all)
        .iter()
        .map(|entry| entry.domain)
        .collect();
    assert!(
        domains.contains(&"a1") && domains.contains(&"a2"),
        "{domains:?}"
    );
}

/// The scarcer of CPU and bandwidth determines the capacity of an entry.
#[test]
fn scarcer_resource_determines_capacity() {
    assert_eq!(capacity(0.5, 200.0), 1000);
    assert_eq!(capacity(0.1, 10.0), 50);
    assert_eq!(capacity(0.2, 1000.0), 800);
    assert!(capacity(0.0, 0.0) >= 1);
}

/// The measured rate converges within a few measurements.
#[test]
fn measured_rate_converges() {
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

    /// For any entries, at least two are advertised if there are two. None has a lower
    /// capacity than an entry of its failure domain that was left out, and the order of
    /// the input does not matter.
    #[test]
    fn selection_holds_for_any_entries(
        entries in prop::collection::vec((1_u32..2000, 0_u32..400), 1..16),
    ) {
        let all: Vec<ServingEntry<'_>> = entries
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

//! Tests of route look-up by host and path prefix, and of traffic splits.

mod common;

use common::{desired, route};
use place::desired::SplitPart;
use place::limits::split::TrafficSplitter;
use place::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that every run has the same result.
const SEED: u64 = 7;

/// The longest matching path prefix must win, in whatever order the routes are configured.
#[test]
fn longest_prefix_wins() {
    let routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("other", "/c/"),
    ];
    let table = RouteTable::new(&desired(3, routes));
    let name = |path: &str| {
        table
            .find("board.example", path)
            .map(|found| found.name.clone())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/bc").as_deref(), Some("short"));
    assert_eq!(name("/a"), None);
    assert_eq!(name("/d/"), None);
}

/// Hosts must match regardless of case and port.
#[test]
fn hosts_match_regardless_of_case_and_port() {
    let table = RouteTable::new(&desired(3, vec![route("only", "/")]));
    assert!(table.find("BOARD.example:80", "/x").is_some());
    assert!(table.find("other.example", "/x").is_none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any number of requests each part of a split must have received its share, up to a
    /// difference of less than one request per part.
    #[test]
    fn shares_hold_after_every_request(weights in prop::collection::vec(1u32..100, 2..6), count in 1usize..400) {
        let mut split = route("split", "/");
        split.parts = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| SplitPart { service: format!("s{index}"), weight: *weight })
            .collect();
        let total: u32 = weights.iter().sum();
        let mut splitter = TrafficSplitter::default();
        let mut counts = vec![0u32; weights.len()];
        for sent in 1..=count {
            counts[splitter.choose(&split)] += 1;
            for (got, weight) in counts.iter().zip(&weights) {
                let due = sent as f64 * f64::from(*weight) / f64::from(total);
                prop_assert!((f64::from(*got) - due).abs() < weights.len() as f64);
            }
        }
    }
}

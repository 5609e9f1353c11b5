//! Tests of which entries are advertised to a caller.

use std::collections::HashMap;

use place::directory::{home_region_entries, ordered_entries};

type Entry = (&'static str, u32);

fn region(entry: &Entry) -> &str {
    entry.0
}

const ENTRIES: [Entry; 7] = [
    ("north", 1),
    ("north", 2),
    ("north", 3),
    ("north", 4),
    ("south", 5),
    ("south", 6),
    ("west", 7),
];

/// A caller must get entries of its own region first, then some of other regions for when
/// that region fails, and each entry only once.
#[test]
fn own_region_comes_first() {
    for spread in 0..50 {
        let chosen = ordered_entries(&ENTRIES, Some("north"), spread, region);
        let regions: Vec<&str> = chosen.iter().map(|entry| entry.0).collect();
        assert_eq!(regions[..3], ["north"; 3]);
        assert!(regions.len() == 5 && !regions[3..].contains(&"north"));
        let mut numbers: Vec<u32> = chosen.iter().map(|entry| entry.1).collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert_eq!(numbers.len(), 5);
    }
}

/// Callers must be spread evenly over equivalent entries.
#[test]
fn callers_spread_over_equal_entries() {
    let mut first: HashMap<u32, u32> = HashMap::new();
    for spread in 0..400 {
        *first
            .entry(ordered_entries(&ENTRIES, Some("north"), spread, region)[0].1)
            .or_default() += 1;
    }
    assert_eq!(first.len(), 4);
    assert!(first.values().all(|count| *count == 100), "{first:?}");
}

/// A caller without a region, or from a region without entries, must get entries of other
/// regions.
#[test]
fn a_caller_without_a_region_is_told_others() {
    for home in [None, Some("east")] {
        assert_eq!(ordered_entries(&ENTRIES, home, 3, region).len(), 5);
    }
    assert_eq!(
        home_region_entries(&ENTRIES, "east", region).len(),
        ENTRIES.len()
    );
    assert_eq!(
        home_region_entries(&ENTRIES, "south", region),
        [&("south", 5), &("south", 6)]
    );
    assert!(ordered_entries(&[], Some("north"), 3, region).is_empty());
}

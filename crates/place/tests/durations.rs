//! How long requests have taken lately.

use std::time::{Duration, Instant};

use place::durations::DurationTable;

const ROUTE: &str = "board";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The result is no less than what the requests took, and at most a quarter more.
#[test]
fn durations_are_rounded_up_to_a_quarter() {
    for millis in [1, 16, 17, 480, 3400, 5000, 100_000] {
        let mut table = DurationTable::default();
        let now = Instant::now();
        table.on_finished(now, ROUTE, ms(millis));
        let within = table.finished_within(now, ROUTE, 1.0).unwrap();
        assert!(within >= ms(millis), "{millis}: {within:?}");
        let most = ms(millis).mul_f64(1.2501).max(ms(16));
        assert!(within <= most, "{millis}: {within:?}");
    }
}

/// A share leaves out the slowest requests, and other routes don't count.
#[test]
fn a_share_leaves_out_the_slowest() {
    let mut table = DurationTable::default();
    let now = Instant::now();
    for _ in 0..99 {
        table.on_finished(now, ROUTE, ms(100));
    }
    table.on_finished(now, ROUTE, ms(9000));
    table.on_finished(now, "other", ms(30_000));
    assert!(table.finished_within(now, ROUTE, 0.95).unwrap() < ms(130));
    assert!(table.finished_within(now, ROUTE, 1.0).unwrap() >= ms(9000));
    assert_eq!(table.finished_within(now, "unknown", 1.0), None);
}

/// Requests count for ten to twenty seconds.
#[test]
fn old_durations_are_forgotten() {
    let mut table = DurationTable::default();
    let start = Instant::now();
    table.on_finished(start, ROUTE, ms(4000));
    let later = start + ms(12_000);
    assert!(table.finished_within(later, ROUTE, 1.0).is_some());
    assert_eq!(table.finished_within(later + ms(10_000), ROUTE, 1.0), None);
    table.on_finished(start, ROUTE, ms(4000));
    assert_eq!(table.finished_within(start + ms(60_000), ROUTE, 1.0), None);
}

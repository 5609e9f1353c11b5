//! Counts that entries report to each other.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tally::{CountReport, PeerTally};

/// Fixed, so that each run gives the same result.
const SEED: u64 = 5;
const REPORT_TTL: Duration = Duration::from_millis(500);

fn report(run: u64, age: u64, counts: &[(u8, u32)]) -> CountReport<u8> {
    CountReport {
        run,
        age: Duration::from_millis(age),
        counts: counts.to_vec(),
    }
}

/// Counts from before the first report are no increments, later ones are, and a later run
/// starts from 0.
#[test]
fn only_increments_are_counted() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut tally = PeerTally::new(REPORT_TTL).with_start(start);
    assert!(
        tally
            .on_report(now, 1, &report(7, 60_000, &[(0, 900)]))
            .is_empty()
    );
    assert_eq!(
        tally.on_report(now, 1, &report(7, 60_100, &[(0, 904)])),
        [(0, 4)]
    );
    assert_eq!(
        tally.on_report(now, 1, &report(8, 300, &[(0, 3)])),
        [(0, 3)]
    );
    assert!(
        tally
            .on_report(now, 1, &report(7, 60_200, &[(0, 999)]))
            .is_empty()
    );
    // One event was undone.
    assert_eq!(
        tally.on_report(now, 1, &report(8, 400, &[(0, 2)])),
        [(0, -1)]
    );
}

/// Entries that start at the same time must count what the others report first, also those that
/// started a moment earlier.
#[test]
fn runs_that_began_at_the_same_time_count_in_full() {
    let start = Instant::now();
    let mut tally = PeerTally::new(REPORT_TTL).with_start(start);
    let now = start + Duration::from_millis(400);
    for (peer, age) in [(1, 380), (2, 403), (3, 900)] {
        assert!(tally.on_report(now, peer, &report(7, age, &[])).is_empty());
        let first = report(7, age + 100, &[(0, 1)]);
        let later = now + Duration::from_millis(100);
        assert_eq!(tally.on_report(later, peer, &first), [(0, 1)], "{age} ms");
    }
}

/// A peer that was dropped and reports again must not be counted twice.
#[test]
fn a_returning_peer_is_not_counted_twice() {
    let start = Instant::now();
    let mut tally = PeerTally::new(REPORT_TTL).with_start(start);
    let early = start + Duration::from_secs(3);
    assert_eq!(
        tally.on_report(early, 1, &report(7, 900, &[(0, 50)])),
        [(0, 50)]
    );
    tally.retain(|_, _| false);
    let late = start + Duration::from_secs(90);
    assert!(
        tally
            .on_report(late, 1, &report(7, 88_000, &[(0, 60)]))
            .is_empty()
    );
    assert_eq!(
        tally.on_report(late, 1, &report(7, 88_100, &[(0, 61)])),
        [(0, 1)]
    );
}

/// A peer that restarts with its clock set back has a lower run number. Its reports count once the
/// former run has been silent.
#[test]
fn a_run_with_a_lower_number_counts_after_silence() {
    let start = Instant::now();
    let mut tally = PeerTally::new(REPORT_TTL).with_start(start);
    let at = |millis| start + Duration::from_millis(millis);
    tally.on_report(at(0), 1, &report(7, 0, &[(0, 5)]));
    let early = tally.on_report(at(1000), 1, &report(3, 100, &[(0, 1)]));
    assert!(early.is_empty());
    let late = tally.on_report(at(4000), 1, &report(3, 3100, &[(0, 4)]));
    assert_eq!(late, [(0, 4)]);
}

/// Until a peer reports or expires, its unreported count is estimated by this entry's own.
#[test]
fn unreported_counts_are_estimated() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut tally = PeerTally::new(REPORT_TTL).with_start(start);
    for peer in [1, 2] {
        tally.on_report(at(100), peer, &report(1, 100, &[]));
    }
    for millis in [150, 200, 250] {
        tally.add(at(millis), 0_u8);
    }
    assert_eq!(tally.estimate_unreported(at(260), 0), 6);
    tally.on_report(at(210), 2, &report(1, 210, &[(0, 5)]));
    assert_eq!(tally.estimate_unreported(at(260), 0), 4);
    tally.undo_add(0);
    assert_eq!(tally.estimate_unreported(at(260), 0), 2);
    assert_eq!(tally.estimate_unreported(at(650), 0), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Whichever reports get lost, the next one that arrives brings the sum up to date.
    #[test]
    fn lost_reports_lose_no_count(steps in proptest::collection::vec((0..4_u32, any::<bool>()), 1..60)) {
        let start = Instant::now();
        let mut tally = PeerTally::new(REPORT_TTL).with_start(start);
        let (mut total, mut reported) = (0, 0);
        for (turn, (added, arrives)) in steps.iter().enumerate() {
            total += added;
            let now = start + Duration::from_millis(100 * (turn as u64 + 1));
            if *arrives {
                let deltas = tally.on_report(now, 1, &report(1, 50, &[(0, total)]));
                reported += deltas.iter().map(|(_, added)| added).sum::<i64>();
                prop_assert_eq!(reported, i64::from(total));
            }
        }
    }
}

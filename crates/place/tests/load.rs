//! Tests of the intervals between load reports.

use std::time::Duration;

use place::placing::load::{ReportSchedule, is_sent_to_other_regions, load_interval};

/// In a region of up to 28 entries each gets the load of the others three times per second.
/// Up to 110 entries of other regions get it once per second, and with every report in a
/// fleet of nine. No entry sends more than 85 reports per second within its region and 170
/// to others.
#[test]
fn load_report_intervals_are_bounded() {
    for in_region in 0..=27_u32 {
        let pause = load_interval(in_region);
        assert!(
            pause <= Duration::from_millis(334),
            "{in_region}: {pause:?}"
        );
        assert!(
            f64::from(in_region) / pause.as_secs_f64() <= 85.0,
            "{in_region}"
        );
        for in_other_regions in 0..=110_u32 {
            let first_round =
                (1..).find(|round| is_sent_to_other_regions(*round, in_region, in_other_regions));
            let pause = pause * first_round.unwrap();
            assert!(
                pause <= Duration::from_millis(1000),
                "{in_region}, {in_other_regions}: {pause:?}"
            );
            assert!(
                f64::from(in_other_regions) / pause.as_secs_f64() <= 170.0,
                "{in_region}, {in_other_regions}"
            );
        }
    }
    assert!((0..20).all(|round| is_sent_to_other_regions(round, 2, 6)));
    let rounds = (0..300).filter(|round| is_sent_to_other_regions(*round, 13, 68));
    assert_eq!(rounds.count(), 100);
}

/// An entry that is back on standby says so to all: to those whom its last reports don't reach it
/// would be a silent entry, whose part of all quotas they reserve for a minute.
#[test]
fn standby_is_reported_to_all_regions() {
    for (in_region, in_other_regions) in [(2, 6), (3, 64), (22, 45), (13, 68)] {
        for reports in 1..12 {
            let mut schedule = ReportSchedule::default();
            for _ in 0..reports {
                schedule.next((true, true), in_region, in_other_regions);
            }
            let next = || schedule.next((false, true), in_region, in_other_regions);
            let last: Vec<_> = std::iter::from_fn(next).collect();
            assert!((1..10).contains(&last.len()));
            assert!(
                last.iter()
                    .all(|report| report.is_final && report.is_for_all),
                "{in_region} and {in_other_regions} entries, after {reports} reports: {last:?}"
            );
        }
    }
}

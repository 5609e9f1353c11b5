//! Burn rates from scrapes, across restarts of instances.

use burn::{BurnKind, BurnSlice, SliceRecorder, burn_rows, html_page, parse_scrape, text_report};
use conf::{ConfigBundle, Deployment};

fn deployment() -> Deployment {
    let base = "[deployment]\nname = demo\n[region north]\ndomains = n-1\n\
                [service board]\nrepeat = idempotent\nlatency_goal = 90%\navailability_goal = 99%\n\
                headroom_goal = 20%\n";
    ConfigBundle::new()
        .with_file("base.ini", base)
        .deployment()
        .unwrap()
}

fn metrics(done: u32, good: u32, refused: u32, free: u32) -> String {
    format!(
        "# TYPE laurelhill_instance_info gauge\n\
         laurelhill_instance_info{{instance=\"a\",region=\"north\"}} 1\n\
         # TYPE laurelhill_requests_total counter\n\
         laurelhill_requests_total{{route=\"board\",outcome=\"answered\"}} {done}\n\
         laurelhill_requests_total{{route=\"board\",outcome=\"not-run\"}} {refused}\n\
         laurelhill_requests_total{{route=\"board\",outcome=\"rejected\"}} 50\n\
         laurelhill_requests_total{{route=\"board\",outcome=\"caller-left\"}} 50\n\
         # TYPE laurelhill_good_total counter\n\
         laurelhill_good_total{{route=\"board\"}} {good}\n\
         # TYPE laurelhill_slots gauge\n\
         laurelhill_slots{{service=\"board\",state=\"all\"}} 10\n\
         laurelhill_slots{{service=\"board\",state=\"free\"}} {free}\n"
    )
}

fn slice(number: u64, readings: &[(u32, u32, u32, u32)]) -> BurnSlice {
    let mut recorder = SliceRecorder::new();
    for (done, good, refused, free) in readings {
        let scrape = parse_scrape(&metrics(*done, *good, *refused, *free)).unwrap();
        recorder.record(number, &scrape);
    }
    recorder.slice().clone()
}

/// 80 of 100 answers are good with a goal of 90%, which is twice the budget; one of 101 requests
/// is refused.
#[test]
fn rates_are_bad_over_allowed() {
    let slices = [slice(1000, &[(0, 0, 0, 10), (100, 80, 1, 1)])];
    let rows = burn_rows(&deployment(), &slices, 1000);
    let rate = |kind: BurnKind| rows.iter().find(|row| row.kind == kind).unwrap().rates[0].unwrap();
    assert!((rate(BurnKind::Latency) - 2.0).abs() < 1e-9);
    assert!((rate(BurnKind::Availability) - 100.0 / 101.0).abs() < 1e-9);
    assert_eq!(rate(BurnKind::Headroom), 0.0);
}

/// A counter that decreases after a restart must not lose increases or count them twice.
#[test]
fn restarts_of_an_instance_keep_the_sums_right() {
    let slices = [slice(
        1000,
        &[
            (50, 50, 0, 5),
            (100, 100, 0, 5),
            (30, 30, 0, 5),
            (40, 40, 0, 5),
        ],
    )];
    let (_, sums) = &slices[0].sums[0];
    assert_eq!((sums.done, sums.good), (90.0, 90.0));
}

/// Burning too fast must raise an alarm only if a longer window confirms it, not on a short peak.
#[test]
fn an_alarm_needs_two_windows() {
    let bad = |number| slice(number, &[(0, 0, 0, 5), (100, 0, 60, 5)]);
    let good = |number| slice(number, &[(0, 0, 0, 5), (10_000, 10_000, 0, 5)]);
    let alarm = |slices: &[BurnSlice]| {
        burn_rows(&deployment(), slices, 1000)
            .iter()
            .any(|row| row.alarm)
    };
    let peak: Vec<BurnSlice> = (900..1000).map(good).chain([bad(1000)]).collect();
    assert!(!alarm(&peak));
    let lasting: Vec<BurnSlice> = (900..=1000).map(bad).collect();
    assert!(alarm(&lasting));
}

/// The text and the HTML page must show every objective; the page must load nothing from the
/// network and escape its text.
#[test]
fn text_and_page_show_the_objectives() {
    let slices = [
        slice(999, &[(0, 0, 0, 1), (100, 80, 1, 1)]),
        slice(1000, &[(0, 0, 0, 1), (10, 1, 1, 1)]),
    ];
    let shown = text_report(&burn_rows(&deployment(), &slices, 1000), &slices);
    for word in ["board", "north", "latency", "availability", "headroom"] {
        assert!(shown.contains(word), "{shown}");
    }
    let html_page = html_page(&deployment(), &slices, 1000).unwrap();
    assert!(
        html_page.contains("<svg")
            && html_page.contains("&lt;- burns too fast") == html_page.contains("burns too fast")
    );
    assert!(!html_page.contains("src=") && !html_page.contains("href="));
}

/// Malformed metrics must give an error instead of a panic.
#[test]
fn strange_metrics_are_an_error() {
    assert!(parse_scrape("").is_err());
    assert!(parse_scrape("<html>").is_err());
}

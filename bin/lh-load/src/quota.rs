//! Ways to keep quotas, played on the same loads.

use emulate::quota::{
    EqualParts, LeasedParts, QuotaChange, QuotaPlay, QuotaReport, ToldCounts, play_quota,
};
use team::quota::QuotaLimiter;

/// Entries that get requests: of fleets of 12, 64, 300 and 1,000.
const SIZES: [usize; 4] = [8, 9, 30, 100];
/// Teams, a few of them large.
const TEAMS: usize = 74;
/// Requests a second for each entry.
const RATE: f64 = 220.0;

/// Plays all loads at all sizes with `seeds`, and prints a row a way.
pub(crate) fn play(seeds: u64) {
    println!(
        "{:<9} {:>7} {:>4} {:<7} {:>6} {:>13} {:>11} {:>6} {:>8}",
        "load", "entries", "seed", "way", "worst", "calm-refused", "hot-served", "words", "bytes/s"
    );
    for entries in SIZES {
        for seed in 1..=seeds {
            for (name, play) in loads(seed, entries) {
                for (way, report) in ways(&play) {
                    print_row(name, entries, seed, way, &report);
                }
            }
        }
    }
}

fn loads(seed: u64, entries: usize) -> [(&'static str, QuotaPlay); 6] {
    let play = || QuotaPlay::new(seed, entries, TEAMS, RATE * entries as f64);
    let hot = |until| QuotaChange::Hot {
        team: 0,
        times: 7.5,
        from: 5.0,
        until,
    };
    let cut = QuotaChange::Cut {
        count: entries / 3,
        from: 6.0,
        until: 14.0,
    };
    let restart = |at| QuotaChange::Restart { at, away: 0.6 };
    let lowered = |team, rate| QuotaChange::Set {
        team,
        at: 6.0,
        rate,
    };
    let moved = |team| QuotaChange::Move {
        team,
        at: 8.0,
        to: 1,
    };
    [
        ("calm", play()),
        ("hot", play().with(hot(12.0))),
        ("cut", play().with(hot(12.0)).with(cut)),
        (
            "restart",
            play()
                .with(hot(18.0))
                .with(restart(9.0))
                .with(restart(11.0)),
        ),
        (
            "lowered",
            play().with(lowered(0, 40.0)).with(lowered(3, 4.0)),
        ),
        (
            "moved",
            play().with(hot(12.0)).with(moved(0)).with(moved(1)),
        ),
    ]
}

fn ways(play: &QuotaPlay) -> [(&'static str, QuotaReport); 3] {
    let told = play_quota(play, |now, _, run| {
        ToldCounts(QuotaLimiter::new(now, play.bounds, run, true))
    });
    let equal = play_quota(play, |_, _, _| EqualParts::default());
    let leased = play_quota(play, |_, entry, _| LeasedParts::new(entry as u64 + 1, 1));
    [("told", told), ("equal", equal), ("leased", leased)]
}

fn print_row(name: &str, entries: usize, seed: u64, way: &str, report: &QuotaReport) {
    println!(
        "{name:<9} {entries:>7} {seed:>4} {way:<7} {:>6.3} {:>13.4} {:>11.3} {:>6.0} {:>8.0}",
        report.worst, report.calm_refused, report.hot_served, report.words, report.bytes
    );
}

//! What teams may ask for, over all entries, in virtual time.

use emulate::quota::{
    EqualParts, LeasedParts, QuotaChange, QuotaPlay, QuotaReport, ToldCounts, play_quota,
};
use team::quota::QuotaLimiter;

/// Share of a calm team's requests within its quota that may be refused.
const CALM_REFUSED: f64 = 0.01;
const HOT: QuotaChange = QuotaChange::Hot {
    team: 0,
    times: 7.5,
    from: 3.0,
    until: 9.0,
};

fn play(entries: usize) -> QuotaPlay {
    let mut play = QuotaPlay::new(1, entries, 40, 120.0 * entries as f64);
    play.seconds = 14.0;
    play
}

fn told(play: &QuotaPlay) -> QuotaReport {
    play_quota(play, |now, _, run| {
        ToldCounts(QuotaLimiter::new(now, play.bounds, run, true))
    })
}

/// Promise: in no window a team gets more than its quota, tolerance included, and a team that
/// asks for its usual is hardly ever refused, however much another asks for.
#[test]
fn a_hot_team_keeps_to_its_quota_and_harms_nobody() {
    for entries in [9, 30, 90] {
        let report = told(&play(entries).with(HOT));
        assert!(report.worst <= 1.0, "{entries}: {report:?}");
        assert!(report.calm_refused < CALM_REFUSED, "{entries}: {report:?}");
        // What its quota allows it gets.
        assert!(report.hot_served > 0.95, "{entries}: {report:?}");
    }
}

/// Promise: quotas hold while a third of the entries hear nobody and are heard by nobody,
/// whenever that begins, and those that hear each other still let in what is left of it.
#[test]
fn quotas_hold_over_entries_that_are_cut_off() {
    for (entries, from) in [(9, 1.0), (9, 5.0), (30, 5.0), (90, 5.0)] {
        let cut = QuotaChange::Cut {
            count: entries / 3,
            from,
            until: 12.0,
        };
        let report = told(&play(entries).with(HOT).with(cut));
        assert!(report.worst <= 1.0, "{entries}, {from}: {report:?}");
        assert!(report.hot_served > 0.7, "{entries}, {from}: {report:?}");
    }
}

/// Promise: quotas hold where the processes of all entries end and start again, twice, which
/// forget what was let in, and calm teams get on at once.
#[test]
fn quotas_hold_over_a_loss_of_all_entries() {
    for entries in [9, 30, 90] {
        let restart = |at| QuotaChange::Restart { at, away: 0.4 };
        let play = play(entries)
            .with(HOT)
            .with(restart(4.5))
            .with(restart(6.0));
        let report = told(&play);
        assert!(report.worst <= 1.0, "{entries}: {report:?}");
        assert!(report.calm_refused < CALM_REFUSED, "{entries}: {report:?}");
    }
}

/// Promise: a quota that is lowered far below what comes binds in time, and callers that all
/// move to one entry lose nothing by it.
#[test]
fn quotas_follow_changes_and_callers() {
    for entries in [9, 30] {
        let lowered = QuotaChange::Set {
            team: 2,
            at: 2.0,
            rate: 4.0,
        };
        let moved = |team| QuotaChange::Move {
            team,
            at: 4.0,
            to: 1,
        };
        let play = play(entries).with(lowered).with(moved(0)).with(moved(5));
        let report = told(&play);
        assert!(report.worst <= 1.0, "{entries}: {report:?}");
        assert!(report.calm_refused < CALM_REFUSED, "{entries}: {report:?}");
    }
}

/// Promise: counts that are told refuse calm teams far less than parts do, equal ones or
/// leased ones.
#[test]
fn told_counts_refuse_less_than_parts() {
    let play = play(9).with(HOT);
    let equal = play_quota(&play, |_, _, _| EqualParts::default());
    let leased = play_quota(&play, |_, entry, _| LeasedParts::new(entry as u64 + 1, 1));
    let told = told(&play);
    assert!(
        told.calm_refused < 0.2 * equal.calm_refused,
        "{told:?}, {equal:?}"
    );
    assert!(
        told.calm_refused < 0.2 * leased.calm_refused,
        "{told:?}, {leased:?}"
    );
}

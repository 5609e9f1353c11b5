//! Load patterns played against the placing decisions, beside the naive way.
//! The bounds leave room below what was measured when they were set.

use std::time::Instant;

use emulate::{
    EntryPolicy, Experiment, FaultKind, NaivePolicy, PlacerPolicy, PolicyChoice, PolicyRequest,
    ServerFault, TrialReport, run_trial,
};
use place::placing::load::LoadReport;
use place::request::{Placement, ServerOutcome};
use place::server::ServerReport;

const SEEDS: [u64; 3] = [1, 2, 3];

fn placed(experiment: &Experiment) -> TrialReport {
    run_trial(experiment, |config, desired, servers, entries, near| {
        PlacerPolicy::new(config, desired, servers, entries, near)
    })
}

fn naive(experiment: &Experiment) -> TrialReport {
    run_trial(experiment, |config, desired, servers, _, _| {
        NaivePolicy::new(&config, desired, servers)
    })
}

fn fault(count: usize, kind: FaultKind) -> ServerFault {
    ServerFault {
        at: 10.0,
        lasts: 8.0,
        first: 0,
        count,
        kind,
    }
}

/// Pattern: all caches empty at first, then the same load all the time. The naive
/// way never gets warm; placing by object does within seconds.
#[test]
fn caches_fill_and_stay_filled() {
    for seed in SEEDS {
        let experiment = Experiment::new(seed, 0.6);
        let (placed, naive) = (placed(&experiment), naive(&experiment));
        assert!(
            placed.total().worth() > 0.9,
            "seed {seed}: {:?}",
            placed.total()
        );
        assert!(
            placed.miss_share() < 0.05,
            "seed {seed}: {}",
            placed.miss_share()
        );
        assert!(
            naive.total().worth() < 0.3,
            "seed {seed}: {:?}",
            naive.total()
        );
    }
}

/// Pattern: a wave of twice the load for four seconds. It must not tip the
/// servers into working on misses for good.
#[test]
fn a_burst_leaves_no_trace() {
    for seed in SEEDS {
        let experiment = Experiment::new(seed, 0.6)
            .with_load(10.0, 1.2)
            .with_load(14.0, 0.6);
        let report = placed(&experiment);
        let after = report.between(18.0, 28.0);
        assert!(after.worth() > 0.95, "seed {seed}: {after:?}");
    }
}

/// Pattern: more than the servers bear, all the time. Most of what they bear must
/// still be in time: a new request isn't pushed behind those that are late anyway.
#[test]
fn overload_keeps_answers_in_time() {
    for seed in SEEDS {
        let total = placed(&Experiment::new(seed, 1.3)).total();
        let in_time = f64::from(total.in_time) / f64::from(total.asked);
        assert!(in_time > 0.45, "seed {seed}: {total:?}");
        let failed = f64::from(total.failed) / f64::from(total.asked);
        assert!(failed < 0.01, "seed {seed}: {total:?}");
    }
}

/// Pattern: a third of the servers crash at once and come back empty.
#[test]
fn a_crash_is_absorbed() {
    for seed in SEEDS {
        let experiment = Experiment::new(seed, 0.6).with_fault(fault(5, FaultKind::Down));
        let report = placed(&experiment);
        let during = report.between(12.0, 18.0);
        assert!(during.worth() > 0.5, "seed {seed}: {during:?}");
        let after = report.between(22.0, 28.0);
        assert!(after.worth() > 0.9, "seed {seed}: {after:?}");
    }
}

/// Pattern: a fifth of the servers turn five times slower while they look healthy.
#[test]
fn slow_servers_are_passed_over() {
    for seed in SEEDS {
        let experiment = Experiment::new(seed, 0.6).with_fault(fault(3, FaultKind::Slow(5.0)));
        let during = placed(&experiment).between(12.0, 18.0);
        assert!(during.worth() > 0.8, "seed {seed}: {during:?}");
    }
}

/// Pattern: a fifth of the servers reject half of what they get.
#[test]
fn rejecting_servers_are_passed_over() {
    for seed in SEEDS {
        let experiment = Experiment::new(seed, 0.6).with_fault(fault(3, FaultKind::Shed(0.5)));
        let during = placed(&experiment).between(12.0, 18.0);
        assert!(during.worth() > 0.85, "seed {seed}: {during:?}");
    }
}

/// Pattern: each of the above without faults, and a region that gets three quarters
/// of all requests from one moment to the next. No region moves more of its
/// requests than the cap from one window to the next.
#[test]
fn no_load_moves_a_region_beyond_its_cap() {
    const CAP: f64 = 0.15;
    for seed in SEEDS {
        let burst = Experiment::new(seed, 0.6)
            .with_load(10.0, 1.2)
            .with_load(14.0, 0.6);
        let mut crowd = Experiment::new(seed, 0.6).with_load(10.0, 0.6);
        crowd.traffic[1].first_share = 0.75;
        let steady = Experiment::new(seed, 0.6);
        let overload = Experiment::new(seed, 1.3);
        for (name, experiment) in [
            ("burst", burst),
            ("crowd", crowd),
            ("steady", steady),
            ("overload", overload),
        ] {
            let shift = placed(&experiment).largest_shift;
            assert!(shift <= CAP, "seed {seed}, {name}: {shift}");
        }
    }
}

/// The same seed gives the same trial.
#[test]
fn trials_repeat() {
    let experiment = Experiment::new(9, 0.7);
    assert_eq!(placed(&experiment).windows, placed(&experiment).windows);
}

/// Pattern: as much as the servers bear, and a little more, with many entries, of which
/// each knows only a part of what the servers have. Words on load that come three times
/// a second keep more answers in time than words that come once.
#[test]
fn frequent_words_on_load_keep_answers_in_time() {
    for seed in SEEDS {
        let every = |millis| {
            let every = std::time::Duration::from_millis(millis);
            let mut experiment = Experiment::new(seed, 1.1).with_load_every(every);
            experiment.entries = 12;
            experiment.seconds = 12.0;
            placed(&experiment).total().worth()
        };
        let (often, seldom) = (every(330), every(1000));
        assert!(often > seldom + 0.02, "seed {seed}: {often} and {seldom}");
    }
}

/// The product's way without what other entries tell of objects at servers.
struct UntoldPolicy(PlacerPolicy);

impl EntryPolicy for UntoldPolicy {
    fn place(&mut self, now: Instant, request: &PolicyRequest<'_>) -> PolicyChoice {
        self.0.place(now, request)
    }

    fn on_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        object: u64,
        outcome: ServerOutcome,
        report: Option<&ServerReport>,
    ) {
        self.0.on_outcome(now, placement, object, outcome, report);
    }

    fn load(&mut self, now: Instant) -> LoadReport {
        self.0.load(now)
    }

    fn on_load(&mut self, now: Instant, entry: u64, mut word: LoadReport) {
        word.handled.clear();
        self.0.on_load(now, entry, word);
    }
}

/// Pattern: servers spread unevenly, so that one region's requests run elsewhere, over
/// entries of which each handles a part. Told which servers handled which objects, they keep more answers in
/// time than when each learns that for itself.
#[test]
fn told_sightings_keep_answers_in_time() {
    let (mut with, mut without) = (0.0, 0.0);
    for seed in SEEDS {
        let mut experiment = Experiment::new(seed, 0.85);
        experiment.servers = vec![1, 6, 8];
        experiment.seconds = 20.0;
        with += placed(&experiment).total().worth();
        let untold = run_trial(&experiment, |config, desired, servers, entries, near| {
            UntoldPolicy(PlacerPolicy::new(config, desired, servers, entries, near))
        });
        without += untold.total().worth();
    }
    assert!(with > without + 0.03, "told {with}, untold {without}, of 3");
}

//! Tests of the round trip estimates.

mod common;

use std::time::Instant;

use common::{ms, placer, request, route, server};
use place::placing::round_trip::RoundTripEstimator;
use place::prelude::*;

/// An estimate converges to the round trip from any initial value, and neither queues nor lost
/// packets raise it much.
#[test]
fn round_trips_are_learned_despite_outliers() {
    for true_round_trip in [0.4, 40.0, 190.0] {
        let mut round_trips = RoundTripEstimator::new("a1", "a");
        for step in 0..400 {
            let took = match step % 20 {
                7 => true_round_trip * 3.0,
                13 => true_round_trip + 1000.0,
                _ => true_round_trip,
            };
            round_trips.on_connected("b1", "b", took);
        }
        let learned = round_trips.round_trip("b1", "b");
        assert!(
            (learned / true_round_trip - 1.0).abs() < 0.25,
            "{learned} of {true_round_trip}"
        );
    }
    let round_trips = RoundTripEstimator::new("a1", "a");
    assert_eq!(round_trips.round_trip("a1", "a"), 0.0);
    assert!(round_trips.round_trip("a2", "a") < round_trips.round_trip("b1", "b"));
}

/// The round trip to a distant server does not count as work: an answer after the round trip
/// and the usual work leaves the server's speed unchanged. A server that joins the failure
/// domain later gets the same estimate.
#[test]
fn round_trips_do_not_count_as_work() {
    let now = Instant::now();
    let mut placer = placer(now, &[server("x", "b1")]);
    let board = route("browse", "/");
    for step in 0..60 {
        let at = now + ms(step * 500);
        let request = request(&board, Some(1));
        let placement = placer.place(at, &request).unwrap();
        let record = placer.catalog.get(placement.handle).unwrap();
        let work = placement.reason.expected - record.round_trip;
        let answered = at + ms(20 + work.round() as u64);
        placer.catalog.on_connected(placement.handle, 20.0);
        let outcome = ServerOutcome::Answered { good: true };
        placer.on_outcome(answered, &placement, &request, outcome, None);
    }
    let later = now + ms(30_000);
    let (_, record) = placer.catalog.open_servers("board").next().unwrap();
    assert!(
        (record.speed(later) - 1.0).abs() < 0.1,
        "{}",
        record.speed(later)
    );
    assert!((record.round_trip - 20.0).abs() < 3.0);
    let both = [server("x", "b1"), server("y", "b1")];
    placer
        .catalog
        .apply_snapshot(later, &common::reading(later, &both));
    let round_trips: Vec<f64> = placer
        .catalog
        .iter()
        .map(|record| record.round_trip)
        .collect();
    assert_eq!(round_trips[0], round_trips[1]);
}

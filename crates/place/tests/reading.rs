//! When an entry asks the store itself.

use std::time::{Duration, Instant};

use place::fleet::pace::ReadPace;
use place::fleet::reading::{ReadOutcome, ReadRole, ReadingPlan};

/// Promise: an entry that goes on doubting what it knows reads everything again no more often
/// than a reader reads.
#[test]
fn a_reading_that_settles_nothing_is_not_repeated_at_once() {
    let start = Instant::now();
    let pace = ReadPace::new(Duration::from_millis(2500));
    let mut plan = ReadingPlan::new(start, pace, 1);
    let role = ReadRole::Follower {
        substitute: false,
        stuck: false,
    };
    let span = Duration::from_secs(10);
    let mut calls = 0;
    let mut now = start;
    while now < start + span {
        now += Duration::from_millis(10);
        if plan.take(now, role, Some(start), true).is_some() {
            calls += 1;
            plan.on_read(now, ReadOutcome::Same);
        }
    }
    let most = span.as_millis() / pace.reader.as_millis() + 1;
    assert!(calls <= most, "{calls} calls in {span:?}");
}

//! Tests of when an entry reads the registry from the store.

use std::time::{Duration, Instant};

use place::fleet::read_intervals::ReadIntervals;
use place::fleet::reading::{ReadOutcome, ReadRole, ReadScheduler, answer_as_of};

/// An entry whose knowledge stays uncertain must not repeat full reads more often
/// than a reader reads.
#[test]
fn inconclusive_reads_are_rate_limited() {
    let start = Instant::now();
    let intervals = ReadIntervals::new(Duration::from_millis(2500));
    let mut scheduler = ReadScheduler::new(start, intervals, 1);
    let role = ReadRole::Follower {
        substitute: false,
        stuck: false,
    };
    let span = Duration::from_secs(10);
    let mut calls = 0;
    let mut now = start;
    while now < start + span {
        now += Duration::from_millis(10);
        if scheduler.begin_read(now, role, Some(start), true).is_some() {
            calls += 1;
            scheduler.on_read_finished(now, ReadOutcome::Unchanged);
        }
    }
    let max_calls = span.as_millis() / intervals.reader.as_millis() + 1;
    assert!(calls <= max_calls, "{calls} calls in {span:?}");
}

/// An answer with a change must count as of the call's start, however late it is processed,
/// since the store may have answered immediately. An answer without a change counts as of the
/// end of the wait.
#[test]
fn late_answer_with_changes_counts_from_call_start() {
    let started_at = Instant::now();
    let wait = Duration::from_millis(1080);
    let late = started_at + Duration::from_millis(2500);
    assert_eq!(answer_as_of(started_at, wait, late, true), started_at);
    assert_eq!(
        answer_as_of(started_at, wait, late, false),
        started_at + wait
    );
    let early = started_at + Duration::from_millis(300);
    assert_eq!(answer_as_of(started_at, wait, early, false), started_at);
}

/// A lead must read the store itself, all of it if need be; what other entries know of a row may
/// come from several of them, which saw it vanish at different times.
#[test]
fn leads_rely_on_their_own_reads() {
    let start = Instant::now();
    let follower = ReadRole::Follower {
        substitute: true,
        stuck: true,
    };
    let alone = ReadRole::Alone {
        used: true,
        first: start,
    };
    let cases = [
        (ReadRole::Reader, false),
        (ReadRole::Deputy, false),
        (follower, true),
        (alone, true),
    ];
    for (role, resumes) in cases {
        let mut scheduler =
            ReadScheduler::new(start, ReadIntervals::new(Duration::from_secs(3)), 1);
        let call = scheduler.begin_read(start + Duration::from_secs(9), role, Some(start), false);
        assert_eq!(call.map(|call| call.resumes), Some(resumes), "{role:?}");
    }
}

//! Tickets and at-most-once records.

use std::time::{Duration, Instant};

use base::prelude::*;
use bytes::Bytes;
use once::{
    OnceKey, OnceState, OnceTable, OnceVerdict, StampKey, StoredAnswer, Ticket, TicketVerdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn key(number: u64) -> OnceKey {
    OnceKey {
        owner: 0,
        nonce: 1,
        number,
    }
}

fn signer(run: u64, start: Instant) -> StampKey {
    StampKey::new(
        &NodeId::new(&InstanceId::new("a"), Incarnation(run)),
        [run as u8; 32],
        start,
    )
}

/// In any order of arrivals and results, a key gets [`OnceVerdict::Run`] at most once.
#[test]
fn a_key_runs_at_most_once_in_any_history() {
    let steps = prop::collection::vec((0..6_u64, 0..4_u8, 0..400_u64), 1..200);
    runner()
        .run(&steps, |steps| {
            let mut table = OnceTable::new(4);
            let mut now = Instant::now();
            let valid_until = now + Duration::from_secs(3600);
            let mut runs = [0; 6];
            let mut refused = [false; 6];
            for (number, what, seconds) in steps {
                now += Duration::from_secs(seconds.min(10));
                match what {
                    0 | 1 => {
                        if table.begin(now, &key(number), number, valid_until) == OnceVerdict::Run {
                            runs[number as usize] += 1;
                            prop_assert!(!refused[number as usize]);
                        }
                    }
                    2 => table.finish(&key(number), OnceState::Done(None)),
                    _ => {
                        if table.find(&key(number)).is_some() {
                            table.finish(&key(number), OnceState::Refused);
                            refused[number as usize] = true;
                        }
                    }
                }
                prop_assert!(table.len() <= 4);
            }
            prop_assert!(runs.iter().all(|count| *count <= 1));
            Ok(())
        })
        .unwrap();
}

/// A full table refuses new keys and evicts no record before its time.
#[test]
fn a_full_table_refuses() {
    let mut table = OnceTable::new(2);
    let now = Instant::now();
    assert_eq!(table.begin(now, &key(1), 0, now), OnceVerdict::Run);
    assert_eq!(table.begin(now, &key(2), 0, now), OnceVerdict::Run);
    assert_eq!(table.begin(now, &key(3), 0, now), OnceVerdict::Full);
    assert_eq!(
        table.begin(now, &key(1), 0, now),
        OnceVerdict::Known(OnceState::Running)
    );
    assert_eq!(table.begin(now, &key(1), 9, now), OnceVerdict::OtherRequest);
    let later = now + OnceTable::retention();
    assert_eq!(table.begin(later, &key(3), 0, later), OnceVerdict::Run);
    assert_eq!(table.len(), 1);
}

/// The body of a small answer is stored, a large one is only recorded as done.
#[test]
fn only_small_answers_are_kept() {
    let mut table = OnceTable::new(10);
    let now = Instant::now();
    for (number, size) in [(1, 100), (2, 100_000)] {
        table.begin(now, &key(number), 0, now);
        let answer = StoredAnswer {
            status: 200,
            content_type: None,
            body: Bytes::from(vec![0; size]),
        };
        table.finish(&key(number), OnceState::Done(Some(answer)));
    }
    assert!(matches!(
        table.find(&key(1)),
        Some(OnceState::Done(Some(_)))
    ));
    assert_eq!(table.find(&key(2)), Some(&OnceState::Done(None)));
}

/// A ticket is valid only for the run that signed it, and only until it expires.
#[test]
fn tickets_hold_for_one_run_and_one_time() {
    let start = Instant::now();
    let signer_of_run = signer(1, start);
    let stamp = signer_of_run.stamp(start + Duration::from_secs(10));
    let ticket = Ticket::parse(&Ticket::issue(&stamp, 77)).unwrap();
    assert_eq!(ticket.nonce, 77);
    let check = |key: &StampKey, seconds| key.check(start + Duration::from_secs(seconds), &ticket);
    assert!(matches!(check(&signer_of_run, 9), TicketVerdict::Valid(_)));
    assert!(matches!(
        check(&signer_of_run, 10),
        TicketVerdict::Expired(_)
    ));
    assert_eq!(check(&signer(2, start), 1), TicketVerdict::Forged);
}

/// Parsing arbitrary text terminates, and no altered stamp is valid.
#[test]
fn hostile_tickets_are_forged_or_unreadable() {
    let start = Instant::now();
    let key = signer(1, start);
    let good = Ticket::issue(&key.stamp(start + Duration::from_secs(10)), 1);
    runner()
        .run(&(0..good.len(), "[ -~]"), |(at, with)| {
            let mut text = good.clone();
            text.replace_range(at..=at, &with);
            let Some(ticket) = Ticket::parse(&text) else {
                return Ok(());
            };
            let same = Ticket::parse(&good).unwrap();
            let signed_part = (&ticket.node, ticket.expires_ms) == (&same.node, same.expires_ms);
            let valid = matches!(key.check(start, &ticket), TicketVerdict::Valid(_));
            prop_assert!(!valid || signed_part);
            Ok(())
        })
        .unwrap();
    runner()
        .run(&"\\PC{0,600}", |text| {
            let _ = Ticket::parse(&text);
            Ok(())
        })
        .unwrap();
}

/// A record belongs to its owner: another caller with the same ticket and number learns nothing
/// about it.
#[test]
fn records_are_private_to_their_owner() {
    let mut table = OnceTable::new(4);
    let now = Instant::now();
    let red = OnceKey { owner: 1, ..key(9) };
    assert_eq!(table.begin(now, &red, 5, now), OnceVerdict::Run);
    table.finish(&red, OnceState::Done(None));
    let blue = OnceKey { owner: 2, ..red };
    assert_eq!(table.begin(now, &blue, 5, now), OnceVerdict::Run);
    let again = table.begin(now, &red, 5, now);
    assert_eq!(again, OnceVerdict::Known(OnceState::Done(None)));
}

//! What a follower learns of a reader's readings.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use common::{reading, server};
use place::prelude::*;
use place::view::{ServerCopy, ServerLog, ViewAnswer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that each run gives the same verdict.
const SEED: u64 = 7;

fn answer(log: &ServerLog, copy: &ServerCopy) -> ViewAnswer {
    let (mark, whole, entries, gone) = log.since(copy.mark());
    ViewAnswer {
        mark,
        age: Duration::ZERO,
        trouble: false,
        whole,
        entries,
        gone,
        foreign: log.foreign().to_vec(),
        desired: 1,
        operator: 1,
        evacuated: Vec::new(),
    }
}

/// Promise: a reading that brought only heartbeats costs a follower nothing.
#[test]
fn heartbeats_are_not_told() {
    let now = Instant::now();
    let mut log = ServerLog::new(1);
    let mut copy = ServerCopy::default();
    log.on_read(&reading(now, &[server("x", "a1")]));
    copy.on_answer(now, &answer(&log, &copy));
    let mut beat = server("x", "a1");
    beat.seq = 9;
    log.on_read(&reading(now, &[beat]));
    let next = answer(&log, &copy);
    assert!(next.entries.is_empty() && next.gone.is_empty() && !next.whole);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Promise: whatever servers come, go and change, and whichever answers are
    /// missed or readers replaced, a follower that hears again knows what its
    /// reader knows.
    #[test]
    fn a_follower_catches_up(steps in prop::collection::vec((0u8..40, any::<bool>(), any::<bool>(), any::<bool>()), 1..300)) {
        let now = Instant::now();
        let mut run = 1;
        let mut log = ServerLog::new(run);
        let mut copy = ServerCopy::default();
        let mut present: BTreeSet<u8> = BTreeSet::new();
        let mut leaving: BTreeSet<u8> = BTreeSet::new();
        for (server_number, leaves, heard, restarted) in steps {
            if !present.insert(server_number) && !leaving.insert(server_number) {
                present.remove(&server_number);
                leaving.remove(&server_number);
            }
            if restarted && leaves {
                run += 1;
                log = ServerLog::new(run);
            }
            let entries: Vec<ServerEntry> = present
                .iter()
                .map(|number| {
                    let mut entry = server(&format!("s{number}"), "a1");
                    if leaving.contains(number) {
                        entry.state = EntryState::Draining;
                    }
                    entry
                })
                .collect();
            log.on_read(&reading(now, &entries));
            if !heard {
                continue;
            }
            let mut known = copy.on_answer(now, &answer(&log, &copy)).entries;
            let mut expected = entries.clone();
            known.sort_by(|left, right| left.id.cmp(&right.id));
            expected.sort_by(|left, right| left.id.cmp(&right.id));
            prop_assert_eq!(known, expected);
        }
    }
}

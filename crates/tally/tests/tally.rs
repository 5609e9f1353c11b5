//! Counts that entries tell each other.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tally::{CountWord, PeerTally};

/// Fixed, so that each run gives the same verdict.
const SEED: u64 = 5;
const LIFE: Duration = Duration::from_millis(500);

fn word(run: u64, age: u64, counts: &[(u8, u32)]) -> CountWord<u8> {
    CountWord {
        run,
        age: Duration::from_millis(age),
        counts: counts.to_vec(),
    }
}

/// Promise: what was counted before an entry began to listen isn't news, what comes after is,
/// and a later run counts anew.
#[test]
fn only_news_is_news() {
    let begun = Instant::now();
    let now = begun + Duration::from_secs(2);
    let mut tally = PeerTally::new(LIFE).with_begin(begun);
    assert!(
        tally
            .on_word(now, 1, &word(7, 60_000, &[(0, 900)]))
            .is_empty()
    );
    assert_eq!(
        tally.on_word(now, 1, &word(7, 60_100, &[(0, 904)])),
        [(0, 4)]
    );
    assert_eq!(tally.on_word(now, 1, &word(8, 300, &[(0, 3)])), [(0, 3)]);
    assert!(
        tally
            .on_word(now, 1, &word(7, 60_200, &[(0, 999)]))
            .is_empty()
    );
    // One of the count was taken back.
    assert_eq!(tally.on_word(now, 1, &word(8, 400, &[(0, 2)])), [(0, -1)]);
}

/// Promise: an entry that was forgotten and comes back isn't counted twice.
#[test]
fn who_comes_back_is_not_counted_twice() {
    let begun = Instant::now();
    let mut tally = PeerTally::new(LIFE).with_begin(begun);
    let early = begun + Duration::from_secs(3);
    assert_eq!(
        tally.on_word(early, 1, &word(7, 900, &[(0, 50)])),
        [(0, 50)]
    );
    tally.retain(|_, _| false);
    let late = begun + Duration::from_secs(90);
    assert!(
        tally
            .on_word(late, 1, &word(7, 88_000, &[(0, 60)]))
            .is_empty()
    );
    assert_eq!(
        tally.on_word(late, 1, &word(7, 88_100, &[(0, 61)])),
        [(0, 1)]
    );
}

/// Promise: others are taken to go on as this entry does, until they are heard or silent.
#[test]
fn the_unheard_is_reckoned() {
    let begun = Instant::now();
    let at = |millis| begun + Duration::from_millis(millis);
    let mut tally = PeerTally::new(LIFE).with_begin(begun);
    for peer in [1, 2] {
        tally.on_word(at(100), peer, &word(1, 100, &[]));
    }
    for millis in [150, 200, 250] {
        tally.add(at(millis), 0_u8);
    }
    assert_eq!(tally.unheard(at(260), 0), 6);
    tally.on_word(at(210), 2, &word(1, 210, &[(0, 5)]));
    assert_eq!(tally.unheard(at(260), 0), 4);
    tally.take_back(0);
    assert_eq!(tally.unheard(at(260), 0), 2);
    assert_eq!(tally.unheard(at(650), 0), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Promise: whichever words get lost, all that a run counted is heard by its next word.
    #[test]
    fn lost_words_lose_no_count(steps in proptest::collection::vec((0..4_u32, any::<bool>()), 1..60)) {
        let begun = Instant::now();
        let mut tally = PeerTally::new(LIFE).with_begin(begun);
        let (mut total, mut heard) = (0, 0);
        for (turn, (added, arrives)) in steps.iter().enumerate() {
            total += added;
            let now = begun + Duration::from_millis(100 * (turn as u64 + 1));
            if *arrives {
                let news = tally.on_word(now, 1, &word(1, 50, &[(0, total)]));
                heard += news.iter().map(|(_, added)| added).sum::<i64>();
                prop_assert_eq!(heard, i64::from(total));
            }
        }
    }
}

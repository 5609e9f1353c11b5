//! How often entries tell each other their load.

use std::time::Duration;

use place::placing::load::{is_sent_far, load_interval};

/// Promise: in a region of up to 28 entries each hears the load of each other three times
/// a second, up to 110 of other regions hear it once a second, in a fleet of nine with
/// every word, and nobody sends more than 85 words a second within its region and 170 to
/// others.
#[test]
fn words_on_load_are_fresh_where_they_count() {
    for near in 0..=27_u32 {
        let pause = load_interval(near);
        assert!(pause <= Duration::from_millis(334), "{near}: {pause:?}");
        assert!(f64::from(near) / pause.as_secs_f64() <= 85.0, "{near}");
        for far in 0..=110_u32 {
            let first_far = (1..).find(|round| is_sent_far(*round, near, far));
            let pause = pause * first_far.unwrap();
            assert!(
                pause <= Duration::from_millis(1000),
                "{near}, {far}: {pause:?}"
            );
            assert!(
                f64::from(far) / pause.as_secs_f64() <= 170.0,
                "{near}, {far}"
            );
        }
    }
    assert!((0..20).all(|round| is_sent_far(round, 2, 6)));
    let rounds = (0..300).filter(|round| is_sent_far(*round, 13, 68));
    assert_eq!(rounds.count(), 100);
}

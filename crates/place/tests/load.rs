//! Tests of the intervals between load updates.

use std::time::Duration;

use place::placing::load::{is_sent_far, load_interval};

/// In a region of up to 28 instances each gets the load of the others three times per second.
/// Up to 110 instances of other regions get it once per second, and with every update in a
/// fleet of nine. No instance sends more than 85 updates per second within its region and 170
/// to others.
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

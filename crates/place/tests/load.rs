//! How often entries tell each other their load.

use std::time::Duration;

use place::load::{is_told_far, load_pause};

/// Promise: in a region of up to 28 entries each hears the load of each other three times
/// a second, those of other regions hear it once a second, and nobody sends more than
/// 85 words a second within its region.
#[test]
fn words_on_load_are_fresh_where_they_count() {
    for near in 0..=27_u32 {
        let pause = load_pause(near);
        assert!(pause <= Duration::from_millis(334), "{near}: {pause:?}");
        let far = (1..=4).find(|round| is_told_far(*round)).unwrap();
        assert!(pause * far <= Duration::from_millis(1000), "{near}");
        assert!(f64::from(near) / pause.as_secs_f64() <= 85.0, "{near}");
    }
    let mut rounds = (0..300).filter(|round| is_told_far(*round));
    assert_eq!(rounds.by_ref().count(), 100);
}

//! Which connection makes room for a new one.

use std::time::{Duration, Instant};

use hold::connections::{Standing, choose_yielding};

#[test]
fn the_longest_silent_connection_makes_room_before_idle_ones() {
    let now = Instant::now();
    let soon = now + Duration::from_millis(1);
    let connections = [
        (1, Standing::Idle, now),
        (2, Standing::Silent, soon),
        (3, Standing::Silent, now),
        (4, Standing::Busy, now),
    ];
    assert_eq!(choose_yielding(connections), Some(3));
}

#[test]
fn connections_that_are_closed_already_make_room_first() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let connections = [(1, Standing::Silent, now), (2, Standing::Closing, later)];
    assert_eq!(choose_yielding(connections), Some(2));
}

#[test]
fn connections_with_requests_stay() {
    let now = Instant::now();
    assert_eq!(choose_yielding([(1, Standing::Busy, now)]), None);
}

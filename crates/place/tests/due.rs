//! When an entry looks again at what it knows of others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::fleet::member::MemberConfig;
use place::fleet::seat::LeadSeat;
use place::prelude::*;

const DRAIN: Duration = Duration::from_millis(3000);

fn member(now: Instant) -> FleetMember {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let seat = LeadSeat {
        node: "n1".to_owned(),
        domain: "a1".to_owned(),
        beat: address,
        view: address,
        capacity: 100,
        reads: true,
        leads: false,
    };
    let config = MemberConfig {
        incarnation: 1,
        seat,
        region: "a".to_owned(),
        front: address,
        regions: vec!["a".to_owned()],
        seeds: Vec::new(),
        drain: DRAIN,
    };
    FleetMember::new(now, config)
}

/// Promise: an entry that hears no lead looks for one in time, though other datagrams wake its
/// loop more often than it looks.
#[test]
fn an_entry_that_is_woken_often_looks_in_time() {
    const WOKEN_EVERY: Duration = Duration::from_millis(5);
    const LATE_MOST: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut member = member(start);
    let mut actions = Vec::new();
    member.on_event(start, FleetEvent::Clock, &mut actions);
    let (mut now, mut looked_at) = (start, start);
    for _ in 0..1000 {
        now += WOKEN_EVERY;
        if now >= member.due(now) {
            member.on_event(now, FleetEvent::Clock, &mut actions);
            looked_at = now;
        }
        assert!(
            now - looked_at <= LATE_MOST,
            "not looked since {looked_at:?}"
        );
    }
    let reads = actions
        .iter()
        .any(|action| matches!(action, FleetAction::ReadRegistry(_)));
    assert!(reads, "it asks the store itself");
}

//! Tests of server selection.

mod common;

use std::time::{Duration, Instant};

use common::{ms, placer, reading, request, route, server};
use place::placing::load::{LoadReport, short_id};
use place::prelude::*;
use place::rank::stable_hash;
use place::server::ServerReport;

const GOOD: ServerOutcome = ServerOutcome::Answered { good: true };

fn four_servers() -> Vec<ServerEntry> {
    vec![
        server("p", "a1"),
        server("q", "a1"),
        server("r", "a2"),
        server("s", "b1"),
    ]
}

/// Requests for an object go to the same server each time, and different objects use different
/// servers.
#[test]
fn requests_for_an_object_use_the_same_server() {
    let now = Instant::now();
    let mut placer = placer(now, &four_servers());
    let browse = route("browse", "/");
    let mut servers = std::collections::HashSet::new();
    for object in 0..20u64 {
        let mut first = None;
        for turn in 0..5u64 {
            let at = now + ms(3000 * turn + 100 * object);
            let wanted = request(&browse, Some(object.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            let placement = placer.place(at, &wanted).unwrap();
            placer.on_outcome(at + ms(50), &placement, &wanted, GOOD, None);
            let id = first.get_or_insert(placement.id.clone());
            assert_eq!(*id, placement.id, "object {object}");
        }
        servers.extend(first);
    }
    assert!(servers.len() >= 3, "{servers:?}");
}

/// A server that rejects requests as full gets no more until it has capacity again.
#[test]
fn a_full_server_gets_no_requests() {
    let now = Instant::now();
    let mut placer = placer(now, &four_servers());
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let placement = placer.place(now, &wanted).unwrap();
    placer.on_outcome(now + ms(5), &placement, &wanted, ServerOutcome::Full, None);
    let next = placer.place(now + ms(10), &wanted).unwrap();
    assert_ne!(next.id, placement.id);
}

/// An unreachable server is paused, and used again after the pause.
#[test]
fn unreachable_server_is_paused_and_reused() {
    let now = Instant::now();
    let only = [server("p", "a1")];
    let mut placer = placer(now, &only);
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let placement = placer.place(now, &wanted).unwrap();
    placer.on_outcome(now, &placement, &wanted, ServerOutcome::Unreachable, None);
    assert!(placer.place(now + ms(100), &wanted).is_err());
    assert!(placer.place(now + ms(700), &wanted).is_ok());
}

/// A request that can't be answered in time is refused at once, with a retry delay that a
/// caller can keep.
#[test]
fn late_requests_are_refused_at_once() {
    let now = Instant::now();
    let mut placer = placer(now, &[server("p", "a1")]);
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let report = ServerReport {
        running: 4,
        waiting: 12,
        slots: 4,
    };
    let placement = placer.place(now, &wanted).unwrap();
    placer.on_outcome(now + ms(1), &placement, &wanted, GOOD, Some(&report));
    let refusal = placer.place(now + ms(2), &wanted).unwrap_err();
    assert!(refusal.retry_after >= ms(100), "{refusal:?}");
    assert!(refusal.retry_after <= ms(1000), "{refusal:?}");
}

/// A route with home regions never leaves them, even if no server is available there.
#[test]
fn requests_stay_in_home_regions() {
    let now = Instant::now();
    let mut placer = placer(now, &four_servers());
    let mut bound = route("browse", "/");
    bound.home_regions = vec!["b".to_owned()];
    for turn in 0..50u64 {
        let wanted = request(&bound, Some(turn));
        let Ok(placement) = placer.place(now + ms(turn), &wanted) else {
            continue;
        };
        assert_eq!(placement.id, "s");
    }
    bound.home_regions = vec!["c".to_owned()];
    let refusal = placer.place(now, &request(&bound, None)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoServer);
}

/// A cold server gets at most its rate, even if there is no other server.
#[test]
fn a_cold_server_gets_at_most_its_rate() {
    let now = Instant::now();
    let mut cold = server("p", "a1");
    cold.cold_remaining = Duration::from_secs(30);
    let mut placer = placer(now, &[cold]);
    let browse = route("browse", "/");
    let mut sent = 0;
    for turn in 0..1000u64 {
        let wanted = request(&browse, Some(turn));
        let at = now + ms(10 * turn);
        if let Ok(placement) = placer.place(at, &wanted) {
            sent += 1;
            placer.on_outcome(at + ms(5), &placement, &wanted, GOOD, None);
        }
    }
    assert!(
        (5..=10).contains(&sent),
        "{sent} requests in ten seconds from one entry"
    );
}

/// A report of an entry of another region.
fn load_report(load: Vec<(u32, u16)>) -> LoadReport {
    LoadReport {
        load,
        sent: Vec::new(),
        handled: Vec::new(),
    }
}

/// Requests of other entries count towards a server's load like own ones.
#[test]
fn requests_of_other_entries_count_as_load() {
    let now = Instant::now();
    let mut placer = placer(now, &[server("p", "a1")]);
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let name = {
        let placement = placer.place(now, &wanted).unwrap();
        let list = placer.own_load(now);
        placer.on_outcome(now, &placement, &wanted, GOOD, None);
        list.load[0].0
    };
    placer.on_peer_load(now + ms(1), 5, load_report(vec![(name, 12)]));
    assert!(placer.place(now + ms(2), &wanted).is_err());
    placer.on_peer_load(now + ms(3), 5, load_report(Vec::new()));
    assert!(placer.place(now + ms(4), &wanted).is_ok());
}

/// An entry that died with requests at a server must not block that server: its load
/// expires.
#[test]
fn load_of_dead_entry_expires() {
    let now = Instant::now();
    let mut placer = placer(now, &[server("p", "a1")]);
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let placement = placer.place(now, &wanted).unwrap();
    let name = placer.own_load(now).load[0].0;
    placer.on_outcome(now, &placement, &wanted, GOOD, None);
    placer.on_peer_load(now, 5, load_report(vec![(name, 12)]));
    placer.on_peer_load(now + ms(2000), 6, load_report(Vec::new()));
    assert!(placer.place(now + ms(2001), &wanted).is_ok());
}

/// The load of dead entries also expires at the last entry, which receives no reports that
/// could trigger it.
#[test]
fn load_of_dead_entries_expires_without_reports() {
    let now = Instant::now();
    let mut placer = placer(now, &[server("p", "a1")]);
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let placement = placer.place(now, &wanted).unwrap();
    let name = placer.own_load(now).load[0].0;
    placer.on_outcome(now, &placement, &wanted, GOOD, None);
    placer.on_peer_load(now, 5, load_report(vec![(name, 12)]));
    assert!(placer.place(now + ms(1400), &wanted).is_err());
    assert!(placer.place(now + ms(1600), &wanted).is_ok());
}

/// A report takes effect within 60 ms among reports of 5,900 entries.
#[test]
fn load_report_takes_effect_in_time_among_many() {
    let now = Instant::now();
    let mut placer = placer(now, &[server("p", "a1")]);
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let placement = placer.place(now, &wanted).unwrap();
    let name = placer.own_load(now).load[0].0;
    placer.on_outcome(now, &placement, &wanted, GOOD, None);
    for entry in 0..5900 {
        placer.on_peer_load(now, entry, load_report(Vec::new()));
    }
    assert!(placer.place(now + ms(1), &wanted).is_ok());
    placer.on_peer_load(now + ms(2), 5, load_report(vec![(name, 12)]));
    assert!(placer.place(now + ms(61), &wanted).is_err());
}

/// An object that keeps more than one server busy gets a second one, even if the others are in
/// use for other objects.
#[test]
fn a_hot_object_gets_more_servers() {
    let now = Instant::now();
    let servers: Vec<ServerEntry> = ["p", "q", "r"].map(|id| server(id, "a1")).to_vec();
    let busy: Vec<(u32, u16)> = ["p", "q", "r"]
        .map(|id| (short_id(stable_hash(id.as_bytes())), 2))
        .to_vec();
    let mut placer = placer(now, &servers);
    let browse = route("browse", "/");
    let mut served = std::collections::HashSet::new();
    let mut open: Vec<(Instant, Placement)> = Vec::new();
    for turn in 0..600u64 {
        let at = now + ms(20 * turn);
        let wanted = request(&browse, Some(7));
        let due = open.iter().position(|(ends, _)| *ends <= at);
        if let Some(due) = due {
            let (_, placement) = open.remove(due);
            placer.on_outcome(at, &placement, &wanted, GOOD, None);
        }
        placer.own_load(at);
        placer.on_peer_load(at, 5, load_report(busy.clone()));
        placer.on_request(at, &browse, Some(7), Some(ms(3000)));
        if let Ok(placement) = placer.place(at, &wanted) {
            // In the first turns the load of the other servers is not known yet.
            if turn > 200 {
                served.insert(placement.id.clone());
            }
            open.push((at + ms(180), placement));
        }
    }
    assert!(served.len() >= 2, "{served:?}");
}

/// Replacing a server moves only the objects of that server.
#[test]
fn a_replacement_moves_only_its_own_objects() {
    let now = Instant::now();
    let names: Vec<String> = (0..10).map(|n| format!("p{n}")).collect();
    let servers: Vec<ServerEntry> = names.iter().map(|id| server(id, "a1")).collect();
    let mut placer = placer(now, &servers);
    let browse = route("browse", "/");
    let place_all = |placer: &mut RequestPlacer, at: Instant| -> Vec<String> {
        (0..200u64)
            .map(|object| {
                let wanted = request(&browse, Some(object.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
                let placement = placer.place(at, &wanted).unwrap();
                placer.on_outcome(at, &placement, &wanted, GOOD, None);
                placement.id
            })
            .collect()
    };
    let before = place_all(&mut placer, now);
    let mut replaced = servers.clone();
    replaced[3] = server("new", "a1");
    let later = now + Duration::from_secs(60);
    placer
        .catalog
        .apply_snapshot(later, &reading(later, &replaced));
    let after = place_all(&mut placer, later + ms(1));
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(old, new)| old != new && *old != "p3" && *new != "new")
        .count();
    assert_eq!(moved, 0, "objects of the other servers must not move");
}

/// Requests without an object, or of a route without affinity, spread over all servers as these
/// fill up.
#[test]
fn requests_without_affinity_are_spread() {
    let now = Instant::now();
    let servers: Vec<ServerEntry> = ["p", "q", "r"].map(|id| server(id, "a1")).to_vec();
    let held = route("browse", "/");
    let mut plain = route("browse", "/");
    plain.sticky = false;
    for (asked, object) in [(&held, None), (&plain, Some(7))] {
        let mut placer = placer(now, &servers);
        let mut counts = std::collections::HashMap::new();
        for _ in 0..12 {
            let placement = placer.place(now, &request(asked, object)).unwrap();
            *counts.entry(placement.id).or_insert(0) += 1;
        }
        assert_eq!(counts.len(), 3, "{counts:?}");
        assert!(counts.values().all(|count| *count == 4), "{counts:?}");
    }
}

/// Answers of 90 kB come from the own failure domain, whichever server of the region has the
/// highest rank for the object. Small answers come from the object's preferred server.
#[test]
fn large_answers_come_from_the_own_domain() {
    let now = Instant::now();
    let domains_of = |bytes: u64| -> Vec<bool> {
        let servers = [
            server("p", "a1"),
            server("q", "a1"),
            server("r", "a2"),
            server("t", "a2"),
        ];
        let mut placer = placer(now, &servers);
        let browse = route("browse", "/");
        for _ in 0..100 {
            placer.on_answer_size(&browse, bytes);
        }
        let objects = (0..40_u64).map(|object| stable_hash(&object.to_le_bytes()));
        let places = objects.map(|object| {
            let wanted = request(&browse, Some(object));
            let placement = placer.place(now, &wanted).unwrap();
            placer.on_outcome(now + ms(50), &placement, &wanted, GOOD, None);
            ["p", "q"].contains(&placement.id.as_str())
        });
        places.collect()
    };
    assert!(domains_of(90_000).into_iter().all(|own| own));
    let small = domains_of(400);
    let own = small.iter().filter(|own| **own).count();
    assert!((10..=30).contains(&own), "{own} of {}", small.len());
}

/// If the preferred server of a hot object is busier, the object goes to a server that is
/// reported to have it cached.
#[test]
fn hot_object_goes_to_server_that_caches_it() {
    let now = Instant::now();
    let servers = [server("p", "a1"), server("q", "a1"), server("t", "b1")];
    let mut placer = placer(now, &servers);
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let first = placer.place(now, &wanted).unwrap();
    placer.on_outcome(now + ms(50), &first, &wanted, GOOD, None);
    let other = if first.id == "p" { "q" } else { "p" };
    let name = |id: &str| short_id(stable_hash(id.as_bytes()));
    let mut at = now;
    for step in 0..40 {
        at = now + ms(100 + 80 * step);
        let mut peer_report = load_report(vec![(name(&first.id), 10), (name(other), 2)]);
        peer_report.handled = vec![(name(other), short_id(7))];
        placer.on_peer_load(at, 5, peer_report);
        placer.own_load(at);
    }
    assert_eq!(placer.place(at + ms(1), &wanted).unwrap().id, other);
}

/// If the preferred server is full and there is no other region, a second server takes the
/// object, although neither is known to have it cached.
#[test]
fn full_preferred_server_spills_to_second_server() {
    let now = Instant::now();
    let mut placer = placer(
        now,
        &[server("p", "a1"), server("q", "a1"), server("r", "a1")],
    );
    let browse = route("browse", "/");
    let wanted = request(&browse, Some(7));
    let first = placer.place(now, &wanted).unwrap();
    let name = short_id(stable_hash(first.id.as_bytes()));
    placer.on_peer_load(now + ms(1), 5, load_report(vec![(name, 11)]));
    let second = placer.place(now + ms(2), &wanted).unwrap();
    assert_ne!(second.id, first.id);
}

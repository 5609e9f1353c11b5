//! Lead selection and state dissemination of a simulated fleet, in virtual time.

mod fleet_world;

use std::time::Duration;

use fleet_world::{DRAIN, FleetWorld, REGIONS, domain_of, ms, region_of};
use place::fleet::log::log_version;
use place::fleet::message::{PeerMessage, RegionDigest, RegionSummary};
use place::fleet::store_progress::StoreProgressReport;
use place::prelude::*;

/// Time until a placed request reaches a server of another region over a new connection.
const FAR_SEND: Duration = ms(3 * 35);

/// Creates a fleet of `count` entries and runs it until its leads are stable.
fn settled(count: usize) -> FleetWorld {
    let mut world = FleetWorld::new(count);
    world.run(ms(8000));
    assert!(world.is_settled());
    world
}

/// When all entries start at once, each region gets two leads with a high capacity in
/// different failure domains, and all entries know the state of the store within 1.5 s
/// with few calls.
#[test]
fn starting_fleet_converges_with_few_calls() {
    for count in [12, 300, 1000] {
        let mut world = FleetWorld::new(count);
        let took = world.until_known(ms(3000));
        assert!(took <= ms(1500), "{count} entries took {took:?}");
        world.run(ms(2000));
        assert!(world.is_settled(), "{count}");
        for region in 0..REGIONS {
            let leads = world.leads(region);
            assert_ne!(domain_of(leads[0]), domain_of(leads[1]));
            let able = |entry: &usize| (entry / REGIONS).is_multiple_of(11);
            assert!(count < 100 || leads.iter().all(able), "{leads:?}");
        }
        let able = count as u64 / 11 + 3;
        // Entries with a high capacity read both tables at once; the others get them from
        // leads.
        assert!(
            world.calls <= 3 * able + 60,
            "{count}: {} calls",
            world.calls
        );
    }
}

/// Without failures a fleet makes the same number of store calls whatever its size, and
/// an entry that is not a lead exchanges the same few datagrams.
#[test]
fn steady_state_cost_is_independent_of_fleet_size() {
    let mut seen = Vec::new();
    for count in [100, 1000] {
        let mut world = settled(count);
        let calls = world.calls_in(ms(20_000));
        let follower = (0..count).find(|entry| !world.entries[*entry].member.leads());
        let before = world.entries[follower.unwrap()].datagrams;
        world.run(ms(20_000));
        let datagrams = world.entries[follower.unwrap()].datagrams - before;
        // Heartbeats to two leads and their digests.
        assert!(datagrams <= 9 * 20, "{count}: {datagrams} datagrams");
        seen.push(calls);
    }
    let (few, many) = (seen[0], seen[1]);
    assert!(
        many.abs_diff(few) <= 4,
        "{few} calls at 100, {many} at 1000"
    );
    assert!(many <= 7 * 20, "{many} calls in 20 s");
}

/// A change in the store reaches all entries within 1.1 s.
#[test]
fn change_reaches_all_entries_in_time() {
    for count in [12, 300, 1000] {
        let mut world = settled(count);
        for _ in 0..5 {
            world.change();
            let took = world.until_known(DRAIN);
            assert!(took < ms(1100), "{count} entries took {took:?}");
            world.run(ms(700));
        }
    }
}

/// If a region loses its reader, its deputy or both, every entry still learns of a change
/// before the drain time of a server is over.
#[test]
fn changes_arrive_in_time_after_loss_of_leads() {
    for count in [12, 300] {
        for lost in [&[0][..], &[1], &[0, 1]] {
            let mut world = settled(count);
            let mut leads = world.leads(1);
            leads.sort_by_key(|entry| {
                !matches!(
                    world.entries[*entry].notes.last(),
                    Some(FleetChange::StartedLeading(_))
                )
            });
            for index in lost {
                world.kill(leads[*index]);
            }
            let before = world.calls;
            world.run(ms(100));
            world.change();
            let took = world.until_known(ms(6000));
            assert!(took <= DRAIN, "{count} entries, {lost:?} lost: {took:?}");
            world.run(ms(4000));
            assert!(world.is_settled(), "{count}, {lost:?}");
            // Followers read the store themselves only while there is no lead.
            let calls = world.calls - before;
            let most = 50
                + if lost.len() == 2 {
                    2 * count as u64 / 3 + 20
                } else {
                    0
                };
            assert!(calls <= most, "{count}, {lost:?}: {calls} calls");
        }
    }
}

/// Entries whose pulls fail although digests announce changes read the store in time, and
/// no more often than a reader.
#[test]
fn entries_with_failing_pulls_read_the_store() {
    let mut world = settled(300);
    let failing: Vec<usize> = (100..110)
        .filter(|entry| !world.entries[*entry].member.leads())
        .collect();
    for entry in &failing {
        world.entries[*entry].pulls_fail = true;
    }
    world.change();
    let took = world.until_known(ms(6000));
    assert!(took <= DRAIN, "{took:?}");
    // A missing list keeps these entries waiting for an answer.
    for lead in 0..REGIONS {
        let lead = world.leads(lead)[0];
        let mut own = world.entries[lead].own.clone();
        own.rate = 50;
        own.stamp = "new".to_owned();
        world.set_own(lead, own);
    }
    world.run(ms(2000));
    let calls = world.calls_in(ms(10_000));
    assert!(
        calls <= 70 + failing.len() as u64 * 10 * 2,
        "{calls} calls in 10 s"
    );
}

/// If the store answers neither lead of a region although both are alive and reachable,
/// the other entries of the region learn of changes in time: from leads of other regions
/// or, if those are unreachable, from a substitute that reads the store and becomes a
/// lead.
#[test]
fn changes_arrive_in_time_without_store_access_of_leads() {
    for count in [12, 300] {
        for is_partitioned in [false, true] {
            let mut world = settled(count);
            let leads = world.leads(1);
            for lead in &leads {
                world.entries[*lead].store_times_out = true;
            }
            for entry in 0..count {
                let is_cut = is_partitioned && region_of(entry) == 1;
                world.entries[entry].group = u32::from(is_cut);
            }
            for wait in [300, 700, 1300] {
                world.run(ms(wait));
                world.change();
                let started_at = world.now;
                while world.behind().iter().any(|entry| !leads.contains(entry)) {
                    world.run(ms(10));
                    let took = world.now - started_at;
                    assert!(
                        took <= DRAIN,
                        "{count} entries, partitioned {is_partitioned}: {took:?}"
                    );
                }
            }
        }
    }
}

/// While the store rejects a third of the entries, including the leads of one region, all
/// entries learn of changes in time, with no more calls than leads make.
#[test]
fn entries_rejected_by_store_learn_of_changes() {
    for count in [12, 300] {
        let mut world = settled(count);
        for entry in 0..count {
            world.entries[entry].store_rejects = entry % 3 == 1 && entry % 2 == 0;
        }
        for lead in world.leads(2) {
            world.entries[lead].store_rejects = true;
        }
        let calls = world.calls_in(ms(1000));
        for _ in 0..4 {
            world.change();
            // The first change may come before the leads notice that they are rejected.
            let took = world.until_known(ms(6000));
            assert!(took <= ms(4000), "{count} entries took {took:?}");
            world.run(ms(1000));
        }
        let calls = calls + world.calls_in(ms(5000));
        assert!(calls <= 20 * 6, "{count}: {calls} calls in 6 s");
    }
}

/// During a store outage only the leads and one or two substitutes call the store. All
/// entries know its state soon after it is back.
#[test]
fn unavailable_store_gets_few_calls() {
    let mut seen = Vec::new();
    for count in [100, 1000] {
        let mut world = settled(count);
        world.store_down = true;
        seen.push(world.calls_in(ms(10_000)));
        world.change_unseen();
        world.store_down = false;
        let took = world.until_known(ms(6000));
        assert!(took <= ms(2500), "{count} entries took {took:?}");
    }
    assert!(
        seen[1] <= seen[0] + 20 && seen[1] <= 350,
        "{seen:?} calls in 10 s"
    );
}

/// Entries that are partitioned from the rest, but not from the store, learn of changes
/// in time, and rejoin the fleet soon after the partition ends.
#[test]
fn partitioned_entries_learn_of_changes() {
    for count in [12, 300] {
        let mut world = settled(count);
        let part: Vec<usize> = (0..count)
            .filter(|entry| domain_of(*entry) == "d1-0")
            .collect();
        for entry in &part {
            world.entries[*entry].group = 1;
        }
        world.run(ms(2600));
        world.change();
        let took = world.until_known(ms(6000));
        assert!(took <= DRAIN, "{count} entries took {took:?}");
        world.run(ms(6000));
        for entry in &part {
            world.entries[*entry].group = 0;
        }
        world.run(ms(4000));
        assert!(world.is_settled(), "{count}: {:?}", world.leads(1));
        world.change();
        let took = world.until_known(ms(6000));
        assert!(took <= ms(1100), "{count} entries took {took:?}");
    }
}

/// Regions partitioned for minutes drop each other's entries, keep running on their own
/// and find each other again within seconds.
#[test]
fn partitioned_regions_reconnect() {
    let mut world = settled(60);
    for entry in 0..60 {
        world.entries[entry].group = region_of(entry) as u32;
    }
    world.run(ms(200_000));
    world.change();
    assert!(world.until_known(ms(6000)) <= ms(1100));
    let active_regions = |world: &FleetWorld, entry: usize| {
        let regions = world.entries[entry].member.regions();
        regions.active_regions(world.now).count()
    };
    assert!((0..60).all(|entry| active_regions(&world, entry) == 1));
    for entry in 0..60 {
        world.entries[entry].group = 0;
    }
    world.run(ms(3000));
    assert!((0..60).all(|entry| active_regions(&world, entry) == REGIONS));
}

/// A lost region is no longer advertised after a few seconds, and returns soon after its
/// restart. The same holds for the whole fleet after a loss of all entries.
#[test]
fn lost_region_and_lost_fleet_recover() {
    for lost in [vec![1], vec![0, 1, 2]] {
        let mut world = settled(300);
        let gone: Vec<usize> = (0..300)
            .filter(|entry| lost.contains(&region_of(*entry)))
            .collect();
        for entry in &gone {
            world.kill(*entry);
        }
        world.run(ms(6000));
        for entry in world.live() {
            let regions = world.entries[entry].member.regions();
            assert!(
                !regions
                    .active_regions(world.now)
                    .any(|region| region == "r1")
            );
        }
        for entry in &gone {
            world.restart(*entry);
        }
        let took = world.until_known(ms(6000));
        assert!(took <= ms(1500), "{lost:?}: {took:?}");
        world.run(ms(3000));
        assert!(world.is_settled(), "{lost:?}");
    }
}

/// An entry that shuts down is no longer advertised within 150 ms, even if it is a lead.
#[test]
fn stopping_entry_is_not_advertised() {
    for leads in [false, true] {
        let mut world = settled(300);
        let listed = |world: &FleetWorld, entry: usize, node: &str| {
            let regions = world.entries[entry].member.regions();
            regions
                .listed(world.now)
                .any(|(_, listed)| listed.node == node && listed.named)
        };
        let named = (0..300).find(|entry| {
            let is_named = listed(&world, 0, &format!("n{entry}"));
            is_named && world.entries[*entry].member.leads() == leads
        });
        // If no lead is advertised, use any lead.
        let leaving = named.unwrap_or_else(|| world.leads(0)[0]);
        let node = format!("n{leaving}");
        let mut own = world.entries[leaving].own.clone();
        own.leaving = true;
        own.ready = false;
        world.set_own(leaving, own);
        world.run(ms(150));
        let near = region_of(leaving);
        let telling: Vec<usize> = (0..300)
            .filter(|entry| region_of(*entry) == near && *entry != leaving)
            .filter(|entry| listed(&world, *entry, &node))
            .collect();
        assert!(telling.is_empty(), "leads {leads}: {telling:?}");
        world.kill(leaving);
        world.run(ms(4000));
        assert!(world.is_settled());
    }
}

/// During a rolling restart of half the entries no region is without a lead at the end,
/// and all entries know the state of the store within half a second.
#[test]
fn rolling_restart_leaves_every_region_with_leads() {
    let mut world = settled(300);
    for entry in (0..300).step_by(2) {
        let mut own = world.entries[entry].own.clone();
        own.leaving = true;
        own.ready = false;
        world.set_own(entry, own);
        world.run(ms(40));
        world.kill(entry);
        world.run(ms(20));
        world.restart(entry);
        if entry % 30 == 0 {
            world.change();
        }
        world.run(ms(40));
    }
    let took = world.until_known(ms(6000));
    assert!(took <= ms(500), "{took:?}");
    for region in 0..REGIONS {
        assert!(!world.leads(region).is_empty());
    }
    world.run(ms(3000));
    assert!(world.is_settled());
}

/// The last entry of a region searches for leads at a bounded rate, although all hints
/// name leads that are gone.
#[test]
fn lone_entry_searches_at_bounded_rate() {
    let mut world = settled(60);
    let lone = (0..60)
        .rfind(|entry| region_of(*entry) == 2 && !world.entries[*entry].member.leads())
        .unwrap();
    for entry in (0..60).filter(|entry| region_of(*entry) == 2 && *entry != lone) {
        world.kill(entry);
    }
    let before = world.entries[lone].datagrams;
    world.run(ms(10_000));
    let datagrams = world.entries[lone].datagrams - before;
    assert!(datagrams <= 10 * 60, "{datagrams} datagrams in 10 s");
}

/// If no seed answers, leads are found through their rows in the store.
#[test]
fn leads_are_found_without_seeds() {
    let mut world = FleetWorld::with_seeds(60, &[100_000, 100_001, 100_002]);
    world.run(ms(30_000));
    assert!(world.is_settled(), "{:?}", world.leads(0));
    world.kill(7);
    world.run(ms(3000));
    world.restart(7);
    world.run(ms(6000));
    assert!(world.is_settled());
    world.change();
    assert!(world.until_known(ms(6000)) <= ms(1100));
}

/// An entry that claims a registry version which no read returned recovers within
/// seconds.
#[test]
fn forged_digest_has_no_lasting_effect() {
    let mut world = settled(300);
    let lead = world.leads(1)[0];
    let region_entries: Vec<usize> = (0..300).filter(|entry| region_of(*entry) == 1).collect();
    for entry in &region_entries {
        let mut known = *world.entries[*entry].member.store_progress();
        if *entry != lead && !world.entries[*entry].member.leads() {
            known.registry = u64::MAX - 7;
            world.deliver_event(*entry, FleetEvent::StoreProgress(known));
        }
    }
    world.run(ms(6000));
    world.change();
    world.run(ms(3000));
    for entry in region_entries {
        let known = world.entries[entry].member.store_progress();
        assert_eq!(
            known.registry,
            log_version(StorePosition::new(0, world.registry)),
            "entry {entry}"
        );
    }
}

/// Invalid messages have no lasting effect: unknown regions, list versions far ahead, and
/// a digest for a region by an entry that is not its lead.
#[test]
fn invalid_messages_have_no_lasting_effect() {
    let mut world = settled(60);
    let sender = world.leads(2)[0];
    let summaries = vec![
        RegionSummary {
            region: "nowhere".to_owned(),
            age_ms: 0,
            live_entries: 9,
            list: Default::default(),
            is_list_current: true,
            candidates: Vec::new(),
        },
        RegionSummary {
            region: "r1".to_owned(),
            age_ms: 0,
            live_entries: 0,
            list: place::fleet::list::ListVersion {
                number: u64::MAX,
                author: 3,
            },
            is_list_current: true,
            candidates: Vec::new(),
        },
    ];
    let regions = world.entries[sender].member.regions();
    let mut candidate = regions.candidates("r2")[0].clone();
    candidate.node = "stranger".to_owned();
    let digest = RegionDigest {
        incarnation: 1,
        candidate,
        region: "r1".to_owned(),
        leaving: false,
        store: StoreProgressReport::default(),
        regions: summaries,
    };
    for entry in 0..60 {
        let message = PeerMessage::Digest(Box::new(digest.clone()));
        world.deliver_event(entry, FleetEvent::Message(message));
    }
    world.run(ms(5000));
    assert!(world.is_settled());
    world.change();
    assert!(world.until_known(Duration::from_secs(6)) <= ms(1100));
}

/// A registry change that an entry or a whole region missed, although it holds the
/// version of the change, is discovered before a request could reach a server that was
/// removed by it.
#[test]
fn missed_change_is_detected() {
    for count in [12, 300] {
        for who in ["follower", "reader", "deputy", "leads", "region"] {
            let mut world = settled(count);
            world.run(ms(300));
            let leads = world.leads(1);
            let first = |entry: &usize| world.entries[*entry].member.store_progress().registry_at;
            let reader = *leads.iter().max_by_key(|entry| first(entry)).unwrap();
            let near = |entry: &usize| region_of(*entry) == 1;
            let region: Vec<usize> = (0..count).filter(near).collect();
            let missing: Vec<usize> = match who {
                "follower" => region
                    .into_iter()
                    .filter(|e| !leads.contains(e))
                    .take(1)
                    .collect(),
                "reader" => vec![reader],
                "deputy" => leads.into_iter().filter(|lead| *lead != reader).collect(),
                "leads" => leads,
                _ => region,
            };
            world.change();
            for entry in missing {
                world.skip_changes(entry);
            }
            let started_at = world.now;
            while !world.missing_changes().is_empty() && world.now < started_at + ms(9000) {
                world.run(ms(10));
            }
            let took = world.now - started_at;
            assert!(took <= DRAIN - FAR_SEND, "{count} entries, {who}: {took:?}");
        }
    }
}

/// An entry that holds a version which the store has not reached yet still learns of
/// changes in time, and calls the store no more often than a reader.
#[test]
fn version_ahead_of_store_does_not_hide_changes() {
    for count in [12, 300] {
        for leads in [false, true] {
            let mut world = settled(count);
            let ahead = (0..count).find(|entry| {
                region_of(*entry) == 1 && world.entries[*entry].member.leads() == leads
            });
            let calm = world.calls_in(ms(3000));
            world.claim_version(ahead.unwrap(), world.version + 6);
            world.change();
            let started_at = world.now;
            let calls = world.calls;
            while !world.missing_changes().is_empty() && world.now < started_at + ms(9000) {
                world.run(ms(10));
            }
            let took = world.now - started_at;
            assert!(
                took <= DRAIN - FAR_SEND,
                "{count} entries, {leads}: {took:?}"
            );
            world.run(started_at + ms(3000) - world.now);
            let more = world.calls - calls;
            assert!(
                more <= calm + 6,
                "{count}, {leads}: {more} calls, {calm} before"
            );
        }
    }
}

/// An entry that refetches the registry from a lead because of a conflict keeps its newer
/// copy of the operator's rows.
#[test]
fn refetch_after_conflict_keeps_newer_operator_rows() {
    let mut world = settled(12);
    let follower = (0..12).find(|entry| !world.entries[*entry].member.leads());
    let follower = follower.unwrap();
    world.change();
    world.skip_changes(follower);
    let mut known = *world.entries[follower].member.store_progress();
    known.operator = StorePosition::new(0, world.operator + 5);
    known.desired = world.operator + 5;
    world.deliver_event(follower, FleetEvent::StoreProgress(known));
    while world.missing_changes().contains(&follower) {
        world.run(ms(10));
        let now_known = world.entries[follower].member.store_progress().operator;
        assert_eq!(now_known, known.operator);
    }
}

/// Guards against directory answers that name dead entries: as soon as a lead of a region that had
/// lost power was heard again, the region's list from before the loss counted until that lead had
/// made a new one.
#[test]
fn a_region_that_returns_in_part_names_no_dead_entry() {
    let mut world = settled(60);
    let lost: Vec<usize> = (0..60).filter(|entry| region_of(*entry) == 1).collect();
    for entry in &lost {
        world.kill(*entry);
    }
    world.run(ms(8000));
    let (back, dead) = lost.split_at(lost.len() / 2);
    for entry in back {
        world.restart(*entry);
    }
    let named = |world: &FleetWorld, observer: usize, entries: &[usize]| {
        let regions = world.entries[observer].member.regions();
        let mut listed = regions.listed(world.now);
        listed.any(|(_, listed)| {
            let mut entries = entries.iter();
            entries.any(|entry| listed.node == format!("n{entry}"))
        })
    };
    let observers: Vec<usize> = (0..60).filter(|entry| region_of(*entry) != 1).collect();
    for _ in 0..300 {
        world.run(ms(20));
        for observer in &observers {
            assert!(!named(&world, *observer, dead), "at entry {observer}");
        }
    }
    assert!(
        observers
            .iter()
            .all(|observer| named(&world, *observer, back))
    );
}

/// A region that was only cut off is listed as soon as it is heard: its leads have kept its list.
#[test]
fn a_region_that_was_cut_off_is_listed_at_once() {
    let mut world = settled(60);
    for entry in 0..60 {
        world.entries[entry].group = u32::from(region_of(entry) == 1);
    }
    world.run(ms(8000));
    for entry in 0..60 {
        world.entries[entry].group = 0;
    }
    for _ in 0..200 {
        world.run(ms(20));
        for entry in (0..60).filter(|entry| region_of(*entry) != 1) {
            let regions = world.entries[entry].member.regions();
            let is_active = regions.active_regions(world.now).any(|name| name == "r1");
            let is_listed = regions.listed(world.now).any(|(name, _)| name == "r1");
            assert_eq!(is_active, is_listed, "at entry {entry}");
        }
    }
}

//! How fresh the store's word on the operator's rows is at each entry, in virtual time: an
//! entry may act on a team's key only while it can show that the key held lately.

mod fleet_world;

use std::time::Duration;

use fleet_world::{FleetWorld, REGIONS, ms, region_of};
use place::fleet::candidate::LeadCandidate;
use place::fleet::clock::{StoreClock, StoreTime};
use place::fleet::known::{KnownStore, StoreWord};
use place::fleet::message::{PeerMessage, RegionDigest};
use place::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that each run gives the same verdict.
const SEED: u64 = 23;
/// A key that was taken away must not be served this long after.
const REVOKE: Duration = Duration::from_secs(5);
/// A key that was added must be known this long after.
const LEARN: Duration = Duration::from_secs(3);
/// What entries keep off these bounds.
const MARGIN: Duration = Duration::from_millis(150);

/// A fleet of `count` that has run for a while.
fn settled(count: usize) -> FleetWorld {
    let mut world = FleetWorld::new(count);
    world.proof_within = Some(REVOKE);
    world.run(ms(8000));
    world
}

/// Entries that callers may be sent to.
fn listed(world: &FleetWorld) -> Vec<usize> {
    let live = world.live().into_iter();
    live.filter(|entry| world.entries[*entry].member.is_listed())
        .collect()
}

/// Plays `span`; the oldest proof that any of `entries` was left with meanwhile.
fn oldest(world: &mut FleetWorld, entries: &[usize], span: Duration) -> Duration {
    let until = world.now + span;
    let mut oldest = Duration::ZERO;
    while world.now < until {
        world.run(ms(20));
        for entry in entries.iter().filter(|entry| world.entries[**entry].alive) {
            oldest = oldest.max(world.proof_age(*entry).unwrap_or(Duration::MAX));
        }
    }
    oldest
}

/// Fails where an entry's knowledge seems younger than a change that it lacks.
fn check_claims(world: &FleetWorld) {
    for entry in world.live() {
        if world.is_paused(entry) {
            continue;
        }
        let (lacks, claim_version) = (
            world.oldest_missed_change_age(entry),
            world.proof_age(entry),
        );
        if let (Some(lacks), Some(claim_version)) = (lacks, claim_version) {
            assert!(
                claim_version >= lacks,
                "entry {entry} lacks what was set {lacks:?} ago and claims {claim_version:?}"
            );
        }
    }
}

/// Promise: on calm days each entry's knowledge is young enough to deny an unknown key,
/// whatever the size of the fleet, at the calls that are made anyway.
#[test]
fn calm_entries_know_enough_to_deny() {
    for count in [12, 300, 1000] {
        let mut world = settled(count);
        let all = world.live();
        let before = world.calls;
        let age = oldest(&mut world, &all, ms(12_000));
        assert!(age + MARGIN < LEARN, "{count}: {age:?}");
        let calls = world.calls - before;
        assert!(calls <= 7 * 12, "{count}: {calls} calls in 12 s");
    }
}

/// Promise: entries that get requests go on serving keys when both leads of their region end
/// at once, and when the store refuses a third of all, leads among them.
#[test]
fn lost_and_refused_leads_leave_nobody_in_the_dark() {
    for count in [12, 64, 300] {
        let mut world = settled(count);
        for lead in world.leads(1) {
            world.kill(lead);
        }
        let used = listed(&world);
        let age = oldest(&mut world, &used, ms(8000));
        assert!(age + MARGIN < REVOKE, "{count}, leads ended: {age:?}");
        for is_silent in [false, true] {
            let mut world = settled(count);
            let mut store_rejects: Vec<usize> = (0..count).filter(|entry| entry % 7 < 2).collect();
            store_rejects.extend(world.leads(2));
            for entry in store_rejects {
                world.entries[entry].store_rejects = !is_silent;
                world.entries[entry].store_times_out = is_silent;
            }
            let used = listed(&world);
            let age = oldest(&mut world, &used, ms(9000));
            assert!(
                age + MARGIN < REVOKE,
                "{count}, silent {is_silent}: {age:?}"
            );
        }
    }
}

/// Promise: an entry that nothing reaches any more knows that its knowledge grows old, and
/// one that only the other entries don't reach asks the store itself.
#[test]
fn a_cut_off_entry_knows_its_age() {
    for keeps_store in [false, true] {
        let mut world = settled(64);
        let cut = listed(&world)[0];
        world.entries[cut].group = 9;
        world.entries[cut].store_times_out = !keeps_store;
        world.run(ms(500));
        world.change();
        let mut oldest_claim = Duration::ZERO;
        for _ in 0..400 {
            world.run(ms(20));
            check_claims(&world);
            let age = world.proof_age(cut).unwrap_or(Duration::MAX);
            oldest_claim = oldest_claim.max(age);
        }
        assert_eq!(oldest_claim < REVOKE, keeps_store, "{oldest_claim:?}");
    }
}

/// Promise: while the store is down it isn't pressed, and what all know grows old at all;
/// soon after its return all may serve again.
#[test]
fn a_store_that_is_down_leaves_all_in_the_dark() {
    for count in [64, 1000] {
        let mut world = settled(count);
        let used = listed(&world);
        world.store_down = true;
        world.run(ms(5000));
        let calls = world.calls_in(ms(10_000));
        let most = 10 * (3 * used.len() as u64 + 20);
        assert!(calls <= most, "{count}: {calls} calls in 10 s");
        for entry in &used {
            assert!(world.proof_age(*entry).is_none_or(|age| age > REVOKE));
        }
        world.store_down = false;
        world.run(ms(1800));
        for entry in &used {
            let age = world.proof_age(*entry).unwrap_or(Duration::MAX);
            assert!(age + MARGIN < REVOKE, "{count}: {age:?} after the return");
        }
    }
}

/// Promise: a digest that comes seconds late, as one that waited at a process that stood
/// still, makes no knowledge younger than it is.
#[test]
fn late_digests_make_nothing_younger() {
    for suspended in [false, true] {
        let mut world = settled(64);
        world.delays = Some((5, ms(4000)));
        for turn in 0..6 {
            let still = listed(&world)[turn % 3];
            world.pause(still, ms(7000), suspended);
            world.entries[still].store_times_out = true;
            world.run(ms(300));
            world.change();
            for _ in 0..450 {
                world.run(ms(20));
                check_claims(&world);
            }
            world.entries[still].store_times_out = false;
            world.run(ms(1000));
        }
    }
}

/// Promise: a stamp beyond what the store's clock can show renews nothing; neither does one
/// that was heard before.
#[test]
fn forged_and_repeated_stamps_renew_nothing() {
    let mut world = settled(12);
    let lead = world.leads(0)[0];
    let follower = (0..12)
        .find(|entry| region_of(*entry) == 0 && !world.entries[*entry].member.leads())
        .unwrap();
    let digest = |world: &FleetWorld, proved: StoreTime| {
        let known = world.entries[lead].member.known();
        PeerMessage::Digest(Box::new(RegionDigest {
            incarnation: 1,
            candidate: LeadCandidate {
                leads: true,
                ..world.candidate(lead)
            },
            region: "r0".to_owned(),
            leaving: false,
            store: StoreWord {
                proved,
                ..known.word(world.now)
            },
            regions: Vec::new(),
        }))
    };
    let heard = world.entries[follower].member.known().proved;
    let old = digest(&world, heard);
    world.entries[follower].group = 9;
    world.entries[follower].store_times_out = true;
    for turn in 0..30 {
        world.run(ms(200));
        let ahead = StoreTime(world.store_time().0 + 5_000 + turn);
        let forged = digest(&world, ahead);
        world.deliver_event(follower, FleetEvent::Message(forged));
        world.deliver_event(follower, FleetEvent::Message(old.clone()));
    }
    let age = world.proof_age(follower).unwrap_or(Duration::MAX);
    assert!(age >= ms(5900), "{age:?}");
}

/// Promise: a store whose clock begins anew is believed again.
#[test]
fn a_clock_that_begins_anew_is_followed() {
    let start = std::time::Instant::now();
    let mut clock = StoreClock::default();
    clock.on_answer(start, StoreTime(90_000));
    let later = start + ms(1000);
    assert!(clock.age(later, StoreTime(90_800)).unwrap() <= ms(202));
    clock.on_answer(later, StoreTime(5));
    assert_eq!(clock.age(later, StoreTime(90_800)), None);
    assert!(clock.age(later + ms(50), StoreTime(20)).unwrap() <= ms(37));
}

/// What befalls the fleet.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    Change,
    Kill(usize),
    StandStill(usize, u64, bool),
    Refuse(usize),
    Silence(usize),
    Cut(usize),
    Heal,
    StoreDown(bool),
    Wait(u64),
}

fn troubles() -> impl Strategy<Value = Vec<Trouble>> {
    let entry = 0..24_usize;
    let one = prop_oneof![
        3 => Just(Trouble::Change),
        1 => entry.clone().prop_map(Trouble::Kill),
        2 => (entry.clone(), 200..9000_u64, any::<bool>())
            .prop_map(|(entry, span, suspended)| Trouble::StandStill(entry, span, suspended)),
        1 => entry.clone().prop_map(Trouble::Refuse),
        1 => entry.clone().prop_map(Trouble::Silence),
        2 => entry.prop_map(Trouble::Cut),
        1 => Just(Trouble::Heal),
        1 => any::<bool>().prop_map(Trouble::StoreDown),
        4 => (100..3000_u64).prop_map(Trouble::Wait),
    ];
    proptest::collection::vec(one, 10..40)
}

fn befall(world: &mut FleetWorld, trouble: Trouble) {
    match trouble {
        Trouble::Change => world.change(),
        Trouble::Kill(entry) => world.kill(entry),
        Trouble::StandStill(entry, span, suspended) if world.entries[entry].alive => {
            if !world.is_paused(entry) {
                world.pause(entry, ms(span), suspended);
            }
        }
        Trouble::StandStill(entry, ..) => world.restart(entry),
        Trouble::Refuse(entry) => world.entries[entry].store_rejects = true,
        Trouble::Silence(entry) => world.entries[entry].store_times_out = true,
        Trouble::Cut(entry) => world.entries[entry].group = 1 + (entry % REGIONS) as u32,
        Trouble::Heal => {
            for entry in &mut world.entries {
                (entry.store_rejects, entry.store_times_out, entry.group) = (false, false, 0);
            }
        }
        Trouble::StoreDown(is_down) => world.store_down = is_down,
        Trouble::Wait(span) => world.run(ms(span)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: 60,
        ..ProptestConfig::default()
    })]

    /// Promise: whatever befalls the fleet, no entry's knowledge seems younger than a change
    /// that it lacks.
    #[test]
    fn no_knowledge_seems_younger_than_it_is(troubles in troubles()) {
        let mut world = FleetWorld::new(24);
        world.proof_within = Some(REVOKE);
        world.delays = Some((7, ms(2500)));
        world.run(ms(2500));
        for trouble in troubles {
            befall(&mut world, trouble);
            for _ in 0..10 {
                world.run(ms(40));
                check_claims(&world);
            }
        }
    }
}

/// Promise: an entry that takes older knowledge of the operator's rows in place of its own
/// claims no younger proof than that knowledge has.
#[test]
fn older_knowledge_comes_with_its_own_proof() {
    let word = |operator, proved| KnownStore {
        operator,
        proved: StoreTime(proved),
        ..KnownStore::default()
    };
    let mut known = word(12, 73_000);
    known.replace_operator(&word(11, 68_000));
    assert_eq!((known.operator, known.proved), (11, StoreTime(68_000)));
    known.replace_operator(&word(12, 70_000));
    known.confirm_operator(&word(12, 70_000));
    assert_eq!((known.operator, known.proved), (12, StoreTime(70_000)));
}

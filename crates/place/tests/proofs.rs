//! Tests in virtual time how recently each entry knows the operator's rows to be current. An
//! entry may act on a team's key only while it can show that the key was valid recently.

mod fleet_world;

use std::time::Duration;

use fleet_world::{FleetWorld, REGIONS, ms, region_of};
use place::fleet::candidate::LeadCandidate;
use place::fleet::clock::{StoreClock, StoreTime};
use place::fleet::message::{PeerMessage, RegionDigest};
use place::fleet::store_progress::{StoreProgress, StoreProgressReport};
use place::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that every run has the same result.
const SEED: u64 = 23;
/// A revoked key must not be accepted for longer than this.
const REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// A new key must be known after this time.
const LEARN_LIMIT: Duration = Duration::from_secs(3);
/// Safety margin that entries must keep to these limits.
const MARGIN: Duration = Duration::from_millis(150);

/// A fleet of `count` entries that has run for a while.
fn settled(count: usize) -> FleetWorld {
    let mut world = FleetWorld::new(count);
    world.proof_within = Some(REVOKE_LIMIT);
    world.run(ms(8000));
    world
}

/// Entries that callers may be sent to.
fn listed(world: &FleetWorld) -> Vec<usize> {
    let live = world.live().into_iter();
    live.filter(|entry| world.entries[*entry].member.is_listed())
        .collect()
}

/// Runs the world for `span` and returns the maximum proof age of any of `entries` in that
/// time.
fn max_proof_age(world: &mut FleetWorld, entries: &[usize], span: Duration) -> Duration {
    let until = world.now + span;
    let mut max_proof_age = Duration::ZERO;
    while world.now < until {
        world.run(ms(20));
        for entry in entries.iter().filter(|entry| world.entries[**entry].alive) {
            max_proof_age = max_proof_age.max(world.proof_age(*entry).unwrap_or(Duration::MAX));
        }
    }
    max_proof_age
}

/// Fails if an entry's knowledge claims to be more recent than a change that it lacks.
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
                "entry {entry} lacks a change set {lacks:?} ago but claims an age of {claim_version:?}"
            );
        }
    }
}

/// Without faults, each entry's knowledge must be recent enough to deny an unknown key, at any
/// fleet size and without additional calls to the store.
#[test]
fn entries_without_faults_can_deny_unknown_keys() {
    for count in [12, 300, 1000] {
        let mut world = settled(count);
        let all = world.live();
        let before = world.calls;
        let age = max_proof_age(&mut world, &all, ms(12_000));
        assert!(age + MARGIN < LEARN_LIMIT, "{count}: {age:?}");
        let calls = world.calls - before;
        assert!(calls <= 7 * 12, "{count}: {calls} calls in 12 s");
    }
}

/// Entries with traffic must continue to accept keys when both leads of their region stop at
/// once, and when the store refuses a third of all entries including leads.
#[test]
fn lost_and_refused_leads_keep_proofs_recent() {
    for count in [12, 64, 300] {
        let mut world = settled(count);
        for lead in world.leads(1) {
            world.kill(lead);
        }
        let used = listed(&world);
        let age = max_proof_age(&mut world, &used, ms(8000));
        assert!(
            age + MARGIN < REVOKE_LIMIT,
            "{count}, leads stopped: {age:?}"
        );
        for is_silent in [false, true] {
            let mut world = settled(count);
            let mut store_rejects: Vec<usize> = (0..count).filter(|entry| entry % 7 < 2).collect();
            store_rejects.extend(world.leads(2));
            for entry in store_rejects {
                world.entries[entry].store_rejects = !is_silent;
                world.entries[entry].store_times_out = is_silent;
            }
            let used = listed(&world);
            let age = max_proof_age(&mut world, &used, ms(9000));
            assert!(
                age + MARGIN < REVOKE_LIMIT,
                "{count}, silent {is_silent}: {age:?}"
            );
        }
    }
}

/// An isolated entry must recognize that its knowledge ages. An entry that is cut off from
/// other entries only must ask the store itself.
#[test]
fn isolated_entry_recognizes_aging_knowledge() {
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
        assert_eq!(oldest_claim < REVOKE_LIMIT, keeps_store, "{oldest_claim:?}");
    }
}

/// Entries with leads leave a slow store to them: calls of all entries at once delay every proof
/// beyond its maximum age.
#[test]
fn a_busy_store_is_left_to_the_leads() {
    let mut world = FleetWorld::new(68);
    world.proof_within = Some(REVOKE_LIMIT);
    world.store_work = ms(50);
    for entry in world.live() {
        let own = LocalEntryState {
            rate: 20,
            ..world.entries[entry].own.clone()
        };
        world.set_own(entry, own);
    }
    world.run(ms(15_000));
    let used = listed(&world);
    assert_eq!(used.len(), 68);
    let age = max_proof_age(&mut world, &used, ms(20_000));
    assert!(age + MARGIN < REVOKE_LIMIT, "{age:?}");
}

/// While the store is down it must not be flooded with calls, and every entry's knowledge must
/// age. Soon after the store recovers all entries must be able to serve again.
#[test]
fn proofs_age_while_the_store_is_down() {
    for count in [64, 1000] {
        let mut world = settled(count);
        let used = listed(&world);
        world.store_down = true;
        world.run(ms(5000));
        let calls = world.calls_in(ms(10_000));
        let max_calls = 10 * (3 * used.len() as u64 + 20);
        assert!(calls <= max_calls, "{count}: {calls} calls in 10 s");
        for entry in &used {
            assert!(world.proof_age(*entry).is_none_or(|age| age > REVOKE_LIMIT));
        }
        world.store_down = false;
        world.run(ms(1800));
        for entry in &used {
            let age = world.proof_age(*entry).unwrap_or(Duration::MAX);
            assert!(
                age + MARGIN < REVOKE_LIMIT,
                "{count}: {age:?} after the recovery"
            );
        }
    }
}

/// A digest that arrives seconds late, such as one that waited at a suspended process, must not
/// make any knowledge appear more recent than it is.
#[test]
fn late_digests_do_not_renew_proofs() {
    for suspended in [false, true] {
        let mut world = settled(64);
        world.delays = Some((5, ms(4000)));
        for turn in 0..6 {
            let suspended_entry = listed(&world)[turn % 3];
            world.pause(suspended_entry, ms(7000), suspended);
            world.entries[suspended_entry].store_times_out = true;
            world.run(ms(300));
            world.change();
            for _ in 0..450 {
                world.run(ms(20));
                check_claims(&world);
            }
            world.entries[suspended_entry].store_times_out = false;
            world.run(ms(1000));
        }
    }
}

/// Stamps ahead of the store's clock and stamps received before must not renew a proof.
#[test]
fn forged_and_repeated_stamps_are_ignored() {
    let mut world = settled(12);
    let lead = world.leads(0)[0];
    let follower = (0..12)
        .find(|entry| region_of(*entry) == 0 && !world.entries[*entry].member.leads())
        .unwrap();
    let digest = |world: &FleetWorld, proved: StoreTime| {
        let known = world.entries[lead].member.store_progress();
        PeerMessage::Digest(Box::new(RegionDigest {
            incarnation: 1,
            candidate: LeadCandidate {
                leads: true,
                ..world.candidate(lead)
            },
            region: "r0".to_owned(),
            leaving: false,
            store: StoreProgressReport {
                proved,
                ..known.to_report(world.now)
            },
            regions: Vec::new(),
        }))
    };
    let known_proof = world.entries[follower].member.store_progress().proved;
    let old = digest(&world, known_proof);
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

/// A store whose clock restarts must be accepted again.
#[test]
fn a_restarted_store_clock_is_accepted() {
    let start = std::time::Instant::now();
    let mut clock = StoreClock::default();
    clock.on_answer(start, StoreTime(90_000));
    let later = start + ms(1000);
    assert!(clock.age(later, StoreTime(90_800)).unwrap() <= ms(202));
    clock.on_answer(later, StoreTime(5));
    assert_eq!(clock.age(later, StoreTime(90_800)), None);
    assert!(clock.age(later + ms(50), StoreTime(20)).unwrap() <= ms(37));
}

/// An answer of the store itself that shows more than the bound allows proves the bound wrong:
/// without a new one no stamp would count any more.
#[test]
fn a_store_clock_that_runs_ahead_is_accepted() {
    let start = std::time::Instant::now();
    let mut clock = StoreClock::default();
    clock.on_store_answer(start, start, StoreTime(1000));
    let (begun, now) = (start + ms(500), start + ms(520));
    clock.on_store_answer(now, begun, StoreTime(61_510));
    let age = clock.age(now, StoreTime(61_510)).expect("a bound");
    assert!(age >= ms(10) && age <= ms(25), "{age:?}");
    // What another entry reports is an upper bound that may be far too high.
    clock.on_answer(begun, StoreTime(99_000));
    assert_eq!(clock.age(now, StoreTime(99_000)), None);
}

/// Faults and events of the fleet.
#[derive(Debug, Clone, Copy)]
enum Fault {
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

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let entry = 0..24_usize;
    let one = prop_oneof![
        3 => Just(Fault::Change),
        1 => entry.clone().prop_map(Fault::Kill),
        2 => (entry.clone(), 200..9000_u64, any::<bool>())
            .prop_map(|(entry, span, suspended)| Fault::StandStill(entry, span, suspended)),
        1 => entry.clone().prop_map(Fault::Refuse),
        1 => entry.clone().prop_map(Fault::Silence),
        2 => entry.prop_map(Fault::Cut),
        1 => Just(Fault::Heal),
        1 => any::<bool>().prop_map(Fault::StoreDown),
        4 => (100..3000_u64).prop_map(Fault::Wait),
    ];
    proptest::collection::vec(one, 10..40)
}

fn apply_fault(world: &mut FleetWorld, fault: Fault) {
    match fault {
        Fault::Change => world.change(),
        Fault::Kill(entry) => world.kill(entry),
        Fault::StandStill(entry, span, suspended) if world.entries[entry].alive => {
            if !world.is_paused(entry) {
                world.pause(entry, ms(span), suspended);
            }
        }
        Fault::StandStill(entry, ..) => world.restart(entry),
        Fault::Refuse(entry) => world.entries[entry].store_rejects = true,
        Fault::Silence(entry) => world.entries[entry].store_times_out = true,
        Fault::Cut(entry) => world.entries[entry].group = 1 + (entry % REGIONS) as u32,
        Fault::Heal => {
            for entry in &mut world.entries {
                (entry.store_rejects, entry.store_times_out, entry.group) = (false, false, 0);
            }
        }
        Fault::StoreDown(is_down) => world.store_down = is_down,
        Fault::Wait(span) => world.run(ms(span)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: 60,
        ..ProptestConfig::default()
    })]

    /// Whatever faults occur, no entry's knowledge may claim to be more recent than a change
    /// that it lacks.
    #[test]
    fn no_proof_is_newer_than_a_missed_change(faults in faults()) {
        let mut world = FleetWorld::new(24);
        world.proof_within = Some(REVOKE_LIMIT);
        world.delays = Some((7, ms(2500)));
        world.run(ms(2500));
        for fault in faults {
            apply_fault(&mut world, fault);
            for _ in 0..10 {
                world.run(ms(40));
                check_claims(&world);
            }
        }
    }
}

/// An entry that replaces its knowledge of the operator's rows with older knowledge must not
/// claim a more recent proof than that knowledge has.
#[test]
fn older_knowledge_keeps_its_own_proof() {
    let progress = |operator, proved| StoreProgress {
        operator: StorePosition::new(0, operator),
        proved: StoreTime(proved),
        ..StoreProgress::default()
    };
    let mut known = progress(12, 73_000);
    known.replace_operator(&progress(11, 68_000));
    assert_eq!(
        (known.operator.version(), known.proved),
        (11, StoreTime(68_000))
    );
    known.replace_operator(&progress(12, 70_000));
    known.confirm_operator(&progress(12, 70_000));
    assert_eq!(
        (known.operator.version(), known.proved),
        (12, StoreTime(70_000))
    );
}

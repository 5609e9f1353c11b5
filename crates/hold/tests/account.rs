//! Who gets memory and who yields.

use std::time::{Duration, Instant};

use hold::account::{ClaimRefused, HoldAccount, HolderId, STALL_TIME};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 81;

const LIMIT: usize = 1 << 20;
/// Most that claims which aren't small may use together.
const LARGE_LIMIT: usize = LIMIT - LIMIT / 4;

fn holder(account: &mut HoldAccount<u32>, now: Instant, bytes: usize) -> HolderId {
    let id = account.open();
    account.claim(now, id, bytes).unwrap();
    id
}

#[test]
fn callers_that_move_keep_their_memory() {
    let now = Instant::now();
    let mut account = HoldAccount::new(LIMIT);
    let first = holder(&mut account, now, LARGE_LIMIT);
    account.on_waiting(now, first);
    let second = account.open();
    let soon = now + STALL_TIME - Duration::from_millis(1);
    assert_eq!(account.claim(soon, second, 100_000), Err(ClaimRefused));
    account.on_moved(first);
    account.on_waiting(soon, first);
    let later = now + STALL_TIME;
    assert_eq!(account.claim(later, second, 100_000), Err(ClaimRefused));
}

#[test]
fn the_longest_stalled_yields_first() {
    let now = Instant::now();
    let mut account = HoldAccount::new(LIMIT);
    let half = LARGE_LIMIT / 2;
    let (young, old) = (
        holder(&mut account, now, half),
        holder(&mut account, now, half),
    );
    account.on_waiting(now, old);
    account.on_waiting(now + Duration::from_millis(5), young);
    let claimant = account.open();
    let later = now + 2 * STALL_TIME;
    assert_eq!(account.claim(later, claimant, half), Ok(vec![old]));
    assert_eq!(account.claim(later, old, half), Err(ClaimRefused));
    account.close(old);
    assert_eq!(account.used_bytes(), 2 * half);
}

#[test]
fn small_claims_fit_beside_large_ones() {
    let now = Instant::now();
    let mut account = HoldAccount::new(LIMIT);
    holder(&mut account, now, LARGE_LIMIT);
    let small = account.open();
    assert_eq!(account.claim(now, small, 2_000), Ok(Vec::new()));
    assert_eq!(account.claim(now, small, 100_000), Err(ClaimRefused));
}

#[test]
fn nothing_is_revoked_for_a_claim_that_does_not_fit() {
    let now = Instant::now();
    let mut account = HoldAccount::new(LIMIT);
    let stalled = holder(&mut account, now, LARGE_LIMIT / 2);
    holder(&mut account, now, LARGE_LIMIT / 2);
    account.on_waiting(now, stalled);
    let claimant = account.open();
    let later = now + STALL_TIME;
    assert_eq!(
        account.claim(later, claimant, LARGE_LIMIT),
        Err(ClaimRefused)
    );
    assert_eq!(account.used_bytes(), 2 * (LARGE_LIMIT / 2));
    assert_eq!(account.claim(later, stalled, LARGE_LIMIT / 2), Ok(vec![]));
}

#[test]
fn places_are_taken_from_stalled_holders_there_only() {
    let now = Instant::now();
    let mut account = HoldAccount::new(LIMIT);
    let (here, there) = (account.open(), account.open());
    for (id, place) in [(here, 1), (there, 2)] {
        account.occupy(id, place);
        account.on_waiting(now, id);
    }
    assert_eq!(account.revoke_at(now, &1), None);
    let later = now + STALL_TIME;
    assert_eq!(account.revoke_at(later, &1), Some(here));
    assert_eq!(account.revoke_at(later, &1), None);
    account.on_moved(there);
    assert_eq!(account.revoke_at(later, &2), None);
}

/// What happens to an account.
#[derive(Debug, Clone)]
enum Step {
    Open,
    Claim(usize, usize),
    Release(usize, usize),
    Wait(usize),
    Move(usize),
    Close(usize),
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (0..8usize, 0..LIMIT).prop_map(|(index, bytes)| Step::Claim(index, bytes)),
        (0..8usize, 0..LIMIT).prop_map(|(index, bytes)| Step::Release(index, bytes)),
        (0..8usize).prop_map(Step::Wait),
        (0..8usize).prop_map(Step::Move),
        (0..8usize).prop_map(Step::Close),
        (0..1500u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// In any order of steps the limit holds, and all memory is returned at the end.
    #[test]
    fn the_limit_holds_in_any_order(steps in proptest::collection::vec(any_step(), 1..200)) {
        let mut now = Instant::now();
        let mut account: HoldAccount<u32> = HoldAccount::new(LIMIT);
        let mut open: Vec<HolderId> = Vec::new();
        for step in steps {
            let id = |index: usize| open.get(index % open.len().max(1)).copied();
            match step {
                Step::Open => open.push(account.open()),
                Step::Claim(index, bytes) => {
                    if let Some(id) = id(index) {
                        let _ = account.claim(now, id, bytes);
                    }
                }
                Step::Release(index, bytes) => {
                    if let Some(id) = id(index) {
                        account.release(id, bytes);
                    }
                }
                Step::Wait(index) => {
                    if let Some(id) = id(index) {
                        account.on_waiting(now, id);
                    }
                }
                Step::Move(index) => {
                    if let Some(id) = id(index) {
                        account.on_moved(id);
                    }
                }
                Step::Close(index) => {
                    if let Some(id) = id(index) {
                        account.close(id);
                        open.retain(|other| *other != id);
                    }
                }
                Step::Pass(ms) => now += Duration::from_millis(ms),
            }
            prop_assert!(account.used_bytes() <= LIMIT);
        }
        for id in open {
            account.close(id);
        }
        prop_assert_eq!(account.used_bytes(), 0);
    }
}

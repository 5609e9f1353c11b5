//! Bounds that all entries hold together: repeats, cold rates, shifts.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::ms;
use place::limits::budget::{BudgetBounds, RetryBudget};
use place::limits::ramp::ColdRamp;
use place::limits::shift::ShiftLimiter;
use place::rank::stable_hash;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that each run gives the same verdict.
const SEED: u64 = 7;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 40,
        ..ProptestConfig::default()
    })]

    /// Promise: whatever each entry wants, all repeats of a window stay within the
    /// platform's ratio and slack, as long as each knows how many they are.
    #[test]
    fn repeats_stay_within_the_budget(
        entries in 1usize..12,
        rates in prop::collection::vec(1u64..60, 12),
        greed in 1usize..4,
    ) {
        let bounds = BudgetBounds { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut budgets: Vec<RetryBudget> = (0..entries).map(|_| RetryBudget::new(bounds)).collect();
        let mut requests = VecDeque::new();
        let mut repeats = VecDeque::new();
        for budget in &mut budgets {
            budget.set_entries(entries);
        }
        for step in 0..3000u64 {
            let now = start + ms(10 * step);
            for (index, budget) in budgets.iter_mut().enumerate() {
                if !step.is_multiple_of(rates[index]) {
                    continue;
                }
                budget.on_request(now, "board");
                requests.push_back(now);
                for _ in 0..greed {
                    if budget.take(now, "board") {
                        repeats.push_back(now);
                    }
                }
            }
            while requests.front().is_some_and(|at| now - *at > bounds.window) {
                requests.pop_front();
            }
            while repeats.front().is_some_and(|at| now - *at > bounds.window) {
                repeats.pop_front();
            }
            let allowed = bounds.ratio * requests.len() as f64 + bounds.slack;
            prop_assert!(repeats.len() as f64 <= allowed);
        }
    }

    /// Promise: all entries together send a cold server no more than its rate in
    /// any second, though they don't talk, and though some don't know of all.
    #[test]
    fn cold_servers_get_their_rate_from_all_entries_together(
        entries in 1usize..90,
        rate in 1.0f64..20.0,
        unknown in 0usize..3,
    ) {
        let start = Instant::now();
        let hashes: Vec<u64> = (0..entries).map(|n| stable_hash(&n.to_le_bytes())).collect();
        let mut ramps: Vec<ColdRamp> = (0..entries).map(|_| ColdRamp::default()).collect();
        let server = stable_hash(b"server");
        let mut sent: VecDeque<Instant> = VecDeque::new();
        for step in 0..400u64 {
            let now = start + ms(10 * step);
            for (index, ramp) in ramps.iter_mut().enumerate() {
                let known: Vec<u64> = hashes
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| *other == index || (other + index) % 7 >= unknown)
                    .map(|(_, hash)| *hash)
                    .collect();
                if ramp.allows(now, server, hashes[index], &known, rate) {
                    ramp.on_sent(now, server);
                    sent.push_back(now);
                }
            }
            while sent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
                sent.pop_front();
            }
            // What the platform bears beyond the rate covers entries that don't
            // know of each other.
            let most = if unknown == 0 { 1.15 * rate } else { 1.5 * rate + 5.0 };
            prop_assert!(sent.len() as f64 <= most, "{} in a second, {rate} allowed", sent.len());
        }
    }
}

/// Promise: no more than the cap of a region's requests change the region in which
/// they run from one window to the next, wherever the windows begin, however hard
/// the load pushes: out, from one other region to another, and back.
#[test]
fn shift_cap_holds_when_a_region_fills_and_empties() {
    const CAP: f64 = 0.15;
    const PAUSE_MS: usize = 40;
    const PER_WINDOW: usize = 2000 / PAUSE_MS;
    const REGIONS: [&str; 3] = ["a", "b", "c"];
    let start = Instant::now();
    let regions = REGIONS.map(str::to_owned);
    let mut limiter = ShiftLimiter::new(CAP, &regions);
    let mut sent: Vec<&str> = Vec::new();
    for request in 0..80 * PER_WINDOW {
        let now = start + ms((PAUSE_MS * request) as u64);
        let wanted = match request / PER_WINDOW {
            5..25 => "b",
            25..45 => "c",
            _ => "a",
        };
        limiter.advance(now);
        let permitted = REGIONS.into_iter().find(|region| limiter.permits(region));
        let region = if limiter.permits(wanted) {
            wanted
        } else {
            permitted.expect("some region is always permitted")
        };
        limiter.on_sent(now, region);
        sent.push(region);
    }
    let share = |from: usize, region: &str| -> f64 {
        let window = &sent[from..from + PER_WINDOW];
        window.iter().filter(|sent| **sent == region).count() as f64 / PER_WINDOW as f64
    };
    assert!(
        share(24 * PER_WINDOW, "b") > 0.8,
        "it must get there in the end"
    );
    assert!(share(44 * PER_WINDOW, "c") > 0.8, "and elsewhere");
    assert!(share(78 * PER_WINDOW, "a") > 0.9, "and back");
    for from in 0..sent.len() - 2 * PER_WINDOW {
        let change: f64 = REGIONS
            .iter()
            .map(|region| (share(from + PER_WINDOW, region) - share(from, region)).abs() / 2.0)
            .sum();
        assert!(change <= CAP, "{change} from request {from} on");
    }
}

/// Promise: the shift cap holds from the first window to the second over all entries of
/// a region, though their first requests come at different moments and caches that
/// are empty send many requests elsewhere before the first window is over.
#[test]
fn shift_cap_holds_from_the_first_window_on() {
    const CAP: f64 = 0.15;
    const ENTRIES: u64 = 30;
    const PAUSE_MS: u64 = 40;
    const WINDOW_MS: u64 = 2000;
    let start = Instant::now();
    let regions = ["a", "b"].map(str::to_owned);
    let mut windows = [[0_u32; 2]; 4];
    for entry in 0..ENTRIES {
        let mut limiter = ShiftLimiter::new(CAP, &regions);
        // Spread over the first half second.
        let first = stable_hash(&entry.to_le_bytes()) % 500;
        let mut request = 0;
        let mut at = first;
        while at < 4 * WINDOW_MS {
            let now = start + ms(at);
            // Most of them, once servers are full of work that fills their caches.
            let away = at >= 1400 && stable_hash(&[entry as u8, request as u8]) % 100 < 70;
            let wanted = if away { "b" } else { "a" };
            limiter.advance(now);
            let other = if away { "a" } else { "b" };
            let region = if limiter.permits(wanted) {
                wanted
            } else {
                other
            };
            limiter.on_sent(now, region);
            windows[(at / WINDOW_MS) as usize][usize::from(region == "b")] += 1;
            request += 1;
            at = first + request * PAUSE_MS;
        }
    }
    let share = |[near, far]: [u32; 2]| f64::from(far) / f64::from(near + far);
    for pair in windows.windows(2) {
        let change = (share(pair[1]) - share(pair[0])).abs();
        assert!(change <= CAP, "{change} of {windows:?}");
    }
    assert!(share(windows[3]) > 0.35, "it gets there: {windows:?}");
}

/// Plays entries of one region whose requests wish for two regions by turns of a die,
/// one half each, and gives the part that was sent elsewhere. `told` lets them hear
/// what the others sent.
fn diverted(told: bool) -> f64 {
    const ENTRIES: u64 = 6;
    const PAUSE_MS: u64 = 60;
    const TOLD_EVERY_MS: u64 = 80;
    const SECONDS: u64 = 30;
    let start = Instant::now();
    let regions = ["a", "b"].map(str::to_owned);
    let mut limiters: Vec<ShiftLimiter> = (0..ENTRIES)
        .map(|_| ShiftLimiter::new(0.15, &regions))
        .collect();
    let mut windows = vec![[0_u32; 2]; SECONDS as usize / 2];
    let (mut sent, mut elsewhere) = (0, 0);
    for at in 0..SECONDS * 1000 {
        let now = start + ms(at);
        for entry in 0..ENTRIES {
            if (at + 7 * entry) % PAUSE_MS != 0 {
                continue;
            }
            let limiter = &mut limiters[entry as usize];
            let dice = stable_hash(&(at * ENTRIES + entry).to_le_bytes());
            let wanted = (dice >> 20) as usize % 2;
            limiter.advance(now);
            let is_free = limiter.permits(&regions[wanted]);
            let region = if is_free { wanted } else { 1 - wanted };
            limiter.on_sent(now, &regions[region]);
            windows[at as usize / 2000][region] += 1;
            sent += 1;
            elsewhere += u32::from(!is_free);
        }
        if told && at % TOLD_EVERY_MS == 0 {
            let words: Vec<Vec<u32>> = limiters.iter().map(|one| one.sent().to_vec()).collect();
            for (entry, limiter) in limiters.iter_mut().enumerate() {
                for (peer, word) in words.iter().enumerate().filter(|(peer, _)| *peer != entry) {
                    limiter.on_peer_sent(now, peer as u64, word);
                }
            }
        }
    }
    let share = |[near, far]: [u32; 2]| f64::from(far) / f64::from(near + far);
    for pair in windows.windows(2) {
        let change = (share(pair[1]) - share(pair[0])).abs();
        assert!(change <= 0.15, "{change} of {windows:?}");
    }
    f64::from(elsewhere) / f64::from(sent)
}

/// Pattern: servers are spread unevenly, so that a part of a region's requests runs
/// elsewhere all the time. Entries that know what the others sent let chance have its
/// way within the cap; each for itself sends a tenth of all requests away from the
/// server that was chosen.
#[test]
fn steady_shares_divert_few_requests() {
    let (alone, together) = (diverted(false), diverted(true));
    assert!(together < 0.03, "{together}");
    assert!(alone > 2.0 * together, "alone {alone}, together {together}");
}

//! Tests of the limits that all entries share: retries, cold rates and shifts between
//! regions.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::ms;
use place::limits::budget::{BudgetBounds, RetryBudget};
use place::limits::cold_rate::ColdRateLimiter;
use place::limits::shift::ShiftLimiter;
use place::rank::stable_hash;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that every run tests the same cases.
const SEED: u64 = 7;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 40,
        ..ProptestConfig::default()
    })]

    /// All retries of a window stay within the platform's ratio and slack, whatever each
    /// entry tries, if each one knows the number of entries.
    #[test]
    fn retries_stay_within_budget(
        entries in 1usize..12,
        rates in prop::collection::vec(1u64..60, 12),
        max_retries in 1usize..4,
    ) {
        let bounds = BudgetBounds { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut budgets: Vec<RetryBudget> = (0..entries).map(|_| RetryBudget::new(bounds)).collect();
        let mut requests = VecDeque::new();
        let mut retries = VecDeque::new();
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
                for _ in 0..max_retries {
                    if budget.take_retry(now, "board") {
                        retries.push_back(now);
                    }
                }
            }
            while requests.front().is_some_and(|at| now - *at > bounds.window) {
                requests.pop_front();
            }
            while retries.front().is_some_and(|at| now - *at > bounds.window) {
                retries.pop_front();
            }
            let allowed = bounds.ratio * requests.len() as f64 + bounds.slack;
            prop_assert!(retries.len() as f64 <= allowed);
        }
    }

    /// All entries together send a cold server at most its rate in any second, without
    /// communication and even if some don't know all others.
    #[test]
    fn cold_rate_holds_over_all_entries(
        entries in 1usize..90,
        rate in 1.0f64..20.0,
        unknown in 0usize..3,
    ) {
        let start = Instant::now();
        let hashes: Vec<u64> = (0..entries).map(|n| stable_hash(&n.to_le_bytes())).collect();
        let mut cold_limiters: Vec<ColdRateLimiter> =
            (0..entries).map(|_| ColdRateLimiter::default()).collect();
        let server = stable_hash(b"server");
        let mut sent: VecDeque<Instant> = VecDeque::new();
        for step in 0..400u64 {
            let now = start + ms(10 * step);
            for (index, cold_limiter) in cold_limiters.iter_mut().enumerate() {
                let known: Vec<u64> = hashes
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| *other == index || (other + index) % 7 >= unknown)
                    .map(|(_, hash)| *hash)
                    .collect();
                if cold_limiter.allows(now, server, hashes[index], &known, rate) {
                    cold_limiter.on_sent(now, server);
                    sent.push_back(now);
                }
            }
            while sent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
                sent.pop_front();
            }
            // The platform's tolerance above the rate covers entries that don't know each
            // other.
            let most = if unknown == 0 { 1.15 * rate } else { 1.5 * rate + 5.0 };
            prop_assert!(sent.len() as f64 <= most, "{} requests in a second, {rate} allowed", sent.len());
        }
    }
}

/// At most the cap's share of a region's requests changes its region from one window to the
/// next, for windows that begin at any time, while the load pushes to another region, to a
/// third one, and back.
#[test]
fn shift_cap_holds_when_a_region_fills_and_empties() {
    const CAP: f64 = 0.15;
    const REQUEST_INTERVAL_MS: usize = 40;
    const PER_WINDOW: usize = 2000 / REQUEST_INTERVAL_MS;
    const REGIONS: [&str; 3] = ["a", "b", "c"];
    let start = Instant::now();
    let regions = REGIONS.map(str::to_owned);
    let mut limiter = ShiftLimiter::new(CAP, &regions);
    let mut sent: Vec<&str> = Vec::new();
    for request in 0..80 * PER_WINDOW {
        let now = start + ms((REQUEST_INTERVAL_MS * request) as u64);
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
        "the load must reach region b"
    );
    assert!(
        share(44 * PER_WINDOW, "c") > 0.8,
        "the load must reach region c"
    );
    assert!(
        share(78 * PER_WINDOW, "a") > 0.9,
        "the load must return to region a"
    );
    for from in 0..sent.len() - 2 * PER_WINDOW {
        let change: f64 = REGIONS
            .iter()
            .map(|region| (share(from + PER_WINDOW, region) - share(from, region)).abs() / 2.0)
            .sum();
        assert!(change <= CAP, "{change} from request {from} on");
    }
}

/// The shift cap holds from the first window to the second over all entries of a region. The
/// failure: their first requests come at different times, and empty caches send many requests
/// to other regions before the first window is over.
#[test]
fn shift_cap_holds_from_the_first_window_on() {
    const CAP: f64 = 0.15;
    const ENTRIES: u64 = 30;
    const REQUEST_INTERVAL_MS: u64 = 40;
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
            // Most requests, once the servers are busy filling their caches.
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
            at = first + request * REQUEST_INTERVAL_MS;
        }
    }
    let share = |[near, far]: [u32; 2]| f64::from(far) / f64::from(near + far);
    for pair in windows.windows(2) {
        let change = (share(pair[1]) - share(pair[0])).abs();
        assert!(change <= CAP, "{change} of {windows:?}");
    }
    assert!(
        share(windows[3]) > 0.35,
        "requests must reach region b: {windows:?}"
    );
}

/// Simulates entries of one region whose requests choose one of two regions at random, and
/// returns the share that was sent to the other one. With `is_shared` the entries report
/// their counts to each other.
fn diverted_share(is_shared: bool) -> f64 {
    const ENTRIES: u64 = 6;
    const REQUEST_INTERVAL_MS: u64 = 60;
    const UPDATE_INTERVAL_MS: u64 = 80;
    const SECONDS: u64 = 30;
    let start = Instant::now();
    let regions = ["a", "b"].map(str::to_owned);
    let mut limiters: Vec<ShiftLimiter> = (0..ENTRIES)
        .map(|_| ShiftLimiter::new(0.15, &regions))
        .collect();
    let mut windows = vec![[0_u32; 2]; SECONDS as usize / 2];
    let (mut sent, mut diverted) = (0, 0);
    for at in 0..SECONDS * 1000 {
        let now = start + ms(at);
        for entry in 0..ENTRIES {
            if (at + 7 * entry) % REQUEST_INTERVAL_MS != 0 {
                continue;
            }
            let limiter = &mut limiters[entry as usize];
            let hashed = stable_hash(&(at * ENTRIES + entry).to_le_bytes());
            let wanted = (hashed >> 20) as usize % 2;
            limiter.advance(now);
            let is_free = limiter.permits(&regions[wanted]);
            let region = if is_free { wanted } else { 1 - wanted };
            limiter.on_sent(now, &regions[region]);
            windows[at as usize / 2000][region] += 1;
            sent += 1;
            diverted += u32::from(!is_free);
        }
        if is_shared && at % UPDATE_INTERVAL_MS == 0 {
            let updates: Vec<Vec<u32>> = limiters.iter().map(|one| one.sent().to_vec()).collect();
            for (entry, limiter) in limiters.iter_mut().enumerate() {
                for (peer, update) in updates
                    .iter()
                    .enumerate()
                    .filter(|(peer, _)| *peer != entry)
                {
                    limiter.on_peer_sent(now, peer as u64, update);
                }
            }
        }
    }
    let share = |[near, far]: [u32; 2]| f64::from(far) / f64::from(near + far);
    for pair in windows.windows(2) {
        let change = (share(pair[1]) - share(pair[0])).abs();
        assert!(change <= 0.15, "{change} of {windows:?}");
    }
    f64::from(diverted) / f64::from(sent)
}

/// Servers are spread unevenly, so that a part of a region's requests always runs elsewhere.
/// Entries that know each other's counts allow random variation within the cap; without them,
/// each diverts a tenth of all requests from the chosen server.
#[test]
fn steady_shares_divert_few_requests() {
    let (alone, together) = (diverted_share(false), diverted_share(true));
    assert!(together < 0.03, "{together}");
    assert!(alone > 2.0 * together, "alone {alone}, together {together}");
}

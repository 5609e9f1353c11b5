//! Random fault schedule, reproducible by its seed. Faults may overlap.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Time without faults at the start, in which entries and servers settle.
const FAULT_FREE_START: Duration = Duration::from_secs(5);
/// Time without faults at the end, after which the time bounds apply again.
const FAULT_FREE_END: Duration = Duration::from_secs(9);
/// Range of the interval between the starts of two faults, in milliseconds.
const START_INTERVAL_MS: std::ops::Range<u64> = 300..5000;
/// Range of the duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 500..7000;

/// Name of the fault in which entries can reach no backend server.
pub(crate) const PARTITION_FAULT: &str = "partitioned";
/// Range of the duration of such a fault, in milliseconds.
const PARTITION_MS: std::ops::Range<u64> = 6000..12_000;
/// Range of the interval between the starts of two such faults, in milliseconds.
const PARTITION_INTERVAL_MS: std::ops::Range<u64> = 9000..20_000;
/// Distinguishes the numbers drawn for these faults from those of the others.
const PARTITION_SEED: u64 = 0x7061_7274;

/// Range of the age of the copy from which the store comes back, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 1000..6000;
/// Range of the time for which the store is down before, in milliseconds.
const RESTORATION_MS: std::ops::Range<u64> = 200..2500;
/// Range of the interval between two restorations, in milliseconds.
const RESTORATION_INTERVAL_MS: std::ops::Range<u64> = 11_000..20_000;
/// Distinguishes the numbers drawn for these faults from those of the others.
const RESTORATION_SEED: u64 = 0x7265_7374;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Connections of the entries to the store are refused.
    LinkRefused,
    /// The entries get no data from the store, on open connections.
    LinkSilent,
    /// Requests reach the store, but responses to the entries are lost.
    LinkLosesAnswers,
    /// Responses of the store to the entries are delayed by this duration.
    LinkDelayed(Duration),
    /// Connections of the entries to the store break repeatedly, at this interval.
    LinkBreaks(Duration),
    /// The entries can reach no backend server; callers, the store and other entries reach them.
    Partitioned,
    /// The processes are suspended.
    Frozen,
    /// The processes get only a small share of CPU time.
    Starved,
    /// The processes are killed and restarted.
    Killed,
    /// The processes are stopped with SIGTERM and restarted.
    Stopped,
    /// The store rejects all requests.
    StoreDown,
    /// The store rejects all requests, and this percentage of the servers' rows expires.
    StoreLapses(u32),
    /// All responses of the store are delayed by this duration.
    StoreSlow(Duration),
    /// The store discards its change history.
    StoreForgets,
    /// The store is down, then comes back from a copy that is this old.
    StoreRestored(Duration),
}

impl FaultKind {
    /// Name of the kind, as recorded in the history.
    pub fn name(self) -> &'static str {
        match self {
            Self::LinkRefused => "link-refused",
            Self::LinkSilent => "link-silent",
            Self::LinkLosesAnswers => "link-loses-answers",
            Self::LinkDelayed(_) => "link-delayed",
            Self::LinkBreaks(_) => "link-breaks",
            Self::Partitioned => PARTITION_FAULT,
            Self::Frozen => "frozen",
            Self::Starved => "starved",
            Self::Killed => "killed",
            Self::Stopped => "stopped",
            Self::StoreDown => "store-down",
            Self::StoreLapses(_) => "store-lapses",
            Self::StoreSlow(_) => "store-slow",
            Self::StoreForgets => "store-forgets",
            Self::StoreRestored(_) => "store-restored",
        }
    }
}

/// Target of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultTarget {
    /// The store.
    Store,
    /// The entries with these numbers.
    Entries(Vec<usize>),
    /// The entries that lead the region with this number when the fault begins.
    Leads(usize),
    /// All entries of the region with this number.
    Region(usize),
    /// All entries.
    All,
}

/// A scheduled fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start time, relative to the start of the run.
    pub at: Duration,
    /// Duration.
    pub duration: Duration,
    /// Kind of a fault.
    pub kind: FaultKind,
    /// Target.
    pub target: FaultTarget,
}

/// Draws the faults of a run of `seconds` with `entries` entries in `regions` regions.
pub fn draw_faults(seed: u64, seconds: u64, entries: usize, regions: usize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let end = Duration::from_secs(seconds).saturating_sub(FAULT_FREE_END);
    let mut at = FAULT_FREE_START;
    let mut faults = Vec::new();
    while at < end {
        let duration = Duration::from_millis(rng.random_range(DURATION_MS)).min(end - at);
        let kind = draw_kind(&mut rng);
        let target = draw_target(&mut rng, kind, entries, regions);
        faults.push(PlannedFault {
            at,
            duration,
            kind,
            target,
        });
        at += Duration::from_millis(rng.random_range(START_INTERVAL_MS));
    }
    faults
}

/// Draws the times at which the store comes back from an older copy.
pub fn draw_restorations(seed: u64, seconds: u64) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ RESTORATION_SEED);
    let end = Duration::from_secs(seconds).saturating_sub(FAULT_FREE_END);
    let mut at = FAULT_FREE_START;
    let mut faults = Vec::new();
    while at < end {
        let age = Duration::from_millis(rng.random_range(COPY_AGE_MS));
        faults.push(PlannedFault {
            at,
            duration: Duration::from_millis(rng.random_range(RESTORATION_MS)),
            kind: FaultKind::StoreRestored(age),
            target: FaultTarget::Store,
        });
        at += Duration::from_millis(rng.random_range(RESTORATION_INTERVAL_MS));
    }
    faults
}

/// Draws the times at which up to half of the `entries` entries can reach no backend server.
pub fn draw_partitions(seed: u64, seconds: u64, entries: usize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ PARTITION_SEED);
    let end = Duration::from_secs(seconds).saturating_sub(FAULT_FREE_END);
    let mut at = FAULT_FREE_START;
    let mut faults = Vec::new();
    while at < end {
        let duration = Duration::from_millis(rng.random_range(PARTITION_MS)).min(end - at);
        let all: Vec<usize> = (0..entries).collect();
        let count = rng.random_range(1..=entries / 2);
        let chosen = all.choose_multiple(&mut rng, count).copied().collect();
        faults.push(PlannedFault {
            at,
            duration,
            kind: FaultKind::Partitioned,
            target: FaultTarget::Entries(chosen),
        });
        at += Duration::from_millis(rng.random_range(PARTITION_INTERVAL_MS));
    }
    faults
}

fn draw_kind(rng: &mut ChaCha8Rng) -> FaultKind {
    let millis = |rng: &mut ChaCha8Rng, range| Duration::from_millis(rng.random_range(range));
    match rng.random_range(0..20) {
        0 | 1 => FaultKind::LinkRefused,
        2 => FaultKind::LinkSilent,
        3 | 4 => FaultKind::LinkLosesAnswers,
        5 | 6 => FaultKind::LinkDelayed(millis(rng, 200..2000)),
        7..=9 => FaultKind::LinkBreaks(millis(rng, 300..2800)),
        10 | 11 => FaultKind::Frozen,
        12 | 13 => FaultKind::Starved,
        14 | 15 => FaultKind::Killed,
        16 => FaultKind::Stopped,
        17 => FaultKind::StoreDown,
        18 => FaultKind::StoreLapses(rng.random_range(20..100)),
        _ if rng.random() => FaultKind::StoreSlow(millis(rng, 100..900)),
        _ => FaultKind::StoreForgets,
    }
}

fn draw_target(
    rng: &mut ChaCha8Rng,
    kind: FaultKind,
    entries: usize,
    regions: usize,
) -> FaultTarget {
    let is_store = matches!(
        kind,
        FaultKind::StoreDown
            | FaultKind::StoreLapses(_)
            | FaultKind::StoreSlow(_)
            | FaultKind::StoreForgets
    );
    if is_store {
        return FaultTarget::Store;
    }
    let is_restart = matches!(kind, FaultKind::Killed | FaultKind::Stopped);
    match rng.random_range(0..10) {
        0..=3 => FaultTarget::Leads(rng.random_range(0..regions)),
        4 => FaultTarget::Region(rng.random_range(0..regions)),
        5 if is_restart => FaultTarget::All,
        _ => {
            let all: Vec<usize> = (0..entries).collect();
            let count = rng.random_range(1..=entries.div_ceil(4));
            FaultTarget::Entries(all.choose_multiple(rng, count).copied().collect())
        }
    }
}

//! Which faults come when, drawn by a seed. Faults come in series and overlap.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Time before the first fault: entries and servers settle.
const FAULT_FREE_START: Duration = Duration::from_secs(5);
/// Time without faults at the end of a run, in which bounds hold again.
const FAULT_FREE_END: Duration = Duration::from_secs(9);
/// Shortest and longest time between the beginnings of two faults, in milliseconds.
const START_INTERVAL_MS: std::ops::Range<u64> = 300..5000;
/// Shortest and longest fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 500..7000;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The store refuses the entries.
    LinkRefused,
    /// The store doesn't answer the entries.
    LinkSilent,
    /// The store's answers to the entries are lost.
    LinkLosesAnswers,
    /// The store's answers to the entries take this long.
    LinkDelayed(Duration),
    /// The entries' connections to the store break each time after this.
    LinkBreaks(Duration),
    /// The entries stand still.
    Frozen,
    /// The entries get a small part of a processor.
    Starved,
    /// The entries are killed and started again.
    Killed,
    /// The entries are stopped as planned and started again.
    Stopped,
    /// The store refuses everybody.
    StoreDown,
    /// The same, and this part of the servers' rows lapses, in percent.
    StoreLapses(u32),
    /// The store's answers take this long.
    StoreSlow(Duration),
    /// The store forgets its history.
    StoreForgets,
}

impl FaultKind {
    /// The kind in a word.
    pub fn name(self) -> &'static str {
        match self {
            Self::LinkRefused => "link-refused",
            Self::LinkSilent => "link-silent",
            Self::LinkLosesAnswers => "link-loses-answers",
            Self::LinkDelayed(_) => "link-delayed",
            Self::LinkBreaks(_) => "link-breaks",
            Self::Frozen => "frozen",
            Self::Starved => "starved",
            Self::Killed => "killed",
            Self::Stopped => "stopped",
            Self::StoreDown => "store-down",
            Self::StoreLapses(_) => "store-lapses",
            Self::StoreSlow(_) => "store-slow",
            Self::StoreForgets => "store-forgets",
        }
    }
}

/// Which entries a fault concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultTarget {
    /// None: it is the store's.
    Store,
    /// These.
    Entries(Vec<usize>),
    /// Those that lead the region with this number when the fault begins.
    Leads(usize),
    /// All of the region with this number.
    Region(usize),
    /// All.
    All,
}

/// One fault of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What goes wrong.
    pub kind: FaultKind,
    /// Whom it concerns.
    pub target: FaultTarget,
}

/// The faults of a run of `seconds` with `entries` in `regions`.
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

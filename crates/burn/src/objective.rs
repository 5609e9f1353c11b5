//! Burn rates: the share of bad events relative to the share that the objective allows. A rate
//! of 1 uses up the error budget exactly at the end of its period.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::{Deployment, Objective};

use crate::slice::{BurnSlice, SLICE_LENGTH, SliceKey, SliceSums};

/// A window with the burn rate at which operators should be alerted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnWindow {
    /// The name in the report.
    pub name: &'static str,
    /// The length of the window.
    pub length: Duration,
    /// The burn rate from which on the budget burns too fast.
    pub threshold: f64,
}

/// The windows from short to long, for an error budget of 28 days.
pub const BURN_WINDOWS: [BurnWindow; 4] = [
    BurnWindow {
        name: "5m",
        length: Duration::from_secs(300),
        threshold: 14.4,
    },
    BurnWindow {
        name: "1h",
        length: Duration::from_secs(3600),
        threshold: 14.4,
    },
    BurnWindow {
        name: "6h",
        length: Duration::from_secs(6 * 3600),
        threshold: 6.0,
    },
    BurnWindow {
        name: "3d",
        length: Duration::from_secs(3 * 86400),
        threshold: 1.0,
    },
];

base::common! {
    /// The kinds of objective.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum BurnKind {
        /// Answers within the latency objective.
        Latency,
        /// Requests that were answered.
        Availability,
        /// Slots that stay free.
        Headroom,
    }

    /// One row of the report.
    pub struct BurnRow {
        /// The service and region.
        pub key: SliceKey,
        /// The kind of objective.
        pub kind: BurnKind,
        /// Share of events that must be good.
        pub goal: f64,
        /// Share of events that were good over the longest window; 1 if there were no events.
        pub reached: f64,
        /// Burn rates in the order of [`BURN_WINDOWS`]; `None` if there were no events.
        pub rates: Vec<Option<f64>>,
        /// Share of the budget that the longest window leaves; negative if overspent.
        pub budget_left: f64,
        /// Whether the budget burns too fast in two neighbouring windows.
        pub alarm: bool,
    }
}

impl BurnKind {
    /// The name in the report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::Availability => "availability",
            Self::Headroom => "headroom",
        }
    }

    fn goal(self, objective: &Objective) -> f64 {
        match self {
            Self::Latency => objective.latency_goal,
            Self::Availability => objective.availability_goal,
            Self::Headroom => objective.headroom_goal,
        }
    }

    /// The share of bad events relative to the share that is allowed. For headroom, the missing
    /// share of the free slots that the goal demands.
    fn rate(self, sums: &SliceSums, goal: f64) -> Option<f64> {
        match self {
            Self::Latency => burn_rate(sums.done - sums.good, sums.done, goal),
            Self::Availability => burn_rate(sums.failed, sums.done + sums.failed, goal),
            Self::Headroom => {
                let free = (sums.slots > 0.0).then(|| sums.free / sums.slots)?;
                let missing = (goal - free).max(0.0);
                Some(if goal > 0.0 { missing / goal } else { 0.0 })
            }
        }
    }

    fn reached(self, sums: &SliceSums) -> f64 {
        let share = |good: f64, all: f64| if all > 0.0 { good / all } else { 1.0 };
        match self {
            Self::Latency => share(sums.good, sums.done),
            Self::Availability => share(sums.done, sums.done + sums.failed),
            Self::Headroom => share(sums.free, sums.slots),
        }
    }
}

fn burn_rate(bad: f64, all: f64, goal: f64) -> Option<f64> {
    if all <= 0.0 {
        return None;
    }
    Some(bad / all / (1.0 - goal).max(1e-9))
}

/// Computes the rows of the report at the end of the slice `now`.
pub fn burn_rows(deployment: &Deployment, slices: &[BurnSlice], now: u64) -> Vec<BurnRow> {
    let sums: Vec<BTreeMap<SliceKey, SliceSums>> = BURN_WINDOWS
        .iter()
        .map(|window| window_sums(slices, now, window.length))
        .collect();
    let sums: Vec<_> = sums
        .into_iter()
        .map(|sums| merge_split_parts(deployment, sums))
        .collect();
    let longest = &sums[BURN_WINDOWS.len() - 1];
    let mut rows = Vec::new();
    for (key, total) in longest {
        let Some(service) = deployment.services.get(key.service.as_str()) else {
            continue;
        };
        for kind in [
            BurnKind::Latency,
            BurnKind::Availability,
            BurnKind::Headroom,
        ] {
            let goal = kind.goal(&service.objective);
            let in_window = |window: &BTreeMap<SliceKey, SliceSums>| {
                window.get(key).and_then(|sums| kind.rate(sums, goal))
            };
            let rates: Vec<Option<f64>> = sums.iter().map(in_window).collect();
            rows.push(BurnRow {
                key: key.clone(),
                kind,
                goal,
                reached: kind.reached(total),
                budget_left: 1.0 - kind.rate(total, goal).unwrap_or(0.0),
                alarm: is_burning_too_fast(&rates),
                rates,
            });
        }
    }
    rows
}

/// Adds the counts of the parts of a traffic split to those of their service.
fn merge_split_parts(
    deployment: &Deployment,
    sums: BTreeMap<SliceKey, SliceSums>,
) -> BTreeMap<SliceKey, SliceSums> {
    let mut services: BTreeMap<SliceKey, SliceSums> = BTreeMap::new();
    for (mut key, part) in sums {
        if let Some(service) = deployment.service_of(&key.service) {
            key.service = service.id.to_string();
        }
        services.entry(key).or_default().add(&part);
    }
    services
}

/// The budget burns too fast if a window and the next longer one both exceed their thresholds.
fn is_burning_too_fast(rates: &[Option<f64>]) -> bool {
    let exceeds =
        |index: usize| rates[index].is_some_and(|rate| rate >= BURN_WINDOWS[index].threshold);
    (exceeds(0) && exceeds(1)) || (exceeds(1) && exceeds(2)) || (exceeds(2) && exceeds(3))
}

fn window_sums(slices: &[BurnSlice], now: u64, length: Duration) -> BTreeMap<SliceKey, SliceSums> {
    let count = length.as_secs() / SLICE_LENGTH.as_secs();
    let mut sums: BTreeMap<SliceKey, SliceSums> = BTreeMap::new();
    for slice in slices {
        if slice.number > now || slice.number + count <= now {
            continue;
        }
        for (key, part) in &slice.sums {
            sums.entry(key.clone()).or_default().add(part);
        }
    }
    sums
}

//! Aggregates the counters of all instances into time slices.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::scrape::{CounterSet, Scrape, ServiceCounters};

/// Length of a slice.
pub const SLICE_LENGTH: Duration = Duration::from_secs(300);

base::common! {
    /// A service in a region.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct SliceKey {
        /// The service.
        pub service: String,
        /// The region.
        pub region: String,
    }

    /// Sums for a service in a region over a slice.
    #[derive(Copy, Default)]
    pub struct SliceSums {
        /// Answered requests.
        pub done: f64,
        /// Requests answered within the latency objective.
        pub good: f64,
        /// Requests that failed because of this system.
        pub failed: f64,
        /// Sum of all samples of the slots gauge.
        pub slots: f64,
        /// Sum of all samples of the free slots gauge.
        pub free: f64,
    }

    /// The aggregated counters of a time slice.
    #[derive(Default)]
    pub struct BurnSlice {
        /// Number of the slice: the Unix time divided by the length of a slice.
        pub number: u64,
        /// Sums by service and region.
        pub sums: Vec<(SliceKey, SliceSums)>,
        /// Longest duration of a planned stop of each instance, in seconds.
        pub drains: BTreeMap<String, f64>,
    }
}

impl SliceSums {
    /// Adds the sums of `other`.
    pub fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.good += other.good;
        self.failed += other.failed;
        self.slots += other.slots;
        self.free += other.free;
    }
}

/// Aggregates scrapes into slices. A counter that decreases means that its instance restarted.
#[derive(Debug, Default)]
pub struct SliceRecorder {
    last: HashMap<String, CounterSet>,
    slice: BurnSlice,
}

impl SliceRecorder {
    /// Creates an empty recorder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Continues a slice that was stored before a restart.
    pub fn resume(&mut self, slice: BurnSlice) {
        self.slice = slice;
    }

    /// The current slice.
    pub fn slice(&self) -> &BurnSlice {
        &self.slice
    }

    /// Adds a scrape that was made during the slice `number`.
    pub fn record(&mut self, number: u64, scrape: &Scrape) {
        if self.slice.number != number {
            self.slice = BurnSlice {
                number,
                ..BurnSlice::default()
            };
        }
        if scrape.draining > 0.0 {
            let longest = self
                .slice
                .drains
                .entry(scrape.instance.clone())
                .or_default();
            *longest = longest.max(scrape.draining);
        }
        let previous = self
            .last
            .insert(scrape.instance.clone(), scrape.services.clone());
        for (service, now) in &scrape.services {
            let key = SliceKey {
                service: service.clone(),
                region: scrape.region.clone(),
            };
            let old = previous
                .as_ref()
                .map(|set| set.get(service).copied().unwrap_or_default());
            let sums = counter_increase(old, now);
            self.add(key, &sums);
        }
    }

    fn add(&mut self, key: SliceKey, sums: &SliceSums) {
        match self.slice.sums.iter_mut().find(|(known, _)| *known == key) {
            Some((_, known)) => known.add(sums),
            None => self.slice.sums.push((key, *sums)),
        }
    }
}

/// Returns the increase of the counters. The first scrape of an instance counts as none, as it is
/// unknown when its counters increased.
fn counter_increase(previous: Option<ServiceCounters>, now: &ServiceCounters) -> SliceSums {
    let mut sums = SliceSums {
        slots: now.slots,
        free: now.free,
        ..SliceSums::default()
    };
    let Some(mut previous) = previous else {
        return sums;
    };
    let restarted = now.done < previous.done || now.failed < previous.failed;
    if restarted {
        previous = ServiceCounters::default();
    }
    sums.done = now.done - previous.done;
    sums.good = (now.good - previous.good).max(0.0);
    sums.failed = now.failed - previous.failed;
    sums
}

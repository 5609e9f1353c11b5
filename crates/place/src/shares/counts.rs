//! Recent requests and placements by service and callers' region, over all entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tally::PeerTally;

use crate::placing::timing::MovingAverage;
use crate::shares::message::ShareReport;

/// Time for which a peer is considered live after a report.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Time constant with which requests are forgotten.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Number of recent requests below which a region isn't compared, since chance decides its
/// share.
const MIN_REQUESTS: f64 = 20.0;

/// Number of report intervals without a report after which reports count as lost.
const MAX_LATE_REPORTS: u32 = 2;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum RequestCount {
    /// Requests of callers.
    Asked,
    /// Those that got a server.
    Placed,
}

/// A count of requests for a service by callers of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct ShareKey {
    /// Short hash of the service's name.
    pub(super) service: u32,
    /// Short hash of the region's name.
    pub(super) region: u32,
    /// What is counted.
    pub(super) count: RequestCount,
}

/// Share of the requests for a service that got a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceShare {
    /// Among those of the own region's callers.
    pub own: f64,
    /// Among those of all regions.
    pub mean: f64,
}

/// Counts the requests of this entry, and sums those of all entries.
#[derive(Debug)]
pub(super) struct RegionCounts {
    run: u64,
    region: u32,
    /// Interval at which entries report to those of other regions.
    report_interval: Duration,
    tally: PeerTally<ShareKey>,
    recent: BTreeMap<ShareKey, DecayedCount>,
}

/// A sum of counts that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayedCount {
    value: f64,
    at: Option<Instant>,
}

impl RegionCounts {
    /// Creates the counts of an entry in the region with the short hash `region`.
    pub(super) fn new(now: Instant, run: u64, region: u32) -> Self {
        Self {
            run,
            region,
            report_interval: Duration::ZERO,
            tally: PeerTally::new(REPORT_TTL).with_start(now),
            recent: BTreeMap::new(),
        }
    }

    /// Records a request for `service` and whether it got a server.
    pub(super) fn on_request(&mut self, now: Instant, service: u32, is_placed: bool) {
        self.add_own(now, service, RequestCount::Asked);
        if is_placed {
            self.add_own(now, service, RequestCount::Placed);
        }
    }

    /// Records a report of the entry `peer`.
    pub(super) fn on_report(&mut self, now: Instant, peer: u64, report: &ShareReport) {
        let last_at = self.tally.last_report_at(peer);
        let gap = last_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // After reports were lost, most of the requests are no recent ones.
        let covered = DECAY_TIME.max(MAX_LATE_REPORTS * self.report_interval);
        let recent_part = (covered.as_secs_f64() / gap.as_secs_f64()).min(1.0);
        let deltas = self.tally.on_report(now, peer, &report.to_count_report());
        for (key, added) in deltas {
            self.add(now, key, added as f64 * recent_part);
        }
    }

    /// Returns the report on this entry's requests for the others.
    pub(super) fn report(&self, now: Instant) -> ShareReport {
        let mut services: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
        for (key, total) in self.tally.own_totals() {
            let (asked, placed) = services.entry(key.service).or_default();
            match key.count {
                RequestCount::Asked => *asked = total,
                RequestCount::Placed => *placed = total,
            }
        }
        let services = services.into_iter();
        ShareReport {
            run: self.run,
            age_ms: self.tally.age(now).as_millis() as u64,
            region: self.region,
            services: services
                .map(|(service, (asked, placed))| (service, asked, placed))
                .collect(),
        }
    }

    /// Sets the interval at which entries report to those of other regions.
    pub(super) fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

    /// Forgets entries that aren't in `live`.
    pub(super) fn retain_peers(&mut self, live: &[u64]) {
        self.tally.retain(|peer, _| live.contains(&peer));
    }

    /// The share of the requests for `service` that got a server. `None` if there aren't enough
    /// requests of two regions, one of them the own one.
    pub(super) fn share(&self, now: Instant, service: u32) -> Option<ServiceShare> {
        let first = ShareKey {
            service,
            region: 0,
            count: RequestCount::Asked,
        };
        let mut own = None;
        let (mut asked_sum, mut placed_sum, mut regions) = (0.0, 0.0, 0);
        for (key, asked) in self.recent.range(first..) {
            if key.service != service {
                break;
            }
            let asked = asked.value(now);
            if key.count != RequestCount::Asked || asked < MIN_REQUESTS {
                continue;
            }
            let placed_key = ShareKey {
                count: RequestCount::Placed,
                ..*key
            };
            let placed = self.value(now, placed_key);
            if key.region == self.region {
                own = Some(placed / asked);
            }
            asked_sum += asked;
            placed_sum += placed;
            regions += 1;
        }
        let own = own.filter(|_| regions > 1)?;
        let mean = placed_sum / asked_sum;
        Some(ServiceShare { own, mean })
    }

    fn value(&self, now: Instant, key: ShareKey) -> f64 {
        self.recent.get(&key).map_or(0.0, |count| count.value(now))
    }

    fn add_own(&mut self, now: Instant, service: u32, count: RequestCount) {
        let key = ShareKey {
            service,
            region: self.region,
            count,
        };
        self.tally.add(now, key);
        self.add(now, key, 1.0);
    }

    fn add(&mut self, now: Instant, key: ShareKey, added: f64) {
        self.recent.entry(key).or_default().add(now, added);
    }
}

impl DecayedCount {
    fn add(&mut self, now: Instant, count: f64) {
        self.value = (self.value(now) + count).max(0.0);
        self.at = Some(now);
    }

    fn value(&self, now: Instant) -> f64 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        self.value * MovingAverage::decay(age.unwrap_or_default(), DECAY_TIME)
    }
}

//! Like shares of a service's room for the callers of each region.
//!
//! Where room is short, callers next to many servers fill the queues of these, and requests
//! from regions with few servers find the queues too long, since they also travel. Entries compare
//! the regions by counts of all: where a smaller share of the requests of its callers gets a
//! server than on average, the round trip counts less against the time for which they may queue.
//!
//! This module uses no sockets, clocks or threads.

mod counts;
pub mod message;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::placing::load::short_id;
use crate::rank::stable_hash;
use crate::shares::counts::RegionCounts;
pub use crate::shares::counts::ServiceShare;
use crate::shares::message::ShareReport;

/// Interval at which the travel credits are adapted.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Room is short if less than this share of the requests for a service gets a server.
const SHORT_SHARE: f64 = 0.97;
/// Differences from the mean below this one are left alone.
const TOLERATED_DIFFERENCE: f64 = 0.01;
/// Change of the travel credit per second, as a multiple of the difference from the mean.
const ADAPTATION_RATE: f64 = 2.0;
/// Decrease of the travel credit per second once room isn't short any more.
const RECOVERY_RATE: f64 = 0.5;

/// Compares the room that the callers of each region have at each service.
#[derive(Debug)]
pub struct RegionShares {
    counts: RegionCounts,
    /// Travel credits of the services that were requested.
    credits: HashMap<String, f64>,
    adapted_at: Instant,
}

/// Share of the requests for a service that got a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceState<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The shares; `None` if there are too few requests to compare.
    pub share: Option<ServiceShare>,
    /// See [`RegionShares::travel_credit`].
    pub travel_credit: f64,
}

impl RegionShares {
    /// Creates the shares of an entry in `region`; `run` identifies this run of its process.
    pub fn new(now: Instant, run: u64, region: &str) -> Self {
        Self {
            counts: RegionCounts::new(now, run, short_hash(region)),
            credits: HashMap::new(),
            adapted_at: now,
        }
    }

    /// Records a request for `service` and whether it got a server.
    pub fn on_request(&mut self, now: Instant, service: &str, is_placed: bool) {
        self.counts.on_request(now, short_hash(service), is_placed);
        if !self.credits.contains_key(service) {
            self.credits.insert(service.to_owned(), 0.0);
        }
        self.adapt(now);
    }

    /// Records a report of the entry `peer`.
    pub fn on_report(&mut self, now: Instant, peer: u64, report: &ShareReport) {
        self.counts.on_report(now, peer, report);
    }

    /// Returns the report on this entry's requests for the others.
    pub fn report(&self, now: Instant) -> ShareReport {
        self.counts.report(now)
    }

    /// Sets the hashes of all entries that get requests, and the interval at which they report
    /// to those of other regions.
    pub fn set_peers(&mut self, live: &[u64], report_interval: Duration) {
        self.counts.set_report_interval(report_interval);
        self.counts.retain_peers(live);
    }

    /// Share of the round trip that doesn't count against the time limit of requests for
    /// `service` that queue, 0 to 1.
    pub fn travel_credit(&self, service: &str) -> f64 {
        self.credits.get(service).copied().unwrap_or(0.0)
    }

    /// The state of all services.
    pub fn states(&self, now: Instant) -> impl Iterator<Item = ServiceState<'_>> {
        self.credits
            .iter()
            .map(move |(service, travel_credit)| ServiceState {
                service,
                share: self.counts.share(now, short_hash(service)),
                travel_credit: *travel_credit,
            })
    }

    /// Adapts the travel credits if that is due.
    fn adapt(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.adapted_at);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.adapted_at = now;
        // A long pause must not change the credit at one go.
        let seconds = elapsed.min(2 * UPDATE_INTERVAL).as_secs_f64();
        for (service, credit) in &mut self.credits {
            let share = self.counts.share(now, short_hash(service));
            *credit = adapted(*credit, share, seconds);
        }
    }
}

/// The travel credit that follows `credit` after `seconds`.
fn adapted(credit: f64, share: Option<ServiceShare>, seconds: f64) -> f64 {
    let Some(share) = share.filter(|share| share.mean < SHORT_SHARE) else {
        return (credit - RECOVERY_RATE * seconds).max(0.0);
    };
    let difference = share.mean - share.own;
    if difference.abs() < TOLERATED_DIFFERENCE {
        return credit;
    }
    (credit + ADAPTATION_RATE * difference * seconds).clamp(0.0, 1.0)
}

fn short_hash(name: &str) -> u32 {
    short_id(stable_hash(name.as_bytes()))
}

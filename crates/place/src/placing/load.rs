//! Load reports, in which entries inform each other of their requests at servers.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::catalog::ServerCatalog;
use crate::placing::cache_likelihood::HandledPair;

/// Time for which an entry's report counts; reports are sent several times per second.
const LOAD_TTL: Duration = Duration::from_millis(1500);

/// Load interval per other entry of the region: each entry sends and receives at most 80
/// datagrams per second there, however many entries there are.
const LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(12);
/// Minimum load interval; requests take longer than this.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(80);
/// Interval of reports to other regions, per entry there: at most 160 datagrams per second.
/// Small fleets send every report there: with one report in three, callers got 0.533 of their
/// worth instead of 0.541 where servers are spread unevenly (mean of 15 days with faults).
const OTHER_REGION_LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(6);
/// Number of reports in which an entry that is back on standby says so, since datagrams may be
/// lost.
const FINAL_REPORTS: u32 = 3;
/// Requests of one entry: short ids of servers, with counts.
pub type LoadList = Vec<(u32, u16)>;

base::common! {
    /// What an entry reports to the others of its requests.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct LoadReport {
        /// Short ids of servers, with the number of requests there.
        pub load: LoadList,
        /// Requests sent to each region since the entry started, in the order of the
        /// regions' names. Sent only within the region.
        pub sent: Vec<u32>,
        /// Objects handled by servers since the last report. Sent only within the region.
        pub handled: Vec<HandledPair>,
    }
}

impl LoadReport {
    /// Strips the report for entries of other regions.
    #[must_use]
    pub fn for_other_regions(mut self) -> Self {
        self.sent.clear();
        self.handled.clear();
        self
    }
}

/// The newest report of each other entry, and their sums per server.
#[derive(Debug, Default)]
pub struct PeerLoads {
    lists: HashMap<u64, (Instant, LoadList)>,
    sums: HashMap<u32, u32>,
    /// Servers whose sum has changed since it was last set in the catalog.
    changed: HashSet<u32>,
    /// When the oldest report expires.
    next_expiry: Option<Instant>,
    /// Number of servers that had joined when the sums were last set.
    join_count: u64,
}

/// Short id of a server, from its hash. If two servers share one, both are merely assumed to be
/// busier than they are.
pub fn short_id(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}

/// Time between load reports of an entry with `in_region` others in its region.
pub fn load_interval(in_region: u32) -> Duration {
    (LOAD_INTERVAL_PER_ENTRY * in_region).max(MIN_LOAD_INTERVAL)
}

/// Time within which an entry with `in_region` others in its region and `in_other_regions`
/// elsewhere sends a report to all of them.
pub fn report_interval(in_region: u32, in_other_regions: u32) -> Duration {
    let reports = reports_per_far_report(in_region, in_other_regions);
    load_interval(in_region) * u32::try_from(reports).unwrap_or(u32::MAX)
}

/// Whether report number `round` of an entry with `in_region` others in its region is also
/// sent to the `in_other_regions` entries of other regions.
pub fn is_sent_to_other_regions(round: u32, in_region: u32, in_other_regions: u32) -> bool {
    let reports = reports_per_far_report(in_region, in_other_regions);
    u128::from(round).is_multiple_of(reports)
}

/// One report in this many also goes to the entries of other regions.
fn reports_per_far_report(in_region: u32, in_other_regions: u32) -> u128 {
    let interval = OTHER_REGION_LOAD_INTERVAL_PER_ENTRY * in_other_regions;
    let reports = interval
        .as_millis()
        .div_ceil(load_interval(in_region).as_millis());
    reports.max(1)
}

/// Decides which load reports an entry sends.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    /// Number of reports sent.
    round: u32,
    /// Number of reports still to be sent after the last request.
    final_reports: u32,
}

/// A report to be sent to the entries of the own region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueReport {
    /// Whether it also goes to the entries of other regions.
    pub is_for_all: bool,
    /// Whether the entry is back on standby and admits nothing until its next report.
    pub is_final: bool,
}

impl ReportSchedule {
    /// Returns the report that an entry sends now; `None` if it sends none. `is_used` tells whether
    /// it gets requests, and `has_quotas` whether others have to know when it gets none any more.
    /// There are `in_region` other entries in its region and `in_other_regions` elsewhere.
    pub fn next(
        &mut self,
        (is_used, has_quotas): (bool, bool),
        in_region: u32,
        in_other_regions: u32,
    ) -> Option<DueReport> {
        if is_used {
            self.final_reports = FINAL_REPORTS;
        } else if !has_quotas || self.final_reports == 0 {
            self.final_reports = 0;
            return None;
        }
        self.final_reports = self.final_reports.saturating_sub(1);
        let is_final = !is_used;
        let is_for_all =
            is_final || is_sent_to_other_regions(self.round, in_region, in_other_regions);
        self.round = self.round.wrapping_add(1);
        Some(DueReport {
            is_for_all,
            is_final,
        })
    }
}

impl PeerLoads {
    /// Replaces the list of `entry`.
    pub fn apply_list(&mut self, now: Instant, entry: u64, list: LoadList) {
        self.add(&list);
        let next_expiry = now + LOAD_TTL;
        self.next_expiry = Some(
            self.next_expiry
                .map_or(next_expiry, |known| known.min(next_expiry)),
        );
        if let Some((_, before)) = self.lists.insert(entry, (now, list)) {
            self.subtract(&before);
        }
    }

    /// Sets the load of the other entries at each server of `catalog`. Call it before the
    /// load is used. Only servers with changed sums are visited: visiting all of ten thousand
    /// servers took 5 ms per request, most of it for servers without requests.
    pub fn apply(&mut self, now: Instant, catalog: &mut ServerCatalog) {
        if self
            .next_expiry
            .is_some_and(|next_expiry| now >= next_expiry)
        {
            self.expire(now);
        }
        if self.join_count != catalog.join_count() {
            self.join_count = catalog.join_count();
            self.changed.extend(self.sums.keys());
        }
        for id in self.changed.drain() {
            let sum = self.sums.get(&id).copied().unwrap_or(0);
            let record_indexes: Vec<usize> = catalog.indexes_by_short_id(id).collect();
            for record_index in record_indexes {
                if let Some(record) = catalog.by_index_mut(record_index) {
                    record.peer_load = f64::from(sum);
                }
            }
        }
    }

    /// Removes expired lists.
    fn expire(&mut self, now: Instant) {
        let lists = std::mem::take(&mut self.lists);
        for (entry, (at, list)) in lists {
            if now.saturating_duration_since(at) < LOAD_TTL {
                self.lists.insert(entry, (at, list));
            } else {
                self.subtract(&list);
            }
        }
        let oldest = self.lists.values().map(|(at, _)| *at).min();
        self.next_expiry = oldest.map(|at| at + LOAD_TTL);
    }

    fn add(&mut self, list: &LoadList) {
        for (id, count) in list {
            *self.sums.entry(*id).or_default() += u32::from(*count);
            self.changed.insert(*id);
        }
    }

    fn subtract(&mut self, list: &LoadList) {
        for (id, count) in list {
            self.changed.insert(*id);
            let Some(sum) = self.sums.get_mut(id) else {
                continue;
            };
            *sum = sum.saturating_sub(u32::from(*count));
            if *sum == 0 {
                self.sums.remove(id);
            }
        }
    }
}

/// This entry's requests at the servers of `catalog`.
pub fn own_load(catalog: &ServerCatalog) -> LoadList {
    let busy = catalog.iter().filter(|record| record.in_flight > 0);
    busy.map(|record| {
        let count = u16::try_from(record.in_flight).unwrap_or(u16::MAX);
        (short_id(record.hash), count)
    })
    .collect()
}

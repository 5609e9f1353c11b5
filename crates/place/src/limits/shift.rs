//! Limits how fast the requests of a region's callers shift between regions.
//!
//! The limit compares the share of each region in one window with that in the previous window,
//! over all entries of the callers' region and for windows that begin at any time. Entries
//! report their counts to each other, so that each one enforces the limit for all. If reports of
//! some are lost, each still enforces it for the others; a limit that holds for all parts of
//! the requests holds for all of them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use tally::{CountReport, PeerTally};

/// Share of the platform's cap that is used. The rest covers requests that end up in another
/// region than they were sent to, and requests of other entries that were not reported yet
/// and don't match the extrapolation.
const USABLE_CAP_SHARE: f64 = 0.8;
/// The same for requests that stay in their own region because no other has capacity: refusing
/// them would not be worth the rest of the cap.
const OWN_REGION_CAP_SHARE: f64 = 0.9;
/// Length of the window to which the cap applies.
const WINDOW: Duration = Duration::from_secs(2);
/// Length of the first window of traffic at an entry. The platform's first window begins
/// with the first traffic of all, so this one must be shorter to end before it at entries
/// that start later: with 2 s, a calm day with 83 entries moved 0.24 of a region's requests
/// from the first window to the second, against a cap of 0.15.
const FIRST_WINDOW: Duration = Duration::from_millis(1500);
/// For this long after its last report, which covers several reports, a peer is assumed to send
/// what this entry sends. Without this, three entries that report to each other every 100 ms
/// moved 0.154 of their requests in a burst, against a cap of 0.15.
const EXTRAPOLATION_TIME: Duration = Duration::from_millis(500);
/// Requests within this span are counted together.
const BUCKET_SPAN: Duration = Duration::from_millis(50);
/// Number of requests per window that may move whatever their share, since a window of a few
/// requests can't match shares exactly.
const MIN_MOVED_REQUESTS: f64 = 1.0;
/// After a longer gap the next request may be the first of the traffic.
const MAX_START_GAP: Duration = Duration::from_millis(300);
/// Number of requests from which on a gap doesn't restart the first window.
const MIN_START_REQUESTS: u32 = 8;
/// Time from which on the first window isn't restarted.
const MAX_START_WAIT: Duration = Duration::from_secs(30);

/// Requests sent to each region, in the order of the regions' names.
type RegionCounts = Vec<u32>;

/// Counts requests per region and decides which regions may get more.
#[derive(Debug)]
pub struct ShiftLimiter {
    /// Sorted by name, so that the order is the same on all entries.
    regions: Vec<String>,
    /// Maximum share of requests that may change their region from one window to the next.
    cap: f64,
    first: FirstWindow,
    /// Requests of the last two windows, newest last.
    buckets: VecDeque<(Instant, RegionCounts)>,
    /// Requests of the current window and of the previous one.
    current: RegionCounts,
    previous: RegionCounts,
    /// Requests of this entry and those that others reported, by the index of the region.
    tally: PeerTally<usize>,
    /// The newest counts of each peer, and how often they restarted.
    peer_counts: HashMap<u64, (RegionCounts, u64)>,
    /// Estimated requests of the peers since their last reports.
    unreported: RegionCounts,
}

/// Detects the first window of traffic, in which requests may go anywhere, since there is no
/// previous window.
#[derive(Debug, Default)]
struct FirstWindow {
    first_seen: Option<Instant>,
    began: Option<Instant>,
    last: Option<Instant>,
    requests: u32,
    is_over: bool,
}

impl ShiftLimiter {
    /// Limits the share of requests that change their region from one window to the next to
    /// `cap`.
    pub fn new(cap: f64, regions: &[String]) -> Self {
        let mut all = regions.to_vec();
        all.sort_unstable();
        all.dedup();
        let none = vec![0; all.len()];
        Self {
            cap,
            first: FirstWindow::default(),
            buckets: VecDeque::new(),
            current: none.clone(),
            previous: none.clone(),
            unreported: none,
            tally: PeerTally::new(EXTRAPOLATION_TIME),
            peer_counts: HashMap::new(),
            regions: all,
        }
    }

    /// Updates the counts of the last two windows to `now`. Call it before each use.
    pub fn advance(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self
            .buckets
            .front()
            .is_some_and(|(at, _)| age(*at) >= 2 * WINDOW)
        {
            self.buckets.pop_front();
        }
        let first_ends = self.first.ends();
        self.current.fill(0);
        self.previous.fill(0);
        for (at, counts) in &self.buckets {
            let is_before = age(*at) >= WINDOW || first_ends.is_some_and(|ends| *at < ends);
            let window = if is_before {
                &mut self.previous
            } else {
                &mut self.current
            };
            add(window, counts);
        }
        for (region, unreported) in self.unreported.iter_mut().enumerate() {
            *unreported = self.tally.estimate_unreported(now, region);
        }
    }

    /// Whether a request may be sent to `region` now.
    pub fn permits(&self, region: &str) -> bool {
        self.is_within(region, self.cap * USABLE_CAP_SHARE)
    }

    /// Whether a request may stay in its own region `region` if the others, which should get
    /// it, have no capacity.
    pub fn permits_own_region(&self, region: &str) -> bool {
        self.is_within(region, self.cap * OWN_REGION_CAP_SHARE)
    }

    fn is_within(&self, region: &str, max_share: f64) -> bool {
        let previous: u32 = self.previous.iter().sum();
        let Some(index) = self.index(region) else {
            return true;
        };
        if !self.first.is_over || previous == 0 {
            return true;
        }
        let mut estimated = self.current.clone();
        add(&mut estimated, &self.unreported);
        let current: u32 = estimated.iter().sum();
        let (previous, current) = (f64::from(previous), f64::from(current + 1));
        let mut moved = 0.0;
        for (other, (now, previous_count)) in estimated.iter().zip(&self.previous).enumerate() {
            let now = f64::from(*now) + if other == index { 1.0 } else { 0.0 };
            let unmoved = f64::from(*previous_count) / previous * current;
            moved += (now - unmoved).abs() / 2.0;
            if other == index && now <= unmoved {
                // The region is still below its previous share.
                return true;
            }
        }
        moved <= (max_share * current).max(MIN_MOVED_REQUESTS)
    }

    /// Counts a request that was sent to `region`.
    pub fn on_sent(&mut self, now: Instant, region: &str) {
        let Some(index) = self.index(region) else {
            return;
        };
        self.tally.add(now, index);
        let mut counts = vec![0; self.regions.len()];
        counts[index] = 1;
        self.count(now, &counts);
    }

    /// Requests that this entry sent to each region since its start, for the other entries
    /// of its region.
    pub fn sent(&self) -> Vec<u32> {
        let regions = 0..self.regions.len();
        regions.map(|region| self.tally.own_total(region)).collect()
    }

    /// Applies what the entry `peer` of the own region has sent since its start. The first
    /// report of a run only sets the baseline.
    pub fn on_peer_sent(&mut self, now: Instant, peer: u64, sent: &[u32]) {
        if sent.len() != self.regions.len() {
            return;
        }
        let (known, run) = self.peer_counts.entry(peer).or_default();
        if sent
            .iter()
            .zip(known.iter())
            .any(|(sent, known)| sent < known)
        {
            *run += 1;
        }
        known.clear();
        known.extend_from_slice(sent);
        let report = CountReport {
            run: *run,
            // Requests sent before the first report belong to none of this entry's windows.
            age: Duration::MAX,
            counts: sent.iter().copied().enumerate().collect(),
        };
        let mut added_counts = vec![0; self.regions.len()];
        for (region, added) in self.tally.on_report(now, peer, &report) {
            added_counts[region] = u32::try_from(added).unwrap_or_default();
        }
        self.count(now, &added_counts);
    }

    /// Forgets entries that aren't in `live`.
    pub fn retain_peers(&mut self, live: &[u64]) {
        self.peer_counts.retain(|peer, _| live.contains(peer));
        self.tally.retain(|peer, _| live.contains(&peer));
    }

    fn count(&mut self, now: Instant, counts: &[u32]) {
        if counts.iter().all(|count| *count == 0) {
            return;
        }
        self.first.on_request(now);
        let newest = self.buckets.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| now.saturating_duration_since(at) >= BUCKET_SPAN) {
            self.buckets.push_back((now, vec![0; self.regions.len()]));
        }
        if let Some((_, bucket)) = self.buckets.back_mut() {
            add(bucket, counts);
        }
        add(&mut self.current, counts);
    }

    fn index(&self, region: &str) -> Option<usize> {
        self.regions.iter().position(|known| known == region)
    }
}

impl FirstWindow {
    /// Counts a request. Single requests, such as checks before the traffic starts, don't begin
    /// the window.
    fn on_request(&mut self, now: Instant) {
        if self.is_over {
            return;
        }
        let first_seen = *self.first_seen.get_or_insert(now);
        let began = *self.began.get_or_insert(now);
        let is_wait_over = now.saturating_duration_since(first_seen) >= MAX_START_WAIT;
        let is_after_gap = self
            .last
            .is_none_or(|at| now.saturating_duration_since(at) > MAX_START_GAP);
        self.last = Some(now);
        if is_after_gap && self.requests < MIN_START_REQUESTS && !is_wait_over {
            self.began = Some(now);
            self.requests = 1;
            return;
        }
        self.requests += 1;
        self.is_over = now.saturating_duration_since(began) >= FIRST_WINDOW;
    }

    /// When it ends or ended, if it has begun.
    fn ends(&self) -> Option<Instant> {
        self.began.map(|began| began + FIRST_WINDOW)
    }
}

fn add(sum: &mut [u32], counts: &[u32]) {
    for (sum, count) in sum.iter_mut().zip(counts) {
        *sum = sum.saturating_add(*count);
    }
}

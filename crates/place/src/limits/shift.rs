//! Bounds how fast the requests of a region's callers move between regions.
//!
//! The bound is on what runs where in one window against the window before, over
//! all entries of a region. The entries tell each other what they sent, so that each
//! holds the bound for all at every moment: in windows that begin anywhere. Where
//! some are not heard, each still holds it for those that it hears, and what holds
//! for parts of the requests holds for all of them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use tally::{CountReport, PeerTally};

/// Part of the platform's cap that is used: the rest covers requests that end up
/// elsewhere than they were sent to, and what others sent and is not heard yet, as far
/// as it isn't what this entry sent.
const USED_SHARE: f64 = 0.8;
/// The same for requests that stay in their own region since no other has room: the rest
/// of the cap is too little to refuse them for.
const OWN_SHARE: f64 = 0.9;
/// The window that the cap is meant for.
const WINDOW: Duration = Duration::from_secs(2);
/// The first window of traffic at an entry. It is shorter than the platform's, which
/// begins with the traffic of all, and ends before that does at entries whose first
/// requests come later: with 2 s a calm day of 83 entries moved 0.24 of a region's
/// requests from its first window to its second, against a cap of 0.15.
const FIRST_WINDOW: Duration = Duration::from_millis(1500);
/// A peer is thought to go on as this entry does for this long after its last word:
/// several words. Without that, three entries that tell each other every 100 ms moved
/// 0.154 of their requests in a burst, against a cap of 0.15.
const UNHEARD_FOR: Duration = Duration::from_millis(500);
/// Requests of this span are counted together.
const SLOT: Duration = Duration::from_millis(50);
/// So many requests of a window may be elsewhere whatever their share: a window of a
/// few requests can't keep shares exactly.
const LEAST_SLACK: f64 = 1.0;
/// A pause after which the next request may be the first of the traffic.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Requests after which a pause doesn't begin the first window again.
const FEW: u32 = 8;
/// After this time the first window is not begun again.
const LONGEST_FIRST: Duration = Duration::from_secs(30);

/// Requests sent to each region, by the regions' names.
type RegionCounts = Vec<u32>;

/// Counts what runs where, and tells what may be sent.
#[derive(Debug)]
pub struct ShiftLimiter {
    /// In an order that is the same at all entries.
    regions: Vec<String>,
    /// Largest part of the requests that may change their region in a window.
    cap: f64,
    first: FirstWindow,
    /// Requests of the last two windows, newest last.
    slots: VecDeque<(Instant, RegionCounts)>,
    /// Requests of the present window, and of the one before.
    present: RegionCounts,
    before: RegionCounts,
    /// Requests that this entry sent, and what the others told of theirs, by the places of
    /// the regions.
    tally: PeerTally<usize>,
    /// The newest counts of the others, and how often each began anew.
    heard: HashMap<u64, (RegionCounts, u64)>,
    /// What the others likely sent since they were heard.
    unheard: RegionCounts,
}

/// Finds the first window of traffic, in which requests may go anywhere: there is
/// nothing before it that they could have moved from.
#[derive(Debug, Default)]
struct FirstWindow {
    met: Option<Instant>,
    begun: Option<Instant>,
    last: Option<Instant>,
    requests: u32,
    is_over: bool,
}

impl ShiftLimiter {
    /// Bounds the part of the requests that change their region from one window
    /// to the next to `cap`.
    pub fn new(cap: f64, regions: &[String]) -> Self {
        let mut all = regions.to_vec();
        all.sort_unstable();
        all.dedup();
        let none = vec![0; all.len()];
        Self {
            cap,
            first: FirstWindow::default(),
            slots: VecDeque::new(),
            present: none.clone(),
            before: none.clone(),
            unheard: none,
            tally: PeerTally::new(UNHEARD_FOR),
            heard: HashMap::new(),
            regions: all,
        }
    }

    /// Counts what the last two windows hold at `now`. Call it before each use.
    pub fn advance(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self
            .slots
            .front()
            .is_some_and(|(at, _)| age(*at) >= 2 * WINDOW)
        {
            self.slots.pop_front();
        }
        let first_ends = self.first.ends();
        self.present.fill(0);
        self.before.fill(0);
        for (at, counts) in &self.slots {
            let is_before = age(*at) >= WINDOW || first_ends.is_some_and(|ends| *at < ends);
            let window = if is_before {
                &mut self.before
            } else {
                &mut self.present
            };
            add(window, counts);
        }
        for (region, unheard) in self.unheard.iter_mut().enumerate() {
            *unheard = self.tally.estimate_unreported(now, region);
        }
    }

    /// Whether a request may be sent to `region` now.
    pub fn permits(&self, region: &str) -> bool {
        self.is_within(region, self.cap * USED_SHARE)
    }

    /// Whether a request may stay in its own region `region` where others, which should
    /// get it, have no room.
    pub fn permits_own(&self, region: &str) -> bool {
        self.is_within(region, self.cap * OWN_SHARE)
    }

    fn is_within(&self, region: &str, most: f64) -> bool {
        let before: u32 = self.before.iter().sum();
        let Some(index) = self.index(region) else {
            return true;
        };
        if !self.first.is_over || before == 0 {
            return true;
        }
        let mut likely = self.present.clone();
        add(&mut likely, &self.unheard);
        let present: u32 = likely.iter().sum();
        let (before, present) = (f64::from(before), f64::from(present + 1));
        let mut moved = 0.0;
        for (other, (now, then)) in likely.iter().zip(&self.before).enumerate() {
            let now = f64::from(*now) + if other == index { 1.0 } else { 0.0 };
            let kept = f64::from(*then) / before * present;
            moved += (now - kept).abs() / 2.0;
            if other == index && now <= kept {
                // It only makes up for what the region lacks.
                return true;
            }
        }
        moved <= (most * present).max(LEAST_SLACK)
    }

    /// A request was sent to `region`.
    pub fn on_sent(&mut self, now: Instant, region: &str) {
        let Some(index) = self.index(region) else {
            return;
        };
        self.tally.add(now, index);
        let mut counts = vec![0; self.regions.len()];
        counts[index] = 1;
        self.count(now, &counts);
    }

    /// What this entry sent to each region since its start, for the other entries of
    /// its region.
    pub fn sent(&self) -> Vec<u32> {
        let regions = 0..self.regions.len();
        regions.map(|region| self.tally.own_total(region)).collect()
    }

    /// Takes in what the entry `peer` of the own region sent since its start. The first
    /// word of a run only tells where it begins.
    pub fn on_peer_sent(&mut self, now: Instant, peer: u64, sent: &[u32]) {
        if sent.len() != self.regions.len() {
            return;
        }
        let (known, run) = self.heard.entry(peer).or_default();
        if sent
            .iter()
            .zip(known.iter())
            .any(|(sent, known)| sent < known)
        {
            *run += 1;
        }
        known.clear();
        known.extend_from_slice(sent);
        let word = CountReport {
            run: *run,
            // What was sent before this entry heard of it is in no window of its own.
            age: Duration::MAX,
            counts: sent.iter().copied().enumerate().collect(),
        };
        let mut news = vec![0; self.regions.len()];
        for (region, added) in self.tally.on_report(now, peer, &word) {
            news[region] = u32::try_from(added).unwrap_or_default();
        }
        self.count(now, &news);
    }

    /// Forgets entries that aren't in `live`.
    pub fn keep_peers(&mut self, live: &[u64]) {
        self.heard.retain(|peer, _| live.contains(peer));
        self.tally.retain(|peer, _| live.contains(&peer));
    }

    fn count(&mut self, now: Instant, counts: &[u32]) {
        if counts.iter().all(|count| *count == 0) {
            return;
        }
        self.first.on_request(now);
        let newest = self.slots.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| now.saturating_duration_since(at) >= SLOT) {
            self.slots.push_back((now, vec![0; self.regions.len()]));
        }
        if let Some((_, slot)) = self.slots.back_mut() {
            add(slot, counts);
        }
        add(&mut self.present, counts);
    }

    fn index(&self, region: &str) -> Option<usize> {
        self.regions.iter().position(|known| known == region)
    }
}

impl FirstWindow {
    /// Takes in a request. Single ones, as of checks before the traffic, are not its
    /// beginning.
    fn on_request(&mut self, now: Instant) {
        if self.is_over {
            return;
        }
        let met = *self.met.get_or_insert(now);
        let begun = *self.begun.get_or_insert(now);
        let waited = now.saturating_duration_since(met) >= LONGEST_FIRST;
        let paused = self
            .last
            .is_none_or(|at| now.saturating_duration_since(at) > FIRST_PAUSE);
        self.last = Some(now);
        if paused && self.requests < FEW && !waited {
            self.begun = Some(now);
            self.requests = 1;
            return;
        }
        self.requests += 1;
        self.is_over = now.saturating_duration_since(begun) >= FIRST_WINDOW;
    }

    /// When it ends or ended, once it has begun.
    fn ends(&self) -> Option<Instant> {
        self.begun.map(|begun| begun + FIRST_WINDOW)
    }
}

fn add(sum: &mut [u32], counts: &[u32]) {
    for (sum, count) in sum.iter_mut().zip(counts) {
        *sum = sum.saturating_add(*count);
    }
}

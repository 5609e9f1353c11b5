//! Bounds how fast requests move between regions.
//!
//! The shares in which an entry's requests run in each region follow what the
//! placing wants, but stay within a part of the platform's cap of what they were
//! a window ago. Each entry holds the bound for itself at every moment, so that
//! it holds for all together, in windows that begin anywhere.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the platform's cap that is used: the rest covers what single entries
/// deviate by.
const USED_SHARE: f64 = 0.7;
/// The window that the cap is meant for.
const WINDOW: Duration = Duration::from_secs(2);
/// The first window of traffic at an entry. It is shorter than the platform's, which
/// begins with the traffic of all, and ends before that does at entries whose first
/// requests come later: with 2 s a calm day of 83 entries moved 0.24 of a region's
/// requests from its first window to its second, against a cap of 0.15.
const FIRST_WINDOW: Duration = Duration::from_millis(1500);
/// Time between two notes of the shares.
const NOTE_EVERY: Duration = Duration::from_millis(50);
/// Part of a window's requests by which a share may deviate for a moment, so
/// that those move that need to.
const SLACK_SHARE: f64 = 0.025;
/// Least deviation, in requests.
const LEAST_SLACK: f64 = 1.0;
/// How far the own region may be beyond its share where others have no room, as a
/// multiple of the usual deviation.
const OWN_SLACK: f64 = 1.5;
/// A pause after which the next request may be the first of the traffic.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Requests after which a pause doesn't begin the first window again.
const FEW: f64 = 8.0;
/// After this time the first window is not begun again.
const LONGEST_FIRST: Duration = Duration::from_secs(30);
/// Weight of the newest request in what is wanted.
const WISH_WEIGHT: f64 = 0.03;
/// Time after which what was wanted counts 37 %, where requests are rare.
const WISH_SPAN: Duration = Duration::from_millis(1500);
/// Weight of the newest pause in the rate of requests.
const RATE_WEIGHT: f64 = 0.05;
/// Longest pause between requests that counts as one.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A share for each region; they add up to 1.
type Shares = Vec<f64>;

/// Follows what is wanted within bounds.
#[derive(Debug)]
pub struct ShiftLimiter {
    regions: Vec<String>,
    /// Largest part of the requests that may change their region in a window.
    most: f64,
    /// The shares that are kept now.
    level: Shares,
    /// The shares that would be, without a bound.
    wish: Shares,
    /// Requests that are owed to each region; negative where it is ahead.
    owed: Vec<f64>,
    /// Requests sent to each region in the first window, which is free: there is
    /// nothing before it that they could have moved from.
    first: Vec<f64>,
    begun: Option<Instant>,
    first_at: Option<Instant>,
    met: Option<Instant>,
    /// Mean pause between requests, in seconds.
    pause: f64,
    asked_at: Option<Instant>,
    /// The shares over the last window, newest last.
    notes: VecDeque<(Instant, Shares)>,
}

impl ShiftLimiter {
    /// Bounds the part of the requests that change their region from one window
    /// to the next to `cap`; `own` is the region in which they run by default.
    pub fn new(cap: f64, own: &str, regions: &[String]) -> Self {
        let mut all = vec![own.to_owned()];
        for region in regions {
            if !all.contains(region) {
                all.push(region.clone());
            }
        }
        let mut shares = vec![0.0; all.len()];
        shares[0] = 1.0;
        Self {
            most: cap * USED_SHARE,
            level: shares.clone(),
            wish: shares,
            owed: vec![0.0; all.len()],
            first: vec![0.0; all.len()],
            begun: None,
            first_at: None,
            met: None,
            pause: 0.1,
            asked_at: None,
            notes: VecDeque::new(),
            regions: all,
        }
    }

    /// Takes in that a request would run in `region`. Call it once a request.
    pub fn on_wish(&mut self, now: Instant, region: &str) {
        let Some(wanted) = self.index(region) else {
            return;
        };
        let asked_at = self.asked_at.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(asked_at).min(LONGEST_PAUSE);
        let seconds = pause.as_secs_f64();
        self.pause += RATE_WEIGHT * (seconds - self.pause);
        let aged = 1.0 - (-seconds / WISH_SPAN.as_secs_f64()).exp();
        let weight = WISH_WEIGHT.max(aged);
        for (index, wish) in self.wish.iter_mut().enumerate() {
            let sample = if index == wanted { 1.0 } else { 0.0 };
            *wish += weight * (sample - *wish);
        }
        self.follow(now);
    }

    /// Whether a request may run in `region` now.
    pub fn permits(&self, region: &str) -> bool {
        let Some(index) = self.index(region) else {
            return true;
        };
        self.is_free() || self.owed[index] + self.level[index] - 1.0 >= -self.slack()
    }

    /// Whether a request may run in its own region though others should get it,
    /// since they have no room.
    pub fn permits_own(&self) -> bool {
        self.is_free() || self.owed[0] + self.level[0] - 1.0 >= -OWN_SLACK * self.slack()
    }

    /// A request was sent to `region`.
    pub fn on_sent(&mut self, region: &str) {
        let Some(sent) = self.index(region) else {
            return;
        };
        if self.is_free() {
            self.first[sent] += 1.0;
            return;
        }
        let most = OWN_SLACK * self.slack() + 1.0;
        for (index, owed) in self.owed.iter_mut().enumerate() {
            let taken = if index == sent { 1.0 } else { 0.0 };
            *owed = (*owed + self.level[index] - taken).clamp(-most, most);
        }
    }

    fn index(&self, region: &str) -> Option<usize> {
        self.regions.iter().position(|known| known == region)
    }

    fn is_free(&self) -> bool {
        self.notes.is_empty()
    }

    fn slack(&self) -> f64 {
        let expected = WINDOW.as_secs_f64() / self.pause.max(0.0001);
        (SLACK_SHARE * expected).max(LEAST_SLACK)
    }

    fn follow(&mut self, now: Instant) {
        if self.notes.is_empty() && !self.is_first_over(now) {
            return;
        }
        if self.notes.is_empty() {
            self.end_first_window(now);
        }
        let before = self.shares_before(now);
        let moved: f64 = before
            .iter()
            .zip(&self.wish)
            .map(|(before, wish)| (wish - before).abs() / 2.0)
            .sum();
        let part = if moved > self.most {
            self.most / moved
        } else {
            1.0
        };
        for (index, level) in self.level.iter_mut().enumerate() {
            *level = before[index] + part * (self.wish[index] - before[index]);
        }
        self.note(now);
    }

    /// Whether the first window of traffic is over. Single requests, as of checks
    /// before the traffic, are not its beginning.
    fn is_first_over(&mut self, now: Instant) -> bool {
        let met = *self.met.get_or_insert(now);
        let begun = *self.begun.get_or_insert(now);
        let sent: f64 = self.first.iter().sum();
        let waited = now.saturating_duration_since(met) >= LONGEST_FIRST;
        let paused = self.first_at.is_none_or(|at| now - at > FIRST_PAUSE);
        self.first_at = Some(now);
        if paused && sent < FEW && !waited {
            self.begun = Some(now);
            self.first.fill(0.0);
            return false;
        }
        now.saturating_duration_since(begun) >= FIRST_WINDOW
    }

    /// From now on the shares are bounded by those of the first window.
    fn end_first_window(&mut self, now: Instant) {
        let sent: f64 = self.first.iter().sum();
        if sent > 0.0 {
            self.level = self.first.iter().map(|count| count / sent).collect();
        }
        self.notes.push_back((now, self.level.clone()));
    }

    /// The shares a window ago.
    fn shares_before(&mut self, now: Instant) -> Shares {
        let old = |at: Instant| now.saturating_duration_since(at) >= WINDOW;
        while self.notes.len() > 1 && old(self.notes[1].0) {
            self.notes.pop_front();
        }
        let before = self.notes.front();
        before.map_or_else(|| self.level.clone(), |(_, shares)| shares.clone())
    }

    fn note(&mut self, now: Instant) {
        let newest = self.notes.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| now.saturating_duration_since(at) >= NOTE_EVERY) {
            self.notes.push_back((now, self.level.clone()));
        }
    }
}

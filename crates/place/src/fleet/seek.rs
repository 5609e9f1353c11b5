//! How an entry that hears no lead of its region finds one, and when it leads itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::{LEADS, LeadCandidate};

/// Time between beats of an entry that looks for its leads, for the first seconds.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// After this time it asks as often as others send beats.
const ASK_FAST_FOR: Duration = Duration::from_secs(2);
/// An address that was hinted is asked for this long.
const HINT_LIFE: Duration = Duration::from_secs(10);
/// Addresses asked at once.
const ASKED_MOST: usize = 16;
/// Time after its start in which an entry lets others be found: all of a fleet start
/// within a few tenths of a second.
const START_WAIT: Duration = Duration::from_millis(250);
/// Longer wait for each doubling of capacity that it lacks of an able entry's, so that
/// able ones lead.
const CLASS_WAIT: Duration = Duration::from_millis(250);
/// Capacity of an able entry, in doublings: 512 requests a second.
const ABLE_CLASS: u32 = 9;
/// Longest wait for lack of capacity.
const CLASS_WAIT_MOST: Duration = Duration::from_millis(1500);
/// Entries of the same capacity spread over this time, by hash.
const SPREAD: Duration = Duration::from_millis(150);
/// Wait of a substitute behind the one before it.
const SUBSTITUTE_WAIT: Duration = Duration::from_millis(200);
/// Wait of entries that aren't substitutes, besides what they lack in capacity.
const OTHERS_WAIT: Duration = Duration::from_millis(1200);
/// Longer wait where an abler entry was hinted, so that it comes first.
const BETTER_WAIT: Duration = Duration::from_millis(1000);
/// Time without an answer after which the store's rows are looked at for leads.
const ROWS_AFTER: Duration = Duration::from_millis(1000);
/// Time between two looks, doubled each time.
const ROWS_EVERY: Duration = Duration::from_secs(3);
/// Longest time between two looks.
const ROWS_SELDOM: Duration = Duration::from_secs(15);

/// The search of one entry.
#[derive(Debug)]
pub struct LeadSearch {
    seeds: Vec<SocketAddr>,
    hinted: BTreeMap<SocketAddr, Instant>,
    since: Option<Instant>,
    /// Whether leads were known before.
    has_lost: bool,
    is_better_known: bool,
    rows_due: Option<Instant>,
    rows_pause: Duration,
    /// 0 to 1, by the hash of the entry's name.
    spread: f64,
}

impl LeadSearch {
    /// The search of an entry with the hash `hash` that begins at `seeds`.
    pub fn new(seeds: &[SocketAddr], hash: u64) -> Self {
        Self {
            seeds: seeds.to_vec(),
            hinted: BTreeMap::new(),
            since: None,
            has_lost: false,
            is_better_known: false,
            rows_due: None,
            rows_pause: ROWS_EVERY,
            spread: (hash % 1024) as f64 / 1024.0,
        }
    }

    /// Part of `span`, the same each time, so that entries spread over it.
    pub fn spread_over(&self, span: Duration) -> Duration {
        span.mul_f64(self.spread)
    }

    /// No lead is heard at `now`; since when.
    pub fn begin(&mut self, now: Instant) -> Instant {
        if self.rows_due.is_none() {
            self.rows_due = Some(now + ROWS_AFTER + self.spread_over(ROWS_AFTER));
            self.rows_pause = ROWS_EVERY;
        }
        *self.since.get_or_insert(now)
    }

    /// Since when no lead is heard.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    /// A lead is heard.
    pub fn end(&mut self) {
        self.since = None;
        self.rows_due = None;
        self.has_lost = true;
        self.is_better_known = false;
    }

    /// An entry may lead at `address`; whether that wasn't known.
    pub fn on_address(&mut self, now: Instant, address: SocketAddr) -> bool {
        let is_known = self.hinted.contains_key(&address);
        if !is_known && self.hinted.len() >= ASKED_MOST {
            return false;
        }
        self.hinted.insert(address, now);
        !is_known
    }

    /// Others were hinted; the search of the entry with the seat `own` waits for abler
    /// ones. Whether one of them leads and wasn't known.
    pub fn on_hint(
        &mut self,
        now: Instant,
        candidates: &[LeadCandidate],
        own: &LeadCandidate,
    ) -> bool {
        let mut is_new = false;
        for candidate in candidates
            .iter()
            .filter(|candidate| candidate.node != own.node)
        {
            is_new |= self.on_address(now, candidate.peer_address) && candidate.leads;
            self.is_better_known |= candidate.rank() > own.rank();
        }
        is_new
    }

    /// Whether any address was hinted lately.
    pub fn has_hints(&self) -> bool {
        !self.hinted.is_empty()
    }

    /// The addresses that were hinted lately.
    pub fn hinted(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.hinted
            .retain(|_, at| now.saturating_duration_since(*at) < HINT_LIFE);
        self.hinted.keys().copied().collect()
    }

    /// The addresses known from the settings.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Time until the next beat where beats are usually sent each `usual`.
    pub fn pause(&self, now: Instant, usual: Duration) -> Duration {
        let fast = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) < ASK_FAST_FOR);
        if fast { ASK_EVERY } else { usual }
    }

    /// Whether the entry with the seat `own` is to lead now; `candidates` are the leads and
    /// substitutes that it knew last.
    pub fn may_lead(
        &self,
        now: Instant,
        own: &LeadCandidate,
        candidates: &[LeadCandidate],
    ) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        now.saturating_duration_since(since) >= self.wait(own, candidates)
    }

    fn wait(&self, own: &LeadCandidate, candidates: &[LeadCandidate]) -> Duration {
        let place = candidates
            .iter()
            .position(|candidate| candidate.node == own.node);
        if let (true, Some(place)) = (self.has_lost, place) {
            return SUBSTITUTE_WAIT * place.saturating_sub(LEADS) as u32;
        }
        let first = if self.has_lost {
            OTHERS_WAIT
        } else {
            START_WAIT
        };
        let better = if self.is_better_known {
            BETTER_WAIT
        } else {
            Duration::ZERO
        };
        first + class_wait(own) + self.spread_over(SPREAD) + better
    }

    /// Time after its start at which the entry with the seat `own` reads the store if
    /// nobody has told it anything: able ones at once, since callers are sent there.
    pub fn first_reading(&self, own: &LeadCandidate) -> Duration {
        let wait = class_wait(own);
        if wait.is_zero() {
            return Duration::ZERO;
        }
        START_WAIT + wait + self.spread_over(SPREAD)
    }

    /// Whether to look at the store's rows for leads now; the next look is later.
    pub fn take_rows(&mut self, now: Instant) -> bool {
        if self.rows_due.is_none_or(|due| now < due) {
            return false;
        }
        self.rows_due = Some(now + self.rows_pause + self.spread_over(ROWS_EVERY));
        self.rows_pause = (self.rows_pause * 2).min(ROWS_SELDOM);
        true
    }
}

fn class_wait(own: &LeadCandidate) -> Duration {
    let lacking = ABLE_CLASS.saturating_sub(own.capacity_class());
    (CLASS_WAIT * lacking).min(CLASS_WAIT_MOST)
}

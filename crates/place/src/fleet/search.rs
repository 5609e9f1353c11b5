//! How an entry that hears no lead of its region finds one, and when it leads itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::{LEADS, LeadCandidate};

/// Time between beats of an entry that looks for its leads, for the first seconds.
const FAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// After this time it asks as often as others send beats.
const FAST_HEARTBEAT_PERIOD: Duration = Duration::from_secs(2);
/// An address that was hinted is asked for this long.
const HINT_TTL: Duration = Duration::from_secs(10);
/// Addresses asked at once.
const MAX_HINTED_ADDRESSES: usize = 16;
/// Time after its start in which an entry lets others be found: all of a fleet start
/// within a few tenths of a second.
const STARTUP_DELAY: Duration = Duration::from_millis(250);
/// Longer wait for each doubling of capacity that it lacks of an able entry's, so that
/// able ones lead.
const DELAY_PER_MISSING_CLASS: Duration = Duration::from_millis(250);
/// Capacity of an able entry, in doublings: 512 requests a second.
const FULL_CAPACITY_CLASS: u32 = 9;
/// Longest wait for lack of capacity.
const MAX_CAPACITY_DELAY: Duration = Duration::from_millis(1500);
/// Entries of the same capacity spread over this time, by hash.
const JITTER: Duration = Duration::from_millis(150);
/// Wait of a substitute behind the one before it.
const SUBSTITUTE_DELAY: Duration = Duration::from_millis(200);
/// Wait of entries that aren't substitutes, besides what they lack in capacity.
const NON_SUBSTITUTE_DELAY: Duration = Duration::from_millis(1200);
/// Longer wait where an abler entry was hinted, so that it comes first.
const BETTER_CANDIDATE_DELAY: Duration = Duration::from_millis(1000);
/// Time without an answer after which the store's rows are looked at for leads.
const ROW_LOOKUP_DELAY: Duration = Duration::from_millis(1000);
/// Time between two looks, doubled each time.
const ROW_LOOKUP_INTERVAL: Duration = Duration::from_secs(3);
/// Longest time between two looks.
const MAX_ROW_LOOKUP_INTERVAL: Duration = Duration::from_secs(15);

/// The search of one entry.
#[derive(Debug)]
pub struct LeadSearch {
    seeds: Vec<SocketAddr>,
    hinted: BTreeMap<SocketAddr, Instant>,
    since: Option<Instant>,
    /// Whether leads were known before.
    has_had_lead: bool,
    knows_better_candidate: bool,
    row_lookup_due: Option<Instant>,
    row_lookup_interval: Duration,
    /// 0 to 1, by the hash of the entry's name.
    jitter_fraction: f64,
}

impl LeadSearch {
    /// The search of an entry with the hash `hash` that begins at `seeds`.
    pub fn new(seeds: &[SocketAddr], hash: u64) -> Self {
        Self {
            seeds: seeds.to_vec(),
            hinted: BTreeMap::new(),
            since: None,
            has_had_lead: false,
            knows_better_candidate: false,
            row_lookup_due: None,
            row_lookup_interval: ROW_LOOKUP_INTERVAL,
            jitter_fraction: (hash % 1024) as f64 / 1024.0,
        }
    }

    /// Part of `span`, the same each time, so that entries spread over it.
    pub fn jitter(&self, span: Duration) -> Duration {
        span.mul_f64(self.jitter_fraction)
    }

    /// No lead is heard at `now`; since when.
    pub fn begin(&mut self, now: Instant) -> Instant {
        if self.row_lookup_due.is_none() {
            self.row_lookup_due = Some(now + ROW_LOOKUP_DELAY + self.jitter(ROW_LOOKUP_DELAY));
            self.row_lookup_interval = ROW_LOOKUP_INTERVAL;
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
        self.row_lookup_due = None;
        self.has_had_lead = true;
        self.knows_better_candidate = false;
    }

    /// An entry may lead at `address`; whether that wasn't known.
    pub fn on_address(&mut self, now: Instant, address: SocketAddr) -> bool {
        let is_known = self.hinted.contains_key(&address);
        if !is_known && self.hinted.len() >= MAX_HINTED_ADDRESSES {
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
            self.knows_better_candidate |= candidate.rank() > own.rank();
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
            .retain(|_, at| now.saturating_duration_since(*at) < HINT_TTL);
        self.hinted.keys().copied().collect()
    }

    /// The addresses known from the settings.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Time until the next beat where beats are usually sent each `regular`.
    pub fn heartbeat_interval(&self, now: Instant, regular: Duration) -> Duration {
        let fast = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) < FAST_HEARTBEAT_PERIOD);
        if fast {
            FAST_HEARTBEAT_INTERVAL
        } else {
            regular
        }
    }

    /// Whether the entry with the seat `own` is to lead now; `candidates` are the leads and
    /// substitutes that it knew last.
    pub fn should_lead(
        &self,
        now: Instant,
        own: &LeadCandidate,
        candidates: &[LeadCandidate],
    ) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        now.saturating_duration_since(since) >= self.election_delay(own, candidates)
    }

    fn election_delay(&self, own: &LeadCandidate, candidates: &[LeadCandidate]) -> Duration {
        let place = candidates
            .iter()
            .position(|candidate| candidate.node == own.node);
        if let (true, Some(place)) = (self.has_had_lead, place) {
            return SUBSTITUTE_DELAY * place.saturating_sub(LEADS) as u32;
        }
        let first = if self.has_had_lead {
            NON_SUBSTITUTE_DELAY
        } else {
            STARTUP_DELAY
        };
        let better = if self.knows_better_candidate {
            BETTER_CANDIDATE_DELAY
        } else {
            Duration::ZERO
        };
        first + capacity_delay(own) + self.jitter(JITTER) + better
    }

    /// Time after its start at which the entry with the seat `own` reads the store if
    /// nobody has told it anything: able ones at once, since callers are sent there.
    pub fn first_read_delay(&self, own: &LeadCandidate) -> Duration {
        let election_delay = capacity_delay(own);
        if election_delay.is_zero() {
            return Duration::ZERO;
        }
        STARTUP_DELAY + election_delay + self.jitter(JITTER)
    }

    /// Whether to look at the store's rows for leads now; the next look is later.
    pub fn take_row_lookup(&mut self, now: Instant) -> bool {
        if self.row_lookup_due.is_none_or(|due| now < due) {
            return false;
        }
        self.row_lookup_due =
            Some(now + self.row_lookup_interval + self.jitter(ROW_LOOKUP_INTERVAL));
        self.row_lookup_interval = (self.row_lookup_interval * 2).min(MAX_ROW_LOOKUP_INTERVAL);
        true
    }
}

fn capacity_delay(own: &LeadCandidate) -> Duration {
    let lacking = FULL_CAPACITY_CLASS.saturating_sub(own.capacity_class());
    (DELAY_PER_MISSING_CLASS * lacking).min(MAX_CAPACITY_DELAY)
}

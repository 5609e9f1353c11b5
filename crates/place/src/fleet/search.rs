//! Search for the leads of the region, and the decision to become a lead when none is
//! found.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::{LEADS_PER_REGION, LeadCandidate};

/// Heartbeat interval at the start of a search.
const FAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a searching entry falls back to the regular heartbeat interval.
const FAST_HEARTBEAT_PERIOD: Duration = Duration::from_secs(2);
/// Time for which heartbeats are sent to a hinted address.
const HINT_TTL: Duration = Duration::from_secs(10);
/// Maximum number of hinted addresses.
const MAX_HINTED_ADDRESSES: usize = 16;
/// Time after startup during which an entry waits to discover others, because all entries
/// of a fleet start within a few tenths of a second.
const STARTUP_DELAY: Duration = Duration::from_millis(250);
/// Additional delay for each capacity class below [`FULL_CAPACITY_CLASS`], so that
/// entries with a high capacity become leads.
const DELAY_PER_MISSING_CLASS: Duration = Duration::from_millis(250);
/// Capacity class without an additional delay: 512 requests per second.
const FULL_CAPACITY_CLASS: u32 = 9;
/// Upper limit of the delay for low capacity.
const MAX_CAPACITY_DELAY: Duration = Duration::from_millis(1500);
/// Entries of equal capacity are spread over this time by their hash.
const JITTER: Duration = Duration::from_millis(150);
/// Delay of each substitute after the previous one.
const SUBSTITUTE_DELAY: Duration = Duration::from_millis(200);
/// Delay of entries that are not substitutes, in addition to the delay for low capacity.
const NON_SUBSTITUTE_DELAY: Duration = Duration::from_millis(1200);
/// Additional delay if a better candidate was hinted, to let that one go first.
const BETTER_CANDIDATE_DELAY: Duration = Duration::from_millis(1000);
/// Time without a lead before the leads are looked up in the store.
const ROW_LOOKUP_DELAY: Duration = Duration::from_millis(1000);
/// Initial interval between lookups in the store; doubled after each one.
const ROW_LOOKUP_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum interval between lookups in the store.
const MAX_ROW_LOOKUP_INTERVAL: Duration = Duration::from_secs(15);

/// Search state of an entry.
#[derive(Debug)]
pub struct LeadSearch {
    seeds: Vec<SocketAddr>,
    hinted: BTreeMap<SocketAddr, Instant>,
    since: Option<Instant>,
    /// Whether a lead was reachable before.
    has_had_lead: bool,
    knows_better_candidate: bool,
    row_lookup_due: Option<Instant>,
    row_lookup_interval: Duration,
    /// Between 0 and 1, derived from the hash of the entry's name.
    jitter_fraction: f64,
}

impl LeadSearch {
    /// Creates the search of the entry with the hash `hash`, starting with the addresses
    /// `seeds`.
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

    /// Returns a fraction of `span` that is fixed per entry, to spread entries over that
    /// time.
    pub fn jitter(&self, span: Duration) -> Duration {
        span.mul_f64(self.jitter_fraction)
    }

    /// Notes at `now` that no lead is reachable, and returns since when.
    pub fn begin(&mut self, now: Instant) -> Instant {
        if self.row_lookup_due.is_none() {
            self.row_lookup_due = Some(now + ROW_LOOKUP_DELAY + self.jitter(ROW_LOOKUP_DELAY));
            self.row_lookup_interval = ROW_LOOKUP_INTERVAL;
        }
        *self.since.get_or_insert(now)
    }

    /// Returns since when no lead has been reachable.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Ends the search because a lead is reachable.
    pub fn end(&mut self) {
        self.since = None;
        self.row_lookup_due = None;
        self.has_had_lead = true;
        self.knows_better_candidate = false;
    }

    /// Adds the address of a possible lead; returns whether it is new.
    pub fn on_address(&mut self, now: Instant, address: SocketAddr) -> bool {
        let is_known = self.hinted.contains_key(&address);
        if !is_known && self.hinted.len() >= MAX_HINTED_ADDRESSES {
            return false;
        }
        self.hinted.insert(address, now);
        !is_known
    }

    /// Adds hinted candidates. If one ranks above `own`, the local candidate, becoming a
    /// lead is delayed. Returns whether a current lead was added at a new address.
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

    /// Returns whether there are hinted addresses.
    pub fn has_hints(&self) -> bool {
        !self.hinted.is_empty()
    }

    /// Returns the hinted addresses that have not expired.
    pub fn hinted(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.hinted
            .retain(|_, at| now.saturating_duration_since(*at) < HINT_TTL);
        self.hinted.keys().copied().collect()
    }

    /// Returns the configured addresses.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Returns the time until the next heartbeat; `regular` is the interval outside a
    /// search.
    pub fn heartbeat_interval(&self, now: Instant, regular: Duration) -> Duration {
        let is_fast = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) < FAST_HEARTBEAT_PERIOD);
        if is_fast {
            FAST_HEARTBEAT_INTERVAL
        } else {
            regular
        }
    }

    /// Whether this entry, with the candidate `own`, should become a lead now.
    /// `candidates` are the last known leads and substitutes.
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
        let position = candidates
            .iter()
            .position(|candidate| candidate.node == own.node);
        if let (true, Some(position)) = (self.has_had_lead, position) {
            return SUBSTITUTE_DELAY * position.saturating_sub(LEADS_PER_REGION) as u32;
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

    /// Time after startup at which the entry with the candidate `own` reads the store if
    /// it has received nothing from others. Entries with a high capacity read at once,
    /// because callers are directed to them.
    pub fn first_read_delay(&self, own: &LeadCandidate) -> Duration {
        let delay = capacity_delay(own);
        if delay.is_zero() {
            return Duration::ZERO;
        }
        STARTUP_DELAY + delay + self.jitter(JITTER)
    }

    /// Returns whether to look up leads in the store now, and if so schedules the next
    /// lookup.
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

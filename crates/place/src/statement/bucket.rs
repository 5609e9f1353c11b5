//! Keeps all entries together within the rate limit of a server, without a coordinator.
//!
//! Each entry maintains one token bucket for the whole fleet: it fills at the server's limit, and
//! each request that any entry sends removes a token. Entries report these requests to each other
//! at once. There are only as many as the limit allows, so the number of messages per entry does
//! not depend on the size of the fleet.
//!
//! Several entries may remove the same token before their reports arrive. The bucket then becomes
//! negative, so the rate holds on average. To keep such bursts small, time is divided into slots
//! of one message delay, and a pseudorandom draw decides which entries may remove a token in a
//! slot: half an entry on average.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::placing::timing::MovingAverage;
use crate::rank::pair_weight;

/// Time within which the others hear of a request.
const MESSAGE_TIME: Duration = Duration::from_millis(80);
/// Number of entries with a request that may send it in the same slot, on average.
const SENDERS_PER_SLOT: f64 = 0.5;
/// Tokens that the bucket holds: this many, and those of this many seconds. What isn't used when
/// it is full is lost.
const MIN_BURST: f64 = 1.0;
const BURST_SECS: f64 = 0.5;
/// Most tokens that the bucket can lack, in seconds of the limit: requests that were sent before
/// entries knew of the limit, or a corrupted report, must not close the server for long.
const MAX_DEBT_SECS: f64 = 10.0;
/// Longest interval between two requests. Only requests show that a limit has ended.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Time constant of the moving average of an entry's demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a demand is reported after the last request for the server, at least.
const MIN_WANT_TIME: Duration = Duration::from_secs(2);
/// Time for which the demand of another entry counts after its last report, at least.
const MIN_DEMAND_TTL: Duration = Duration::from_millis(1500);
/// The same in report intervals, so that two reports may be lost.
const DEMAND_TTL_INTERVALS: f64 = 3.2;
/// How long the requests of an entry are remembered, so that repeated reports aren't counted
/// twice.
const PEER_RETENTION: Duration = Duration::from_secs(60);

/// Intervals of the protocol.
#[derive(Debug, Clone, Copy)]
pub struct BucketTiming {
    /// Time for which a demand is reported after the last request for the server.
    pub(crate) want_time: Duration,
    /// Time for which the demand of another entry counts.
    demand_ttl: Duration,
    /// Number of other entries.
    others: usize,
}

impl BucketTiming {
    /// Creates the timing of an entry that reports to `others` entries at `report_interval`.
    pub fn new(others: usize, report_interval: Duration) -> Self {
        let demand_ttl = MIN_DEMAND_TTL.max(report_interval.mul_f64(DEMAND_TTL_INTERVALS));
        Self {
            want_time: MIN_WANT_TIME.max(demand_ttl),
            demand_ttl,
            others,
        }
    }
}

/// What an entry reports of its requests for a limited server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BucketUse {
    /// Number of requests that it has sent since it knows of the limit.
    pub sent: u32,
    /// Probability that it has a request for the server in a slot.
    pub demand: f64,
}

#[derive(Debug, Clone, Copy)]
struct PeerUse {
    last: BucketUse,
    reported_at: Instant,
}

/// A server's rate limit, and what of it is used.
#[derive(Debug, Clone)]
pub struct LimitBucket {
    /// Seed of the draws: hash of the run and of this entry.
    draw_seed: u64,
    /// Requests per second of all entries together.
    rate: f64,
    began_at: Instant,
    tokens: f64,
    tokens_at: Instant,
    sent: u32,
    /// Requests per second that this entry has for the server, as a moving average.
    demand: f64,
    demand_at: Instant,
    wanted_at: Option<Instant>,
    peers: HashMap<u64, PeerUse>,
    /// Sum of the demands of the others.
    peer_demand: f64,
}

impl LimitBucket {
    /// Creates the bucket of the entry `own` for a limit of `rate` requests per second that the
    /// run `run` named. It is empty, since others may have used the server.
    pub fn new(now: Instant, run: u64, own: u64, rate: f64) -> Self {
        Self {
            draw_seed: pair_weight(run, own),
            rate,
            began_at: now,
            tokens: 0.0,
            tokens_at: now,
            sent: 0,
            demand: 0.0,
            demand_at: now,
            wanted_at: None,
            peers: HashMap::new(),
            peer_demand: 0.0,
        }
    }

    /// The limit in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the limit.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        if rate != self.rate {
            self.fill(now);
            self.rate = rate;
            self.tokens = self.tokens.min(self.burst());
        }
    }

    /// Records that this entry has a request for the server.
    pub fn on_wanted(&mut self, now: Instant) {
        self.demand = self.demand(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
        self.wanted_at = Some(now);
    }

    /// Whether this entry had requests for the server recently.
    pub fn is_wanted(&self, now: Instant, timing: &BucketTiming) -> bool {
        self.wanted_at
            .is_some_and(|at| now.saturating_duration_since(at) < timing.want_time)
    }

    /// Time until this entry may send the server a request; `None` if it may now.
    pub fn wait(&self, now: Instant, timing: &BucketTiming) -> Option<Duration> {
        let tokens = self.tokens(now);
        if tokens < 1.0 {
            return Some(self.interval().mul_f64(1.0 - tokens));
        }
        let senders = self.other_senders(now, timing);
        if senders <= SENDERS_PER_SLOT * tokens {
            return None;
        }
        let probability = SENDERS_PER_SLOT * tokens / senders;
        let drawn = self.draw_of_slot(now);
        (drawn >= probability).then(|| MESSAGE_TIME.div_f64(probability))
    }

    /// Counts a request that this entry sends to the server.
    pub fn on_sent(&mut self, now: Instant) {
        self.on_wanted(now);
        self.fill(now);
        self.tokens -= 1.0;
        self.sent = self.sent.wrapping_add(1);
    }

    /// What this entry reports to the others.
    pub fn own_use(&self, now: Instant) -> BucketUse {
        BucketUse {
            sent: self.sent,
            demand: self.slot_demand(now),
        }
    }

    /// Records the report of the entry `peer`.
    pub fn on_peer_use(&mut self, now: Instant, peer: u64, last: BucketUse) {
        let reported = PeerUse {
            last,
            reported_at: now,
        };
        let known = self.peers.insert(peer, reported).map(|known| known.last);
        let sent = match known {
            Some(known) if known.sent <= last.sent => last.sent - known.sent,
            // Its earlier requests may be older than this bucket.
            _ => last.sent.min(1),
        };
        self.fill(now);
        self.tokens = (self.tokens - f64::from(sent)).max(-MAX_DEBT_SECS * self.rate);
        self.peer_demand += last.demand - known.map_or(0.0, |known| known.demand);
    }

    /// Removes what other entries reported too long ago.
    pub fn expire(&mut self, now: Instant, timing: &BucketTiming) {
        let mut peer_demand = 0.0;
        self.peers.retain(|_, known| {
            let age = now.saturating_duration_since(known.reported_at);
            if age >= timing.demand_ttl {
                known.last.demand = 0.0;
            }
            peer_demand += known.last.demand;
            age < PEER_RETENTION
        });
        self.peer_demand = peer_demand;
    }

    /// Number of other entries that have a request in a slot, on average. Until their reports
    /// have arrived, they are assumed to have as many as this one.
    fn other_senders(&self, now: Instant, timing: &BucketTiming) -> f64 {
        if now.saturating_duration_since(self.began_at) >= timing.demand_ttl {
            return self.peer_demand;
        }
        let assumed = self.slot_demand(now) * timing.others as f64;
        self.peer_demand.max(assumed)
    }

    /// Probability that this entry has a request for the server in a slot.
    fn slot_demand(&self, now: Instant) -> f64 {
        (self.demand(now) * MESSAGE_TIME.as_secs_f64()).min(1.0)
    }

    fn demand(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand * MovingAverage::decay(age, DEMAND_WINDOW)
    }

    /// Number from 0 to 1 that is drawn anew in each slot.
    fn draw_of_slot(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.began_at);
        let slot = age.as_nanos() / MESSAGE_TIME.as_nanos();
        let drawn = pair_weight(self.draw_seed, u64::try_from(slot).unwrap_or(u64::MAX));
        (drawn >> 11) as f64 / (1u64 << 53) as f64
    }

    fn fill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.tokens_at = self.tokens_at.max(now);
    }

    fn tokens(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.tokens_at);
        let gained = elapsed.as_secs_f64() / self.interval().as_secs_f64();
        (self.tokens + gained).min(self.burst())
    }

    fn burst(&self) -> f64 {
        MIN_BURST + BURST_SECS * self.rate
    }

    /// Interval at which the bucket gets a token.
    fn interval(&self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.rate);
        interval.map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
    }
}

//! Quota strategies: counts that all entries share, equal shares of the quota, and shares that a
//! lead leases by demand.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use place::placing::load::load_interval;
use team::quota::{QuotaLimiter, QuotaReport};
use team::spec::{TeamQuota, TeamSpec};

/// Number of regions of the fleet.
pub(crate) const REGIONS: usize = 3;

/// How one entry enforces quotas.
pub trait QuotaStrategy {
    /// The message to other entries.
    type Message: Clone;

    /// Sets the teams and their quotas.
    fn set_teams(&mut self, now: Instant, teams: &[TeamSpec]);

    /// Sets the IDs of the other entries.
    fn set_entries(&mut self, now: Instant, entries: &[u64]);

    /// Admits a request of a team.
    ///
    /// # Errors
    /// Returns the time after which the caller may retry if the quota is used up.
    fn admit(&mut self, now: Instant, team: &str) -> Result<(), Duration>;

    /// Creates the next message and estimates its size in bytes.
    fn next_message(&mut self, now: Instant) -> (Self::Message, usize);

    /// Whether `message` is sent to the entry `to`.
    fn is_recipient(&self, to: u64, message: &Self::Message) -> bool;

    /// Handles a message of the entry `peer`.
    fn on_message(&mut self, now: Instant, peer: u64, message: &Self::Message);
}

/// The daemon's strategy: all entries tell each other how many requests they admitted.
#[derive(Debug)]
pub struct SharedCounts(pub QuotaLimiter);

impl QuotaStrategy for SharedCounts {
    type Message = QuotaReport;

    fn set_teams(&mut self, now: Instant, teams: &[TeamSpec]) {
        self.0.set_teams(now, teams);
    }

    fn set_entries(&mut self, now: Instant, entries: &[u64]) {
        let near = entries.len().div_ceil(REGIONS) as u32;
        self.0.set_entries(now, entries, load_interval(near));
    }

    fn admit(&mut self, now: Instant, team: &str) -> Result<(), Duration> {
        self.0.admit(now, team)
    }

    fn next_message(&mut self, now: Instant) -> (QuotaReport, usize) {
        let message = self.0.report(now);
        // Run, age and the set of teams take about 16 bytes, and each count 4.
        let bytes = 16 + 4 * message.counts.len();
        (message, bytes)
    }

    fn is_recipient(&self, _: u64, _: &QuotaReport) -> bool {
        true
    }

    fn on_message(&mut self, now: Instant, peer: u64, message: &QuotaReport) {
        self.0.on_report(now, peer, message);
    }
}

/// A token bucket of one entry.
#[derive(Debug, Clone, Copy)]
struct LocalBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl LocalBucket {
    fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst: burst.max(1.0),
            level: burst.max(1.0),
            at: now,
        }
    }

    fn set_limits(&mut self, now: Instant, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + self.rate * elapsed).min(self.burst);
        self.at = now;
    }

    fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.rate.max(0.01);
        Err(Duration::from_secs_f64(wait.min(3.0)))
    }
}

/// Each entry has the same share of each quota, however the requests are distributed.
#[derive(Debug, Default)]
pub struct EqualShares {
    entries: usize,
    quotas: HashMap<String, TeamQuota>,
    buckets: HashMap<String, LocalBucket>,
}

impl EqualShares {
    fn share(&self) -> f64 {
        1.0 / (self.entries + 1) as f64
    }
}

impl QuotaStrategy for EqualShares {
    type Message = ();

    fn set_teams(&mut self, now: Instant, teams: &[TeamSpec]) {
        let share = self.share();
        for team in teams {
            let Some(quota) = team.quota else {
                continue;
            };
            self.quotas.insert(team.name.clone(), quota);
            let (rate, burst) = (quota.rate * share, quota.burst * share);
            let bucket = self.buckets.entry(team.name.clone());
            let bucket = bucket.or_insert_with(|| LocalBucket::new(now, rate, burst));
            bucket.set_limits(now, rate, burst);
        }
    }

    fn set_entries(&mut self, now: Instant, entries: &[u64]) {
        self.entries = entries.len();
        let share = self.share();
        for (name, bucket) in &mut self.buckets {
            if let Some(quota) = self.quotas.get(name) {
                bucket.set_limits(now, quota.rate * share, quota.burst * share);
            }
        }
    }

    fn admit(&mut self, now: Instant, team: &str) -> Result<(), Duration> {
        self.buckets
            .get_mut(team)
            .map_or(Ok(()), |bucket| bucket.take(now))
    }

    fn next_message(&mut self, _: Instant) -> ((), usize) {
        ((), 0)
    }

    fn is_recipient(&self, _: u64, (): &()) -> bool {
        false
    }

    fn on_message(&mut self, _: Instant, _: u64, (): &()) {}
}

/// Share of a quota that is split evenly between the entries and needs no lease.
const GUARANTEED_SHARE: f64 = 0.2;
/// A lease expires after this time unless it is renewed.
const LEASE_DURATION: Duration = Duration::from_millis(1000);
/// Weight of the latest demand in the moving average.
const DEMAND_WEIGHT: f64 = 0.3;

/// A message between an entry and the lead that grants leases.
#[derive(Debug, Clone)]
pub enum LeaseMessage {
    /// Requests of each team since the last message.
    Demand(Vec<(String, u32)>),
    /// Shares of each team's quota, by entry.
    Grants(HashMap<u64, Vec<(String, f64)>>),
}

/// One lead for all entries leases shares by demand; without a lease an entry has only its
/// guaranteed share.
#[derive(Debug)]
pub struct LeasedShares {
    own: u64,
    lead: u64,
    entries: usize,
    quotas: HashMap<String, TeamQuota>,
    buckets: HashMap<String, LocalBucket>,
    requested: HashMap<String, u32>,
    leases: HashMap<String, (f64, Instant)>,
    demand: HashMap<String, HashMap<u64, f64>>,
}

impl LeasedShares {
    /// Creates the strategy of the entry `own` with `lead` as the lead.
    pub fn new(own: u64, lead: u64) -> Self {
        Self {
            own,
            lead,
            entries: 0,
            quotas: HashMap::new(),
            buckets: HashMap::new(),
            requested: HashMap::new(),
            leases: HashMap::new(),
            demand: HashMap::new(),
        }
    }

    fn share(&self, now: Instant, team: &str) -> f64 {
        let own = GUARANTEED_SHARE / (self.entries + 1) as f64;
        let lease = self.leases.get(team).filter(|(_, expires)| now < *expires);
        own + lease.map_or(0.0, |(share, _)| share * (1.0 - GUARANTEED_SHARE))
    }

    fn record_demand(&mut self, peer: u64, requested: &[(String, u32)]) {
        for (team, count) in requested {
            let demand = self.demand.entry(team.clone()).or_default();
            let average = demand.entry(peer).or_default();
            *average += DEMAND_WEIGHT * (f64::from(*count) - *average);
        }
    }

    fn grants(&self) -> HashMap<u64, Vec<(String, f64)>> {
        let mut grants: HashMap<u64, Vec<(String, f64)>> = HashMap::new();
        for (team, demand) in &self.demand {
            let total: f64 = demand.values().sum();
            for (peer, requested) in demand {
                let share = if total > 0.0 { requested / total } else { 0.0 };
                grants.entry(*peer).or_default().push((team.clone(), share));
            }
        }
        grants
    }

    fn apply_grants(&mut self, now: Instant, grants: &[(String, f64)]) {
        for (team, share) in grants {
            self.leases
                .insert(team.clone(), (*share, now + LEASE_DURATION));
        }
    }
}

impl QuotaStrategy for LeasedShares {
    type Message = LeaseMessage;

    fn set_teams(&mut self, _: Instant, teams: &[TeamSpec]) {
        for team in teams {
            if let Some(quota) = team.quota {
                self.quotas.insert(team.name.clone(), quota);
            }
        }
    }

    fn set_entries(&mut self, _: Instant, entries: &[u64]) {
        self.entries = entries.len();
    }

    fn admit(&mut self, now: Instant, team: &str) -> Result<(), Duration> {
        let Some(quota) = self.quotas.get(team).copied() else {
            return Ok(());
        };
        *self.requested.entry(team.to_owned()).or_default() += 1;
        let share = self.share(now, team);
        let (rate, burst) = (quota.rate * share, quota.burst * share);
        let bucket = self.buckets.entry(team.to_owned());
        let bucket = bucket.or_insert_with(|| LocalBucket::new(now, rate, burst));
        bucket.set_limits(now, rate, burst);
        bucket.take(now)
    }

    fn next_message(&mut self, now: Instant) -> (LeaseMessage, usize) {
        let mut requested: Vec<(String, u32)> = self.requested.drain().collect();
        requested.sort_unstable();
        // Report zero for idle teams, so that their averages decay.
        let known_teams: Vec<String> = self.quotas.keys().cloned().collect();
        let idle = known_teams
            .into_iter()
            .filter(|name| !requested.iter().any(|(team, _)| team == name));
        let idle: Vec<(String, u32)> = idle.map(|name| (name, 0)).collect();
        let bytes = 16 + 4 * requested.len();
        requested.extend(idle);
        if self.own != self.lead {
            return (LeaseMessage::Demand(requested), bytes);
        }
        self.record_demand(self.own, &requested);
        let grants = self.grants();
        if let Some(own) = grants.get(&self.own).cloned() {
            self.apply_grants(now, &own);
        }
        let bytes = 16 + 6 * self.demand.len();
        (LeaseMessage::Grants(grants), bytes)
    }

    fn is_recipient(&self, to: u64, message: &LeaseMessage) -> bool {
        match message {
            LeaseMessage::Demand(_) => to == self.lead,
            LeaseMessage::Grants(_) => true,
        }
    }

    fn on_message(&mut self, now: Instant, peer: u64, message: &LeaseMessage) {
        match message {
            LeaseMessage::Demand(requested) => self.record_demand(peer, requested),
            LeaseMessage::Grants(grants) => {
                if let Some(own) = grants.get(&self.own) {
                    let own = own.clone();
                    self.apply_grants(now, &own);
                }
            }
        }
    }
}

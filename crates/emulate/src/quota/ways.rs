//! The ways: counts that all tell each other, equal parts, and parts leased by demand.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use place::placing::load::load_interval;
use team::quota::{QuotaLimiter, QuotaReport};
use team::spec::{TeamQuota, TeamSpec};

/// Regions of the fleet.
pub(crate) const REGIONS: usize = 3;

/// One entry's part in keeping quotas.
pub trait EntryQuota {
    /// What it tells others.
    type Word: Clone;

    /// Takes in the teams.
    fn set_teams(&mut self, now: Instant, teams: &[TeamSpec]);

    /// Takes in which other entries there are.
    fn set_entries(&mut self, now: Instant, entries: &[u64]);

    /// Lets a request of a team in.
    ///
    /// # Errors
    /// When its caller is to come back, where there is no room.
    fn admit(&mut self, now: Instant, team: &str) -> Result<(), Duration>;

    /// What it tells now, and how many bytes that takes.
    fn word(&mut self, now: Instant) -> (Self::Word, usize);

    /// Whether the entry `to` is told that.
    fn is_told(&self, to: u64, word: &Self::Word) -> bool;

    /// Takes in a word of the entry `peer`.
    fn on_word(&mut self, now: Instant, peer: u64, word: &Self::Word);
}

/// The decisions of the daemon.
#[derive(Debug)]
pub struct ToldCounts(pub QuotaLimiter);

impl EntryQuota for ToldCounts {
    type Word = QuotaReport;

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

    fn word(&mut self, now: Instant) -> (QuotaReport, usize) {
        let word = self.0.report(now);
        // Run, age and set of teams take about 16 bytes, a count 4.
        let bytes = 16 + 4 * word.counts.len();
        (word, bytes)
    }

    fn is_told(&self, _: u64, _: &QuotaReport) -> bool {
        true
    }

    fn on_word(&mut self, now: Instant, peer: u64, word: &QuotaReport) {
        self.0.on_report(now, peer, word);
    }
}

/// A plain bucket.
#[derive(Debug, Clone, Copy)]
struct PlainBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl PlainBucket {
    fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst: burst.max(1.0),
            level: burst.max(1.0),
            at: now,
        }
    }

    fn set(&mut self, now: Instant, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.level = self.level.min(self.burst);
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + self.rate * passed).min(self.burst);
        self.at = now;
    }

    fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.rate.max(0.01);
        Err(Duration::from_secs_f64(wait.min(3.0)))
    }
}

/// Each entry has the same part of each quota, whoever asks where.
#[derive(Debug, Default)]
pub struct EqualParts {
    entries: usize,
    quotas: HashMap<String, TeamQuota>,
    buckets: HashMap<String, PlainBucket>,
}

impl EqualParts {
    fn part(&self) -> f64 {
        1.0 / (self.entries + 1) as f64
    }
}

impl EntryQuota for EqualParts {
    type Word = ();

    fn set_teams(&mut self, now: Instant, teams: &[TeamSpec]) {
        let part = self.part();
        for team in teams {
            let Some(quota) = team.quota else {
                continue;
            };
            self.quotas.insert(team.name.clone(), quota);
            let (rate, burst) = (quota.rate * part, quota.burst * part);
            let bucket = self.buckets.entry(team.name.clone());
            let bucket = bucket.or_insert_with(|| PlainBucket::new(now, rate, burst));
            bucket.set(now, rate, burst);
        }
    }

    fn set_entries(&mut self, now: Instant, entries: &[u64]) {
        self.entries = entries.len();
        let part = self.part();
        for (name, bucket) in &mut self.buckets {
            if let Some(quota) = self.quotas.get(name) {
                bucket.set(now, quota.rate * part, quota.burst * part);
            }
        }
    }

    fn admit(&mut self, now: Instant, team: &str) -> Result<(), Duration> {
        self.buckets
            .get_mut(team)
            .map_or(Ok(()), |bucket| bucket.take(now))
    }

    fn word(&mut self, _: Instant) -> ((), usize) {
        ((), 0)
    }

    fn is_told(&self, _: u64, (): &()) -> bool {
        false
    }

    fn on_word(&mut self, _: Instant, _: u64, (): &()) {}
}

/// Part of a quota that is always each entry's own.
const OWN_SHARE: f64 = 0.2;
/// A lease ends after this time unless it is renewed.
const LEASE_TIME: Duration = Duration::from_millis(1000);
/// Weight of the newest demand.
const DEMAND_WEIGHT: f64 = 0.3;

/// What entries and the lead that leases parts tell each other.
#[derive(Debug, Clone)]
pub enum LeaseWord {
    /// Requests of each team since the last word.
    Demand(Vec<(String, u32)>),
    /// Parts of each team's quota, by entry.
    Grants(HashMap<u64, Vec<(String, f64)>>),
}

/// Parts are leased by demand from one lead of all; without a lease an entry has a part that
/// is always its own.
#[derive(Debug)]
pub struct LeasedParts {
    own: u64,
    lead: u64,
    entries: usize,
    quotas: HashMap<String, TeamQuota>,
    buckets: HashMap<String, PlainBucket>,
    asked: HashMap<String, u32>,
    leases: HashMap<String, (f64, Instant)>,
    demand: HashMap<String, HashMap<u64, f64>>,
}

impl LeasedParts {
    /// The part of the entry `own` where `lead` leases.
    pub fn new(own: u64, lead: u64) -> Self {
        Self {
            own,
            lead,
            entries: 0,
            quotas: HashMap::new(),
            buckets: HashMap::new(),
            asked: HashMap::new(),
            leases: HashMap::new(),
            demand: HashMap::new(),
        }
    }

    fn part(&self, now: Instant, team: &str) -> f64 {
        let own = OWN_SHARE / (self.entries + 1) as f64;
        let lease = self.leases.get(team).filter(|(_, ends)| now < *ends);
        own + lease.map_or(0.0, |(part, _)| part * (1.0 - OWN_SHARE))
    }

    fn learn(&mut self, peer: u64, asked: &[(String, u32)]) {
        for (team, count) in asked {
            let demand = self.demand.entry(team.clone()).or_default();
            let known = demand.entry(peer).or_default();
            *known += DEMAND_WEIGHT * (f64::from(*count) - *known);
        }
    }

    fn grants(&self) -> HashMap<u64, Vec<(String, f64)>> {
        let mut grants: HashMap<u64, Vec<(String, f64)>> = HashMap::new();
        for (team, demand) in &self.demand {
            let whole: f64 = demand.values().sum();
            for (peer, asked) in demand {
                let part = if whole > 0.0 { asked / whole } else { 0.0 };
                grants.entry(*peer).or_default().push((team.clone(), part));
            }
        }
        grants
    }

    fn take_grants(&mut self, now: Instant, grants: &[(String, f64)]) {
        for (team, part) in grants {
            self.leases.insert(team.clone(), (*part, now + LEASE_TIME));
        }
    }
}

impl EntryQuota for LeasedParts {
    type Word = LeaseWord;

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
        *self.asked.entry(team.to_owned()).or_default() += 1;
        let part = self.part(now, team);
        let (rate, burst) = (quota.rate * part, quota.burst * part);
        let bucket = self.buckets.entry(team.to_owned());
        let bucket = bucket.or_insert_with(|| PlainBucket::new(now, rate, burst));
        bucket.set(now, rate, burst);
        bucket.take(now)
    }

    fn word(&mut self, now: Instant) -> (LeaseWord, usize) {
        let mut asked: Vec<(String, u32)> = self.asked.drain().collect();
        asked.sort_unstable();
        // Teams that nobody asks for any more fade out.
        let known: Vec<String> = self.quotas.keys().cloned().collect();
        let silent = known
            .into_iter()
            .filter(|name| !asked.iter().any(|(team, _)| team == name));
        let silent: Vec<(String, u32)> = silent.map(|name| (name, 0)).collect();
        let bytes = 16 + 4 * asked.len();
        asked.extend(silent);
        if self.own != self.lead {
            return (LeaseWord::Demand(asked), bytes);
        }
        self.learn(self.own, &asked);
        let grants = self.grants();
        if let Some(own) = grants.get(&self.own).cloned() {
            self.take_grants(now, &own);
        }
        let bytes = 16 + 6 * self.demand.len();
        (LeaseWord::Grants(grants), bytes)
    }

    fn is_told(&self, to: u64, word: &LeaseWord) -> bool {
        match word {
            LeaseWord::Demand(_) => to == self.lead,
            LeaseWord::Grants(_) => true,
        }
    }

    fn on_word(&mut self, now: Instant, peer: u64, word: &LeaseWord) {
        match word {
            LeaseWord::Demand(asked) => self.learn(peer, asked),
            LeaseWord::Grants(grants) => {
                if let Some(own) = grants.get(&self.own) {
                    let own = own.clone();
                    self.take_grants(now, &own);
                }
            }
        }
    }
}

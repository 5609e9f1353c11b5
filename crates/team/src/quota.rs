//! Enforces team quotas across all entries.
//!
//! Requests are counted by the entry that admits them. Entries report their counts to each
//! other, so that each maintains one token bucket per team for the whole fleet: the bucket
//! fills at the team's rate up to its burst, and each request admitted by any entry removes a
//! token. Admissions that peers have not reported yet are estimated by this entry's own.
//!
//! A silent entry may be partitioned from the others and still admit requests. Each entry
//! therefore has a fixed part of the quota: the others reserve it while the entry is silent,
//! and an entry that gets no reports admits no more than its part. The parts add up to the whole
//! quota, whichever way the fleet is partitioned.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use tally::{CountReport, PeerTally};

use crate::bucket::{FleetShare, QuotaBounds, TeamBucket};
use crate::spec::TeamSpec;

/// An entry is silent after this time without a report, or after this many report intervals if
/// that is longer; its part is then reserved. Until then it is assumed to continue as before.
const SILENT_AFTER: Duration = Duration::from_millis(500);
const SILENT_INTERVALS: f64 = 3.2;
/// Time for which the part of a silent entry is reserved, since it may be partitioned and still
/// admit requests.
const RESERVATION_TIME: Duration = Duration::from_secs(60);
/// Fleet size assumed by an entry that has not met any of its peers.
const ASSUMED_FLEET_SIZE: usize = 8;
/// Age up to which an entry keeps to its own part of a quota that is small for the number of
/// entries, if most of its peers are no older: all of them may have been restarted while the quota
/// was used up, and each would let a request pass before it receives the reports of the others.
const YOUNG_AGE: Duration = Duration::from_millis(1500);
/// Fleet size that an entry assumes at that age before it has met any of its peers.
const UNMET_FLEET_SIZE: usize = 32;
/// Time for which a changed count is included in reports, so that it survives the loss of some.
const REPORT_CHANGE_FOR: Duration = Duration::from_millis(1000);

base::common! {
    /// The requests admitted by an entry, as reported to its peers.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct QuotaReport {
        /// Identifies one run of the entry's process.
        pub run: u64,
        /// Milliseconds since the run began to count.
        pub age: u64,
        /// Hash of the set of teams, without which the indexes in `counts` have no meaning.
        pub teams: u32,
        /// Whether the entry admits no more requests until its next report.
        pub stops: bool,
        /// Requests admitted since the start, for teams with recent changes. Each team is given
        /// by its index in the sorted list of all team names.
        pub counts: Vec<(u32, u32)>,
    }
}

/// Identifies a team at all entries, independently of which other teams exist.
type TeamId = u64;

/// Limits the requests of all teams to their quotas.
#[derive(Debug)]
pub struct QuotaLimiter {
    bounds: QuotaBounds,
    run: u64,
    /// All teams, sorted by name.
    teams: Vec<TeamId>,
    teams_hash: u32,
    buckets: HashMap<TeamId, TeamBucket>,
    tally: PeerTally<TeamId>,
    changed: HashMap<TeamId, Instant>,
    /// The other entries in service, with the time since which they are listed.
    listed: HashMap<u64, Instant>,
    /// Other entries that have run for longer than [`YOUNG_AGE`].
    mature: HashSet<u64>,
    has_others: bool,
    silent_after: Duration,
    /// Other entries that admit nothing until their next report.
    stopped: HashSet<u64>,
    /// Other entries that are silent.
    silent: HashSet<u64>,
    share: FleetShare,
}

impl QuotaLimiter {
    /// Creates the limiter of an entry that starts at `now` with the run number `run`.
    /// `has_others` tells whether other entries exist, met or not.
    pub fn new(now: Instant, bounds: QuotaBounds, run: u64, has_others: bool) -> Self {
        Self {
            bounds,
            run,
            teams: Vec::new(),
            teams_hash: 0,
            buckets: HashMap::new(),
            tally: PeerTally::new(SILENT_AFTER).with_start(now),
            changed: HashMap::new(),
            listed: HashMap::new(),
            mature: HashSet::new(),
            has_others,
            silent_after: SILENT_AFTER,
            stopped: HashSet::new(),
            silent: HashSet::new(),
            share: FleetShare::default(),
        }
    }

    /// Replaces the teams after a change of settings.
    pub fn set_teams(&mut self, now: Instant, teams: &[TeamSpec]) {
        let mut names: Vec<&str> = teams.iter().map(|team| team.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        self.teams = names.iter().map(|name| team_id(name)).collect();
        let hash = self
            .teams
            .iter()
            .fold(0, |hash: u64, id| hash.rotate_left(5) ^ id);
        self.teams_hash = (hash ^ (hash >> 32)) as u32;
        let share = self.share(now);
        let mut buckets = HashMap::new();
        for team in teams {
            let Some(quota) = team.quota else {
                continue;
            };
            let id = team_id(&team.name);
            let known = self.buckets.remove(&id);
            let mut bucket = known.unwrap_or_else(|| {
                let since = self.tally.age(now);
                TeamBucket::new(now, quota, &self.bounds, share, since)
            });
            bucket.set_quota(now, quota, &self.bounds, share);
            buckets.insert(id, bucket);
        }
        self.buckets = buckets;
    }

    /// Updates the list of other entries in service and the interval at which each of them
    /// reports.
    pub fn set_entries(&mut self, now: Instant, entries: &[u64], report_interval: Duration) {
        self.silent_after = SILENT_AFTER.max(report_interval.mul_f64(SILENT_INTERVALS));
        self.tally.set_report_ttl(self.silent_after);
        self.listed.retain(|peer, _| entries.contains(peer));
        for peer in entries {
            self.listed.entry(*peer).or_insert(now);
        }
        let listed = &self.listed;
        self.tally.retain(|peer, last_report_at| {
            listed.contains_key(&peer)
                || now.saturating_duration_since(last_report_at) < RESERVATION_TIME
        });
        let tally = &self.tally;
        let is_tracked = |peer: &u64| tally.last_report_at(*peer).is_some();
        self.stopped.retain(is_tracked);
        self.mature.retain(is_tracked);
        self.refresh_share(now);
    }

    /// Admits a request of the team `name`.
    ///
    /// # Errors
    /// The time after which the caller should retry, if the team exceeds its quota.
    pub fn admit(&mut self, now: Instant, name: &str) -> Result<(), Duration> {
        let id = team_id(name);
        let share = self.share(now);
        let unreported = self.tally.estimate_unreported(now, id);
        let young_age = self.young_age(now);
        let entries = if self.has_met_others() {
            share.entry_count()
        } else {
            UNMET_FLEET_SIZE
        };
        let (own_total, jitter) = (self.tally.own_total(id), unit_hash(self.run, id));
        let Some(bucket) = self.buckets.get_mut(&id) else {
            return Ok(());
        };
        if let Some(age) = young_age
            && let Some(part) = bucket.young_part(&self.bounds, entries, age)
            && f64::from(own_total) + 1.0 > part + jitter
        {
            return Err(YOUNG_AGE.saturating_sub(age));
        }
        bucket.try_take(now, &self.bounds, share, unreported)?;
        self.tally.add(now, id);
        self.changed.insert(id, now);
        Ok(())
    }

    /// Refunds an admitted request of the team `name` that was not run and never will be.
    pub fn refund(&mut self, now: Instant, name: &str) {
        let id = team_id(name);
        if let Some(bucket) = self.buckets.get_mut(&id) {
            bucket.debit(-1.0);
            self.tally.undo_add(id);
            self.changed.insert(id, now);
        }
    }

    /// Returns this entry's report to its peers. Call it several times a second while
    /// [`Self::has_changes`].
    pub fn report(&mut self, now: Instant) -> QuotaReport {
        self.refresh_share(now);
        self.changed
            .retain(|_, at| now.saturating_duration_since(*at) < REPORT_CHANGE_FOR);
        let mut counts = Vec::with_capacity(self.changed.len());
        for (index, id) in (0..).zip(&self.teams) {
            if self.changed.contains_key(id) {
                counts.push((index, self.tally.own_total(*id)));
            }
        }
        QuotaReport {
            run: self.run,
            age: u64::try_from(self.tally.age(now).as_millis()).unwrap_or(u64::MAX),
            teams: self.teams_hash,
            stops: false,
            counts,
        }
    }

    /// Returns how many entries share the quotas, and for how many of them parts are reserved
    /// because they are silent.
    pub fn entry_counts(&mut self, now: Instant) -> (usize, usize) {
        let share = self.share(now);
        (share.entry_count(), share.silent_count())
    }

    /// Whether any team has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Whether this entry admitted requests recently that peers may not know of.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Records a report of the entry `peer`.
    pub fn on_report(&mut self, now: Instant, peer: u64, report: &QuotaReport) {
        // Indexes into another set of teams have no meaning. Counts are totals, so a later
        // report makes up for the skipped one.
        let teams = if report.teams == self.teams_hash {
            self.teams.as_slice()
        } else {
            &[]
        };
        let last_report_at = self
            .tally
            .last_report_at(peer)
            .or_else(|| self.listed.get(&peer).copied());
        let silent_for = last_report_at.map(|at| now.saturating_duration_since(at));
        let silent_for = silent_for.filter(|span| *span >= self.silent_after);
        if Duration::from_millis(report.age) >= YOUNG_AGE {
            self.mature.insert(peer);
        } else {
            self.mature.remove(&peer);
        }
        let (share, stops) = (self.share, report.stops);
        let report = report.to_count_report(teams);
        for (id, added) in self.tally.on_report(now, peer, &report) {
            let Some(bucket) = self.buckets.get_mut(&id) else {
                continue;
            };
            // What the entry admitted from its own part was already reserved.
            let own = silent_for.map_or(0.0, |span| bucket.entry_allowance(share, span));
            let added = added as f64;
            bucket.on_peer_admitted(now, added);
            bucket.debit(if added > 0.0 {
                (added - own).max(0.0)
            } else {
                added
            });
        }
        if stops {
            self.stopped.insert(peer);
        } else {
            self.stopped.remove(&peer);
        }
    }

    fn has_met_others(&self) -> bool {
        !self.listed.is_empty() || self.tally.peers().next().is_some()
    }

    /// Returns how long this entry has run, if it and most of its peers have just started.
    fn young_age(&self, now: Instant) -> Option<Duration> {
        let age = self.tally.age(now);
        let is_young =
            self.has_others && age < YOUNG_AGE && self.mature.len() * 2 < self.share.entry_count();
        is_young.then_some(age)
    }

    /// Charges the estimated admissions of entries that have just fallen silent.
    fn charge_silent(&mut self, now: Instant, silent: &HashSet<u64>) {
        for peer in silent.difference(&self.silent) {
            for (id, own) in self.tally.own_since(*peer) {
                if let Some(bucket) = self.buckets.get_mut(&id) {
                    bucket.charge_silent(now, self.share, own);
                }
            }
        }
        self.silent.clone_from(silent);
    }

    fn share(&mut self, now: Instant) -> FleetShare {
        if self.share.is_stale(now) {
            self.refresh_share(now);
        }
        self.share
    }

    /// Determines which entries are silent. If others became silent, their parts are reserved.
    fn refresh_share(&mut self, now: Instant) {
        let is_silent = |at: Instant| now.saturating_duration_since(at) >= self.silent_after;
        let (mut known, mut silent) = (1, HashSet::new());
        for (peer, last_report_at) in self.tally.peers() {
            let is_old = now.saturating_duration_since(last_report_at) >= RESERVATION_TIME;
            let is_listed = self.listed.contains_key(&peer);
            if self.stopped.contains(&peer) || is_old && !is_listed {
                continue;
            }
            known += 1;
            if is_silent(last_report_at) {
                silent.insert(peer);
            }
        }
        for (peer, since) in &self.listed {
            if self.tally.last_report_at(*peer).is_some() {
                continue;
            }
            known += 1;
            if is_silent(*since) {
                silent.insert(*peer);
            }
        }
        self.charge_silent(now, &silent);
        let mut silent = silent.len();
        if known == 1 && self.has_others {
            (known, silent) = (ASSUMED_FLEET_SIZE, ASSUMED_FLEET_SIZE - 1);
        }
        let share = FleetShare::new(now, silent, known);
        for bucket in self.buckets.values_mut() {
            bucket.on_share_change(now, self.share, share);
        }
        self.share = share;
    }
}

impl QuotaReport {
    /// Resolves the indexes of the report to the ids in `teams`.
    fn to_count_report(&self, teams: &[TeamId]) -> CountReport<TeamId> {
        let counts = self.counts.iter().filter_map(|(index, count)| {
            let id = teams.get(usize::try_from(*index).ok()?)?;
            Some((*id, *count))
        });
        CountReport {
            run: self.run,
            age: Duration::from_millis(self.age),
            counts: counts.collect(),
        }
    }
}

/// Number from 0 to 1 that differs between runs of entries and between teams.
fn unit_hash(run: u64, id: TeamId) -> f64 {
    let mixed = (run ^ id.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

/// FNV-1a hash of the team's name, equal at all entries.
fn team_id(name: &str) -> TeamId {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash
}

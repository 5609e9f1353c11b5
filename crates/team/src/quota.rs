//! Holds all entries together within what each team may ask for.
//!
//! A team's requests are counted where they enter. Entries tell each other their counts, so
//! that each keeps the level of one bucket for the whole fleet: it fills at the team's rate
//! up to its burst, and every request that any entry lets in takes one out. What others let
//! in and is not heard yet is reckoned by what this entry let in meanwhile.
//!
//! An entry that isn't heard may be cut off and go on. So each has a part that is always its
//! own: the others leave it alone while they don't hear that entry, and an entry that hears
//! nobody keeps to it. The parts add up to the whole, however the fleet is cut.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use tally::{CountReport, PeerTally};

use crate::bucket::{FleetShare, QuotaBounds, TeamBucket};
use crate::spec::TeamSpec;

/// An entry that wasn't heard for this long, or for so many times that others take between
/// two words, is silent: its part is set aside. Until then it is taken to go on.
const SILENT_AFTER: Duration = Duration::from_millis(500);
const SILENT_INTERVALS: f64 = 3.2;
/// A silent entry is reckoned with for so long: it may be cut off and go on.
const RESERVATION_TIME: Duration = Duration::from_secs(60);
/// Entries that one which has met none of the others is taken to be among.
const ASSUMED_FLEET_SIZE: usize = 8;
/// A count that changed is told for this long: some of several words may get lost.
const REPORT_CHANGE_FOR: Duration = Duration::from_millis(1000);

base::common! {
    /// What an entry let in, as it tells others.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct QuotaReport {
        /// One run of the entry's process.
        pub run: u64,
        /// Milliseconds since it began to count.
        pub age: u64,
        /// Tells apart sets of teams, in which places differ.
        pub teams: u32,
        /// Whether it lets nothing in any more until it speaks again.
        pub stops: bool,
        /// Requests let in since the start, of teams for which that changed lately, by their
        /// places in the order of all teams' names.
        pub counts: Vec<(u32, u32)>,
    }
}

/// Names a team among all entries, whatever teams there are besides.
type TeamId = u64;

/// The quotas of all teams.
#[derive(Debug)]
pub struct QuotaLimiter {
    bounds: QuotaBounds,
    run: u64,
    /// All teams, by name.
    teams: Vec<TeamId>,
    teams_hash: u32,
    buckets: HashMap<TeamId, TeamBucket>,
    tally: PeerTally<TeamId>,
    changed: HashMap<TeamId, Instant>,
    /// The others that get requests, and since when they are listed.
    listed: HashMap<u64, Instant>,
    has_others: bool,
    silent_after: Duration,
    /// Others that let nothing in until they speak again.
    stopped: HashSet<u64>,
    /// The others that are silent.
    silent: HashSet<u64>,
    share: FleetShare,
}

impl QuotaLimiter {
    /// A limiter of the run `run` of an entry that starts at `now`; `has_others` where there
    /// are other entries, met or not.
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
            has_others,
            silent_after: SILENT_AFTER,
            stopped: HashSet::new(),
            silent: HashSet::new(),
            share: FleetShare::default(),
        }
    }

    /// Takes in the teams of a new desired state.
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

    /// Takes in which other entries get requests, and after what time each of them speaks
    /// again.
    pub fn set_entries(&mut self, now: Instant, entries: &[u64], report_interval: Duration) {
        self.silent_after = SILENT_AFTER.max(report_interval.mul_f64(SILENT_INTERVALS));
        self.tally.set_report_ttl(self.silent_after);
        self.listed.retain(|peer, _| entries.contains(peer));
        for peer in entries {
            self.listed.entry(*peer).or_insert(now);
        }
        let listed = &self.listed;
        self.tally.retain(|peer, last_heard| {
            listed.contains_key(&peer)
                || now.saturating_duration_since(last_heard) < RESERVATION_TIME
        });
        let tally = &self.tally;
        self.stopped
            .retain(|peer| tally.last_heard(*peer).is_some());
        self.refresh_share(now);
    }

    /// Lets a request of the team `name` in.
    ///
    /// # Errors
    /// The time after which its caller is to come back, where the team asks for too much.
    pub fn admit(&mut self, now: Instant, name: &str) -> Result<(), Duration> {
        let id = team_id(name);
        let share = self.share(now);
        let unreported = self.tally.estimate_unreported(now, id);
        let Some(bucket) = self.buckets.get_mut(&id) else {
            return Ok(());
        };
        bucket.try_take(now, &self.bounds, share, unreported)?;
        self.tally.add(now, id);
        self.changed.insert(id, now);
        Ok(())
    }

    /// A request of the team `name` that was let in has not run and never will.
    pub fn refund(&mut self, now: Instant, name: &str) {
        let id = team_id(name);
        if let Some(bucket) = self.buckets.get_mut(&id) {
            bucket.debit(-1.0);
            self.tally.undo_add(id);
            self.changed.insert(id, now);
        }
    }

    /// What this entry let in, for the others. Call it several times a second while
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

    /// Whether any team has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Whether this entry let something in lately that the others may not have heard.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Takes in what the entry `peer` let in.
    pub fn on_report(&mut self, now: Instant, peer: u64, report: &QuotaReport) {
        // Places among other teams say nothing; counts add up, so that nothing is lost by it.
        let teams = if report.teams == self.teams_hash {
            self.teams.as_slice()
        } else {
            &[]
        };
        let last_heard = self
            .tally
            .last_heard(peer)
            .or_else(|| self.listed.get(&peer).copied());
        let silent_for = last_heard.map(|at| now.saturating_duration_since(at));
        let silent_for = silent_for.filter(|span| *span >= self.silent_after);
        let (share, stops) = (self.share, report.stops);
        let report = report.to_count_report(teams);
        for (id, added) in self.tally.on_report(now, peer, &report) {
            let Some(bucket) = self.buckets.get_mut(&id) else {
                continue;
            };
            // What it let in of its own part was set aside.
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

    /// Counts what those that have just fallen silent likely let in since they were heard.
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

    /// Finds out which of the others are silent. Where there are more, their parts are set
    /// aside.
    fn refresh_share(&mut self, now: Instant) {
        let is_silent = |at: Instant| now.saturating_duration_since(at) >= self.silent_after;
        let (mut known, mut silent) = (1, HashSet::new());
        for (peer, last_heard) in self.tally.peers() {
            let is_old = now.saturating_duration_since(last_heard) >= RESERVATION_TIME;
            let is_listed = self.listed.contains_key(&peer);
            if self.stopped.contains(&peer) || is_old && !is_listed {
                continue;
            }
            known += 1;
            if is_silent(last_heard) {
                silent.insert(peer);
            }
        }
        for (peer, since) in &self.listed {
            if self.tally.last_heard(*peer).is_some() {
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
    /// The counts by the ids of `teams`, among which the word's places are.
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

/// FNV-1a of the team's name: the same at all entries.
fn team_id(name: &str) -> TeamId {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash
}

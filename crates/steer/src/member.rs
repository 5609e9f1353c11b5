//! Who else is there: records of the fleet's instances, spread by gossip.
//!
//! Every round an instance tells a few others what it knows. Inside the region all
//! records travel; of other regions a bounded number, chosen by hash.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::plan::MemberPlan;
use crate::version::ConfigVersion;

/// Time without a new beat after which an instance counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// Time after which a dead instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Records of others in one digest of a small fleet.
const DIGEST_RECORDS: usize = 24;
/// Records of others in one digest of a large fleet, to keep within a node's bytes.
const LARGE_DIGEST_RECORDS: usize = 6;
/// Members from which a fleet is large.
const LARGE_FLEET: usize = 64;
/// Peers of the region that hear from us in one round.
const NEAR_FANOUT: usize = 2;
/// Records of one other region that are kept.
const FAR_RECORDS: usize = 8;

base::common! {
    /// What is told of an instance. A higher beat replaces a lower one of the same run.
    pub struct MemberRecord {
        /// What callers and entries need.
        pub member: MemberPlan,
        /// Where its lh-steer hears gossip.
        pub gossip: SocketAddr,
        /// Start of its lh-steer in milliseconds since 1970; orders the runs.
        pub started_ms: u64,
        /// Rises with every round of gossip.
        pub beat: u64,
        /// The configuration in force there.
        pub version: ConfigVersion,
        /// Instances whose entries it heard lately.
        pub heard: Vec<InstanceId>,
    }

    /// One gossip message.
    pub struct GossipDigest {
        /// Records, the sender's first.
        pub records: Vec<MemberRecord>,
    }
}

#[derive(Debug, Clone)]
struct KnownMember {
    record: MemberRecord,
    advanced: Instant,
}

/// What this instance knows of the fleet.
#[derive(Debug)]
pub struct MemberTable {
    region: RegionId,
    own: Option<MemberRecord>,
    members: BTreeMap<InstanceId, KnownMember>,
    seeds: HashMap<SocketAddr, Instant>,
    rng: ChaCha8Rng,
}

impl MemberTable {
    /// A table that knows nobody; `seed` drives the choice of peers.
    pub fn new(region: &RegionId, seed: u64) -> Self {
        Self {
            region: region.clone(),
            own: None,
            members: BTreeMap::new(),
            seeds: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets what is told of this instance.
    pub fn set_own(&mut self, record: MemberRecord) {
        self.own = Some(record);
    }

    /// Addresses to greet although no record is known of them, from the platform's list.
    pub fn set_seeds(&mut self, now: Instant, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().map(|address| (address, now)).collect();
    }

    /// Takes a digest in; returns the records that were news.
    pub fn on_digest(&mut self, now: Instant, digest: &GossipDigest) -> Vec<MemberRecord> {
        let mut news = Vec::new();
        for record in &digest.records {
            if self.is_own(record) || !self.is_news(record) {
                continue;
            }
            let known = KnownMember {
                record: record.clone(),
                advanced: now,
            };
            self.members
                .insert(record.member.node.instance.clone(), known);
            news.push(record.clone());
        }
        self.bound_far();
        news
    }

    fn is_own(&self, record: &MemberRecord) -> bool {
        self.own
            .as_ref()
            .is_some_and(|own| own.member.node.instance == record.member.node.instance)
    }

    fn is_news(&self, record: &MemberRecord) -> bool {
        let Some(known) = self.members.get(&record.member.node.instance) else {
            return true;
        };
        let known = &known.record;
        (record.started_ms, record.beat) > (known.started_ms, known.beat)
    }

    /// Keeps a bounded number of records of each other region.
    fn bound_far(&mut self) {
        let mut counts: HashMap<RegionId, usize> = HashMap::new();
        let home = self.region.clone();
        self.members.retain(|_, known| {
            let region = &known.record.member.region;
            if *region == home {
                return true;
            }
            let count = counts.entry(region.clone()).or_default();
            *count += 1;
            *count <= FAR_RECORDS
        });
    }

    /// One round: forgets the dead and names who is to hear which digest.
    pub fn round(&mut self, now: Instant) -> Vec<(SocketAddr, GossipDigest)> {
        self.members
            .retain(|_, known| now.saturating_duration_since(known.advanced) < FORGET_AFTER);
        let Some(own) = self.own.clone() else {
            return Vec::new();
        };
        let targets = self.targets(now, &own);
        let digest = self.digest(now, own);
        targets
            .into_iter()
            .map(|address| (address, digest.clone()))
            .collect()
    }

    fn targets(&mut self, now: Instant, own: &MemberRecord) -> BTreeSet<SocketAddr> {
        let alive = |known: &&KnownMember| is_alive(known, now);
        let address = |known: &KnownMember| known.record.gossip;
        let (near, far): (Vec<_>, Vec<_>) = self
            .members
            .values()
            .filter(alive)
            .partition(|known| known.record.member.region == self.region);
        let near: Vec<SocketAddr> = near.into_iter().map(address).collect();
        let far: Vec<SocketAddr> = far.into_iter().map(address).collect();
        let seeds: Vec<SocketAddr> = self.seeds.keys().copied().collect();
        let mut targets: BTreeSet<SocketAddr> = BTreeSet::new();
        targets.extend(near.choose_multiple(&mut self.rng, NEAR_FANOUT));
        targets.extend(far.choose(&mut self.rng));
        // A seed now and then heals a fleet whose parts have forgotten each other.
        if targets.is_empty() || self.rng.random_ratio(1, 4) {
            targets.extend(seeds.choose(&mut self.rng));
        }
        targets.remove(&own.gossip);
        targets
    }

    /// This instance's record and a random part of the others.
    fn digest(&mut self, now: Instant, own: MemberRecord) -> GossipDigest {
        let alive: Vec<&KnownMember> = self
            .members
            .values()
            .filter(|known| is_alive(known, now))
            .collect();
        let most = if alive.len() < LARGE_FLEET {
            DIGEST_RECORDS
        } else {
            LARGE_DIGEST_RECORDS
        };
        let chosen = alive.choose_multiple(&mut self.rng, most);
        let others = chosen.map(|known| known.record.clone());
        GossipDigest {
            records: std::iter::once(own).chain(others).collect(),
        }
    }

    /// Instances for the plan, the own one included; dead ones are closed.
    pub fn plan(&self, now: Instant) -> Vec<MemberPlan> {
        let others = self.members.values().map(|known| {
            let mut member = known.record.member.clone();
            member.open &= is_alive(known, now);
            member
        });
        let own = self.own.iter().map(|own| own.member.clone());
        own.chain(others).collect()
    }

    /// Live instances of the own region that take new work, the own one included.
    pub fn live_near(&self, now: Instant) -> BTreeSet<InstanceId> {
        self.plan(now)
            .into_iter()
            .filter(|member| member.open && member.region == self.region)
            .map(|member| member.node.instance)
            .collect()
    }

    /// Instances that somebody heard lately: the live ones and those that they hear.
    pub fn heard(&self, now: Instant) -> BTreeSet<InstanceId> {
        let mut heard = BTreeSet::new();
        for (instance, known) in &self.members {
            if !is_alive(known, now) {
                continue;
            }
            heard.insert(instance.clone());
            heard.extend(known.record.heard.iter().cloned());
        }
        heard
    }

    /// Number of instances known, dead ones that aren't forgotten included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether nobody else is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

fn is_alive(known: &KnownMember, now: Instant) -> bool {
    now.saturating_duration_since(known.advanced) < DEAD_AFTER
}

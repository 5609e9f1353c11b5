//! Leads known from their digests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::{CandidateRank, LEADS_PER_REGION, LeadCandidate};
use crate::fleet::list::ListVersion;
use crate::fleet::message::RegionDigest;
use crate::fleet::roster::LIVENESS_TIMEOUT;
use crate::fleet::store_progress::StoreProgress;

/// Time without a digest after which a lead counts as lost. Two digests in a row may be
/// lost in transit.
pub const LEAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without a digest after which a lead is removed from the table.
const RETENTION: Duration = Duration::from_secs(60);

/// A lead according to its last digest.
#[derive(Debug, Clone)]
pub struct LeadRecord {
    /// The lead as a candidate.
    pub candidate: LeadCandidate,
    /// The lead's region.
    pub region: String,
    /// Whether its process is shutting down, or it is no longer a lead.
    pub leaving: bool,
    /// Its state of the store.
    pub store_progress: StoreProgress,
    /// Versions of its lists of entries, by region.
    pub lists: Vec<(String, ListVersion)>,
    /// The leads and substitutes of its region according to this lead.
    pub candidates: Vec<LeadCandidate>,
    incarnation: u64,
    last_digest_at: Instant,
}

/// All known leads.
#[derive(Debug, Default)]
pub struct LeadTable {
    leads: BTreeMap<String, LeadRecord>,
}

impl LeadRecord {
    /// Returns its rank among candidates.
    pub fn rank(&self) -> CandidateRank {
        self.candidate.rank()
    }

    /// Returns the address from which other entries pull its data.
    pub fn view_address(&self) -> SocketAddr {
        self.candidate.view_address
    }

    /// Returns its process incarnation; the smaller, the earlier the process started.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether `node` is a lead of the region according to this lead.
    pub fn appoints_lead(&self, node: &str) -> bool {
        let mut leads = self.candidates.iter().take(LEADS_PER_REGION);
        leads.any(|candidate| candidate.node == node)
    }
}

impl LeadTable {
    /// Applies a digest. Ignores a digest of an earlier incarnation and returns `false`, unless the
    /// later one has been silent: the clock by which they are numbered may have been set back.
    pub fn on_digest(&mut self, now: Instant, digest: &RegionDigest) -> bool {
        let known = self.leads.get(&digest.candidate.node);
        let is_live = |lead: &LeadRecord| {
            now.saturating_duration_since(lead.last_digest_at) < LIVENESS_TIMEOUT
        };
        if known.is_some_and(|lead| is_live(lead) && lead.incarnation > digest.incarnation) {
            return false;
        }
        let own_summary = digest
            .regions
            .iter()
            .find(|summary| summary.region == digest.region);
        let lead = LeadRecord {
            candidate: digest.candidate.clone(),
            region: digest.region.clone(),
            leaving: digest.leaving || !digest.candidate.leads,
            store_progress: StoreProgress::from_report(now, &digest.store),
            lists: digest
                .regions
                .iter()
                .map(|summary| (summary.region.clone(), summary.list))
                .collect(),
            candidates: own_summary
                .map(|summary| summary.candidates.clone())
                .unwrap_or_default(),
            incarnation: digest.incarnation,
            last_digest_at: now,
        };
        self.leads.insert(lead.candidate.node.clone(), lead);
        true
    }

    /// Returns the leads that are neither silent nor stepping down.
    pub fn live_leads(&self, now: Instant) -> impl Iterator<Item = &LeadRecord> {
        self.leads.values().filter(move |lead| {
            !lead.leaving && now.saturating_duration_since(lead.last_digest_at) < LEAD_TIMEOUT
        })
    }

    /// Returns the live leads of `region`.
    pub fn live_leads_of<'a>(
        &'a self,
        now: Instant,
        region: &'a str,
    ) -> impl Iterator<Item = &'a LeadRecord> {
        self.live_leads(now)
            .filter(move |lead| lead.region == region)
    }

    /// Returns the live leads whose registry content conflicts with `known`.
    pub fn contradicting<'a>(
        &'a self,
        now: Instant,
        known: &'a StoreProgress,
    ) -> impl Iterator<Item = &'a LeadRecord> {
        self.live_leads(now)
            .filter(|lead| known.contradicts(&lead.store_progress))
    }

    /// Returns when the last lead of `region` times out unless another digest arrives.
    pub fn timeout_at(&self, region: &str) -> Option<Instant> {
        let region_leads = self.leads.values().filter(|lead| lead.region == region);
        let staying = region_leads.filter(|lead| !lead.leaving);
        staying.map(|lead| lead.last_digest_at + LEAD_TIMEOUT).max()
    }

    /// Returns the live lead of `region` with the highest rank.
    pub fn top_lead_of(&self, now: Instant, region: &str) -> Option<&LeadRecord> {
        let region_leads = self.live_leads(now).filter(|lead| lead.region == region);
        region_leads.max_by_key(|lead| lead.rank())
    }

    /// Removes leads that have been silent for longer than `RETENTION`.
    pub fn forget(&mut self, now: Instant) {
        self.leads
            .retain(|_, lead| now.saturating_duration_since(lead.last_digest_at) < RETENTION);
    }
}

//! The leads that an entry hears, by their digests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::{CandidateRank, LEADS, LeadCandidate};
use crate::fleet::known::KnownStore;
use crate::fleet::list::ListVersion;
use crate::fleet::message::RegionDigest;

/// A lead that was silent for this long is done without: two digests may get lost.
pub const LEAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// A silent lead is forgotten after this time.
const RETENTION: Duration = Duration::from_secs(60);

/// A lead as it was heard last.
#[derive(Debug, Clone)]
pub struct LeadRecord {
    /// The lead.
    pub candidate: LeadCandidate,
    /// Its region.
    pub region: String,
    /// Whether its process is about to end.
    pub leaving: bool,
    /// What it knows of the store.
    pub known: KnownStore,
    /// The lists of entries that it knows.
    pub lists: Vec<(String, ListVersion)>,
    /// Who leads its region by its word, and substitutes.
    pub candidates: Vec<LeadCandidate>,
    incarnation: u64,
    at: Instant,
}

/// All leads that were heard.
#[derive(Debug, Default)]
pub struct LeadTable {
    leads: HashMap<String, LeadRecord>,
}

impl LeadRecord {
    /// Its place among others.
    pub fn rank(&self) -> CandidateRank {
        self.candidate.rank()
    }

    /// Where it tells what it knows.
    pub fn view(&self) -> SocketAddr {
        self.candidate.view
    }

    /// Its run: smaller the earlier it began.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether `node` leads the region by this one's word.
    pub fn appoints_lead(&self, node: &str) -> bool {
        let mut leads = self.candidates.iter().take(LEADS);
        leads.any(|candidate| candidate.node == node)
    }
}

impl LeadTable {
    /// Takes in a digest; one of an earlier run changes nothing and gives `false`.
    pub fn on_digest(&mut self, now: Instant, digest: &RegionDigest) -> bool {
        let known = self.leads.get(&digest.candidate.node);
        if known.is_some_and(|lead| lead.incarnation > digest.incarnation) {
            return false;
        }
        let own = digest
            .regions
            .iter()
            .find(|summary| summary.region == digest.region);
        let lead = LeadRecord {
            candidate: digest.candidate.clone(),
            region: digest.region.clone(),
            leaving: digest.leaving || !digest.candidate.leads,
            known: KnownStore::heard(now, &digest.store),
            lists: digest
                .regions
                .iter()
                .map(|summary| (summary.region.clone(), summary.list))
                .collect(),
            candidates: own
                .map(|summary| summary.candidates.clone())
                .unwrap_or_default(),
            incarnation: digest.incarnation,
            at: now,
        };
        self.leads.insert(lead.candidate.node.clone(), lead);
        true
    }

    /// The leads that are heard and stay.
    pub fn live_leads(&self, now: Instant) -> impl Iterator<Item = &LeadRecord> {
        self.leads.values().filter(move |lead| {
            !lead.leaving && now.saturating_duration_since(lead.at) < LEAD_TIMEOUT
        })
    }

    /// Those of `region`.
    pub fn live_leads_of<'a>(
        &'a self,
        now: Instant,
        region: &'a str,
    ) -> impl Iterator<Item = &'a LeadRecord> {
        self.live_leads(now)
            .filter(move |lead| lead.region == region)
    }

    /// The leads that contradict what is `known`.
    pub fn contradicting<'a>(
        &'a self,
        now: Instant,
        known: &'a KnownStore,
    ) -> impl Iterator<Item = &'a LeadRecord> {
        self.live_leads(now)
            .filter(|lead| known.contradicts(&lead.known))
    }

    /// When the last lead of `region` will have been silent for too long.
    pub fn timeout_at(&self, region: &str) -> Option<Instant> {
        let near = self.leads.values().filter(|lead| lead.region == region);
        let staying = near.filter(|lead| !lead.leaving);
        staying.map(|lead| lead.at + LEAD_TIMEOUT).max()
    }

    /// The first of them.
    pub fn top_lead_of(&self, now: Instant, region: &str) -> Option<&LeadRecord> {
        let near = self.live_leads(now).filter(|lead| lead.region == region);
        near.max_by_key(|lead| lead.rank())
    }

    /// Forgets leads that were silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.leads
            .retain(|_, lead| now.saturating_duration_since(lead.at) < RETENTION);
    }
}

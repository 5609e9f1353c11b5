//! Handling of datagrams from other entries and of stored leads.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::{LEADS_PER_REGION, LeadCandidate};
use crate::fleet::clock::StoreTime;
use crate::fleet::member::announce::NEW_LEAD_ROW_CHECK_INTERVAL;
use crate::fleet::member::{FleetAction, FleetMember};
use crate::fleet::message::{EntryHeartbeat, LeadHint, PeerMessage, RegionDigest};
use crate::fleet::roster::HeartbeatOutcome;
use crate::fleet::store_progress::StoreProgress;

/// Delay between a membership change and the next list, to combine several changes.
const LIST_DEBOUNCE: Duration = Duration::from_millis(50);
/// Maximum number of candidates in a hint.
const MAX_HINTED_CANDIDATES: usize = 3;

impl FleetMember {
    pub(super) fn on_message(
        &mut self,
        now: Instant,
        message: PeerMessage,
        actions: &mut Vec<FleetAction>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, *heartbeat, actions),
            PeerMessage::Digest(digest) => self.on_digest(now, &digest, actions),
            PeerMessage::Hint(hint) => self.on_hint(now, &hint),
            PeerMessage::Crash(message) => self.on_crash_message(now, &message, actions),
            PeerMessage::Load(_)
            | PeerMessage::Rollout(_)
            | PeerMessage::Statements(_)
            | PeerMessage::Returns(_)
            | PeerMessage::Shares(_) => {}
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: EntryHeartbeat,
        actions: &mut Vec<FleetAction>,
    ) {
        if heartbeat.candidate.node == self.config.candidate.node {
            return;
        }
        let (is_searching, sender) = (heartbeat.is_searching, heartbeat.candidate.peer_address);
        let region = heartbeat.region.clone();
        let is_own_region = region == self.config.region;
        let outcome = self.roster.on_heartbeat(now, heartbeat);
        if outcome == HeartbeatOutcome::Ignored {
            return;
        }
        if is_own_region && self.lead_since.is_some() {
            if outcome == HeartbeatOutcome::Changed {
                self.list_due = self.list_due.min(now + LIST_DEBOUNCE);
            }
            if is_searching {
                let digest = self.digest(now, false);
                actions.push(FleetAction::Send(vec![sender], digest));
            }
            return;
        }
        if is_searching || is_own_region {
            self.hint(now, &region, sender, actions);
        }
    }

    /// Sends hints to the entry at `sender`, which is searching for leads of `region`.
    fn hint(&self, now: Instant, region: &str, sender: SocketAddr, actions: &mut Vec<FleetAction>) {
        let is_reachable = self.regions.is_reachable(now, region);
        let mut candidates = if is_reachable {
            self.regions.candidates(region).to_vec()
        } else {
            let mut candidates = self.roster.candidates(now, region);
            if region == self.config.region {
                candidates.push(self.own_candidate(now));
            }
            candidates
        };
        candidates.sort_by_key(|candidate| Reverse(candidate.rank()));
        candidates.truncate(MAX_HINTED_CANDIDATES);
        let mut hints = vec![LeadHint {
            region: region.to_owned(),
            candidates,
        }];
        if !is_reachable && region != self.config.region && self.has_live_lead(now) {
            // The leads of the local region know those of all other regions.
            hints.push(LeadHint {
                region: self.config.region.clone(),
                candidates: self
                    .candidates
                    .iter()
                    .take(LEADS_PER_REGION)
                    .cloned()
                    .collect(),
            });
        }
        for hint in hints {
            actions.push(FleetAction::Send(vec![sender], PeerMessage::Hint(hint)));
        }
    }

    fn on_digest(&mut self, now: Instant, digest: &RegionDigest, actions: &mut Vec<FleetAction>) {
        if digest.candidate.node == self.config.candidate.node || !self.leads.on_digest(now, digest)
        {
            return;
        }
        for summary in &digest.regions {
            if summary.region == self.config.region && self.lead_since.is_some() {
                self.find_other_leads(now, &summary.candidates);
                if summary.is_list_current && digest.region == self.config.region {
                    self.regions.on_own_list_confirmed(summary.list);
                }
                continue;
            }
            self.regions.on_summary(now, summary);
        }
        let mut received = StoreProgress::from_report(now, &digest.store);
        if self.clock.age(now, received.proved).is_none() {
            // Either not a time of the store's clock, or the local clock cannot be
            // related to it yet.
            received.proved = StoreTime::default();
        }
        if let Some(at) = received.registry_at {
            actions.push(FleetAction::RegistryAnswered(at));
        }
        if self.store_progress.confirm(&received)
            && let Some(at) = self.store_progress.registry_at
        {
            let position = self.store_progress.registry_read;
            actions.push(FleetAction::ConfirmRegistry(at, position));
        }
        let is_own_region = digest.region == self.config.region;
        if self.lead_since.is_none()
            && !(is_own_region && self.is_followed_lead(&digest.candidate.node))
        {
            self.hint(
                now,
                &self.config.region,
                digest.candidate.peer_address,
                actions,
            );
        }
        if is_own_region || self.lead_since.is_some() {
            self.role_check_due = now;
        }
    }

    /// Whether `node` is a lead of the region as far as this entry knows, or no lead is
    /// known.
    fn is_followed_lead(&self, node: &str) -> bool {
        let mut leads = self.candidates.iter().take(LEADS_PER_REGION);
        self.candidates.is_empty() || leads.any(|candidate| candidate.node == node)
    }

    /// Adds leads of the local region that were reported by another region.
    fn find_other_leads(&mut self, now: Instant, candidates: &[LeadCandidate]) {
        for candidate in candidates.iter().take(LEADS_PER_REGION) {
            let is_live = self
                .leads
                .live_leads_of(now, &self.config.region)
                .any(|lead| lead.candidate.node == candidate.node);
            if !is_live && candidate.node != self.config.candidate.node {
                self.search.on_address(now, candidate.peer_address);
            }
        }
    }

    fn on_hint(&mut self, now: Instant, hint: &LeadHint) {
        if hint.region != self.config.region {
            self.regions.on_hint(now, &hint.region, &hint.candidates);
            if self.candidates.is_empty() {
                for candidate in &hint.candidates {
                    self.search.on_address(now, candidate.peer_address);
                }
            }
            return;
        }
        if self.has_live_lead(now) && self.lead_since.is_none() {
            return;
        }
        let own = self.own_candidate(now);
        let is_new = self.search.on_hint(now, &hint.candidates, &own);
        if is_new {
            self.heartbeat_due = now;
        }
    }

    pub(super) fn on_lead_rows(&mut self, now: Instant, rows: &[(String, SocketAddr)]) {
        let own = self.config.candidate.peer_address;
        for (region, address) in rows {
            let is_needed =
                *region == self.config.region || !self.regions.is_reachable(now, region);
            if is_needed && *address != own {
                self.search.on_address(now, *address);
            }
        }
        let listed = rows
            .iter()
            .filter(|(region, _)| *region == self.config.region);
        self.lead_row = listed.map(|(_, address)| *address).collect();
        let mut others = self.lead_row.iter().filter(|address| **address != own);
        let is_known = |address: &&SocketAddr| {
            let mut candidates = self.candidates.iter().take(LEADS_PER_REGION);
            candidates.any(|candidate| candidate.peer_address == **address)
        };
        if !others.all(|address| is_known(&address)) {
            // Another entry also acts as a lead of the region.
            self.row_lookup_due = self.row_lookup_due.min(now + NEW_LEAD_ROW_CHECK_INTERVAL);
        }
    }
}

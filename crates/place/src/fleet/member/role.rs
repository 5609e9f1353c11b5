//! The local entry's role, and the leads of its region.

use std::time::Instant;

use crate::fleet::candidate::{self, LEADS, LeadCandidate};
use crate::fleet::member::announce::ROW_WRITE_DELAY;
use crate::fleet::member::{FleetAction, FleetChange, FleetMember};

impl FleetMember {
    /// Becomes or stops being a lead as needed, and updates the region's candidates.
    pub(super) fn update_role(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let own = self.own_candidate(now);
        let top = self.leads.top_lead_of(now, &self.config.region);
        let above = top.filter(|lead| self.leading.is_none() || lead.rank() > own.rank());
        if let Some(lead) = above {
            let appointed = lead.appoints_lead(&own.node) && !self.own.leaving;
            let (candidates, node) = (lead.candidates.clone(), lead.candidate.node.clone());
            self.set_candidates(now, candidates, actions);
            match (self.leading, appointed) {
                (None, true) => self.lead(now, "appointed by the reader", actions),
                (None, false) if self.is_only_reader(now) && !self.own.leaving => {
                    self.lead(now, "leads are not answered by the store", actions);
                }
                (Some(_), false) => self.follow(now, node, actions),
                _ => {}
            }
        } else if self.leading.is_none() && !self.own.leaving {
            let is_lost = !self.candidates.is_empty() && top.is_none();
            let since = self.search.begin(now);
            if is_lost && since == now {
                actions.push(FleetAction::Log(FleetChange::LeadsLost));
            }
            if self.search.should_lead(now, &own, &self.candidates) {
                self.lead(now, "no lead heard", actions);
            }
        }
        if self.leading.is_some() && self.is_first(now) {
            let near = self.leads.live_leads_of(now, &self.config.region);
            let mut leading: Vec<LeadCandidate> = near.map(|lead| lead.candidate.clone()).collect();
            if !self.own.leaving {
                leading.push(self.own_candidate(now));
            }
            let others = self.roster.candidates(now, &self.config.region);
            let candidates = candidate::choose(leading, others);
            self.set_candidates(now, candidates, actions);
        }
        if self.hears_lead(now) {
            self.search.end();
        }
    }

    fn set_candidates(
        &mut self,
        now: Instant,
        candidates: Vec<LeadCandidate>,
        actions: &mut Vec<FleetAction>,
    ) {
        let names = |candidates: &[LeadCandidate]| -> Vec<String> {
            let leads = candidates.iter().take(LEADS);
            leads.map(|candidate| candidate.node.clone()).collect()
        };
        if names(&candidates) != names(&self.candidates) {
            actions.push(FleetAction::Log(FleetChange::LeadsChanged(names(
                &candidates,
            ))));
            // Sent at once, because new leads and the other entries do not know each
            // other yet.
            self.heartbeat_due = self.heartbeat_due.min(now);
            self.digest_due = self.digest_due.min(now);
        }
        self.candidates = candidates;
    }

    fn lead(&mut self, now: Instant, reason: &'static str, actions: &mut Vec<FleetAction>) {
        self.leading = Some(now);
        self.digest_due = now;
        self.list_due = now;
        self.row_lookup_due = now + ROW_WRITE_DELAY;
        actions.push(FleetAction::Log(FleetChange::StartedLeading(reason)));
    }

    fn follow(&mut self, now: Instant, lead: String, actions: &mut Vec<FleetAction>) {
        self.leading = None;
        // Sent at once, so that receivers learn that this entry is no longer a lead.
        self.send_digest(now, actions);
        actions.push(FleetAction::Log(FleetChange::StoppedLeading(lead)));
    }

    /// Detects regions that became silent or are heard from again.
    pub(super) fn update_regions(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.leading.is_some() {
            let live = self.roster.live(now, &self.config.region).count() as u32 + 1;
            self.regions
                .on_own_region(now, live, self.candidates.clone());
        }
        let counted: Vec<String> = self.regions.counted(now).map(str::to_owned).collect();
        let has_met = self.roster.has_entries() || self.search.has_hints() || counted.len() > 1;
        let is_met = self.is_lone && (has_met || self.hears_lead(now));
        if counted != self.counted || is_met {
            self.counted = counted;
            self.is_lone &= !is_met;
            actions.push(FleetAction::ListsChanged);
        }
    }

    /// Whether no other lead of the region ranks above this entry.
    pub(super) fn is_first(&self, now: Instant) -> bool {
        let first = self.leads.top_lead_of(now, &self.config.region);
        first.is_none_or(|lead| !self.own.leaving && lead.rank() < self.own_candidate(now).rank())
    }

    /// Whether this entry has recently read the store while no lead of its region has
    /// store access.
    fn is_only_reader(&self, now: Instant) -> bool {
        let read_at = self.readings.done_at();
        let reads = read_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.readings.pace().reader);
        let mut leads = self.leads.live_leads_of(now, &self.config.region);
        reads && self.reads && leads.all(|lead| !lead.candidate.reads)
    }

    /// Returns this entry as a lead candidate.
    pub(super) fn own_candidate(&self, now: Instant) -> LeadCandidate {
        LeadCandidate {
            reads: self.reads && !self.readings.is_overdue(now),
            leads: self.leading.is_some(),
            ..self.config.candidate.clone()
        }
    }

    pub(super) fn hears_lead(&self, now: Instant) -> bool {
        let region = &self.config.region;
        self.leads.live_leads_of(now, region).next().is_some()
    }
}

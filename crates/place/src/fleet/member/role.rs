//! The local entry's role, and the leads of its region.

use std::time::Instant;

use crate::fleet::candidate::{self, LEADS_PER_REGION, LeadCandidate};
use crate::fleet::member::announce::ROW_WRITE_DELAY;
use crate::fleet::member::{FleetAction, FleetChange, FleetMember};

impl FleetMember {
    /// Becomes or stops being a lead as needed, and updates the region's candidates.
    pub(super) fn update_role(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let own = self.own_candidate(now);
        let top_lead = self.leads.top_lead_of(now, &self.config.region);
        let better_lead =
            top_lead.filter(|lead| self.lead_since.is_none() || lead.rank() > own.rank());
        if let Some(lead) = better_lead {
            let selected = lead.appoints_lead(&own.node) && !self.local_state.leaving;
            let (candidates, node) = (lead.candidates.clone(), lead.candidate.node.clone());
            self.set_candidates(now, candidates, actions);
            match (self.lead_since, selected) {
                (None, true) => self.become_lead(now, "selected by the reader", actions),
                (None, false) if self.is_only_reader(now) && !self.local_state.leaving => {
                    self.become_lead(
                        now,
                        "no lead of the region has access to the store",
                        actions,
                    );
                }
                (Some(_), false) => self.step_down(now, node, actions),
                _ => {}
            }
        } else if self.lead_since.is_none() && !self.local_state.leaving {
            let is_lost = !self.candidates.is_empty() && top_lead.is_none();
            let since = self.search.begin(now);
            if is_lost && since == now {
                actions.push(FleetAction::Log(FleetChange::LeadsLost));
            }
            if self.search.should_lead(now, &own, &self.candidates) {
                self.become_lead(now, "no lead of the region found", actions);
            }
        }
        if self.lead_since.is_some() && self.is_reader(now) {
            let region_leads = self.leads.live_leads_of(now, &self.config.region);
            let mut leading: Vec<LeadCandidate> =
                region_leads.map(|lead| lead.candidate.clone()).collect();
            if !self.local_state.leaving {
                leading.push(self.own_candidate(now));
            }
            let others = self.roster.candidates(now, &self.config.region);
            let candidates = candidate::select_leads(leading, others);
            self.set_candidates(now, candidates, actions);
        }
        if self.has_live_lead(now) {
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
            let leads = candidates.iter().take(LEADS_PER_REGION);
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

    fn become_lead(&mut self, now: Instant, reason: &'static str, actions: &mut Vec<FleetAction>) {
        self.lead_since = Some(now);
        self.digest_due = now;
        self.list_due = now;
        self.row_lookup_due = now + ROW_WRITE_DELAY;
        actions.push(FleetAction::Log(FleetChange::StartedLeading(reason)));
    }

    fn step_down(&mut self, now: Instant, lead: String, actions: &mut Vec<FleetAction>) {
        self.lead_since = None;
        // Sent at once, so that receivers learn that this entry is no longer a lead.
        self.send_digest(now, actions);
        actions.push(FleetAction::Log(FleetChange::StoppedLeading(lead)));
    }

    /// Detects regions that became unreachable or reachable again.
    pub(super) fn update_regions(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if self.lead_since.is_some() {
            let live = self.roster.live(now, &self.config.region).count() as u32 + 1;
            self.regions
                .on_own_region(now, live, self.candidates.clone());
        }
        let has_other_regions = self.regions.active_regions(now).nth(1).is_some();
        let has_peers = self.roster.has_entries() || self.search.has_hints() || has_other_regions;
        let is_first_contact = self.is_isolated && (has_peers || self.has_live_lead(now));
        let listed_regions: Vec<String> = self
            .regions
            .listed_regions(now)
            .map(str::to_owned)
            .collect();
        if listed_regions != self.listed_regions || is_first_contact {
            self.listed_regions = listed_regions;
            self.is_isolated &= !is_first_contact;
            actions.push(FleetAction::ListsChanged);
        }
    }

    /// Whether no other lead of the region ranks above this entry.
    pub(super) fn is_reader(&self, now: Instant) -> bool {
        let first = self.leads.top_lead_of(now, &self.config.region);
        first.is_none_or(|lead| {
            !self.local_state.leaving && lead.rank() < self.own_candidate(now).rank()
        })
    }

    /// Whether this entry has recently read the store while no lead of its region has
    /// store access.
    fn is_only_reader(&self, now: Instant) -> bool {
        let read_at = self.read_scheduler.last_success_at();
        let reads = read_at.is_some_and(|at| {
            now.saturating_duration_since(at) < self.read_scheduler.intervals().reader
        });
        let mut leads = self.leads.live_leads_of(now, &self.config.region);
        reads && self.store_reachable && leads.all(|lead| !lead.candidate.has_store_access)
    }

    /// Returns this entry as a lead candidate.
    pub(super) fn own_candidate(&self, now: Instant) -> LeadCandidate {
        LeadCandidate {
            has_store_access: self.store_reachable && !self.read_scheduler.is_read_overdue(now),
            leads: self.lead_since.is_some(),
            ..self.config.candidate.clone()
        }
    }

    pub(super) fn has_live_lead(&self, now: Instant) -> bool {
        let region = &self.config.region;
        self.leads.live_leads_of(now, region).next().is_some()
    }
}

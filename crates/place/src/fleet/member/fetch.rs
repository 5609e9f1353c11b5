//! Decides what to pull from leads and what to read from the store.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::LEADS_PER_REGION;
use crate::fleet::leads::LeadRecord;
use crate::fleet::member::{FleetAction, FleetChange, FleetMember};
use crate::fleet::pull::{PullContext, PullScope};
use crate::fleet::reading::ReadRole;

/// Time without a lead before an entry watches the operator's rows itself.
const LONE_WATCH_DELAY: Duration = Duration::from_millis(400);
/// Fraction of the maximum proof age after which an entry calls the store itself. The
/// rest leaves time for two calls, one of which may fail.
const PROOF_RENEWAL_FRACTION: f64 = 0.64;
/// Additional fraction over which entries are spread.
const PROOF_JITTER_FRACTION: f64 = 0.06;
/// Time over which entries are spread that can't use the proof of their leads.
const UNUSABLE_PROOF_JITTER: Duration = Duration::from_millis(2000);
/// Additional time over which entries without requests are spread.
const LONE_WATCH_JITTER: Duration = Duration::from_millis(800);

/// Minimum interval at which a follower refetches the registry during a conflict.
const REFETCH_BACKOFF: Duration = Duration::from_millis(500);

impl FleetMember {
    /// Compares the local registry content with that of the leads. A lead asks the other for
    /// departed servers and reads the store again; a follower accepts the content of its leads
    /// if all of them disagree with it.
    pub(super) fn check_conflict(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let mut contradicting = self.leads.contradicting(now, &self.store_progress);
        let first = if self.lead_since.is_some() {
            contradicting.next()
        } else {
            let region_leads = self.leads.live_leads_of(now, &self.config.region);
            let all = region_leads.count();
            let region = &self.config.region;
            let region_leads = contradicting.filter(|lead| lead.region == *region);
            let region_leads: Vec<&LeadRecord> = region_leads.collect();
            region_leads
                .first()
                .copied()
                .filter(|_| region_leads.len() == all)
        };
        let lead = first.map(|lead| lead.candidate.node.clone());
        if let Some(lead) = first.filter(|_| self.lead_since.is_some()) {
            self.pulls.on_conflict(now, lead.view_address());
        }
        if self.conflict.on_check(now, lead.is_some())
            && let Some(lead) = lead
        {
            actions.push(FleetAction::Log(FleetChange::ConflictingLead(lead)));
        }
    }

    /// Whether to read the whole registry from the store.
    fn should_read_all(&self, now: Instant) -> bool {
        if self.lead_since.is_some() {
            return self.store_reachable && self.conflict.is_due(now, self.config.drain);
        }
        self.is_stale(now) && !self.leaves_store_to_leads(now)
    }

    /// Whether this entry has leads and leaves a slow store to them: if all called it, the calls
    /// of the leads would wait behind the others', and every answer would arrive too late.
    fn leaves_store_to_leads(&self, now: Instant) -> bool {
        self.lead_since.is_none() && now < self.own_calls_due && self.has_live_lead(now)
    }

    /// Whether a follower's registry was not confirmed for too long although its leads
    /// have newer reads. Whatever the cause, it then reads the store itself.
    fn is_stale(&self, now: Instant) -> bool {
        let max_age = self.read_scheduler.intervals().member;
        let is_old =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) >= max_age);
        let mut region_leads = self.leads.live_leads_of(now, &self.config.region);
        is_old(self.store_progress.registry_at)
            && region_leads.any(|lead| {
                lead.store_progress.registry_at.is_some()
                    && !is_old(lead.store_progress.registry_at)
            })
    }

    /// Returns the lead to refetch the registry from if the local content is in conflict
    /// and the store cannot be read.
    fn lead_to_refetch_from(&self, now: Instant) -> Option<SocketAddr> {
        if !self.conflict.is_due(now, REFETCH_BACKOFF)
            || (self.lead_since.is_some() && self.store_reachable)
        {
            return None;
        }
        let contradicting = self.leads.contradicting(now, &self.store_progress);
        let is_asked =
            |lead: &&LeadRecord| self.lead_since.is_some() || lead.region == self.config.region;
        let asked = contradicting.filter(is_asked);
        let newest = asked.max_by_key(|lead| (lead.store_progress.registry_at, lead.rank()));
        newest.map(LeadRecord::view_address)
    }

    pub(super) fn start_due_pull(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let context = PullContext {
            region: &self.config.region,
            hash: self.hash,
            leads: self.lead_since.is_some(),
            remote_registry_delay: self.read_scheduler.intervals().deputy,
        };
        let conflicting_lead = self.lead_to_refetch_from(now);
        let next = self.pulls.next_pull(
            now,
            context,
            &self.store_progress,
            &self.leads,
            &self.regions,
            conflicting_lead,
        );
        if let Some(target) = next {
            match target.scope {
                PullScope::Newer | PullScope::Departures => {}
                PullScope::Registry => {
                    self.conflict.on_refetch(now);
                    actions.push(FleetAction::Log(FleetChange::RefetchingRegistry));
                }
                PullScope::All => actions.push(FleetAction::Log(FleetChange::RefetchingAll)),
            }
            actions.push(FleetAction::Pull(target));
        }
    }

    pub(super) fn start_due_reading(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let role = self.read_role(now);
        let should_read_all = self.should_read_all(now);
        let known_at = self.store_progress.registry_at;
        if let Some(call) = self
            .read_scheduler
            .begin_read(now, role, known_at, should_read_all)
        {
            if call.whole {
                self.conflict.on_refetch(now);
                actions.push(FleetAction::Log(FleetChange::RefetchingRegistry));
            }
            actions.push(FleetAction::ReadRegistry(call));
        }
        let is_watching = match role {
            ReadRole::Reader | ReadRole::Deputy => true,
            ReadRole::Follower { stuck, .. } => stuck,
            ReadRole::Alone { used, first } => self.should_watch_alone(now, used, first),
        };
        let is_watching = is_watching || self.needs_proof(now);
        if is_watching != self.is_watching {
            self.is_watching = is_watching;
            actions.push(FleetAction::WatchOperator(is_watching));
        }
    }

    /// Whether an entry that receives requests will soon lack the proof these require. It
    /// then calls the store itself, whether or not others could provide the proof. So does one
    /// that isn't listed for want of a proof if it can't use that of its leads.
    fn needs_proof(&mut self, now: Instant) -> bool {
        let Some(within) = self.local_state.proof_within else {
            return false;
        };
        if self.leaves_store_to_leads(now) {
            return false;
        }
        if !self.is_listed() {
            return self.lacks_usable_proof(now, within);
        }
        let jitter = self.search.jitter(within.mul_f64(PROOF_JITTER_FRACTION));
        let max_age = within.mul_f64(PROOF_RENEWAL_FRACTION) + jitter;
        self.proof_age(now).is_none_or(|age| age >= max_age)
    }

    /// Whether the leads' proof has been unusable for long enough: this entry's bound of the
    /// store's clock contradicts it, and only the store itself can correct the bound.
    fn lacks_usable_proof(&mut self, now: Instant, within: Duration) -> bool {
        let is_unusable = |lead: &LeadRecord| {
            let proved = lead.store_progress.proved;
            proved.is_some() && self.clock.age(now, proved).is_none()
        };
        let is_lacking = self.store_progress.is_complete()
            && self.proof_age(now).is_none_or(|age| age >= within)
            && self.leads.live_leads(now).any(is_unusable);
        if !is_lacking {
            self.proof_unusable_since = None;
            return false;
        }
        let since = *self.proof_unusable_since.get_or_insert(now);
        now.saturating_duration_since(since) >= self.search.jitter(UNUSABLE_PROOF_JITTER)
    }

    /// Whether an entry without a lead watches the operator's rows itself. Entries that
    /// receive requests do so soon; the others wait long enough for a new lead to be
    /// found.
    fn should_watch_alone(&self, now: Instant, used: bool, first: Instant) -> bool {
        if !self.store_progress.is_complete() {
            return now >= first;
        }
        let jitter = if used {
            Duration::ZERO
        } else {
            LONE_WATCH_JITTER
        };
        let delay = LONE_WATCH_DELAY + self.search.jitter(jitter);
        let since = self.search.since();
        since.is_some_and(|since| now.saturating_duration_since(since) >= delay)
    }

    fn read_role(&self, now: Instant) -> ReadRole {
        if self.lead_since.is_some() {
            return if self.is_reader(now) {
                ReadRole::Reader
            } else {
                ReadRole::Deputy
            };
        }
        if self.has_live_lead(now) {
            let mut substitutes = self.candidates.iter().skip(LEADS_PER_REGION);
            let is_substitute =
                substitutes.any(|candidate| candidate.node == self.config.candidate.node);
            let calls = !self.leaves_store_to_leads(now);
            return ReadRole::Follower {
                substitute: calls && is_substitute,
                stuck: calls && self.pulls.is_stuck(now),
            };
        }
        ReadRole::Alone {
            used: self.is_listed(),
            first: self.started_at + self.search.first_read_delay(&self.config.candidate),
        }
    }
}

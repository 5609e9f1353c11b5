//! Selection of the lead from which an entry that is behind pulls newer data.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::leads::{LeadRecord, LeadTable};
use crate::fleet::log::log_version;
use crate::fleet::regions::RegionTable;
use crate::fleet::store_progress::StoreProgress;

/// Half of a region's entries prefer the reader and half the deputy. After this time an
/// entry tries the other one.
const FALLBACK_LEAD_DELAY: Duration = Duration::from_millis(250);
/// Time for which a lead is skipped after a failed pull.
const FAILED_LEAD_BACKOFF: Duration = Duration::from_millis(800);
/// Time behind after which an entry no longer relies on leads and reads the store.
const MAX_TIME_BEHIND: Duration = Duration::from_millis(800);
/// Minimum interval between pulls, so that a lead that announces data it does not return
/// is not polled in a tight loop.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum age of a lead's own operator state before it pulls from other regions. Longer
/// than a watch stays open, because the store normally notifies the leads of each region
/// itself.
const REMOTE_OPERATOR_DELAY: Duration = Duration::from_millis(2500);
/// Time for which a lead's last registry read counts as its current one.
const READING_TTL: Duration = Duration::from_millis(2000);
/// Time after which local state newer than the newest store version read by a lead is
/// considered wrong. Reads by different entries are a second apart.
const MAX_TIME_AHEAD: Duration = Duration::from_millis(3000);

/// Minimum interval between two pulls of departed servers from leads that know other servers.
const CONFLICT_PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of leads an entry asks for departed servers after its start, and after each time in
/// which it may have missed some. It asks those that have run longest; one of them may be wrong or as new as the entry itself.
const MAX_DEPARTURE_PULLS: usize = 3;

/// The data requested from a lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullScope {
    /// Data newer than that of the requester.
    Newer,
    /// The whole server registry and all other newer data, because the local registry may
    /// be wrong.
    Registry,
    /// All data, including data that seems to be known.
    All,
    /// Departed servers and all newer data.
    Departures,
}

impl PullScope {
    /// Whether the answer replaces the local registry.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Registry | Self::All)
    }
}

/// A pull from a lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullTarget {
    /// Address from which the lead serves its data.
    pub view_address: SocketAddr,
    /// The requested data.
    pub scope: PullScope,
}

/// The entry that pulls.
#[derive(Debug, Clone, Copy)]
pub struct PullContext<'a> {
    /// The entry's region.
    pub region: &'a str,
    /// Hash of the entry's name.
    pub hash: u64,
    /// Whether the entry is a lead.
    pub leads: bool,
    /// Minimum age of a lead's own registry state before it pulls from other regions.
    /// While the store answers, its own state is newer than this.
    pub remote_registry_delay: Duration,
}

/// Pull state of an entry, which runs one pull at a time.
#[derive(Debug, Default)]
pub struct PullState {
    active_pull: Option<SocketAddr>,
    last_pull_at: Option<Instant>,
    failed_lead: Option<(SocketAddr, Instant)>,
    behind_since: Option<Instant>,
    ahead_since: Option<Instant>,
    /// Leads that were asked for departed servers.
    departures_asked: Vec<SocketAddr>,
    /// A lead that knows other servers, to be asked for departed ones.
    conflicting_lead: Option<SocketAddr>,
    conflict_pull_at: Option<Instant>,
}

impl PullState {
    /// Records that the pull from the lead at `view_address` ended; `done` if it succeeded.
    pub fn on_pull_finished(&mut self, now: Instant, view_address: SocketAddr, done: bool) {
        self.active_pull = None;
        self.failed_lead = (!done).then_some((view_address, now));
    }

    /// Handles that this entry may have missed departures: the store answers it again, or showed
    /// all rows instead of the changes since its last read. A server that left meanwhile may be
    /// listed again by an earlier heartbeat, which only those know that read its departure.
    pub fn on_departures_missed(&mut self) {
        self.departures_asked.clear();
    }

    /// Handles that the lead at `view_address` has read as much of the store but knows other
    /// servers: one of the two may take the obsolete row of a departed server for a live one's.
    pub fn on_conflict(&mut self, now: Instant, view_address: SocketAddr) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CONFLICT_PULL_INTERVAL;
        if !self.conflict_pull_at.is_some_and(is_recent) {
            self.conflicting_lead = Some(view_address);
        }
    }

    /// Whether leads hold newer data but none has delivered it for too long.
    pub fn is_stuck(&self, now: Instant) -> bool {
        let since = self.behind_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= MAX_TIME_BEHIND)
    }

    /// Whether newer data is pending.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns the next pull, if one is due. The whole registry is pulled from
    /// `conflicting_lead` if that is set.
    pub fn next_pull(
        &mut self,
        now: Instant,
        context: PullContext<'_>,
        known: &StoreProgress,
        leads: &LeadTable,
        regions: &RegionTable,
        conflicting_lead: Option<SocketAddr>,
    ) -> Option<PullTarget> {
        let region_leads = own_region_leads(now, context, leads);
        let is_ahead = self.is_ahead_too_long(now, known, &region_leads);
        let scope = match conflicting_lead {
            Some(_) => PullScope::Registry,
            None if is_ahead => PullScope::All,
            None => PullScope::Newer,
        };
        let newer_leads = leads_ahead(now, context, known, leads, regions, &region_leads);
        if newer_leads.is_empty() && scope == PullScope::Newer {
            self.behind_since = None;
            return self.next_departure_pull(now, context, known, leads);
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_recent = |at: Instant, span| now.saturating_duration_since(at) < span;
        if self.active_pull.is_some()
            || self
                .last_pull_at
                .is_some_and(|at| is_recent(at, MIN_PULL_INTERVAL))
        {
            return None;
        }
        let preferred_lead = region_leads.first().copied();
        let failed_lead = self
            .failed_lead
            .filter(|(_, at)| is_recent(*at, FAILED_LEAD_BACKOFF));
        let may_ask = |lead: &&LeadRecord| {
            failed_lead.is_none_or(|(view_address, _)| lead.view_address() != view_address)
        };
        let view_address = match conflicting_lead {
            Some(view_address) => view_address,
            None if is_ahead => preferred_lead?.view_address(),
            None => newer_leads.into_iter().find(may_ask)?.view_address(),
        };
        let is_fallback = scope == PullScope::Newer
            && preferred_lead
                .is_some_and(|preferred_lead| preferred_lead.view_address() != view_address);
        if is_fallback
            && !context.leads
            && failed_lead.is_none()
            && is_recent(since, FALLBACK_LEAD_DELAY)
        {
            return None;
        }
        self.active_pull = Some(view_address);
        self.last_pull_at = Some(now);
        Some(PullTarget {
            view_address,
            scope,
        })
    }

    /// Returns a pull for departed servers. An entry that starts knows none of them, and
    /// the registry lists a departed server again if it applies an older heartbeat late.
    fn next_departure_pull(
        &mut self,
        now: Instant,
        context: PullContext<'_>,
        known: &StoreProgress,
        leads: &LeadTable,
    ) -> Option<PullTarget> {
        let is_early = |at: Instant| now.saturating_duration_since(at) < MIN_PULL_INTERVAL;
        let is_asking = self.active_pull.is_some() || self.last_pull_at.is_some_and(is_early);
        if is_asking || known.registry_at.is_none() {
            return None;
        }
        if let Some(view_address) = self.conflicting_lead.take() {
            self.conflict_pull_at = Some(now);
            return Some(self.departure_pull(now, view_address));
        }
        if self.departures_asked.len() >= MAX_DEPARTURE_PULLS {
            return None;
        }
        let asked_leads = leads.live_leads(now).filter(|lead| {
            let is_asked = context.leads || lead.region == context.region;
            is_asked && !self.departures_asked.contains(&lead.view_address())
        });
        let view_address = asked_leads
            .min_by_key(|lead| lead.incarnation())?
            .view_address();
        self.departures_asked.push(view_address);
        Some(self.departure_pull(now, view_address))
    }

    fn departure_pull(&mut self, now: Instant, view_address: SocketAddr) -> PullTarget {
        self.active_pull = Some(view_address);
        self.last_pull_at = Some(now);
        PullTarget {
            view_address,
            scope: PullScope::Departures,
        }
    }

    /// Whether the local state has been ahead of the store at all leads for too long.
    fn is_ahead_too_long(
        &mut self,
        now: Instant,
        known: &StoreProgress,
        region_leads: &[&LeadRecord],
    ) -> bool {
        let is_ahead =
            !region_leads.is_empty() && region_leads.iter().all(|lead| is_ahead(now, known, lead));
        self.ahead_since = is_ahead.then(|| self.ahead_since.unwrap_or(now));
        let since = self.ahead_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= MAX_TIME_AHEAD)
    }
}

/// Returns the leads of the local region in this entry's order of preference.
fn own_region_leads<'a>(
    now: Instant,
    context: PullContext<'a>,
    leads: &'a LeadTable,
) -> Vec<&'a LeadRecord> {
    let mut region_leads: Vec<&LeadRecord> = leads.live_leads_of(now, context.region).collect();
    region_leads.sort_by_key(|lead| Reverse(lead.rank()));
    if !context.leads && region_leads.len() > 1 && !context.hash.is_multiple_of(2) {
        region_leads.swap(0, 1);
    }
    region_leads
}

/// Returns the leads with newer data. For a lead these include leads of other regions.
fn leads_ahead<'a>(
    now: Instant,
    context: PullContext<'_>,
    known: &StoreProgress,
    leads: &'a LeadTable,
    regions: &RegionTable,
    region_leads: &[&'a LeadRecord],
) -> Vec<&'a LeadRecord> {
    let lacks = |lead: &&&LeadRecord| {
        known.is_behind_registry(&lead.store_progress)
            || known.is_behind_operator(&lead.store_progress)
            || regions.is_behind(&lead.lists)
    };
    let mut newer_leads: Vec<&LeadRecord> = region_leads.iter().filter(lacks).copied().collect();
    if context.leads {
        let remote_leads = leads
            .live_leads(now)
            .filter(|lead| lead.region != context.region);
        newer_leads
            .extend(remote_leads.filter(|lead| needs_remote(now, context, known, lead, regions)));
    }
    newer_leads
}

/// Whether the local registry is newer than any version the lead can have read.
fn is_ahead(now: Instant, known: &StoreProgress, lead: &LeadRecord) -> bool {
    let read_at = lead.store_progress.registry_at;
    read_at.is_some_and(|at| now.saturating_duration_since(at) < READING_TTL)
        && known.registry >= log_version(lead.store_progress.registry_read.next())
}

/// Whether a lead of another region has newer data that the local region's leads cannot
/// get themselves.
fn needs_remote(
    now: Instant,
    context: PullContext<'_>,
    known: &StoreProgress,
    lead: &LeadRecord,
    regions: &RegionTable,
) -> bool {
    let is_old = |at: Option<Instant>, most: Duration| {
        at.is_none_or(|at| now.saturating_duration_since(at) >= most)
    };
    let registry = known.is_behind_registry(&lead.store_progress)
        && is_old(known.registry_at, context.remote_registry_delay);
    let operator = known.is_behind_operator(&lead.store_progress)
        && (is_old(known.operator_at, REMOTE_OPERATOR_DELAY)
            || lead.store_progress.desired > known.desired);
    registry || operator || regions.is_behind(&lead.lists)
}

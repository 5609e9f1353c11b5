//! From whom an entry that is behind takes what it lacks.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::known::KnownStore;
use crate::fleet::leads::{LeadRecord, LeadTable};
use crate::fleet::log::log_version;
use crate::fleet::regions::RegionTable;

/// Half of a region's entries ask the reader first, half the deputy; who has waited
/// this long for its own asks the other.
const FALLBACK_LEAD_DELAY: Duration = Duration::from_millis(250);
/// A lead that didn't answer isn't asked again for this long.
const FAILED_LEAD_BACKOFF: Duration = Duration::from_millis(800);
/// An entry that is behind for so long doesn't wait for leads any more.
const MAX_TIME_BEHIND: Duration = Duration::from_millis(800);
/// Shortest time between two questions, so that a lead that promises what it doesn't
/// tell isn't asked without end.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(50);
/// A lead takes what other regions know of the operator's rows only where its own
/// knowledge is this old, longer than its watch stays open: the store tells each
/// region's leads itself.
const REMOTE_OPERATOR_DELAY: Duration = Duration::from_millis(2500);
/// A lead's reading of the store counts as its newest word for this long.
const READING_TTL: Duration = Duration::from_millis(2000);
/// What an entry knows that is newer than the store's newest version at a lead is no
/// word of the store's, once it lasts for this time: readings of different entries are
/// a second apart.
const MAX_TIME_AHEAD: Duration = Duration::from_millis(3000);

/// Leads that an entry asks, in its life, which servers have left: those that have run longest,
/// one of which may be wrong or as new as the entry.
const MAX_DEPARTURE_PULLS: usize = 3;

/// What a lead is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullScope {
    /// What it knows beyond the one that asks.
    Newer,
    /// All of the servers' registry, besides news: what is known of it is in doubt.
    Registry,
    /// Everything, also what is thought known.
    All,
    /// Which servers have left, besides news.
    Departures,
}

impl PullScope {
    /// Whether what is told replaces what is known of the registry.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Registry | Self::All)
    }
}

/// A question to a lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullTarget {
    /// Where the lead tells what it knows.
    pub view: SocketAddr,
    /// What it is asked for.
    pub scope: PullScope,
}

/// Who asks.
#[derive(Debug, Clone, Copy)]
pub struct PullContext<'a> {
    /// Its region.
    pub region: &'a str,
    /// Its hash.
    pub hash: u64,
    /// Whether it leads.
    pub leads: bool,
    /// A lead takes what other regions know of the registry where its own knowledge is this
    /// old: it hears from the store more often while that answers.
    pub remote_registry_delay: Duration,
}

/// The questions of one entry, one at a time.
#[derive(Debug, Default)]
pub struct PullState {
    asked: Option<SocketAddr>,
    asked_at: Option<Instant>,
    failed_lead: Option<(SocketAddr, Instant)>,
    behind_since: Option<Instant>,
    ahead_since: Option<Instant>,
    /// Leads that were asked which servers have left.
    departures_asked: Vec<SocketAddr>,
}

impl PullState {
    /// The lead at `view` has answered, or not.
    pub fn on_pull_finished(&mut self, now: Instant, view: SocketAddr, done: bool) {
        self.asked = None;
        self.failed_lead = (!done).then_some((view, now));
    }

    /// Whether leads know more, and none has told it for too long.
    pub fn is_stuck(&self, now: Instant) -> bool {
        let since = self.behind_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= MAX_TIME_BEHIND)
    }

    /// Whether something is waited for.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whom to ask now, if anybody; `conflicting_lead` is asked for all of the registry.
    pub fn next_pull(
        &mut self,
        now: Instant,
        context: PullContext<'_>,
        known: &KnownStore,
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
        let leads_with_news = leads_ahead(now, context, known, leads, regions, &region_leads);
        if leads_with_news.is_empty() && scope == PullScope::Newer {
            self.behind_since = None;
            return self.next_departure_pull(now, context, known, leads);
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_recent = |at: Instant, span| now.saturating_duration_since(at) < span;
        if self.asked.is_some()
            || self
                .asked_at
                .is_some_and(|at| is_recent(at, MIN_PULL_INTERVAL))
        {
            return None;
        }
        let first = region_leads.first().copied();
        let failed_lead = self
            .failed_lead
            .filter(|(_, at)| is_recent(*at, FAILED_LEAD_BACKOFF));
        let may_ask = |lead: &&LeadRecord| failed_lead.is_none_or(|(view, _)| lead.view() != view);
        let view = match conflicting_lead {
            Some(view) => view,
            None if is_ahead => first?.view(),
            None => leads_with_news.into_iter().find(may_ask)?.view(),
        };
        let is_other = scope == PullScope::Newer && first.is_some_and(|first| first.view() != view);
        if is_other
            && !context.leads
            && failed_lead.is_none()
            && is_recent(since, FALLBACK_LEAD_DELAY)
        {
            return None;
        }
        self.asked = Some(view);
        self.asked_at = Some(now);
        Some(PullTarget { view, scope })
    }

    /// Whom to ask which servers have left: an entry that starts knows none, and the registry
    /// lists one again where it performs an older heartbeat late.
    fn next_departure_pull(
        &mut self,
        now: Instant,
        context: PullContext<'_>,
        known: &KnownStore,
        leads: &LeadTable,
    ) -> Option<PullTarget> {
        let is_early = |at: Instant| now.saturating_duration_since(at) < MIN_PULL_INTERVAL;
        let is_asking = self.asked.is_some() || self.asked_at.is_some_and(is_early);
        if self.departures_asked.len() >= MAX_DEPARTURE_PULLS
            || is_asking
            || known.registry_at.is_none()
        {
            return None;
        }
        let heard = leads.live_leads(now).filter(|lead| {
            let is_asked = context.leads || lead.region == context.region;
            is_asked && !self.departures_asked.contains(&lead.view())
        });
        let view = heard.min_by_key(|lead| lead.incarnation())?.view();
        self.departures_asked.push(view);
        self.asked = Some(view);
        self.asked_at = Some(now);
        Some(PullTarget {
            view,
            scope: PullScope::Departures,
        })
    }

    /// Whether what is known has been ahead of the store's word at all leads for too long.
    fn is_ahead_too_long(
        &mut self,
        now: Instant,
        known: &KnownStore,
        region_leads: &[&LeadRecord],
    ) -> bool {
        let is_ahead =
            !region_leads.is_empty() && region_leads.iter().all(|lead| is_ahead(now, known, lead));
        self.ahead_since = is_ahead.then(|| self.ahead_since.unwrap_or(now));
        let since = self.ahead_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= MAX_TIME_AHEAD)
    }
}

/// The leads of the own region, in the order in which this entry asks them.
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

/// The leads that know more than this entry; for a lead also those of other regions.
fn leads_ahead<'a>(
    now: Instant,
    context: PullContext<'_>,
    known: &KnownStore,
    leads: &'a LeadTable,
    regions: &RegionTable,
    region_leads: &[&'a LeadRecord],
) -> Vec<&'a LeadRecord> {
    let lacks = |lead: &&&LeadRecord| {
        known.is_behind_registry(&lead.known)
            || known.is_behind_operator(&lead.known)
            || regions.is_behind(&lead.lists)
    };
    let mut leads_with_news: Vec<&LeadRecord> =
        region_leads.iter().filter(lacks).copied().collect();
    if context.leads {
        let remote_leads = leads
            .live_leads(now)
            .filter(|lead| lead.region != context.region);
        leads_with_news
            .extend(remote_leads.filter(|lead| needs_remote(now, context, known, lead, regions)));
    }
    leads_with_news
}

/// Whether the entry knows what no reading of the lead can have shown yet.
fn is_ahead(now: Instant, known: &KnownStore, lead: &LeadRecord) -> bool {
    let read_at = lead.known.registry_at;
    read_at.is_some_and(|at| now.saturating_duration_since(at) < READING_TTL)
        && known.registry >= log_version(lead.known.registry_read.saturating_add(1))
}

/// Whether a lead of another region tells something that this region's leads can't hear
/// themselves.
fn needs_remote(
    now: Instant,
    context: PullContext<'_>,
    known: &KnownStore,
    lead: &LeadRecord,
    regions: &RegionTable,
) -> bool {
    let is_old = |at: Option<Instant>, most: Duration| {
        at.is_none_or(|at| now.saturating_duration_since(at) >= most)
    };
    let registry = known.is_behind_registry(&lead.known)
        && is_old(known.registry_at, context.remote_registry_delay);
    let operator = known.is_behind_operator(&lead.known)
        && (is_old(known.operator_at, REMOTE_OPERATOR_DELAY) || lead.known.desired > known.desired);
    registry || operator || regions.is_behind(&lead.lists)
}

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
const OTHER_AFTER: Duration = Duration::from_millis(250);
/// A lead that didn't answer isn't asked again for this long.
const AVOIDED_FOR: Duration = Duration::from_millis(800);
/// An entry that is behind for so long doesn't wait for leads any more.
const BEHIND_MOST: Duration = Duration::from_millis(800);
/// Shortest time between two questions, so that a lead that promises what it doesn't
/// tell isn't asked without end.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// A lead takes what other regions know of the operator's rows only where its own
/// knowledge is this old, longer than its watch stays open: the store tells each
/// region's leads itself.
const FAR_AFTER: Duration = Duration::from_millis(2500);
/// A lead's reading of the store counts as its newest word for this long.
const READ_LIFE: Duration = Duration::from_millis(2000);
/// What an entry knows that is newer than the store's newest version at a lead is no
/// word of the store's, once it lasts for this time: readings of different entries are
/// a second apart.
const AHEAD_MOST: Duration = Duration::from_millis(3000);

/// Leads that an entry asks, in its life, which servers have left: those that have run longest,
/// one of which may be wrong or as new as the entry.
const ENDS_ASKED: usize = 3;

/// What a lead is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullScope {
    /// What it knows beyond the one that asks.
    News,
    /// All of the servers' registry, besides news: what is known of it is in doubt.
    Registry,
    /// Everything, also what is thought known.
    All,
    /// Which servers have left, besides news.
    Ends,
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
pub struct FollowerPlace<'a> {
    /// Its region.
    pub region: &'a str,
    /// Its hash.
    pub hash: u64,
    /// Whether it leads.
    pub leads: bool,
    /// A lead takes what other regions know of the registry where its own knowledge is this
    /// old: it hears from the store more often while that answers.
    pub far_after: Duration,
}

/// The questions of one entry, one at a time.
#[derive(Debug, Default)]
pub struct PullState {
    asked: Option<SocketAddr>,
    asked_at: Option<Instant>,
    avoided: Option<(SocketAddr, Instant)>,
    behind_since: Option<Instant>,
    ahead_since: Option<Instant>,
    /// Leads that were asked which servers have left.
    ends_asked: Vec<SocketAddr>,
}

impl PullState {
    /// The lead at `view` has answered, or not.
    pub fn on_pulled(&mut self, now: Instant, view: SocketAddr, done: bool) {
        self.asked = None;
        self.avoided = (!done).then_some((view, now));
    }

    /// Whether leads know more, and none has told it for too long.
    pub fn is_stuck(&self, now: Instant) -> bool {
        let since = self.behind_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= BEHIND_MOST)
    }

    /// Whether something is waited for.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whom to ask now, if anybody; `doubted` is asked for all of the registry.
    pub fn next(
        &mut self,
        now: Instant,
        place: FollowerPlace<'_>,
        known: &KnownStore,
        leads: &LeadTable,
        regions: &RegionTable,
        doubted: Option<SocketAddr>,
    ) -> Option<PullTarget> {
        let near = near_leads(now, place, leads);
        let is_ahead = self.is_ahead_for_long(now, known, &near);
        let scope = match doubted {
            Some(_) => PullScope::Registry,
            None if is_ahead => PullScope::All,
            None => PullScope::News,
        };
        let ahead = leads_ahead(now, place, known, leads, regions, &near);
        if ahead.is_empty() && scope == PullScope::News {
            self.behind_since = None;
            return self.next_ends(now, place, known, leads);
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_recent = |at: Instant, span| now.saturating_duration_since(at) < span;
        if self.asked.is_some() || self.asked_at.is_some_and(|at| is_recent(at, ASK_PAUSE)) {
            return None;
        }
        let first = near.first().copied();
        let avoided = self.avoided.filter(|(_, at)| is_recent(*at, AVOIDED_FOR));
        let is_avoided = |lead: &&LeadRecord| avoided.is_none_or(|(view, _)| lead.view() != view);
        let view = match doubted {
            Some(view) => view,
            None if is_ahead => first?.view(),
            None => ahead.into_iter().find(is_avoided)?.view(),
        };
        let is_other = scope == PullScope::News && first.is_some_and(|first| first.view() != view);
        if is_other && !place.leads && avoided.is_none() && is_recent(since, OTHER_AFTER) {
            return None;
        }
        self.asked = Some(view);
        self.asked_at = Some(now);
        Some(PullTarget { view, scope })
    }

    /// Whom to ask which servers have left: an entry that starts knows none, and the registry
    /// lists one again where it performs an older heartbeat late.
    fn next_ends(
        &mut self,
        now: Instant,
        place: FollowerPlace<'_>,
        known: &KnownStore,
        leads: &LeadTable,
    ) -> Option<PullTarget> {
        let is_early = |at: Instant| now.saturating_duration_since(at) < ASK_PAUSE;
        let is_asking = self.asked.is_some() || self.asked_at.is_some_and(is_early);
        if self.ends_asked.len() >= ENDS_ASKED || is_asking || known.registry_at.is_none() {
            return None;
        }
        let heard = leads.live_leads(now).filter(|lead| {
            let is_asked = place.leads || lead.region == place.region;
            is_asked && !self.ends_asked.contains(&lead.view())
        });
        let view = heard.min_by_key(|lead| lead.incarnation())?.view();
        self.ends_asked.push(view);
        self.asked = Some(view);
        self.asked_at = Some(now);
        Some(PullTarget {
            view,
            scope: PullScope::Ends,
        })
    }

    /// Whether what is known has been ahead of the store's word at all leads for too long.
    fn is_ahead_for_long(
        &mut self,
        now: Instant,
        known: &KnownStore,
        near: &[&LeadRecord],
    ) -> bool {
        let is_ahead = !near.is_empty() && near.iter().all(|lead| is_ahead(now, known, lead));
        self.ahead_since = is_ahead.then(|| self.ahead_since.unwrap_or(now));
        let since = self.ahead_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= AHEAD_MOST)
    }
}

/// The leads of the own region, in the order in which this entry asks them.
fn near_leads<'a>(
    now: Instant,
    place: FollowerPlace<'a>,
    leads: &'a LeadTable,
) -> Vec<&'a LeadRecord> {
    let mut near: Vec<&LeadRecord> = leads.live_leads_of(now, place.region).collect();
    near.sort_by_key(|lead| Reverse(lead.rank()));
    if !place.leads && near.len() > 1 && !place.hash.is_multiple_of(2) {
        near.swap(0, 1);
    }
    near
}

/// The leads that know more than this entry; for a lead also those of other regions.
fn leads_ahead<'a>(
    now: Instant,
    place: FollowerPlace<'_>,
    known: &KnownStore,
    leads: &'a LeadTable,
    regions: &RegionTable,
    near: &[&'a LeadRecord],
) -> Vec<&'a LeadRecord> {
    let lacks = |lead: &&&LeadRecord| {
        known.is_behind_registry(&lead.known)
            || known.is_behind_operator(&lead.known)
            || regions.is_behind(&lead.lists)
    };
    let mut ahead: Vec<&LeadRecord> = near.iter().filter(lacks).copied().collect();
    if place.leads {
        let far = leads
            .live_leads(now)
            .filter(|lead| lead.region != place.region);
        ahead.extend(far.filter(|lead| lacks_far(now, place, known, lead, regions)));
    }
    ahead
}

/// Whether the entry knows what no reading of the lead can have shown yet.
fn is_ahead(now: Instant, known: &KnownStore, lead: &LeadRecord) -> bool {
    let read_at = lead.known.registry_at;
    read_at.is_some_and(|at| now.saturating_duration_since(at) < READ_LIFE)
        && known.registry >= log_version(lead.known.registry_read.saturating_add(1))
}

/// Whether a lead of another region tells something that this region's leads can't hear
/// themselves.
fn lacks_far(
    now: Instant,
    place: FollowerPlace<'_>,
    known: &KnownStore,
    lead: &LeadRecord,
    regions: &RegionTable,
) -> bool {
    let is_old = |at: Option<Instant>, most: Duration| {
        at.is_none_or(|at| now.saturating_duration_since(at) >= most)
    };
    let registry =
        known.is_behind_registry(&lead.known) && is_old(known.registry_at, place.far_after);
    let operator = known.is_behind_operator(&lead.known)
        && (is_old(known.operator_at, FAR_AFTER) || lead.known.desired > known.desired);
    registry || operator || regions.is_behind(&lead.lists)
}

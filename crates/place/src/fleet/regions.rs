//! State of each region's entries and leads.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fleet::candidate::LeadCandidate;
use crate::fleet::list::{EntryList, ListVersion, ListedEntry};
use crate::fleet::message::RegionSummary;
use crate::fleet::store_progress::millis;

/// Time without a digest from its leads after which a region counts as lost. Its entries
/// are then neither advertised to callers nor counted in shared rate limits. Longer than
/// a region needs to replace lost leads.
const REGION_TIMEOUT: Duration = Duration::from_millis(3500);
/// Largest accepted increase of a list version. A larger one comes from a corrupt
/// message, and accepting it would block all later lists.
const MAX_VERSION_STEP: u64 = 1 << 20;
/// Maximum number of leads remembered per region, including silent ones.
const MAX_CANDIDATES: usize = 8;

/// State of one region.
#[derive(Debug, Default)]
struct RegionRecord {
    list: EntryList,
    /// Whether the region's leads have published or checked the list since they were last silent.
    is_list_current: bool,
    /// The version that they have, while the list isn't current.
    awaited_list: Option<ListVersion>,
    last_contact_at: Option<Instant>,
    live_entries: u32,
    candidates: Vec<LeadCandidate>,
}

/// State of all regions.
#[derive(Debug)]
pub struct RegionTable {
    own_region: String,
    regions: BTreeMap<String, RegionRecord>,
}

impl RegionRecord {
    /// Records that the region's leads have published or checked the list `version`. A list from
    /// before they were silent becomes current only if it is that one.
    fn on_list_confirmed(&mut self, version: ListVersion) {
        self.is_list_current |= version == self.list.version;
        self.awaited_list = (!self.is_list_current).then_some(version);
    }
}

impl RegionTable {
    /// Creates a table of `regions`; `own_region` is the local region.
    pub fn new(own_region: &str, regions: &[String]) -> Self {
        let names = regions.iter().map(String::as_str).chain([own_region]);
        let records = names.map(|name| {
            let mut record = RegionRecord::default();
            name.clone_into(&mut record.list.region);
            (name.to_owned(), record)
        });
        Self {
            own_region: own_region.to_owned(),
            regions: records.collect(),
        }
    }

    /// Applies a lead's summary of a region unless newer information is known.
    pub fn on_summary(&mut self, now: Instant, summary: &RegionSummary) {
        let Some(record) = self.regions.get_mut(&summary.region) else {
            return;
        };
        let last_contact_at = now.checked_sub(Duration::from_millis(u64::from(summary.age_ms)));
        if summary.age_ms == u32::MAX
            || last_contact_at.is_none()
            || last_contact_at < record.last_contact_at
        {
            return;
        }
        let silent_since = record.last_contact_at.map(|at| at + REGION_TIMEOUT);
        let was_silent = silent_since.is_some_and(|since| last_contact_at >= Some(since));
        if was_silent {
            record.is_list_current = false;
        }
        if summary.is_list_current {
            record.on_list_confirmed(summary.list);
        }
        record.last_contact_at = last_contact_at;
        record.live_entries = summary.live_entries;
        if !summary.candidates.is_empty() {
            record.candidates.clone_from(&summary.candidates);
            record.candidates.truncate(MAX_CANDIDATES);
        }
    }

    /// Adds hinted candidates for an unreachable region.
    pub fn on_hint(&mut self, now: Instant, region: &str, candidates: &[LeadCandidate]) {
        if self.is_reachable(now, region) {
            return;
        }
        let Some(record) = self.regions.get_mut(region) else {
            return;
        };
        for candidate in candidates {
            record
                .candidates
                .retain(|known| known.node != candidate.node);
            record.candidates.insert(0, candidate.clone());
        }
        record.candidates.truncate(MAX_CANDIDATES);
    }

    /// Updates the local region, of which this entry is a lead, with `live_entries` entries and
    /// `candidates`.
    pub fn on_own_region(
        &mut self,
        now: Instant,
        live_entries: u32,
        candidates: Vec<LeadCandidate>,
    ) {
        if let Some(record) = self.regions.get_mut(&self.own_region) {
            record.last_contact_at = Some(now);
            record.live_entries = live_entries;
            record.candidates = candidates;
        }
    }

    /// Records that a lead of the local region has published or checked the list `version`.
    pub fn on_own_list_confirmed(&mut self, version: ListVersion) {
        if let Some(record) = self.regions.get_mut(&self.own_region) {
            record.on_list_confirmed(version);
        }
    }

    /// Applies a list; returns whether it is newer than the known one.
    pub fn on_list(&mut self, list: EntryList) -> bool {
        let Some(record) = self.regions.get_mut(&list.region) else {
            return false;
        };
        let known = record.list.version;
        let is_implausible =
            known.number > 0 && list.version.number > known.number.saturating_add(MAX_VERSION_STEP);
        if list.version <= known || is_implausible {
            return false;
        }
        if list.region == self.own_region {
            // Another region may send what the own leads knew before they started again.
            record.is_list_current = false;
        }
        record.list = list;
        if record.awaited_list == Some(record.list.version) {
            record.on_list_confirmed(record.list.version);
        }
        true
    }

    /// Returns the newest list of a region's entries.
    pub fn list(&self, region: &str) -> Option<&EntryList> {
        self.regions.get(region).map(|record| &record.list)
    }

    /// Returns the lists that are newer than the versions in `known`.
    pub fn lists_since(&self, known: &[(String, ListVersion)]) -> Vec<EntryList> {
        let version_of = |region: &str| {
            let found = known.iter().find(|(name, _)| name == region);
            found.map_or(ListVersion::default(), |(_, version)| *version)
        };
        let lists = self.regions.values().map(|record| &record.list);
        lists
            .filter(|list| list.version > version_of(&list.region))
            .cloned()
            .collect()
    }

    /// Returns the versions of all lists.
    pub fn versions(&self) -> Vec<(String, ListVersion)> {
        let lists = self.regions.values().map(|record| &record.list);
        lists
            .map(|list| (list.region.clone(), list.version))
            .collect()
    }

    /// Whether any version in `lists` is newer than the local one.
    pub fn is_behind(&self, lists: &[(String, ListVersion)]) -> bool {
        lists.iter().any(|(region, version)| {
            let known = self.regions.get(region);
            known.is_some_and(|record| *version > record.list.version)
        })
    }

    /// Whether a lead of `region` sent a message recently.
    pub fn is_reachable(&self, now: Instant, region: &str) -> bool {
        let last_contact_at = self
            .regions
            .get(region)
            .and_then(|record| record.last_contact_at);
        last_contact_at.is_some_and(|at| now.saturating_duration_since(at) < REGION_TIMEOUT)
    }

    /// Returns the regions whose entries count: the reachable ones, and the local one.
    pub fn active_regions(&self, now: Instant) -> impl Iterator<Item = &str> {
        let names = self.regions.keys().map(String::as_str);
        names.filter(move |name| *name == self.own_region || self.is_reachable(now, name))
    }

    /// Returns the entries that receive requests, with their regions. A region that comes back,
    /// for example from a loss of power, is left out until its leads know which of its entries
    /// have come back with it.
    pub fn listed(&self, now: Instant) -> impl Iterator<Item = (&str, &ListedEntry)> {
        self.listed_regions(now).flat_map(move |name| {
            let list = self.list(name).map_or(&[][..], |list| &list.entries);
            list.iter().map(move |entry| (name, entry))
        })
    }

    /// Returns the regions whose entries are listed.
    pub fn listed_regions(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.active_regions(now).filter(|name| {
            let record = self.regions.get(*name);
            *name == self.own_region || record.is_some_and(|record| record.is_list_current)
        })
    }

    /// Returns the number of live entries in all regions that count.
    pub fn live_entries(&self, now: Instant) -> u32 {
        let active_regions = self
            .active_regions(now)
            .filter_map(|name| self.regions.get(name));
        active_regions.map(|record| record.live_entries).sum()
    }

    /// Returns the last known leads and substitutes of a region.
    pub fn candidates(&self, region: &str) -> &[LeadCandidate] {
        self.regions
            .get(region)
            .map_or(&[][..], |record| &record.candidates)
    }

    /// Returns all regions except the local one.
    pub fn other_regions(&self) -> impl Iterator<Item = &str> {
        let names = self.regions.keys().map(String::as_str);
        names.filter(|name| *name != self.own_region)
    }

    /// Returns summaries of all regions for a digest. Leads of other regions are included
    /// only if `to_leads` is set.
    pub fn summaries(&self, now: Instant, to_leads: bool) -> Vec<RegionSummary> {
        let summary = |(name, record): (&String, &RegionRecord)| RegionSummary {
            region: name.clone(),
            age_ms: record
                .last_contact_at
                .map_or(u32::MAX, |at| millis(now.saturating_duration_since(at))),
            live_entries: record.live_entries,
            list: record.list.version,
            is_list_current: record.is_list_current,
            candidates: if to_leads || *name == self.own_region {
                record.candidates.clone()
            } else {
                Vec::new()
            },
        };
        self.regions.iter().map(summary).collect()
    }
}

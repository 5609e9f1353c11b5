//! Sending of heartbeats, and a lead's digests, lists and store rows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::LEADS_PER_REGION;
use crate::fleet::list::{EntryList, ListVersion, list_entries};
use crate::fleet::member::{FleetAction, FleetChange, FleetMember, HEARTBEAT_INTERVAL};
use crate::fleet::message::{EntryHeartbeat, PeerMessage, RegionDigest};

/// Minimum interval between digests; changes are otherwise sent at once.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a new lead lists its region's entries if a list exists already: two
/// heartbeat intervals, because an incomplete list would direct callers away from the
/// missing entries.
const LIST_DELAY: Duration = Duration::from_millis(1300);
/// The same if no list exists yet, so that new callers are directed to some entry soon.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a lead checks the leads stored in the store.
const ROW_CHECK_INTERVAL: Duration = Duration::from_secs(15);
/// The same for a new lead, and how long it counts as new. After a start without seeds a
/// region may have many leads.
pub(super) const NEW_LEAD_ROW_CHECK_INTERVAL: Duration = Duration::from_secs(4);
const NEW_LEAD_PERIOD: Duration = Duration::from_secs(10);
/// Time after which a lead stores its row, so that short-lived leads in the first second
/// of a fleet store none.
pub(super) const ROW_WRITE_DELAY: Duration = Duration::from_millis(1500);

impl FleetMember {
    /// Publishes a list of the region's entries if this entry is the reader.
    pub(super) fn update_list(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(since) = self.lead_since else {
            return;
        };
        if now < self.list_due || !self.is_reader(now) {
            return;
        }
        self.list_due = now + HEARTBEAT_INTERVAL;
        let region = &self.config.region;
        let version = self
            .regions
            .list(region)
            .map_or(ListVersion::default(), |list| list.version);
        let delay = if version == ListVersion::default() {
            FIRST_LIST_DELAY
        } else {
            LIST_DELAY
        };
        if now.saturating_duration_since(since) < delay {
            self.list_due = since + delay;
            return;
        }
        let own = self.own_heartbeat(now);
        let mut heartbeats: Vec<&EntryHeartbeat> = self.roster.live(now, region).collect();
        heartbeats.push(&own);
        let entries = list_entries(&heartbeats);
        if self
            .regions
            .list(region)
            .is_some_and(|list| list.entries == entries)
        {
            self.regions.on_own_list_confirmed(version);
            return;
        }
        let named = entries.iter().filter(|entry| entry.named).count();
        actions.push(FleetAction::Log(FleetChange::ListPublished(
            entries.len(),
            named,
        )));
        let version = ListVersion {
            number: version.number + 1,
            author: self.hash,
        };
        self.regions.on_list(EntryList {
            region: region.clone(),
            version,
            entries,
        });
        self.regions.on_own_list_confirmed(version);
        self.digest_due = now;
        actions.push(FleetAction::ListsChanged);
    }

    fn own_heartbeat(&self, now: Instant) -> EntryHeartbeat {
        EntryHeartbeat {
            incarnation: self.config.incarnation,
            candidate: self.own_candidate(now),
            region: self.config.region.clone(),
            caller_address: self.config.caller_address,
            rate: self.local_state.rate,
            ready: self.local_state.ready,
            leaving: self.local_state.leaving,
            is_searching: !self.has_live_lead(now),
            stamp: self.local_state.stamp.clone(),
        }
    }

    pub(super) fn send_due_heartbeat(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        if now < self.heartbeat_due {
            return;
        }
        let is_searching = !self.has_live_lead(now);
        let interval = if is_searching && self.lead_since.is_none() {
            self.search.heartbeat_interval(now, HEARTBEAT_INTERVAL)
        } else {
            HEARTBEAT_INTERVAL
        };
        self.heartbeat_due = now + interval;
        let mut targets = self.own_region_leads(now);
        if is_searching {
            targets.extend(
                self.candidates
                    .iter()
                    .map(|candidate| candidate.peer_address),
            );
            targets.extend(self.search.seeds());
            targets.extend(self.search.hinted(now));
        }
        let targets = self.unique_peers(targets);
        let heartbeat = PeerMessage::Heartbeat(Box::new(self.own_heartbeat(now)));
        if self.local_state.leaving {
            // Sent twice: callers would be directed here for seconds if a lead received
            // neither.
            actions.push(FleetAction::Send(targets.clone(), heartbeat.clone()));
        }
        actions.push(FleetAction::Send(targets, heartbeat));
    }

    /// Returns the addresses of the local region's leads, from digests and from the
    /// current candidates.
    pub(super) fn own_region_leads(&self, now: Instant) -> Vec<SocketAddr> {
        let region = &self.config.region;
        let live_leads = self
            .leads
            .live_leads_of(now, region)
            .map(|lead| lead.candidate.peer_address);
        let selected = self
            .candidates
            .iter()
            .take(LEADS_PER_REGION)
            .map(|candidate| candidate.peer_address);
        live_leads.chain(selected).collect()
    }

    pub(super) fn digest(&self, now: Instant, to_leads: bool) -> PeerMessage {
        PeerMessage::Digest(Box::new(RegionDigest {
            incarnation: self.config.incarnation,
            candidate: self.own_candidate(now),
            region: self.config.region.clone(),
            leaving: self.local_state.leaving,
            store: self.store_progress.to_report(now),
            regions: self.regions.summaries(now, to_leads),
        }))
    }

    /// Returns when this lead sends its next digest unless a change occurs before.
    pub(super) fn next_digest(&self) -> Option<Instant> {
        self.lead_since?;
        let earliest = self.last_digest_at.map(|at| at + MIN_DIGEST_INTERVAL);
        Some(earliest.map_or(self.digest_due, |at| at.max(self.digest_due)))
    }

    pub(super) fn send_due_digest(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let is_early = self
            .last_digest_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_DIGEST_INTERVAL);
        if self.lead_since.is_none() || now < self.digest_due || is_early {
            return;
        }
        self.send_digest(now, actions);
    }

    pub(super) fn send_digest(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.digest_due = now + HEARTBEAT_INTERVAL;
        self.last_digest_at = Some(now);
        let members = self.roster.addresses(now, &self.config.region);
        let leads: Vec<SocketAddr> = self.peer_leads(now);
        let mut members = self.unique_peers(members);
        members.retain(|address| !leads.contains(address));
        let leads = self.unique_peers(leads);
        actions.push(FleetAction::Send(members, self.digest(now, false)));
        actions.push(FleetAction::Send(leads, self.digest(now, true)));
    }

    /// Returns the addresses of the other leads of all regions. For an unreachable region
    /// these are all entries that may know its leads.
    pub(super) fn peer_leads(&mut self, now: Instant) -> Vec<SocketAddr> {
        // All live leads, not just those their region reports: if a region has more than
        // one pair, each pair learns of the other this way.
        let peer_addresses = self
            .leads
            .live_leads(now)
            .map(|lead| lead.candidate.peer_address);
        let mut addresses: Vec<SocketAddr> = peer_addresses.collect();
        let mut is_lost = !self.has_live_lead(now);
        for region in self.regions.other_regions() {
            let candidates = self.regions.candidates(region).iter();
            if self.regions.is_reachable(now, region) {
                addresses.extend(
                    candidates
                        .take(LEADS_PER_REGION)
                        .map(|candidate| candidate.peer_address),
                );
            } else {
                is_lost = true;
                addresses.extend(candidates.map(|candidate| candidate.peer_address));
            }
        }
        if is_lost {
            addresses.extend(self.search.seeds());
        }
        // These include leads of the local region reported by other regions or stored in
        // the store: after a network partition each part of a region has its own leads.
        addresses.extend(self.search.hinted(now));
        addresses
    }

    /// Sorts and deduplicates `addresses`, and removes the local one.
    pub(super) fn unique_peers(&self, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.config.candidate.peer_address);
        addresses
    }

    /// Lets a lead check its rows if the store came back from an older copy: it may lack them.
    fn note_store_era(&mut self, now: Instant) {
        let era = self.store_progress.registry_read.era();
        if era > self.lead_row_era {
            self.lead_row_era = era;
            self.lead_row.clear();
            self.row_lookup_due = now;
        }
    }

    /// Stores the region's leads in the store, and looks for other leads there.
    pub(super) fn maintain_lead_rows(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(since) = self.lead_since else {
            if !self.has_live_lead(now) && self.search.take_row_lookup(now) {
                actions.push(FleetAction::ReadLeadRows);
            }
            return;
        };
        self.note_store_era(now);
        if now < self.row_lookup_due {
            return;
        }
        let is_new_lead = now.saturating_duration_since(since) < NEW_LEAD_PERIOD;
        self.row_lookup_due = now
            + if is_new_lead {
                NEW_LEAD_ROW_CHECK_INTERVAL
            } else {
                ROW_CHECK_INTERVAL
            };
        let is_reader = self.is_reader(now);
        let is_lost = |region| !self.regions.is_reachable(now, region);
        if is_reader || self.regions.other_regions().any(is_lost) {
            actions.push(FleetAction::ReadLeadRows);
        }
        let leads = self
            .candidates
            .iter()
            .take(LEADS_PER_REGION)
            .map(|candidate| candidate.peer_address);
        let lead_row: Vec<SocketAddr> = leads.collect();
        let is_settled = now.saturating_duration_since(since) >= ROW_WRITE_DELAY;
        if is_settled && is_reader && lead_row != self.lead_row {
            self.lead_row.clone_from(&lead_row);
            actions.push(FleetAction::WriteLeadRow(lead_row));
        }
    }
}

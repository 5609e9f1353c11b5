//! All backend servers that may be alive, by service.
//!
//! The registry's word counts while it is undisturbed. An entry that vanishes
//! while the registry is in trouble, or just after, may only have lapsed: it is
//! kept until the registry had time to hear from the server again.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::server::{EntryState, ServerEntry, ServerRecord};

/// After the registry's return, live servers are listed again within about 2 s.
const RELIST_TIME: Duration = Duration::from_millis(2200);

/// Names a record for as long as the server is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerHandle {
    index: usize,
    hash: u64,
}

/// One complete reading of the registry.
#[derive(Debug, Clone)]
pub struct CatalogSnapshot {
    /// All entries.
    pub entries: Vec<ServerEntry>,
    /// When the reading began: nothing in it is older than this.
    pub begun: Instant,
}

/// What a reading changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogChange {
    /// A server appeared; its id and failure domain.
    Joined(String, String),
    /// A server is about to leave.
    Draining(String),
    /// A server is gone.
    Gone(String),
    /// A server turned cold.
    Cold(String),
    /// A server's entry vanished, but may have lapsed in a disturbance.
    Missing(String),
}

/// Whether a server may get requests, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerCondition {
    /// It may.
    Open,
    /// Only a few, since it has just started.
    Cold,
    /// It could not be reached lately.
    Unreachable,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It is about to leave.
    Leaving,
}

impl ServerCondition {
    /// The condition in one word, for metrics and operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Cold => "cold",
            Self::Unreachable => "unreachable",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
        }
    }
}

/// The servers.
#[derive(Debug, Default)]
pub struct ServerCatalog {
    domains: HashMap<String, String>,
    records: Vec<Option<ServerRecord>>,
    by_id: HashMap<String, usize>,
    by_service: HashMap<String, Vec<usize>>,
    evacuated: HashSet<String>,
    read_at: Option<Instant>,
    trouble: bool,
    settled_at: Option<Instant>,
}

impl ServerCatalog {
    /// An empty catalog; `domains` maps each failure domain to its region.
    pub fn new(domains: HashMap<String, String>) -> Self {
        Self {
            domains,
            ..Self::default()
        }
    }

    /// When the newest reading began.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// The registry did not answer a reading.
    pub fn on_read_failed(&mut self) {
        self.trouble = true;
        self.settled_at = None;
    }

    /// Takes in a complete reading, and returns what changed.
    pub fn on_read(&mut self, now: Instant, snapshot: &CatalogSnapshot) -> Vec<CatalogChange> {
        if self.read_at.is_some_and(|at| at > snapshot.begun) {
            return Vec::new();
        }
        if self.trouble {
            self.trouble = false;
            self.settled_at = Some(now + RELIST_TIME);
        }
        let settled = self.settled_at.is_none_or(|at| now >= at);
        let mut changes = Vec::new();
        for entry in &snapshot.entries {
            self.update(snapshot.begun, entry, &mut changes);
        }
        let listed: HashSet<&str> = snapshot.entries.iter().map(|e| e.id.as_str()).collect();
        self.sweep(now, &listed, settled, &mut changes);
        self.read_at = Some(snapshot.begun);
        changes
    }

    /// Sets the evacuated failure domains. Servers of one that is taken back
    /// are treated as cold for `warmup`: their caches may have been dropped.
    pub fn set_evacuated(&mut self, now: Instant, domains: HashSet<String>, warmup: Duration) {
        for record in self.records.iter_mut().flatten() {
            let domain = &record.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                record.chill(now, warmup);
            }
        }
        self.evacuated = domains;
    }

    /// Whether nothing may be sent to the servers of `domain`.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The record behind `handle`, unless the server is gone.
    pub fn get(&self, handle: ServerHandle) -> Option<&ServerRecord> {
        let record = self.records.get(handle.index)?.as_ref()?;
        (record.hash == handle.hash).then_some(record)
    }

    /// The record behind `handle`, for changes.
    pub fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut ServerRecord> {
        let record = self.records.get_mut(handle.index)?.as_mut()?;
        (record.hash == handle.hash).then_some(record)
    }

    /// The servers of `service` that may take new requests by the registry's word.
    pub fn open_servers(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (ServerHandle, &ServerRecord)> {
        let members = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        members.iter().filter_map(|index| {
            let record = self.records[*index].as_ref()?;
            let open = record.entry.state == EntryState::Ready
                && !self.evacuated.contains(&record.entry.domain);
            let handle = ServerHandle {
                index: *index,
                hash: record.hash,
            };
            open.then_some((handle, record))
        })
    }

    /// Whether the server of `record` may get requests.
    pub fn condition(&self, now: Instant, record: &ServerRecord) -> ServerCondition {
        if record.entry.state == EntryState::Draining {
            ServerCondition::Leaving
        } else if self.evacuated.contains(&record.entry.domain) {
            ServerCondition::Evacuated
        } else if record.is_paused(now) {
            ServerCondition::Unreachable
        } else if record.is_cold(now) {
            ServerCondition::Cold
        } else {
            ServerCondition::Open
        }
    }

    /// All known servers.
    pub fn iter(&self) -> impl Iterator<Item = &ServerRecord> {
        self.records.iter().flatten()
    }

    /// All known servers, for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServerRecord> {
        self.records.iter_mut().flatten()
    }

    fn update(&mut self, begun: Instant, entry: &ServerEntry, changes: &mut Vec<CatalogChange>) {
        let Some(index) = self.by_id.get(&entry.id) else {
            self.insert(begun, entry, changes);
            return;
        };
        let Some(record) = self.records[*index].as_mut() else {
            return;
        };
        record.missing_since = None;
        if entry.seq < record.entry.seq {
            return;
        }
        let fresh = entry.seq > record.entry.seq;
        if fresh && !entry.cold_remaining.is_zero() {
            if !record.is_cold(begun) {
                changes.push(CatalogChange::Cold(entry.id.clone()));
            }
            record.chill(begun, entry.cold_remaining);
        }
        let was = record.entry.state;
        let slots = record.entry.slots;
        record.entry = entry.clone();
        record.entry.slots = slots.max(1);
        // A late heartbeat must not bring a leaving server back.
        if was == EntryState::Draining {
            record.entry.state = EntryState::Draining;
        } else if entry.state == EntryState::Draining {
            changes.push(CatalogChange::Draining(entry.id.clone()));
        }
    }

    fn insert(&mut self, begun: Instant, entry: &ServerEntry, changes: &mut Vec<CatalogChange>) {
        let region = self.domains.get(&entry.domain).map_or("", String::as_str);
        let mut record = ServerRecord::new(entry.clone(), region);
        if !entry.cold_remaining.is_zero() {
            record.chill(begun, entry.cold_remaining);
        }
        let free = self.records.iter().position(Option::is_none);
        let index = free.unwrap_or(self.records.len());
        if index == self.records.len() {
            self.records.push(None);
        }
        self.records[index] = Some(record);
        self.by_id.insert(entry.id.clone(), index);
        let members = self.by_service.entry(entry.service.clone()).or_default();
        members.push(index);
        changes.push(CatalogChange::Joined(
            entry.id.clone(),
            entry.domain.clone(),
        ));
    }

    fn sweep(
        &mut self,
        now: Instant,
        listed: &HashSet<&str>,
        settled: bool,
        changes: &mut Vec<CatalogChange>,
    ) {
        let mut gone = Vec::new();
        for record in self.records.iter_mut().flatten() {
            if listed.contains(record.entry.id.as_str()) {
                continue;
            }
            if settled {
                gone.push(record.entry.id.clone());
                continue;
            }
            if record.missing_since.is_none() {
                record.missing_since = Some(now);
                changes.push(CatalogChange::Missing(record.entry.id.clone()));
            }
        }
        for id in gone {
            self.remove(&id);
            changes.push(CatalogChange::Gone(id));
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(index) = self.by_id.remove(id) else {
            return;
        };
        let Some(record) = self.records[index].take() else {
            return;
        };
        if let Some(members) = self.by_service.get_mut(&record.entry.service) {
            members.retain(|member| *member != index);
        }
    }
}

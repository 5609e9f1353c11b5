//! The records of all servers, indexed by id, service and short id.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::catalog::index::{IndexMember, ServiceIndex};
use crate::placing::load::short_id;
use crate::server::ServerRecord;

/// Identifies a record while the server is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerHandle {
    index: usize,
    hash: u64,
}

impl ServerHandle {
    pub(super) fn new(index: usize, hash: u64) -> Self {
        Self { index, hash }
    }

    /// Hash of the server's run, the same on all entries.
    pub fn run(self) -> u64 {
        self.hash
    }
}

/// Table of all records.
#[derive(Debug, Default)]
pub(super) struct RecordTable {
    /// Numbers of failure domains and regions.
    localities: LocalityIds,
    records: Vec<Option<ServerRecord>>,
    /// Indexes of empty records, so that adding a server needs no search.
    free: Vec<usize>,
    by_id: HashMap<String, usize>,
    by_service: HashMap<String, ServiceIndex>,
    by_short_id: BTreeSet<(u32, usize)>,
    join_count: u64,
    records_examined: Cell<u64>,
}

impl RecordTable {
    /// Creates an empty table; `domains` maps each failure domain to its region.
    pub(super) fn new(domains: &HashMap<String, String>) -> Self {
        Self {
            localities: LocalityIds::new(domains),
            ..Self::default()
        }
    }

    /// Adds the record of a new server.
    pub(super) fn insert(&mut self, record: ServerRecord) {
        let record_index = self.free.pop().unwrap_or_else(|| {
            self.records.push(None);
            self.records.len() - 1
        });
        let member = IndexMember {
            record_index,
            hash: record.hash,
            region: self.localities.region(&record.region),
            domain: self.localities.domain(&record.entry.domain),
            slots: record.entry.slots,
        };
        self.by_short_id
            .insert((short_id(record.hash), record_index));
        self.by_id.insert(record.entry.id.clone(), record_index);
        let service = record.entry.service.clone();
        self.by_service.entry(service).or_default().insert(member);
        self.records[record_index] = Some(record);
        self.join_count += 1;
    }

    /// Removes the server `id`. Returns whether it was known.
    pub(super) fn remove(&mut self, id: &str) -> bool {
        let Some(record_index) = self.by_id.remove(id) else {
            return false;
        };
        let Some(record) = self.records[record_index].take() else {
            return false;
        };
        self.free.push(record_index);
        self.by_short_id
            .remove(&(short_id(record.hash), record_index));
        if let Some(servers) = self.by_service.get_mut(&record.entry.service) {
            servers.remove(record_index);
        }
        true
    }

    /// The record behind `handle`, unless the server is gone.
    pub(super) fn get(&self, handle: ServerHandle) -> Option<&ServerRecord> {
        let record = self.by_index(handle.index)?;
        (record.hash == handle.hash).then_some(record)
    }

    /// Mutable variant of [`Self::get`].
    pub(super) fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut ServerRecord> {
        let record = self.by_index_mut(handle.index)?;
        (record.hash == handle.hash).then_some(record)
    }

    /// The record of the server `id`.
    pub(super) fn by_id(&self, id: &str) -> Option<&ServerRecord> {
        self.by_index(*self.by_id.get(id)?)
    }

    /// Mutable variant of [`Self::by_id`].
    pub(super) fn by_id_mut(&mut self, id: &str) -> Option<&mut ServerRecord> {
        let record_index = *self.by_id.get(id)?;
        self.by_index_mut(record_index)
    }

    /// The record at `record_index`.
    pub(super) fn by_index(&self, record_index: usize) -> Option<&ServerRecord> {
        self.count_examined(1);
        self.records.get(record_index)?.as_ref()
    }

    /// Mutable variant of [`Self::by_index`].
    pub(super) fn by_index_mut(&mut self, record_index: usize) -> Option<&mut ServerRecord> {
        self.count_examined(1);
        self.records.get_mut(record_index)?.as_mut()
    }

    /// All records.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ServerRecord> {
        self.count_examined(self.records.len());
        self.records.iter().flatten()
    }

    /// Mutable variant of [`Self::iter`].
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServerRecord> {
        self.count_examined(self.records.len());
        self.records.iter_mut().flatten()
    }

    /// The servers of `service`.
    pub(super) fn service(&self, service: &str) -> Option<&ServiceIndex> {
        self.by_service.get(service)
    }

    /// Mutable variant of [`Self::service`].
    pub(super) fn service_mut(&mut self, service: &str) -> Option<&mut ServiceIndex> {
        self.by_service.get_mut(service)
    }

    /// Indexes of the records with the short id `id`.
    pub(super) fn indexes_by_short_id(&self, id: u32) -> impl Iterator<Item = usize> {
        let range = self.by_short_id.range((id, 0)..=(id, usize::MAX));
        range.map(|(_, record_index)| *record_index)
    }

    /// Number of servers that have joined since the start.
    pub(super) fn join_count(&self) -> u64 {
        self.join_count
    }

    /// Number of records read since the start.
    pub(super) fn records_examined(&self) -> u64 {
        self.records_examined.get()
    }

    fn count_examined(&self, records: usize) {
        self.records_examined
            .set(self.records_examined.get() + records as u64);
    }
}

/// Numbers of failure domains and regions, in the order of their names.
#[derive(Debug, Default)]
struct LocalityIds {
    domains: BTreeMap<String, u16>,
    regions: BTreeMap<String, u16>,
}

impl LocalityIds {
    fn new(domains: &HashMap<String, String>) -> Self {
        let number = |names: BTreeSet<&String>| -> BTreeMap<String, u16> {
            let numbered = names.into_iter().zip(0..);
            numbered.map(|(name, id)| (name.clone(), id)).collect()
        };
        Self {
            domains: number(domains.keys().collect()),
            regions: number(domains.values().collect()),
        }
    }

    fn domain(&self, name: &str) -> u16 {
        self.domains.get(name).copied().unwrap_or_default()
    }

    fn region(&self, name: &str) -> u16 {
        self.regions.get(name).copied().unwrap_or_default()
    }
}

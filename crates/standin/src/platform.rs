//! The platform's state: tables, objects and the instance list.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use store::{
    Commit, Error, InstanceList, ListedInstance, ObjectStore, Result, Row, RowWrite, TableService,
    WireRow,
};

use crate::fault::FaultPlan;

/// Tables, objects and instances.
#[derive(Debug, Default)]
pub struct PlatformState {
    rows: BTreeMap<(String, String), Row>,
    objects: BTreeMap<String, Vec<u8>>,
    instances: BTreeMap<String, ListedInstance>,
    /// Faults in force.
    pub faults: FaultPlan,
    /// Reads since the start.
    pub reads: u64,
    /// Transactions since the start.
    pub writes: u64,
}

impl PlatformState {
    /// Reads one row.
    pub fn read(&mut self, table: &str, key: &str) -> Option<Row> {
        self.reads += 1;
        self.rows.get(&(table.to_owned(), key.to_owned())).cloned()
    }

    /// Reads the rows of `table` whose keys start with `prefix`.
    pub fn list(&mut self, table: &str, prefix: &str) -> Vec<WireRow> {
        self.reads += 1;
        self.rows
            .iter()
            .filter(|((t, key), _)| t == table && key.starts_with(prefix))
            .map(|((_, key), row)| WireRow {
                key: key.clone(),
                row: row.clone(),
            })
            .collect()
    }

    /// Applies all writes or none.
    pub fn commit(&mut self, writes: &[RowWrite]) -> Commit {
        self.writes += 1;
        let revision = |write: &RowWrite| {
            let row = self.rows.get(&(write.table.clone(), write.key.clone()));
            row.map_or(0, |row| row.revision)
        };
        if writes.iter().any(|write| revision(write) != write.expect) {
            return Commit::Conflict;
        }
        for write in writes {
            let place = (write.table.clone(), write.key.clone());
            match &write.value {
                None => {
                    self.rows.remove(&place);
                }
                Some(value) => {
                    let row = Row {
                        revision: write.expect + 1,
                        value: value.clone(),
                    };
                    self.rows.insert(place, row);
                }
            }
        }
        Commit::Done
    }

    /// Stores an object.
    pub fn put(&mut self, name: &str, content: &[u8]) {
        self.writes += 1;
        self.objects.insert(name.to_owned(), content.to_vec());
    }

    /// Reads an object.
    pub fn get(&mut self, name: &str) -> Option<Vec<u8>> {
        self.reads += 1;
        self.objects.get(name).cloned()
    }

    /// The instance list.
    pub fn instances(&mut self) -> Vec<ListedInstance> {
        self.reads += 1;
        self.instances.values().cloned().collect()
    }

    /// Lists an instance.
    pub fn add_instance(&mut self, instance: ListedInstance) {
        self.instances.insert(instance.name.clone(), instance);
    }

    /// Drops an instance from the list.
    pub fn remove_instance(&mut self, name: &str) {
        self.instances.remove(name);
    }
}

/// The platform inside a test's own process, with faults on demand.
#[derive(Debug, Clone, Default)]
pub struct FakePlatform(Arc<Mutex<PlatformState>>);

impl FakePlatform {
    /// An empty platform without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: FaultPlan) {
        self.lock().faults = faults;
    }

    fn reading<T>(&self, work: impl FnOnce(&mut PlatformState) -> T) -> Result<T> {
        let mut state = self.lock();
        if state.faults.outage {
            return Err(Error::Unavailable("outage".to_owned()));
        }
        Ok(work(&mut state))
    }

    fn writing<T>(&self, work: impl FnOnce(&mut PlatformState) -> T) -> Result<T> {
        let done = self.reading(work)?;
        if self.lock().faults.lose_answers {
            return Err(Error::Unknown("answer lost".to_owned()));
        }
        Ok(done)
    }
}

impl TableService for FakePlatform {
    async fn read(&self, table: &str, key: &str) -> Result<Option<Row>> {
        self.reading(|state| state.read(table, key))
    }

    async fn list(&self, table: &str, prefix: &str) -> Result<Vec<WireRow>> {
        self.reading(|state| state.list(table, prefix))
    }

    async fn commit(&self, writes: &[RowWrite]) -> Result<Commit> {
        self.writing(|state| state.commit(writes))
    }
}

impl ObjectStore for FakePlatform {
    async fn put(&self, name: &str, content: &[u8]) -> Result<()> {
        self.writing(|state| state.put(name, content))
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>> {
        self.reading(|state| state.get(name))
    }
}

impl InstanceList for FakePlatform {
    async fn instances(&self) -> Result<Vec<ListedInstance>> {
        self.reading(PlatformState::instances)
    }
}

//! The registry of the simulated store: rows of servers with their history, and each entry's
//! copy of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use place::catalog::{CatalogChange, DroppedRow};
use place::fleet::log::{ReadScope, RegistryLog};
use place::fleet::reading::RegistryRead;
use place::fleet::registry::RegistryCopy;
use place::prelude::*;

use super::{DRAIN, REGIONS, domain_of};

/// Rows of servers in the store.
#[derive(Debug, Clone, Default)]
pub struct StoreRows {
    era: u64,
    version: u64,
    history_start: u64,
    rows: BTreeMap<String, ServerEntry>,
    history: Vec<(u64, String, Option<ServerEntry>)>,
    /// Rows written or deleted since the last restoration.
    pub(super) touched: BTreeSet<String>,
}

impl StoreRows {
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.version)
    }

    pub fn row(&self, id: &str) -> Option<&ServerEntry> {
        self.rows.get(id)
    }

    /// Writes a row, or deletes it.
    pub(super) fn set(&mut self, id: &str, row: Option<ServerEntry>) {
        self.version += 1;
        self.touched.insert(id.to_owned());
        match &row {
            Some(entry) => self.rows.insert(id.to_owned(), entry.clone()),
            None => self.rows.remove(id),
        };
        self.history.push((self.version, id.to_owned(), row));
    }

    pub(super) fn discard_history(&mut self) {
        self.history.clear();
        self.version += 1;
        self.history_start = self.version;
    }

    /// Comes back as `copy`. Returns the rows that differ, with their lost values.
    pub(super) fn restore(&mut self, copy: &Self) -> Vec<(String, Option<ServerEntry>)> {
        let ids: BTreeSet<&String> = self.rows.keys().chain(copy.rows.keys()).collect();
        let lost = ids
            .into_iter()
            .filter(|id| self.rows.get(*id) != copy.rows.get(*id));
        let lost = lost
            .map(|id| (id.clone(), self.rows.get(id).cloned()))
            .collect();
        *self = Self {
            era: self.era + 1,
            touched: BTreeSet::new(),
            ..copy.clone()
        };
        lost
    }

    /// Answers a read from `after`; `None` while it waits for changes. A read of all rows, or one
    /// from a place that the history lacks, gets all rows.
    pub(super) fn answer(&self, after: Option<StorePosition>) -> Option<RowsAnswer> {
        let after = after.filter(|after| {
            let (start, end) = (self.history_start, self.version);
            after.era() == self.era && (start..=end).contains(&after.version())
        });
        let (whole, changes) = match after {
            None => {
                let rows = self.rows.iter();
                let rows = rows.map(|(id, row)| (0, id.clone(), Some(row.clone())));
                (true, rows.collect())
            }
            Some(after) => {
                let changed = self.history.iter().filter(|(at, ..)| *at > after.version());
                (false, changed.cloned().collect::<Vec<_>>())
            }
        };
        (whole || !changes.is_empty()).then(|| RowsAnswer {
            whole,
            changes,
            position: self.position(),
        })
    }

    pub(super) fn unchanged(&self) -> RowsAnswer {
        RowsAnswer {
            whole: false,
            changes: Vec::new(),
            position: self.position(),
        }
    }
}

/// The store's answer to a read of the registry.
#[derive(Debug, Clone)]
pub struct RowsAnswer {
    pub(super) whole: bool,
    pub(super) changes: Vec<(u64, String, Option<ServerEntry>)>,
    position: StorePosition,
}

/// A read that waits at the store for changes.
#[derive(Debug, Clone)]
pub struct WaitingRead {
    pub number: u64,
    pub(super) started_at: Instant,
    pub(super) call: RegistryRead,
    pub(super) after: Option<StorePosition>,
}

/// What an entry knows of the registry.
#[derive(Debug, Default)]
pub struct SimRegistry {
    pub catalog: ServerCatalog,
    pub log: RegistryLog,
    cached: BTreeMap<String, ServerEntry>,
    pub(super) cached_at: Option<StorePosition>,
    /// Whether the cached rows are what another entry sent, with the changes since.
    pub(super) is_resumed: bool,
    pub waiting: Option<WaitingRead>,
    /// Servers that this run saw leave, and those of them that it took in again.
    pub seen_leaving: BTreeSet<String>,
    pub taken_in_again: BTreeSet<String>,
    /// Changes of servers, for the trace of a failure.
    pub trace: Vec<(Instant, String, String)>,
}

impl SimRegistry {
    pub fn new() -> Self {
        let domains = (0..REGIONS * super::DOMAINS)
            .map(|entry| (domain_of(entry), format!("r{}", entry % REGIONS)))
            .collect();
        Self {
            catalog: ServerCatalog::new(domains).with_drain(DRAIN),
            ..Self::default()
        }
    }

    pub fn copy(&mut self) -> RegistryCopy<'_> {
        RegistryCopy::new(&mut self.catalog, &mut self.log)
    }

    /// The servers to which requests may be sent.
    pub fn open_ids(&self) -> BTreeSet<String> {
        let open = self.catalog.open_servers("board");
        open.map(|(_, record)| record.entry.id.clone()).collect()
    }

    pub fn note(&mut self, now: Instant, changes: &[CatalogChange], by: &str) {
        for change in changes {
            let (id, what) = match change {
                CatalogChange::Joined(entry) => {
                    if self.seen_leaving.contains(&entry.id) && entry.state != EntryState::Draining
                    {
                        self.taken_in_again.insert(entry.id.clone());
                    }
                    if entry.state == EntryState::Draining {
                        self.seen_leaving.insert(entry.id.clone());
                    }
                    (&entry.id, format!("joined, seq {}", entry.seq))
                }
                CatalogChange::Gone(id) | CatalogChange::Draining(id) => {
                    self.seen_leaving.insert(id.clone());
                    let what = if matches!(change, CatalogChange::Gone(_)) {
                        "gone"
                    } else {
                        "leaving"
                    };
                    (id, what.to_owned())
                }
                CatalogChange::Missing(id) => (id, "missing, kept".to_owned()),
                CatalogChange::Outdated(id) => (id, "obsolete row".to_owned()),
                _ => continue,
            };
            self.trace
                .push((now, id.clone(), format!("{what} by {by}")));
        }
    }

    /// Continues from what another entry knows, as a client does that starts to read.
    pub(super) fn resume(&mut self, listed: StorePosition) {
        if self.cached_at.is_none_or(|at| at < listed) && listed.is_known() {
            let entries = self.log.entries().cloned();
            self.cached = entries.map(|entry| (entry.id.clone(), entry)).collect();
            self.cached_at = Some(listed);
            self.is_resumed = true;
        }
    }

    /// Applies `answer` to the cached rows.
    pub(super) fn read(
        &mut self,
        answer: &RowsAnswer,
        as_of: Instant,
    ) -> (CatalogSnapshot, ReadScope) {
        let mut scope = ReadScope {
            whole: answer.whole,
            ..ReadScope::default()
        };
        if answer.whole {
            self.cached.clear();
            self.is_resumed = false;
        }
        for (version, id, row) in &answer.changes {
            match row {
                Some(entry) => {
                    let replaced = self.cached.insert(id.clone(), entry.clone());
                    scope.replaced.extend(replaced);
                }
                None => scope.dropped.push(DroppedRow {
                    last_entry: self.cached.remove(id),
                    ..DroppedRow::new(id, StorePosition::new(answer.position.era(), *version))
                }),
            }
        }
        self.cached_at = Some(answer.position);
        let snapshot = CatalogSnapshot {
            entries: self.cached.values().cloned().collect(),
            foreign: Vec::new(),
            started_at: as_of,
            position: answer.position,
        };
        (snapshot, scope)
    }
}

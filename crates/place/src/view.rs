//! What one entry read from the store, told to others as what changed.
//!
//! A few entries read; the others follow them. A follower names what it has seen
//! last and gets the rest; after a break it gets everything.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::catalog::CatalogSnapshot;
use crate::server::ServerEntry;

/// Servers that are gone stay in the log for this many changes.
const GONE_KEPT: usize = 256;

base::common! {
    /// A place in a reader's log.
    #[derive(Copy, Eq, Default)]
    pub struct ViewMark {
        /// The run of the reader whose log it is.
        pub reader: u64,
        /// The newest change seen.
        pub change: u64,
    }

    /// What a follower gets.
    #[derive(Eq)]
    pub struct ViewAnswer {
        /// Where to go on.
        pub mark: ViewMark,
        /// How long ago the reader's newest reading began.
        pub age: Duration,
        /// Whether the store doesn't answer the reader.
        pub trouble: bool,
        /// Whether `entries` are all there are.
        pub whole: bool,
        /// Entries that changed.
        pub entries: Vec<ServerEntry>,
        /// Servers that are gone.
        pub gone: Vec<String>,
        /// Keys of rows that are no server's own word; always all of them.
        pub foreign: Vec<String>,
        /// Version of the desired state in force there.
        pub desired: u64,
        /// Version of the operator's rows that the reader knows.
        pub operator: u64,
        /// Failure domains to be evacuated.
        pub evacuated: Vec<String>,
    }
}

/// The servers that an entry knows from the registry, with their changes.
#[derive(Debug)]
pub struct ServerLog {
    reader: u64,
    change: u64,
    oldest: u64,
    entries: BTreeMap<String, (u64, ServerEntry)>,
    gone: Vec<(u64, String)>,
    foreign: Vec<String>,
}

/// A follower's copy of a reader's log.
#[derive(Debug, Default)]
pub struct ServerCopy {
    mark: ViewMark,
    entries: BTreeMap<String, ServerEntry>,
}

impl ServerLog {
    /// An empty log of the run `reader`.
    pub fn new(reader: u64) -> Self {
        Self {
            reader,
            change: 0,
            oldest: 0,
            entries: BTreeMap::new(),
            gone: Vec::new(),
            foreign: Vec::new(),
        }
    }

    /// Takes in a reading.
    pub fn on_read(&mut self, snapshot: &CatalogSnapshot) {
        self.foreign.clone_from(&snapshot.foreign);
        let mut left: BTreeMap<String, (u64, ServerEntry)> = std::mem::take(&mut self.entries);
        for entry in &snapshot.entries {
            let known = left.remove(&entry.id);
            let change = match known {
                Some((change, known)) if same(&known, entry) => change,
                _ => self.next_change(),
            };
            self.entries
                .insert(entry.id.clone(), (change, entry.clone()));
        }
        for id in left.into_keys() {
            let change = self.next_change();
            self.gone.push((change, id));
        }
        while self.gone.len() > GONE_KEPT {
            self.oldest = self.gone.remove(0).0;
        }
    }

    /// What changed since `mark`: the new mark, whether it is everything, the
    /// entries and the servers that are gone.
    pub fn since(&self, mark: ViewMark) -> (ViewMark, bool, Vec<ServerEntry>, Vec<String>) {
        let whole = mark.reader != self.reader || mark.change < self.oldest;
        let from = if whole { 0 } else { mark.change };
        let changed = self.entries.values().filter(|(change, _)| *change > from);
        let entries = changed.map(|(_, entry)| entry.clone()).collect();
        let gone = self
            .gone
            .iter()
            .filter(|(change, _)| *change > from && !whole);
        let gone = gone.map(|(_, id)| id.clone()).collect();
        let mark = ViewMark {
            reader: self.reader,
            change: self.change,
        };
        (mark, whole, entries, gone)
    }

    /// Keys of rows that are no server's own word, by the newest reading.
    pub fn foreign(&self) -> &[String] {
        &self.foreign
    }

    fn next_change(&mut self) -> u64 {
        self.change += 1;
        self.change
    }
}

impl ServerCopy {
    /// Where this copy stands.
    pub fn mark(&self) -> ViewMark {
        self.mark
    }

    /// Takes in an answer that came at `now`; gives all entries.
    pub fn on_answer(&mut self, now: Instant, answer: &ViewAnswer) -> CatalogSnapshot {
        if answer.whole {
            self.entries.clear();
        }
        for id in &answer.gone {
            self.entries.remove(id);
        }
        for entry in &answer.entries {
            self.entries.insert(entry.id.clone(), entry.clone());
        }
        self.mark = answer.mark;
        CatalogSnapshot {
            entries: self.entries.values().cloned().collect(),
            foreign: answer.foreign.clone(),
            begun: now.checked_sub(answer.age).unwrap_or(now),
        }
    }
}

/// Whether nothing but the heartbeat differs.
fn same(known: &ServerEntry, entry: &ServerEntry) -> bool {
    let mut known = known.clone();
    known.seq = entry.seq;
    known == *entry
}

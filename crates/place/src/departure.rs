//! Servers that have left, remembered so that no older word of theirs brings them back.
//!
//! The registry lists a server anew where a heartbeat is performed late, and an entry that is
//! behind tells what was true before. Both carry words that are no newer than the last one
//! that was known. A live server whose row only lapsed comes back with a newer one.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::rank::{pair_weight, stable_hash};
use crate::server::{EntryState, ServerEntry};

/// Departures that are remembered: more than a fleet of 10,000 servers has in the time in
/// which calls are performed late, at about 1 MB.
const MAX_DEPARTURES: usize = 4096;
/// Time in which the end of a server that didn't announce it keeps its older words out: longer
/// than a call is performed late and its row then lapses. What was told wrongly by a damaged
/// message keeps a live server out no longer.
const UNANNOUNCED_TTL: Duration = Duration::from_secs(20);

base::common! {
    /// The end of one run of a server, as far as it is known.
    #[derive(Eq, Default)]
    pub struct Departure {
        /// The server.
        pub id: String,
        /// When the run began, where its registry says so.
        pub started: Option<u64>,
        /// Names the run; 0 where no word of it is known.
        pub run: u64,
        /// The run's last word.
        pub seq: u64,
        /// Whether it had said that it leaves.
        pub announced: bool,
    }
}

impl Departure {
    /// The end of the run whose last word is `entry`.
    pub fn of(entry: &ServerEntry) -> Self {
        Self {
            id: entry.id.clone(),
            started: entry.started,
            run: run_identity(entry),
            seq: entry.seq,
            announced: entry.state == EntryState::Draining,
        }
    }

    /// The end of a run of the server `id` of which nothing else is known.
    pub fn unknown(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            ..Self::default()
        }
    }

    /// Whether any word of the run is known.
    pub fn is_known(&self) -> bool {
        self.run != 0
    }

    /// Whether `entry` was written before the run ended: by an earlier run, or by this one no
    /// later than its last word. A run that said that it leaves says nothing else later.
    pub fn supersedes(&self, entry: &ServerEntry) -> bool {
        if !self.is_known() || entry.id != self.id {
            return false;
        }
        let is_late = self.announced || entry.seq <= self.seq;
        entry.started < self.started || (is_late && run_identity(entry) == self.run)
    }

    /// Adds what `other` knows of the same run; a later run takes the place of an earlier one.
    pub fn merge(&mut self, other: &Self) {
        if other.run == self.run {
            self.seq = self.seq.max(other.seq);
            self.announced |= other.announced;
        } else if other.is_known() && other.started >= self.started {
            self.clone_from(other);
        }
    }
}

/// The departures that an entry knows.
#[derive(Debug, Default)]
pub(crate) struct DepartureTable {
    by_id: HashMap<String, DepartureRecord>,
    /// Ids in the order in which they were noted, with the turn of each.
    order: VecDeque<(u64, String)>,
    insertion: u64,
}

#[derive(Debug)]
struct DepartureRecord {
    departure: Departure,
    recorded_at: Instant,
    insertion: u64,
    /// Whether a word was refused for it.
    has_rejected: bool,
}

impl DepartureTable {
    /// Remembers `departure`, for as long as not too many others come after it.
    pub(crate) fn note(&mut self, now: Instant, departure: &Departure) {
        if !departure.is_known() {
            return;
        }
        self.insertion += 1;
        let insertion = self.insertion;
        let known = self.by_id.get_mut(&departure.id);
        if let Some(known) = known {
            known.departure.merge(departure);
            (known.recorded_at, known.insertion, known.has_rejected) = (now, insertion, false);
        } else {
            let entry = DepartureRecord {
                departure: departure.clone(),
                recorded_at: now,
                insertion,
                has_rejected: false,
            };
            self.by_id.insert(departure.id.clone(), entry);
        }
        self.order.push_back((insertion, departure.id.clone()));
        while self.order.len() > MAX_DEPARTURES {
            self.drop_oldest();
        }
    }

    /// Whether `entry` is an older word of a server that left.
    pub(crate) fn supersedes(&self, now: Instant, entry: &ServerEntry) -> bool {
        let known = self.by_id.get(&entry.id);
        known.is_some_and(|known| {
            let age = now.saturating_duration_since(known.recorded_at);
            let holds = known.departure.announced || age < UNANNOUNCED_TTL;
            holds && known.departure.supersedes(entry)
        })
    }

    /// Takes down that a word of the server `id` was refused; whether it is the first one.
    pub(crate) fn on_refused(&mut self, id: &str) -> bool {
        let known = self.by_id.get_mut(id);
        known.is_some_and(|known| !std::mem::replace(&mut known.has_rejected, true))
    }

    fn drop_oldest(&mut self) {
        let Some((insertion, id)) = self.order.pop_front() else {
            return;
        };
        if self
            .by_id
            .get(&id)
            .is_some_and(|known| known.insertion == insertion)
        {
            self.by_id.remove(&id);
        }
    }
}

/// Names a run among all runs of all servers, also where none states its start: there a row
/// with another address, service or failure domain is another run's.
fn run_identity(entry: &ServerEntry) -> u64 {
    let place = format!("{}\n{}\n{}", entry.service, entry.address, entry.domain);
    let name = pair_weight(entry.run_hash(), stable_hash(place.as_bytes()));
    name.max(1)
}

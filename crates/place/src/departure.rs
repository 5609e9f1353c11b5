//! Server runs that have ended, recorded so that stale registrations don't bring them back.
//!
//! The registry lists a server again when a heartbeat is applied late, and an entry that lags
//! behind sends outdated rows. Neither is newer than the last registration known here. A live
//! server whose row merely expired comes back with a newer one.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::fleet::position::StorePosition;
use crate::rank::{pair_weight, stable_hash};
use crate::server::{EntryState, ServerEntry};

/// Maximum number of recorded departures, about 1 MB: more than a fleet of 10,000 servers has
/// within the time by which the store applies calls late.
const MAX_DEPARTURES: usize = 4096;
/// How long the departure of a server that didn't announce it blocks older registrations:
/// longer than a late call plus the expiry of the row that it writes. It also bounds how long a
/// corrupted message can keep a live server out.
const UNANNOUNCED_TTL: Duration = Duration::from_secs(20);

base::common! {
    /// The end of a server run.
    #[derive(Eq, Default)]
    pub struct Departure {
        /// The server's id.
        pub id: String,
        /// When the run began, if the registry says so.
        pub started: Option<u64>,
        /// Identity hash of the run; 0 if nothing of the run is known.
        pub run: u64,
        /// Sequence number of the run's last registration.
        pub seq: u64,
        /// Whether the server had announced that it leaves.
        pub announced: bool,
        /// Whether a later registration of the run may have been missed.
        pub has_gap: bool,
        /// The store's position by which the run was known to have ended.
        pub position: StorePosition,
    }
}

impl Departure {
    /// The departure of the run whose last registration is `entry`.
    pub fn of(entry: &ServerEntry) -> Self {
        Self {
            id: entry.id.clone(),
            started: entry.started,
            run: run_identity(entry),
            seq: entry.seq,
            announced: entry.state == EntryState::Draining,
            has_gap: false,
            position: StorePosition::default(),
        }
    }

    /// The departure of the run of `entry`, which a later run replaced that states an earlier
    /// start. It closes this run only.
    pub fn overtaken(entry: &ServerEntry) -> Self {
        Self {
            started: None,
            announced: false,
            ..Self::of(entry)
        }
    }

    /// Sets the store's position by which the run was known to have ended.
    #[must_use]
    pub fn with_position(mut self, position: StorePosition) -> Self {
        self.position = position;
        self
    }

    /// Sets whether a later registration of the run may have been missed.
    #[must_use]
    pub fn with_gap(mut self, has_gap: bool) -> Self {
        self.has_gap = has_gap;
        self
    }

    /// The departure of an unknown run of the server `id`.
    pub fn unknown(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            ..Self::default()
        }
    }

    /// Returns whether a registration of the run is known.
    pub fn is_known(&self) -> bool {
        self.run != 0
    }

    /// Returns whether `entry` is obsolete: written by an earlier run, or by this run no later
    /// than its last known registration. Nothing is newer than a run's announcement that it
    /// leaves.
    pub fn supersedes(&self, entry: &ServerEntry) -> bool {
        if !self.is_known() || entry.id != self.id {
            return false;
        }
        let is_late = self.announced || entry.seq <= self.seq;
        entry.started < self.started || (is_late && run_identity(entry) == self.run)
    }

    /// Returns whether `entry` is a registration of the run that ended.
    pub fn is_of_run(&self, entry: &ServerEntry) -> bool {
        entry.id == self.id && run_identity(entry) == self.run
    }

    /// Returns whether this tells all that `other` tells of the same run.
    pub fn includes(&self, other: &Self) -> bool {
        let is_same = self.id == other.id && self.run == other.run;
        let is_newest = self.seq >= other.seq && self.position >= other.position;
        let has_all = (self.announced || !other.announced) && (self.has_gap || !other.has_gap);
        is_same && is_newest && has_all
    }

    /// Merges what `other` knows of the same run. A later run replaces an earlier one.
    pub fn merge(&mut self, other: &Self) {
        if other.run == self.run {
            self.seq = self.seq.max(other.seq);
            self.announced |= other.announced;
            self.has_gap |= other.has_gap;
            self.position = self.position.max(other.position);
        } else if other.is_known() && (other.started.is_none() || other.started >= self.started) {
            self.clone_from(other);
        }
    }
}

/// The departures known to an entry.
#[derive(Debug, Default)]
pub(crate) struct DepartureTable {
    by_id: HashMap<String, DepartureRecord>,
    /// Ids in the order of insertion, each with its insertion number.
    order: VecDeque<(u64, String)>,
    insertion: u64,
}

#[derive(Debug)]
struct DepartureRecord {
    departure: Departure,
    recorded_at: Instant,
    insertion: u64,
    /// Whether a registration has been rejected because of this departure.
    has_rejected: bool,
    /// The store's position at which the run proved to be alive after all.
    alive_at: Option<StorePosition>,
}

impl DepartureTable {
    /// Records `departure`; the oldest ones are dropped beyond `MAX_DEPARTURES`. Returns whether
    /// it wasn't known.
    pub(crate) fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        let known = self.by_id.get_mut(&departure.id);
        let is_refuted = |known: &&mut DepartureRecord| known.is_refuted(departure);
        if !departure.is_known() || known.as_ref().is_some_and(is_refuted) {
            return false;
        }
        self.insertion += 1;
        let insertion = self.insertion;
        if let Some(known) = known {
            let is_included = known.departure.includes(departure);
            known.departure.merge(departure);
            if is_included {
                return false;
            }
            (known.recorded_at, known.insertion) = (now, insertion);
            known.has_rejected = false;
            known.alive_at = None;
        } else {
            let entry = DepartureRecord {
                departure: departure.clone(),
                recorded_at: now,
                insertion,
                has_rejected: false,
                alive_at: None,
            };
            self.by_id.insert(departure.id.clone(), entry);
        }
        self.order.push_back((insertion, departure.id.clone()));
        while self.order.len() > MAX_DEPARTURES {
            self.drop_oldest();
        }
        true
    }

    /// Returns whether `entry` is an obsolete registration of a server that left.
    pub(crate) fn supersedes(&self, now: Instant, entry: &ServerEntry) -> bool {
        let known = self.by_id.get(&entry.id);
        known.is_some_and(|known| known.holds(now) && known.departure.supersedes(entry))
    }

    /// Returns whether the run of `entry` can't come back: it announced that it leaves, or a
    /// later run followed.
    pub(crate) fn is_final(&self, now: Instant, entry: &ServerEntry) -> bool {
        let known = self.by_id.get(&entry.id).map(|known| &known.departure);
        self.supersedes(now, entry)
            && known.is_some_and(|known| known.announced || !known.is_of_run(entry))
    }

    /// Returns whether `entry`, read at `position`, may be a heartbeat from before the departure of
    /// its run: it isn't newer than the last registration known, the reader of the departure may
    /// have missed that one, or the store came back from an older copy since.
    pub(crate) fn is_doubtful(
        &self,
        now: Instant,
        entry: &ServerEntry,
        position: StorePosition,
    ) -> bool {
        self.of_run(now, entry).is_some_and(|departure| {
            let is_restored = position.era() > departure.position.era();
            departure.has_gap || is_restored || departure.supersedes(entry)
        })
    }

    /// Returns the departure of the run of `entry`, unless the run has proved to be alive.
    pub(crate) fn of_run(&self, now: Instant, entry: &ServerEntry) -> Option<&Departure> {
        let known = self.by_id.get(&entry.id)?;
        (known.holds(now) && known.departure.is_of_run(entry)).then_some(&known.departure)
    }

    /// Records that the run of the server `id` has registered again since its recorded departure,
    /// as a server does whose row had lapsed.
    pub(crate) fn on_registered(&mut self, id: &str) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.alive_at = known.alive_at.max(Some(known.departure.position));
        }
    }

    /// Records that the run of the server `id` proved to be alive at `position`, although it
    /// counted as ended.
    pub(crate) fn on_alive(&mut self, id: &str, position: StorePosition) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.alive_at = Some(position);
        }
    }

    /// Returns whether the run of `departure` proved to be alive after it.
    pub(crate) fn is_refuted(&self, departure: &Departure) -> bool {
        let known = self.by_id.get(&departure.id);
        known.is_some_and(|known| known.is_refuted(departure))
    }

    /// Records that a registration of the server `id` was rejected. Returns whether it is the
    /// first.
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

impl DepartureRecord {
    /// Whether the departure still counts at `now`: the run hasn't proved to be alive, and
    /// registrations that are applied late may still come.
    fn holds(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.recorded_at);
        self.alive_at.is_none() && (self.departure.announced || age < UNANNOUNCED_TTL)
    }

    /// Whether `departure` is older than the proof that its run is alive.
    fn is_refuted(&self, departure: &Departure) -> bool {
        let is_older = self.alive_at.is_some_and(|at| departure.position <= at);
        is_older && !departure.announced && departure.run == self.departure.run
    }
}

/// Hash that identifies a run among all runs of all servers. It covers service, address and
/// failure domain because some registries don't provide the start time: there, a row that
/// differs in one of these belongs to another run.
fn run_identity(entry: &ServerEntry) -> u64 {
    let location = format!("{}\n{}\n{}", entry.service, entry.address, entry.domain);
    let identity = pair_weight(entry.run_hash(), stable_hash(location.as_bytes()));
    identity.max(1)
}

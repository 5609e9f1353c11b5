//! Records of at-most-once requests, kept by the run that they are bound to.
//!
//! A key is recorded before its request may be dispatched, and kept until no copy of the
//! request can be accepted any more. A refused key stays refused: a late copy of a request that
//! was answered "not run" must not run.

use std::collections::{BTreeSet, HashMap};

use base::prelude::*;
use bytes::Bytes;

/// Time that a record is kept after its ticket has expired.
const RETENTION: Duration = Duration::from_secs(900);
/// Maximum size of a stored answer's body, in bytes.
const MAX_STORED_ANSWER: usize = 16 << 10;
/// Maximum total size of all stored answers, in bytes.
const MAX_STORED_TOTAL: usize = 32 << 20;

/// Identifies an at-most-once request: a number under a ticket, of one owner. Another caller
/// that presents the same ticket and number must learn nothing about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OnceKey {
    /// Identifies the caller that owns the request; 0 if it is anonymous.
    pub owner: u64,
    /// The ticket's nonce.
    pub nonce: u64,
    /// The number that the caller gave the request.
    pub number: u64,
}

/// An answer that is stored for repeats of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// The content type, if given.
    pub content_type: Option<String>,
    /// The complete body.
    pub body: Bytes,
}

/// The state of a recorded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceState {
    /// The request is in progress.
    Running,
    /// The request was refused and will never run.
    Refused,
    /// The request has run. The answer is stored if it is small enough.
    Done(Option<StoredAnswer>),
    /// The request may have run.
    Unknown,
}

/// The result of looking up a request that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceVerdict {
    /// The key is new and now recorded; the request may run.
    Run,
    /// The key is known; the request must not run again.
    Known(OnceState),
    /// The key is known with a different request.
    OtherRequest,
    /// The table is full; the key was not recorded and the request must not run.
    Full,
}

#[derive(Debug, Clone)]
struct OnceRecord {
    fingerprint: u64,
    state: OnceState,
}

/// The records of one run of an instance.
///
/// ```
/// use std::time::Instant;
/// use once::{OnceKey, OnceState, OnceTable, OnceVerdict};
///
/// let now = Instant::now();
/// let key = OnceKey { owner: 0, nonce: 7, number: 1 };
/// let mut table = OnceTable::new(1000);
/// assert_eq!(table.begin(now, &key, 42, now), OnceVerdict::Run);
/// table.finish(&key, OnceState::Refused);
/// assert_eq!(table.begin(now, &key, 42, now), OnceVerdict::Known(OnceState::Refused));
/// ```
#[derive(Debug, Clone)]
pub struct OnceTable {
    records: HashMap<OnceKey, OnceRecord>,
    by_expiry: BTreeSet<(Instant, OnceKey)>,
    capacity: usize,
    stored_bytes: usize,
}

impl OnceTable {
    /// Creates a table of at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: HashMap::new(),
            by_expiry: BTreeSet::new(),
            capacity,
            stored_bytes: 0,
        }
    }

    /// Time that a record outlives its ticket. Copies of its request that arrive later can't be
    /// recognized.
    pub const fn retention() -> Duration {
        RETENTION
    }

    /// Looks up an arriving request and records it if `key` is new; its ticket expires at
    /// `valid_until`.
    pub fn begin(
        &mut self,
        now: Instant,
        key: &OnceKey,
        fingerprint: u64,
        valid_until: Instant,
    ) -> OnceVerdict {
        self.expire(now);
        if let Some(record) = self.records.get(key) {
            if record.fingerprint != fingerprint {
                return OnceVerdict::OtherRequest;
            }
            return OnceVerdict::Known(record.state.clone());
        }
        if self.records.len() >= self.capacity {
            return OnceVerdict::Full;
        }
        let expires_at = valid_until + RETENTION;
        self.by_expiry.insert((expires_at, *key));
        self.records.insert(
            *key,
            OnceRecord {
                fingerprint,
                state: OnceState::Running,
            },
        );
        OnceVerdict::Run
    }

    /// Returns the state of `key`, if it is recorded.
    pub fn find(&self, key: &OnceKey) -> Option<&OnceState> {
        self.records.get(key).map(|record| &record.state)
    }

    /// Records the result of `key`. Large answers are not stored.
    pub fn finish(&mut self, key: &OnceKey, state: OnceState) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let state = match state {
            OnceState::Done(Some(answer)) => {
                let size = answer.body.len();
                let fits =
                    size <= MAX_STORED_ANSWER && self.stored_bytes + size <= MAX_STORED_TOTAL;
                self.stored_bytes += if fits { size } else { 0 };
                OnceState::Done(fits.then_some(answer))
            }
            other => other,
        };
        record.state = state;
    }

    fn release_answer(&mut self, record: &OnceRecord) {
        if let OnceState::Done(Some(answer)) = &record.state {
            self.stored_bytes = self.stored_bytes.saturating_sub(answer.body.len());
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Instant) {
        while let Some((end, key)) = self.by_expiry.first().copied() {
            if end > now {
                return;
            }
            self.by_expiry.remove(&(end, key));
            let Some(record) = self.records.remove(&key) else {
                continue;
            };
            self.release_answer(&record);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

//! Records of requests that must not repeat, kept by the one run they are bound to.
//!
//! A key is recorded before its request may be dispatched and kept until no copy of
//! it can be accepted any more. A key that was refused stays refused: a late copy of
//! a request that was answered "not run" must not run.

use std::collections::{BTreeSet, HashMap};

use base::prelude::*;
use bytes::Bytes;

/// Time that a record is kept after its ticket has ended.
const RETENTION: Duration = Duration::from_secs(900);
/// Largest answer that is kept, in bytes.
const MAX_STORED_ANSWER: usize = 16 << 10;
/// Bytes of all kept answers together.
const MAX_STORED_TOTAL: usize = 32 << 20;

/// Names a request that must not repeat: a number under a ticket, of one owner. Whoever else
/// comes with the same ticket and number is told nothing of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OnceKey {
    /// Names whose request it is; 0 where nobody is named.
    pub owner: u64,
    /// The ticket's nonce.
    pub nonce: u64,
    /// The caller's number.
    pub number: u64,
}

/// An answer that is kept for repeats of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// The content type, where given.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Bytes,
}

/// What became of a recorded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceState {
    /// It is being worked on.
    Running,
    /// It was refused and will never run.
    Refused,
    /// It was run; the answer is kept if it was small.
    Done(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
}

/// What a key's first or repeated arrival means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceVerdict {
    /// It is new and recorded now: go on.
    Run,
    /// It is known; nothing may be run.
    Known(OnceState),
    /// It is known with another request.
    OtherRequest,
    /// Too many records; it was not recorded and must not run.
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
    /// A table of at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: HashMap::new(),
            by_expiry: BTreeSet::new(),
            capacity,
            stored_bytes: 0,
        }
    }

    /// How long a record outlives its ticket. Copies that come later can't be judged.
    pub const fn retention() -> Duration {
        RETENTION
    }

    /// A request with `key` has arrived; its ticket ends at `valid_until`.
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

    /// What is recorded of `key`, if anything.
    pub fn find(&self, key: &OnceKey) -> Option<&OnceState> {
        self.records.get(key).map(|record| &record.state)
    }

    /// Records what became of `key`. Large answers are not kept.
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

    /// Forgets the records whose time is over.
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

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

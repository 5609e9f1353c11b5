//! The status of requests as known to an entry: suspect, quarantined or cleared.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::message::{ClearedRequest, RequestStatus, RequestStatusReport};
use crate::fleet::store_progress::millis;

/// How long a request stays in quarantine: time to fix the service, at the cost of a few
/// servers each time the request is tried again.
const QUARANTINE_TTL: Duration = Duration::from_secs(900);
/// How long all entries watch for a successful answer to a suspect.
const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// How long after a clearing older findings against the request are ignored.
const CLEARED_TTL: Duration = Duration::from_secs(60);
/// How long clearings are sent to other entries: long enough for several messages.
const CLEARED_SEND_TIME: Duration = Duration::from_secs(3);
/// Two messages with the same status whose times differ by less than this describe the same
/// event: each entry that forwards one adds the network latency to its age.
const SAME_STATUS_TOLERANCE: Duration = Duration::from_secs(5);
/// A status that seems to be newer than a clearing by less than this is older: messages delay what
/// they report. Without it, leads that held one each suspected and cleared a request in turn, as
/// fast as their messages arrived.
const CLEARING_TOLERANCE: Duration = Duration::from_secs(1);
/// Maximum number of tracked requests: a datagram of 3 kB holds them all. Suspects are evicted
/// in favor of quarantined requests.
const MAX_STATUSES: usize = 128;
/// Maximum number of recorded clearings; the oldest are evicted.
const MAX_CLEARED: usize = 256;

#[derive(Debug, Clone, Copy)]
struct StatusRecord {
    status: RequestStatus,
    since: Instant,
}

impl StatusRecord {
    fn expires_at(&self) -> Instant {
        self.since
            + match self.status {
                RequestStatus::Suspect => SUSPECT_TTL,
                RequestStatus::Quarantined => QUARANTINE_TTL,
            }
    }
}

/// The status of requests and recent clearings.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    records: HashMap<RequestFingerprint, StatusRecord>,
    cleared: HashMap<RequestFingerprint, Instant>,
}

impl QuarantineTable {
    /// Returns whether no request has a status.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether the request has a status.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.contains_key(&fingerprint)
    }

    /// Returns the remaining quarantine time, or `None` if the request isn't quarantined.
    pub fn quarantine_left(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let left = record.expires_at().saturating_duration_since(now);
        (record.status == RequestStatus::Quarantined && !left.is_zero()).then_some(left)
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.quarantines().map(|(fingerprint, _)| fingerprint)
    }

    /// Returns the quarantined requests and when each quarantine began.
    pub fn quarantines(&self) -> impl Iterator<Item = (RequestFingerprint, Instant)> {
        let records = self.records.iter();
        records
            .filter(|(_, record)| record.status == RequestStatus::Quarantined)
            .map(|(fingerprint, record)| (*fingerprint, record.since))
    }

    /// Sets the status that a request has had since `since`. Returns whether it is stricter
    /// than the known one. Findings from before the request was cleared are ignored.
    pub fn raise(
        &mut self,
        fingerprint: RequestFingerprint,
        status: RequestStatus,
        since: Instant,
    ) -> bool {
        let is_void = self
            .cleared
            .get(&fingerprint)
            .is_some_and(|at| *at + CLEARING_TOLERANCE >= since);
        let known = self.records.get(&fingerprint).copied();
        let is_known = known.is_some_and(|known| {
            let is_older = since < known.since + SAME_STATUS_TOLERANCE;
            known.status > status || (known.status == status && is_older)
        });
        if is_void || is_known || !self.has_room(fingerprint, status) {
            return false;
        }
        let is_stricter = known.is_none_or(|known| known.status < status);
        self.records
            .insert(fingerprint, StatusRecord { status, since });
        is_stricter
    }

    /// Clears a request that was answered successfully at `at`. Returns whether this is new.
    /// The same answer received again isn't, although network latency makes it look later:
    /// otherwise leads would forward it to each other forever.
    pub fn clear(&mut self, fingerprint: RequestFingerprint, at: Instant) -> bool {
        let known = self.cleared.get(&fingerprint).copied();
        if known.is_none() && self.cleared.len() >= MAX_CLEARED {
            self.drop_oldest_cleared();
        }
        let is_same = known.is_some_and(|known| at < known + CLEARING_TOLERANCE);
        let cleared_at = known.filter(|_| is_same).unwrap_or(at);
        self.cleared.insert(fingerprint, cleared_at);
        let held = self.records.get(&fingerprint);
        let is_held = held.is_some_and(|held| held.since <= at);
        if is_held {
            self.records.remove(&fingerprint);
        }
        is_held || known.is_none()
    }

    /// Drops expired statuses and clearings.
    pub fn drop_expired(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expires_at() > now);
        self.cleared
            .retain(|_, at| now.saturating_duration_since(*at) < CLEARED_TTL);
    }

    fn drop_oldest_cleared(&mut self) {
        let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.cleared.remove(&fingerprint);
        }
    }

    /// Returns the status of all tracked requests, for other entries.
    pub fn status_reports(&self, now: Instant) -> Vec<RequestStatusReport> {
        let message =
            |(fingerprint, record): (&RequestFingerprint, &StatusRecord)| RequestStatusReport {
                print: *fingerprint,
                status: record.status,
                age: millis(now.saturating_duration_since(record.since)),
            };
        self.records.iter().map(message).collect()
    }

    /// Returns the recent clearings, for other entries.
    pub fn cleared_requests(&self, now: Instant) -> Vec<ClearedRequest> {
        let requests = self.cleared.iter().map(|(fingerprint, at)| ClearedRequest {
            print: *fingerprint,
            age: millis(now.saturating_duration_since(*at)),
        });
        let send_time = CLEARED_SEND_TIME.as_millis();
        requests
            .filter(|request| u128::from(request.age) < send_time)
            .collect()
    }

    /// Returns whether there is room for the request, evicting a suspect if necessary.
    fn has_room(&mut self, fingerprint: RequestFingerprint, status: RequestStatus) -> bool {
        if self.records.len() < MAX_STATUSES || self.records.contains_key(&fingerprint) {
            return true;
        }
        let records = self.records.iter();
        let oldest = records
            .filter(|(_, record)| record.status == RequestStatus::Suspect)
            .min_by_key(|(_, record)| record.since)
            .map(|(fingerprint, _)| *fingerprint);
        match oldest {
            Some(oldest) if status == RequestStatus::Quarantined => {
                self.records.remove(&oldest);
                true
            }
            _ => false,
        }
    }
}

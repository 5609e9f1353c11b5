//! Which requests are suspects, in quarantine or cleared, as an entry knows it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::message::{ClearedRequest, RequestStatus, RequestStatusMessage};
use crate::fleet::store_progress::millis;

/// How long a request stays in quarantine: time to mend the service, at the price of a few
/// servers each time that it is tried again.
const QUARANTINE_TTL: Duration = Duration::from_secs(900);
/// How long all entries look out for a good answer to a suspect.
const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// How long a cleared request is safe from what was found before.
const CLEARED_TTL: Duration = Duration::from_secs(60);
/// How long others are told that a request is cleared: several tellings.
const CLEARED_SEND_TIME: Duration = Duration::from_secs(3);
/// Words of the same status whose times differ by less are the same one: each entry that
/// tells it on adds the time of the trip.
const SAME_STATUS_TOLERANCE: Duration = Duration::from_secs(5);
/// Requests kept at most: a datagram of 3 kB holds them all. Those in quarantine stay
/// where suspects make room.
const MAX_STATUSES: usize = 128;
/// Clearings kept at most; the oldest make room.
const MAX_CLEARED: usize = 256;

#[derive(Debug, Clone, Copy)]
struct StatusRecord {
    status: RequestStatus,
    since: Instant,
}

impl StatusRecord {
    fn ends(&self) -> Instant {
        self.since
            + match self.status {
                RequestStatus::Suspect => SUSPECT_TTL,
                RequestStatus::Quarantined => QUARANTINE_TTL,
            }
    }
}

/// What is known of requests.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    records: HashMap<RequestFingerprint, StatusRecord>,
    cleared: HashMap<RequestFingerprint, Instant>,
}

impl QuarantineTable {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether something is known of the request.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.contains_key(&fingerprint)
    }

    /// How much longer the request stays in quarantine; `None` where it isn't.
    pub fn quarantine_left(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let left = record.ends().saturating_duration_since(now);
        (record.status == RequestStatus::Quarantined && !left.is_zero()).then_some(left)
    }

    /// The requests in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.quarantines().map(|(fingerprint, _)| fingerprint)
    }

    /// The requests in quarantine, and since when.
    pub fn quarantines(&self) -> impl Iterator<Item = (RequestFingerprint, Instant)> {
        let records = self.records.iter();
        records
            .filter(|(_, record)| record.status == RequestStatus::Quarantined)
            .map(|(fingerprint, record)| (*fingerprint, record.since))
    }

    /// The request has had this status since `since`; whether it is stricter than the one
    /// known. What was found before the request was cleared is void.
    pub fn raise(
        &mut self,
        fingerprint: RequestFingerprint,
        status: RequestStatus,
        since: Instant,
    ) -> bool {
        let is_void = self
            .cleared
            .get(&fingerprint)
            .is_some_and(|at| *at >= since);
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

    /// The request was answered well at `at`; whether that is news. The same answer told
    /// again isn't, though it seems later by the time of the trip: leads would tell each
    /// other of it without end.
    pub fn clear(&mut self, fingerprint: RequestFingerprint, at: Instant) -> bool {
        let known = self.cleared.get(&fingerprint).copied();
        if known.is_none() && self.cleared.len() >= MAX_CLEARED {
            self.drop_oldest_cleared();
        }
        let latest = known.map_or(at, |known| known.max(at));
        self.cleared.insert(fingerprint, latest);
        let held = self.records.get(&fingerprint);
        let is_held = held.is_some_and(|held| held.since <= at);
        if is_held {
            self.records.remove(&fingerprint);
        }
        is_held || known.is_none()
    }

    /// Drops what no longer counts.
    pub fn drop_expired(&mut self, now: Instant) {
        self.records.retain(|_, record| record.ends() > now);
        self.cleared
            .retain(|_, at| now.saturating_duration_since(*at) < CLEARED_TTL);
    }

    fn drop_oldest_cleared(&mut self) {
        let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.cleared.remove(&fingerprint);
        }
    }

    /// All requests with their status, for others.
    pub fn status_messages(&self, now: Instant) -> Vec<RequestStatusMessage> {
        let message =
            |(fingerprint, record): (&RequestFingerprint, &StatusRecord)| RequestStatusMessage {
                print: *fingerprint,
                status: record.status,
                age: millis(now.saturating_duration_since(record.since)),
            };
        self.records.iter().map(message).collect()
    }

    /// Requests cleared lately, for others.
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

    /// Whether there is room for the request, made by a suspect where need be.
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

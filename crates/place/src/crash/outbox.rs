//! What an entry saw itself and tells its leads: held for a moment, then told a few times,
//! since datagrams are lost.

use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::message::{ClearedRequest, CrashMessage, CrashReport};
use crate::fleet::store_progress::millis;

/// A report is held for this long: most requests that were caught beside the cause are
/// answered by another server meanwhile, and need not be told.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Time between two tellings of the same.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// How often the same is told: for longer than a region without leads takes to find new
/// ones.
const MAX_SENDS: u32 = 8;
/// Reports and clearings that wait at most; 48 bytes each. A datagram holds as many.
const MAX_QUEUED: usize = 256;

/// Something to be told.
#[derive(Debug, Clone, Copy)]
struct OutboxItem {
    payload: OutboxPayload,
    due: Instant,
    send_count: u32,
}

#[derive(Debug, Clone, Copy)]
enum OutboxPayload {
    Report(CrashReport),
    Cleared(RequestFingerprint, Instant),
}

/// What waits to be told.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    items: Vec<OutboxItem>,
}

impl CrashOutbox {
    /// A request was at a server when it ended.
    pub fn on_report(&mut self, now: Instant, report: CrashReport) {
        self.push(OutboxItem {
            payload: OutboxPayload::Report(report),
            due: now + REPORT_DELAY,
            send_count: 0,
        });
    }

    /// A request was answered well: what wasn't told of it yet need not be.
    pub fn on_cleared(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        was_reported: bool,
    ) {
        let is_of = |item: &OutboxItem| match item.payload {
            OutboxPayload::Report(report) => report.print == fingerprint,
            OutboxPayload::Cleared(cleared, _) => cleared == fingerprint,
        };
        let was_sent = self
            .items
            .iter()
            .any(|item| is_of(item) && item.send_count > 0);
        self.items.retain(|item| !is_of(item));
        if was_sent || was_reported {
            self.push(OutboxItem {
                payload: OutboxPayload::Cleared(fingerprint, now),
                due: now,
                send_count: 0,
            });
        }
    }

    /// When something is to be told next.
    pub fn due(&self) -> Option<Instant> {
        self.items.iter().map(|item| item.due).min()
    }

    /// What is to be told now.
    pub fn take_due(&mut self, now: Instant) -> CrashMessage {
        let mut word = CrashMessage::default();
        for item in &mut self.items {
            if item.due > now {
                continue;
            }
            item.due = now + RESEND_INTERVAL;
            item.send_count += 1;
            match item.payload {
                OutboxPayload::Report(report) => word.reports.push(report),
                OutboxPayload::Cleared(fingerprint, at) => word.cleared.push(ClearedRequest {
                    print: fingerprint,
                    age: millis(now.saturating_duration_since(at)),
                }),
            }
        }
        self.items.retain(|item| item.send_count < MAX_SENDS);
        word
    }

    /// Adds `item`, if there is room; a clearing takes the place of the oldest report, since
    /// a request that isn't cleared would be refused.
    fn push(&mut self, item: OutboxItem) {
        if self.items.len() >= MAX_QUEUED {
            let is_report = |item: &OutboxItem| matches!(item.payload, OutboxPayload::Report(_));
            let oldest = self.items.iter().position(is_report);
            let Some(oldest) = oldest.filter(|_| !is_report(&item)) else {
                return;
            };
            self.items.remove(oldest);
        }
        self.items.push(item);
    }
}

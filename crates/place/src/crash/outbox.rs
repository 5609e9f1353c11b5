//! Queue of the crash reports and clearings that an entry sends to its leads. Reports are
//! delayed briefly, and everything is sent several times because datagrams get lost.

use std::time::{Duration, Instant};

use crate::crash::fingerprint::RequestFingerprint;
use crate::crash::message::{ClearedRequest, CrashMessage, CrashReport};
use crate::fleet::store_progress::millis;

/// How long a report is delayed: most requests that were in flight beside the cause are
/// answered by another server in the meantime and need no report.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Interval between two sends of the same item.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// How often an item is sent: for longer than a region without leads takes to find new ones.
const MAX_SENDS: u32 = 8;
/// Maximum number of queued items, 48 bytes each. A datagram holds as many.
const MAX_QUEUED: usize = 256;

/// A queued item.
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

/// The queue of items to send.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    items: Vec<OutboxItem>,
}

impl CrashOutbox {
    /// Queues a report that a request was in flight at a server when it crashed.
    pub fn on_report(&mut self, now: Instant, report: CrashReport) {
        self.push(OutboxItem {
            payload: OutboxPayload::Report(report),
            due: now + REPORT_DELAY,
            send_count: 0,
        });
    }

    /// Handles a successful answer to a request: drops its queued reports, and queues a
    /// clearing if the request was reported already.
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

    /// Returns when the next item is due.
    pub fn due(&self) -> Option<Instant> {
        self.items.iter().map(|item| item.due).min()
    }

    /// Returns the items that are due, as one message.
    pub fn take_due(&mut self, now: Instant) -> CrashMessage {
        let mut message = CrashMessage::default();
        for item in &mut self.items {
            if item.due > now {
                continue;
            }
            item.due = now + RESEND_INTERVAL;
            item.send_count += 1;
            match item.payload {
                OutboxPayload::Report(report) => message.reports.push(report),
                OutboxPayload::Cleared(fingerprint, at) => message.cleared.push(ClearedRequest {
                    print: fingerprint,
                    age: millis(now.saturating_duration_since(at)),
                }),
            }
        }
        self.items.retain(|item| item.send_count < MAX_SENDS);
        message
    }

    /// Adds `item` if there is room. A clearing replaces the oldest report, because a request
    /// that isn't cleared would be refused.
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

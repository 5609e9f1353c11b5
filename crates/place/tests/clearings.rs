//! Leads that tell each other of suspected and cleared requests must come to rest. Messages delay
//! what they report, so that a suspicion may look newer than the clearing that ended it.

use std::time::{Duration, Instant};

use place::crash::fingerprint::RequestFingerprint;
use place::crash::message::{ClearedRequest, RequestStatus, RequestStatusReport};
use place::crash::quarantine::QuarantineTable;

const REQUEST: RequestFingerprint = RequestFingerprint(7);
/// Latency between two leads.
const LATENCY: Duration = Duration::from_millis(35);

fn before(now: Instant, age: u32) -> Instant {
    now - Duration::from_millis(u64::from(age))
}

/// Applies what another lead sent, and returns whether it changed anything.
fn receive(
    table: &mut QuarantineTable,
    now: Instant,
    (cleared, statuses): &(Vec<ClearedRequest>, Vec<RequestStatusReport>),
) -> bool {
    let mut is_changed = false;
    for request in cleared {
        let was_held = table.contains(request.print);
        table.clear(request.print, before(now, request.age));
        is_changed |= was_held && !table.contains(request.print);
    }
    for report in statuses {
        is_changed |= table.raise(report.print, report.status, before(now, report.age));
    }
    is_changed
}

#[test]
fn a_cleared_request_does_not_alternate_between_leads() {
    let start = Instant::now();
    let mut leads = [QuarantineTable::default(), QuarantineTable::default()];
    for lead in &mut leads {
        lead.raise(REQUEST, RequestStatus::Suspect, start);
    }
    // One lead learns of a good answer while its last statuses are under way.
    let mut now = start + Duration::from_millis(10);
    leads[0].clear(REQUEST, now);
    let mut changes = 0;
    for _ in 0..100 {
        let sent = leads
            .each_ref()
            .map(|lead| (lead.cleared_requests(now), lead.status_reports(now)));
        now += LATENCY;
        let [first, second] = &mut leads;
        changes += usize::from(receive(first, now, &sent[1]));
        changes += usize::from(receive(second, now, &sent[0]));
    }
    assert!(changes <= 2, "{changes} changes in 100 exchanges");
}

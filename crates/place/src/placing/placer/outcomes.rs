//! Learns from the outcomes of placed requests.

use std::time::Instant;

use crate::desired::RouteSpec;
use crate::placing::placer::{REJECTED_LOAD_FACTOR, RequestPlacer};
use crate::placing::timing::millis;
use crate::request::{Placement, PlacementRequest, ServerOutcome};
use crate::server::{EntryState, ServerReport};

impl RequestPlacer {
    /// Records the size of an answer on `route`.
    pub fn on_answer_size(&mut self, route: &RouteSpec, bytes: u64) {
        self.work
            .get_or_insert(route)
            .answer
            .add(bytes as f64 / 1000.0);
    }

    /// Records the outcome of a placed request.
    pub fn on_outcome(
        &mut self,
        now: Instant,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        outcome: ServerOutcome,
        report: Option<&ServerReport>,
    ) {
        let warmup = self.warmup(request);
        self.note_outcome(now, placement, request, outcome);
        self.note_path(now, placement, request, outcome);
        let Some(record) = self.catalog.get_mut(placement.handle) else {
            return;
        };
        if let Some(report) = report {
            record.on_report(now, report);
        }
        let hash = record.hash;
        match outcome {
            ServerOutcome::Answered { good } => {
                record.on_reached();
                record.on_outcome(now, good);
            }
            ServerOutcome::Full => {
                record.on_reached();
                if report.is_none() {
                    let slots = f64::from(record.entry.slots);
                    record.on_full(now, slots * REJECTED_LOAD_FACTOR);
                }
                record.on_outcome(now, false);
            }
            ServerOutcome::Misdirected => {
                record.entry.state = EntryState::Draining;
            }
            ServerOutcome::Unreachable => {
                record.on_unreachable(now);
                // It may have crashed, in which case it comes back cold.
                record.presume_cold(now, warmup);
            }
            ServerOutcome::Broken => record.on_outcome(now, false),
            ServerOutcome::OutOfTime => {
                record.on_outcome(now, false);
                let elapsed = millis(now.saturating_duration_since(placement.started));
                let ratio = elapsed / placement.reason.expected.max(1.0);
                if placement.reason.has_free_slot && ratio > 1.0 {
                    record.on_latency_ratio(now, ratio * record.speed(now));
                }
            }
            ServerOutcome::Withdrawn | ServerOutcome::Abandoned => {}
        }
        record.in_flight = record.in_flight.saturating_sub(1);
        if outcome == ServerOutcome::Unreachable {
            self.handled_objects.forget(hash);
        }
        if outcome == (ServerOutcome::Answered { good: true }) {
            self.learn_from_answer(now, placement, request, hash);
        }
    }

    pub(super) fn learn_from_answer(
        &mut self,
        now: Instant,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        hash: u64,
    ) {
        let reason = &placement.reason;
        if let Some(object) = request.object {
            self.handled_objects.on_handled(now, hash, object);
        }
        if !reason.has_free_slot {
            return;
        }
        let elapsed = millis(now.saturating_duration_since(placement.started));
        let known = self.catalog.get(placement.handle);
        let work = elapsed - known.map_or(0.0, |record| record.round_trip);
        if !reason.cold {
            self.work
                .get_or_insert(request.route)
                .on_answer(work, reason.cache_evidence);
        }
        if let Some(record) = self.catalog.get_mut(placement.handle) {
            record.on_latency_ratio(now, work / reason.work.max(1.0) * record.speed(now));
        }
    }
}

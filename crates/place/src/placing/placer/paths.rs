//! Finds out whether this entry still has a path to the servers.

use std::time::Instant;

use crate::paths::PathChange;
use crate::placing::placer::RequestPlacer;
use crate::request::{Placement, PlacementRequest, ServerOutcome};

impl RequestPlacer {
    /// Records that a connection to the server of `placement` failed before its response to a
    /// request of `service`.
    pub fn on_connection_lost(&mut self, now: Instant, placement: &Placement, service: &str) {
        let servers = self.catalog.server_count(service);
        let run = placement.handle.run();
        self.paths.on_missed(now, service, run, servers);
    }

    /// Returns whether hardly any server of `service` can be reached from here.
    pub fn has_lost_path(&self, service: &str) -> bool {
        self.paths.is_lost(service)
    }

    /// Returns whether this entry can reach hardly any server.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.paths.is_cut_off(now)
    }

    /// Returns the number of services whose servers can't be reached from here.
    pub fn lost_paths(&self) -> usize {
        self.paths.lost_services().count()
    }

    /// Returns the changes of paths to servers since the previous call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        self.paths.take_changes()
    }

    /// Takes the outcome of a placed request as evidence of a path to its server.
    pub(super) fn note_path(
        &mut self,
        now: Instant,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        outcome: ServerOutcome,
    ) {
        let Some(part) = request.route.parts.get(request.part) else {
            return;
        };
        let service = part.service.as_str();
        let servers = self.catalog.server_count(service);
        let run = placement.handle.run();
        match outcome {
            ServerOutcome::Answered { .. } | ServerOutcome::Full | ServerOutcome::Misdirected => {
                self.paths.on_response(now, service, run, servers);
            }
            ServerOutcome::Unreachable => self.paths.on_missed(now, service, run, servers),
            ServerOutcome::Withdrawn
            | ServerOutcome::Broken
            | ServerOutcome::OutOfTime
            | ServerOutcome::Abandoned => {}
        }
    }
}

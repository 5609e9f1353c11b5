//! Connections that are opened ahead of requests.

use std::time::{Duration, Instant};

use crate::catalog::ServerHandle;
use crate::connections::planner::{ConnectionPlanner, PlannedConnection};
use crate::placing::placer::RequestPlacer;
use crate::request::Placement;
use crate::statement::SendVerdict;

impl RequestPlacer {
    /// Records that the request of `placement`, on a route with `objective`, is sent.
    pub fn on_connection_used(&mut self, now: Instant, placement: &Placement, objective: Duration) {
        let handle = placement.handle;
        if let Some(record) = self.catalog.get(handle) {
            self.connections
                .on_request(now, (handle, record), objective);
        }
    }

    /// Records for how long the server behind `handle` keeps idle connections open.
    pub fn on_keep_alive(&mut self, handle: ServerHandle, keep_alive: Duration) {
        if let Some(record) = self.catalog.get(handle) {
            self.connections
                .on_keep_alive(&record.entry.service, keep_alive);
        }
    }

    /// Records whether a connection to the server behind `handle` could be opened ahead.
    pub fn on_opened_ahead(&mut self, now: Instant, handle: ServerHandle, opened: bool) {
        if let Some(record) = self.catalog.get(handle) {
            self.connections
                .on_opened(now, handle, &record.entry.domain, opened);
        }
    }

    /// Returns the connections to open ahead now, at most `room`. `idle_count` returns the
    /// number of idle connections to a server.
    pub fn plan_connections(
        &mut self,
        now: Instant,
        room: usize,
        idle_count: impl Fn(&str) -> usize,
    ) -> Vec<PlannedConnection> {
        if self.standby {
            return Vec::new();
        }
        let statements = &self.statements;
        self.connections
            .plan(now, &self.catalog, room, idle_count, |record| {
                matches!(statements.verdict(now, record.hash), SendVerdict::Allowed)
            })
    }

    /// The plan of connections.
    pub fn connections_mut(&mut self) -> &mut ConnectionPlanner {
        &mut self.connections
    }
}

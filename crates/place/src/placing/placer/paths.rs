//! Finds out whether this entry still has a path to the servers.

use std::net::SocketAddr;
use std::time::Instant;

use crate::catalog::ServerHandle;
use crate::paths::PathChange;
use crate::placing::placer::RequestPlacer;
use crate::rank::pair_weight;
use crate::request::{Placement, PlacementRequest, Refusal, RefusalReason, ServerOutcome};
use crate::server::ServerRecord;

/// Servers probed at a time for each service without a path.
const PROBES_PER_ROUND: usize = 3;
/// Expected time until there is a path again, in seconds. Callers that come back are served by
/// any entry that has one.
const NO_PATH_WAIT: f64 = 0.6;

/// A server to which a connection is tried, to find out whether there is a path.
#[derive(Debug, Clone)]
pub struct PathProbe {
    /// The service.
    pub service: String,
    /// The server.
    pub handle: ServerHandle,
    /// Its address.
    pub address: SocketAddr,
}

impl RequestPlacer {
    /// Records that no connection to the server of `placement` could be opened for a request of
    /// `service`, or that it was lost during the request. That an idle connection had been closed
    /// says nothing.
    pub fn on_server_missed(&mut self, now: Instant, placement: &Placement, service: &str) {
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

    /// Returns whether any server has responded since `at`.
    pub fn has_response_since(&self, at: Instant) -> bool {
        self.paths.has_response_since(at)
    }

    /// Returns the number of services whose servers can't be reached from here.
    pub fn lost_paths(&self) -> usize {
        self.paths.lost_services().count()
    }

    /// Returns the changes of paths to servers since the previous call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        self.paths.take_changes()
    }

    /// Returns whether there are services whose servers must be probed.
    pub fn needs_path_probes(&self) -> bool {
        self.paths.needs_probes()
    }

    /// Returns the servers to probe now, for services without a path.
    pub fn path_probes(&mut self, now: Instant) -> Vec<PathProbe> {
        let mut probes = Vec::new();
        for (service, rounds) in self.paths.take_due_probes(now) {
            let mut servers: Vec<(ServerHandle, SocketAddr)> = self
                .catalog
                .open_servers(&service)
                .map(|(handle, record)| (handle, record.entry.address))
                .collect();
            if servers.is_empty() {
                self.paths.forget(&service);
                continue;
            }
            let first = rounds * PROBES_PER_ROUND % servers.len();
            servers.rotate_left(first);
            // Others show whether only the missed ones failed.
            servers.sort_by_key(|(handle, _)| self.paths.is_missed(&service, handle.run()));
            for (handle, address) in servers.into_iter().take(PROBES_PER_ROUND) {
                probes.push(PathProbe {
                    service: service.clone(),
                    handle,
                    address,
                });
            }
        }
        probes
    }

    /// Records whether a probe reached its server.
    pub fn on_probed(&mut self, now: Instant, probe: &PathProbe, is_reached: bool) {
        let servers = self.catalog.server_count(&probe.service);
        let was_lost = self.paths.is_lost(&probe.service);
        let run = probe.handle.run();
        self.paths
            .on_probed(now, &probe.service, run, servers, is_reached);
        self.forget_failures(&probe.service, was_lost);
    }

    /// Returns servers that can show whether this entry reaches any server other than `run`.
    pub fn control_servers(&self, run: u64, count: usize) -> Vec<SocketAddr> {
        let records = self.catalog.iter().filter(|record| record.hash != run);
        let ranked = |record: &ServerRecord| {
            let weight = pair_weight(run, record.hash);
            (record.is_unreached(), weight, record.entry.address)
        };
        let mut others: Vec<_> = records.map(ranked).collect();
        others.sort_unstable();
        let addresses = others.into_iter().map(|(.., address)| address);
        addresses.take(count).collect()
    }

    /// The refusal of a request whose servers neither this entry nor another one can reach.
    pub fn no_path_refusal(&mut self) -> Refusal {
        self.jitter
            .refusal(RefusalReason::NoPath, Some(NO_PATH_WAIT))
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
                let was_lost = self.paths.is_lost(service);
                self.paths.on_response(now, service, run, servers);
                self.forget_failures(service, was_lost);
            }
            ServerOutcome::Unreachable
            | ServerOutcome::Withdrawn
            | ServerOutcome::Broken
            | ServerOutcome::OutOfTime
            | ServerOutcome::Abandoned => {}
        }
    }

    /// Drops what was concluded on the servers of `service` while the path to them was lost, if
    /// that has ended. Otherwise they would be avoided for seconds more.
    fn forget_failures(&mut self, service: &str, was_lost: bool) {
        if !was_lost || self.paths.is_lost(service) {
            return;
        }
        for record in self.catalog.iter_mut() {
            if record.entry.service == service {
                record.on_path_restored();
            }
        }
    }
}

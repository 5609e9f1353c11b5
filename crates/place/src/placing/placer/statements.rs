//! What servers say of themselves, as seen by the placement of requests.

use std::time::{Duration, Instant};

use crate::catalog::ServerCondition;
use crate::placing::candidates::RankedServers;
use crate::placing::load::short_id;
use crate::placing::placer::{ChoiceResult, RequestPlacer};
use crate::request::{Placement, PlacementRequest, Refusal, RefusalReason};
use crate::server::ServerRecord;
use crate::statement::message::StatementReport;
use crate::statement::{SendVerdict, ServerStatement, StatementChange, StatementTable};

impl RequestPlacer {
    /// Records what an answer to the request of `placement` says of its server, and returns the
    /// changes.
    pub fn on_statement(
        &mut self,
        now: Instant,
        placement: &Placement,
        statement: &ServerStatement,
    ) -> Vec<StatementChange> {
        let run = placement.handle.run();
        self.statements.on_answer(now, run, statement)
    }

    /// Applies a report on servers of the entry with the hash `entry`.
    pub fn on_peer_statements(&mut self, now: Instant, entry: u64, report: &StatementReport) {
        for limit in &report.limits {
            let indexes = self.catalog.indexes_by_short_id(limit.server);
            let records = indexes.filter_map(|index| self.catalog.by_index(index));
            for run in records.map(|record| record.hash) {
                self.statements.on_peer_report(now, entry, run, limit);
            }
        }
        for run in &report.leaving {
            self.statements.on_peer_leaving(now, *run);
        }
    }

    /// Whether the server of `record` may get requests, by the registry and by its own
    /// statements.
    pub fn condition(&self, now: Instant, record: &ServerRecord) -> ServerCondition {
        match self.statements.verdict(now, record.hash) {
            SendVerdict::Leaving => ServerCondition::Leaving,
            SendVerdict::Resting(_) => ServerCondition::Resting,
            SendVerdict::NoRoom(_) | SendVerdict::Allowed => self.catalog.condition(now, record),
        }
    }

    /// Returns this entry's report on servers for the others. Call it as often as
    /// [`Self::own_load`], and send it unless it is empty.
    pub fn own_statements(&mut self, now: Instant) -> StatementReport {
        let catalog = &self.catalog;
        let is_registered = |run| {
            let mut indexes = catalog.indexes_by_short_id(short_id(run));
            indexes.next().is_some()
        };
        self.statements.report(now, is_registered)
    }

    /// Returns the report on requests of this entry that must reach the others at once.
    pub fn urgent_statements(&mut self, now: Instant) -> StatementReport {
        self.statements.urgent_report(now)
    }

    /// What the servers say of themselves.
    pub fn statements(&self) -> &StatementTable {
        &self.statements
    }

    /// Whether the request of `placement` may still be sent: its server may have said or
    /// announced something while the connection was opened. Call it right before sending.
    pub fn may_send(&mut self, now: Instant, placement: &mut Placement) -> bool {
        if !self.catalog.may_send(placement.handle) {
            return false;
        }
        let run = placement.handle.run();
        if !self.may_send_overdue(now, placement) {
            return false;
        }
        let may_send = match self.statements.verdict(now, run) {
            SendVerdict::Leaving | SendVerdict::Resting(_) => false,
            SendVerdict::NoRoom(_) if !placement.takes_room => {
                self.statements.on_wanted(now, run);
                false
            }
            SendVerdict::Allowed if !placement.takes_room => {
                // A limit may have become known after the request was placed.
                placement.takes_room = self.statements.on_sent(now, run);
                true
            }
            SendVerdict::NoRoom(_) | SendVerdict::Allowed => true,
        };
        if may_send {
            self.note_sent(now, placement);
        }
        may_send
    }

    /// The refusal of a request that no server may get.
    pub(super) fn no_candidate_refusal(&mut self, now: Instant, service: &str) -> Refusal {
        let servers = self.catalog.open_servers(service);
        let rests =
            servers.filter_map(
                |(handle, _)| match self.statements.verdict(now, handle.run()) {
                    SendVerdict::Resting(wait) => Some(wait.as_secs_f64()),
                    _ => None,
                },
            );
        match rests.reduce(f64::min) {
            Some(wait) => self.jitter.refusal(RefusalReason::Resting, Some(wait)),
            None => self.jitter.refusal(RefusalReason::NoServer, None),
        }
    }

    /// If the rate limit of the chosen server leaves no room, counts the request as demand for it
    /// and returns the time until any of the candidates without room has some.
    pub(super) fn missing_room(
        &mut self,
        now: Instant,
        ranked: &RankedServers,
        chosen: &ChoiceResult,
    ) -> Option<Duration> {
        let (handle, _) = chosen.as_ref().ok()?;
        let SendVerdict::NoRoom(wait) = self.statements.verdict(now, handle.run()) else {
            return None;
        };
        self.statements.on_wanted(now, handle.run());
        let candidates = ranked.candidates.iter();
        let waits = candidates.filter_map(|candidate| {
            match self.statements.verdict(now, candidate.handle.run()) {
                SendVerdict::NoRoom(wait) => Some(wait),
                SendVerdict::Leaving | SendVerdict::Resting(_) | SendVerdict::Allowed => None,
            }
        });
        waits.min().or(Some(wait))
    }

    /// Chooses among `ranked`, whose servers have room within their rate limits. Others have
    /// room in `room_in`.
    pub(super) fn choose_with_room(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        ranked: &RankedServers,
        room_in: Duration,
    ) -> ChoiceResult {
        let chosen = self.choose(now, request, service, ranked, None);
        chosen.map_err(|(reason, available_in)| {
            let room_in = room_in.as_secs_f64();
            if !ranked.candidates.is_empty() && available_in.is_some_and(|time| time < room_in) {
                return (reason, available_in);
            }
            (RefusalReason::Limited, Some(room_in))
        })
    }
}

//! Quarantine of requests that crash servers, as seen by the job of a request.

use place::crash::fingerprint::RequestFingerprint;
use place::prelude::*;

use crate::body_reader::JobBody;
use crate::crash;
use crate::fingerprint::request_fingerprint;
use crate::job::RequestJob;
use crate::paths;

impl RequestJob {
    /// Returns the refusal if the request is in quarantine because it crashed servers. It reaches
    /// no further server, whichever caller sends it again, at whichever entry.
    pub(crate) fn quarantine_refusal(&mut self, body: &JobBody) -> Option<Refusal> {
        if !self.state.fleet.has_statuses() {
            return None;
        }
        let fingerprint = self.fingerprint(body);
        let retry_after = self.state.fleet.quarantine_left(fingerprint)?;
        self.record.fingerprint = Some(fingerprint);
        Some(Refusal {
            reason: RefusalReason::Quarantined,
            retry_after,
        })
    }

    /// Clears the request if it is a suspect: a server has now answered it without an error.
    pub(crate) fn clear_suspicion(&mut self, body: &JobBody) {
        if self.state.fleet.has_suspects() {
            let fingerprint = self.fingerprint(body);
            self.state.fleet.clear_suspect(fingerprint);
        }
    }

    /// Returns the request's fingerprint, which covers only the start of a streamed body.
    pub(crate) fn fingerprint(&mut self, body: &JobBody) -> RequestFingerprint {
        let (method, target, headers) = (&self.method, &self.target, &self.headers);
        let team = self.policy.team_name().unwrap_or_default();
        let fingerprint = || request_fingerprint(method, target, headers, team, body.prefix());
        *self.progress.fingerprint.get_or_insert_with(fingerprint)
    }

    /// Handles a connection to the server of `placement` that failed during the request.
    pub(crate) fn on_connection_lost(
        &mut self,
        route: &RouteSpec,
        placement: &Placement,
        body: &JobBody,
    ) {
        let fingerprint = self.fingerprint(body);
        self.record.fingerprint = Some(fingerprint);
        if let Some(part) = route.parts.get(self.part) {
            paths::on_server_missed(&self.state, placement, &part.service);
            crash::on_connection_lost(&self.state, placement, &part.service, fingerprint);
        }
    }
}

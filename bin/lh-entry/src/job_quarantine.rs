//! What a request on its way has to do with servers that ended.

use place::crash::print::RequestFingerprint;
use place::prelude::*;

use crate::body_reader::JobBody;
use crate::crash;
use crate::fingerprint::request_fingerprint;
use crate::job::RequestJob;

impl RequestJob {
    /// The refusal of a request that ended the servers that ran it: however many callers
    /// repeat it, at whichever entry, it reaches no further one.
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

    /// A server has answered the request well: where it is suspected, nobody refuses it.
    pub(crate) fn clear_suspicion(&mut self, body: &JobBody) {
        if self.state.fleet.has_suspects() {
            let fingerprint = self.fingerprint(body);
            self.state.fleet.on_answered(fingerprint);
        }
    }

    /// The request's print; of a body that is passed on in pieces, its beginning counts.
    pub(crate) fn fingerprint(&mut self, body: &JobBody) -> RequestFingerprint {
        let (method, target, headers) = (&self.method, &self.target, &self.headers);
        let team = self.policy.team_name().unwrap_or_default();
        let fingerprint = || request_fingerprint(method, target, headers, team, body.prefix());
        *self.progress.fingerprint.get_or_insert_with(fingerprint)
    }

    /// The server of `placement` broke the request off.
    pub(crate) fn on_connection_lost(
        &mut self,
        route: &RouteSpec,
        placement: &Placement,
        body: &JobBody,
    ) {
        let fingerprint = self.fingerprint(body);
        self.record.fingerprint = Some(fingerprint);
        if let Some(part) = route.parts.get(self.part) {
            crash::on_connection_lost(&self.state, placement, &part.service, fingerprint);
        }
    }
}

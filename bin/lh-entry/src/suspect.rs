//! What a request on its way has to do with servers that ended.

use place::crash::print::RequestFingerprint;
use place::prelude::*;

use crate::crash;
use crate::intake::JobBody;
use crate::job::RequestJob;
use crate::print::request_print;

impl RequestJob {
    /// The refusal of a request that ended the servers that ran it: however many callers
    /// repeat it, at whichever entry, it reaches no further one.
    pub(crate) fn quarantine(&mut self, body: &JobBody) -> Option<Refusal> {
        if !self.state.fleet.has_statuses() {
            return None;
        }
        let print = self.print(body);
        let retry_after = self.state.fleet.quarantine_left(print)?;
        self.record.print = Some(print);
        Some(Refusal {
            reason: RefusalReason::Quarantined,
            retry_after,
        })
    }

    /// A server has answered the request well: where it is suspected, nobody refuses it.
    pub(crate) fn clear(&mut self, body: &JobBody) {
        if self.state.fleet.has_suspects() {
            let print = self.print(body);
            self.state.fleet.clear_suspect(print);
        }
    }

    /// The request's print; of a body that is passed on in pieces, its beginning counts.
    pub(crate) fn print(&mut self, body: &JobBody) -> RequestFingerprint {
        let (method, target, headers) = (&self.method, &self.target, &self.headers);
        let team = self.terms.team_name().unwrap_or_default();
        let print = || request_print(method, target, headers, team, body.beginning());
        *self.progress.print.get_or_insert_with(print)
    }

    /// The server of `placement` broke the request off.
    pub(crate) fn on_broken_off(
        &mut self,
        route: &RouteSpec,
        placement: &Placement,
        body: &JobBody,
    ) {
        let print = self.print(body);
        self.record.print = Some(print);
        if let Some(part) = route.parts.get(self.part) {
            crash::on_broken_off(&self.state, placement, &part.service, print);
        }
    }
}

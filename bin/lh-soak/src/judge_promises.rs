//! Checks the guarantees about what the operator orders.
//!
//! - **Desired.** A desired state is in force [`CONFIG_APPLY`](crate::config::CONFIG_APPLY) after
//!   its acknowledgement, at entries without faults; a key that it brings is accepted. No run of
//!   an entry goes back to an older one, whatever its faults.
//! - **Key.** No request that was sent [`REVOKE`](crate::config::REVOKE) after its key was revoked
//!   runs. This holds under all faults.
//! - **Evacuation.** No request reaches a server of an evacuated domain
//!   [`EVACUATE`](crate::config::EVACUATE) after the acknowledgement, from entries without faults.
//! - **Home.** A request on a route with a home region runs nowhere else, under all faults.
//! - **Order.** Requests that were sent behind one another are answered in their order, under all
//!   faults.
//! - **Rollout.** A bad version gets [`EXPOSURE_SHARE`](crate::config::EXPOSURE_SHARE) of the
//!   service's requests at most, and none [`ROLLBACK`](crate::config::ROLLBACK) after too many bad
//!   responses, from entries without faults. The outcome of a rollout is final.
//! - **Quota.** No team gets more than its quota over all entries, under all faults.

use crate::history::RunEvent;
use crate::judge_desired::{DesiredJudge, EntryState};
use crate::judge_places::PlaceJudge;
use crate::judge_rollouts::RolloutJudge;
use crate::report::SoakReport;

#[derive(Debug, Default)]
pub(crate) struct PromiseJudge {
    desired: DesiredJudge,
    places: PlaceJudge,
    rollouts: RolloutJudge,
}

impl PromiseJudge {
    /// Handles an event that concerns only these promises.
    pub(crate) fn on_event(
        &mut self,
        at: u64,
        event: &RunEvent,
        is_store_stable: bool,
        report: &mut SoakReport,
    ) {
        match event {
            RunEvent::Desired { step } => self.desired.on_desired(at, *step),
            RunEvent::Sent { request } => {
                self.desired.on_sent(at, request);
                self.rollouts.on_sent(at, request);
            }
            RunEvent::Ordered {
                version,
                is_bad,
                duration_ms,
            } => self
                .rollouts
                .on_ordered(at, *version, *is_bad, *duration_ms),
            RunEvent::BadResponse { server } if is_store_stable => {
                self.rollouts.on_bad_response(at, server);
            }
            RunEvent::RolloutState { version, state } => {
                let violation = self.rollouts.on_state(at, *version, state);
                report.rollout_violations.extend(violation);
            }
            RunEvent::Evacuation {
                domain,
                is_evacuated,
            } => self.places.on_evacuation(at, domain, *is_evacuated),
            RunEvent::Pipelined {
                entry,
                sent,
                answered,
            } if !sent.starts_with(answered) => {
                let text = format!("order: entry {entry} answered {answered:?} to {sent:?}");
                report.order_violations.push(text);
            }
            _ => {}
        }
    }

    /// Handles a fault of the store.
    pub(crate) fn on_store_fault(&mut self) {
        self.rollouts.on_store_fault();
    }

    /// Handles that `request` reached `server`.
    pub(crate) fn on_arrived(
        &mut self,
        at: u64,
        server: &str,
        request: &str,
        entry: EntryState,
        report: &mut SoakReport,
    ) {
        report
            .key_violations
            .extend(self.desired.check_key(request));
        let violation = self.desired.on_ran(at, request, entry);
        report.desired_violations.extend(violation);
        let violation = self.places.check_evacuated(at, server, request, entry);
        report.evacuation_violations.extend(violation);
        let violation = self.places.check_home(at, server, request);
        report.home_violations.extend(violation);
        let violation = self.rollouts.on_arrived(at, server, request, entry);
        report.rollout_violations.extend(violation);
        let violation = self.places.check_quota(at, request);
        report.quota_violations.extend(violation);
    }

    /// Handles the answer to `request`.
    pub(crate) fn on_answered(
        &mut self,
        request: &str,
        status: u16,
        entry: EntryState,
        report: &mut SoakReport,
    ) {
        let violation = self.desired.on_answered(request, status, entry);
        report.desired_violations.extend(violation);
    }

    /// Adds the violations that only the whole history shows.
    pub(crate) fn finish(&self, report: &mut SoakReport) {
        report.rollout_violations.extend(self.rollouts.exposures());
    }
}

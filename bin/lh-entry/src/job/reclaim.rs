//! Takes the slots of uploads that stand still for requests that would be refused for want of room.

use std::time::{Duration, Instant};

use place::desired::RouteSpec;
use place::request::{Refusal, RefusalReason};
use tokio::time::timeout_at;

use crate::job::RequestJob;

/// Maximum time that a request waits for the slot of an upload that is ended for it.
const MAX_RECLAIM_TIME: Duration = Duration::from_millis(100);

impl RequestJob {
    /// Ends the upload to the request's service that has stood still longest, if `refusal` is for
    /// want of room, and waits until its slot is free.
    pub(super) async fn reclaimed_slot(&self, route: &RouteSpec, refusal: Refusal) -> bool {
        if !matches!(refusal.reason, RefusalReason::Full | RefusalReason::Late) {
            return false;
        }
        let Some(part) = route.parts.get(self.part) else {
            return false;
        };
        let now = Instant::now();
        let Some(released) = self.state.memory.revoke_at(now, &part.service) else {
            return false;
        };
        let until = self.deadline_at.min(now + MAX_RECLAIM_TIME);
        matches!(timeout_at(until.into(), released).await, Ok(Ok(())))
    }
}

//! The requests that wait at a gate: served as rights come free, refused when
//! waiting has become hopeless.

use super::*;

impl RegionGate {
    /// Gives free rights to waiting requests and peers, first come first served.
    pub(super) fn serve(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) {
        if self.pools.get(service).is_none_or(PoolGate::is_quiet) {
            return;
        }
        self.refuse_hopeless(now, service, actions);
        while self.guard.permits(now) && self.serve_one(now, service, actions) {}
        self.settle_asks(now, service, actions);
    }

    /// Gives one right away; `false` where nobody waits or no right is free.
    pub(super) fn serve_one(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) -> bool {
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        pool.peer_asks.retain(|ask| ask.until > now);
        // A loan leaves its slot idle for the way there and back: own requests go first.
        self.dispatch_first(now, service, actions) || self.lend_one(now, service, actions)
    }

    pub(super) fn dispatch_first(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) -> bool {
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let Some(waiting) = pool.queue.pop_front() else {
            return false;
        };
        let dispatched = self.dispatch(now, &waiting.arrival, actions);
        if let Some(pool) = self.pools.get_mut(service) {
            if dispatched {
                pool.record_wait(now, &waiting);
            } else {
                pool.queue.push_front(waiting);
            }
        }
        dispatched
    }

    pub(super) fn refuse_hopeless(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let mut kept = std::mem::take(&mut pool.queue);
        let mut refused = Vec::new();
        kept.retain(|waiting| {
            let hopeless = pool.is_hopeless(now, waiting);
            if hopeless {
                refused.push(waiting.clone());
            }
            !hopeless
        });
        pool.queue = kept;
        for waiting in &refused {
            pool.record_wait(now, waiting);
        }
        let wait = pool.expected_wait() + pool.mean();
        for waiting in refused {
            let refusal = self.refusal(RefusalReason::Overloaded, wait);
            let request = waiting.arrival.request;
            actions.push(GateAction::Refuse { request, refusal });
        }
    }
}

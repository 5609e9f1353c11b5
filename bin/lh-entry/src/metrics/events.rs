//! Counts events.

use place::paths::relay::RelayOutcome;

use crate::metrics::EntryMetrics;
use crate::response_stream::StreamEnd;

impl EntryMetrics {
    /// Records a response to a request of `route`.
    pub(crate) fn on_request(&self, route: &str, outcome: &str, seconds: f64) {
        self.requests.with_label_values(&[route, outcome]).inc();
        self.latency.with_label_values(&[route]).observe(seconds);
    }

    /// Records the result of an attempt at a server of `service`.
    pub(crate) fn on_attempt(&self, service: &str, result: &str) {
        self.attempts.with_label_values(&[service, result]).inc();
    }

    /// Records the end of a response that was forwarded while it arrived.
    pub(crate) fn on_stream_end(&self, end: StreamEnd) {
        self.streams.with_label_values(&[end.as_str()]).inc();
    }

    /// Records the outcome of a request that was relayed through another entry.
    pub(crate) fn on_relayed(&self, outcome: RelayOutcome) {
        self.relays.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Records a response of `route` within its latency objective.
    pub(crate) fn on_good(&self, route: &str) {
        self.good.with_label_values(&[route]).inc();
    }

    /// Records a call to the store, with the kind of its error if it failed.
    pub(crate) fn on_store_call(&self, call: &str, error: Option<&str>) {
        let result = error.unwrap_or("ok");
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    /// Records a pull of changes or of a full copy from a lead, and whether it succeeded.
    pub(crate) fn on_pull(&self, is_whole: bool, done: bool) {
        let asked = if is_whole { "all" } else { "changes" };
        let result = if done { "ok" } else { "failed" };
        self.pulls.with_label_values(&[asked, result]).inc();
    }

    /// Records that changes or a full copy of the registry were sent to another entry.
    pub(crate) fn on_copy_sent(&self, is_whole: bool) {
        let copy = if is_whole { "whole" } else { "changes" };
        self.registry_copies.with_label_values(&[copy]).inc();
    }

    /// Records a read of the registry: whether it was applied, and whether it changed nothing.
    pub(crate) fn on_reading(&self, is_taken: bool, is_same: bool) {
        let result = match (is_taken, is_same) {
            (false, _) => "left-out",
            (true, true) => "same",
            (true, false) => "changed",
        };
        self.readings.with_label_values(&[result]).inc();
    }

    /// Counts a datagram that can't be decoded and returns their total.
    pub(crate) fn on_bad_datagram(&self) -> u64 {
        self.bad_datagrams.inc();
        self.bad_datagrams.get()
    }

    /// Records that a server of `service` aborted requests, and whether it had ended.
    pub(crate) fn on_broken_off(&self, service: &str, has_ended: bool) {
        let server = if has_ended { "ended" } else { "runs" };
        self.broken_off.with_label_values(&[service, server]).inc();
    }

    /// Records a header of a server that is not read.
    pub(crate) fn on_unread_header(&self, name: &str) {
        self.unread_headers.with_label_values(&[name]).inc();
    }

    /// Records a refused request.
    pub(crate) fn on_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Records whether a request was within (`used`) or refused by the limit `limit`.
    pub(crate) fn on_limit(&self, limit: &str, used: bool) {
        let result = if used { "used" } else { "refused" };
        self.limits.with_label_values(&[limit, result]).inc();
    }

    /// Records a request that is sent to the old or new version of a service during a rollout.
    pub(crate) fn on_rollout_request(&self, is_new: bool) {
        let version = if is_new { "new" } else { "old" };
        self.rollout_requests.with_label_values(&[version]).inc();
    }
}

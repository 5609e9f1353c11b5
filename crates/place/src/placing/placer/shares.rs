//! Like shares of room for the callers of each region, as seen by the placement of requests.

use std::time::Instant;

use crate::placing::placer::RequestPlacer;
use crate::shares::RegionShares;
use crate::shares::message::ShareReport;

impl RequestPlacer {
    /// Switches like shares of room on; `run` identifies this run of the process.
    pub fn enable_shares(&mut self, now: Instant, run: u64) {
        self.shares = Some(RegionShares::new(now, run, &self.config.region));
    }

    /// The regions' shares of room, if they are switched on.
    pub fn shares(&self) -> Option<&RegionShares> {
        self.shares.as_ref()
    }

    /// Applies the report of the entry with the hash `entry`.
    pub fn on_peer_shares(&mut self, now: Instant, entry: u64, report: &ShareReport) {
        if let Some(shares) = &mut self.shares {
            shares.on_report(now, entry, report);
        }
    }

    /// Returns the report on this entry's requests for the others. Call it as often as
    /// [`Self::own_load`], and send it unless it is empty.
    pub fn own_shares(&self, now: Instant) -> ShareReport {
        let shares = self.shares.as_ref();
        shares.map_or_else(ShareReport::default, |shares| shares.report(now))
    }

    /// Records a request for `service` and whether it got a server.
    pub(super) fn count_request(&mut self, now: Instant, service: &str, is_placed: bool) {
        if let Some(shares) = &mut self.shares {
            shares.on_request(now, service, is_placed);
        }
    }

    /// Share of the round trip that doesn't count against the time limit of requests for
    /// `service` that queue.
    pub(super) fn travel_credit(&self, service: &str) -> f64 {
        let shares = self.shares.as_ref();
        shares.map_or(0.0, |shares| shares.travel_credit(service))
    }
}

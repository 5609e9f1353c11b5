//! Reports about rollouts: what an entry sends to its peers and receives from them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

use crate::controller::service::ServiceRollout;
use crate::controller::{REPORT_TTL, RolloutController, VERDICT_REPORT_TIME};
use crate::evidence::{ALL_ROUTES, AnswerCounts};
use crate::order::RolloutPhase;
use crate::report::{OrderReport, RolloutReport};
use crate::schedule::ShareSchedule;

/// Maximum number of counts reported for one rollout, so that a report fits a datagram.
const MAX_COUNTS: usize = 240;

impl<S: ShareSchedule> RolloutController<S> {
    /// Returns this entry's report to its peers; `None` if there is nothing to report.
    pub fn report(&self, now: Instant) -> Option<RolloutReport> {
        let is_reported = |rollout: &&ServiceRollout| {
            let is_recent = |at| now.saturating_duration_since(at) < VERDICT_REPORT_TIME;
            let running = rollout.record.phase == RolloutPhase::Running;
            running || rollout.verdict_at.is_some_and(is_recent)
        };
        let reported = self.rollouts.values().filter(is_reported);
        let orders: Vec<OrderReport> = reported.map(|rollout| self.order_report(rollout)).collect();
        (!orders.is_empty()).then(|| RolloutReport {
            run: self.config.run,
            age: u64::try_from(self.tally.age(now).as_millis()).unwrap_or(u64::MAX),
            orders,
        })
    }

    /// Records a report of the entry `peer`.
    pub fn on_report(&mut self, now: Instant, peer: u64, report: &RolloutReport) {
        let added_counts = self.tally.on_report(now, peer, &report.to_count_report());
        let mut sums: BTreeMap<(u64, bool, u64), AnswerCounts> = BTreeMap::new();
        for (key, count) in added_counts {
            let count = u32::try_from(count).unwrap_or(0);
            let sum = sums.entry((key.revision, key.is_new, key.route));
            sum.or_default().add(key.kind, count);
        }
        for order in &report.orders {
            let Some(rollout) = self.rollouts.get_mut(&order.service) else {
                continue;
            };
            if rollout.record.order.revision != order.revision {
                continue;
            }
            // The map yields the counts of old versions first, which those of the new version
            // are compared with.
            for ((revision, is_new, route), counts) in &sums {
                if *revision == order.revision {
                    rollout.evidence.add(*route, *is_new, *counts);
                }
            }
            let (seen, bad) = order.servers();
            rollout.evidence.add_servers(seen, bad);
            rollout
                .in_flight_on_old
                .insert(peer, (now, order.in_flight_on_old));
            if order.is_bad && !rollout.record.phase.is_final() {
                rollout.verdict_at = Some(now);
                rollout.set_phase(RolloutPhase::RolledBack);
                self.push_event(&order.service, None);
                self.refresh_exclusions(now, &order.service);
            }
            self.check_verdict(now, &order.service);
        }
    }

    fn order_report(&self, rollout: &ServiceRollout) -> OrderReport {
        let order = &rollout.record.order;
        let (seen, bad) = rollout.evidence.servers();
        let own = self.tally.own_totals();
        let counts = own.filter(|(key, _)| key.revision == order.revision);
        let counts = counts.map(|(key, count)| (key.route, key.is_new, key.kind, count));
        let mut counts: Vec<_> = counts.collect();
        // Totals of all routes come first, then the largest counts. Truncated counts are still
        // included in the totals.
        counts.sort_unstable_by_key(|(route, .., count)| (*route != ALL_ROUTES, Reverse(*count)));
        counts.truncate(MAX_COUNTS);
        OrderReport {
            service: order.service.clone(),
            revision: order.revision,
            is_bad: rollout.verdict_at.is_some(),
            in_flight_on_old: self.sends.in_flight_on_old(&order.service),
            seen: seen.0,
            bad: bad.0,
            counts,
        }
    }

    /// Whether at least half of the entries in service reported recently. An entry that is
    /// partitioned from them, but not from the store, must not complete a rollout that they
    /// have rolled back.
    pub(super) fn has_quorum(&self, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REPORT_TTL;
        let fresh_peers = self.tally.peers().filter(|(_, at)| is_fresh(*at)).count();
        (fresh_peers + 1) * 2 >= self.entries
    }

    /// Returns the number of requests in flight at old versions, over all entries with a recent
    /// report.
    pub(super) fn in_flight_on_old(&self, now: Instant, rollout: &ServiceRollout) -> u32 {
        let counts = rollout.in_flight_on_old.values();
        let fresh = counts.filter(|(at, _)| now.saturating_duration_since(*at) < REPORT_TTL);
        let others: u32 = fresh.map(|(_, count)| count).sum();
        others + self.sends.in_flight_on_old(&rollout.record.order.service)
    }
}
